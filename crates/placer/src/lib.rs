//! The tokio shell of a placer: sockets, the clock and the node list around [`reedring_core::Core`].
//!
//! What this crate is not: it decides nothing. Bytes become the core's inputs, its outputs become bytes. A reader needs
//! two types: [`Placer`], a running placer, and [`PlacerOptions`], what it is started with beside its settings. A placer
//! runs in a thread and a runtime of its own, so that several in one process share nothing.
//!
//! # The run loop
//!
//! `EventLoop::run` (in `event_loop.rs`) alone touches the core. In full:
//!
//! ```text
//! loop {
//!     select! {                                      // whichever is first
//!         inbound events, up to 512                  // clients, links, the ledger's thread
//!             => clients.add / respond / remove, links.link_established, core.handle(now, input)
//!         a node list         => core.handle(now, Input::NodeListChanged)
//!         a settings file     => core.handle(now, Input::SettingsChanged)
//!         a command           => stall, for tests
//!         a request to end    => return shut_down()
//!         core.next_wake()    => nothing: a timer of the core is due
//!     }
//!     core.release(now);                             // outputs that need no decision
//!     while let Some(output) = core.poll() { dispatcher.carry_out(output) }
//!     core.flush(now);                               // the decision module decides, once for the batch
//!     while let Some(output) = core.poll() { dispatcher.carry_out(output) }
//! }
//! ```
//!
//! # Modules
//!
//! | module | owns | tasks or threads |
//! | --- | --- | --- |
//! | `placer` | the handle: thread, runtime, end | the placer's thread |
//! | `startup` | nothing: puts the parts together | |
//! | `event_loop` | the core, the clock, the receiving ends of all queues | the main loop |
//! | `output` | the effects of the core's outputs | |
//! | `inbound` | the events that tasks send to the loop | |
//! | `clients` | the listener, the connections of clients | one accepts, one and a writer for each connection |
//! | `links` | the links to nodes: which run, handshake, messages both ways | one for each node |
//! | `reconnect` | the permits to reconnect | one grants permits |
//! | `ledger` | the state folder | a thread that writes it |
//! | `node_source` | the node list's file | one polls it |
//! | `settings_file` | the settings file | one polls it |
//! | `context` | what all tasks may read: name, incarnation, active configuration | |
//! | `trace` | the trace's records | |
//! | `log_events` | nothing: records the core's events | |
//! | `tasks` | cancellation and joining | |
//!
//! Each task has one owner, a `TaskGroup`, which cancels it at an await point and joins it; a single link is cancelled by
//! its `CancelHandle`, and its successor waits for its end. Tasks send to the loop by bounded queues; link tasks share the
//! reconnect scheduler besides, the ledger's thread has an unbounded queue of commands, and settings go out by a `watch`
//! channel. A failing node or client ends its own task's connection and nothing else.
//!
//! When a link fails, the batch that it was writing is lost without a report; offers that were still queued are reported
//! as unwritten. The queue of a link task that is replaced or cancelled is dropped. The core doesn't rely on any of this:
//! after the next handshake the node reports every task that it runs, and the core's reconciliation
//! (`crates/core/src/lifecycle/reconciliation.rs`) settles each attempt by that.
//!
//! # Shutdown
//!
//! [`Placer::stop`] lets the core write its ledger and beliefs, joins the ledger's thread, then cancels and joins all
//! tasks. [`Placer::kill`] does the same without the writes. Either way its sockets are closed when the call returns.
//!
//! # Log records
//!
//! Each has a field `event` with a stable name, and `placer`. `log_events` records those of the core,
//! [`reedring_core::event::Event`]: for who decides one, search the core for its variant (`node_disconnected` is
//! `Event::NodeDisconnected`). These are the shell's own:
//!
//! | event | level | written by |
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
