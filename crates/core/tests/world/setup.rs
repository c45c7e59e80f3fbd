//! The worlds that a test starts from.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg32;
use reedring_core::{Core, Start};
use reedring_node_simulator::{Config, Groups};
use reedring_settings::{NodeEntry, Settings};

use super::digest::Digest;
use super::{Place, SECOND, SETTINGS, World};

impl World {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let settings = Settings::parse(SETTINGS, "world").unwrap();
        let place = |n: usize| {
            let mut config = Config::named(&format!("node-{n}"));
            (config.cores, config.memory) = (16.0, 64.0);
            (config.look_ms, config.start_ms) = (1.0, 5.0);
            config.hall = ["a", "b"][n % 2].to_owned();
            Place {
                config,
                node: None,
                lives: 0,
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
            life: 1,
            settings,
            due: BTreeMap::new(),
            made: 0,
            places: (0..nodes).map(place).collect(),
            links: BTreeMap::new(),
            wanted: BTreeSet::new(),
            groups: Groups::default(),
            list: (0..nodes).map(entry).collect(),
            draw: Pcg32::new(seed, 7),
            open: BTreeMap::new(),
            last_call: 0,
            session: "s".to_owned(),
            sent_to: BTreeMap::new(),
            told: BTreeMap::new(),
            taken: BTreeSet::new(),
            warned: BTreeSet::new(),
            errors: Vec::new(),
            copies: BTreeMap::new(),
            closed: BTreeMap::new(),
            late_offers: Vec::new(),
            unlisted: BTreeSet::new(),
            apart: BTreeSet::new(),
            connects: 0,
            events: Vec::new(),
            sent: Vec::new(),
            known: BTreeMap::new(),
            unwritten: Vec::new(),
            astray: Vec::new(),
            kept: None,
            stalled: BTreeMap::new(),
            disk_us: None,
            arrivals: Vec::new(),
            told_at: BTreeMap::new(),
            fingerprint: 0,
            digest: Digest::default(),
        };
        (0..nodes).for_each(|n| world.start_node(n));
        world.tell_list();
        world.init();
        world
    }

    /// A world whose nodes are cold for a minute, with more settings of its site.
    pub fn cold(nodes: usize, seed: u64, site: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        world.settings = Settings::parse(
            &SETTINGS.replace("[site]", &format!("[site]\n{site}")),
            "world",
        )
        .unwrap();
        world.restart_placer();
        // The placer's former life is over and so is the window in which its offers count.
        world.run_for(5 * SECOND);
        world
    }

    /// A world whose placer keeps its state on a simulated disk.
    pub fn keeping(nodes: usize, seed: u64) -> Self {
        Self::keeping_as(nodes, seed, "")
    }

    /// The same, with more settings of the state folder.
    pub fn keeping_as(nodes: usize, seed: u64, more: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        let text = format!("{SETTINGS}\n[state]\nfolder = \"s\"\nlearn_every = \"200ms\"\n{more}");
        world.settings = Settings::parse(&text, "world").unwrap();
        world.keep();
        world
    }

    /// The same, with nodes that are cold for a minute.
    pub fn keeping_cold(nodes: usize, seed: u64, site: &str) -> Self {
        let mut world = Self::new(nodes, seed);
        let text = format!(
            "{}\n[state]\nfolder = \"s\"",
            SETTINGS.replace("[site]", &format!("[site]\n{site}"))
        );
        world.settings = Settings::parse(&text, "world").unwrap();
        world.keep();
        world.run_for(5 * SECOND);
        world
    }
}
