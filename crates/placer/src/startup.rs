//! Assembles a placer: its core, its tasks and its event loop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use reedring_core::{Core, Start};
use reedring_settings::Settings;
use tokio::sync::mpsc;

use crate::clients::{ClientAcceptor, ClientRegistry};
use crate::clock::{self, CoreClock};
use crate::context::PlacerContext;
use crate::control::ControlReceiver;
use crate::event_loop::{EventLoop, EventSources};
use crate::inbound::{self, InboundSender};
use crate::ledger::{LedgerFolder, LedgerThread};
use crate::links::LinkSupervisor;
use crate::listener::Listener;
use crate::node_source::{NodeListSource, NodeListUpdate};
use crate::options::PlacerOptions;
use crate::output::OutputDispatcher;
use crate::settings_file::{SettingsFile, SettingsUpdate};
use crate::tasks::TaskGroup;
use crate::trace::PlacerTrace;

/// Capacity of the queue of updates from one watched file to the event loop.
const UPDATE_QUEUE: usize = 4;

/// Everything that the event loop of a placer is assembled from, except the listener.
pub(crate) struct Startup {
    /// Settings with which the placer starts.
    pub settings: Settings,
    /// Options with which the placer starts.
    pub options: PlacerOptions,
    /// Start of the placer, as time since 1970.
    pub unix_time: Duration,
    /// Number of this start of the placer.
    pub incarnation: u64,
    /// The opened state folder, if the settings name one.
    pub ledger: Option<LedgerFolder>,
    /// Writes the placer's records to the trace.
    pub trace: PlacerTrace,
    /// Receives commands and the shutdown request of the placer's owner.
    pub control: ControlReceiver,
    /// Set while the placer is fenced; read by its owner.
    pub is_fenced: Arc<AtomicBool>,
}

impl Startup {
    /// Creates the event loop, and starts the tasks that send events to it. Must be called within the placer's runtime.
    ///
    /// # Errors
    /// If the system can't create the thread that writes the state folder.
    pub fn into_event_loop(self, listener: Listener) -> io::Result<EventLoop> {
        let Self {
            settings,
            options,
            unix_time,
            incarnation,
            ledger,
            trace,
            control,
            is_fenced,
        } = self;
        let clock = CoreClock::start(unix_time);
        trace.placer_started(incarnation, &options.settings_text);
        let context = Arc::new(PlacerContext::new(
            &settings,
            incarnation,
            trace,
            options.traffic,
        ));
        let max_connections = settings.limits.connections;
        let (inbound, events) = mpsc::channel(inbound::QUEUE_CAPACITY);
        let start = core_start(&settings, &clock, incarnation);
        let (core, ledger) = open_core(settings, start, ledger, &inbound)?;
        let mut tasks = TaskGroup::new();
        let acceptor = ClientAcceptor::new(
            listener,
            max_connections,
            Arc::clone(&context),
            inbound.clone(),
        );
        tasks.spawn_with_token(|token| acceptor.run(token));
        let active_settings = options.source.settings();
        let sources = EventSources {
            inbound: events,
            settings: watch_settings(options.settings_file, &mut tasks),
            node_lists: watch_node_list(options.source, &mut tasks),
            control,
        };
        let links = LinkSupervisor::new(Arc::clone(&context), inbound);
        let clients = ClientRegistry::default();
        let dispatcher = OutputDispatcher {
            clients,
            links,
            ledger,
            active_settings,
            is_fenced,
            context,
        };
        Ok(EventLoop::new(core, clock, sources, dispatcher, tasks))
    }
}

fn core_start(settings: &Settings, clock: &CoreClock, incarnation: u64) -> Start {
    Start {
        now: clock.start_us(),
        unix_us: clock.start_us(),
        incarnation,
        seed: settings.seed.unwrap_or(incarnation),
    }
}

/// Creates the core, with the content of the state folder if there is one, and starts the thread that writes the
/// folder.
fn open_core(
    settings: Settings,
    start: Start,
    ledger: Option<LedgerFolder>,
    inbound: &InboundSender,
) -> io::Result<(Core, Option<LedgerThread>)> {
    let (mut core, ledger) = match ledger {
        None => (Core::new(settings, start), None),
        Some(mut folder) => {
            let core = Core::with_state(settings, start, folder.take_restored());
            (core, Some(folder.start(inbound.clone())?))
        }
    };
    core.time_module(clock::monotonic_ns);
    Ok((core, ledger))
}

fn watch_settings(
    file: Option<SettingsFile>,
    tasks: &mut TaskGroup,
) -> mpsc::Receiver<SettingsUpdate> {
    let (updates, received) = mpsc::channel(UPDATE_QUEUE);
    if let Some(file) = file {
        tasks.spawn(file.watch(updates));
    }
    received
}

fn watch_node_list(
    source: Box<dyn NodeListSource>,
    tasks: &mut TaskGroup,
) -> mpsc::Receiver<NodeListUpdate> {
    let (updates, received) = mpsc::channel(UPDATE_QUEUE);
    tasks.spawn(source.run(updates));
    received
}
