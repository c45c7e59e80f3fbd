use super::super::topology;
use super::*;
use reedring_node_simulator::Fleet;
use reedring_settings::{NodeList, Settings};

fn settings(plan: u64, teams: usize) -> Settings {
    let listen = topology::placer_address(0, 9_000);
    let placer = PlacerSpec {
        name: "placer-1".to_owned(),
        listen,
        real: true,
    };
    let shared = SharedSettings {
        placers: 5,
        teams,
        lease: Duration::from_secs(30),
    };
    Settings::parse(&placer_settings(&placer, &shared, plan), "settings").unwrap()
}

#[test]
fn the_files_are_read_by_the_programs_and_name_the_same_nodes() {
    let nodes = topology::nodes(70, 3, 0, 9_000);
    let settings = settings(1, 590);
    let list = NodeList::parse(&node_list(&nodes, 7), "list", &settings).unwrap();
    let configs = Fleet::parse(&node_configs(&nodes, 1), "nodes").unwrap();
    assert_eq!(
        (list.revision, list.nodes.len(), configs.node.len()),
        (7, 70, 70)
    );
    for ((listed, config), node) in list.nodes.iter().zip(&configs.node).zip(&nodes) {
        assert_eq!(
            (&listed.name, listed.address),
            (&config.name, config.listen)
        );
        assert_eq!((&listed.hall, &listed.rack), (&config.hall, &config.rack));
        assert_eq!(config.plan_dir.is_some(), node.real);
    }
    assert_eq!(settings.tenants.len(), 590);
}

#[test]
fn each_plan_has_a_text_of_its_own_that_fits_its_bound() {
    let texts = [1, 2, 3, 1_000].map(|plan| settings(plan, 590).plan_text());
    for (n, text) in texts.iter().enumerate() {
        assert!(text.len() <= reedring_node_protocol::MAX_PLAN);
        assert!(texts[..n].iter().all(|other| other != text));
    }
}

#[test]
fn control_machines_are_marked_in_the_list_and_all_other_nodes_are_learners() {
    let nodes = topology::nodes(70, 3, 5, 9_000);
    let list = NodeList::parse(&node_list(&nodes, 7), "list", &settings(1, 1)).unwrap();
    let configs = Fleet::parse(&node_configs(&nodes, 1), "nodes").unwrap();
    assert_eq!((list.nodes.len(), list.control().count()), (75, 5));
    for (listed, config) in list.nodes.iter().zip(&configs.node) {
        assert_eq!(
            (config.votes, config.plan_dir.is_some()),
            (listed.control, listed.control)
        );
    }
}
