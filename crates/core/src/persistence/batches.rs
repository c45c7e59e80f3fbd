//! Cutting batches: collects the changes of a flush into a batch, and sends the outputs of the flush or makes them wait
//! for a batch.

use std::collections::BTreeSet;

use reedring::Micros;
use reedring_state::{Batch, BatchSequence, Change};

use super::{Mode, PendingOutput, Requires, RowSources, WriteAheadQueue, rows};
use crate::context::Context;
use crate::ids::JobNumber;
use crate::io::Output;
use crate::ledger::Job;

impl WriteAheadQueue {
    /// Hands on the outputs that do not require the current batch, before the decision module runs: a flush may take
    /// long.
    pub fn release(&mut self, now: Micros, cx: &mut Context) {
        let (mut kept, mut held_destinations) = (Vec::new(), BTreeSet::new());
        for pending in std::mem::take(&mut self.pending) {
            let required_batch = match pending.requires {
                Requires::CurrentBatch => None,
                earlier => Some(self.required_batch(earlier)),
            };
            // Later outputs for the same destination are held back too, so that their order is kept.
            match required_batch.filter(|_| !held_destinations.contains(&pending.to)) {
                Some(required_batch) => self.send_when_durable(pending, required_batch, now, cx),
                None => {
                    held_destinations.insert(pending.to);
                    kept.push(pending);
                }
            }
        }
        self.pending = kept;
    }

    /// Ends a flush: its changes become a batch, and its outputs are sent or wait for a batch.
    pub fn cut_batch(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
        match self.mode {
            Mode::On if self.rewrite => self.cut_rewrite(now, sources, cx),
            Mode::On => self.cut_changes(now, sources, cx),
            Mode::Off | Mode::Unavailable { .. } => {
                sources.sessions.take_changes();
                sources.ledger.take_changed();
                sources.ledger.take_forgotten();
            }
        }
        for pending in std::mem::take(&mut self.pending) {
            let required_batch = self.required_batch(pending.requires);
            self.send_when_durable(pending, required_batch, now, cx);
        }
    }

    /// Number of the batch that must be durable; 0 if none has to be.
    fn required_batch(&self, requires: Requires) -> u64 {
        match requires {
            _ if self.mode != Mode::On => 0,
            Requires::Nothing => 0,
            Requires::CurrentBatch => self.last_batch,
            Requires::Batch(seq) => seq,
        }
    }

    /// Sends an output at once, or hands it to the barrier if `required_batch` is not durable yet or if earlier outputs
    /// wait for the same destination.
    fn send_when_durable(
        &mut self,
        pending: PendingOutput,
        required_batch: u64,
        now: Micros,
        cx: &mut Context,
    ) {
        if let Some((_, output)) = self.barrier.admit(
            pending.to,
            BatchSequence(required_batch),
            (now, pending.output),
        ) {
            cx.output(output);
        }
    }

    /// Cuts a batch of the rows that have changed since the last one.
    fn cut_changes(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
        let mut changes = std::mem::take(&mut self.changes);
        changes.append(&mut sources.sessions.take_changes());
        for number in sources.ledger.take_changed() {
            self.push_job_changes(number, sources, &mut changes, cx);
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

    /// Cuts a batch that contains every row, for a state folder that is rewritten as a whole.
    fn cut_rewrite(&mut self, now: Micros, sources: &mut RowSources<'_>, cx: &mut Context) {
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
            self.push_job_changes(number, sources, &mut changes, cx);
        }
        let drained = sources.nodes.iter().filter(|(_, node)| node.is_drained());
        changes.extend(drained.map(|(_, node)| Change::Drain {
            node: node.name().to_owned(),
            draining: true,
        }));
        self.push_batch(now, changes, true, cx);
    }

    /// Outputs a batch of these changes; does nothing if there are none.
    fn push_batch(
        &mut self,
        now: Micros,
        changes: Vec<Change>,
        is_rewrite: bool,
        cx: &mut Context,
    ) {
        if !changes.is_empty() {
            self.last_batch += 1;
            self.in_flight.push_back((self.last_batch, now));
            let batch = Batch {
                sequence: BatchSequence(self.last_batch),
                at: cx.clock().unix_us(now),
                changes,
            };
            cx.output(Output::Persist { batch, is_rewrite });
        }
    }

    /// Adds the rows of a job to the changes of the next batch, or the deletion if the job is no longer in the ledger.
    fn push_job_changes(
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
            mark_recorded(job, self.last_batch + 1);
        }
    }
}

/// Records that `batch` contains the rows of a job, unless an earlier batch does.
fn mark_recorded(job: &mut Job, batch: u64) {
    job.recorded_in.get_or_insert(batch);
    if job.is_ended() {
        job.end_recorded_in.get_or_insert(batch);
    }
}
