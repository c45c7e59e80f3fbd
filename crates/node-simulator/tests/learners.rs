//! Nodes that do not vote on plans: what they learn, what they refuse, and whom they tell.

use reedring_node_protocol::{
    AcceptorReport, AttemptId, Ballot, ConfigRequest, ConfigVersion, DeduplicationScope,
    Idempotency, Message, RejectionReason, Task, VersionInfo, VersionStamp, version_level,
};
use reedring_node_simulator::{Config, Effect, Fleet, Groups, Node};
use reedring_plan::ConfigDocument;

fn stamp(number: u64, joint: bool) -> VersionStamp {
    VersionStamp {
        version: plan(number).version(),
        joint,
        ..VersionStamp::default()
    }
}

fn plan(number: u64) -> ConfigDocument {
    ConfigDocument::new(number, &format!("plan {number}")).unwrap()
}

/// A learner with two placers, whose links have the numbers 1 and 2.
struct Site {
    node: Node,
    groups: Groups,
    now_us: u64,
    offers: u64,
}

/// A task that ends by itself after a moment.
fn task(job: &str) -> Task {
    Task {
        session: "s".into(),
        job: job.into(),
        class: "c".into(),
        tenant: "t".into(),
        service: "s".into(),
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: 0,
        idempotency_key: 0,
        cores: 0.01,
        memory: 0.01,
        expected_duration_ms: 1,
        payload: Vec::new(),
    }
}

impl Site {
    fn new() -> Self {
        let config = Config {
            votes: false,
            look_ms: 0.0,
            start_ms: 0.0,
            ..Config::named("n")
        };
        let mut site = Self {
            node: Node::new(config, 1, 1, 0),
            groups: Groups::default(),
            now_us: 1_000,
            offers: 0,
        };
        // Both files have plan 9, which nobody has agreed on.
        for link in 1..=2 {
            site.greet(link, Some(stamp(9, false)));
        }
        site
    }

    fn greet(&mut self, link: u64, stamp: Option<VersionStamp>) -> Option<AcceptorReport> {
        let version_info = stamp.map(|stamp| VersionInfo {
            stamp,
            build: "build".to_owned(),
        });
        let hello = Message::Hello {
            placer: format!("placer-{link}"),
            incarnation: 1,
            link,
            version_info,
        };
        self.send(link, hello)
            .into_iter()
            .find_map(|(_, message)| match message {
                Message::Welcome {
                    acceptor_report, ..
                } => acceptor_report,
                _ => None,
            })
    }

    /// What the node sends to whom on this.
    fn send(&mut self, link: u64, message: Message) -> Vec<(u64, Message)> {
        self.now_us += 1_000;
        self.node
            .message(self.now_us, link, message, &mut self.groups);
        self.now_us += 1_000;
        self.node.tick(self.now_us, &mut self.groups);
        let sent = self
            .node
            .effects()
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::Send(link, message) => Some((link, message)),
                _ => None,
            });
        sent.collect()
    }

    /// Whether an offer was accepted, else why not; and the floor that its placer was told with that.
    fn offer(
        &mut self,
        link: u64,
        stamp: Option<VersionStamp>,
    ) -> (Result<(), RejectionReason>, Option<u64>) {
        self.offers += 1;
        let attempt = AttemptId {
            incarnation: 1,
            request: self.offers,
            number: 0,
        };
        let task = task(&format!("j{}", self.offers));
        let sent = self.send(
            link,
            Message::Offer {
                attempt,
                task: Box::new(task),
                within_ms: 0,
                stamp,
            },
        );
        assert!(
            sent.iter().all(|(to, _)| *to == link),
            "nobody else is told: {sent:?}"
        );
        let floor = sent.iter().find_map(|(_, message)| match message {
            Message::AcceptorReport(record) => Some(record.floor()),
            _ => None,
        });
        let answer = sent.iter().find_map(|(_, message)| match message {
            Message::Accepted { .. } => Some(Ok(())),
            Message::Rejected { reason, .. } => Some(Err(*reason)),
            _ => None,
        });
        (answer.expect("an answer"), floor)
    }

    fn order(&mut self, link: u64, order: ConfigRequest) -> AcceptorReport {
        let sent = self.send(link, Message::ConfigRequest(order));
        let [(to, Message::AcceptorReport(record))] = &sent[..] else {
            panic!("{sent:?}")
        };
        assert_eq!(*to, link);
        *record
    }
}

#[test]
fn offers_raise_the_floor_and_what_is_under_it_is_refused_and_told_the_floor() {
    let mut site = Site::new();
    assert_eq!(site.offer(1, Some(stamp(1, false))), (Ok(()), None));
    assert_eq!(
        site.offer(2, Some(stamp(2, false))),
        (Ok(()), None),
        "any newer plan raises it"
    );
    assert_eq!(
        site.offer(1, Some(stamp(1, false))),
        (Err(RejectionReason::Superseded), Some(3))
    );
    assert_eq!(site.offer(1, Some(stamp(2, true))), (Ok(()), None));
    let rival = VersionStamp {
        version: ConfigDocument::new(2, "rival").unwrap().version(),
        ..VersionStamp::default()
    };
    assert_eq!(
        site.offer(1, Some(rival)),
        (Err(RejectionReason::Superseded), Some(3)),
        "one plan of a number"
    );
    assert_eq!(site.node.record(site.now_us).floor(), 3);
}

#[test]
fn offers_without_a_version_are_admitted_until_a_version_was_seen() {
    let mut site = Site::new();
    site.greet(3, None);
    assert_eq!(
        site.offer(3, None),
        (Ok(()), None),
        "greetings are no versions acted by"
    );
    assert_eq!(site.offer(1, Some(stamp(1, false))), (Ok(()), None));
    assert_eq!(
        site.offer(3, None),
        (Err(RejectionReason::Unsupported), None),
        "who knows no plans knows no such reason"
    );
}

/// A greeting and a heartbeat name the plan of a file before anything is agreed on.
#[test]
fn greetings_and_heartbeats_raise_no_floor() {
    let mut site = Site::new();
    let told = site.greet(4, Some(stamp(9, false))).unwrap();
    assert_eq!(
        (told.is_learner, told.cannot_persist, told.floor()),
        (true, true, 0)
    );
    assert_eq!(
        site.order(
            1,
            ConfigRequest::Query {
                stamp: stamp(9, false)
            }
        )
        .floor(),
        0
    );
    assert_eq!(site.offer(2, Some(stamp(1, false))), (Ok(()), None));
}

#[test]
fn ballots_are_not_voted_on_and_what_is_decided_raises_the_floor() {
    let mut site = Site::new();
    let (follows, ballot, list) = (
        ConfigVersion::default(),
        Ballot {
            round: 1,
            proposer: 1,
        },
        0,
    );
    let (version, text) = (plan(1).version(), plan(1).text().to_owned());
    let record = site.order(
        1,
        ConfigRequest::Prepare {
            follows,
            ballot,
            list,
        },
    );
    assert_eq!((record.promised, record.floor()), (Ballot::default(), 0));
    let record = site.order(
        1,
        ConfigRequest::Accept {
            follows,
            ballot,
            version,
            text: text.clone(),
            list,
        },
    );
    assert_eq!((record.accepted, record.floor()), (None, 0));
    // From a placer of the former version, which takes it for one that keeps plans.
    let record = site.order(
        1,
        ConfigRequest::EnterJoint {
            follows,
            version,
            text: text.clone(),
            list,
        },
    );
    assert_eq!(record.floor(), version_level(version, true));
    let record = site.order(
        1,
        ConfigRequest::Commit {
            version,
            text,
            list,
        },
    );
    assert_eq!(
        (record.floor(), record.committed),
        (1, ConfigVersion::default())
    );
    let sent = site.send(
        1,
        Message::ConfigRequest(ConfigRequest::Fetch {
            version,
            have: None,
        }),
    );
    assert_eq!(
        sent,
        [(
            1,
            Message::ConfigText {
                version,
                text: String::new()
            }
        )],
        "it keeps no text"
    );
    assert_eq!(site.node.plan_writes(), (0, 0));
}

#[test]
fn a_placer_that_says_by_what_it_acts_is_told_the_floor_and_since_when() {
    let mut site = Site::new();
    let record = site.order(
        1,
        ConfigRequest::RaiseFloor {
            stamp: stamp(2, true),
        },
    );
    assert_eq!((record.floor(), record.floor_age_ms), (3, 0));
    site.now_us += 500_000;
    let record = site.order(
        2,
        ConfigRequest::RaiseFloor {
            stamp: stamp(2, false),
        },
    );
    assert_eq!(record.floor(), 3);
    assert!(
        (500..510).contains(&record.floor_age_ms),
        "it rose when the first one said so: {record:?}"
    );
    assert_eq!(
        site.order(
            1,
            ConfigRequest::RaiseFloor {
                stamp: stamp(1, false)
            }
        )
        .floor(),
        3,
        "it never falls"
    );
}

/// The floor rose while an offer was in line.
#[test]
fn an_offer_in_line_is_looked_at_by_the_floor_of_then() {
    let mut site = Site::new();
    let config = Config {
        votes: false,
        look_ms: 10.0,
        ..Config::named("n")
    };
    site.node = Node::new(config, 1, 1, 0);
    for link in 1..=2 {
        site.greet(link, Some(stamp(1, false)));
    }
    let offer = |request, stamp| {
        let attempt = AttemptId {
            incarnation: 1,
            request,
            number: 0,
        };
        let task = task("j");
        Message::Offer {
            attempt,
            task: Box::new(task),
            within_ms: 0,
            stamp: Some(stamp),
        }
    };
    site.send(1, offer(1, stamp(1, false)));
    site.send(2, offer(2, stamp(2, false)));
    site.node.tick(site.now_us + 100_000, &mut site.groups);
    let answers = site.node.effects();
    let refused = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send(
                1,
                Message::Rejected {
                    reason: RejectionReason::Superseded,
                    ..
                }
            )
        )
    };
    assert!(answers.iter().any(refused), "{answers:?}");
    assert!(
        answers
            .iter()
            .any(|effect| matches!(effect, Effect::Send(2, Message::Accepted { .. })))
    );
}

#[test]
fn a_learner_keeps_nothing_and_speaks_of_plans() {
    let told = |lines: &str| Fleet::parse(&format!("[[node]]\nname = \"n\"\n{lines}"), "f.toml");
    assert!(told("votes = false").is_ok());
    let wrong = told("votes = false\nplan_dir = \"p\"")
        .unwrap_err()
        .to_string();
    assert!(
        wrong.contains("node[0] `n`") && wrong.contains("drop plan_dir"),
        "{wrong}"
    );
    let wrong = told("votes = false\nplans = false")
        .unwrap_err()
        .to_string();
    assert!(wrong.contains("drop plans = false"), "{wrong}");
    assert!(
        told("votes = \"no\"")
            .unwrap_err()
            .to_string()
            .starts_with("f.toml:3:")
    );
}
