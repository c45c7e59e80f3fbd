//! What a former life learned, kept and taken up. It only ever adds bounds to what this life knows.

use super::*;

impl Placer {
    /// What it has learned so far.
    pub fn beliefs(&self, now: Micros) -> Beliefs {
        let ago = |at: Micros| now.saturating_sub(at);
        let aged = |dated: Option<(Micros, Load)>| {
            dated.map(|(at, load)| (ago(at), load.cores, load.memory))
        };
        let belief = |(id, state): (&MachineId, &MachineState)| Belief {
            machine: *id,
            asked: aged(state.asked),
            used: aged(state.used),
            refused: aged(state.refused.filter(|(at, _)| now < at + REFUSAL_US)),
            shut: state
                .shut
                .iter()
                .map(|(of, until)| (of.0, of.1, until.saturating_sub(now)))
                .collect(),
            strikes: state.strikes,
            barred_us: state.barred_until.saturating_sub(now),
            cold_offers: state.cold_offers.iter().map(|at| ago(*at)).collect(),
        };
        let learned = |belief: &Belief| {
            *belief
                != Belief {
                    machine: belief.machine,
                    ..Belief::default()
                }
        };
        Beliefs {
            machines: self.machines.iter().map(belief).filter(learned).collect(),
            answers: self.answers.iter().copied().collect(),
            arrivals: self
                .arrivals
                .iter()
                .map(|(at, size)| (ago(*at), *size))
                .collect(),
            ratio: Some((self.ratio.cores, self.ratio.memory)),
        }
    }

    /// Takes a former life's beliefs in where nothing newer is known; bars and spent budgets only grow.
    pub(super) fn restore(&mut self, now: Micros, beliefs: &Beliefs) {
        let at = |ago: Micros| now.saturating_sub(ago);
        let load =
            |(ago, cores, memory): (Micros, f64, f64)| (at(ago), Load::sanitized(cores, memory));
        for belief in &beliefs.machines {
            let Some(state) = self.machines.get_mut(&belief.machine) else {
                continue;
            };
            state.asked = state.asked.or(belief.asked.map(load));
            state.used = state.used.or(belief.used.map(load));
            let refused = |(ago, cores, memory)| (at(ago), Load { cores, memory });
            state.refused = state.refused.or(belief.refused.map(refused));
            for (tenant, class, left) in &belief.shut {
                let until = state.shut.entry((*tenant, *class)).or_default();
                *until = (*until).max(now + (*left).min(SHUT_US));
            }
            state.strikes = state.strikes.max(belief.strikes.min(BAR_DOUBLINGS));
            let bar = self.settings.rules.connect_timeout_us.unwrap_or(BAR_US) << BAR_DOUBLINGS;
            state.barred_until = state.barred_until.max(now + belief.barred_us.min(bar));
            state
                .cold_offers
                .extend(belief.cold_offers.iter().map(|ago| at(*ago)));
            state.cold_offers.sort_unstable();
        }
        let answers = beliefs
            .answers
            .iter()
            .chain(&self.answers)
            .copied()
            .collect::<VecDeque<_>>();
        self.answers = answers.into_iter().rev().take(ANSWERS).rev().collect();
        let before = beliefs.arrivals.iter().map(|(ago, size)| (at(*ago), *size));
        self.arrivals = before.chain(self.arrivals.iter().copied()).collect();
        self.arrivals.make_contiguous().sort_by_key(|(at, _)| *at);
        if let Some((cores, memory)) = beliefs
            .ratio
            .filter(|(x, y)| x.is_finite() && y.is_finite())
        {
            self.ratio = Load { cores, memory };
        }
    }
}
