//! Holds outputs back until the batch on which they depend is durable.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use crate::rows::BatchSequence;

/// A queued output.
#[derive(Debug)]
struct QueuedOutput<T> {
    /// The batch that must be durable before the output is released.
    required: BatchSequence,
    output: T,
}

/// An output that was taken out of the barrier, with its destination.
#[derive(Debug, PartialEq, Eq)]
pub struct Released<D, T> {
    /// Destination of the output.
    pub destination: D,
    /// The output itself.
    pub output: T,
}

/// Holds each output back until the batch on which it depends is durable.
///
/// Outputs to one destination stay in order: an output is also held back while an earlier one to the same destination is
/// queued. Destinations don't wait for each other.
#[derive(Debug)]
pub struct DurabilityBarrier<D, T> {
    /// The last batch that is known to be durable.
    durable_through: BatchSequence,
    /// Queued outputs by destination; no queue is empty.
    queues: BTreeMap<D, VecDeque<QueuedOutput<T>>>,
}

impl<D: Ord + Clone, T> Default for DurabilityBarrier<D, T> {
    fn default() -> Self {
        Self {
            durable_through: BatchSequence::default(),
            queues: BTreeMap::new(),
        }
    }
}

impl<D: Ord + Clone, T> DurabilityBarrier<D, T> {
    /// Returns the output if it may be sent at once. Otherwise queues it until batch `required` is durable and the earlier
    /// outputs to the destination are released. An output with `required` 0 depends on no batch.
    pub fn admit(&mut self, destination: D, required: BatchSequence, output: T) -> Option<T> {
        if required <= self.durable_through && !self.queues.contains_key(&destination) {
            return Some(output);
        }
        let queue = self.queues.entry(destination).or_default();
        queue.push_back(QueuedOutput { required, output });
        None
    }

    /// Records that every batch up to `durable_through` is durable, and returns the outputs that may be sent now, in the
    /// order of each destination.
    pub fn advance(&mut self, durable_through: BatchSequence) -> Vec<Released<D, T>> {
        self.durable_through = self.durable_through.max(durable_through);
        let durable_through = self.durable_through;
        let mut released = Vec::new();
        self.queues.retain(|destination, queue| {
            let ready = queue
                .iter()
                .take_while(|queued| queued.required <= durable_through)
                .count();
            released.extend(queue.drain(..ready).map(|queued| Released {
                destination: destination.clone(),
                output: queued.output,
            }));
            !queue.is_empty()
        });
        released
    }

    /// Removes and returns the first queued output to a destination that matches; the others stay in order.
    pub fn remove_first(&mut self, destination: &D, matches: impl Fn(&T) -> bool) -> Option<T> {
        let queue = self.queues.get_mut(destination)?;
        let index = queue.iter().position(|queued| matches(&queued.output))?;
        let removed = queue.remove(index).map(|queued| queued.output);
        if queue.is_empty() {
            self.queues.remove(destination);
        }
        removed
    }

    /// Removes and returns all queued outputs to a destination, such as a connection that was closed.
    pub fn remove_destination(&mut self, destination: &D) -> Vec<T> {
        let queue = self.queues.remove(destination).unwrap_or_default();
        queue.into_iter().map(|queued| queued.output).collect()
    }

    /// Removes and returns every queued output that matches, to any destination; the others stay in order.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Released<D, T>> {
        let mut removed = Vec::new();
        self.queues.retain(|destination, queue| {
            for queued in std::mem::take(queue) {
                if matches(&queued.output) {
                    removed.push(Released {
                        destination: destination.clone(),
                        output: queued.output,
                    });
                } else {
                    queue.push_back(queued);
                }
            }
            !queue.is_empty()
        });
        removed
    }

    /// The last batch that is known to be durable.
    pub fn durable_through(&self) -> BatchSequence {
        self.durable_through
    }
}
