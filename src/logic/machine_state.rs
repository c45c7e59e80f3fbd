//! What this scheduler knows about one machine: its list entry, load, own attempts and health, and
//! how long each of these stays valid.

use std::collections::{BTreeMap, BTreeSet};

use super::load_changes::{DatedLoad, LoadChanges};
use super::machine_view::MachineView;
use super::requests::{ActiveAttempt, TenantClass};
use super::slow_start::SchedulerIdentity;
use crate::api::{AttemptId, Health, Machine, Micros, Rules, ServiceId, Settings};
use crate::load::{Load, UNSCALED};

/// Microseconds by which an entry of the machine list may lag behind the machine. Own offers and
/// ends of the last such period before the entry arrived, and all later ones, are added to its load.
const LIST_LAG_US: Micros = 2_500_000;
/// Microseconds by which a load report may lag behind the machine: less than the list, as the
/// report comes directly from the machine.
const REPORT_LAG_US: Micros = 500_000;
/// Microseconds for which a rejection for lack of capacity is valid without a newer report: a little
/// longer than the slowest report takes.
pub const REJECTION_VALID_US: Micros = 3_000_000;
/// Microseconds of the first backoff after a failure where the settings have no connect time-out.
pub const DEFAULT_BACKOFF_US: Micros = 250_000;
/// Maximum number of doublings of the backoff: 2^5 connect time-outs cover most faults.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Fraction of its memory up to which a machine gets tasks: tasks grow after their start, and a
/// machine whose memory is full evicts.
const MEMORY_SOFT_LIMIT: f64 = 0.85;

/// The first backoff after a failure: the connect time-out, or a default where none is set.
pub fn initial_backoff_us(rules: &Rules) -> Micros {
    rules.connect_timeout_us.unwrap_or(DEFAULT_BACKOFF_US)
}

/// The multiples of its cores and memory up to which a machine accepts requests, from the settings;
/// 1 where they are unset, not positive or not finite.
pub fn accepted_multiples(settings: &Settings) -> Load {
    let multiple = |x: Option<f64>| x.filter(|x| x.is_finite() && *x > 0.0).unwrap_or(1.0);
    Load {
        cores: multiple(settings.accepts_cores),
        memory: multiple(settings.accepts_memory),
    }
}

/// What this scheduler knows about one machine. "Own" offers, attempts and tasks are those of this
/// scheduler.
#[derive(Default)]
pub struct MachineState {
    /// Its latest entry in the machine list.
    pub machine: Machine,
    /// Its cores and memory; 0 where unknown.
    pub size: Load,
    /// The sum of requests up to which it accepts tasks: its size times the accepted multiples.
    pub accept_limit: Load,
    /// The use above which service degrades or memory gets short.
    pub soft_limit: Load,
    /// Its capacity, in tasks of mean size.
    pub capacity_in_tasks: f64,
    /// What the tasks of all schedulers request there, as last learned from the list or a report.
    pub requested: Option<DatedLoad>,
    /// What the tasks of all schedulers use there, as last reported.
    pub used: Option<DatedLoad>,
    /// Own offers, and ended attempts as negative loads, that reports may not include yet.
    recent_changes: LoadChanges,
    /// What own attempts request, from the offer until the end.
    own_load: Load,
    /// The last rejection for lack of capacity, and the least load that it rules out.
    pub rejected: Option<DatedLoad>,
    /// The number of own tasks by service, including attempts in flight.
    pub own_tasks: BTreeMap<ServiceId, u32>,
    /// When own offers were sent while it was warming up, the oldest first.
    pub slow_start_offers: Vec<Micros>,
    /// Own offers without an answer, and when each was sent.
    unanswered: BTreeMap<AttemptId, Micros>,
    /// Own attempts that are offered or accepted, and not known to run.
    pub starting: BTreeSet<AttemptId>,
    /// Count of failures, each of which doubles the backoff; an answer to an offer halves it.
    pub consecutive_failures: u32,
    /// Until when it gets no offers after failures.
    pub backoff_until: Micros,
    /// The latest time at which an offer or health check was sent that it has answered.
    latest_answered_send: Micros,
    /// When its last answer to an offer or health check arrived.
    last_answer_at: Micros,
    /// When it was last sent a health check.
    pub last_health_check_at: Option<Micros>,
    /// Whether a health check that was sent for its load report has no answer yet.
    pub health_check_pending: bool,
    /// Tenants and classes whose tasks it rejects without naming a shortage, and until when such
    /// tasks are not offered to it. An entry whose time has passed is a suspicion, which one more
    /// rejection or unanswered offer confirms.
    pub rejecting: BTreeMap<TenantClass, Micros>,
    /// Since when the list has had it as gone; `None` while it is listed.
    pub removed_since: Option<Micros>,
}

/// The entry in the list, and the size.
impl MachineState {
    /// Creates the state of a machine of which only its entry in the list is known.
    pub fn new(machine: &Machine, settings: &Settings) -> Self {
        Self {
            machine: machine.clone(),
            ..Self::default()
        }
        .resized(settings)
    }

    /// Computes the sizes and limits anew from `settings`; everything learned about the machine is
    /// kept.
    pub fn resized(self, settings: &Settings) -> Self {
        let kind = settings
            .kinds
            .get(usize::from(self.machine.kind))
            .cloned()
            .unwrap_or_default();
        let size = Load::sanitized(kind.cores.unwrap_or(0.0), kind.memory.unwrap_or(0.0));
        let accept_limit = size.times(accepted_multiples(settings));
        let calm_fraction = settings
            .classes
            .iter()
            .filter_map(|class| class.calm)
            .fold(1.0, f64::min);
        let soft_limit = size.times(Load {
            cores: calm_fraction,
            memory: MEMORY_SOFT_LIMIT,
        });
        Self {
            size,
            accept_limit,
            soft_limit,
            capacity_in_tasks: capacity_in_tasks(accept_limit, settings),
            ..self
        }
    }

    /// Applies a new entry of the list. If the machine has restarted, the loads, the rejection and
    /// the failures recorded before that are discarded.
    pub fn update(&mut self, now: Micros, machine: &Machine) {
        if machine.ready_at != self.machine.ready_at {
            (self.requested, self.used, self.rejected) = (None, None, None);
            (self.consecutive_failures, self.backoff_until) = (0, 0);
        }
        if let (Some(cores), Some(memory)) = (machine.free_cores, machine.free_memory) {
            let load = Load::sanitized(self.size.cores - cores, self.size.memory - memory);
            self.requested = Some(DatedLoad { at: now, load });
            self.expire_rejection(now, LIST_LAG_US);
        }
        self.machine = machine.clone();
    }

    /// Updates `removed_since` from the health that the list states.
    pub fn track_removal(&mut self, now: Micros) {
        let is_gone = self.machine.health == Health::Gone;
        self.removed_since = is_gone.then(|| self.removed_since.unwrap_or(now));
    }

    /// Whether it started less than `warm_after_us` ago, so that it survives only a few offers.
    pub fn is_warming_up(&self, now: Micros, rules: &Rules) -> bool {
        let warm_after = rules.warm_after_us.unwrap_or(0);
        self.machine
            .ready_at
            .is_some_and(|at| now < at.saturating_add(warm_after))
    }
}

/// How many tasks of mean size a machine accepts; 1 where the settings state no mean size or no size
/// of the machine.
fn capacity_in_tasks(accept_limit: Load, settings: &Settings) -> f64 {
    let tasks_that_fit = |mean: Option<f64>, capacity: f64| mean.map(|mean| capacity / mean);
    let by_resource = [
        tasks_that_fit(settings.mean_cores, accept_limit.cores),
        tasks_that_fit(settings.mean_memory, accept_limit.memory),
    ];
    by_resource
        .into_iter()
        .flatten()
        .filter(|tasks| tasks.is_finite() && *tasks > 0.0)
        .reduce(f64::min)
        .unwrap_or(1.0)
}

/// The load: reports, rejections, and what is requested and used.
impl MachineState {
    /// Applies a load report, which states what is left: not requested by any task if
    /// `counts_requests`, else not used by any.
    pub fn apply_report(&mut self, now: Micros, left: Load, counts_requests: bool) {
        let load = Load::sanitized(self.size.cores - left.cores, self.size.memory - left.memory);
        let report = Some(DatedLoad { at: now, load });
        if counts_requests {
            self.requested = report;
            self.expire_rejection(now, REPORT_LAG_US);
        } else {
            self.used = report;
        }
    }

    /// Discards the rejection in favour of a report that has arrived, unless the rejection is
    /// younger than the `lag` of the report, which may then describe the time before it.
    fn expire_rejection(&mut self, now: Micros, lag: Micros) {
        self.rejected = self.rejected.filter(|rejected| now < rejected.at + lag);
    }

    /// The last rejection for lack of capacity, if it is still valid.
    pub fn valid_rejection(&self, now: Micros) -> Option<DatedLoad> {
        self.rejected
            .filter(|rejected| now < rejected.at + REJECTION_VALID_US)
    }

    /// Records an own offer, or an ended attempt as a negative load, until reports include it.
    fn record_change(&mut self, now: Micros, load: Load) {
        self.recent_changes.record(now, load, 2 * LIST_LAG_US);
    }

    /// The number of load changes in memory.
    pub fn recent_change_count(&self) -> usize {
        self.recent_changes.len()
    }

    /// What tasks of all schedulers request there; at least what own attempts request.
    pub fn requested_now(&self) -> Load {
        let requested = self.requested.map_or(self.own_load, |report| {
            self.recent_changes.added_to(report, LIST_LAG_US, UNSCALED)
        });
        Load::sanitized(
            requested.cores.max(self.own_load.cores),
            requested.memory.max(self.own_load.memory),
        )
    }

    /// What tasks of all schedulers use there; `None` without a report. Own tasks that the last
    /// report may not include yet count by `use_ratio`, the expected ratio of use to request.
    pub fn used_now(&self, use_ratio: Load) -> Option<Load> {
        self.used.map(|report| {
            self.recent_changes
                .added_to(report, REPORT_LAG_US, use_ratio)
        })
    }

    /// The view of this machine for the draws of one step. The rank is left at 0, for the caller to
    /// set.
    pub fn view(
        &self,
        now: Micros,
        settings: &Settings,
        scheduler: SchedulerIdentity,
        use_ratio: Load,
    ) -> MachineView {
        let (requested, used) = (self.requested_now(), self.used_now(use_ratio));
        let is_observed = self.requested.is_some() || self.used.is_some();
        let rejected = self.valid_rejection(now).map(|rejected| rejected.load);
        let rejects_everything = rejected.is_some_and(|rejected| Load::default().reaches(rejected));
        let full = f64::from(u8::from(rejects_everything));
        let used_fraction = used.map_or(0.0, |used| used.dominant_fraction(self.soft_limit));
        let requested_fraction = requested.dominant_fraction(self.accept_limit);
        MachineView {
            machine: self.machine.clone(),
            rank: 0,
            capacity_in_tasks: self.capacity_in_tasks,
            accept_limit: self.accept_limit,
            memory_limit: self.soft_limit.memory,
            requested,
            used,
            rejected,
            utilization: requested_fraction.max(used_fraction).max(full),
            is_observed,
            is_doubtful: !is_observed
                || self.consecutive_failures > 0
                || self.is_warming_up(now, &settings.rules),
            has_slow_start_budget: self.has_slow_start_budget(now, settings, scheduler),
            is_backing_off: self.backoff_until > now,
            is_rejecting: self.rejecting.values().any(|until| *until > now),
        }
    }
}

/// Own attempts at the machine.
impl MachineState {
    /// Counts an own attempt. It does not count as a recent change, because reports already include
    /// an adopted task; [`record_offer`](Self::record_offer) adds that of an offer.
    pub fn add_attempt(&mut self, attempt: &ActiveAttempt) {
        self.own_load = self.own_load.plus(attempt.load);
        *self.own_tasks.entry(attempt.service).or_default() += 1;
    }

    /// Removes an own attempt that ended from the load and the counts.
    pub fn remove_attempt(&mut self, now: Micros, id: AttemptId, attempt: &ActiveAttempt) {
        self.record_change(now, attempt.load.times(Load::uniform(-1.0)));
        self.untrack_attempt(id, attempt);
    }

    /// Removes an attempt that is not known to exist from the load and the counts. That frees
    /// nothing at the machine.
    pub fn untrack_attempt(&mut self, id: AttemptId, attempt: &ActiveAttempt) {
        self.own_load = self.own_load.plus(attempt.load.times(Load::uniform(-1.0)));
        self.starting.remove(&id);
        if let Some(tasks) = self.own_tasks.get_mut(&attempt.service) {
            *tasks -= 1;
            if *tasks == 0 {
                self.own_tasks.remove(&attempt.service);
            }
        }
    }

    /// Records an offer that is sent now; it counts against the slow start budget of a machine that
    /// is warming up.
    pub fn record_offer(&mut self, now: Micros, id: AttemptId, load: Load, rules: &Rules) {
        self.record_change(now, load);
        self.unanswered.insert(id, now);
        self.starting.insert(id);
        if self.is_warming_up(now, rules) {
            self.slow_start_offers.push(now);
        }
    }

    /// Stops waiting for the answer to an offer.
    pub fn forget_offer(&mut self, id: AttemptId) {
        self.unanswered.remove(&id);
    }
}

/// The health: failures, answers and silence.
impl MachineState {
    /// Records a failed connection, health check or attempt. The backoff doubles with each, up to
    /// [`MAX_BACKOFF_DOUBLINGS`] times.
    pub fn record_failure(&mut self, now: Micros, rules: &Rules) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now + (initial_backoff_us(rules) << doublings);
        self.consecutive_failures += 1;
    }

    /// Records an answer to an offer. It halves the count of failures rather than clearing it: one
    /// answer does not show that an overload is over.
    pub fn record_answer(&mut self, now: Micros, id: AttemptId) {
        let sent_at = self.unanswered.remove(&id).unwrap_or(0);
        self.latest_answered_send = self.latest_answered_send.max(sent_at);
        self.last_answer_at = now;
        self.consecutive_failures /= 2;
    }

    /// Records an answer to a health check that was sent `took_us` microseconds ago.
    pub fn record_health_check_answer(&mut self, now: Micros, took_us: Micros) {
        self.last_answer_at = now;
        self.latest_answered_send = self.latest_answered_send.max(now.saturating_sub(took_us));
    }

    /// Whether the machine has answered an offer or health check that was sent after `sent_at`, and
    /// so passed over one sent at `sent_at`. Machines answer in the order of sending, except where
    /// they answer only when the task runs: there the result is always false.
    pub fn was_passed_over(&self, sent_at: Micros, settings: &Settings) -> bool {
        !settings.yes_when_running && sent_at < self.latest_answered_send
    }

    /// Whether the machine passed over this offer; false if the offer is not waiting for an answer.
    pub fn offer_was_passed_over(&self, id: AttemptId, settings: &Settings) -> bool {
        self.unanswered
            .get(&id)
            .is_some_and(|sent_at| self.was_passed_over(*sent_at, settings))
    }

    /// Since when an offer has waited with no answer of any kind from this machine; `None` where no
    /// offer waits. A machine that still answers other offers is slow, not silent. Time before
    /// `running_since` does not count.
    pub fn silent_since(&self, running_since: Micros) -> Option<Micros> {
        self.unanswered
            .values()
            .min()
            .map(|sent_at| (*sent_at).max(self.last_answer_at).max(running_since))
    }

    /// Whether tasks of this tenant and class are not to be offered to it now.
    pub fn is_rejecting(&self, now: Micros, tenant_class: TenantClass) -> bool {
        self.rejecting
            .get(&tenant_class)
            .is_some_and(|until| *until > now)
    }
}
