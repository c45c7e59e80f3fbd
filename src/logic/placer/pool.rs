//! Chooses a machine for a task among its candidates: the pool of its service, the heights of the
//! columns for the water filling, and the draw.

use std::cmp::Reverse;

use super::Placer;
use crate::api::{Health, MachineId, ServiceId};
use crate::logic::machine_view::MachineView;
use crate::logic::water_filling::water_filling_probabilities;
use crate::names::mix64;

/// Maximum number of machines in the pool of a service: enough to include a lightly loaded one, few
/// enough for its tasks to share the program that is on the machine.
const POOL_SIZE: usize = 4;
/// By how much the column of a service's home (the first machine of its pool) or of a machine that
/// runs the service is lowered, as a fraction of a mean machine's capacity.
const AFFINITY: f64 = 0.25;
/// By how much the column of a service's second home (the second machine of its pool) is lowered, as
/// a fraction of a mean machine's capacity.
const SECOND_HOME_AFFINITY: f64 = AFFINITY / 2.0;
/// By how much each own task that has not started raises a column, as a fraction of a mean machine's
/// capacity: a few such tasks outweigh the affinity.
const STARTING_TASK_RISE: f64 = 0.1;
/// Fraction of its capacity up to which a machine of the smallest sufficient set is to be filled,
/// which determines how many machines are in the set.
const PACKING_FRACTION: f64 = 0.6;

/// A machine of a pool, and its weight in the draw.
pub(super) struct PoolMember {
    pub machine: MachineId,
    /// Its water filling probability times its capacity; the weights of a pool need not sum to 1.
    pub weight: f64,
}

/// Totals and means over the machines that are ready.
struct FleetSummary {
    /// Total capacity, in tasks of mean size.
    capacity: f64,
    /// Mean capacity of a machine, in tasks of mean size.
    mean_capacity: f64,
    /// Mean utilization of the machines whose load is known.
    mean_utilization: f64,
}

impl FleetSummary {
    fn new(views: &[MachineView]) -> Self {
        let mean = |sum: f64, count: usize| sum / count.max(1) as f64;
        let capacity: f64 = ready(views).map(|view| view.capacity_in_tasks).sum();
        let observed = ready(views)
            .filter(|view| view.is_observed)
            .map(|view| view.utilization);
        Self {
            capacity,
            mean_capacity: mean(capacity, ready(views).count()),
            mean_utilization: mean(observed.clone().sum(), observed.count()),
        }
    }

    /// The utilization assumed for a machine: at least the mean for one that may look emptier than
    /// it is.
    fn utilization(&self, view: &MachineView) -> f64 {
        let floor = if view.is_doubtful {
            self.mean_utilization
        } else {
            0.0
        };
        view.utilization.max(floor)
    }
}

fn ready(views: &[MachineView]) -> impl Iterator<Item = &MachineView> + Clone {
    views
        .iter()
        .filter(|view| view.machine.health == Health::Ready)
}

impl Placer {
    /// Chooses the pool of a service from the candidates, and computes the weights by water filling.
    /// `arriving` is the estimated load that arrives at all schedulers, in tasks of mean size.
    pub(super) fn weighted_pool(
        &self,
        candidates: Vec<&MachineView>,
        service: ServiceId,
        arriving: f64,
    ) -> Vec<PoolMember> {
        let fleet = FleetSummary::new(&self.views);
        let mut pool = candidates;
        if self.settings.prices.fleet.is_some_and(|price| price > 0.0) {
            self.retain_smallest_sufficient_set(&mut pool, &fleet, arriving);
        }
        retain_pool(&mut pool, service);
        let pool_capacity = pool.iter().map(|view| view.capacity_in_tasks).sum::<f64>();
        let arriving_at_pool = arriving * pool_capacity / fleet.capacity.max(1.0);
        let columns: Vec<f64> = pool
            .iter()
            .enumerate()
            .map(|(home_rank, view)| self.column_height(view, home_rank, service, &fleet))
            .collect();
        water_filling_probabilities(&columns, arriving_at_pool)
            .into_iter()
            .zip(pool)
            .map(|(probability, view)| PoolMember {
                machine: view.machine.id,
                weight: probability * view.capacity_in_tasks,
            })
            .collect()
    }

    /// Draws one machine by weight. The pool is not empty.
    pub(super) fn draw(&mut self, pool: &[PoolMember]) -> MachineId {
        let mut point = self.random.uniform() * pool.iter().map(|one| one.weight).sum::<f64>();
        let drawn = pool.iter().find(|one| {
            point -= one.weight;
            point < 0.0
        });
        drawn.unwrap_or(&pool[pool.len() - 1]).machine
    }

    /// Keeps the candidates that belong to the smallest sufficient set: the first machines of the
    /// ranking whose capacity, times [`PACKING_FRACTION`], holds the load of the fleet. Keeps all if
    /// none belongs to it.
    fn retain_smallest_sufficient_set(
        &self,
        candidates: &mut Vec<&MachineView>,
        fleet: &FleetSummary,
        arriving: f64,
    ) {
        let load: f64 = ready(&self.views)
            .map(|view| fleet.utilization(view) * view.capacity_in_tasks)
            .sum::<f64>()
            + arriving;
        let mut capacity = 0.0;
        let last = self
            .ranking
            .iter()
            .map(|position| &self.views[*position])
            .filter(|view| view.machine.health == Health::Ready)
            .find(|view| {
                capacity += view.capacity_in_tasks * PACKING_FRACTION;
                capacity >= load
            });
        let is_needed = |view: &&MachineView| last.is_none_or(|last| view.rank <= last.rank);
        if candidates.iter().any(is_needed) {
            candidates.retain(is_needed);
        }
    }

    /// The height of a machine's column, in tasks of mean size. `home_rank` is the position of the
    /// machine in the pool, from 0.
    fn column_height(
        &self,
        view: &MachineView,
        home_rank: usize,
        service: ServiceId,
        fleet: &FleetSummary,
    ) -> f64 {
        let home_affinity = match home_rank {
            0 => AFFINITY,
            1 => SECOND_HOME_AFFINITY,
            _ => 0.0,
        };
        let state = &self.machines[&view.machine.id];
        let running_affinity = if state.own_tasks.contains_key(&service) {
            AFFINITY
        } else {
            0.0
        };
        let starting_rise = state.starting.len() as f64 * STARTING_TASK_RISE;
        (fleet.utilization(view) + starting_rise - home_affinity.max(running_affinity))
            * fleet.mean_capacity
    }
}

/// Keeps the first [`POOL_SIZE`] machines in the order of a hash of service and machine. The order
/// is the same at all schedulers, so that the tasks of a service gather on machines that have its
/// program, without messages between schedulers.
fn retain_pool(candidates: &mut Vec<&MachineView>, service: ServiceId) {
    let service_hash = mix64(service.0);
    let order = |view: &&MachineView| Reverse(mix64(view.machine.id.0 ^ service_hash));
    if candidates.len() > POOL_SIZE {
        candidates.select_nth_unstable_by_key(POOL_SIZE - 1, order);
        candidates.truncate(POOL_SIZE);
    }
    candidates.sort_by_cached_key(order);
}
