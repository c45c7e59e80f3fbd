use super::store::Store;
use super::tables::{META, META_FORMAT};
use super::{FORMAT, StoreError};
use crate::folder::{Folder, SimFolder};

/// Makes an empty ledger, and then raises its format as a newer program would.
fn folder_of_a_newer_program() -> SimFolder {
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
fn a_newer_ledger_is_an_error_and_stays_as_it_is() {
    let folder = folder_of_a_newer_program();
    for _ in 0..2 {
        let error = Store::open(folder.open_database("l").unwrap(), "l", Some("p")).unwrap_err();
        assert!(
            matches!(error, StoreError::Newer { found, .. } if found == FORMAT + 1),
            "{error}"
        );
    }
}
