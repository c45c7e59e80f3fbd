//! The tokio shell of a placer: connects [`reedring_core::Core`] to sockets, clocks and files.
//!
//! This crate makes no scheduling decisions: it translates bytes to inputs of the core, and outputs of the core to
//! bytes. The main types are [`Placer`], a running placer, and [`PlacerOptions`], the options with which it is
//! started in addition to its settings. Each placer has its own thread and runtime, so that several placers in one
//! process share nothing.
//!
//! # The event loop
//!
//! Only `EventLoop::run` (in `event_loop.rs`) accesses the core. In outline:
//!
//! ```text
//! loop {
//!     select! {                                      // whichever is ready
//!         inbound events, up to 512                  // from clients, links and the ledger thread
//!             => clients.add / respond / remove, links.link_established, core.handle(now, input)
//!         a node list update  => core.handle(now, Input::NodeListChanged)
//!         a settings update   => core.handle(now, Input::SettingsChanged)
//!         a command           => sleep, to simulate an overloaded host
//!         a shutdown request  => return shut_down()
//!         core.next_wake()    => nothing here: core.flush runs the timers that are due
//!     }
//!     core.release(now);                             // releases outputs that don't depend on this flush
//!     while let Some(output) = core.poll() { dispatcher.dispatch(output) }
//!     core.flush(now);                               // runs due timers and the decision module, once per batch
//!     while let Some(output) = core.poll() { dispatcher.dispatch(output) }
//! }
//! ```
//!
//! # Modules
//!
//! | module | owns or does | tasks or threads |
//! | --- | --- | --- |
//! | `placer` | handle of a running placer: thread, runtime, shutdown | the placer's thread |
//! | `startup` | assembles core, tasks and event loop | |
//! | `event_loop` | the core, its clock, the receiving ends of all queues | the event loop |
//! | `output` | executes the core's outputs | |
//! | `inbound` | events that tasks send to the event loop | |
//! | `clients` | the listener and the client connections | one that accepts; for each connection, one and its writer |
//! | `links` | links to nodes: lifecycle, handshake, messages | one for each node |
//! | `reconnect` | schedules reconnects | one that permits attempts |
//! | `ledger` | the state folder | a thread that writes it |
//! | `node_source` | the file of the node list | one that polls it |
//! | `settings_file` | the settings file | one that polls it |
//! | `context` | data that all tasks read: name, incarnation, active configuration | |
//! | `trace` | records of the trace | |
//! | `log_events` | logs the core's events | |
//! | `tasks` | cancels and joins tasks | |
//!
//! Each task belongs to one `TaskGroup`, which cancels it at an await point and joins it. A single link task is
//! cancelled by its `CancelHandle`, and its successor waits until it has ended. Tasks send to the event loop through
//! bounded queues. In addition, link tasks share the reconnect scheduler, the ledger thread receives commands from an
//! unbounded queue, and a `watch` channel passes the settings to the source of the node list. The failure of a node
//! or client ends only its own connection.
//!
//! When a link fails, the batch that was being written is lost without a report. Offers that were still queued are
//! reported as unwritten, except when the link task is replaced or cancelled, which drops its queue. The core doesn't
//! rely on these reports: after the next handshake the node reports every task that it runs, and the core's
//! reconciliation (`crates/core/src/lifecycle/reconciliation.rs`) settles each attempt accordingly.
//!
//! # Shutdown
//!
//! [`Placer::stop`] makes the core write its ledger and beliefs, joins the ledger thread, then cancels and joins all
//! tasks. [`Placer::kill`] does the same without the writes. In both cases the placer's sockets are closed when the
//! call returns.
//!
//! # Log records
//!
//! Each record has a field `event` with a stable name, and all except `belief_file_write_failed` and
//! `connection_accept_failed` have a field `placer`. `log_events` logs the core's events,
//! [`reedring_core::event::Event`]; to find where the core emits one, search for its variant (`node_disconnected` is
//! `Event::NodeDisconnected`). The shell logs these events itself:
//!
//! | event | level | module |
//! | --- | --- | --- |
//! | `node_list_rejected`, `settings_file_rejected` | warning | `event_loop` |
//! | `belief_file_skipped`, `belief_file_write_failed` | warning | `ledger` |
//! | `ledger_thread_failed` | error | `placer` |
//! | `connection_accept_failed` | warning | `clients`, by `reedring-connection` |
#![forbid(unsafe_code)]

mod clients;
mod clock;
mod context;
mod control;
mod error;
mod event_loop;
mod inbound;
mod ledger;
mod link_number;
mod links;
mod listener;
mod log_events;
mod node_source;
mod options;
mod output;
mod placer;
mod reconnect;
mod settings_file;
mod startup;
mod tasks;
mod trace;
mod watched_file;

pub use error::StartError;
pub use ledger::StateError;
pub use node_source::{FileNodeSource, NodeListError, NodeListSource, NodeListUpdate};
pub use options::PlacerOptions;
pub use placer::Placer;
pub use settings_file::SettingsFile;
pub use watched_file::FileReadError;
