//! Random but legal histories of events: the rules are checked on every action. No machines are
//! simulated: outcomes are drawn at random, whatever was offered.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reedring::*;

/// What the checker knows about a request.
#[derive(Default)]
struct RequestRecord {
    class: u16,
    deadline: Micros,
    /// The attempts in order: the machine, when the offer was returned, and whether the outcome
    /// proved that the task never ran; `None` without an outcome.
    attempts: Vec<(MachineId, Micros, Option<bool>)>,
    answered: bool,
}

/// Checks the rules on actions, and keeps what that needs to know.
struct RuleChecker {
    requests: BTreeMap<u64, RequestRecord>,
    /// The attempts that have not ended, also those of requests that are answered.
    active_attempts: BTreeMap<AttemptId, MachineId>,
    health: BTreeMap<u64, Health>,
    /// When machine 1, which is warming up, got offers within the last slow start window.
    warm_up_offers: BTreeMap<u64, Vec<Micros>>,
}

impl RuleChecker {
    fn check_actions(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Offer {
                    request, machine, ..
                } => self.check_offer(now, request.0, *machine),
                Action::Refuse { request, .. } => {
                    let record = self.requests.get_mut(&request.0).unwrap();
                    assert!(!record.answered, "two final answers");
                    record.answered = true;
                    let may_have_run = record
                        .attempts
                        .iter()
                        .any(|(_, _, never_ran)| *never_ran != Some(true));
                    assert!(
                        !(may_have_run && matches!(record.class, 1 | 2)),
                        "a refusal of a task that may have run and is not safe to repeat"
                    );
                }
                Action::Fail(request) => {
                    let record = self.requests.get_mut(&request.0).unwrap();
                    assert!(!record.answered, "two final answers");
                    record.answered = true;
                }
                Action::Stop(attempt) => {
                    let record = &self.requests[&attempt.request.0];
                    assert!(usize::from(attempt.number) < record.attempts.len());
                }
                _ => {}
            }
        }
    }

    fn check_offer(&mut self, now: Micros, request: u64, machine: MachineId) {
        let number = self.requests[&request].attempts.len() as u16;
        self.active_attempts
            .insert(attempt(request, number), machine);
        let class = self.requests[&request].class;
        let record = self.requests.get_mut(&request).unwrap();
        assert!(!record.answered && now < record.deadline && record.attempts.len() < 3);
        assert!(
            record
                .attempts
                .iter()
                .all(|(_, _, never_ran)| never_ran.is_some()),
            "two attempts in flight at once"
        );
        let first_that_may_have_run = record
            .attempts
            .iter()
            .find(|(_, _, never_ran)| *never_ran == Some(false));
        if let Some((first, sent_at, _)) = first_that_may_have_run {
            assert_ne!(
                class, 2,
                "an unsafe task that may have run is offered again"
            );
            assert!(class != 1 || (first.0 % 2 == machine.0 % 2 && now < sent_at + 3 * SECOND));
            assert!(class != 3 || now < sent_at + 3 * SECOND);
        }
        record.attempts.push((machine, now, None));
        assert_eq!(self.health[&machine.0], Health::Ready);
        if class == 4 {
            let on_machine = self.active_attempts.iter().filter(|(id, other)| {
                **other == machine
                    && self
                        .requests
                        .get(&id.request.0)
                        .is_some_and(|record| record.class == 4)
            });
            assert_eq!(
                on_machine.count(),
                1,
                "more tasks of the service on one machine than the spread allows"
            );
        }
        if machine.0 == 1 {
            let offers = self.warm_up_offers.entry(1).or_default();
            offers.retain(|sent_at| sent_at + 2 * SECOND > now);
            offers.push(now);
            assert!(
                offers.len() <= 2,
                "more than this scheduler's share of 8 offers for 4 schedulers"
            );
        }
    }
}

#[test]
fn random_histories_of_events_keep_the_rules() {
    let config = Config {
        failure_persistence: None,
        cases: 200,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec((0u8..10, 0u16..5, 0usize..64, 1u64..400_000), 1..150);
    let run = runner.run(&steps, |steps| {
        check_history(&steps);
        Ok(())
    });
    run.unwrap();
}

/// Runs a history and checks the rules on all actions. Each step draws what happens, a class, a number
/// that picks among attempts, outcomes or machines, and the time since the step before, in
/// microseconds.
fn check_history(steps: &[(u8, u16, usize, Micros)]) {
    let start = 100 * SECOND;
    let mut warming_up = machine(1, 1);
    warming_up.ready_at = Some(start);
    let machines: Vec<Machine> = [warming_up]
        .into_iter()
        .chain((2..6).map(|n| machine(n, (n % 2) as u16)))
        .collect();
    let mut harness = Harness::new(settings(), machines.clone());
    let mut checker = RuleChecker {
        requests: BTreeMap::new(),
        active_attempts: BTreeMap::new(),
        health: machines.iter().map(|m| (m.id.0, m.health)).collect(),
        warm_up_offers: BTreeMap::new(),
    };
    for (n, (what, class, pick, pause)) in steps.iter().enumerate() {
        harness.now = (harness.now + pause).min(start + 9 * SECOND);
        let mut batch = vec![Event::TimerDue(1)];
        // Attempts in flight time out at the deadline of their request.
        let mut overdue = Vec::new();
        for (id, machine) in &checker.active_attempts {
            let record = &checker.requests[&id.request.0];
            if !record.answered && record.deadline <= harness.now {
                overdue.push((*id, *machine));
            }
        }
        for (id, machine) in overdue {
            end_attempt(&mut checker, &mut batch, id, machine, Outcome::TimedOut);
        }
        let in_flight: Vec<(AttemptId, MachineId)> = checker
            .active_attempts
            .iter()
            .filter(|(id, _)| !checker.requests[&id.request.0].answered)
            .map(|(id, machine)| (*id, *machine))
            .collect();
        match what {
            0..4 => {
                let record = RequestRecord {
                    class: *class,
                    deadline: harness.now + 5 * SECOND,
                    ..RequestRecord::default()
                };
                checker.requests.insert(n as u64, record);
                batch.push(arrived(n as u64, *class));
            }
            4 if !in_flight.is_empty() => {
                let (id, machine) = in_flight[pick % in_flight.len()];
                checker.requests.get_mut(&id.request.0).unwrap().answered = true;
                batch.push(placed(id.request.0, id.number, machine));
            }
            5..8 if !in_flight.is_empty() => {
                let (id, machine) = in_flight[pick % in_flight.len()];
                let outcomes = [
                    Outcome::Refused,
                    Outcome::Unconnected,
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::Stopped,
                    Outcome::Unsent,
                ];
                end_attempt(
                    &mut checker,
                    &mut batch,
                    id,
                    machine,
                    outcomes[usize::from(*class) + pick % 2],
                );
            }
            8 => {
                let health = [Health::Ready, Health::Draining, Health::Gone][pick % 3];
                let entry = with_health(machines[pick % 5].clone(), health);
                checker.health.insert(entry.id.0, health);
                batch.push(Event::Listed(Listing::Changes(vec![entry])));
            }
            _ => {
                let active: Vec<_> = checker
                    .active_attempts
                    .iter()
                    .map(|(id, machine)| (*id, *machine))
                    .collect();
                if let Some((id, machine)) = active.get(pick % active.len().max(1))
                    && checker.requests[&id.request.0].answered
                {
                    end_attempt(&mut checker, &mut batch, *id, *machine, Outcome::Finished);
                }
            }
        }
        let actions = harness.step(&batch);
        checker.check_actions(harness.now, &actions);
        for (id, record) in &checker.requests {
            assert!(
                record.answered || harness.now < record.deadline,
                "request {id} has no final answer at its deadline"
            );
        }
    }
}

/// Adds the end of an attempt to the batch, and records it in the checker.
fn end_attempt(
    checker: &mut RuleChecker,
    batch: &mut Vec<Event>,
    id: AttemptId,
    machine: MachineId,
    outcome: Outcome,
) {
    let record = checker.requests.get_mut(&id.request.0).unwrap();
    let never_ran = matches!(
        outcome,
        Outcome::Refused | Outcome::Unconnected | Outcome::Unsent
    );
    record.attempts[usize::from(id.number)].2 = Some(never_ran);
    checker.active_attempts.remove(&id);
    batch.push(match ended(id.request.0, id.number, machine, outcome) {
        Event::Ended(end) => Event::Ended(Ended {
            closed: record.answered,
            ..end
        }),
        other => other,
    });
}
