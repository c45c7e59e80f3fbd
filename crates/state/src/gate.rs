//! The order in which outputs wait for what was promised before them.

use std::collections::{BTreeMap, VecDeque};

/// Holds outputs back until the batch of changes that they tell of is durable.
///
/// Each destination keeps its order: an output behind one that waits, waits too. Destinations do not wait for
/// each other.
#[derive(Debug)]
pub struct DurabilityBarrier<D, T> {
    durable: u64,
    waiting: BTreeMap<D, VecDeque<(u64, T)>>,
}

impl<D: Ord + Clone, T> Default for DurabilityBarrier<D, T> {
    fn default() -> Self {
        Self {
            durable: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl<D: Ord + Clone, T> DurabilityBarrier<D, T> {
    /// Passes an output through, or keeps it until batch `needs` is durable; 0 needs none.
    pub fn pass(&mut self, to: D, needs: u64, output: T) -> Option<T> {
        if needs <= self.durable && !self.waiting.contains_key(&to) {
            return Some(output);
        }
        self.waiting
            .entry(to)
            .or_default()
            .push_back((needs, output));
        None
    }

    /// Everything up to this batch is durable: what may go now, in the order of each destination.
    pub fn durable(&mut self, seq: u64) -> Vec<(D, T)> {
        self.durable = self.durable.max(seq);
        let (durable, mut free) = (self.durable, Vec::new());
        self.waiting.retain(|to, queue| {
            let count = queue
                .iter()
                .take_while(|(needs, _)| *needs <= durable)
                .count();
            free.extend(queue.drain(..count).map(|(_, output)| (to.clone(), output)));
            !queue.is_empty()
        });
        free
    }

    /// Lets one output go past the rest of its queue, if it waits.
    pub fn take(&mut self, to: &D, wanted: impl Fn(&T) -> bool) -> Option<T> {
        let queue = self.waiting.get_mut(to)?;
        let at = queue.iter().position(|(_, output)| wanted(output))?;
        let taken = queue.remove(at).map(|(_, output)| output);
        if queue.is_empty() {
            self.waiting.remove(to);
        }
        taken
    }

    /// Drops what waits for a destination that is no more.
    pub fn drop_all(&mut self, to: &D) -> Vec<T> {
        let queue = self.waiting.remove(to).unwrap_or_default();
        queue.into_iter().map(|(_, output)| output).collect()
    }

    /// Takes out whatever matches, over all destinations.
    pub fn take_all(&mut self, wanted: impl Fn(&T) -> bool) -> Vec<(D, T)> {
        let mut taken = Vec::new();
        self.waiting.retain(|to, queue| {
            let (out, left) = std::mem::take(queue)
                .into_iter()
                .partition(|(_, output)| wanted(output));
            *queue = left;
            let out: VecDeque<(u64, T)> = out;
            taken.extend(out.into_iter().map(|(_, output)| (to.clone(), output)));
            !queue.is_empty()
        });
        taken
    }

    /// The last batch known to be durable.
    pub fn reached(&self) -> u64 {
        self.durable
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_passes_before_its_batch_nor_before_its_elders() {
        let mut gate = DurabilityBarrier::default();
        assert_eq!(gate.pass('a', 0, 1), Some(1));
        assert_eq!(gate.pass('a', 2, 2), None);
        assert_eq!(gate.pass('a', 0, 3), None, "it would overtake");
        assert_eq!(
            gate.pass('b', 0, 4),
            Some(4),
            "another destination does not wait"
        );
        assert_eq!(gate.pass('b', 1, 5), None);
        assert_eq!(gate.durable(1), [('b', 5)]);
        assert_eq!(gate.durable(2), [('a', 2), ('a', 3)]);
        assert_eq!(gate.pass('a', 2, 6), Some(6));
    }

    #[test]
    fn what_is_taken_out_leaves_the_rest_in_order() {
        let mut gate = DurabilityBarrier::default();
        (1..=3).for_each(|n| assert_eq!(gate.pass('a', n, n), None));
        assert_eq!(gate.take(&'a', |n| *n == 2), Some(2));
        assert_eq!(gate.take_all(|n| *n == 9), []);
        assert_eq!(gate.durable(9), [('a', 1), ('a', 3)]);
        assert_eq!(gate.pass('a', 10, 4), None);
        assert_eq!(gate.drop_all(&'a'), [4]);
        assert_eq!(gate.pass('a', 0, 5), Some(5));
    }
}
