use reedring_node_protocol::ConfigDigest;

use super::*;

fn version(number: u64) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest([7; 16]),
    }
}

fn text(word: &str) -> String {
    word.to_owned()
}

/// One event of each variant, in the order of the variants.
#[allow(clippy::too_many_lines, reason = "one entry for each event")]
fn one_of_each() -> Vec<Event> {
    let (node, job, reason) = (text("node-1"), text("s.1.1"), text("full"));
    let attempt = AttemptId {
        incarnation: 1,
        request: 2,
        number: 3,
    };
    let file = FileStatus::default();
    vec![
        Event::NodeListOutdated {
            revision: 1,
            known_revision: 2,
        },
        Event::NodeNameCollision { node: node.clone() },
        Event::NodeNameMismatch {
            node: node.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            reported: text("node-2"),
        },
        Event::NodeDisconnected {
            node: node.clone(),
            reason: reason.clone(),
        },
        Event::NodeDrained { node: node.clone() },
        Event::NodeUndrained { node: node.clone() },
        Event::NodeStillDrained { node: node.clone() },
        Event::AttemptNotAdopted {
            node: node.clone(),
            job: job.clone(),
            attempt,
            reason: reason.clone(),
        },
        Event::JobRequeued {
            job: job.clone(),
            node: node.clone(),
            attempt,
            reason: "evicted",
        },
        Event::RequestOverdue {
            request: 2,
            job: job.clone(),
        },
        Event::ConstraintViolated {
            job: job.clone(),
            clause: text("c"),
            remedy: text("move it"),
        },
        Event::ConstraintRestored {
            job,
            clause: text("c"),
            violated_us: 1_500_000,
        },
        Event::StateUnavailable {
            reason: reason.clone(),
        },
        Event::StateWriteFailed {
            reason: reason.clone(),
        },
        Event::StateWriteRestored,
        Event::StateLoaded {
            sessions: 1,
            jobs: 2,
            unfinished: 1,
            unplaced: 1,
            incomplete: true,
        },
        Event::SettingsRestartRequired {
            tables: vec!["links", "limits"],
        },
        Event::SettingsChangeIgnored,
        Event::SettingsChangeRejected {
            reason: reason.clone(),
        },
        Event::ConfigurationTextInvalid {
            node: node.clone(),
            reason: reason.clone(),
        },
        Event::ConfigurationDeltaInvalid { node, reason },
        Event::ConfigurationUnsupported { file: file.clone() },
        Event::DispatchSuspended {
            reason: SuspendReason::NoQuorum,
            file: file.clone(),
        },
        Event::PlacerFenced {
            reason: SuspendReason::Pinned,
            committed: version(2),
            own: version(1),
            detail: None,
            file: file.clone(),
        },
        Event::ConfigurationFirst {
            config_version: version(1),
            file: file.clone(),
        },
        Event::ConfigurationJoint {
            config_version: version(2),
            previous: version(1),
            file: file.clone(),
        },
        Event::ConfigurationActive {
            config_version: version(2),
            file,
        },
        Event::ZoneReconnectsLimited {
            zone: text("a"),
            silent: 20,
            nodes: 30,
        },
        Event::ZoneReconnectsRestored {
            zone: text("a"),
            silent: 2,
        },
        Event::ModuleMessage {
            text: text("hello"),
        },
    ]
}

#[test]
fn each_variant_has_its_own_stable_name() {
    let names: Vec<&str> = one_of_each().iter().map(Event::name).collect();
    assert_eq!(names, Event::NAMES);
    let distinct: std::collections::BTreeSet<&str> = names.iter().copied().collect();
    assert_eq!(distinct.len(), names.len());
    let snake_case = |name: &str| name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    assert!(names.into_iter().all(snake_case));
}

#[test]
fn each_message_contains_the_node_job_zone_and_version_of_its_event() {
    for event in one_of_each() {
        let message = event.to_string();
        assert!(!message.is_empty(), "{event:?}");
        for field in [event.node(), event.job(), event.zone()]
            .into_iter()
            .flatten()
        {
            assert!(message.contains(field), "{message}");
        }
        if let Some(version) = event.config_version() {
            assert!(message.contains(&version.to_string()), "{message}");
        }
    }
}

#[test]
fn the_message_names_a_settings_file_that_is_superseded_or_rejected() {
    let file = FileStatus {
        superseded: Some(version(1)),
        rejected: Some(text("site.placers: 3 of 4")),
    };
    let event = Event::ConfigurationActive {
        config_version: version(2),
        file,
    };
    let digest = "07070707";
    assert_eq!(
        event.to_string(),
        format!(
            "active configuration: 2/{digest}; configuration 1/{digest} of the settings file is not the \
             committed one; site.placers: 3 of 4"
        )
    );
}
