//! Outputs that wait until the batch they depend on is durable.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use crate::rows::BatchSequence;

/// An output that waits, and the batch for which it waits.
#[derive(Debug)]
struct Waiting<T> {
    required: BatchSequence,
    output: T,
}

/// An output that left the barrier.
#[derive(Debug, PartialEq, Eq)]
pub struct Released<D, T> {
    /// Where it goes.
    pub destination: D,
    /// The output.
    pub output: T,
}

/// Holds outputs back until the batch on which each depends is durable.
///
/// Each destination keeps its order: an output behind one that waits, waits too. Destinations do not wait for
/// each other.
#[derive(Debug)]
pub struct DurabilityBarrier<D, T> {
    durable_through: BatchSequence,
    /// Queues by destination; none is empty.
    waiting: BTreeMap<D, VecDeque<Waiting<T>>>,
}

impl<D: Ord + Clone, T> Default for DurabilityBarrier<D, T> {
    fn default() -> Self {
        Self {
            durable_through: BatchSequence::default(),
            waiting: BTreeMap::new(),
        }
    }
}

impl<D: Ord + Clone, T> DurabilityBarrier<D, T> {
    /// Returns an output that may leave at once, or queues it until batch `required` is durable. Sequence 0
    /// requires no batch.
    pub fn admit(&mut self, destination: D, required: BatchSequence, output: T) -> Option<T> {
        if required <= self.durable_through && !self.waiting.contains_key(&destination) {
            return Some(output);
        }
        let queue = self.waiting.entry(destination).or_default();
        queue.push_back(Waiting { required, output });
        None
    }

    /// Every batch up to this one is durable: returns what may leave now, in the order of each destination.
    pub fn advance(&mut self, durable_through: BatchSequence) -> Vec<Released<D, T>> {
        self.durable_through = self.durable_through.max(durable_through);
        let reached = self.durable_through;
        let mut released = Vec::new();
        self.waiting.retain(|destination, queue| {
            let ready = queue
                .iter()
                .take_while(|waiting| waiting.required <= reached)
                .count();
            released.extend(queue.drain(..ready).map(|waiting| Released {
                destination: destination.clone(),
                output: waiting.output,
            }));
            !queue.is_empty()
        });
        released
    }

    /// Removes the first output of a destination that matches; those behind it stay in order.
    pub fn remove_first(&mut self, destination: &D, matches: impl Fn(&T) -> bool) -> Option<T> {
        let queue = self.waiting.get_mut(destination)?;
        let index = queue.iter().position(|waiting| matches(&waiting.output))?;
        let removed = queue.remove(index).map(|waiting| waiting.output);
        if queue.is_empty() {
            self.waiting.remove(destination);
        }
        removed
    }

    /// Removes everything that waits for a destination, such as a connection that ended.
    pub fn remove_destination(&mut self, destination: &D) -> Vec<T> {
        let queue = self.waiting.remove(destination).unwrap_or_default();
        queue.into_iter().map(|waiting| waiting.output).collect()
    }

    /// Removes every output that matches, over all destinations; the rest stays in order.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<Released<D, T>> {
        let mut removed = Vec::new();
        self.waiting.retain(|destination, queue| {
            for waiting in std::mem::take(queue) {
                if matches(&waiting.output) {
                    removed.push(Released {
                        destination: destination.clone(),
                        output: waiting.output,
                    });
                } else {
                    queue.push_back(waiting);
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
