//! A map by request id that keeps the order in which entries were added, and holds a limited number of them.

use std::collections::BTreeMap;

/// Values by the request's id on the wire, in the order in which they were added.
#[derive(Debug)]
pub(super) struct BoundedMap<V> {
    by_order: BTreeMap<u64, (u64, V)>,
    /// The place of each entry in the order, by its id.
    order_of: BTreeMap<u64, u64>,
    added: u64,
    limit: usize,
}

impl<V> BoundedMap<V> {
    /// Creates an empty map for at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            by_order: BTreeMap::new(),
            order_of: BTreeMap::new(),
            added: 0,
            limit,
        }
    }

    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Adds an entry as the newest one, in place of a former one with this id. At the limit, the oldest one is dropped.
    pub fn add(&mut self, id: u64, value: V) {
        self.remove(id);
        if self.len() >= self.limit
            && let Some((_, (oldest, _))) = self.by_order.pop_first()
        {
            self.order_of.remove(&oldest);
        }
        self.added += 1;
        self.by_order.insert(self.added, (id, value));
        self.order_of.insert(id, self.added);
    }

    pub fn get(&self, id: u64) -> Option<&V> {
        let order = self.order_of.get(&id)?;
        self.by_order.get(order).map(|(_, value)| value)
    }

    pub fn remove(&mut self, id: u64) -> Option<V> {
        let order = self.order_of.remove(&id)?;
        self.by_order.remove(&order).map(|(_, value)| value)
    }

    /// Removes and returns the entries that satisfy `predicate`, the oldest first.
    pub fn remove_where(&mut self, predicate: impl Fn(&V) -> bool) -> Vec<(u64, V)> {
        let removed = self
            .by_order
            .extract_if(.., |_, (_, value)| predicate(value));
        let removed: Vec<(u64, V)> = removed.map(|(_, entry)| entry).collect();
        for (id, _) in &removed {
            self.order_of.remove(id);
        }
        removed
    }
}
