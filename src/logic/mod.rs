//! All placement decisions: a sans-I/O state machine, [`Placer`], that applies events and returns
//! actions.
//!
//! Nothing here reads a clock, does I/O, keeps global state or iterates in an undefined order, so
//! equal events give equal actions. The interface is in `src/api/`; `docs/design.md` states the
//! algorithm and each exception to these rules.

mod load_changes;
mod machine_state;
mod machine_view;
mod placer;
mod requests;
mod slow_start;
mod water_filling;

pub use self::placer::Placer;
pub use self::water_filling::{water_filling_probabilities, water_level};
