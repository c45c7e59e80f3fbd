//! Tests of the state folder under power cuts, disk errors and damaged files. Batches that were reported as durable must
//! be found after a restart, and a file that can't be read must be reported and left unchanged.

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring::{Belief, MachineId};
use reedring_state::*;

fn job(index: u64, phase: Phase) -> Box<Job> {
    Box::new(Job {
        session: 1,
        call: 1,
        index,
        idempotency_key: index,
        phase,
        outcome: None,
        lost_before: false,
        may_have_run: false,
        submitted_at: 5,
        placed_at: None,
        started_at: None,
        ended_at: None,
        attempt_count: 0,
        last_node: None,
        open_attempts: Vec::new(),
        violated_clauses: None,
    })
}

fn template() -> JobTemplate {
    let text = str::to_owned;
    let (template_json, class, tenant, service) =
        (text("{}"), text("play"), text("radio"), text("svc"));
    JobTemplate {
        template_json,
        class,
        tenant,
        service,
        cores: 1.0,
        memory: 2.0,
        run_time_us: None,
    }
}

/// The batches of a short run of a placer: a session, three jobs in different phases, a drain, offers to a node that is
/// warming up, and deleted rows.
fn sample_batches() -> Vec<Batch> {
    let ended = || Phase::Ended(Ending::aborted("refused: no room"));
    let session = Session {
        name: "s".to_owned(),
        deleted_below: 0,
    };
    let submission = StoredResponse::Submission {
        first: 1,
        last: 3,
        step: 1,
    };
    let changes = vec![
        vec![Change::IncarnationStarted(7)],
        vec![Change::Session(1, Some(session))],
        vec![
            Change::Template(1, 1, Some(template())),
            Change::Job(1, Some(job(1, Phase::Pending { deadline: 9 }))),
            Change::Job(2, Some(job(2, Phase::Held))),
            Change::Job(3, Some(job(3, Phase::Delayed { until: 8 }))),
            Change::Call(1, 1, submission),
        ],
        vec![
            Change::WarmUpOffer("n".to_owned()),
            Change::WarmUpOffer("n".to_owned()),
            Change::Job(1, Some(job(1, ended()))),
        ],
        vec![
            Change::Drain {
                node: "n".to_owned(),
                draining: true,
            },
            Change::Job(2, Some(job(2, ended()))),
        ],
        vec![
            Change::Job(1, None),
            Change::Call(1, 2, StoredResponse::Json("{}".to_owned())),
        ],
        vec![
            Change::CallsDeletedBelow(1, 2),
            Change::Drain {
                node: "n".to_owned(),
                draining: false,
            },
        ],
        vec![
            Change::Job(2, None),
            Change::Job(3, None),
            Change::Template(1, 1, None),
        ],
    ];
    let batch = |(n, changes)| Batch {
        sequence: BatchSequence(n as u64 + 1),
        at: 100 + n as u64,
        changes,
    };
    changes.into_iter().enumerate().map(batch).collect()
}

/// A belief file that can be recognized by `n`, which is also its time of saving.
fn sample_beliefs(n: u64) -> BeliefSnapshot {
    let belief = Belief {
        machine: MachineId(1),
        consecutive_failures: n as u32,
        ..Belief::default()
    };
    let nodes = vec![NodeBeliefs {
        node: "n".to_owned(),
        incarnation: Some(1),
        belief,
    }];
    BeliefSnapshot {
        saved_at: n,
        nodes,
        answer_times: vec![n; 64],
        arrivals: Vec::new(),
        use_ratio: None,
    }
}

/// The rows after each number of batches, written without any fault.
fn expected_snapshots() -> Vec<LedgerSnapshot> {
    let mut snapshots = Vec::new();
    for count in 0..=sample_batches().len() {
        let folder = SimFolder::default();
        let mut writer = LedgerWriter::open(folder.clone(), "p").unwrap().writer;
        for batch in sample_batches().into_iter().take(count) {
            writer.write([batch]).unwrap();
        }
        writer.close();
        let snapshot = LedgerWriter::open(folder, "p").unwrap().snapshot;
        assert_eq!(snapshot.violations(), []);
        snapshots.push(snapshot);
    }
    snapshots
}

/// State that was reported as durable before the power was cut.
#[derive(Default)]
struct Reported {
    /// Number of batches.
    batches: usize,
    /// Time of the last belief file that was saved.
    beliefs_saved_at: Option<u64>,
}

/// Writes the batches of [`sample_batches`], and a belief file after each, until the power is cut.
fn run_until_cut(folder: &SimFolder) -> Reported {
    let mut reported = Reported::default();
    let Ok(OpenedLedger { mut writer, .. }) = LedgerWriter::open(folder.clone(), "p") else {
        return reported;
    };
    for batch in sample_batches() {
        let sequence = batch.sequence;
        match writer.write([batch]) {
            Ok(durable_through) => reported.batches = durable_through.0 as usize,
            Err(_) => return reported,
        }
        if writer.save_beliefs(&sample_beliefs(sequence.0)).is_ok() {
            reported.beliefs_saved_at = Some(sequence.0);
        }
    }
    writer.close();
    reported
}

#[test]
fn after_a_power_cut_at_any_operation_a_prefix_with_every_durable_batch_is_found() {
    let snapshots = expected_snapshots();
    let without_cut = SimFolder::default();
    run_until_cut(&without_cut);
    let mut draw = Pcg32::new(1, 1);
    for step in 0..without_cut.operation_count() {
        let folder = SimFolder::default();
        folder.cut_power_after(step);
        let reported = run_until_cut(&folder);
        for _ in 0..3 {
            let after = folder.after_power_cut(|| draw.next_u32());
            let opened = LedgerWriter::open(after.clone(), "p")
                .unwrap_or_else(|error| panic!("step {step}: {error}"));
            let found = snapshots
                .iter()
                .position(|snapshot| snapshot.incarnations == opened.snapshot.incarnations);
            let found = found.unwrap_or_else(|| panic!("step {step}: {:?}", opened.snapshot));
            assert_eq!(opened.snapshot, snapshots[found], "step {step}");
            assert!(
                found >= reported.batches,
                "step {step}: {} batches were reported as durable, {found} were found",
                reported.batches
            );
            // The belief file that was last reported as saved, or a newer one, is found and complete.
            let found_saved_at = opened.beliefs.as_ref().map(|beliefs| beliefs.saved_at);
            assert!(
                found_saved_at >= reported.beliefs_saved_at,
                "step {step}: beliefs of {:?} were reported as saved, those of {found_saved_at:?} were found",
                reported.beliefs_saved_at
            );
            assert!(
                opened
                    .beliefs
                    .is_none_or(|found| found == sample_beliefs(found.saved_at)),
                "step {step}"
            );
            // The next incarnation can write to the ledger.
            let mut writer = opened.writer;
            writer
                .write([Batch {
                    sequence: BatchSequence(1),
                    at: 999,
                    changes: vec![Change::IncarnationStarted(8)],
                }])
                .unwrap();
            writer.close();
            assert_eq!(
                LedgerWriter::open(after, "p")
                    .unwrap()
                    .snapshot
                    .last_incarnation(),
                8
            );
        }
    }
}

#[test]
fn no_reported_batch_is_lost_when_a_sync_fails_and_later_syncs_report_success() {
    let folder = SimFolder::default();
    let mut writer = LedgerWriter::open(folder.clone(), "p").unwrap().writer;
    let mut batches = sample_batches().into_iter();
    writer.write(batches.next()).unwrap();
    folder.fail_next_sync();
    let error = writer.write(batches.next()).unwrap_err();
    assert!(
        error.marked_incomplete && error.reason.contains("the disk failed"),
        "{error:?}"
    );
    assert!(
        writer.write(batches.next()).is_err(),
        "every write fails until the ledger is replaced"
    );
    let mut draw = Pcg32::new(2, 1);
    for _ in 0..20 {
        let found = LedgerWriter::open(folder.after_power_cut(|| draw.next_u32()), "p")
            .unwrap()
            .snapshot;
        assert!(
            found.incomplete && !found.is_complete_for(7),
            "the ledger and its last incarnation must count as incomplete"
        );
    }
    writer.prepare_replacement().unwrap();
    let every_row = sample_batches()
        .into_iter()
        .take(4)
        .flat_map(|batch| batch.changes)
        .collect();
    assert_eq!(
        writer.write_replacement(Batch {
            sequence: BatchSequence(4),
            at: 103,
            changes: every_row
        }),
        Ok(BatchSequence(4))
    );
    for _ in 0..20 {
        let found = LedgerWriter::open(folder.after_power_cut(|| draw.next_u32()), "p")
            .unwrap()
            .snapshot;
        assert_eq!(
            (found.incomplete, found.jobs.len(), found.is_complete_for(7)),
            (false, 3, true)
        );
    }
}

#[test]
fn writes_to_a_full_or_read_only_disk_fail_and_only_a_full_one_can_be_marked_incomplete() {
    let folder = SimFolder::default();
    let mut writer = LedgerWriter::open(folder.clone(), "p").unwrap().writer;
    writer
        .write([Batch {
            sequence: BatchSequence(1),
            at: 1,
            changes: vec![Change::IncarnationStarted(7)],
        }])
        .unwrap();
    folder.set_full(true);
    let many_jobs = (1..20_000)
        .map(|n| Change::Job(n, Some(job(n, Phase::Held))))
        .collect();
    let error = writer
        .write([Batch {
            sequence: BatchSequence(2),
            at: 2,
            changes: many_jobs,
        }])
        .unwrap_err();
    assert!(error.marked_incomplete, "{error:?}");
    assert!(writer.prepare_replacement().is_err());
    folder.set_full(false);
    writer.prepare_replacement().unwrap();
    writer
        .write_replacement(Batch {
            sequence: BatchSequence(3),
            at: 3,
            changes: vec![Change::IncarnationStarted(7)],
        })
        .unwrap();
    folder.set_read_only(true);
    let error = writer
        .write([Batch {
            sequence: BatchSequence(4),
            at: 4,
            changes: vec![Change::IncarnationStarted(7)],
        }])
        .unwrap_err();
    assert!(!error.marked_incomplete, "{error:?}");
}

#[test]
fn damaged_bytes_of_a_ledger_are_detected_or_change_no_row() {
    // Covers the bytes of the header and those after it, and a sample of the rest: opening checks all pages each time,
    // which takes too long for every byte.
    damage_bytes(|at| at < 640 || at % 53 == 0);
}

#[test]
#[ignore = "takes some minutes: damages every byte that is not zero"]
fn every_damaged_byte_of_a_ledger_is_detected_or_changes_no_row() {
    damage_bytes(|_| true);
}

/// Damages one byte of a ledger at a time, of those that aren't zero and for which `selected` returns true. Opening the
/// damaged ledger must fail and leave the file as long as it was, or return the undamaged rows.
fn damage_bytes(selected: impl Fn(usize) -> bool) {
    let folder = SimFolder::default();
    let mut writer = LedgerWriter::open(folder.clone(), "p").unwrap().writer;
    writer.write(sample_batches().into_iter().take(4)).unwrap();
    writer.close();
    let undamaged = LedgerWriter::open(folder.clone(), "p").unwrap().snapshot;
    let bytes = Folder::read(&folder, "ledger").unwrap().unwrap();
    let used: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != 0).collect();
    let (mut detected, mut harmless) = (0, 0);
    for at in used.iter().filter(|at| selected(**at)) {
        let damaged = folder.after_power_cut(|| 0);
        damaged.corrupt("ledger", |bytes| bytes[*at] ^= 0x10);
        match LedgerWriter::open(damaged.clone(), "p") {
            Ok(opened) => {
                assert_eq!(opened.snapshot, undamaged, "byte {at}");
                harmless += 1;
            }
            Err(error) => {
                assert!(error.to_string().contains("ledger"), "{error}");
                let left = Folder::read(&damaged, "ledger").unwrap().unwrap();
                assert_eq!(
                    left.len(),
                    bytes.len(),
                    "the length of a file that can't be read changed"
                );
                detected += 1;
            }
        }
    }
    assert!(detected > 100, "{detected} detected, {harmless} harmless");
}

#[test]
fn opening_another_placers_or_a_damaged_ledger_fails_and_a_newer_belief_file_is_left_unchanged() {
    let folder = SimFolder::default();
    LedgerWriter::open(folder.clone(), "p")
        .unwrap()
        .writer
        .close();
    let error = LedgerWriter::open(folder.clone(), "q").unwrap_err();
    assert!(
        matches!(error, StoreError::OtherPlacer { .. }) && error.to_string().contains("placer `p`"),
        "{error}"
    );
    let truncated = folder.after_power_cut(|| 0);
    truncated.corrupt("ledger", |bytes| bytes.truncate(700));
    assert!(matches!(
        LedgerWriter::open(truncated, "p").unwrap_err(),
        StoreError::Damaged { .. }
    ));
    let empty = folder.after_power_cut(|| 0);
    empty.corrupt("ledger", Vec::clear);
    assert!(
        LedgerWriter::open(empty, "p")
            .unwrap_err()
            .to_string()
            .contains("it is empty")
    );
    // A belief file of a newer program is skipped when it is read, and not replaced when beliefs are saved.
    let mut newer = sample_beliefs(1).encode("p");
    newer[8] = 200;
    let end = newer.len() - 4;
    let checksum = crc32c::crc32c(&newer[..end]).to_le_bytes();
    newer[end..].copy_from_slice(&checksum);
    Folder::write(&folder, "learned", &newer).unwrap();
    let opened = LedgerWriter::open(folder.clone(), "p").unwrap();
    assert!(opened.beliefs.is_none() && opened.skipped_belief_files[0].is_newer());
    opened.writer.save_beliefs(&sample_beliefs(2)).unwrap();
    assert_eq!(Folder::read(&folder, "learned").unwrap().unwrap(), newer);
}

/// A folder with a ledger of format 1, which stored no counts of the offers to nodes that were warming up.
fn folder_with_format_1() -> SimFolder {
    let folder = SimFolder::default();
    Folder::write(&folder, "mark", b"reedring: whole\n").unwrap();
    Folder::write(&folder, "ledger", include_bytes!("samples/ledger-1")).unwrap();
    for name in ["mark", "ledger"] {
        folder.sync(name).unwrap();
    }
    folder.sync_directory().unwrap();
    folder
}

#[test]
fn a_ledger_of_format_1_is_migrated_with_all_rows_and_the_greatest_offer_count() {
    let opened = LedgerWriter::open(folder_with_format_1(), "p").unwrap();
    let expected = &expected_snapshots()[4];
    let warm_up_offer_count = opened
        .snapshot
        .warm_up_offers
        .values()
        .map(Vec::len)
        .sum::<usize>();
    assert!(
        warm_up_offer_count > 1_000,
        "{warm_up_offer_count} offers: a time without a count must count as more offers than any node's budget"
    );
    assert_eq!(
        LedgerSnapshot {
            warm_up_offers: expected.warm_up_offers.clone(),
            ..opened.snapshot
        },
        *expected
    );
}

#[test]
fn a_migration_that_a_power_cut_interrupts_is_repeated_without_losing_jobs() {
    let folder = folder_with_format_1();
    let before = folder.operation_count();
    LedgerWriter::open(folder.clone(), "p")
        .unwrap()
        .writer
        .close();
    let mut draw = Pcg32::new(3, 1);
    for step in before..folder.operation_count() {
        let folder = folder_with_format_1();
        folder.cut_power_after(step);
        if let Ok(opened) = LedgerWriter::open(folder.clone(), "p") {
            opened.writer.close();
        }
        for _ in 0..4 {
            let opened =
                LedgerWriter::open(folder.after_power_cut(|| draw.next_u32()), "p").unwrap();
            assert_eq!(
                opened.snapshot.jobs,
                expected_snapshots()[4].jobs,
                "step {step}"
            );
        }
    }
}

#[test]
fn a_folder_can_be_locked_only_once_at_a_time() {
    let dir = tempfile::tempdir().unwrap();
    let first = Disk::lock(dir.path()).unwrap();
    let error = Disk::lock(dir.path()).unwrap_err();
    assert!(matches!(error, LockError::InUse { .. }), "{error}");
    drop(first);
    Disk::lock(dir.path()).unwrap();
}
