//! Arbitrary but legal histories: the rules are checked on every action. No machines are modelled:
//! outcomes are drawn, whatever was sent.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reedring::*;

#[derive(Default)]
struct Book {
    class: u16,
    deadline: Micros,
    attempts: Vec<(MachineId, Micros, Option<bool>)>,
    answered: bool,
}

struct Referee {
    book: BTreeMap<u64, Book>,
    standing: BTreeMap<AttemptId, MachineId>,
    health: BTreeMap<u64, Health>,
    cold: BTreeMap<u64, Vec<Micros>>,
}

impl Referee {
    fn judge(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Offer {
                    request, machine, ..
                } => self.offer(now, request.0, *machine),
                Action::Refuse { request, .. } => {
                    let book = self.book.get_mut(&request.0).unwrap();
                    assert!(!book.answered, "two answers");
                    book.answered = true;
                    let perhaps = book
                        .attempts
                        .iter()
                        .any(|(_, _, never)| *never != Some(true));
                    assert!(
                        !(perhaps && matches!(book.class, 1 | 2)),
                        "a refusal that may lie"
                    );
                }
                Action::Fail(request) => {
                    let book = self.book.get_mut(&request.0).unwrap();
                    assert!(!book.answered, "two answers");
                    book.answered = true;
                }
                Action::Stop(attempt) => {
                    let book = &self.book[&attempt.request.0];
                    assert!(usize::from(attempt.number) < book.attempts.len());
                }
                _ => {}
            }
        }
    }

    fn offer(&mut self, now: Micros, request: u64, machine: MachineId) {
        let number = self.book[&request].attempts.len() as u16;
        self.standing.insert(attempt(request, number), machine);
        let class = self.book[&request].class;
        let book = self.book.get_mut(&request).unwrap();
        assert!(!book.answered && now < book.deadline && book.attempts.len() < 3);
        assert!(
            book.attempts.iter().all(|(_, _, never)| never.is_some()),
            "two at once"
        );
        let first = book
            .attempts
            .iter()
            .find(|(_, _, never)| *never == Some(false));
        if let Some((first, sent, _)) = first {
            assert_ne!(class, 2, "an unsafe task again");
            assert!(class != 1 || (first.0 % 2 == machine.0 % 2 && now < sent + 3 * SECOND));
            assert!(class != 3 || now < sent + 3 * SECOND);
        }
        book.attempts.push((machine, now, None));
        assert_eq!(self.health[&machine.0], Health::Ready);
        if class == 4 {
            let there = self.standing.iter().filter(|(id, at)| {
                **at == machine && self.book.get(&id.request.0).is_some_and(|b| b.class == 4)
            });
            assert_eq!(there.count(), 1, "spread");
        }
        if machine.0 == 1 {
            let offers = self.cold.entry(1).or_default();
            offers.retain(|at| at + 2 * SECOND > now);
            offers.push(now);
            assert!(offers.len() <= 2, "a part of 8 offers for 4 schedulers");
        }
    }
}

#[test]
fn arbitrary_histories_keep_the_rules() {
    let config = Config {
        failure_persistence: None,
        cases: 200,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec((0u8..10, 0u16..5, 0usize..64, 1u64..400_000), 1..150);
    let run = runner.run(&steps, |steps| {
        history(&steps);
        Ok(())
    });
    run.unwrap();
}

fn history(steps: &[(u8, u16, usize, Micros)]) {
    let start = 100 * SECOND;
    let mut cold = machine(1, 1);
    cold.ready_at = Some(start);
    let all: Vec<Machine> = [cold]
        .into_iter()
        .chain((2..6).map(|n| machine(n, (n % 2) as u16)))
        .collect();
    let mut bed = Bed::new(settings(), all.clone());
    let mut referee = Referee {
        book: BTreeMap::new(),
        standing: BTreeMap::new(),
        health: all.iter().map(|m| (m.id.0, m.health)).collect(),
        cold: BTreeMap::new(),
    };
    for (n, (what, class, pick, pause)) in steps.iter().enumerate() {
        bed.now = (bed.now + pause).min(start + 9 * SECOND);
        let mut batch = vec![Event::Woken(1)];
        // At its deadline an attempt times out by itself.
        let mut over = Vec::new();
        for (id, at) in &referee.standing {
            let book = &referee.book[&id.request.0];
            if !book.answered && book.deadline <= bed.now {
                over.push((*id, *at));
            }
        }
        for (id, at) in over {
            end(&mut referee, &mut batch, id, at, Outcome::TimedOut);
        }
        let open: Vec<(AttemptId, MachineId)> = referee
            .standing
            .iter()
            .filter(|(id, _)| !referee.book[&id.request.0].answered)
            .map(|(id, at)| (*id, *at))
            .collect();
        match what {
            0..4 => {
                let book = Book {
                    class: *class,
                    deadline: bed.now + 5 * SECOND,
                    ..Book::default()
                };
                referee.book.insert(n as u64, book);
                batch.push(arrived(n as u64, *class));
            }
            4 if !open.is_empty() => {
                let (id, at) = open[pick % open.len()];
                referee.book.get_mut(&id.request.0).unwrap().answered = true;
                batch.push(placed(id.request.0, id.number, at));
            }
            5..8 if !open.is_empty() => {
                let (id, at) = open[pick % open.len()];
                let outcomes = [
                    Outcome::Refused,
                    Outcome::Unconnected,
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::Stopped,
                    Outcome::Unsent,
                ];
                end(
                    &mut referee,
                    &mut batch,
                    id,
                    at,
                    outcomes[usize::from(*class) + pick % 2],
                );
            }
            8 => {
                let health = [Health::Ready, Health::Draining, Health::Gone][pick % 3];
                let line = with(all[pick % 5].clone(), health);
                referee.health.insert(line.id.0, health);
                batch.push(Event::Listed(Listing::Changes(vec![line])));
            }
            _ => {
                let placed: Vec<_> = referee.standing.iter().map(|(id, at)| (*id, *at)).collect();
                if let Some((id, at)) = placed.get(pick % placed.len().max(1))
                    && referee.book[&id.request.0].answered
                {
                    end(&mut referee, &mut batch, *id, *at, Outcome::Finished);
                }
            }
        }
        let actions = bed.step(&batch);
        referee.judge(bed.now, &actions);
        for (id, book) in &referee.book {
            assert!(
                book.answered || bed.now < book.deadline,
                "request {id} is overdue"
            );
        }
    }
}

fn end(referee: &mut Referee, batch: &mut Vec<Event>, id: AttemptId, at: MachineId, how: Outcome) {
    let book = referee.book.get_mut(&id.request.0).unwrap();
    let never = matches!(
        how,
        Outcome::Refused | Outcome::Unconnected | Outcome::Unsent
    );
    book.attempts[usize::from(id.number)].2 = Some(never);
    referee.standing.remove(&id);
    batch.push(match ended(id.request.0, id.number, at, how) {
        Event::Ended(end) => Event::Ended(Ended {
            closed: book.answered,
            ..end
        }),
        other => other,
    });
}
