//! An index of jobs or requests by the topics that their constraints refer to.

use std::collections::{BTreeMap, BTreeSet};

use reedring_constraint::Topic;

/// For each topic, the jobs or requests (`T`) whose constraints refer to it.
#[derive(Debug)]
pub(super) struct TopicIndex<T>(BTreeMap<Topic, BTreeSet<T>>);

impl<T> Default for TopicIndex<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy + Ord> TopicIndex<T> {
    pub fn add(&mut self, topics: &[Topic], id: T) {
        for topic in topics {
            self.0.entry(topic.clone()).or_default().insert(id);
        }
    }

    pub fn remove(&mut self, topics: &[Topic], id: T) {
        for topic in topics {
            let Some(ids) = self.0.get_mut(topic) else {
                continue;
            };
            ids.remove(&id);
            if ids.is_empty() {
                self.0.remove(topic);
            }
        }
    }

    /// The jobs or requests whose constraints refer to any of these topics; one may occur more than once.
    pub fn referring_to<'a>(&'a self, topics: &'a [Topic]) -> impl Iterator<Item = T> + 'a {
        topics
            .iter()
            .filter_map(|topic| self.0.get(topic))
            .flatten()
            .copied()
    }
}
