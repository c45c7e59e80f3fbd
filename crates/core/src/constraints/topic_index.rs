//! From what copies count as to whose constraint speaks of it.

use std::collections::{BTreeMap, BTreeSet};

use reedring_constraint::Topic;

/// Those whose constraint speaks of each topic.
#[derive(Debug)]
pub(super) struct TopicIndex<T>(BTreeMap<Topic, BTreeSet<T>>);

impl<T> Default for TopicIndex<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy + Ord> TopicIndex<T> {
    pub fn add(&mut self, topics: &[Topic], who: T) {
        for topic in topics {
            self.0.entry(topic.clone()).or_default().insert(who);
        }
    }

    pub fn remove(&mut self, topics: &[Topic], who: T) {
        for topic in topics {
            let Some(all) = self.0.get_mut(topic) else {
                continue;
            };
            all.remove(&who);
            if all.is_empty() {
                self.0.remove(topic);
            }
        }
    }

    pub fn of<'a>(&'a self, topics: &'a [Topic]) -> impl Iterator<Item = T> + 'a {
        topics
            .iter()
            .filter_map(|topic| self.0.get(topic))
            .flatten()
            .copied()
    }
}
