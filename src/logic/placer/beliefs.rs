//! What a scheduler has learned: exported, to be saved, and restored in its next process. Restoring
//! fills what the new process does not know and never loosens a limit that it already keeps.

use super::arrivals::Arrival;
use super::{Placer, REJECTING_US};
use crate::api::{Belief, Beliefs, Micros, Rules};
use crate::load::Load;
use crate::logic::load_changes::DatedLoad;
use crate::logic::machine_state::{MAX_BACKOFF_DOUBLINGS, MachineState, initial_backoff_us};
use crate::logic::requests::TenantClass;

impl Placer {
    /// What this scheduler has learned so far, with times relative to `now`.
    pub fn beliefs(&self, now: Micros) -> Beliefs {
        let machines = self
            .machines
            .values()
            .map(|state| belief(now, state))
            .filter(has_content)
            .collect();
        let arrivals = self.arrivals.iter();
        Beliefs {
            machines,
            answers: self.answer_times.to_vec(),
            arrivals: arrivals
                .map(|arrival| (now.saturating_sub(arrival.at), arrival.size))
                .collect(),
            ratio: Some((self.use_ratio.cores, self.use_ratio.memory)),
        }
    }

    /// Restores the beliefs of a previous process where nothing newer is known. Backoffs and spent
    /// slow start budgets only grow.
    pub(super) fn restore_beliefs(&mut self, now: Micros, beliefs: &Beliefs) {
        for belief in &beliefs.machines {
            if let Some(state) = self.machines.get_mut(&belief.machine) {
                restore_machine(now, state, belief, &self.settings.rules);
            }
        }
        self.answer_times.prepend(&beliefs.answers);
        let arrivals = beliefs.arrivals.iter().map(|(ago, size)| Arrival {
            at: now.saturating_sub(*ago),
            size: *size,
        });
        self.arrivals.prepend(arrivals);
        if let Some((cores, memory)) = beliefs
            .ratio
            .filter(|(cores, memory)| cores.is_finite() && memory.is_finite())
        {
            self.use_ratio = Load { cores, memory };
        }
    }
}

/// What this scheduler knows about one machine, with times relative to `now`.
fn belief(now: Micros, state: &MachineState) -> Belief {
    let ago = |at: Micros| now.saturating_sub(at);
    let aged = |dated: Option<DatedLoad>| {
        dated.map(|dated| (ago(dated.at), dated.load.cores, dated.load.memory))
    };
    Belief {
        machine: state.machine.id,
        requested: aged(state.requested),
        used: aged(state.used),
        rejected: aged(state.valid_rejection(now)),
        rejecting: state
            .rejecting
            .iter()
            .map(|(of, until)| (of.tenant, of.class, until.saturating_sub(now)))
            .collect(),
        consecutive_failures: state.consecutive_failures,
        backoff_us: state.backoff_until.saturating_sub(now),
        slow_start_offers: state.slow_start_offers.iter().map(|at| ago(*at)).collect(),
    }
}

/// Whether the belief has any content besides the id of its machine.
fn has_content(belief: &Belief) -> bool {
    *belief
        != Belief {
            machine: belief.machine,
            ..Belief::default()
        }
}

fn restore_machine(now: Micros, state: &mut MachineState, belief: &Belief, rules: &Rules) {
    let at = |ago: Micros| now.saturating_sub(ago);
    let sanitized = |(ago, cores, memory): (Micros, f64, f64)| DatedLoad {
        at: at(ago),
        load: Load::sanitized(cores, memory),
    };
    // An infinite load stands for a resource that was not short; `sanitized` would make it 0, which
    // rules out every request.
    let unsanitized = |(ago, cores, memory): (Micros, f64, f64)| DatedLoad {
        at: at(ago),
        load: Load { cores, memory },
    };
    state.requested = state.requested.or(belief.requested.map(sanitized));
    state.used = state.used.or(belief.used.map(sanitized));
    state.rejected = state.rejected.or(belief.rejected.map(unsanitized));
    for (tenant, class, remaining) in &belief.rejecting {
        let tenant_class = TenantClass {
            tenant: *tenant,
            class: *class,
        };
        let until = state.rejecting.entry(tenant_class).or_default();
        *until = (*until).max(now + (*remaining).min(REJECTING_US));
    }
    state.consecutive_failures = state
        .consecutive_failures
        .max(belief.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS));
    let longest_backoff = initial_backoff_us(rules) << MAX_BACKOFF_DOUBLINGS;
    state.backoff_until = state
        .backoff_until
        .max(now + belief.backoff_us.min(longest_backoff));
    state
        .slow_start_offers
        .extend(belief.slow_start_offers.iter().map(|ago| at(*ago)));
    state.slow_start_offers.sort_unstable();
}
