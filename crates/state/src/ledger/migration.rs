//! Migration of ledgers of older formats.

use redb::{Database, ReadableTable};

use super::tables::{
    FORMAT, MAX_WARM_UP_OFFERS, META, META_FORMAT, WARM_UP_OFFERS, WARM_UP_OFFERS_1,
};

/// Migrates a ledger from format 1 to format 2 in one transaction, so that a crash leaves the ledger in format 1.
pub(super) fn migrate(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let times = transaction.open_table(WARM_UP_OFFERS_1)?;
        let mut counts = transaction.open_table(WARM_UP_OFFERS)?;
        for row in times.iter()? {
            // Format 1 doesn't store how many offers were made at a time. The greatest count is assumed, as a smaller one
            // could free a part of the node's offer budget too early.
            counts.insert(row?.0.value(), MAX_WARM_UP_OFFERS)?;
        }
    }
    transaction.delete_table(WARM_UP_OFFERS_1)?;
    transaction
        .open_table(META)?
        .insert(META_FORMAT, FORMAT.to_le_bytes().as_slice())?;
    transaction.commit()?;
    Ok(())
}
