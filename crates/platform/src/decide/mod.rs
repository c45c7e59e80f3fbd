//! Pure decisions about connections and client departures, not about where a task is placed. Each function is tested
//! over a table of cases.

mod attempts;
mod clients;
mod hand_overs;
mod hosts;
mod links;
#[cfg(test)]
mod tests;

pub use attempts::{Execution, LinkEnd, execution_after, may_have_lost_input};
pub use clients::{
    ClientDeparture, DepartureAction, NotificationRoute, RequestStage, TaskOwnership,
    choose_routes, departure_action,
};
pub use hand_overs::{UnconfirmedGroup, choose_least_likely};
pub use hosts::{HostLoss, HostObservation, detect_host_loss};
pub use links::{
    EvictionCandidate, LinkCandidate, LinkChoice, OlderLink, SurplusLink, choose_eviction,
    choose_link, choose_surplus_link, may_add_link, needs_standby_link,
};
