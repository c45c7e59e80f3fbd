//! Traces of what crossed the sockets of placers and nodes, and the audit that checks the five rules from a trace alone.
//!
//! [`Recorder`] writes a trace, [`read`] reads one, [`merge`] joins those of several processes, [`audit`] checks it. The
//! audit shares no code with the placer's job handling or the decision module: it reads the frames as they crossed the
//! sockets, and the settings and node lists that the placers had.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `trace` | the format of a trace |
//! | `checker/client_calls`, `checker/node_messages` | what was observed of jobs and attempts, and which rule is asked |
//! | `checker/outcome` | rule 1: one outcome, in time |
//! | `checker/duplicates` | rule 2: no second run |
//! | `checker/drains` | rule 3: nothing new for a node that drains |
//! | `checker/slow_start` | rule 4: budgets of nodes that are warming up |
//! | `checker/spread`, `constraint` | rule 5: spreads and constraints |
//! | `checker/versions` | beside the five: floors, majorities and joint bounds of configurations |
#![forbid(unsafe_code)]

mod checker;
mod constraint;
mod trace;

pub use checker::{Breach, Report, Rule, audit};
pub use trace::{Event, Frame, RecordProblem, Recorder, TraceError, merge, read};
