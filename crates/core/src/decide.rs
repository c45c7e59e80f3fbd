//! The decisions that the core makes itself, as pure functions documented with decision tables.
//!
//! The decision module decides where tasks go, and when a job is refused. The core decides what a node's report means
//! for an attempt, and what may be started again. Each function depends only on its arguments.

use reedring::Effect;
use reedring_node_protocol::{InFlightState, TaskEnd};
use reedring_settings::ComesAgain;

/// The state of an open attempt in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Offered, no answer yet.
    Offered,
    /// Accepted by its node.
    Accepted,
    /// No longer wanted: its node was asked to stop it.
    Stopping,
}

/// What a node's complete list of its tasks means for one open attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reconciled {
    /// Nothing changed.
    Unchanged,
    /// Its node accepted it, and the answer was lost with a connection.
    Accepted,
    /// It has ended.
    Ended {
        /// How it ended.
        end: TaskEnd,
        /// Whether it ran, or may have.
        ran: bool,
    },
    /// Its offer never reached the node, and can't reach it any more.
    NeverRan,
    /// It is not known whether it ran; no copy is left.
    MayHaveRun,
    /// It was accepted, and no copy is left.
    Lost,
    /// Its node still has it although it was asked to stop it: the stop is sent again.
    StopAgain,
}

/// Compares an open attempt with its node's complete list of tasks.
///
/// `reported` is the state of the attempt's task in that list, `None` where the list does not have it.
/// `same_incarnation` says that the node did not restart since the offer was sent.
///
/// | ledger | listed: queued | listed: accepted, running, suspended | listed: ended | not listed, same incarnation | not listed, new incarnation |
/// | --- | --- | --- | --- | --- | --- |
/// | offered | unchanged | accepted | ended | never ran | may have run |
/// | accepted | unchanged | unchanged | ended | lost | lost |
/// | stopping | stop again | stop again | ended | never ran | may have run |
///
/// A task that is not listed by the same incarnation of its node never ran, if its offer is unanswered: a node that
/// answers the handshake of a new connection drops what it has not read from the old one, and it keeps the end of each
/// task until that is acknowledged.
pub fn reconcile(
    state: AttemptState,
    reported: Option<&InFlightState>,
    same_incarnation: bool,
) -> Reconciled {
    match (state, reported) {
        (_, Some(InFlightState::Ended { end, ran })) => Reconciled::Ended {
            end: end.clone(),
            ran: *ran,
        },
        (AttemptState::Stopping, Some(_)) => Reconciled::StopAgain,
        (AttemptState::Offered, Some(InFlightState::Queued))
        | (AttemptState::Accepted, Some(_)) => Reconciled::Unchanged,
        (AttemptState::Offered, Some(_)) => Reconciled::Accepted,
        (AttemptState::Accepted, None) => Reconciled::Lost,
        (AttemptState::Offered | AttemptState::Stopping, None) if same_incarnation => {
            Reconciled::NeverRan
        }
        (AttemptState::Offered | AttemptState::Stopping, None) => Reconciled::MayHaveRun,
    }
}

/// The status of a job when its node reports a copy whose attempt is not open in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// The job is not in the ledger, and was not in it during this incarnation.
    Unknown,
    /// The job is not in the ledger any more: this incarnation made or closed the attempt, or the job's end was
    /// returned to its client.
    Removed,
    /// The job waits to be placed.
    Queued,
    /// Another copy of the job was accepted.
    PlacedElsewhere,
    /// The job is on hold, being ended, or has ended.
    Ended,
}

/// What is done with a copy whose attempt is not open in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// The copy becomes the job's accepted copy.
    Adopt,
    /// The copy's node is asked to stop it.
    Stop,
}

/// Decides whether a copy that is reported late is adopted or stopped. At most one copy of a job is kept, and none of a
/// job whose client has its final answer.
///
/// | job | copy |
/// | --- | --- |
/// | unknown: a former incarnation of this placer placed it | adopted |
/// | waits to be placed | adopted; the job's other attempts are stopped |
/// | removed, ended, or placed elsewhere | stopped |
pub fn copy_action(status: JobStatus) -> CopyAction {
    match status {
        JobStatus::Unknown | JobStatus::Queued => CopyAction::Adopt,
        JobStatus::Removed | JobStatus::PlacedElsewhere | JobStatus::Ended => CopyAction::Stop,
    }
}

/// What is known of an accepted copy that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It never started: its node returned it.
    NeverRan,
    /// It ended: its node reports so, or no longer has it.
    Ended,
    /// It may still run: its node can't be reached, or did not confirm in time that it stopped it.
    Unknown,
}

/// Whether a lost task is placed again, by the rule of its class and what is known of the loss.
///
/// | rule of the class | never ran | ended | unknown |
/// | --- | --- | --- | --- |
/// | always (only safe classes) | again | again | again |
/// | ended | again | again | no |
/// | never | again | no | no |
pub fn may_retry(rule: ComesAgain, loss: Loss) -> bool {
    match (rule, loss) {
        (_, Loss::NeverRan) | (ComesAgain::Always, _) | (ComesAgain::Ended, Loss::Ended) => true,
        (ComesAgain::Ended, Loss::Unknown) | (ComesAgain::Never, _) => false,
    }
}

/// What is known of a job that was submitted to a former incarnation of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorSubmission {
    /// The job exists: it is in the ledger, or was adopted from a node's report.
    Held,
    /// The job does not exist, but a node that may have its task has not reported yet.
    Unreported,
    /// The job does not exist, and all nodes have reported.
    NotHeld,
}

/// What is done with a job that was being placed when a former incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Wait: some node may still report.
    Wait,
    /// Close the open attempts without their nodes' reports; they may have run.
    Abandon,
    /// Request its placement, as for a new job.
    Request,
    /// End it as refused: its client is giving up, and submitting it again is harmless.
    Reject,
    /// End it as failed: it may have run, and must not start twice.
    Fail,
}

/// What is known of a job that was requested and not placed when a former incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveringJob {
    /// Whether the job's class allows a second start.
    pub effect: Effect,
    /// Some attempt of it is open: its end is not known.
    pub has_open_attempts: bool,
    /// Some closed attempt of it may have run.
    pub may_have_run: bool,
    /// Every listed node has reported its tasks, or the time allowed for that is over.
    pub all_reconciled: bool,
    /// Its client has given up, or will within [`ANSWER_MARGIN_US`].
    pub is_overdue: bool,
    /// The job may not wait any longer.
    pub is_last_call: bool,
}

/// Decides on a job that was requested and not placed when a former incarnation ended.
///
/// Nodes' reports on its attempts have been applied by [`reconcile`] before: an accepted or ended attempt has made it a
/// placed or ended job, an attempt that never ran is closed, and one that may have run is closed and sets
/// `may_have_run`.
///
/// | attempts open | class | may have run | all nodes reported | overdue | last call | action |
/// | --- | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | no | wait |
/// | yes | any | any | any | any | yes | abandon |
/// | no | safe | any | no | any | no | wait: an offer of a safe task may have been sent unrecorded |
/// | no | safe | any | yes, or last call | no | any | request |
/// | no | safe | any | yes, or last call | yes | any | reject: submitting it again is harmless |
/// | no | keyed, unsafe | no | any | no | any | request: every offer of it was recorded before it was sent |
/// | no | keyed, unsafe | no | any | yes | any | reject |
/// | no | keyed, unsafe | yes | no | any | no | wait: its copy may still be reported |
/// | no | keyed, unsafe | yes | yes, or last call | any | any | fail |
pub fn recovery_action(job: RecoveringJob) -> RecoveryAction {
    let is_safe = job.effect == Effect::Safe;
    let may_wait = !job.all_reconciled && !job.is_last_call;
    match (job.has_open_attempts, is_safe || job.may_have_run) {
        (true, _) if job.is_last_call => RecoveryAction::Abandon,
        (true, _) => RecoveryAction::Wait,
        (false, true) if may_wait => RecoveryAction::Wait,
        (false, true) if !is_safe => RecoveryAction::Fail,
        (false, _) if job.is_overdue => RecoveryAction::Reject,
        (false, _) => RecoveryAction::Request,
    }
}

/// What is done for one job of a submission that a former incarnation may have carried out already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resubmission {
    /// Nothing: the job exists already.
    Existing,
    /// Defer the submission until nodes have reported.
    Wait,
    /// Place it as a new job.
    Start,
    /// Add it as failed: it may have run to its end without a report. An answer of `failed` says nothing about whether
    /// it ran.
    Fail,
}

/// Decides on one job of a submission that was first sent to a former incarnation of the placer.
///
/// A task that no node has may have run to its end: its node deleted it once the former incarnation acknowledged the
/// end. So only a task of a safe class may be started. Where the ledger has every record of the former incarnation
/// (`is_complete`), a submission that is not in it was never accepted, and no offer of its jobs was sent.
pub fn resubmission(
    effect: Effect,
    prior: PriorSubmission,
    may_wait: bool,
    is_complete: bool,
) -> Resubmission {
    match (prior, effect) {
        (PriorSubmission::Held, _) => Resubmission::Existing,
        _ if is_complete => Resubmission::Start,
        (PriorSubmission::Unreported, _) if may_wait => Resubmission::Wait,
        (_, Effect::Safe) => Resubmission::Start,
        (_, Effect::Keyed | Effect::Unsafe) => Resubmission::Fail,
    }
}

/// Whether a node may be announced to the decision module yet.
///
/// A node that is warming up gets at most a budget of offers per window. The budget counts the offers of the placer's
/// former incarnation too, which a placer that has just started does not know. So such a node is announced only once a
/// window (`window_us`) has passed since the placer's start (`started`): no window then has offers of the former
/// incarnation. It is announced at once where the ledger has every offer to such nodes (`budgets_restored`).
/// `warming_until` is `None` for a node that is warm or whose start time is not known. All times are in microseconds.
pub fn may_announce(
    now: u64,
    started: u64,
    window_us: Option<u64>,
    warming_until: Option<u64>,
    budgets_restored: bool,
) -> bool {
    let is_warming_up = warming_until.is_some_and(|until| now < until);
    !is_warming_up || budgets_restored || now >= started.saturating_add(window_us.unwrap_or(0))
}

/// Microseconds before a client gives up by which the decision module must have answered, where the placer is not late:
/// enough to send the answer, and short compared with any class's deadline.
pub const ANSWER_MARGIN_US: u64 = 100_000;

/// Microseconds before its client gives up by which a request must be answered by the decision module. The answer is
/// delayed by the event loop and the disk, so the margin is twice their recent lag, at least [`ANSWER_MARGIN_US`] and
/// at most a quarter of the client's deadline `grace_us`.
pub fn answer_margin(grace_us: u64, lag_us: u64) -> u64 {
    ANSWER_MARGIN_US
        .max(lag_us.saturating_mul(2))
        .min(grace_us / 4)
}

/// The recent lag: the largest lag recorded, halved after each `LAG_HALF_LIFE_US`. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    worst_us: u64,
    at_us: u64,
}

/// Microseconds after which a recorded lag is halved.
const LAG_HALF_LIFE_US: u64 = 5_000_000;

impl Lag {
    /// Records a lag. It is ignored where it is less than the current value.
    pub fn record(&mut self, now: u64, lag_us: u64) {
        if lag_us >= self.at(now) {
            (self.worst_us, self.at_us) = (lag_us, now);
        }
    }

    /// The value at `now`.
    pub fn at(&self, now: u64) -> u64 {
        let half_lives = now.saturating_sub(self.at_us) / LAG_HALF_LIFE_US;
        self.worst_us
            .checked_shr(u32::try_from(half_lives).unwrap_or(u32::MAX))
            .unwrap_or(0)
    }
}

/// The offers to a node that may be warming up. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartOffers {
    /// The node started recently and may get only few offers.
    pub is_warming_up: bool,
    /// When the oldest unanswered offer to the node was sent; `None` where all are answered.
    pub oldest_unanswered: Option<u64>,
    /// Until when the node is blocked because it answered an offer late; 0 where it never did.
    pub overdue_until: u64,
}

/// Whether a node that is warming up, which gets at most a budget of offers per window, is blocked for now.
///
/// The decision module counts an offer to such a node from the time of its decision, and allows for a jitter until it
/// arrives. Where a connection stalls or a node reads slowly, offers are delayed by more than that and then arrive all
/// at once. So a node gets no offer while one is unanswered for longer than the jitter, nor for a window after it
/// answered one late.
///
/// | warming up | oldest unanswered offer | answered late | blocked |
/// | --- | --- | --- | --- |
/// | no | any | any | no |
/// | yes | older than the jitter | any | yes |
/// | yes | younger, or none | less than a window ago | yes |
/// | yes | younger, or none | a window ago or longer, or never | no |
pub fn slow_start_overdue(now: u64, offers: SlowStartOffers, jitter: u64) -> bool {
    let is_overdue = |sent: u64| now >= sent.saturating_add(jitter);
    offers.is_warming_up
        && (offers.overdue_until > now || offers.oldest_unanswered.is_some_and(is_overdue))
}

/// The age at which an offer of a former incarnation counts against the budget of a node that is warming up. `age` is
/// the time since the offer was decided, by the ledger; all values are in microseconds.
///
/// The offer may have reached its node as long as the former incarnation's connection was open, which is until the
/// handshake of this incarnation. So an offer younger than a window and `FORMER_OFFER_DELAY_US` counts as sent just
/// now.
pub fn former_offer_age(age: u64, window: u64) -> u64 {
    if age < window.saturating_add(FORMER_OFFER_DELAY_US) {
        0
    } else {
        age
    }
}

/// Microseconds by which a connection of a former incarnation may delay an offer.
const FORMER_OFFER_DELAY_US: u64 = 2_000_000;

#[cfg(test)]
mod tests;
