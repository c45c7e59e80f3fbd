//! A map that keeps the order in which entries were added, and holds a limited number of them.

use std::collections::BTreeMap;

/// Values by their keys, in the order in which they were added.
#[derive(Debug)]
pub(super) struct BoundedMap<K, V> {
    by_order: BTreeMap<u64, (K, V)>,
    /// The place of each entry in the order, by its key.
    order_of: BTreeMap<K, u64>,
    added: u64,
    limit: usize,
}

impl<K: Copy + Ord, V> BoundedMap<K, V> {
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

    /// Adds an entry as the newest one, in place of a former one with this key. At the limit, the oldest one is dropped.
    pub fn add(&mut self, key: K, value: V) {
        self.remove(key);
        if self.len() >= self.limit
            && let Some((_, (oldest, _))) = self.by_order.pop_first()
        {
            self.order_of.remove(&oldest);
        }
        self.added += 1;
        self.by_order.insert(self.added, (key, value));
        self.order_of.insert(key, self.added);
    }

    pub fn get(&self, key: K) -> Option<&V> {
        let order = self.order_of.get(&key)?;
        self.by_order.get(order).map(|(_, value)| value)
    }

    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let order = self.order_of.get(&key)?;
        self.by_order.get_mut(order).map(|(_, value)| value)
    }

    /// All entries, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.by_order.values().map(|(key, value)| (*key, value))
    }

    /// All values, the oldest first.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.by_order.values_mut().map(|(_, value)| value)
    }

    pub fn remove(&mut self, key: K) -> Option<V> {
        let order = self.order_of.remove(&key)?;
        self.by_order.remove(&order).map(|(_, value)| value)
    }

    /// Removes and returns the entries that satisfy `predicate`, the oldest first.
    pub fn remove_where(&mut self, predicate: impl Fn(&V) -> bool) -> Vec<(K, V)> {
        let removed = self
            .by_order
            .extract_if(.., |_, (_, value)| predicate(value));
        let removed: Vec<(K, V)> = removed.map(|(_, entry)| entry).collect();
        for (key, _) in &removed {
            self.order_of.remove(key);
        }
        removed
    }
}
