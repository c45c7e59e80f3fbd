//! The phases in which nothing but tasks is new.

use std::time::{Duration, Instant};

use reedring_client::drmaa::JobTemplate;
use reedring_client::drmaa::rpc::Range;
use reedring_client::{Operator, Session};
use reedring_test_processes::ProcessError;

use super::ScaleError;
use super::cluster::PATIENCE;
use super::player::{Found, MAKER, Player};
use crate::{Load, Outcomes};

/// Between two submissions of a client.
const EVERY: Duration = Duration::from_millis(100);
/// Milliseconds that a short task runs.
const SHORT_MS: u64 = 200;
/// How long owners are waited for: longer than a class's patience.
const OWNERS: Duration = Duration::from_secs(40);
/// Between two looks at how many tasks are placed.
const LOOK: Duration = Duration::from_millis(50);

impl Player<'_> {
    /// Rounds of asking, for as long as the window at least.
    pub(super) fn idle(&mut self) -> Result<Found, ScaleError> {
        let (began, mut rounds) = (Instant::now(), 0);
        while began.elapsed() < self.options.window() {
            self.wait_asked()?;
            rounds += 1;
        }
        let notes = vec![format!(
            "{rounds} rounds in which each node is asked what it keeps"
        )];
        Ok(Found {
            notes,
            ..Found::default()
        })
    }

    /// Contacts of all placers that take tasks: the maker comes and goes.
    fn working_placers(&self) -> Vec<String> {
        let all = self
            .cluster
            .placers
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != MAKER);
        all.map(|(_, placer)| format!("tcp:{}", placer.spec.listen))
            .collect()
    }

    /// Starts the tasks that stand from here on.
    pub(super) fn standing(&mut self) -> Result<Found, ScaleError> {
        let (contacts, tasks) = (self.working_placers(), self.options.running_tasks());
        let mut placed = 0;
        for (n, contact) in contacts.iter().enumerate() {
            let share = tasks / contacts.len() + usize::from(n < tasks % contacts.len());
            if share == 0 {
                continue;
            }
            let session = Session::open(contact)?;
            let mut template = JobTemplate::new();
            template.set("drmaa_remote_command", "work")?;
            template.set(
                "drmaa_native_specification",
                "class=play life=24h cores=0.1 memory=0.1",
            )?;
            session.run_bulk_jobs(
                &template,
                Range {
                    first: 1,
                    last: share as u64,
                    step: 1,
                },
            )?;
            self.sessions.push(session);
            placed += wait_decided(contact, share as u64)?;
        }
        let notes = vec![format!("{placed} of {tasks} tasks stand")];
        Ok(Found {
            events: placed,
            notes,
            ..Found::default()
        })
    }

    /// Short tasks at every placer that takes tasks.
    pub(super) fn starts(&mut self) -> Result<Found, ScaleError> {
        let contacts = self.working_placers();
        let bulk = self.options.starts() / contacts.len() as f64 * EVERY.as_secs_f64();
        // Where a bulk would be less than a task, one comes less often.
        let every = EVERY.mul_f64((1.0 / bulk).max(1.0));
        let mut loads = Vec::new();
        for contact in &contacts {
            loads.push(Load::start(
                contact,
                &["play"],
                bulk.round().max(1.0) as u64,
                SHORT_MS,
                Some(every),
            )?);
        }
        std::thread::sleep(self.options.window());
        let mut outcomes = Outcomes::default();
        for load in loads {
            outcomes.add(load.end(OWNERS)?);
        }
        let Outcomes {
            taken,
            turned_away,
            ended,
            untold,
        } = outcomes;
        let rate = taken as f64 / self.options.window;
        let notes = vec![
            format!("{taken} tasks taken, {rate:.0} a second, {turned_away} calls turned away"),
            format!("{ended:?}, {} untold", untold.len()),
        ];
        Ok(Found {
            events: taken as u64,
            notes,
            ..Found::default()
        })
    }
}

/// Waits until a placer has decided on all of these tasks; how many it placed. The rest found no place in their time.
fn wait_decided(contact: &str, tasks: u64) -> Result<u64, ScaleError> {
    let (mut operator, until) = (Operator::connect(contact)?, Instant::now() + PATIENCE);
    loop {
        let stats = operator.stats()?;
        if stats.placed + stats.refused + stats.failed >= tasks {
            return Ok(stats.placed);
        }
        if Instant::now() > until {
            let what = format!("{tasks} tasks decided; {stats:?}");
            return Err(ProcessError::NotSeen {
                process: contact.to_owned(),
                awaited: what,
                last_lines: String::new(),
            }
            .into());
        }
        std::thread::sleep(LOOK);
    }
}
