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

fn open_session(sessions: &mut Sessions) -> SessionNumber {
    sessions.open("s", 0, 10).unwrap()
}

#[test]
fn the_first_matching_wait_receives_a_jobs_end_and_later_ones_are_too_late() {
    let mut sessions = Sessions::default();
    let number = open_session(&mut sessions);
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
fn a_synchronization_completes_when_its_last_job_ends() {
    let mut sessions = Sessions::default();
    let number = open_session(&mut sessions);
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
fn a_connection_that_ends_removes_its_waiting_calls() {
    let mut sessions = Sessions::default();
    let number = open_session(&mut sessions);
    sessions.wait(number, 1, waiter(WaitCondition::Any));
    sessions.client_disconnected(CLIENT);
    assert!(sessions.answer(number, 1, Ok(Answer::Done)).is_none());
}

#[test]
fn a_settled_call_is_closed_and_can_not_be_made_again() {
    let mut sessions = Sessions::default();
    let number = open_session(&mut sessions);
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
        session.call_record(1),
        Ok(Some(CallRecord::Submission(_)))
    ));
    session.settle(2);
    assert!(
        session.call_record(1).is_err() && session.is_call_closed(1) && !session.is_call_closed(2)
    );
}

#[test]
fn an_idle_session_is_deleted_once_it_has_no_jobs() {
    let mut sessions = Sessions::default();
    let number = open_session(&mut sessions);
    let place = CallIndex { call: 1, index: 1 };
    sessions
        .get_mut(number)
        .unwrap()
        .add_job(place, JobNumber(1));
    sessions.remove_idle(10);
    assert!(sessions.get(number).is_some());
    sessions
        .get_mut(number)
        .unwrap()
        .remove_job(place, JobNumber(1));
    sessions.remove_idle(10);
    assert!(sessions.get(number).is_none() && sessions.find("s").is_err());
}
