//! A state folder and a belief file that were written at commit 073fcce, read and written again.
//!
//! `golden/` holds the files of the folder, its export as JSON (`reedring state export`) and its rows as text:
//! table, key and the stored bytes in hexadecimal. Nothing here writes these files anew.
//! A ledger of format 1 and its migration are tested in `power.rs`.

use std::fmt::Write as _;

use redb::{Database, Key, ReadableDatabase, ReadableTable, TableDefinition, Value};
use reedring_state::*;

const LEDGER: &[u8] = include_bytes!("golden/ledger");
const MARK: &[u8] = include_bytes!("golden/mark");
const BELIEFS: &[u8] = include_bytes!("golden/learned");
const EXPORT: &str = include_str!("golden/export.json");
const ROWS: &str = include_str!("golden/rows.txt");
const PLACER: &str = "placer-1";

/// The folder of 073fcce, in memory.
fn golden_folder() -> SimFolder {
    let folder = SimFolder::default();
    Folder::write(&folder, "mark", MARK).unwrap();
    Folder::write(&folder, "ledger", LEDGER).unwrap();
    Folder::write(&folder, "learned", BELIEFS).unwrap();
    for name in ["mark", "ledger", "learned"] {
        folder.sync(name).unwrap();
    }
    folder.sync_names().unwrap();
    folder
}

/// The stored rows of one table, without any code of the ledger between.
fn table_rows<K: Key + 'static, V: Value + 'static>(
    database: &Database,
    name: &str,
    key: impl Fn(K::SelfType<'_>) -> String,
    out: &mut String,
) {
    let read = database.begin_read().unwrap();
    let table = read.open_table(TableDefinition::<K, V>::new(name)).unwrap();
    for row in table.iter().unwrap() {
        let (row_key, value) = row.unwrap();
        let stored = value.value();
        let bytes = V::as_bytes(&stored);
        let hex: String = bytes
            .as_ref()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        writeln!(out, "{name} {} {hex}", key(row_key.value())).unwrap();
    }
}

/// Every row of a ledger's file.
fn rows(folder: &SimFolder) -> String {
    let data = folder.database("ledger").unwrap();
    let database = redb::Builder::new().create_with_backend(data).unwrap();
    let mut out = String::new();
    let (text, pair) = (
        |key: &str| key.to_owned(),
        |(a, b): (u32, u64)| format!("{a}/{b}"),
    );
    table_rows::<&str, &[u8]>(&database, "meta", text, &mut out);
    table_rows::<u64, u64>(&database, "lives", |key| key.to_string(), &mut out);
    table_rows::<u32, &[u8]>(&database, "sessions", |key| key.to_string(), &mut out);
    table_rows::<(u32, u64), &[u8]>(&database, "calls", pair, &mut out);
    table_rows::<(u32, u64), &[u8]>(&database, "asks", pair, &mut out);
    table_rows::<u64, &[u8]>(&database, "jobs", |key| key.to_string(), &mut out);
    table_rows::<&str, ()>(&database, "drained", text, &mut out);
    table_rows::<(&str, u64), u32>(
        &database,
        "cold counts",
        |(node, at)| format!("{node}/{at}"),
        &mut out,
    );
    table_rows::<u64, &[u8]>(&database, "plans", |key| key.to_string(), &mut out);
    out
}

#[test]
fn the_folder_opens_with_the_same_values() {
    let (export, errors) = Export::read(golden_folder()).unwrap();
    assert_eq!(errors, []);
    assert_eq!(
        serde_json::to_string_pretty(&export).unwrap() + "\n",
        EXPORT
    );
    let read = serde_json::from_str::<Export>(EXPORT).unwrap();
    assert_eq!((read.format, &read.placer), (export.format, &export.placer));
    assert_eq!(
        (&read.ledger, &read.learned),
        (&export.ledger, &export.learned)
    );
    assert_eq!(export.ledger.check(), Vec::<String>::new());
    let opened = LedgerWriter::open(golden_folder(), PLACER).unwrap();
    assert_eq!(
        (&opened.image, &opened.learned),
        (&export.ledger, &export.learned)
    );
    assert_eq!(opened.passed_by, []);
}

#[test]
fn its_rows_are_stored_as_the_same_bytes() {
    assert_eq!(rows(&golden_folder()), ROWS);
    let image = serde_json::from_str::<Export>(EXPORT).unwrap().ledger;
    let folder = SimFolder::default();
    let mut keeper = LedgerWriter::open(folder.clone(), PLACER).unwrap().keeper;
    for link in &image.lives {
        let changes = vec![Change::Life(link.life)];
        keeper
            .write([Batch {
                seq: 1,
                at: link.until,
                changes,
            }])
            .unwrap();
    }
    let last = image.lives.last().copied();
    keeper
        .write(
            Image {
                lives: last.into_iter().collect(),
                ..image
            }
            .batches(),
        )
        .unwrap();
    keeper.close();
    assert_eq!(rows(&folder), ROWS);
    assert_eq!(Folder::read(&folder, "mark").unwrap().unwrap(), MARK);
}

#[test]
fn the_belief_file_is_decoded_and_encoded_to_the_same_bytes() {
    let beliefs = BeliefSnapshot::decode(BELIEFS, "learned", PLACER).unwrap();
    assert_eq!(
        Some(&beliefs),
        serde_json::from_str::<Export>(EXPORT)
            .unwrap()
            .learned
            .as_ref()
    );
    assert_eq!(beliefs.encode(PLACER), BELIEFS);
    let folder = SimFolder::default();
    let keeper = LedgerWriter::open(folder.clone(), PLACER).unwrap().keeper;
    keeper.learn(&beliefs).unwrap();
    assert_eq!(Folder::read(&folder, "learned").unwrap().unwrap(), BELIEFS);
}
