//! Runs the adapter as a process: batches on its input give replies on its output, and invalid input gives
//! one line on standard error that names the place.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"nInstances": 2, "classes": [{"effect": "free", "aimUs": 500000, "group": "all"}],
  "kinds": ["one"], "discovery": "ask", "zone": 0, "unheardOf": {"x": 1},
  "specifics": {"cpuOfKind": [8], "memOfKind": [32], "acceptsCores": 1.0, "memBooking": 1.0},
  "policyLimits": {"maxAttempts": 2, "cancelling": true}, "rules": {"mustAskInUs": 8000000}}"#;

/// A record with this code and these fields, padded with zeros.
fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = vec![code];
    fields
        .iter()
        .for_each(|field| bytes.extend_from_slice(field));
    bytes.resize(56, 0);
    bytes
}

/// A record that selects an instance for the records after it.
fn select(instance: u16) -> Vec<u8> {
    record(29, &[&instance.to_be_bytes()])
}

/// A reference to `count` items of the tail that start at byte `offset`.
fn tail_part(offset: usize, count: usize) -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&(offset as u32).to_be_bytes());
    bytes[4..].copy_from_slice(&(count as u32).to_be_bytes());
    bytes
}

/// A record that starts an instance with settings at the start of the tail.
fn init(settings: &str) -> Vec<u8> {
    record(16, &[&7u64.to_be_bytes(), &tail_part(0, settings.len())])
}

/// A batch: header, records and tail.
fn batch(clock: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = [records.concat(), tail.to_vec()].concat();
    let mut bytes = clock.to_be_bytes().to_vec();
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// The entry of a ready machine with the address 10.0.0.`host`, in a machine list.
fn machine_entry(host: u8) -> Vec<u8> {
    let mut bytes = vec![10, 0, 0, host, 0x23, 0x28];
    bytes.extend([0, 0, 0, 0, 0, 0, 1]);
    bytes.resize(33, 0);
    bytes
}

/// A record of the arrival of a request.
fn arrival(request: u64) -> Vec<u8> {
    let (class, grace) = ([0; 4], 4_000_000u32.to_be_bytes());
    let size = [1.0f32.to_be_bytes(), 2.0f32.to_be_bytes()].concat();
    record(
        18,
        &[
            &request.to_be_bytes(),
            &class,
            &[9; 8],
            &grace,
            &[0; 4],
            &[5; 8],
            &size,
        ],
    )
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_reedring-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write fails if the adapter reports an error before it has read all input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

/// The codes of the actions in the replies.
fn codes(mut output: &[u8]) -> Vec<u8> {
    let mut codes = Vec::new();
    while !output.is_empty() {
        let number =
            |at: usize| u32::from_be_bytes(output[at..at + 4].try_into().unwrap()) as usize;
        let (count, length) = (number(0), number(4));
        codes.extend((0..count).map(|n| output[8 + n * 24]));
        output = &output[8 + length..];
    }
    codes
}

/// Runs the adapter on invalid input, and checks that it fails with one line that contains all `words`.
fn assert_error(input: &[u8], words: &[&str]) {
    let output = run(input);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && output.status.code().is_some(),
        "{text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(
        words.iter().all(|word| text.contains(word)) && !text.contains("panic"),
        "{text}"
    );
}

#[test]
fn a_task_is_offered_to_the_listed_machine() {
    let list = record(28, &[&3u16.to_be_bytes(), &tail_part(SETTINGS.len(), 1)]);
    let update = record(17, &[&[2], &[0; 8], &3u16.to_be_bytes()]);
    let tail = [SETTINGS.as_bytes(), &machine_entry(4)].concat();
    let records = [select(1), init(SETTINGS), list, update, arrival(44)];
    let output = run(&[batch(5, &[], &[]), batch(1_000_000, &records, &tail)].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    let codes = codes(&output.stdout);
    assert_eq!(codes[0], 89);
    assert!(
        codes.contains(&92) && codes.contains(&93),
        "expected codes 92 (watch) and 93 (offer): {codes:?}"
    );
    let offer = [
        vec![93],
        44u64.to_be_bytes().to_vec(),
        vec![10, 0, 0, 4, 0x23, 0x28],
    ]
    .concat();
    assert!(
        output
            .stdout
            .windows(offer.len())
            .any(|window| window == offer)
    );
}

#[test]
fn an_update_uses_the_list_that_last_had_its_number_before_it() {
    let list = |offset: usize| record(28, &[&[0, 0], &tail_part(offset, 1)]);
    let update = record(17, &[&[2], &[0; 8], &[0, 0]]);
    let tail = [SETTINGS.as_bytes(), &machine_entry(4), &machine_entry(5)].concat();
    let (first, second) = (list(SETTINGS.len()), list(SETTINGS.len() + 33));
    let records = [
        select(1),
        init(SETTINGS),
        first,
        update,
        second,
        arrival(44),
    ];
    let output = run(&batch(1_000_000, &records, &tail));
    let offer = [44u64.to_be_bytes().to_vec(), vec![10, 0, 0, 4]].concat();
    assert!(
        output
            .stdout
            .windows(offer.len())
            .any(|window| window == offer)
    );
}

#[test]
fn two_instances_with_the_same_input_give_the_same_actions_as_one_alone() {
    let list = record(28, &[&[0, 0], &tail_part(SETTINGS.len(), 1)]);
    let update = record(17, &[&[2], &[0; 8], &[0, 0]]);
    let tail = [SETTINGS.as_bytes(), &machine_entry(4)].concat();
    let one = |n: u16| {
        vec![
            select(n),
            init(SETTINGS),
            list.clone(),
            update.clone(),
            arrival(44),
        ]
    };
    let alone = run(&batch(9, &one(1), &tail)).stdout;
    let both = run(&batch(9, &[one(1), one(2)].concat(), &tail)).stdout;
    let actions = codes(&alone);
    assert_eq!(codes(&both), [actions.clone(), actions].concat());
}

#[test]
fn input_that_ends_between_batches_is_valid() {
    assert!(run(&[]).status.success());
    assert!(run(&batch(1, &[], &[])).status.success());
}

#[test]
fn the_error_about_an_invalid_batch_names_the_record_and_the_field() {
    let complete = batch(1, &[select(1), init(SETTINGS)], SETTINGS.as_bytes());
    assert_error(&complete[..9], &["header"]);
    assert_error(&complete[..40], &["records", "truncated"]);
    assert_error(
        &batch(1, &[record(200, &[])], &[]),
        &["record 0", "code", "200"],
    );
    assert_error(
        &batch(1, &[select(1), init(SETTINGS)], b"{}"),
        &["record 1", "settings", "tail"],
    );
    assert_error(
        &batch(1, &[select(3), arrival(1)], &[]),
        &["record 1", "instance 3"],
    );
    assert_error(&batch(1, &[arrival(1)], &[]), &["record 0", "placer"]);
    let mut short = batch(1, &[select(1)], &[]);
    short[15] = 9;
    assert_error(&short, &["record count"]);
    let update = record(17, &[&[1], &[0; 8], &[0, 6]]);
    let records = [select(1), init(SETTINGS), update];
    assert_error(
        &batch(1, &records, SETTINGS.as_bytes()),
        &["record 2", "ref", "6"],
    );
    let outcome = record(20, &[&[0; 8], &999u16.to_be_bytes()]);
    assert_error(&batch(1, &[select(1), outcome], &[]), &["rc", "999"]);
}

#[test]
fn the_error_about_invalid_settings_names_the_record_and_the_key() {
    for (settings, word) in [
        ("not json".to_owned(), "settings"),
        (SETTINGS.replace("nInstances", "other"), "nInstances"),
        (SETTINGS.replace("aimUs", "other"), "aimUs"),
        (SETTINGS.replace("\"free\"", "\"odd\""), "odd"),
    ] {
        let input = batch(1, &[select(1), init(&settings)], settings.as_bytes());
        assert_error(&input, &["record 1", "settings", word]);
    }
}
