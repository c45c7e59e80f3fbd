//! Puts a placer together: its core, its tasks and its event loop.

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

/// Updates of a file that wait for the event loop.
const UPDATE_QUEUE: usize = 4;

/// What a placer is made of.
pub(crate) struct Startup {
    /// Its settings.
    pub settings: Settings,
    /// What it is started with beside them.
    pub options: PlacerOptions,
    /// When it started, since 1970.
    pub unix: Duration,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state folder, if it has one.
    pub ledger: Option<LedgerFolder>,
    /// Its records in the trace.
    pub trace: PlacerTrace,
    /// What its owner asks of it.
    pub control: ControlReceiver,
    /// Where its owner reads whether it is fenced.
    pub is_fenced: Arc<AtomicBool>,
}

impl Startup {
    /// Makes the event loop, and starts the tasks that feed it. It is called within the placer's runtime.
    ///
    /// # Errors
    /// Where the system makes no thread for the state folder.
    pub fn into_event_loop(self, listener: Listener) -> io::Result<EventLoop> {
        let Self {
            settings,
            options,
            unix,
            incarnation,
            ledger,
            trace,
            control,
            is_fenced,
        } = self;
        let clock = CoreClock::start(unix);
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

/// The core, with what its state folder held, and the thread that writes that folder.
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
