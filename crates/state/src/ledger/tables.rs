//! The tables of the ledger's database in format 2, and the limits on their rows.
//!
//! Table names and keys are part of the stored format; `docs/state.md` lists them with the encoding of each value.

use redb::TableDefinition;

/// Version of the ledger format that this program writes. It migrates older formats and rejects newer ones.
pub const FORMAT: u32 = 2;

/// Key of the format version in [`META`].
pub(super) const META_FORMAT: &str = "format";
/// Key of the placer's name in [`META`].
pub(super) const META_PLACER: &str = "placer";

/// Format version and name of the placer.
pub(super) const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Time of the last write, by incarnation.
pub(super) const INCARNATIONS: TableDefinition<u64, u64> = TableDefinition::new("lives");
/// Sessions, by session number.
pub(super) const SESSIONS: TableDefinition<u32, &[u8]> = TableDefinition::new("sessions");
/// Responses to calls, by session and call number.
pub(super) const RESPONSES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("calls");
/// Job templates, by session and call number.
pub(super) const TEMPLATES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("asks");
/// Jobs, by job number.
pub(super) const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
/// Names of the nodes that an operator drains.
pub(super) const DRAINING_NODES: TableDefinition<&str, ()> = TableDefinition::new("drained");
/// Number of offers to a node while it was warming up, by name of the node and time of the batch that counts them.
pub(super) const WARM_UP_OFFERS: TableDefinition<(&str, u64), u32> =
    TableDefinition::new("cold counts");
/// Format 1 of [`WARM_UP_OFFERS`], which has the keys without the counts.
pub(super) const WARM_UP_OFFERS_1: TableDefinition<(&str, u64), ()> = TableDefinition::new("cold");
/// Configurations by which the placer decided, by the time from which on it did. Ledgers that were created before
/// configuration versions existed lack this table.
pub(super) const ACTIVE_CONFIGS: TableDefinition<u64, &[u8]> = TableDefinition::new("plans");

/// Number of incarnations that are kept. A client that reconnects after more restarts than this gets the answer that
/// nothing is known.
pub(super) const MAX_INCARNATIONS: usize = 1_024;
/// Number of active configurations that are kept: no placer's jobs outlive that many configuration changes.
pub(super) const MAX_ACTIVE_CONFIGS: usize = 1_024;
/// How long offers to nodes that were warming up are kept, in microseconds: longer than any node takes to warm up.
pub(super) const WARM_UP_OFFER_RETENTION_US: u64 = 3_600_000_000;
/// Upper limit of a stored count of offers, applied when it is read. It is also the count that the migration assumes for
/// each time that format 1 stored without a count. It exceeds the offer budget of any node.
pub(super) const MAX_WARM_UP_OFFERS: u32 = 4_096;
