use super::*;

#[test]
fn job_names_read_back_and_nothing_else_does() {
    let name = JobName {
        session: "s-1".into(),
        call: 4,
        index: 7,
    };
    assert_eq!(JobName::parse(&name.to_string()), Some(name));
    for odd in [
        "",
        "s",
        "s.1",
        "s.1.2.3",
        "s.01.2",
        "s.1.x",
        "s.+1.2",
        "s.1.99999999999999999999",
    ] {
        assert_eq!(JobName::parse(odd), None, "{odd}");
    }
}
