//! What a scheduler learned outlives it, and never frees what the rules bind.

mod common;

use common::*;
use reedring::*;

/// A successor that is told what `former` learned, so much later.
fn successor(former: &Bed, settings: Settings, lines: Vec<Machine>, later: Micros) -> Bed {
    let mut bed = Bed::new(settings, lines);
    bed.now = former.now + later;
    let mut beliefs = former.placer.beliefs(former.now);
    for belief in &mut beliefs.machines {
        belief.refused = belief
            .refused
            .map(|(ago, cores, memory)| (ago + later, cores, memory));
        belief
            .slow_start_offers
            .iter_mut()
            .for_each(|ago| *ago += later);
        belief.backoff_us = belief.backoff_us.saturating_sub(later);
    }
    bed.step(&[Event::BeliefsRestored(beliefs)]);
    bed
}

#[test]
fn a_machine_that_refused_a_class_is_avoided_by_the_successor_as_by_the_one_before() {
    let mut former = Bed::new(settings(), vec![machine(1, 0)]);
    former.step(&[arrived(1, 0)]);
    former.step(&[ended(1, 0, MachineId(1), Outcome::Refused)]);
    let fresh = offers(&Bed::new(settings(), vec![machine(1, 0)]).step(&[arrived(2, 0)]));
    assert_eq!(fresh.len(), 1, "without the file it would ask again");
    let mut bed = successor(&former, settings(), vec![machine(1, 0)], SECOND);
    assert!(offers(&bed.step(&[arrived(2, 0)])).is_empty());
    assert_eq!(
        offers(&bed.step(&[arrived(3, 1)])).len(),
        1,
        "only that class was turned away"
    );
}

#[test]
fn strikes_and_bars_go_on_and_what_is_newer_stands() {
    let mut former = Bed::new(settings(), vec![machine(1, 0)]);
    former.step(&[arrived(1, 0)]);
    former.step(&[ended(1, 0, MachineId(1), Outcome::Unconnected)]);
    let mut bed = successor(&former, settings(), vec![machine(1, 0)], 1_000);
    assert!(
        offers(&bed.step(&[arrived(2, 0)])).is_empty(),
        "it is barred still"
    );
    assert_eq!(offers(&bed.wait(SECOND)).len(), 1, "not for ever");
}

/// Rule 4: what is recalled only ever takes from a cold machine's budget.
#[test]
fn a_spent_cold_budget_stays_spent() {
    let cold = |now| Machine {
        ready_at: Some(now),
        ..machine(1, 0)
    };
    let rules = Rules {
        slow_start_offers: Some(8.0),
        ..settings().rules
    };
    let told = Settings {
        schedulers: 4,
        rules,
        ..settings()
    };
    let mut former = Bed::new(told.clone(), vec![cold(100 * SECOND)]);
    let many: Vec<Event> = (0..6).map(|request| arrived(request, 0)).collect();
    assert_eq!(
        offers(&former.step(&many)).len(),
        2,
        "an equal part of eight"
    );
    let mut bed = successor(&former, told, vec![cold(100 * SECOND)], SECOND);
    assert!(
        offers(&bed.step(&[arrived(9, 0)])).is_empty(),
        "the window holds both offers still"
    );
    assert_eq!(offers(&bed.wait(3 * SECOND)).len(), 1);
}

#[test]
fn what_is_learned_is_told_back_as_it_was_taken_in() {
    let belief = Belief {
        machine: MachineId(1),
        asked: Some((5, 2.0, 3.0)),
        used: Some((6, 1.0, 1.0)),
        refused: Some((7, 0.0, 0.0)),
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
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    bed.step(&[Event::BeliefsRestored(beliefs.clone())]);
    assert_eq!(bed.placer.beliefs(bed.now), beliefs);
}
