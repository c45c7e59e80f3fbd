//! The tables of the ledger's database, format 2, and the limits of what they hold.
//!
//! Table names and keys are stored; `docs/state.md` lists them with the bytes of each value.

use redb::TableDefinition;

/// The format of the tables that this program writes.
pub const FORMAT: u32 = 2;

/// The key of the format in [`META`].
pub(super) const META_FORMAT: &str = "format";
/// The key of the placer's name in [`META`].
pub(super) const META_PLACER: &str = "placer";

pub(super) const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// By incarnation, the time of its last write.
pub(super) const INCARNATIONS: TableDefinition<u64, u64> = TableDefinition::new("lives");
pub(super) const SESSIONS: TableDefinition<u32, &[u8]> = TableDefinition::new("sessions");
/// By session and call.
pub(super) const RESPONSES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("calls");
/// By session and call.
pub(super) const TEMPLATES: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("asks");
pub(super) const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
pub(super) const DRAINING_NODES: TableDefinition<&str, ()> = TableDefinition::new("drained");
/// By node and time of a batch, how many offers of it went to the node while it was warming up.
pub(super) const WARM_UP_OFFERS: TableDefinition<(&str, u64), u32> =
    TableDefinition::new("cold counts");
/// The same in format 1, which had the times without the counts.
pub(super) const WARM_UP_OFFERS_1: TableDefinition<(&str, u64), ()> = TableDefinition::new("cold");
/// By time. Ledgers that were made before there were configuration versions lack it.
pub(super) const ACTIVE_CONFIGS: TableDefinition<u64, &[u8]> = TableDefinition::new("plans");

/// Incarnations that are kept: a client that comes back after more restarts is told that nothing is known.
pub(super) const MAX_INCARNATIONS: usize = 1_024;
/// Active configurations that are kept: more changes than any placer's jobs outlive.
pub(super) const MAX_ACTIVE_CONFIGS: usize = 1_024;
/// Microseconds for which offers to nodes that were warming up are kept: longer than any node takes.
pub(super) const WARM_UP_OFFER_RETENTION_US: u64 = 3_600_000_000;
/// The count that stands for a time without one, and the most that is read of one: more than any node's budget.
pub(super) const MAX_WARM_UP_OFFERS: u32 = 4_096;
