use reedring_drmaa::rpc::Range;

use super::*;
use crate::ids::CallIndex;

const CLIENT: ConnectionId = 1;

fn waiter(condition: WaitCondition) -> Waiter {
    Waiter {
        conn: CLIENT,
        id: 1,
        condition,
    }
}

fn session(sessions: &mut Sessions) -> SessionNumber {
    sessions.open("s", 0, 10).unwrap()
}

#[test]
fn the_first_wait_receives_a_job_and_a_later_one_for_it_is_too_late() {
    let mut sessions = Sessions::default();
    let number = session(&mut sessions);
    let job = JobNumber(5);
    sessions.wait(number, 1, waiter(WaitCondition::Job(JobNumber(6))));
    sessions.wait(number, 2, waiter(WaitCondition::Any));
    sessions.wait(number, 3, waiter(WaitCondition::Job(job)));
    let wake_ups = sessions.get_mut(number).unwrap().wake_ups(job);
    assert_eq!(
        (wake_ups.receiver, wake_ups.too_late, wake_ups.complete),
        (Some(2), vec![3], vec![])
    );
}

#[test]
fn a_synchronization_is_complete_with_its_last_job() {
    let mut sessions = Sessions::default();
    let number = session(&mut sessions);
    let jobs = vec![JobNumber(1), JobNumber(2)];
    let unfinished = jobs.iter().copied().collect();
    sessions.wait(
        number,
        1,
        waiter(WaitCondition::All {
            unfinished,
            jobs: jobs.clone(),
            dispose: false,
        }),
    );
    let complete: Vec<Vec<u64>> = jobs
        .into_iter()
        .map(|job| sessions.get_mut(number).unwrap().wake_ups(job).complete)
        .collect();
    assert_eq!(complete, [vec![], vec![1]]);
}

#[test]
fn calls_of_a_connection_that_ended_wait_no_longer() {
    let mut sessions = Sessions::default();
    let number = session(&mut sessions);
    sessions.wait(number, 1, waiter(WaitCondition::Any));
    sessions.client_disconnected(CLIENT);
    assert!(sessions.answer(number, 1, Ok(Answer::Done)).is_none());
}

#[test]
fn a_settled_call_is_known_and_may_not_be_made_again() {
    let mut sessions = Sessions::default();
    let number = session(&mut sessions);
    let session = sessions.get_mut(number).unwrap();
    session.record(
        1,
        CallRecord::Submission(Range {
            first: 1,
            last: 1,
            step: 1,
        }),
    );
    assert!(matches!(
        session.recorded(1),
        Ok(Some(CallRecord::Submission(_)))
    ));
    session.settle(2);
    assert!(session.recorded(1).is_err() && session.knows_call(1) && !session.knows_call(2));
}

#[test]
fn a_session_is_forgotten_once_it_is_idle_and_holds_no_job() {
    let mut sessions = Sessions::default();
    let number = session(&mut sessions);
    let place = CallIndex { call: 1, index: 1 };
    sessions
        .get_mut(number)
        .unwrap()
        .add_job(place, JobNumber(1));
    sessions.forget_idle(10);
    assert!(sessions.get(number).is_some());
    sessions
        .get_mut(number)
        .unwrap()
        .forget_job(place, JobNumber(1));
    sessions.forget_idle(10);
    assert!(sessions.get(number).is_none() && sessions.find("s").is_err());
}
