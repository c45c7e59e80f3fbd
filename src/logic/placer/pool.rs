//! Where a task goes: the pool of its service, its columns and the draw. Which machines may take it is given.

use super::*;

/// Microseconds in which own arrivals are counted for `a`: about as long as a view stays unconfirmed.
pub(super) const WINDOW_US: Micros = 1_000_000;
/// Microseconds, at most, in which a quiet scheduler counts its arrivals: half a usual life of a task.
const SPAN_US: Micros = 10 * WINDOW_US;
/// Own arrivals that are enough to count over a shorter span: by then chance is a third of the count.
const ENOUGH_ARRIVALS: usize = 8;
/// Machines in the pool of a service: enough to find a low one, few enough to share its program.
const POOL_SIZE: usize = 4;
/// By how much a column is lower for a service's home or holder, as a fraction of a mean machine.
const AFFINITY: f64 = 0.25;
/// Rise of a column for each own start that waits, as a fraction of a mean machine: a few outweigh that.
const START_RISE: f64 = 0.1;
/// Fraction of its capacity up to which a machine of the smallest set is meant to be filled.
const PACK_FILL: f64 = 0.6;

pub(super) type Weights = Vec<(MachineId, f64)>; // The machines of a pool, and how likely each is.

impl Placer {
    /// The next random number; there are none before it is made.
    pub(super) fn uniform(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.0, |rng| {
            f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
        })
    }

    /// A load in tasks of mean size.
    pub(super) fn mean_size(&self, load: Load) -> f64 {
        let part = |x: f64, mean: Option<f64>| mean.filter(|mean| *mean > 0.0).map(|mean| x / mean);
        let cores = part(load.cores, self.settings.mean_cores);
        let memory = part(load.memory, self.settings.mean_memory);
        let both = cores
            .zip(memory)
            .map(|(cores, memory)| (cores + memory) / 2.0);
        both.or(cores).or(memory).unwrap_or(1.0)
    }

    /// The paper's a: the number of schedulers times the own arrivals, over longer where they are few.
    pub(super) fn arriving_load(&mut self, now: Micros) -> f64 {
        let old = self.arrivals.partition_point(|(at, _)| at + SPAN_US < now);
        self.arrivals.drain(..old);
        let before = self.arrivals.iter().rev().skip_while(|(at, _)| *at >= now);
        let enough = before
            .clone()
            .nth(ENOUGH_ARRIVALS - 1)
            .map_or(0, |(at, _)| *at);
        let span = (now - enough)
            .min(SPAN_US)
            .min(now - self.awake_since)
            .max(WINDOW_US);
        let own: f64 = before
            .take_while(|(at, _)| now <= at + span)
            .map(|(_, size)| size)
            .sum();
        own * WINDOW_US as f64 / span as f64 * f64::from(self.settings.schedulers.max(1))
    }

    pub(super) fn draw(&mut self, weights: &[(MachineId, f64)]) -> MachineId {
        let mut point = self.uniform() * weights.iter().map(|(_, p)| p).sum::<f64>();
        let drawn = weights.iter().find(|(_, p)| {
            point -= p;
            point < 0.0
        });
        drawn.unwrap_or(&weights[weights.len() - 1]).0
    }

    /// Water filling over the open machines: the weight of each in the pool.
    pub(super) fn weights(
        &self,
        mut pool: Vec<&MachineView>,
        service: ServiceId,
        a: f64,
    ) -> Weights {
        let ready = || {
            self.views
                .iter()
                .filter(|view| view.line.health == Health::Ready)
        };
        let mean = |sum: f64, of: usize| sum / of.max(1) as f64;
        let tasks: f64 = ready().map(|view| view.tasks).sum();
        let mean_tasks = mean(tasks, ready().count());
        let heard = ready().filter(|view| view.heard).map(|view| view.share);
        let average = mean(heard.clone().sum(), heard.count());
        // Machines back cold or from a failure look empty; they are no deeper than the average.
        let share = |view: &MachineView| view.share.max(if view.floored { average } else { 0.0 });
        if self.settings.prices.fleet.is_some_and(|price| price > 0.0) {
            // The smallest set that holds the load, in an order that all schedulers share.
            let load: f64 = ready().map(|view| share(view) * view.tasks).sum::<f64>() + a;
            let mut room = 0.0;
            let order = self.order.iter().map(|at| &self.views[*at]);
            let last = order
                .filter(|view| view.line.health == Health::Ready)
                .find(|view| {
                    room += view.tasks * PACK_FILL;
                    room >= load
                });
            let needed = |view: &&MachineView| last.is_none_or(|last| view.rank <= last.rank);
            if pool.iter().any(needed) {
                pool.retain(needed);
            }
        }
        // Homes are the same at every scheduler: without a word tasks gather where their program is.
        let of = mix(service.0);
        let first = |view: &&MachineView| std::cmp::Reverse(mix(view.line.id.0 ^ of));
        if pool.len() > POOL_SIZE {
            pool.select_nth_unstable_by_key(POOL_SIZE - 1, first);
            pool.truncate(POOL_SIZE);
        }
        pool.sort_by_cached_key(first);
        let a = a * pool.iter().map(|view| view.tasks).sum::<f64>() / tasks.max(1.0);
        let column = |(rank, view): (usize, &&MachineView)| {
            let home = [AFFINITY, AFFINITY / 2.0].get(rank).copied().unwrap_or(0.0);
            let state = &self.machines[&view.line.id];
            let holds = if state.services.contains_key(&service) {
                AFFINITY
            } else {
                0.0
            };
            (share(view) + state.starting.len() as f64 * START_RISE - home.max(holds)) * mean_tasks
        };
        let columns: Vec<f64> = pool.iter().enumerate().map(column).collect();
        let weights = water_filling_probabilities(&columns, a)
            .into_iter()
            .zip(pool);
        weights
            .map(|(p, view)| (view.line.id, p * view.tasks))
            .collect()
    }
}
