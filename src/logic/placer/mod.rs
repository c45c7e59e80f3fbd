//! The placer: applies events in order, then places the requests that are due.
//!
//! [`Placer::step`] shows a whole step. Events are applied by `events`, which calls `machine_list`,
//! `outcomes`, `reports` and `beliefs`. Requests are placed by `placement`: it takes the candidates
//! that `legality` allows, draws one in `pool`, and sends the offer in `offers`. `silence` stops
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

/// Microseconds between two polls, each of which retries queued requests and handles silent
/// machines: well under any latency objective, and a light load.
const POLL_INTERVAL_US: Micros = 100_000;
/// Token of the timer for the next poll.
const POLL_TIMER: u64 = 1;
/// Microseconds before its deadline from which on a request is decided without further waiting: two
/// polls.
const NEAR_DEADLINE_US: Micros = 2 * POLL_INTERVAL_US;
/// Microseconds for which tasks of a tenant and class are not offered to a machine that rejected
/// them. After that they are offered again, as only another offer shows whether it accepts them.
const REJECTING_US: Micros = 4 * REJECTION_VALID_US;
/// Value of `started_at` and `running_since` before the first step.
const NOT_STARTED: Micros = Micros::MAX;

/// The placement decisions of one scheduler.
pub struct Placer {
    settings: Settings,
    scheduler: SchedulerIdentity,
    random: RandomSource,
    machines: BTreeMap<MachineId, MachineState>,
    /// Positions in `machines`, the largest machine first, in an order that is the same at all
    /// schedulers.
    ranking: Vec<usize>,
    /// The views of all machines for the draws of this step, in the order of `machines`.
    views: Vec<MachineView>,
    /// Requests without a final answer.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Own attempts that have not ended, including those of requests that have their final answer.
    active_attempts: BTreeMap<AttemptId, ActiveAttempt>,
    arrivals: ArrivalHistory,
    answer_times: AnswerTimes,
    /// The expected ratio of use to request, of cores and memory, learned from signals of running
    /// tasks.
    use_ratio: Load,
    /// Requests to place at the end of this step, in order.
    due: Vec<RequestId>,
    /// Requests that wait for a machine or for reports; the next poll makes them due.
    queued: Vec<RequestId>,
    list_watch: ListWatch,
    /// Until when queued requests may be waiting for reports rather than for a machine.
    reports_awaited_until: Micros,
    /// When this process started, or last resumed after it stood still.
    running_since: Micros,
    /// When the next poll is due; `None` if no timer is set for it.
    poll_due: Option<Micros>,
    operator_log: OperatorLog,
}

impl Placer {
    /// Creates a placer that knows its settings and nothing else. All random numbers come from
    /// `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        // Until running tasks report their use, requests are taken to exceed use by the multiple of
        // its size up to which a machine accepts requests.
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
            running_since: NOT_STARTED,
            poll_due: None,
            operator_log: OperatorLog::default(),
        }
    }

    /// Applies a batch of events in order, then places the requests that are due. `now` is in
    /// microseconds on the caller's clock. The actions are appended to `actions` in the order in
    /// which they are to be done.
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

    /// The numbers of machines, requests without a final answer, and attempts in memory.
    pub fn sizes(&self) -> [usize; 3] {
        [
            self.machines.len(),
            self.requests.len(),
            self.active_attempts.len(),
        ]
    }

    /// The number of load changes of all machines in memory.
    pub fn recent_change_count(&self) -> usize {
        let machines = self.machines.values();
        machines.map(MachineState::recent_change_count).sum()
    }

    /// Requests the watch on the machine list in the first step, in deployments where the list comes
    /// only on request.
    fn start_list_watch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.list_on_request && !self.list_watch.is_started() {
            self.list_watch.request(now, &self.settings.rules, actions);
        }
    }

    /// Sets `running_since` in the first step, and after a standstill of this process, which shows as
    /// a poll that is late by more than [`POLL_INTERVAL_US`]. Machines do not count as silent for
    /// the time of a standstill.
    fn detect_standstill(&mut self, now: Micros) {
        let poll_is_late = self
            .poll_due
            .is_some_and(|due| due + POLL_INTERVAL_US < now);
        if self.running_since == NOT_STARTED || poll_is_late {
            self.running_since = now;
            self.scheduler.started_at = self.scheduler.started_at.min(now);
        }
    }

    /// Places all requests that are due, in order, with views of the machines computed once.
    fn place_due_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.due.is_empty() {
            return;
        }
        let arriving =
            self.arrivals
                .estimate_load(now, self.running_since, self.settings.schedulers);
        self.refresh_views(now);
        for request in std::mem::take(&mut self.due) {
            self.place(now, request, arriving, actions);
        }
    }

    /// Computes the views of all machines.
    fn refresh_views(&mut self, now: Micros) {
        let view =
            |state: &MachineState| state.view(now, &self.settings, self.scheduler, self.use_ratio);
        self.views = self.machines.values().map(view).collect();
        for (rank, position) in self.ranking.iter().enumerate() {
            self.views[*position].rank = rank;
        }
    }

    /// Logs that requests were queued because no machine may take them; not where they wait for
    /// reports, which is normal.
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
