//! What tests check in the simulated site.

use std::collections::BTreeMap;

use reedring_constraint::{Census, Compiled, Constraint, Fleet, FleetNode, OwnService};
use reedring_core::event::Event;
use reedring_drmaa::JobSpec;
use reedring_node_protocol::AttemptId;
use reedring_settings::{Health, NodeEntry};

use super::World;

impl World {
    /// The largest number of offers that arrived at a node within any window of this many microseconds.
    pub fn max_arrivals_within(&self, n: usize, window: u64) -> usize {
        let times: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|(_, at)| *at == n)
            .map(|(at, _)| *at)
            .collect();
        let within = |from: &u64| {
            times
                .iter()
                .filter(|at| **at >= *from && **at < from + window)
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    /// The number of nodes, running or not.
    pub fn node_count(&self) -> usize {
        self.machines.len()
    }

    /// The number of events of this name that the core put out.
    pub fn event_count(&self, name: &str) -> usize {
        assert!(
            Event::NAMES.contains(&name),
            "there is no event named {name}"
        );
        self.events
            .iter()
            .filter(|event| event.name() == name)
            .count()
    }

    /// Nodes to which a job was offered, one for each offer.
    pub fn nodes_offered(&self, job: &str) -> Vec<usize> {
        self.offers
            .iter()
            .filter(|(of, _)| of == job)
            .map(|(_, n)| *n)
            .collect()
    }

    /// Nodes to which jobs other than this one were offered, one for each offer.
    pub fn offers_to_others(&self, job: &str) -> Vec<usize> {
        self.offers
            .iter()
            .filter(|(of, _)| of != job)
            .map(|(_, n)| *n)
            .collect()
    }

    /// Evaluates an offer's constraint from scratch, with the copies that the placer knows, and records the offer.
    pub(super) fn check_offer(
        &mut self,
        attempt: AttemptId,
        task: &reedring_node_protocol::Task,
        n: usize,
    ) {
        let native = |payload: &[u8]| {
            let spec: JobSpec = serde_json::from_slice(payload).unwrap();
            reedring_drmaa::native::Native::parse(&spec.native).unwrap()
        };
        let line = |entry: &NodeEntry| {
            let mut line = FleetNode::named(&entry.name)
                .hall(&entry.hall)
                .rack(&entry.rack);
            line.ready = entry.health == Health::Ready;
            line
        };
        let own = OwnService::new(&task.class, &task.service);
        if let Some(text) = native(&task.payload).constraint {
            let fleet = Fleet::new(self.node_list.iter().map(line).collect());
            let mut census = Census::default();
            for (service, at) in self.known_copies.values() {
                census.add(&OwnService::new(&task.class, service).topics(&[]), *at);
            }
            let constraint = Constraint::parse(&text).unwrap();
            let open = Compiled::new(&constraint, &fleet).open(&fleet, &census, &own, usize::MAX);
            if !open.machines.contains(n) {
                self.constraint_violations.push(format!(
                    "{} at {}: {} to {n}, {:?}",
                    task.job, self.now, task.service, self.known_copies
                ));
            }
        }
        self.known_copies.insert(attempt, (task.service.clone(), n));
        self.offers.push((task.job.clone(), n));
    }

    /// Whether a node holds any task.
    pub fn holds_tasks(&self, n: usize) -> bool {
        self.machines[n]
            .node
            .as_ref()
            .is_some_and(|node| node.held().next().is_some())
    }

    /// Attempts that nodes hold now, by job.
    pub fn running_copies(&self) -> BTreeMap<String, Vec<AttemptId>> {
        let mut running: BTreeMap<String, Vec<AttemptId>> = BTreeMap::new();
        for node in self
            .machines
            .iter()
            .filter_map(|machine| machine.node.as_ref())
        {
            for (attempt, task) in node.held() {
                running.entry(task.job.clone()).or_default().push(attempt);
            }
        }
        running
    }
}
