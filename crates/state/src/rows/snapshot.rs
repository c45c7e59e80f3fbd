//! Snapshot of all rows of a ledger.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::rows::{
    ActiveConfigRow, Batch, BatchSequence, Change, IncarnationRecord, Job, JobNumber, JobTemplate,
    Session, SessionNumber, StoredResponse,
};

/// Sequence number of every batch of [`LedgerSnapshot::to_batches`]. All of them are written in one transaction, so that
/// they need no distinct numbers.
const IMPORT_SEQUENCE: BatchSequence = BatchSequence(1);

/// All rows of a ledger at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// Incarnations of the placer that wrote to the ledger, the oldest first.
    #[serde(rename = "lives")]
    pub incarnations: Vec<IncarnationRecord>,
    /// Whether rows of the last incarnation may be missing, because the state folder could not be written.
    #[serde(rename = "holes")]
    pub incomplete: bool,
    /// Sessions by number.
    pub sessions: BTreeMap<SessionNumber, Session>,
    /// Responses to calls, by session and call number.
    #[serde(rename = "calls")]
    pub responses: BTreeMap<SessionNumber, BTreeMap<u64, StoredResponse>>,
    /// Job templates, by session and call number.
    #[serde(rename = "asks")]
    pub templates: BTreeMap<SessionNumber, BTreeMap<u64, JobTemplate>>,
    /// Jobs by number.
    pub jobs: BTreeMap<JobNumber, Job>,
    /// Names of the nodes that an operator drains.
    #[serde(rename = "drained")]
    pub draining_nodes: BTreeSet<String>,
    /// By name of the node: times of the offers to it while it was warming up, in microseconds since 1970.
    #[serde(rename = "cold")]
    pub warm_up_offers: BTreeMap<String, Vec<u64>>,
    /// Configurations by which the placer decided. The key is the time from which on it did, in microseconds since 1970.
    #[serde(rename = "acts", default)]
    pub active_configs: BTreeMap<u64, ActiveConfigRow>,
}

impl LedgerSnapshot {
    /// Time of the last write in microseconds since 1970; 0 where there was none.
    pub fn last_write_at(&self) -> u64 {
        let written = self.incarnations.iter().map(|record| record.last_write_at);
        written.max().unwrap_or(0)
    }

    /// The greatest recorded incarnation number; 0 where there is none.
    pub fn last_incarnation(&self) -> u64 {
        let used = self.incarnations.iter().map(|record| record.incarnation);
        used.max().unwrap_or(0)
    }

    /// Whether the incarnation is recorded and none of the rows that it wrote is missing.
    pub fn is_complete_for(&self, incarnation: u64) -> bool {
        let recorded = self
            .incarnations
            .iter()
            .any(|record| record.incarnation == incarnation);
        let rows_missing = self.incomplete && incarnation == self.last_incarnation();
        recorded && !rows_missing
    }

    /// The batches that recreate these rows in an empty ledger. All incarnations then have the time of the last write.
    pub fn to_batches(&self) -> Vec<Batch> {
        let mut batches = vec![batch_at(self.last_write_at(), self.row_changes())];
        // The row of an offer or a configuration takes its time from the batch, so that each gets a batch of its own.
        for (node, times) in &self.warm_up_offers {
            let offer = |at: &u64| batch_at(*at, vec![Change::WarmUpOffer(node.clone())]);
            batches.extend(times.iter().map(offer));
        }
        for (at, config) in &self.active_configs {
            batches.push(batch_at(*at, vec![Change::ActiveConfig(config.clone())]));
        }
        batches
    }

    /// The changes that recreate all rows whose key contains no time.
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
