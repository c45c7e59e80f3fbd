//! The simulated sites that tests start from.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg32;
use reedring_core::{Core, Start};
use reedring_node_simulator::{Config, Groups};
use reedring_settings::{NodeEntry, Settings};

use super::digest::Digest;
use super::{Machine, SECOND, SETTINGS, World};

impl World {
    /// A site whose nodes all run and are listed as ready, and whose placer has no state folder.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let settings = Settings::parse(SETTINGS, "world").unwrap();
        let machine = |n: usize| {
            let mut config = Config::named(&format!("node-{n}"));
            (config.cores, config.memory) = (16.0, 64.0);
            (config.look_ms, config.start_ms) = (1.0, 5.0);
            config.hall = ["a", "b"][n % 2].to_owned();
            Machine {
                config,
                node: None,
                incarnation: 0,
            }
        };
        let entry = |n: usize| NodeEntry {
            rack: "r".to_owned(),
            hall: ["a", "b"][n % 2].to_owned(),
            ..NodeEntry::at(
                format!("node-{n}"),
                ([127, 0, 0, 1], 7_000 + n as u16).into(),
            )
        };
        let start = Start {
            now: SECOND,
            unix_us: SECOND,
            incarnation: 1,
            seed,
        };
        let mut world = Self {
            now: SECOND,
            core: Core::new(settings.clone(), start),
            incarnation: 1,
            settings,
            scheduled: BTreeMap::new(),
            sequence: 0,
            machines: (0..nodes).map(machine).collect(),
            links: BTreeMap::new(),
            wanted_links: BTreeSet::new(),
            groups: Groups::default(),
            node_list: (0..nodes).map(entry).collect(),
            rng: Pcg32::new(seed, 7),
            open_calls: BTreeMap::new(),
            last_call: 0,
            session: "s".to_owned(),
            sent_to: BTreeMap::new(),
            reported: BTreeMap::new(),
            accepted: BTreeSet::new(),
            warned: BTreeSet::new(),
            errors: Vec::new(),
            copies: BTreeMap::new(),
            closed_since: BTreeMap::new(),
            late_offers: Vec::new(),
            unlisted: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            connect_requests: 0,
            events: Vec::new(),
            offers: Vec::new(),
            known_copies: BTreeMap::new(),
            unwritten: Vec::new(),
            constraint_violations: Vec::new(),
            state_disk: None,
            stalled_until: BTreeMap::new(),
            write_latency_us: None,
            arrivals: Vec::new(),
            reported_at: BTreeMap::new(),
            fingerprint: 0,
            digest: Digest::default(),
        };
        (0..nodes).for_each(|n| world.start_node(n));
        world.send_node_list();
        world.init_session();
        world
    }

    /// A site with these lines added to the settings table `site`, which set the slow start of its cold nodes.
    pub fn with_slow_start(nodes: usize, seed: u64, site: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        world.settings = Settings::parse(
            &SETTINGS.replace("[site]", &format!("[site]\n{site}")),
            "world",
        )
        .unwrap();
        world.restart_placer();
        // Waits until the offers of the former incarnation no longer count for a cold node's limit.
        world.run_for(5 * SECOND);
        world
    }

    /// A site whose placer has a state folder on a simulated disk.
    pub fn with_state_folder(nodes: usize, seed: u64) -> Self {
        Self::with_state_settings(nodes, seed, "")
    }

    /// Like `with_state_folder`, with these lines added to the settings table `state`.
    pub fn with_state_settings(nodes: usize, seed: u64, more: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        let text = format!("{SETTINGS}\n[state]\nfolder = \"s\"\nlearn_every = \"200ms\"\n{more}");
        world.settings = Settings::parse(&text, "world").unwrap();
        world.attach_state_disk();
        world
    }

    /// Like `with_state_folder`, with these lines added to the settings table `site`, which set the slow start of its
    /// cold nodes.
    pub fn with_state_folder_and_slow_start(nodes: usize, seed: u64, site: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        let text = format!(
            "{}\n[state]\nfolder = \"s\"",
            SETTINGS.replace("[site]", &format!("[site]\n{site}"))
        );
        world.settings = Settings::parse(&text, "world").unwrap();
        world.attach_state_disk();
        world.run_for(5 * SECOND);
        world
    }
}
