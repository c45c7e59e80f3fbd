//! Where a task goes: the pool of its service, its columns and the draw. Who may take it is told, not asked.

use super::*;

/// Microseconds in which own arrivals are counted for `a`: about as long as a view stays unconfirmed.
pub(super) const WINDOW_US: Micros = 1_000_000;
/// Microseconds, at most, in which a quiet scheduler counts its arrivals: half a usual life of a task.
const SPAN_US: Micros = 10 * WINDOW_US;
/// Own arrivals that are enough to count over a shorter span: by then chance is a third of the count.
const ENOUGH: usize = 8;
/// Machines in the pool of a service: enough to find a low one, few enough to share its program.
const HOMES: usize = 4;
/// Depth of the dip for a service's home or holder, as a fraction of a mean machine.
const DIP: f64 = 0.25;
/// Rise of a column for each own start that waits, as a fraction of a mean machine: a few outweigh the dip.
const START_RISE: f64 = 0.1;
/// Fraction of its capacity up to which a machine of the smallest set is meant to be filled.
const PACK_FILL: f64 = 0.6;

impl Placer {
    /// The next random number; there are none before it is made.
    pub(super) fn uniform(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.0, |rng| f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0))
    }

    /// A load in tasks of mean size.
    pub(super) fn mean_size(&self, load: Load) -> f64 {
        let part = |x: f64, mean: Option<f64>| mean.filter(|mean| *mean > 0.0).map(|mean| x / mean);
        let cores = part(load.cores, self.settings.mean_cores);
        let memory = part(load.memory, self.settings.mean_memory);
        let both = cores.zip(memory).map(|(cores, memory)| (cores + memory) / 2.0);
        both.or(cores).or(memory).unwrap_or(1.0)
    }

    /// The paper's a: the told number of schedulers times the own arrivals, over longer where they are few.
    pub(super) fn poured(&mut self, now: Micros) -> f64 {
        let old = self.arrivals.partition_point(|(at, _)| at + SPAN_US < now);
        self.arrivals.drain(..old);
        let before = self.arrivals.iter().rev().skip_while(|(at, _)| *at >= now);
        let enough = before.clone().nth(ENOUGH - 1).map_or(0, |(at, _)| *at);
        let span = (now - enough).min(SPAN_US).min(now - self.awake_since).max(WINDOW_US);
        let own: f64 = before.take_while(|(at, _)| now <= at + span).map(|(_, size)| size).sum();
        own * WINDOW_US as f64 / span as f64 * f64::from(self.settings.schedulers.max(1))
    }

    pub(super) fn draw(&mut self, odds: &[(MachineId, f64)]) -> MachineId {
        let mut point = self.uniform() * odds.iter().map(|(_, p)| p).sum::<f64>();
        let drawn = odds.iter().find(|(_, p)| {
            point -= p;
            point < 0.0
        });
        drawn.unwrap_or(&odds[odds.len() - 1]).0
    }

    /// One pour over the open machines: the odds of each in the pool.
    pub(super) fn odds(&self, mut pool: Vec<&Glance>, service: ServiceId, a: f64) -> Vec<(MachineId, f64)> {
        let ready = || self.glances.iter().filter(|seat| seat.line.health == Health::Ready);
        let mean = |sum: f64, of: usize| sum / of.max(1) as f64;
        let tasks: f64 = ready().map(|seat| seat.tasks).sum();
        let mean_tasks = mean(tasks, ready().count());
        let heard = ready().filter(|seat| seat.heard).map(|seat| seat.share);
        let average = mean(heard.clone().sum(), heard.count());
        // Machines back cold or from a failure look empty; they are no deeper than the average.
        let share = |seat: &Glance| seat.share.max(if seat.floored { average } else { 0.0 });
        if self.settings.prices.fleet.is_some_and(|price| price > 0.0) {
            // The smallest set that holds the load, in an order that all schedulers share.
            let load: f64 = ready().map(|seat| share(seat) * seat.tasks).sum::<f64>() + a;
            let mut room = 0.0;
            let order = self.order.iter().map(|at| &self.glances[*at]);
            let last = order.filter(|seat| seat.line.health == Health::Ready).find(|seat| {
                room += seat.tasks * PACK_FILL;
                room >= load
            });
            let needed = |seat: &&Glance| last.is_none_or(|last| seat.rank <= last.rank);
            if pool.iter().any(needed) {
                pool.retain(needed);
            }
        }
        // Homes are the same at every scheduler: without a word tasks gather where their program is.
        let of = mix(service.0);
        let first = |seat: &&Glance| std::cmp::Reverse(mix(seat.line.id.0 ^ of));
        if pool.len() > HOMES {
            pool.select_nth_unstable_by_key(HOMES - 1, first);
            pool.truncate(HOMES);
        }
        pool.sort_by_cached_key(first);
        let a = a * pool.iter().map(|seat| seat.tasks).sum::<f64>() / tasks.max(1.0);
        let column = |(rank, glance): (usize, &&Glance)| {
            let home = [DIP, DIP / 2.0].get(rank).copied().unwrap_or(0.0);
            let seat = &self.seats[&glance.line.id];
            let holds = if seat.services.contains_key(&service) { DIP } else { 0.0 };
            (share(glance) + seat.starting.len() as f64 * START_RISE - home.max(holds)) * mean_tasks
        };
        let columns: Vec<f64> = pool.iter().enumerate().map(column).collect();
        let odds = tidal_probabilities(&columns, a).into_iter().zip(pool);
        odds.map(|(p, seat)| (seat.line.id, p * seat.tasks)).collect()
    }
}
