//! Checks that the stored formats stay the same: reads a state folder that an earlier version wrote, and compares what
//! this version writes with its bytes. A renamed or reordered field would make existing state folders unreadable.
//!
//! `golden/` contains the files of the folder, its export as JSON (`reedring state export`) and its rows as text:
//! table, key and the stored bytes in hexadecimal. The tests never rewrite these files.
//! `disk_faults.rs` tests the migration of a ledger of format 1.

use std::fmt::Write as _;

use redb::{Database, Key, ReadableDatabase, ReadableTable, TableDefinition, Value};
use reedring_state::*;

const LEDGER: &[u8] = include_bytes!("golden/ledger");
const MARKER: &[u8] = include_bytes!("golden/mark");
const BELIEFS: &[u8] = include_bytes!("golden/learned");
const EXPORT: &str = include_str!("golden/export.json");
const ROWS: &str = include_str!("golden/rows.txt");
const PLACER: &str = "placer-1";

/// A folder in memory with the golden files.
fn golden_folder() -> SimFolder {
    let folder = SimFolder::default();
    Folder::write(&folder, "mark", MARKER).unwrap();
    Folder::write(&folder, "ledger", LEDGER).unwrap();
    Folder::write(&folder, "learned", BELIEFS).unwrap();
    for name in ["mark", "ledger", "learned"] {
        folder.sync(name).unwrap();
    }
    folder.sync_directory().unwrap();
    folder
}

/// Appends the stored rows of one table to `out`. The table is read from the database directly, without the code of the
/// ledger.
fn append_table_rows<K: Key + 'static, V: Value + 'static>(
    database: &Database,
    name: &str,
    format_key: impl Fn(K::SelfType<'_>) -> String,
    out: &mut String,
) {
    let read = database.begin_read().unwrap();
    let table = read.open_table(TableDefinition::<K, V>::new(name)).unwrap();
    for row in table.iter().unwrap() {
        let (key, value) = row.unwrap();
        let stored = value.value();
        let bytes = V::as_bytes(&stored);
        let hex: String = bytes
            .as_ref()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        writeln!(out, "{name} {} {hex}", format_key(key.value())).unwrap();
    }
}

/// Every stored row of a ledger, as in `golden/rows.txt`.
fn ledger_rows_as_text(folder: &SimFolder) -> String {
    let data = folder.open_database("ledger").unwrap();
    let database = redb::Builder::new().create_with_backend(data).unwrap();
    let mut out = String::new();
    let (text, pair) = (
        |key: &str| key.to_owned(),
        |(a, b): (u32, u64)| format!("{a}/{b}"),
    );
    append_table_rows::<&str, &[u8]>(&database, "meta", text, &mut out);
    append_table_rows::<u64, u64>(&database, "lives", |key| key.to_string(), &mut out);
    append_table_rows::<u32, &[u8]>(&database, "sessions", |key| key.to_string(), &mut out);
    append_table_rows::<(u32, u64), &[u8]>(&database, "calls", pair, &mut out);
    append_table_rows::<(u32, u64), &[u8]>(&database, "asks", pair, &mut out);
    append_table_rows::<u64, &[u8]>(&database, "jobs", |key| key.to_string(), &mut out);
    append_table_rows::<&str, ()>(&database, "drained", text, &mut out);
    append_table_rows::<(&str, u64), u32>(
        &database,
        "cold counts",
        |(node, at)| format!("{node}/{at}"),
        &mut out,
    );
    append_table_rows::<u64, &[u8]>(&database, "plans", |key| key.to_string(), &mut out);
    out
}

#[test]
fn a_stored_folder_is_read_with_the_same_values() {
    let contents = StateExport::read(golden_folder()).unwrap();
    assert_eq!(contents.skipped_belief_files, []);
    let export = contents.export;
    assert_eq!(
        serde_json::to_string_pretty(&export).unwrap() + "\n",
        EXPORT
    );
    let read = serde_json::from_str::<StateExport>(EXPORT).unwrap();
    assert_eq!((read.format, &read.placer), (export.format, &export.placer));
    assert_eq!(
        (&read.ledger, &read.beliefs),
        (&export.ledger, &export.beliefs)
    );
    assert_eq!(export.ledger.violations(), []);
    let opened = LedgerWriter::open(golden_folder(), PLACER).unwrap();
    assert_eq!(
        (&opened.snapshot, &opened.beliefs),
        (&export.ledger, &export.beliefs)
    );
    assert_eq!(opened.skipped_belief_files, []);
}

#[test]
fn rows_are_stored_as_the_same_bytes() {
    assert_eq!(ledger_rows_as_text(&golden_folder()), ROWS);
    let snapshot = serde_json::from_str::<StateExport>(EXPORT).unwrap().ledger;
    let folder = SimFolder::default();
    let mut writer = LedgerWriter::open(folder.clone(), PLACER).unwrap().writer;
    for record in &snapshot.incarnations {
        let changes = vec![Change::IncarnationStarted(record.incarnation)];
        writer
            .write([Batch {
                sequence: BatchSequence(1),
                at: record.last_write_at,
                changes,
            }])
            .unwrap();
    }
    // The import gives all incarnations the same time, so it is used for the last one only.
    let last = snapshot.incarnations.last().copied();
    writer
        .write(
            LedgerSnapshot {
                incarnations: last.into_iter().collect(),
                ..snapshot
            }
            .to_batches(),
        )
        .unwrap();
    writer.close();
    assert_eq!(ledger_rows_as_text(&folder), ROWS);
    assert_eq!(Folder::read(&folder, "mark").unwrap().unwrap(), MARKER);
}

#[test]
fn a_decoded_belief_file_is_encoded_to_the_same_bytes() {
    let beliefs = BeliefSnapshot::decode(BELIEFS, "learned", PLACER).unwrap();
    assert_eq!(
        Some(&beliefs),
        serde_json::from_str::<StateExport>(EXPORT)
            .unwrap()
            .beliefs
            .as_ref()
    );
    assert_eq!(beliefs.encode(PLACER), BELIEFS);
    let folder = SimFolder::default();
    let writer = LedgerWriter::open(folder.clone(), PLACER).unwrap().writer;
    writer.save_beliefs(&beliefs).unwrap();
    assert_eq!(Folder::read(&folder, "learned").unwrap().unwrap(), BELIEFS);
}
