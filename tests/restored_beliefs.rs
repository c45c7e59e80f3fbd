//! Beliefs that a restarted scheduler restores: it keeps what its previous process had learned, and a
//! restored belief never loosens a limit that the rules set.

mod common;

use common::*;
use reedring::*;

/// The next process of the scheduler `previous`, which restores its beliefs `later` microseconds
/// after they were saved.
fn restarted(
    previous: &Harness,
    settings: Settings,
    machines: Vec<Machine>,
    later: Micros,
) -> Harness {
    let mut harness = Harness::new(settings, machines);
    harness.now = previous.now + later;
    let mut beliefs = previous.placer.beliefs(previous.now);
    for belief in &mut beliefs.machines {
        belief.rejected = belief
            .rejected
            .map(|(ago, cores, memory)| (ago + later, cores, memory));
        belief
            .slow_start_offers
            .iter_mut()
            .for_each(|ago| *ago += later);
        belief.backoff_us = belief.backoff_us.saturating_sub(later);
    }
    harness.step(&[Event::BeliefsRestored(beliefs)]);
    harness
}

#[test]
fn a_class_that_a_machine_rejected_is_not_offered_to_it_after_a_restart() {
    let mut previous = Harness::new(settings(), vec![machine(1, 0)]);
    previous.step(&[arrived(1, 0)]);
    previous.step(&[ended(1, 0, MachineId(1), Outcome::Refused)]);
    let without_beliefs =
        offers(&Harness::new(settings(), vec![machine(1, 0)]).step(&[arrived(2, 0)]));
    assert_eq!(
        without_beliefs.len(),
        1,
        "without restored beliefs the class is offered again"
    );
    let mut harness = restarted(&previous, settings(), vec![machine(1, 0)], SECOND);
    assert!(offers(&harness.step(&[arrived(2, 0)])).is_empty());
    assert_eq!(
        offers(&harness.step(&[arrived(3, 1)])).len(),
        1,
        "another class was not rejected"
    );
}

#[test]
fn a_backoff_continues_after_a_restart() {
    let mut previous = Harness::new(settings(), vec![machine(1, 0)]);
    previous.step(&[arrived(1, 0)]);
    previous.step(&[ended(1, 0, MachineId(1), Outcome::Unconnected)]);
    let mut harness = restarted(&previous, settings(), vec![machine(1, 0)], 1_000);
    assert!(
        offers(&harness.step(&[arrived(2, 0)])).is_empty(),
        "the backoff is not over"
    );
    assert_eq!(
        offers(&harness.poll_until_action(SECOND)).len(),
        1,
        "the backoff ends"
    );
}

/// Rule 4: restored beliefs only ever lower what is left of a slow start budget.
#[test]
fn a_spent_slow_start_budget_stays_spent_after_a_restart() {
    let started_at = |now| Machine {
        ready_at: Some(now),
        ..machine(1, 0)
    };
    let rules = Rules {
        slow_start_offers: Some(8.0),
        ..settings().rules
    };
    let settings = Settings {
        schedulers: 4,
        rules,
        ..settings()
    };
    let mut previous = Harness::new(settings.clone(), vec![started_at(100 * SECOND)]);
    let many: Vec<Event> = (0..6).map(|request| arrived(request, 0)).collect();
    assert_eq!(
        offers(&previous.step(&many)).len(),
        2,
        "this scheduler's equal share of 8 offers for 4 schedulers"
    );
    let mut harness = restarted(&previous, settings, vec![started_at(100 * SECOND)], SECOND);
    assert!(
        offers(&harness.step(&[arrived(9, 0)])).is_empty(),
        "both offers are still in the window"
    );
    assert_eq!(offers(&harness.poll_until_action(3 * SECOND)).len(), 1);
}

#[test]
fn beliefs_are_saved_again_as_they_were_restored() {
    let belief = Belief {
        machine: MachineId(1),
        requested: Some((5, 2.0, 3.0)),
        used: Some((6, 1.0, 1.0)),
        rejected: Some((7, 0.0, 0.0)),
        rejecting: vec![(0, 1, SECOND)],
        consecutive_failures: 2,
        backoff_us: SECOND,
        slow_start_offers: vec![9, 8],
    };
    let beliefs = Beliefs {
        machines: vec![belief],
        answers: vec![1, 2],
        arrivals: vec![(SECOND, 1.0)],
        ratio: Some((0.4, 0.6)),
    };
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    harness.step(&[Event::BeliefsRestored(beliefs.clone())]);
    assert_eq!(harness.placer.beliefs(harness.now), beliefs);
}
