//! What a test asks of the world.

use std::collections::BTreeMap;

use reedring_constraint::{Census, Compiled, Constraint, Fleet, Line, Own};
use reedring_core::event::Event;
use reedring_drmaa::JobSpec;
use reedring_node_protocol::AttemptId;
use reedring_settings::{Health, NodeEntry};

use super::World;

impl World {
    /// The most offers that arrived at a node within any window of this length.
    pub fn most_within(&self, n: usize, window: u64) -> usize {
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

    pub fn nodes(&self) -> usize {
        self.places.len()
    }

    /// How many events of this name operators were told.
    pub fn logged(&self, name: &str) -> usize {
        assert!(Event::NAMES.contains(&name), "no event is called {name}");
        self.events
            .iter()
            .filter(|event| event.name() == name)
            .count()
    }

    /// Nodes to which a job was offered.
    pub fn offered(&self, job: &str) -> Vec<usize> {
        self.sent
            .iter()
            .filter(|(of, _)| of == job)
            .map(|(_, n)| *n)
            .collect()
    }

    /// Nodes to which any other job was offered.
    pub fn offers_to_others(&self, job: &str) -> Vec<usize> {
        self.sent
            .iter()
            .filter(|(of, _)| of != job)
            .map(|(_, n)| *n)
            .collect()
    }

    /// Works the offer's constraint out anew, with the copies that the placer knows.
    pub(super) fn judge_offer(
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
            let mut line = Line::named(&entry.name).hall(&entry.hall).rack(&entry.rack);
            line.ready = entry.health == Health::Ready;
            line
        };
        let own = Own::service(&task.class, &task.service);
        if let Some(text) = native(&task.payload).constraint {
            let fleet = Fleet::new(self.list.iter().map(line).collect());
            let mut census = Census::default();
            for (service, at) in self.known.values() {
                census.add(&Own::service(&task.class, service).topics(&[]), *at);
            }
            let constraint = Constraint::parse(&text).unwrap();
            let open = Compiled::new(&constraint, &fleet).open(&fleet, &census, &own, usize::MAX);
            if !open.machines.contains(n) {
                self.astray.push(format!(
                    "{} at {}: {} to {n}, {:?}",
                    task.job, self.now, task.service, self.known
                ));
            }
        }
        self.known.insert(attempt, (task.service.clone(), n));
        self.sent.push((task.job.clone(), n));
    }

    pub fn holds(&self, n: usize) -> bool {
        self.places[n]
            .node
            .as_ref()
            .is_some_and(|node| node.held().next().is_some())
    }

    /// Live copies by job, over all nodes.
    pub fn standing(&self) -> BTreeMap<String, Vec<AttemptId>> {
        let mut standing: BTreeMap<String, Vec<AttemptId>> = BTreeMap::new();
        for node in self.places.iter().filter_map(|place| place.node.as_ref()) {
            for (attempt, task) in node.held() {
                standing.entry(task.job.clone()).or_default().push(attempt);
            }
        }
        standing
    }
}
