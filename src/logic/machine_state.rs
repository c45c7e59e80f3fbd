//! What this scheduler knows of one machine, and how long each piece of that knowledge counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::machine_view::MachineView;
use super::requests::{ActiveAttempt, TenantClass};
use super::slow_start::SchedulerIdentity;
use crate::api::{AttemptId, Health, Machine, Micros, Rules, ServiceId, Settings};
use crate::load::{Load, UNSCALED};

/// Microseconds by which entries of the machine list lag; younger own offers are added to what they
/// say.
const LIST_LAG_US: Micros = 2_500_000;
/// Microseconds by which load reports lag; they come straight from the machine.
const REPORT_LAG_US: Micros = 500_000;
/// Microseconds for which a rejection counts without a newer report: a little over the slowest
/// report.
pub const REJECTION_VALID_US: Micros = 3_000_000;
/// Microseconds of the first backoff after a failure where the settings have no connect time-out.
pub const DEFAULT_BACKOFF_US: Micros = 250_000;
/// Doublings of the backoff at most: 2^5 connect time-outs is as long as most faults last.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Fraction of its memory that a machine may use: tasks grow after their start, and a full machine
/// evicts.
const MEMORY_SOFT_LIMIT: f64 = 0.85;

/// The first backoff after a failure: the connect time-out, or a default where none is set.
pub fn initial_backoff_us(rules: &Rules) -> Micros {
    rules.connect_timeout_us.unwrap_or(DEFAULT_BACKOFF_US)
}

/// The multiples of its size up to which a machine accepts requests, by the settings.
pub fn accepted_multiples(settings: &Settings) -> Load {
    let multiple = |x: Option<f64>| x.filter(|x| x.is_finite() && *x > 0.0).unwrap_or(1.0);
    Load {
        cores: multiple(settings.accepts_cores),
        memory: multiple(settings.accepts_memory),
    }
}

/// A load, and when it was learned or changed.
#[derive(Clone, Copy)]
pub struct DatedLoad {
    pub at: Micros,
    pub load: Load,
}

/// What this scheduler knows of one machine.
#[derive(Default)]
pub struct MachineState {
    /// Its latest entry in the machine list.
    pub machine: Machine,
    /// Its cores and memory; 0 where unknown.
    pub size: Load,
    /// Its size times the multiples that a machine accepts.
    pub accept_limit: Load,
    /// Its size, up to where service starts to fade or memory gets short.
    pub soft_limit: Load,
    /// Its capacity, in tasks of mean size.
    pub capacity_in_tasks: f64,
    /// What all tasks there request, as last learned.
    pub requested: Option<DatedLoad>,
    /// What all tasks there use, as last reported.
    pub used: Option<DatedLoad>,
    /// Own offers, and ends as negative loads, that are young enough to be missing from reports.
    recent_changes: VecDeque<DatedLoad>,
    /// What own tasks request.
    own_load: Load,
    /// The last request that it rejected for lack of capacity.
    pub rejected: Option<DatedLoad>,
    /// Own tasks by service, attempts in flight too.
    pub own_tasks: BTreeMap<ServiceId, u32>,
    /// When own offers were sent while it was warming up, the oldest first.
    pub slow_start_offers: Vec<Micros>,
    /// Own offers without an answer, and when each was sent.
    unanswered: BTreeMap<AttemptId, Micros>,
    /// Own tasks that are offered or accepted and not known to run.
    pub starting: BTreeSet<AttemptId>,
    /// Failures without an answer; each answer halves the count.
    pub consecutive_failures: u32,
    /// Until when it gets no offers after failures.
    pub backoff_until: Micros,
    /// When the latest offer or health check that it answered was sent.
    latest_answered_send: Micros,
    /// When it last answered anything.
    last_answer_at: Micros,
    /// When it was last sent a health check.
    pub last_health_check_at: Option<Micros>,
    /// A health check for its load report has no answer yet.
    pub health_check_pending: bool,
    /// Tenants and classes whose tasks it rejects without naming a shortage, and until when they
    /// avoid it. A time that has passed is a suspicion, which a second event confirms.
    pub rejecting: BTreeMap<TenantClass, Micros>,
    /// Since when the list says that it is gone.
    pub removed_since: Option<Micros>,
}

/// Its entry in the list and its size.
impl MachineState {
    /// A machine of which only its entry in the list is known.
    pub fn new(machine: &Machine, settings: &Settings) -> Self {
        Self {
            machine: machine.clone(),
            ..Self::default()
        }
        .resized(settings)
    }

    /// The same machine with the sizes and limits of these settings; all that was learned of it
    /// stays.
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

    /// Takes in a new entry of the list. A new start of the machine makes all older reports void.
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

    /// Notes whether the list says that it is gone, and since when.
    pub fn track_removal(&mut self, now: Micros) {
        let is_gone = self.machine.health == Health::Gone;
        self.removed_since = is_gone.then(|| self.removed_since.unwrap_or(now));
    }

    /// Whether it started so recently that it bears only a few offers.
    pub fn is_warming_up(&self, now: Micros, rules: &Rules) -> bool {
        let warm_after = rules.warm_after_us.unwrap_or(0);
        self.machine
            .ready_at
            .is_some_and(|at| now < at.saturating_add(warm_after))
    }
}

/// How many tasks of mean size a machine accepts; 1 where the settings don't tell.
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

/// Its load.
impl MachineState {
    /// Takes in a load report, which tells what is left: of requests if `counts_requests`, else of
    /// use.
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

    /// Forgets the rejection, unless it is younger than the `lag` of the report that has come: such
    /// a report says nothing against it.
    fn expire_rejection(&mut self, now: Micros, lag: Micros) {
        self.rejected = self.rejected.filter(|rejected| now < rejected.at + lag);
    }

    /// The last rejection, while it counts.
    pub fn valid_rejection(&self, now: Micros) -> Option<DatedLoad> {
        self.rejected
            .filter(|rejected| now < rejected.at + REJECTION_VALID_US)
    }

    /// Remembers an own offer, or an end as a negative load, until reports hold it.
    fn record_change(&mut self, now: Micros, load: Load) {
        self.recent_changes
            .retain(|change| now < change.at + 2 * LIST_LAG_US);
        self.recent_changes.push_back(DatedLoad { at: now, load });
    }

    /// A report that lags, plus the own changes that it can't hold yet, each times `factors`.
    fn with_recent_changes(&self, report: DatedLoad, lag: Micros, factors: Load) -> Load {
        self.recent_changes
            .iter()
            .filter(|change| change.at + lag > report.at)
            .fold(report.load, |sum, change| {
                sum.plus(change.load.times(factors))
            })
    }

    /// What tasks of all schedulers request there: never less than what own tasks request.
    pub fn requested_now(&self) -> Load {
        let requested = self.requested.map_or(self.own_load, |report| {
            self.with_recent_changes(report, LIST_LAG_US, UNSCALED)
        });
        Load::sanitized(
            requested.cores.max(self.own_load.cores),
            requested.memory.max(self.own_load.memory),
        )
    }

    /// What tasks of all schedulers use there, by the last report; `use_ratio` is the expected
    /// ratio of use to request for own tasks that it can't hold yet.
    pub fn used_now(&self, use_ratio: Load) -> Option<Load> {
        self.used
            .map(|report| self.with_recent_changes(report, REPORT_LAG_US, use_ratio))
    }

    /// How the draws of one step see it; the rank is left at 0.
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

/// Own attempts there.
impl MachineState {
    /// Counts an own attempt. What all tasks request stays: reports hold an adopted task already.
    pub fn add_attempt(&mut self, attempt: &ActiveAttempt) {
        self.own_load = self.own_load.plus(attempt.load);
        *self.own_tasks.entry(attempt.service).or_default() += 1;
    }

    /// Takes an own attempt that ended out of the load and the counts.
    pub fn remove_attempt(&mut self, now: Micros, id: AttemptId, attempt: &ActiveAttempt) {
        let released = attempt.load.times(Load::uniform(-1.0));
        self.own_load = self.own_load.plus(released);
        self.record_change(now, released);
        self.starting.remove(&id);
        let tasks = self.own_tasks.entry(attempt.service).or_default();
        *tasks = tasks.saturating_sub(1);
        self.own_tasks.retain(|_, tasks| *tasks > 0);
    }

    /// Notes an offer that is sent now.
    pub fn record_offer(&mut self, now: Micros, id: AttemptId, load: Load, rules: &Rules) {
        self.record_change(now, load);
        self.unanswered.insert(id, now);
        self.starting.insert(id);
        if self.is_warming_up(now, rules) {
            self.slow_start_offers.push(now);
        }
    }

    /// Notes that an offer will get no answer.
    pub fn forget_offer(&mut self, id: AttemptId) {
        self.unanswered.remove(&id);
    }
}

/// Its health.
impl MachineState {
    /// Notes a failed connection, health check or attempt: the backoff doubles with each.
    pub fn record_failure(&mut self, now: Micros, rules: &Rules) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.backoff_until = now + (initial_backoff_us(rules) << doublings);
        self.consecutive_failures += 1;
    }

    /// Notes an answer to an offer. It halves the failures, so that one lucky answer does not end a
    /// jam.
    pub fn record_answer(&mut self, now: Micros, id: AttemptId) {
        let sent_at = self.unanswered.remove(&id).unwrap_or(0);
        self.latest_answered_send = self.latest_answered_send.max(sent_at);
        self.last_answer_at = now;
        self.consecutive_failures /= 2;
    }

    /// Notes an answer to a health check that was sent `took_us` ago.
    pub fn record_health_check_answer(&mut self, now: Micros, took_us: Micros) {
        self.last_answer_at = now;
        self.latest_answered_send = self.latest_answered_send.max(now.saturating_sub(took_us));
    }

    /// Whether a later offer or health check was answered before one sent at `sent_at`. Machines
    /// answer in order of sending, unless their answer comes only when the task runs.
    pub fn was_passed_over(&self, sent_at: Micros, settings: &Settings) -> bool {
        !settings.yes_when_running && sent_at < self.latest_answered_send
    }

    /// The same for an own offer that has no answer.
    pub fn offer_was_passed_over(&self, id: AttemptId, settings: &Settings) -> bool {
        self.unanswered
            .get(&id)
            .is_some_and(|sent_at| self.was_passed_over(*sent_at, settings))
    }

    /// Since when offers wait and no answer of any kind has come; `None` where no offer waits. A
    /// machine that still answers others is slow, not silent. Time before `awake_since` does not
    /// count.
    pub fn silent_since(&self, awake_since: Micros) -> Option<Micros> {
        self.unanswered
            .values()
            .min()
            .map(|sent_at| (*sent_at).max(self.last_answer_at).max(awake_since))
    }

    /// Whether tasks of this tenant and class avoid it now.
    pub fn is_rejecting(&self, now: Micros, tenant_class: TenantClass) -> bool {
        self.rejecting
            .get(&tenant_class)
            .is_some_and(|until| *until > now)
    }
}
