//! The simulated schedulers, and the processing of batches by them.

use std::collections::BTreeMap;

use reedring::{Event, Listing, Machine, Micros, Placer, settings};

use crate::error::{AdapterError, RecordProblem};
use crate::panics::catch_panic;
use crate::wire::{ListUpdate, Record, Reply};

/// A simulated scheduler.
struct Instance {
    placer: Placer,
    /// Whether entries of the machine list state free cores and memory; otherwise these values are removed from them.
    lists_free: bool,
}

/// All instances, and the machine lists that records refer to by number.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Machine>>,
}

/// The state of a batch while its records are processed.
#[derive(Default)]
struct Batch {
    /// The instance to which the next records belong; `None` before the first `At` record.
    current: Option<u16>,
    /// Events that were not passed to their placer yet, by instance.
    pending: BTreeMap<u16, Vec<Event>>,
}

impl Instances {
    /// Processes the records in order, then passes each placer all events of its instance since the
    /// instance's start in one step. If a placer panics, the reply has only that fault.
    pub fn process_batch(
        &mut self,
        clock: Micros,
        records: Vec<Record>,
    ) -> Result<Reply, AdapterError> {
        let mut batch = Batch::default();
        for (index, record) in records.into_iter().enumerate() {
            self.process_record(record, &mut batch)
                .map_err(|problem| AdapterError::Record { index, problem })?;
        }
        Ok(self.step_instances(clock, batch.pending))
    }

    fn process_record(&mut self, record: Record, batch: &mut Batch) -> Result<(), RecordProblem> {
        match record {
            Record::At(instance) => batch.current = Some(instance),
            Record::List(number, machines) => {
                self.lists.insert(number, machines);
            }
            Record::Init(seed, text) => {
                let id = batch.current.ok_or(RecordProblem::NoInstanceNamed)?;
                let deployment = settings::read(&text).map_err(RecordProblem::Settings)?;
                let instance = Instance {
                    placer: Placer::new(deployment.module, seed),
                    lists_free: deployment.lists_free,
                };
                batch.pending.remove(&id);
                self.instances.insert(id, instance);
            }
            Record::Exit => {
                let id = self.running_instance(batch)?;
                batch.pending.remove(&id);
                self.instances.remove(&id);
            }
            Record::Update(update, number) => {
                let id = self.running_instance(batch)?;
                let listing = self.listing(update, number, self.instances[&id].lists_free)?;
                let events = batch.pending.entry(id).or_default();
                events.push(Event::Listed(listing));
            }
            Record::Event(event) => {
                let id = self.running_instance(batch)?;
                batch.pending.entry(id).or_default().push(event);
            }
        }
        Ok(())
    }

    /// The instance to which the next records belong.
    ///
    /// # Errors
    /// If no `At` record named an instance, or it does not run.
    fn running_instance(&self, batch: &Batch) -> Result<u16, RecordProblem> {
        batch
            .current
            .filter(|id| self.instances.contains_key(id))
            .ok_or(RecordProblem::NotStarted(batch.current))
    }

    /// Passes each instance its events, and collects the actions.
    fn step_instances(&mut self, clock: Micros, pending: BTreeMap<u16, Vec<Event>>) -> Reply {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (id, events) in pending {
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            let placer = &mut instance.placer;
            if let Err(panic) = catch_panic(|| placer.step(clock, &events, &mut actions)) {
                let mut fault = Reply::default();
                fault.begin_instance(id);
                fault.fault(&panic.0);
                return fault;
            }
            if !actions.is_empty() {
                reply.begin_instance(id);
                for action in actions.drain(..) {
                    reply.action(&action);
                }
            }
        }
        reply
    }

    /// The change that an update makes to the machine list, with the entries of the list of this
    /// number.
    fn listing(
        &self,
        update: ListUpdate,
        number: u16,
        lists_free: bool,
    ) -> Result<Listing, RecordProblem> {
        if update == ListUpdate::Failed {
            return Ok(Listing::Failed);
        }
        let list = self.lists.get(&number);
        let list = list.ok_or(RecordProblem::UnknownList(number))?;
        let machines = list.iter().map(|machine| Machine {
            free_cores: machine.free_cores.filter(|_| lists_free),
            free_memory: machine.free_memory.filter(|_| lists_free),
            ..machine.clone()
        });
        Ok(match update {
            ListUpdate::Delta => Listing::Changes(machines.collect()),
            ListUpdate::Full => Listing::Snapshot(machines.collect()),
            ListUpdate::Cached | ListUpdate::Failed => Listing::Cached(machines.collect()),
        })
    }
}
