//! What the core decides itself, as pure functions with their tables.
//!
//! Where tasks go, and what may be offered or rejected, the decision module says. What is left is what a node's
//! report means for an attempt, and what may be done again. Each function answers from its
//! arguments alone, and `tests` goes through every case.

use reedring::Effect;
use reedring_node_protocol::{InFlightState, TaskEnd};
use reedring_settings::ComesAgain;

/// What the ledger knows of an open attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Offered, no answer yet.
    Offered,
    /// Accepted by its node.
    Accepted,
    /// Given up, and its node was asked to stop it.
    Stopping,
}

/// What a node's report of all that it holds means for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reconciled {
    /// Nothing changed.
    Unchanged,
    /// It was accepted, and the answer was lost on the way.
    Accepted,
    /// It has ended.
    Ended {
        /// How.
        end: TaskEnd,
        /// It ran, or may have.
        ran: bool,
    },
    /// It never reached the node, and can't any more.
    NeverRan,
    /// Nobody knows whether it ran; no copy is left.
    MayHaveRun,
    /// It was accepted, and no copy is left.
    Lost,
    /// Its node holds it though it was given up: ask once more to stop it.
    StopAgain,
}

/// Reads a node's list of what it holds.
///
/// | ledger | held: waiting | held: accepted, running, suspended | held: ended | not held, same incarnation | not held, new incarnation |
/// | --- | --- | --- | --- | --- | --- |
/// | offered | unchanged | accepted | ended | never ran | may have run |
/// | accepted | unchanged | unchanged | ended | lost | lost |
/// | stopping | stop again | stop again | ended | never ran | may have run |
///
/// "Not held, same incarnation" proves that an unanswered offer never ran: a node that answers the handshake of a newer
/// connection drops what it has not read from the older one, and keeps each end until it is acknowledged.
pub fn reconcile(
    known: AttemptState,
    held: Option<&InFlightState>,
    same_incarnation: bool,
) -> Reconciled {
    match (known, held) {
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

/// What became of a job when a node reports a copy that the ledger had closed, or never knew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// The ledger knows no such job, and this incarnation never did.
    Unknown,
    /// It was this incarnation's, and is forgotten.
    Forgotten,
    /// It waits for a place.
    Queued,
    /// Another copy of it was accepted.
    PlacedElsewhere,
    /// It has ended, or is being ended.
    Ended,
}

/// What is done with such a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// It is the job's copy from now on.
    Adopt,
    /// Its node is asked to stop it.
    Stop,
}

/// Decides on a copy that is reported late: one live copy of a job is kept at most, and none of a job whose
/// client has its final answer.
///
/// | job | copy |
/// | --- | --- |
/// | unknown: a former incarnation of this placer placed it | adopted |
/// | waits for a place | adopted; what was still offered for it is stopped |
/// | forgotten, ended, or placed elsewhere | stopped |
pub fn copy_action(standing: JobStatus) -> CopyAction {
    match standing {
        JobStatus::Unknown | JobStatus::Queued => CopyAction::Adopt,
        JobStatus::Forgotten | JobStatus::PlacedElsewhere | JobStatus::Ended => CopyAction::Stop,
    }
}

/// What is known of a copy that was accepted and no longer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It never started: handed back by its node.
    NeverRan,
    /// It ended, by its node's report or because its node restarted without it.
    Ended,
    /// Its node does not answer, listed or not, or did not say what became of it in time; it may run still.
    Unknown,
}

/// Whether a lost task is placed again (rule 2).
///
/// | class says | never ran | ended | unknown |
/// | --- | --- | --- | --- |
/// | always (safe classes alone) | again | again | again |
/// | ended | again | again | no |
/// | never | again | no | no |
pub fn may_retry(rule: ComesAgain, loss: Loss) -> bool {
    match (rule, loss) {
        (_, Loss::NeverRan) | (ComesAgain::Always, _) | (ComesAgain::Ended, Loss::Ended) => true,
        (ComesAgain::Ended, Loss::Unknown) | (ComesAgain::Never, _) => false,
    }
}

/// What nodes hold of a submission that was made to a former incarnation of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorSubmission {
    /// A node holds the task: it is that job.
    Held,
    /// No node holds it, but one that could has not reported yet.
    Unreported,
    /// All nodes reported, and none holds it.
    NotHeld,
}

/// What becomes of a job that was being placed when the placer ended, once it is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Some node may still report.
    Wait,
    /// Nobody waits any longer for the nodes that were asked: their attempts may have run.
    Abandon,
    /// It is placed, as if it had just come.
    Request,
    /// It never ran, and its time is over.
    Reject,
    /// It may have run, and must not start twice.
    Fail,
}

/// A job of the ledger that was requested and not placed when a former incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveringJob {
    /// What a second start of it may do.
    pub effect: Effect,
    /// Some attempt's end is not known.
    pub has_open_attempts: bool,
    /// An attempt that is closed may have run.
    pub may_have_run: bool,
    /// Every node has reported what it holds, or has had its time to.
    pub all_reconciled: bool,
    /// Its client has given up, or is about to.
    pub is_overdue: bool,
    /// It may not wait any longer.
    pub is_last_call: bool,
}

/// Decides on a job that was requested and not placed. What nodes reported of its attempts has been applied by
/// [`reconcile`] already: an attempt that is accepted or ended made it a placed or an ended job, one that never ran is
/// closed, and one that may have run is closed and leaves `may_have_run`.
///
/// | attempts open | class | may have run | all nodes reported | overdue | last call | action |
/// | --- | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | no | wait |
/// | yes | any | any | any | any | yes | abandon |
/// | no | safe | any | no | any | no | wait: an offer of a safe task may have left unrecorded |
/// | no | safe | any | yes, or last call | no | any | request |
/// | no | safe | any | yes, or last call | yes | any | reject: asking again is harmless |
/// | no | keyed, unsafe | no | any | no | any | request: every offer of it was recorded before it left |
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

/// What a submission that a former incarnation may have carried out does for one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resubmission {
    /// The job is there already.
    Existing,
    /// Wait for nodes to report.
    Wait,
    /// Place it as new.
    Start,
    /// It may have run and ended unseen: its client is told that it failed, which promises nothing.
    Fail,
}

/// Decides on a submission repeated to the successor of a placer that died.
///
/// A task that nobody holds may have run to its end before: its node forgot it once the dead placer had acknowledged
/// the end. Only a safe class may be started on that knowledge. Where the ledger has every record of the dead placer
/// (`is_complete`), a submission that is not in it was never accepted, and no offer of its jobs has left.
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

/// Whether a node may be announced to the decision module at all yet (rule 4).
///
/// A placer that has just started does not know what its former incarnation sent to a node that is warming up: the
/// node's budget counts both. So such a node is withheld until one window has passed since the placer's own start; by
/// then nothing of the former incarnation is left in any window. It need not be where the ledger has every offer to
/// such a node (`budgets_restored`). `warming_until` is `None` for a node that is warm, or whose start is not known.
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

/// Microseconds before a client gives up at which the decision module's time is over: enough to answer on a machine that
/// keeps up, little beside any class's deadline.
pub const ANSWER_MARGIN_US: u64 = 100_000;

/// How long before its client gives up a request must be answered by the decision module: the answer has the loop and
/// the disk before it, so twice what these were behind lately, and no more than a quarter of the client's deadline.
pub fn answer_margin(grace_us: u64, lag_us: u64) -> u64 {
    ANSWER_MARGIN_US
        .max(lag_us.saturating_mul(2))
        .min(grace_us / 4)
}

/// How far behind something was lately: the worst, which counts for half as much after each [`LAG_HALF_LIFE_US`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    worst_us: u64,
    at_us: u64,
}

/// Microseconds after which a lag counts for half.
const LAG_HALF_LIFE_US: u64 = 5_000_000;

impl Lag {
    /// Something was late by so much.
    pub fn note(&mut self, now: u64, late_us: u64) {
        if late_us >= self.at(now) {
            (self.worst_us, self.at_us) = (late_us, now);
        }
    }

    /// What counts now.
    pub fn at(&self, now: u64) -> u64 {
        let halves = now.saturating_sub(self.at_us) / LAG_HALF_LIFE_US;
        self.worst_us
            .checked_shr(u32::try_from(halves).unwrap_or(u32::MAX))
            .unwrap_or(0)
    }
}

/// What is known of the offers to a node that may be warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartOffers {
    /// It has started lately, and bears little.
    pub is_warming_up: bool,
    /// When the oldest unanswered offer to it was sent.
    pub oldest_unanswered: Option<u64>,
    /// Until when an offer that it answered late counts against it.
    pub overdue_until: u64,
}

/// Whether a node that is warming up gets nothing more for now (rule 4).
///
/// The decision module counts offers to such a node from when it decided them, with a jitter in hand. A connection that
/// stalls or a node that reads slowly lets more than that pass before the first of them arrives, and then all at once:
/// so a node with an offer that is unanswered for longer than the jitter gets none, and neither does one that answered
/// late, for a window after that answer.
///
/// | warming up | oldest unanswered offer | answered late | blocked |
/// | --- | --- | --- | --- |
/// | no | any | any | no |
/// | yes | older than the jitter | any | yes |
/// | yes | younger, or none | less than a window ago | yes |
/// | yes | younger, or none | longer ago, or never | no |
pub fn slow_start_overdue(now: u64, offers: SlowStartOffers, jitter: u64) -> bool {
    let is_overdue = |sent: u64| now >= sent.saturating_add(jitter);
    offers.is_warming_up
        && (offers.overdue_until > now || offers.oldest_unanswered.is_some_and(is_overdue))
}

/// How long ago an offer of a former incarnation counts as sent to a node that is warming up, which the ledger has as
/// decided `ago`.
///
/// It may have reached its node as late as the former incarnation's connection was open, so until its successor's
/// handshake: within
/// [`FORMER_OFFER_US`] of a window it counts as sent just now.
pub fn former_offer_age(ago: u64, window: u64) -> u64 {
    if ago < window.saturating_add(FORMER_OFFER_US) {
        0
    } else {
        ago
    }
}

/// Microseconds for which a connection of a former incarnation may delay an offer.
const FORMER_OFFER_US: u64 = 2_000_000;

#[cfg(test)]
mod tests;
