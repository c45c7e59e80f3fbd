//! All rows of a ledger.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::rows::{
    ActiveConfigRow, Batch, BatchSequence, Change, IncarnationRecord, Job, JobNumber, JobTemplate,
    Session, SessionNumber, StoredResponse,
};

/// The number of each batch of [`LedgerSnapshot::to_batches`]: they are written in one transaction.
const IMPORT_SEQUENCE: BatchSequence = BatchSequence(1);

/// All rows of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// Incarnations of the placer that wrote here, the oldest first.
    #[serde(rename = "lives")]
    pub incarnations: Vec<IncarnationRecord>,
    /// Rows of the last incarnation may be missing: its folder could not be written.
    #[serde(rename = "holes")]
    pub incomplete: bool,
    /// Sessions.
    pub sessions: BTreeMap<SessionNumber, Session>,
    /// Responses to calls, by session and call.
    #[serde(rename = "calls")]
    pub responses: BTreeMap<SessionNumber, BTreeMap<u64, StoredResponse>>,
    /// Templates of jobs, by session and call.
    #[serde(rename = "asks")]
    pub templates: BTreeMap<SessionNumber, BTreeMap<u64, JobTemplate>>,
    /// Jobs.
    pub jobs: BTreeMap<JobNumber, Job>,
    /// Nodes that an operator drains.
    #[serde(rename = "drained")]
    pub draining_nodes: BTreeSet<String>,
    /// Times of the offers to each node while it was warming up, in microseconds since 1970.
    #[serde(rename = "cold")]
    pub warm_up_offers: BTreeMap<String, Vec<u64>>,
    /// The configurations by which the placer decided, by the time from which on it did, in microseconds since 1970.
    #[serde(rename = "acts", default)]
    pub active_configs: BTreeMap<u64, ActiveConfigRow>,
}

impl LedgerSnapshot {
    /// Microseconds since 1970 of the last write; 0 where there was none.
    pub fn last_write_at(&self) -> u64 {
        let written = self.incarnations.iter().map(|record| record.last_write_at);
        written.max().unwrap_or(0)
    }

    /// The greatest incarnation number that was used; 0 where there was none.
    pub fn last_incarnation(&self) -> u64 {
        let used = self.incarnations.iter().map(|record| record.incarnation);
        used.max().unwrap_or(0)
    }

    /// Whether every row that this incarnation of the placer wrote is here.
    pub fn is_complete_for(&self, incarnation: u64) -> bool {
        let recorded = self
            .incarnations
            .iter()
            .any(|record| record.incarnation == incarnation);
        let rows_missing = self.incomplete && incarnation == self.last_incarnation();
        recorded && !rows_missing
    }

    /// The batches that make these rows in an empty ledger. All incarnations then have the time of the last write.
    pub fn to_batches(&self) -> Vec<Batch> {
        let mut batches = vec![batch_at(self.last_write_at(), self.row_changes())];
        // The time of an offer and of a configuration is that of its batch.
        for (node, times) in &self.warm_up_offers {
            let offer = |at: &u64| batch_at(*at, vec![Change::WarmUpOffer(node.clone())]);
            batches.extend(times.iter().map(offer));
        }
        for (at, config) in &self.active_configs {
            batches.push(batch_at(*at, vec![Change::ActiveConfig(config.clone())]));
        }
        batches
    }

    /// The changes that make all rows whose key holds no time.
    fn row_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in &self.incarnations {
            changes.push(Change::IncarnationStarted(record.incarnation));
        }
        for (number, session) in &self.sessions {
            changes.push(Change::Session(*number, Some(session.clone())));
        }
        for (session, responses) in &self.responses {
            for (call, response) in responses {
                changes.push(Change::Call(*session, *call, response.clone()));
            }
        }
        for (session, templates) in &self.templates {
            for (call, template) in templates {
                changes.push(Change::Template(*session, *call, Some(template.clone())));
            }
        }
        for (number, job) in &self.jobs {
            changes.push(Change::Job(*number, Some(Box::new(job.clone()))));
        }
        for node in &self.draining_nodes {
            changes.push(Change::Drain {
                node: node.clone(),
                draining: true,
            });
        }
        changes
    }
}

fn batch_at(at: u64, changes: Vec<Change>) -> Batch {
    Batch {
        sequence: IMPORT_SEQUENCE,
        at,
        changes,
    }
}
