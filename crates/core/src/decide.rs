//! What the core decides itself, as pure functions with their tables.
//!
//! Where tasks go, and what may be offered or refused, the decision module says. What is left is to read
//! what a node's word means for an attempt, and what may be done again. Each function answers from its
//! arguments alone, and `tests` goes through every case.

use reedring::Effect;
use reedring_node_protocol::{End, HeldState};
use reedring_settings::ComesAgain;

/// What the ledger knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// Offered, no answer yet.
    Out,
    /// Accepted by its node.
    Accepted,
    /// Given up, and its node was asked to stop it.
    Stopping,
}

/// What a node's word about all it holds means for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing changed.
    Keep,
    /// It was accepted, and the word was lost on the way.
    Place,
    /// It is over.
    Over {
        /// How.
        end: End,
        /// It ran, or may have.
        ran: bool,
    },
    /// It never reached the node, and can't any more.
    NeverRan,
    /// Nobody knows whether it ran; no copy is left.
    PerhapsRan,
    /// It was accepted, and no copy is left.
    Gone,
    /// Its node holds it though it was given up: ask once more to stop it.
    StopAgain,
}

/// Reads a node's list of what it holds.
///
/// | ledger | held: waiting | held: accepted, running, suspended | held: over | not held, same life | not held, new life |
/// | --- | --- | --- | --- | --- | --- |
/// | out | keep | place | over | never ran | perhaps ran |
/// | accepted | keep | keep | over | gone | gone |
/// | stopping | stop again | stop again | over | never ran | perhaps ran |
///
/// "Not held, same life" proves that an unanswered offer never ran: a node that greets a newer link drops
/// what it has not read from the older one, and keeps each end until it is acknowledged.
pub fn reconcile(known: Known, held: Option<&HeldState>, same_life: bool) -> Verdict {
    match (known, held) {
        (_, Some(HeldState::Ended { end, ran })) => Verdict::Over {
            end: end.clone(),
            ran: *ran,
        },
        (Known::Stopping, Some(_)) => Verdict::StopAgain,
        (Known::Out, Some(HeldState::Waiting)) | (Known::Accepted, Some(_)) => Verdict::Keep,
        (Known::Out, Some(_)) => Verdict::Place,
        (Known::Accepted, None) => Verdict::Gone,
        (Known::Out | Known::Stopping, None) if same_life => Verdict::NeverRan,
        (Known::Out | Known::Stopping, None) => Verdict::PerhapsRan,
    }
}

/// Where a job stands when a node tells of a copy that the ledger had closed, or never knew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The ledger knows no such job, and this life never did.
    Unknown,
    /// It was this life's, and is forgotten.
    Forgotten,
    /// It waits for a place.
    Waiting,
    /// Another copy of it was accepted.
    Elsewhere,
    /// It is over, or is being ended.
    Over,
}

/// What becomes of such a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCopy {
    /// It is the job's copy from now on.
    Adopt,
    /// Its node is asked to stop it.
    Stop,
}

/// Decides on a copy that turns up late: one live copy of a job is kept at most, and none of a job whose
/// owner has its final answer.
///
/// | job | copy |
/// | --- | --- |
/// | unknown: a life of this placer before placed it | adopted |
/// | waits for a place | adopted; what was still out for it is stopped |
/// | forgotten, over, or placed elsewhere | stopped |
pub fn late_copy(standing: Standing) -> LateCopy {
    match standing {
        Standing::Unknown | Standing::Waiting => LateCopy::Adopt,
        Standing::Forgotten | Standing::Elsewhere | Standing::Over => LateCopy::Stop,
    }
}

/// What is known of a copy that was accepted and is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It never started: handed back by its node.
    NeverRan,
    /// It ended, by its node's word or because its node started anew without it.
    Ended,
    /// Its node is gone from the list and does not answer; it may run still.
    Unknown,
}

/// Whether a lost task is placed again (rule 2).
///
/// | class says | never ran | ended | unknown |
/// | --- | --- | --- | --- |
/// | always (safe classes alone) | again | again | again |
/// | ended | again | again | no |
/// | never | again | no | no |
pub fn comes_again(rule: ComesAgain, loss: Loss) -> bool {
    match (rule, loss) {
        (_, Loss::NeverRan) | (ComesAgain::Always, _) | (ComesAgain::Ended, Loss::Ended) => true,
        (ComesAgain::Ended, Loss::Unknown) | (ComesAgain::Never, _) => false,
    }
}

/// Where a submission that was made to an earlier life of the placer stands now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A node holds the task: it is that job.
    Held,
    /// No node holds it, but one that could has not told yet.
    Untold,
    /// All nodes told, and none holds it.
    NotHeld,
}

/// What becomes of a job that was being placed when the placer ended, once it is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovered {
    /// Some node may still tell.
    Wait,
    /// Nobody waits any longer for the nodes that were asked: their attempts may have run.
    LetGo,
    /// It is placed, as if it had just come.
    Ask,
    /// It never ran, and its time is over.
    Refuse,
    /// It may have run, and must not start twice.
    Fail,
}

/// Decides on a job of the ledger that was asked for and not placed. What nodes said of its attempts has been
/// read by [`reconcile`] already: an attempt that is accepted or over made it a placed or an ended job, one
/// that never ran is closed, and one that may have run is closed and leaves `may_have_run`.
///
/// | attempts open | class | may have run | all nodes told | time over | last call | decision |
/// | --- | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | no | wait |
/// | yes | any | any | any | any | yes | let go |
/// | no | safe | any | no | any | no | wait: an offer of a safe task may have left unwritten |
/// | no | safe | any | yes, or last call | no | any | ask |
/// | no | safe | any | yes, or last call | yes | any | refuse: asking again is harmless |
/// | no | keyed, unsafe | no | any | no | any | ask: every offer of it was written before it left |
/// | no | keyed, unsafe | no | any | yes | any | refuse |
/// | no | keyed, unsafe | yes | no | any | no | wait: its copy may still turn up |
/// | no | keyed, unsafe | yes | yes, or last call | any | any | fail |
pub fn recovered(
    effect: Effect,
    open: bool,
    may_have_run: bool,
    all_told: bool,
    time_over: bool,
    last_call: bool,
) -> Recovered {
    let safe = effect == Effect::Safe;
    match (open, safe || may_have_run) {
        (true, _) if last_call => Recovered::LetGo,
        (true, _) => Recovered::Wait,
        (false, true) if !all_told && !last_call => Recovered::Wait,
        (false, true) if !safe => Recovered::Fail,
        (false, _) if time_over => Recovered::Refuse,
        (false, _) => Recovered::Ask,
    }
}

/// What a submission that an earlier life may have carried out does for one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resubmission {
    /// The job is there already.
    TakeUp,
    /// Wait for nodes to tell.
    Wait,
    /// Place it as new.
    Start,
    /// It may have run and ended unseen: its owner is told that it failed, which promises nothing.
    Fail,
}

/// Decides on a submission repeated to the successor of a placer that died.
///
/// A task that nobody holds may have run to its end before: its node forgot it once the dead placer had
/// acknowledged the end. Only a safe class may be started on that knowledge. Where the ledger has all that the
/// dead placer promised (`covered`), a submission that is not in it was never taken, and no offer of its jobs
/// has left.
pub fn resubmission(effect: Effect, repeat: Repeat, may_wait: bool, covered: bool) -> Resubmission {
    match (repeat, effect) {
        (Repeat::Held, _) => Resubmission::TakeUp,
        _ if covered => Resubmission::Start,
        (Repeat::Untold, _) if may_wait => Resubmission::Wait,
        (_, Effect::Safe) => Resubmission::Start,
        (_, Effect::Keyed | Effect::Unsafe) => Resubmission::Fail,
    }
}

/// Whether the module may be told of a node at all yet (rule 4).
///
/// A placer that has just started does not know what its former life sent to a cold node: the node's budget
/// counts both. So a node that is cold is kept back until one window has passed since the placer's own start;
/// by then nothing of the former life is left in any window. It need not be where the ledger has every offer
/// to a cold node (`known`). `cold_until` is `None` for a node that is warm, or whose start is not known.
pub fn may_tell(
    now: u64,
    started: u64,
    window_us: Option<u64>,
    cold_until: Option<u64>,
    known: bool,
) -> bool {
    let cold = cold_until.is_some_and(|until| now < until);
    !cold || known || now >= started.saturating_add(window_us.unwrap_or(0))
}

/// Microseconds before an owner gives up at which the module's time is over: enough to answer on a machine that
/// keeps up, little beside any class's patience.
pub const ANSWER_MARGIN_US: u64 = 100_000;

/// How long before its owner gives up a request must be answered by the module: the answer has the loop and the
/// disk before it, so twice what these were behind lately, and no more than a quarter of the owner's patience.
pub fn answer_margin(grace_us: u64, lag_us: u64) -> u64 {
    ANSWER_MARGIN_US
        .max(lag_us.saturating_mul(2))
        .min(grace_us / 4)
}

/// How far behind something was lately: the worst, which counts for half as much after each [`HALF_US`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    worst_us: u64,
    at_us: u64,
}

/// Microseconds after which a lag counts for half.
const HALF_US: u64 = 5_000_000;

impl Lag {
    /// Something was late by so much.
    pub fn note(&mut self, now: u64, late_us: u64) {
        if late_us >= self.at(now) {
            (self.worst_us, self.at_us) = (late_us, now);
        }
    }

    /// What counts now.
    pub fn at(&self, now: u64) -> u64 {
        let halves = now.saturating_sub(self.at_us) / HALF_US;
        self.worst_us
            .checked_shr(u32::try_from(halves).unwrap_or(u32::MAX))
            .unwrap_or(0)
    }
}

/// Whether a cold node gets nothing more for now (rule 4).
///
/// The module counts offers to a cold node from when it decided them, with a jitter in hand. A link that stalls or
/// a node that reads slowly lets more than that pass before the first of them arrives, and then all at once: so a
/// node with an offer that is unanswered for longer than the jitter gets none, and neither does one that answered
/// late, for a window after that answer (`late_until`).
///
/// | cold | oldest unanswered offer | answered late | held |
/// | --- | --- | --- | --- |
/// | no | any | any | no |
/// | yes | older than the jitter | any | yes |
/// | yes | younger, or none | less than a window ago | yes |
/// | yes | younger, or none | longer ago, or never | no |
pub fn cold_and_late(
    now: u64,
    cold: bool,
    oldest: Option<u64>,
    late_until: u64,
    jitter: u64,
) -> bool {
    cold && (late_until > now || oldest.is_some_and(|sent| now >= sent.saturating_add(jitter)))
}

/// How long ago an offer of a former life counts as sent to a cold node, which the ledger has as decided `ago`.
///
/// It may have reached its node as late as the former life's link stood, so until its successor greets: within
/// [`FORMER_US`] of a window it counts as sent just now.
pub fn former_offer(ago: u64, window: u64) -> u64 {
    if ago < window.saturating_add(FORMER_US) {
        0
    } else {
        ago
    }
}

/// Microseconds for which a link of a former life may hold an offer back.
const FORMER_US: u64 = 2_000_000;

#[cfg(test)]
mod tests {
    use super::*;

    const KNOWN: [Known; 3] = [Known::Out, Known::Accepted, Known::Stopping];

    fn states() -> Vec<Option<HeldState>> {
        let over = |end, ran| Some(HeldState::Ended { end, ran });
        vec![
            None,
            Some(HeldState::Waiting),
            Some(HeldState::Accepted),
            Some(HeldState::Running),
            Some(HeldState::Suspended),
            over(End::Exited(0), true),
            over(End::Stopped, false),
        ]
    }

    #[test]
    fn an_end_that_was_told_is_an_end_whatever_the_ledger_held() {
        for known in KNOWN {
            for same_life in [false, true] {
                let held = HeldState::Ended {
                    end: End::Evicted,
                    ran: true,
                };
                let over = Verdict::Over {
                    end: End::Evicted,
                    ran: true,
                };
                assert_eq!(reconcile(known, Some(&held), same_life), over);
            }
        }
    }

    /// Rule 2: only what can't have run counts as never run.
    #[test]
    fn never_ran_is_said_only_of_unanswered_offers_to_a_node_that_lived_on() {
        for known in KNOWN {
            for held in states() {
                for same_life in [false, true] {
                    let verdict = reconcile(known, held.as_ref(), same_life);
                    let proven = held.is_none() && same_life && known != Known::Accepted;
                    assert_eq!(
                        verdict == Verdict::NeverRan,
                        proven,
                        "{known:?} {held:?} {same_life}"
                    );
                }
            }
        }
    }

    #[test]
    fn a_held_copy_is_never_forgotten() {
        for known in KNOWN {
            for held in states().into_iter().flatten() {
                let verdict = reconcile(known, Some(&held), true);
                let over = matches!(held, HeldState::Ended { .. });
                let want = match known {
                    _ if over => matches!(verdict, Verdict::Over { .. }),
                    Known::Stopping => verdict == Verdict::StopAgain,
                    Known::Accepted => verdict == Verdict::Keep,
                    Known::Out => matches!(verdict, Verdict::Keep | Verdict::Place),
                };
                assert!(want, "{known:?} {held:?}: {verdict:?}");
            }
        }
    }

    #[test]
    fn one_copy_of_a_job_is_kept_at_most() {
        for standing in [Standing::Forgotten, Standing::Elsewhere, Standing::Over] {
            assert_eq!(late_copy(standing), LateCopy::Stop);
        }
        for standing in [Standing::Unknown, Standing::Waiting] {
            assert_eq!(late_copy(standing), LateCopy::Adopt);
        }
    }

    #[test]
    fn only_a_class_that_allows_it_comes_again_after_it_ran() {
        use ComesAgain::{Always, Ended, Never};
        let again =
            |rule| [Loss::NeverRan, Loss::Ended, Loss::Unknown].map(|loss| comes_again(rule, loss));
        assert_eq!(again(Always), [true, true, true]);
        assert_eq!(again(Ended), [true, true, false]);
        assert_eq!(again(Never), [true, false, false]);
    }

    #[test]
    fn a_cold_node_is_kept_back_for_one_window_after_the_own_start() {
        assert!(may_tell(100, 100, Some(50), None, false));
        assert!(may_tell(100, 100, Some(50), Some(100), false));
        assert!(!may_tell(149, 100, Some(50), Some(1_000), false));
        assert!(may_tell(150, 100, Some(50), Some(1_000), false));
        assert!(may_tell(100, 100, None, Some(1_000), false));
        assert!(
            may_tell(100, 100, Some(50), Some(1_000), true),
            "every offer of the former life is known"
        );
    }

    /// Every case, against the rules and not against the table.
    #[test]
    fn a_recovered_job_is_asked_for_only_where_its_class_allows_it_and_always_gets_an_answer() {
        let flags = || [false, true].into_iter();
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            for (open, ran) in flags().flat_map(|open| flags().map(move |ran| (open, ran))) {
                for (told, over) in flags().flat_map(|told| flags().map(move |over| (told, over))) {
                    for last in flags() {
                        let got = recovered(effect, open, ran, told, over, last);
                        let case = format!("{effect:?} {open} {ran} {told} {over} {last}: {got:?}");
                        let twice = effect != Effect::Safe && ran;
                        // Rule 2: nothing that may have run is asked for again, nor said to be harmless.
                        let goes_on = matches!(got, Recovered::Ask | Recovered::Refuse);
                        assert!(!(goes_on && (twice || open)), "{case}");
                        // Rule 1: at the last call nothing waits, and no promise is withheld for nothing.
                        assert!(!(last && got == Recovered::Wait), "{case}");
                        assert_eq!(
                            got == Recovered::Fail,
                            twice && !open && (told || last),
                            "{case}"
                        );
                        assert!(!(got == Recovered::Ask && over), "{case}");
                        // A safe task's offer may be out unwritten until all have told.
                        let hasty = effect == Effect::Safe && !told && !last;
                        assert!(!(hasty && got != Recovered::Wait), "{case}");
                    }
                }
            }
        }
    }

    /// Every case of the table.
    #[test]
    fn a_cold_node_that_is_late_gets_nothing_until_a_window_after_it_answered() {
        let (now, jitter) = (1_000, 100);
        for (cold, oldest, late_until, held) in [
            (false, Some(0), 2_000, false),
            (true, Some(900), 0, true),
            (true, Some(901), 0, false),
            (true, Some(901), 1_001, true),
            (true, None, 1_001, true),
            (true, None, 1_000, false),
            (true, None, 0, false),
        ] {
            let got = cold_and_late(now, cold, oldest, late_until, jitter);
            assert_eq!(got, held, "{cold} {oldest:?} {late_until}");
        }
    }

    #[test]
    fn the_margin_of_an_answer_follows_the_lag_and_leaves_most_of_the_patience() {
        assert_eq!(answer_margin(8_000_000, 0), ANSWER_MARGIN_US);
        assert_eq!(answer_margin(8_000_000, 400_000), 800_000);
        assert_eq!(answer_margin(2_000_000, 400_000), 500_000);
        assert_eq!(answer_margin(200_000, 0), 50_000);
        let mut lag = Lag::default();
        lag.note(0, 400);
        lag.note(1, 300);
        assert_eq!(
            (
                lag.at(2),
                lag.at(HALF_US),
                lag.at(3 * HALF_US),
                lag.at(u64::MAX)
            ),
            (400, 200, 50, 0)
        );
        lag.note(HALF_US, 300);
        assert_eq!(lag.at(HALF_US), 300);
    }

    #[test]
    fn offers_of_a_former_life_count_as_just_sent_while_they_may_still_arrive() {
        assert_eq!(former_offer(0, 5), 0);
        assert_eq!(former_offer(FORMER_US + 4, 5), 0);
        assert_eq!(former_offer(FORMER_US + 5, 5), FORMER_US + 5);
    }

    #[test]
    fn a_repeat_to_a_successor_starts_safe_tasks_alone() {
        let repeats = [Repeat::Held, Repeat::Untold, Repeat::NotHeld];
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            for repeat in repeats {
                for (may_wait, covered) in
                    [(false, false), (false, true), (true, false), (true, true)]
                {
                    let got = resubmission(effect, repeat, may_wait, covered);
                    let starts = got == Resubmission::Start;
                    assert!(
                        !starts || (effect == Effect::Safe || covered) && repeat != Repeat::Held
                    );
                    assert_eq!(got == Resubmission::TakeUp, repeat == Repeat::Held);
                    assert_eq!(
                        got == Resubmission::Wait,
                        repeat == Repeat::Untold && may_wait && !covered
                    );
                }
            }
        }
    }
}
