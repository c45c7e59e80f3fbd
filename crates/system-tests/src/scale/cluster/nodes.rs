//! The nodes of a run, hollow and real: they are started, killed, told and asked.

use reedring_test_processes::{Launch, Program};

use super::{Cluster, NodeGroup, PATIENCE};
use crate::scale::ScaleError;
use crate::scale::counts::{COUNTS, PlacerCounts};
use crate::scale::files::node_configs;
use crate::scale::hollow::LOG;
use crate::scale::topology::{NodeSpec, REGIONS};

impl Cluster {
    pub(super) fn start_hollow_nodes(&mut self, per_region: usize) -> Result<(), ScaleError> {
        for region in 0..REGIONS {
            let here = self
                .nodes
                .iter()
                .filter(|node| !node.real && !node.control && node.region == region);
            let here: Vec<NodeSpec> = here.cloned().collect();
            for (part, nodes) in here
                .chunks(here.len().div_ceil(per_region).max(1))
                .enumerate()
            {
                let name = format!("hollow-nodes-{region}-{part}");
                let config =
                    self.write(&format!("{name}.toml"), &node_configs(nodes, self.seed))?;
                let nodes = nodes.iter().map(|node| node.name.clone()).collect();
                self.groups.push(NodeGroup {
                    region,
                    nodes,
                    process: None,
                    config,
                    name,
                });
            }
        }
        (0..self.groups.len()).try_for_each(|n| self.start_group(n))
    }

    /// Starts a process of hollow nodes.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_group(&mut self, n: usize) -> Result<(), ScaleError> {
        let group = &mut self.groups[n];
        let arguments = [
            "hollow-nodes",
            "--config",
            &group.config.display().to_string(),
        ];
        let process = Launch::new(&self.program, &group.name, &arguments)
            .with_input()
            .start()?;
        process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
        group.process = Some(process);
        Ok(())
    }

    /// Kills a process of hollow nodes; what it counted so far is kept.
    ///
    /// # Errors
    /// Where it did not tell its counts.
    pub fn kill_group(&mut self, n: usize) -> Result<(), ScaleError> {
        if let Some(mut process) = self.groups[n].process.take() {
            let counts = ask_counts(&mut process)?;
            self.retired.add(&counts);
        }
        Ok(())
    }

    /// Tells a process of hollow nodes to end or start some of them.
    ///
    /// # Errors
    /// Where it does not do so.
    pub fn tell_group(
        &mut self,
        n: usize,
        order: &str,
        nodes: &[String],
    ) -> Result<(), ScaleError> {
        let Some(process) = &mut self.groups[n].process else {
            return Ok(());
        };
        let from = process.line_count();
        process.write_line(&format!("{order} {}", nodes.join(" ")))?;
        let answers = ["killed", "started", "failed"];
        let answer = process.wait_line(from, order, PATIENCE, |line| {
            answers.iter().any(|answer| line.starts_with(answer))
        })?;
        if answer.starts_with("failed") {
            Err(ScaleError::Refused(answer))
        } else {
            Ok(())
        }
    }

    pub(super) fn start_control(&mut self) -> Result<(), ScaleError> {
        let control: Vec<NodeSpec> = self
            .nodes
            .iter()
            .filter(|node| node.control)
            .cloned()
            .collect();
        for node in control {
            let config = self.write(
                &format!("{}.toml", node.name),
                &node_configs(std::slice::from_ref(&node), self.seed),
            )?;
            let arguments = ["hollow-nodes", "--config", &config.display().to_string()];
            let process = Launch::new(&self.program, &node.name, &arguments)
                .with_input()
                .start()?;
            process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
            self.control.push(process);
        }
        Ok(())
    }

    /// What control machines counted by placer.
    ///
    /// # Errors
    /// Where a process does not tell.
    pub fn control_counts(&mut self) -> Result<PlacerCounts, ScaleError> {
        let mut all = PlacerCounts::default();
        for process in &mut self.control {
            all.add(&ask_counts(process)?);
        }
        Ok(all)
    }

    pub(super) fn start_real_nodes(&mut self) -> Result<(), ScaleError> {
        let real: Vec<NodeSpec> = self
            .nodes
            .iter()
            .filter(|node| node.real)
            .cloned()
            .collect();
        for node in real {
            let config = self.write(
                &format!("{}.toml", node.name),
                &node_configs(std::slice::from_ref(&node), self.seed),
            )?;
            let config = config.display().to_string();
            let arguments = [
                "child-program",
                "--log",
                LOG,
                "standin",
                "--config",
                &config,
            ];
            let process = Launch::new(&self.program, &node.name, &arguments).start()?;
            process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
            self.real_nodes.push(process);
        }
        Ok(())
    }

    /// What hollow nodes counted by placer, those that were killed among them. A process that stands still can't tell.
    ///
    /// # Errors
    /// Where a process does not tell.
    pub fn counts(&mut self) -> Result<PlacerCounts, ScaleError> {
        let mut all = self.retired.clone();
        for process in self
            .groups
            .iter_mut()
            .filter_map(|group| group.process.as_mut())
        {
            all.add(&ask_counts(process)?);
        }
        Ok(all)
    }

    /// What hollow placers counted on their links to hollow nodes.
    ///
    /// # Errors
    /// Where a process does not tell.
    pub fn placer_counts(&mut self) -> Result<PlacerCounts, ScaleError> {
        let mut all = PlacerCounts::default();
        for process in &mut self.hollow_placers {
            all.add(&ask_counts(process)?);
        }
        Ok(all)
    }
}

fn ask_counts(process: &mut Program) -> Result<PlacerCounts, ScaleError> {
    let from = process.line_count();
    process.write_line("counts")?;
    let line = process.wait_line(from, "counts", PATIENCE, |line| line.starts_with(COUNTS))?;
    PlacerCounts::parse(&line).ok_or(ScaleError::Refused(line))
}
