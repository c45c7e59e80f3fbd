//! Batches: the changes of a flush, and the outputs that leave with them or wait for them.

use std::collections::BTreeSet;

use reedring::Micros;
use reedring_state::{Batch, BatchSequence, Change};

use super::{Mode, PendingOutput, Requires, RowSources, WriteAheadQueue, rows};
use crate::context::Context;
use crate::ids::JobNumber;
use crate::io::Output;
use crate::ledger::Job;

impl WriteAheadQueue {
    /// Before the decision module decides: what requires nothing of this flush leaves, as a flush may be long.
    pub fn release(&mut self, now: Micros, cx: &mut Context) {
        let (mut kept, mut behind) = (Vec::new(), BTreeSet::new());
        for pending in std::mem::take(&mut self.pending) {
            let needs = match pending.requires {
                Requires::CurrentBatch => None,
                earlier => Some(self.batch_needed(earlier)),
            };
            // Each destination keeps its order.
            match needs.filter(|_| !behind.contains(&pending.to)) {
                Some(needs) => self.pass(pending, needs, now, cx),
                None => {
                    behind.insert(pending.to);
                    kept.push(pending);
                }
            }
        }
        self.pending = kept;
    }

    /// The end of a flush: its changes become a batch, its outputs leave or wait for it.
    pub fn cut(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
        match self.mode {
            Mode::On if self.rewrite => self.cut_everything(now, sources, cx),
            Mode::On => self.cut_changes(now, sources, cx),
            Mode::Off | Mode::Unavailable { .. } => {
                sources.sessions.take_changes();
                sources.ledger.take_changed();
                sources.ledger.take_forgotten();
            }
        }
        for pending in std::mem::take(&mut self.pending) {
            let needs = self.batch_needed(pending.requires);
            self.pass(pending, needs, now, cx);
        }
    }

    /// The batch that must be durable, 0 for none.
    fn batch_needed(&self, requires: Requires) -> u64 {
        match requires {
            _ if self.mode != Mode::On => 0,
            Requires::Nothing => 0,
            Requires::CurrentBatch => self.last_batch,
            Requires::Batch(seq) => seq,
        }
    }

    fn pass(&mut self, pending: PendingOutput, needs: u64, now: Micros, cx: &mut Context) {
        if let Some((_, output)) =
            self.barrier
                .admit(pending.to, BatchSequence(needs), (now, pending.output))
        {
            cx.output(output);
        }
    }

    fn cut_changes(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
        let mut changes = std::mem::take(&mut self.changes);
        changes.append(&mut sources.sessions.take_changes());
        for number in sources.ledger.take_changed() {
            self.job_changes(number, sources, &mut changes, cx);
        }
        for (session, call) in sources.ledger.take_forgotten() {
            let has_jobs = sources
                .sessions
                .get(session)
                .is_some_and(|session| session.has_jobs_of(call));
            if !has_jobs && self.recorded_calls.remove(&(session, call)) {
                changes.push(Change::Template(session.0, call, None));
            }
        }
        self.push_batch(now, changes, false, cx);
    }

    /// A folder that is written anew gets every row.
    fn cut_everything(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
        (self.rewrite, self.last_rewrite) = (false, self.last_batch + 1);
        self.recorded_calls.clear();
        sources.ledger.take_changed();
        sources.ledger.take_forgotten();
        self.changes.clear();
        let mut changes: Vec<Change> = sources
            .ledger
            .complete_incarnations()
            .map(Change::IncarnationStarted)
            .collect();
        changes.push(Change::IncarnationStarted(cx.clock().incarnation()));
        changes.append(&mut sources.sessions.rows());
        let numbers: Vec<JobNumber> = sources.ledger.jobs().map(|(number, _)| number).collect();
        for number in numbers {
            self.job_changes(number, sources, &mut changes, cx);
        }
        let drained = sources.nodes.iter().filter(|(_, node)| node.is_drained());
        changes.extend(drained.map(|(_, node)| Change::Drain {
            node: node.name().to_owned(),
            draining: true,
        }));
        self.push_batch(now, changes, true, cx);
    }

    fn push_batch(&mut self, now: Micros, changes: Vec<Change>, whole: bool, cx: &mut Context) {
        if !changes.is_empty() {
            self.last_batch += 1;
            self.in_flight.push_back((self.last_batch, now));
            let batch = Batch {
                sequence: BatchSequence(self.last_batch),
                at: cx.clock().unix_us(now),
                changes,
            };
            cx.output(Output::Persist {
                batch,
                is_rewrite: whole,
            });
        }
    }

    /// The rows of a job, which will be in the next batch.
    fn job_changes(
        &mut self,
        number: JobNumber,
        sources: &mut RowSources<'_>,
        changes: &mut Vec<Change>,
        cx: &Context,
    ) {
        let Some(job) = sources.ledger.job(number) else {
            return changes.push(Change::Job(number.0, None));
        };
        let (session, call) = (job.session, job.name.call);
        if self.recorded_calls.insert((session, call)) {
            let row = rows::requirements_row(&job.requirements, cx);
            changes.push(Change::Template(session.0, call, Some(row)));
        }
        let row = rows::job_row(job, sources.ledger, sources.nodes, cx);
        changes.push(Change::Job(number.0, Some(Box::new(row))));
        if let Some(job) = sources.ledger.recorded_job_mut(number) {
            note_recorded(job, self.last_batch + 1);
        }
    }
}

/// The rows of a job are in this batch, if they were in none before.
fn note_recorded(job: &mut Job, batch: u64) {
    job.recorded_in.get_or_insert(batch);
    if job.is_ended() {
        job.end_recorded_in.get_or_insert(batch);
    }
}
