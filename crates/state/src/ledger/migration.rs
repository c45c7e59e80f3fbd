//! Ledgers of older formats.

use redb::{Database, ReadableTable};

use super::tables::{
    FORMAT, MAX_WARM_UP_OFFERS, META, META_FORMAT, WARM_UP_OFFERS, WARM_UP_OFFERS_1,
};

/// Brings a ledger of format 1 to format 2, in one transaction: a crash leaves the older format as it was.
pub(super) fn migrate(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let times = transaction.open_table(WARM_UP_OFFERS_1)?;
        let mut counts = transaction.open_table(WARM_UP_OFFERS)?;
        for row in times.iter()? {
            // How many offers a time stands for is not known, and no budget may be freed by that.
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
