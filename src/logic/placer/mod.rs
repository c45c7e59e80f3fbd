//! The placer: folds events in order, then places the requests that are due.
//!
//! [`Placer::step`] shows the whole of a step. What came in is folded by `events`, which hands over
//! to `machine_list`, `outcomes`, `reports` and `beliefs`. A request is placed by `placement`:
//! candidates by `legality`, a draw within the `pool`, and the send in `offers`. `silence` stops
//! offers that get no answer.

mod answer_times;
mod arrivals;
mod beliefs;
mod events;
mod fresh_reports;
mod legality;
mod list_watch;
mod machine_list;
mod offers;
mod operator_log;
mod outcomes;
mod placement;
mod pool;
mod random;
mod reports;
mod silence;

use std::collections::BTreeMap;

use self::answer_times::AnswerTimes;
use self::arrivals::ArrivalHistory;
use self::list_watch::ListWatch;
use self::operator_log::OperatorLog;
use self::random::RandomSource;
use super::machine_state::{MachineState, REJECTION_VALID_US, accepted_multiples};
use super::machine_view::MachineView;
use super::requests::{ActiveAttempt, PendingRequest};
use super::slow_start::SchedulerIdentity;
use crate::api::{Action, AttemptId, Event, MachineId, Micros, RequestId, Settings};
use crate::load::Load;
use crate::names::mix64;

/// Microseconds between two polls of queued requests and silent machines: well under any latency
/// objective, and a light load.
const POLL_INTERVAL_US: Micros = 100_000;
/// Token of the timer for the next poll.
const POLL_TIMER: u64 = 1;
/// Microseconds before its deadline in which a request is decided without further waiting: two
/// polls.
const LAST_CHANCE_US: Micros = 2 * POLL_INTERVAL_US;
/// Microseconds for which a tenant and class avoid a machine that rejected them: only another try
/// shows more.
const REJECTING_US: Micros = 4 * REJECTION_VALID_US;
/// Stands for the start of a scheduler before its first step.
const NOT_STARTED: Micros = Micros::MAX;

/// The placement decisions of one scheduler.
pub struct Placer {
    settings: Settings,
    scheduler: SchedulerIdentity,
    random: RandomSource,
    machines: BTreeMap<MachineId, MachineState>,
    /// Positions among `machines`, the largest machine first, in an order that all schedulers
    /// share.
    ranking: Vec<usize>,
    /// How the machines look to the draws of this step, in the order of `machines`.
    views: Vec<MachineView>,
    /// Requests without a final answer.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Own attempts that have not ended, also those of requests that have their answer.
    active_attempts: BTreeMap<AttemptId, ActiveAttempt>,
    arrivals: ArrivalHistory,
    answer_times: AnswerTimes,
    /// The ratio of use to request, learned from tasks that run.
    use_ratio: Load,
    /// Requests to place at the end of this step, in order.
    due: Vec<RequestId>,
    /// Requests that wait for a machine or for reports; the next poll makes them due.
    queued: Vec<RequestId>,
    list_watch: ListWatch,
    /// Until when a request may wait for reports of machines that were sent a health check.
    reports_awaited_until: Micros,
    /// When this scheduler started, or last resumed after a standstill of its own.
    awake_since: Micros,
    /// When the next poll is due, if any is.
    poll_due: Option<Micros>,
    operator_log: OperatorLog,
}

impl Placer {
    /// A scheduler that knows its settings and nothing else. All random numbers come from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        // Without reports of use, what machines accept says by how much requests are expected to
        // exceed use.
        let accepted = accepted_multiples(&settings);
        let use_ratio = Load {
            cores: 1.0 / accepted.cores.max(1.0),
            memory: 1.0 / accepted.memory.max(1.0),
        };
        let scheduler = SchedulerIdentity {
            number: settings.position.map_or(mix64(seed), u64::from),
            started_at: NOT_STARTED,
        };
        Self {
            settings,
            scheduler,
            random: RandomSource::new(seed),
            machines: BTreeMap::new(),
            ranking: Vec::new(),
            views: Vec::new(),
            requests: BTreeMap::new(),
            active_attempts: BTreeMap::new(),
            arrivals: ArrivalHistory::default(),
            answer_times: AnswerTimes::default(),
            use_ratio,
            due: Vec::new(),
            queued: Vec::new(),
            list_watch: ListWatch::default(),
            reports_awaited_until: 0,
            awake_since: NOT_STARTED,
            poll_due: None,
            operator_log: OperatorLog::default(),
        }
    }

    /// Folds a batch of events in order, then places the requests that are due. `now` is in
    /// microseconds on the caller's clock; the actions are appended in the order in which they are
    /// to be done.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.start_list_watch(now, actions);
        self.detect_standstill(now);
        for event in events {
            self.apply_event(now, event, actions);
        }
        let queued_before = self.queued.len();
        self.place_due_requests(now, actions);
        self.report_queued_requests(now, queued_before, actions);
        self.schedule_poll(now, actions);
    }

    /// How many machines, requests and attempts it keeps in memory.
    pub fn sizes(&self) -> [usize; 3] {
        [
            self.machines.len(),
            self.requests.len(),
            self.active_attempts.len(),
        ]
    }

    /// Watches the machine list from the first step on, where it comes only on request.
    fn start_list_watch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.list_on_request && !self.list_watch.is_started() {
            self.list_watch.request(now, &self.settings.rules, actions);
        }
    }

    /// A poll that comes late shows that this scheduler stood still: the silence was its own, and
    /// no machine is blamed for it. The first step counts as the end of a standstill.
    fn detect_standstill(&mut self, now: Micros) {
        let poll_is_late = self
            .poll_due
            .is_some_and(|due| due + POLL_INTERVAL_US < now);
        if self.awake_since == NOT_STARTED || poll_is_late {
            self.awake_since = now;
            self.scheduler.started_at = self.scheduler.started_at.min(now);
        }
    }

    /// Draws for all requests that are due, in order, from one view of the machines.
    fn place_due_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.due.is_empty() {
            return;
        }
        let arriving = self
            .arrivals
            .estimate_load(now, self.awake_since, self.settings.schedulers);
        self.refresh_views(now);
        for request in std::mem::take(&mut self.due) {
            self.place(now, request, arriving, actions);
        }
    }

    /// Computes the view of each machine anew.
    fn refresh_views(&mut self, now: Micros) {
        let view =
            |state: &MachineState| state.view(now, &self.settings, self.scheduler, self.use_ratio);
        self.views = self.machines.values().map(view).collect();
        for (rank, position) in self.ranking.iter().enumerate() {
            self.views[*position].rank = rank;
        }
    }

    /// Logs that requests were queued for want of a machine; waiting for reports is ordinary.
    fn report_queued_requests(
        &mut self,
        now: Micros,
        queued_before: usize,
        actions: &mut Vec<Action>,
    ) {
        let queued = self.queued.len();
        if queued > queued_before && self.reports_awaited_until <= now {
            let line = format!("holding {queued} tasks: no machine may take them");
            self.operator_log.write(now, line, actions);
        }
    }

    /// Sets the timer of the next poll while any request has no final answer.
    fn schedule_poll(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.requests.is_empty() && self.poll_due.is_none() {
            self.poll_due = Some(now + POLL_INTERVAL_US);
            actions.push(Action::Timer {
                token: POLL_TIMER,
                after_us: POLL_INTERVAL_US,
            });
        }
    }
}
