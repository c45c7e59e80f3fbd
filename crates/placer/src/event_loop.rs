//! The main loop: hands what happened to the core, and carries out what the core answers.

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

/// Inbound events that the core takes in before the decision module decides on them.
const MAX_BATCH: usize = 512;

/// Where the loop's events come from.
pub(crate) struct EventSources {
    /// What clients, links and the ledger's thread report.
    pub inbound: mpsc::Receiver<InboundEvent>,
    /// Changes of the node list.
    pub node_lists: mpsc::Receiver<NodeListUpdate>,
    /// Changes of the settings file.
    pub settings: mpsc::Receiver<SettingsUpdate>,
    /// Commands of the placer's owner.
    pub control: ControlReceiver,
}

/// Why the loop goes round.
enum Wake {
    /// Inbound events are in the batch.
    Inbound,
    NodeList(NodeListUpdate),
    Settings(SettingsUpdate),
    Command(PlacerCommand),
    Shutdown(ShutdownMode),
    /// A timer of the core is due.
    Timer,
}

/// The main loop. It alone touches the core.
pub(crate) struct EventLoop {
    core: Core,
    clock: CoreClock,
    sources: EventSources,
    dispatcher: OutputDispatcher,
    /// The tasks that feed the sources, beside the links' own.
    tasks: TaskGroup,
    batch: Vec<InboundEvent>,
}

impl EventLoop {
    /// Of a core whose sources are fed by `tasks`.
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
            match self.next().await {
                Wake::Inbound => self.handle_batch(),
                Wake::NodeList(update) => self.handle_node_list(update),
                Wake::Settings(update) => self.handle_settings(update),
                Wake::Command(PlacerCommand::Stall(duration)) => {
                    self.dispatcher.context.trace.placer_stalled(duration);
                    std::thread::sleep(duration);
                }
                Wake::Shutdown(mode) => return self.shut_down(mode).await,
                Wake::Timer => {}
            }
            self.core.release(self.clock.now_us());
            self.carry_out_all();
            self.core.flush(self.clock.now_us());
            self.carry_out_all();
        }
    }

    async fn next(&mut self) -> Wake {
        let timer = self.core.next_wake().map(|at| self.clock.until(at));
        let EventSources {
            inbound,
            node_lists,
            settings,
            control,
        } = &mut self.sources;
        tokio::select! {
            _ = inbound.recv_many(&mut self.batch, MAX_BATCH) => Wake::Inbound,
            Some(update) = node_lists.recv() => Wake::NodeList(update),
            Some(update) = settings.recv() => Wake::Settings(update),
            Some(command) = control.commands.recv() => Wake::Command(command),
            mode = &mut control.shutdown => Wake::Shutdown(mode.unwrap_or(ShutdownMode::Kill)),
            () = tokio::time::sleep(timer.unwrap_or_default()), if timer.is_some() => Wake::Timer,
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
            InboundEvent::ClientAnswered { conn, response } => {
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
                self.dispatcher.context.trace.node_list(&text);
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

    fn carry_out_all(&mut self) {
        while let Some(output) = self.core.poll() {
            self.dispatcher.carry_out(output);
        }
    }

    /// Ends the loop and all tasks. Stopped in order, the placer writes its ledger and beliefs first.
    async fn shut_down(mut self, mode: ShutdownMode) {
        match mode {
            ShutdownMode::Stop => {
                self.core.output_beliefs(self.clock.now_us());
                self.core.flush(self.clock.now_us());
                self.carry_out_all();
            }
            ShutdownMode::Kill => self
                .dispatcher
                .ledger
                .iter()
                .for_each(LedgerThread::abandon),
        }
        // The ledger's thread is joined below, and must not wait for room in the queue.
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
