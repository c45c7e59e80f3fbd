//! The placers of a run, hollow and real: they are started, killed, waited for and asked.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use reedring_client::Operator;
use reedring_drmaa::rpc::NodeLine;
use reedring_test_processes::{Launch, ProcessError, Program};

use super::{Cluster, PATIENCE};
use crate::scale::ScaleError;
use crate::scale::files::placer_settings;
use crate::scale::hollow::LOG;

/// Between two looks at a state that no line tells of.
const LOOK: Duration = Duration::from_millis(50);

impl Cluster {
    /// Starts all placers by the first plan.
    ///
    /// # Errors
    /// Where one does not start.
    pub fn start_placers(&mut self, per_process: usize) -> Result<(), ScaleError> {
        let real = self
            .placers
            .iter()
            .filter(|placer| placer.spec.real)
            .count();
        (0..real).try_for_each(|n| self.start_placer(n))?;
        let hollow: Vec<usize> = (real..self.placers.len()).collect();
        for (process, placers) in hollow.chunks(per_process.max(1)).enumerate() {
            let mut arguments = vec!["hollow-placers".to_owned()];
            for n in placers {
                arguments.push("--config".to_owned());
                arguments.push(self.write_settings(*n)?.display().to_string());
                self.placers[*n].hollow = process;
            }
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            let name = format!("hollow-placers-{process}");
            let process = Launch::new(&self.program, &name, &arguments)
                .with_input()
                .start()?;
            process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
            self.hollow_placers.push(process);
        }
        Ok(())
    }

    fn write_settings(&self, n: usize) -> Result<PathBuf, ScaleError> {
        let spec = &self.placers[n].spec;
        self.write(
            &format!("{}.toml", spec.name),
            &placer_settings(spec, &self.shared, self.plan),
        )
    }

    /// Starts a real placer with the plan that was brought last in its file.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_placer(&mut self, n: usize) -> Result<(), ScaleError> {
        let config = self.write_settings(n)?.display().to_string();
        let placer = &mut self.placers[n];
        let arguments = ["child-program", "--log", LOG, "serve", "--config", &config];
        let process = Launch::new(&self.program, &placer.spec.name, &arguments).start()?;
        process.wait_line(0, "its contact", PATIENCE, |line| {
            line.starts_with("contact: ")
        })?;
        placer.process = Some(process);
        Ok(())
    }

    /// Kills a real placer.
    pub fn kill_placer(&mut self, n: usize) {
        self.placers[n].process = None;
    }

    /// The process that a placer runs in; none where it was killed.
    pub fn placer_process(&self, n: usize) -> Option<&Program> {
        let placer = &self.placers[n];
        if placer.spec.real {
            placer.process.as_ref()
        } else {
            self.hollow_placers.get(placer.hollow)
        }
    }

    /// Real placers that run, by number.
    pub fn real_placers(&self) -> Vec<usize> {
        (0..self.placers.len())
            .filter(|n| self.placers[*n].process.is_some())
            .collect()
    }

    /// Waits until every placer that runs has said this of a plan, which no earlier plan is said to be.
    ///
    /// # Errors
    /// Where one does not in time.
    pub fn wait_said(&self, placers: &[usize], what: &str) -> Result<(), ScaleError> {
        for n in placers {
            let Some(process) = self.placer_process(*n) else {
                continue;
            };
            let name = format!("{:?}", self.placers[*n].spec.name);
            process.wait_line(0, what, PATIENCE, |line| {
                line.contains(what) && line.contains(&name)
            })?;
        }
        Ok(())
    }

    /// Waits until every placer that runs acts by the plan that was brought last.
    ///
    /// # Errors
    /// Where one does not in time.
    pub fn wait_in_force(&self) -> Result<(), ScaleError> {
        let all: Vec<usize> = (0..self.placers.len()).collect();
        self.wait_said(&all, &format!("active configuration: {}/", self.plan))
    }

    /// The nodes as a placer sees them.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn node_lines(&self, placer: usize) -> Result<Vec<NodeLine>, ScaleError> {
        let contact = format!("tcp:{}", self.placers[placer].spec.listen);
        Ok(Operator::connect(&contact)?.nodes()?)
    }

    /// Waits until a placer sees its nodes as wanted.
    ///
    /// # Errors
    /// Where it does not in time.
    pub fn wait_nodes(
        &self,
        placer: usize,
        what: &str,
        wanted: impl Fn(&[NodeLine]) -> bool,
    ) -> Result<(), ScaleError> {
        let until = Instant::now() + PATIENCE;
        while !wanted(&self.node_lines(placer)?) {
            if Instant::now() > until {
                let name = self.placers[placer].spec.name.clone();
                return Err(ProcessError::NotSeen {
                    process: name,
                    awaited: what.to_owned(),
                    last_lines: String::new(),
                }
                .into());
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }
}
