use super::store::Store;
use super::tables::{META, META_FORMAT};
use super::{FORMAT, StoreError};
use crate::folder::{Folder, SimFolder};

/// Creates an empty ledger and then raises its format version, as a newer program would.
fn folder_with_newer_ledger() -> SimFolder {
    let folder = SimFolder::default();
    Store::open(folder.open_database("l").unwrap(), "l", Some("p"))
        .unwrap()
        .store
        .close()
        .unwrap();
    let database = redb::Database::builder()
        .create_with_backend(folder.open_database("l").unwrap())
        .unwrap();
    let transaction = database.begin_write().unwrap();
    let newer = (FORMAT + 1).to_le_bytes();
    transaction
        .open_table(META)
        .unwrap()
        .insert(META_FORMAT, newer.as_slice())
        .unwrap();
    transaction.commit().unwrap();
    folder
}

#[test]
fn opening_a_ledger_of_a_newer_format_fails_and_leaves_it_unchanged() {
    let folder = folder_with_newer_ledger();
    // The second attempt would not find the newer format if the first had changed it.
    for _ in 0..2 {
        let error = Store::open(folder.open_database("l").unwrap(), "l", Some("p")).unwrap_err();
        assert!(
            matches!(error, StoreError::NewerFormat { found, .. } if found == FORMAT + 1),
            "{error}"
        );
    }
}
