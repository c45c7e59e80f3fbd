//! The phases in which the configuration or the node list changes, or the placer that changes it ends.

use std::time::{Duration, Instant};

use super::ScaleError;
use super::player::{Found, MAKER, Player};

/// Seconds of an hour.
const HOUR: f64 = 3_600.0;

impl Player<'_> {
    /// The maker starts again with the plan that is in force: what a change costs without the change.
    pub(super) fn placer_restarted(&mut self) -> Result<Found, ScaleError> {
        let asked = Instant::now();
        self.cluster.kill_placer(MAKER);
        self.cluster.start_placer(MAKER)?;
        self.cluster.wait_in_force()?;
        let notes = vec![format!(
            "it acts again after {:.3} s",
            asked.elapsed().as_secs_f64()
        )];
        Ok(Found {
            events: 1,
            notes,
            ..Found::default()
        })
    }

    pub(super) fn plan_change(&mut self) -> Result<Found, ScaleError> {
        let mut in_force = Vec::new();
        for _ in 0..self.options.changes {
            in_force.push(self.change()?);
            self.wait_quiet()?;
        }
        Ok(Found {
            events: self.options.changes,
            in_force,
            notes: Vec::new(),
        })
    }

    pub(super) fn fast_changes(&mut self) -> Result<Found, ScaleError> {
        let every = Duration::from_secs_f64(HOUR / self.options.changes_per_hour);
        let (began, mut in_force) = (Instant::now(), Vec::new());
        while began.elapsed().as_secs_f64() < self.options.fast_seconds {
            let asked = Instant::now();
            in_force.push(self.change()?);
            std::thread::sleep(every.saturating_sub(asked.elapsed()));
        }
        let (wanted, came) = (
            self.options.fast_seconds / every.as_secs_f64(),
            in_force.len(),
        );
        let notes = vec![format!(
            "{came} changes came in force, {wanted:.0} were wanted"
        )];
        Ok(Found {
            events: came as u64,
            in_force,
            notes,
        })
    }

    /// One node is in another rack.
    pub(super) fn list_change(&mut self) -> Result<Found, ScaleError> {
        let asked = Instant::now();
        let changed = self.options.nodes - 1;
        self.cluster.nodes[changed].rack += 1;
        let (name, rack) = {
            let node = &self.cluster.nodes[changed];
            (node.name.clone(), format!("rack-{:03}", node.rack))
        };
        self.cluster.write_list()?;
        let seen = |cluster: &super::cluster::Cluster, placer: usize| {
            cluster.wait_nodes(placer, "the node's new rack", |lines| {
                lines
                    .iter()
                    .any(|line| line.node == name && line.rack == rack)
            })
        };
        // The measured ones are asked only once the measured time is over.
        let others = (0..self.cluster.placers.len()).filter(|n| !self.followers.contains(n));
        others.into_iter().try_for_each(|n| seen(self.cluster, n))?;
        let in_force = vec![asked.elapsed().as_secs_f64()];
        self.wait_quiet()?;
        Ok(Found {
            events: 1,
            in_force,
            notes: Vec::new(),
        })
    }

    /// The maker is killed once another placer has heard of its plan; others bring that in force.
    pub(super) fn placer_killed(&mut self) -> Result<Found, ScaleError> {
        let asked = Instant::now();
        self.cluster.plan += 1;
        self.cluster.kill_placer(MAKER);
        self.cluster.start_placer(MAKER)?;
        let heard = format!("configuration: {}/", self.cluster.plan);
        self.cluster.wait_said(&self.followers[..1], &heard)?;
        self.cluster.kill_placer(MAKER);
        self.cluster.wait_in_force()?;
        let in_force = vec![asked.elapsed().as_secs_f64()];
        self.cluster.start_placer(MAKER)?;
        self.cluster.wait_in_force()?;
        Ok(Found {
            events: 1,
            in_force,
            notes: Vec::new(),
        })
    }
}
