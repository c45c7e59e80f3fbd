//! The phases in which nodes end, stand still and come back.

use std::time::Instant;

use reedring_drmaa::rpc::NodeLine;
use reedring_test_processes::Signal;

use super::ScaleError;
use super::player::{Found, Player};

/// How the line of a node begins that votes on no plan.
const LEARNER: &str = "learner";
/// The zone that is lost.
const LOST_ZONE: usize = 3;
/// The region that is cut.
const CUT_REGION: usize = 2;
/// Of how many nodes one is restarted in the phase of churn.
const NODES_PER_RESTART: usize = 65;

fn all_linked(lines: &[NodeLine]) -> bool {
    lines.iter().all(|line| line.linked)
}

impl Player<'_> {
    fn wait_all_linked(&self) -> Result<(), ScaleError> {
        self.cluster
            .wait_nodes(self.observer, "a link to every node", all_linked)
    }

    /// Waits until every node that votes is known to keep the plan that was brought last. Learners hear of it with
    /// their next task.
    fn wait_all_told(&self) -> Result<(), ScaleError> {
        let plan = format!("{}/", self.cluster.plan);
        self.cluster
            .wait_nodes(self.observer, "every node's word on the plan", |lines| {
                let told = |text: &String| text.starts_with(&plan) || text.starts_with(LEARNER);
                lines
                    .iter()
                    .all(|line| line.plan.as_ref().is_some_and(told))
            })
    }

    /// Nodes are killed and started again, evenly over the window.
    pub(super) fn churn(&mut self) -> Result<Found, ScaleError> {
        let restarts = self.cluster.nodes.len().div_ceil(NODES_PER_RESTART).max(2);
        let pause = self.options.window() / restarts as u32;
        for n in 0..restarts {
            let group = n % self.cluster.groups.len();
            let nodes = &self.cluster.groups[group].nodes;
            let Some(node) = nodes
                .get(n / self.cluster.groups.len() % nodes.len().max(1))
                .cloned()
            else {
                continue;
            };
            self.cluster
                .tell_group(group, "kill", std::slice::from_ref(&node))?;
            self.cluster.tell_group(group, "start", &[node])?;
            std::thread::sleep(pause);
        }
        self.wait_all_linked()?;
        Ok(Found {
            events: restarts as u64,
            ..Found::default()
        })
    }

    /// Tells all hollow nodes of a zone something; how many they are.
    fn tell_zone(&mut self, zone: usize, order: &str) -> Result<usize, ScaleError> {
        let here = self
            .cluster
            .nodes
            .iter()
            .filter(|node| node.zone == zone && !node.real && !node.control);
        let names: Vec<String> = here.map(|node| node.name.clone()).collect();
        for group in 0..self.cluster.groups.len() {
            let nodes = &self.cluster.groups[group].nodes;
            let here: Vec<String> = nodes
                .iter()
                .filter(|name| names.contains(name))
                .cloned()
                .collect();
            if !here.is_empty() {
                self.cluster.tell_group(group, order, &here)?;
            }
        }
        Ok(names.len())
    }

    pub(super) fn zone_lost(&mut self) -> Result<Found, ScaleError> {
        let nodes = self.tell_zone(LOST_ZONE, "kill")?;
        let gone = |lines: &[NodeLine]| lines.iter().filter(|line| !line.linked).count() >= nodes;
        self.cluster
            .wait_nodes(self.observer, "that the zone is lost", gone)?;
        std::thread::sleep(self.options.window());
        let back = Instant::now();
        self.tell_zone(LOST_ZONE, "start")?;
        self.wait_all_linked()?;
        let seconds = back.elapsed().as_secs_f64();
        let notes = vec![format!(
            "{nodes} nodes of a zone; all linked again {seconds:.3} s after their start"
        )];
        Ok(Found {
            events: 1,
            notes,
            ..Found::default()
        })
    }

    fn region_groups(&self) -> Vec<usize> {
        let groups = self.cluster.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.region == CUT_REGION)
            .map(|(n, _)| n)
            .collect()
    }

    fn signal_region(&self, signal: Signal) -> Result<(), ScaleError> {
        for n in self.region_groups() {
            if let Some(process) = &self.cluster.groups[n].process {
                process.signal(signal)?;
            }
        }
        Ok(())
    }

    /// The nodes of a region stand still while a change comes in force.
    pub(super) fn region_still(&mut self) -> Result<Found, ScaleError> {
        self.signal_region(Signal::STOP)?;
        let in_force = vec![self.change()?];
        std::thread::sleep(self.options.window());
        self.signal_region(Signal::CONT)?;
        let back = Instant::now();
        self.wait_all_linked()?;
        self.wait_all_told()?;
        let notes = vec![self.told_again(back)];
        Ok(Found {
            events: 1,
            in_force,
            notes,
        })
    }

    /// The nodes of a region end while a change comes in force, and come back without what they knew.
    pub(super) fn region_refused(&mut self) -> Result<Found, ScaleError> {
        let groups = self.region_groups();
        groups
            .iter()
            .try_for_each(|n| self.cluster.kill_group(*n))?;
        let in_force = vec![self.change()?];
        std::thread::sleep(self.options.window());
        groups
            .iter()
            .try_for_each(|n| self.cluster.start_group(*n))?;
        let back = Instant::now();
        self.wait_all_linked()?;
        self.wait_all_told()?;
        let notes = vec![self.told_again(back)];
        Ok(Found {
            events: 1,
            in_force,
            notes,
        })
    }

    fn told_again(&self, back: Instant) -> String {
        let here = self
            .cluster
            .groups
            .iter()
            .filter(|group| group.region == CUT_REGION);
        let nodes: usize = here.map(|group| group.nodes.len()).sum();
        let seconds = back.elapsed().as_secs_f64();
        format!(
            "{nodes} nodes of a region; all linked and told the plan {seconds:.3} s after they came back"
        )
    }
}
