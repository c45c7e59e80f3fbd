//! The event loop: passes inputs to the core and executes the core's outputs.

use reedring_core::{Core, Input};
use tokio::sync::mpsc;

use crate::clock::CoreClock;
use crate::control::{ControlReceiver, PlacerCommand, ShutdownMode};
use crate::inbound::InboundEvent;
use crate::ledger::LedgerThread;
use crate::node_source::NodeListUpdate;
use crate::output::OutputDispatcher;
use crate::settings_file::SettingsUpdate;
use crate::tasks::TaskGroup;

/// Maximum number of inbound events that the core handles before the decision module decides on them.
const MAX_BATCH: usize = 512;

/// The receiving ends of the queues that the event loop reads.
pub(crate) struct EventSources {
    /// Events of clients, links and the ledger thread.
    pub inbound: mpsc::Receiver<InboundEvent>,
    /// Updates of the node list.
    pub node_lists: mpsc::Receiver<NodeListUpdate>,
    /// Updates of the settings file.
    pub settings: mpsc::Receiver<SettingsUpdate>,
    /// Commands and the shutdown request of the placer's owner.
    pub control: ControlReceiver,
}

/// What the event loop woke up for.
enum WakeReason {
    /// Inbound events were received into the batch.
    Inbound,
    NodeList(NodeListUpdate),
    Settings(SettingsUpdate),
    Command(PlacerCommand),
    Shutdown(ShutdownMode),
    /// A timer of the core is due.
    Timer,
}

/// The event loop. No other code accesses the core.
pub(crate) struct EventLoop {
    core: Core,
    clock: CoreClock,
    sources: EventSources,
    dispatcher: OutputDispatcher,
    /// The tasks that send to the sources, except those of the links.
    tasks: TaskGroup,
    /// Inbound events that were received and not yet handled; its memory is reused.
    batch: Vec<InboundEvent>,
}

impl EventLoop {
    /// Creates the loop for a core. `tasks` are the tasks that send to the sources.
    pub fn new(
        core: Core,
        clock: CoreClock,
        sources: EventSources,
        dispatcher: OutputDispatcher,
        tasks: TaskGroup,
    ) -> Self {
        Self {
            core,
            clock,
            sources,
            dispatcher,
            tasks,
            batch: Vec::with_capacity(MAX_BATCH),
        }
    }

    /// Runs until the placer is shut down.
    pub async fn run(mut self) {
        loop {
            match self.wait().await {
                WakeReason::Inbound => self.handle_batch(),
                WakeReason::NodeList(update) => self.handle_node_list(update),
                WakeReason::Settings(update) => self.handle_settings(update),
                WakeReason::Command(PlacerCommand::Stall(duration)) => {
                    self.dispatcher.context.trace.placer_stalled(duration);
                    std::thread::sleep(duration);
                }
                WakeReason::Shutdown(mode) => return self.shut_down(mode).await,
                WakeReason::Timer => {}
            }
            self.core.release(self.clock.now_us());
            self.dispatch_outputs();
            self.core.flush(self.clock.now_us());
            self.dispatch_outputs();
        }
    }

    /// Waits for events, or until a timer of the core is due.
    async fn wait(&mut self) -> WakeReason {
        let timer = self.core.next_wake().map(|at| self.clock.until(at));
        let EventSources {
            inbound,
            node_lists,
            settings,
            control,
        } = &mut self.sources;
        tokio::select! {
            _ = inbound.recv_many(&mut self.batch, MAX_BATCH) => WakeReason::Inbound,
            Some(update) = node_lists.recv() => WakeReason::NodeList(update),
            Some(update) = settings.recv() => WakeReason::Settings(update),
            Some(command) = control.commands.recv() => WakeReason::Command(command),
            mode = &mut control.shutdown => WakeReason::Shutdown(mode.unwrap_or(ShutdownMode::Kill)),
            () = tokio::time::sleep(timer.unwrap_or_default()), if timer.is_some() => WakeReason::Timer,
        }
    }

    fn handle_batch(&mut self) {
        let mut batch = std::mem::take(&mut self.batch);
        for event in batch.drain(..) {
            self.handle_inbound(event);
        }
        self.batch = batch;
    }

    fn handle_inbound(&mut self, event: InboundEvent) {
        match event {
            InboundEvent::ClientConnected { conn, responses } => {
                self.dispatcher.clients.add(conn, responses)
            }
            InboundEvent::RequestRejected { conn, response } => {
                self.dispatcher.clients.respond(conn, response)
            }
            InboundEvent::LinkEstablished {
                node,
                link,
                welcome,
            } => {
                self.dispatcher.links.link_established(&node, link);
                self.core
                    .handle(self.clock.now_us(), welcome.into_input(node));
            }
            InboundEvent::Core(input) => {
                if let Input::ClientDisconnected(conn) = input {
                    self.dispatcher.clients.remove(conn);
                }
                self.core.handle(self.clock.now_us(), input);
            }
        }
    }

    fn handle_node_list(&mut self, update: NodeListUpdate) {
        match update {
            NodeListUpdate::List { list, text } => {
                self.dispatcher.context.trace.node_list_changed(&text);
                self.core
                    .handle(self.clock.now_us(), Input::NodeListChanged(list));
            }
            NodeListUpdate::Rejected(error) => tracing::warn!(
                event = "node_list_rejected",
                placer = self.dispatcher.context.name,
                %error,
                "node list rejected, the previous list stays active"
            ),
        }
    }

    fn handle_settings(&mut self, update: SettingsUpdate) {
        match update {
            SettingsUpdate::Changed(settings) => {
                self.core
                    .handle(self.clock.now_us(), Input::SettingsChanged(settings));
            }
            SettingsUpdate::Rejected(error) => tracing::warn!(
                event = "settings_file_rejected",
                placer = self.dispatcher.context.name,
                %error,
                "settings file rejected, the previous settings stay active"
            ),
        }
    }

    fn dispatch_outputs(&mut self) {
        while let Some(output) = self.core.poll() {
            self.dispatcher.dispatch(output);
        }
    }

    /// Ends the loop and all tasks. In [`ShutdownMode::Stop`] the placer writes its ledger and beliefs first.
    async fn shut_down(mut self, mode: ShutdownMode) {
        match mode {
            ShutdownMode::Stop => {
                self.core.output_beliefs(self.clock.now_us());
                self.core.flush(self.clock.now_us());
                self.dispatch_outputs();
            }
            ShutdownMode::Kill => self
                .dispatcher
                .ledger
                .iter()
                .for_each(LedgerThread::abandon),
        }
        // Dropping `ledger` joins the ledger thread. With the queue closed, its sends fail instead of blocking on a
        // full queue for ever.
        self.sources.inbound.close();
        let OutputDispatcher {
            clients,
            links,
            ledger,
            ..
        } = self.dispatcher;
        drop(clients);
        drop(ledger);
        self.tasks.shutdown().await;
        links.shutdown().await;
    }
}
