//! What the nodes of a group know together of keyed tasks.

use std::collections::BTreeMap;

use reedring_node_protocol::{AttemptId, DeduplicationScope, Task};

/// Keyed tasks that stand, or stood within their window, by group and key. Nodes of one process share one.
#[derive(Debug, Default)]
pub struct Groups {
    copies: BTreeMap<(String, u64), Copy>,
}

#[derive(Debug)]
struct Copy {
    attempt: AttemptId,
    /// Remembered until then, after it ended; `None` while it stands.
    until_us: Option<u64>,
    first_us: u64,
}

fn name(task: &Task, hall: &str, rack: &str) -> (String, u64) {
    let group = match task.deduplication_scope {
        DeduplicationScope::All => String::new(),
        DeduplicationScope::Zone => hall.to_owned(),
        DeduplicationScope::Rack => format!("{hall}\n{rack}"),
    };
    (group, task.idempotency_key)
}

impl Groups {
    /// Whether another copy of the task stands, or stood within its window.
    pub fn stands(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        task: &Task,
        hall: &str,
        rack: &str,
    ) -> bool {
        let name = name(task, hall, rack);
        let Some(copy) = self.copies.get(&name) else {
            return false;
        };
        if copy.until_us.is_some_and(|until| until <= now_us) {
            self.copies.remove(&name);
            return false;
        }
        copy.attempt != attempt
    }

    /// A copy was taken.
    pub fn taken(&mut self, now_us: u64, attempt: AttemptId, task: &Task, hall: &str, rack: &str) {
        let copy = Copy {
            attempt,
            until_us: None,
            first_us: now_us,
        };
        self.copies.insert(name(task, hall, rack), copy);
    }

    /// A copy is no more; one that ran to its end is remembered for its window.
    pub fn gone(
        &mut self,
        attempt: AttemptId,
        task: &Task,
        hall: &str,
        rack: &str,
        to_its_end: bool,
    ) {
        let name = name(task, hall, rack);
        let Some(copy) = self
            .copies
            .get_mut(&name)
            .filter(|copy| copy.attempt == attempt)
        else {
            return;
        };
        if to_its_end {
            copy.until_us = Some(copy.first_us + u64::from(task.deduplication_window_ms) * 1_000);
        } else {
            self.copies.remove(&name);
        }
    }
}
