use super::*;

#[test]
fn only_job_names_in_the_exact_printed_form_are_parsed() {
    let name = JobName {
        session: "s-1".into(),
        call: 4,
        index: 7,
    };
    assert_eq!(JobName::parse(&name.to_string()), Some(name));
    for invalid in [
        "",
        "s",
        "s.1",
        "s.1.2.3",
        "s.01.2",
        "s.1.x",
        "s.+1.2",
        "s.1.99999999999999999999",
    ] {
        assert_eq!(JobName::parse(invalid), None, "{invalid}");
    }
}

fn attempt(job: JobNumber, wire: wire::AttemptId) -> Attempt {
    Attempt {
        job,
        node: NodeNumber(0),
        machine: reedring::names::machine_id("node-0"),
        wire,
        sent: 0,
        state: AttemptState::Accepted,
        accepted: true,
        announced: true,
        node_incarnation: None,
        topics: Arc::default(),
    }
}

#[test]
fn an_attempt_is_found_by_its_wire_id_until_it_is_closed() {
    let mut ledger = Ledger::new(2);
    let own = AttemptId {
        request: ledger.new_request(),
        number: 0,
    };
    let adopted = AttemptId {
        request: ledger.new_request(),
        number: 0,
    };
    let foreign = wire::AttemptId {
        incarnation: 1,
        request: own.request.0,
        number: 0,
    };
    ledger.open_attempt(own, attempt(JobNumber(1), ledger.wire_id(own)));
    ledger.open_attempt(adopted, attempt(JobNumber(2), foreign));
    assert_eq!(ledger.find_by_wire_id(ledger.wire_id(own)), Some(own));
    assert_eq!(
        ledger.find_by_wire_id(foreign),
        Some(adopted),
        "the attempt of another incarnation with the same request number"
    );
    assert!(!ledger.is_known(foreign));
    ledger.close_attempt(adopted, "ended");
    assert_eq!(ledger.find_by_wire_id(foreign), None);
    assert!(
        ledger.is_known(foreign),
        "a closed attempt that is reported again must not be adopted"
    );
}

#[test]
fn each_attempt_for_an_open_request_has_its_own_number() {
    let mut ledger = Ledger::new(1);
    let request = ledger.new_request();
    ledger.open_request(request, JobNumber(7));
    let numbers = [(); 2].map(|()| ledger.next_attempt(request).map(|(_, id)| id.number));
    assert_eq!(numbers, [Some(0), Some(1)]);
    assert_eq!(ledger.close_request(request), Some(JobNumber(7)));
    assert!(ledger.next_attempt(request).is_none());
}
