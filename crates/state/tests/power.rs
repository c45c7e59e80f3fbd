//! The files of a placer's state under power cuts, failing disks and damaged bytes.

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring::{Belief, MachineId};
use reedring_state::*;

fn job(index: u64, phase: Phase) -> Box<Job> {
    Box::new(Job {
        session: 1,
        call: 1,
        index,
        key: index,
        phase,
        outcome: None,
        again: false,
        may_have_run: false,
        submitted: 5,
        placed: None,
        started: None,
        ended: None,
        tries: 0,
        node: None,
        attempts: Vec::new(),
        broken: None,
    })
}

fn ask() -> Ask {
    let text = str::to_owned;
    let (spec, class, tenant, service) = (text("{}"), text("play"), text("radio"), text("svc"));
    Ask {
        spec,
        class,
        tenant,
        service,
        cores: 1.0,
        memory: 2.0,
        life_us: None,
    }
}

/// A small run: a session, three jobs that go their ways, a drain, a cold offer, things forgotten.
fn run() -> Vec<Batch> {
    let ended = || Phase::Ended(Ending::aborted("refused: no room"));
    let session = Session {
        name: "s".to_owned(),
        settled: 0,
    };
    let submission = Answer::Submission {
        first: 1,
        last: 3,
        step: 1,
    };
    let changes = vec![
        vec![Change::Life(7)],
        vec![Change::Session(1, Some(session))],
        vec![
            Change::Ask(1, 1, Some(ask())),
            Change::Job(1, Some(job(1, Phase::Asked { until: 9 }))),
            Change::Job(2, Some(job(2, Phase::Held))),
            Change::Job(3, Some(job(3, Phase::Delayed { until: 8 }))),
            Change::Call(1, 1, submission),
        ],
        vec![
            Change::Cold("n".to_owned()),
            Change::Cold("n".to_owned()),
            Change::Job(1, Some(job(1, ended()))),
        ],
        vec![
            Change::Drained("n".to_owned(), true),
            Change::Job(2, Some(job(2, ended()))),
        ],
        vec![
            Change::Job(1, None),
            Change::Call(1, 2, Answer::Told("{}".to_owned())),
        ],
        vec![
            Change::Settled(1, 2),
            Change::Drained("n".to_owned(), false),
        ],
        vec![
            Change::Job(2, None),
            Change::Job(3, None),
            Change::Ask(1, 1, None),
        ],
    ];
    let batch = |(n, changes)| Batch {
        seq: n as u64 + 1,
        at: 100 + n as u64,
        changes,
    };
    changes.into_iter().enumerate().map(batch).collect()
}

fn learned(n: u64) -> BeliefSnapshot {
    let belief = Belief {
        machine: MachineId(1),
        strikes: n as u32,
        ..Belief::default()
    };
    let nodes = vec![NodeBeliefs {
        node: "n".to_owned(),
        life: Some(1),
        belief,
    }];
    BeliefSnapshot {
        at: n,
        nodes,
        answers: vec![n; 64],
        arrivals: Vec::new(),
        ratio: None,
    }
}

/// The image after each number of batches, by a store that nothing happens to.
fn images() -> Vec<Image> {
    let mut images = Vec::new();
    for count in 0..=run().len() {
        let folder = SimFolder::default();
        let mut keeper = LedgerWriter::open(folder.clone(), "p").unwrap().keeper;
        for batch in run().into_iter().take(count) {
            keeper.write([batch]).unwrap();
        }
        keeper.close();
        let image = LedgerWriter::open(folder, "p").unwrap().image;
        assert_eq!(image.check(), Vec::<String>::new());
        images.push(image);
    }
    images
}

/// Runs until the power goes out; how many batches, and which learned file, were said to be durable.
fn until_cut(folder: &SimFolder) -> (usize, Option<u64>) {
    let (mut durable, mut kept) = (0, None);
    let Ok(OpenedLedger { mut keeper, .. }) = LedgerWriter::open(folder.clone(), "p") else {
        return (0, None);
    };
    for batch in run() {
        let seq = batch.seq;
        match keeper.write([batch]) {
            Ok(seq) => durable = seq as usize,
            Err(_) => return (durable, kept),
        }
        if keeper.learn(&learned(seq)).is_ok() {
            kept = Some(seq);
        }
    }
    keeper.close();
    (durable, kept)
}

#[test]
fn at_every_crash_point_a_prefix_is_found_that_holds_all_that_was_durable() {
    let images = images();
    let whole = SimFolder::default();
    until_cut(&whole);
    let mut draw = Pcg32::new(1, 1);
    for step in 0..whole.steps() {
        let folder = SimFolder::default();
        folder.cut_at(step);
        let (durable, kept) = until_cut(&folder);
        for _ in 0..3 {
            let after = folder.power_on(|| draw.next_u32());
            let opened = LedgerWriter::open(after.clone(), "p")
                .unwrap_or_else(|error| panic!("step {step}: {error}"));
            let found = images
                .iter()
                .position(|image| image.lives == opened.image.lives);
            let found = found.unwrap_or_else(|| panic!("step {step}: {:?}", opened.image));
            assert_eq!(opened.image, images[found], "step {step}");
            assert!(
                found >= durable,
                "step {step}: {durable} were durable, {found} are there"
            );
            // The last file said to be kept, or a newer one, whole.
            let learned_at = opened.learned.as_ref().map(|learned| learned.at);
            assert!(
                learned_at >= kept,
                "step {step}: {kept:?} was kept, {learned_at:?} is there"
            );
            assert!(
                opened
                    .learned
                    .is_none_or(|found| found == learned(found.at)),
                "step {step}"
            );
            // Whoever opened it can go on.
            let mut keeper = opened.keeper;
            keeper
                .write([Batch {
                    seq: 1,
                    at: 999,
                    changes: vec![Change::Life(8)],
                }])
                .unwrap();
            keeper.close();
            assert_eq!(LedgerWriter::open(after, "p").unwrap().image.last_life(), 8);
        }
    }
}

#[test]
fn a_disk_that_fails_a_sync_and_then_reports_success_loses_nothing_that_was_told() {
    let folder = SimFolder::default();
    let mut keeper = LedgerWriter::open(folder.clone(), "p").unwrap().keeper;
    let mut batches = run().into_iter();
    keeper.write(batches.next()).unwrap();
    folder.fail_sync();
    let lost = keeper.write(batches.next()).unwrap_err();
    assert!(
        lost.marked && lost.why.contains("the disk failed"),
        "{lost:?}"
    );
    assert!(
        keeper.write(batches.next()).is_err(),
        "nothing is durable until all is written anew"
    );
    let mut draw = Pcg32::new(2, 1);
    for _ in 0..20 {
        let found = LedgerWriter::open(folder.power_on(|| draw.next_u32()), "p")
            .unwrap()
            .image;
        assert!(
            found.holes && !found.covers(7),
            "a life whose promises may be missing covers nothing"
        );
    }
    keeper.begin_anew().unwrap();
    let all = run()
        .into_iter()
        .take(4)
        .flat_map(|batch| batch.changes)
        .collect();
    assert_eq!(
        keeper.write_whole(Batch {
            seq: 4,
            at: 103,
            changes: all
        }),
        Ok(4)
    );
    for _ in 0..20 {
        let found = LedgerWriter::open(folder.power_on(|| draw.next_u32()), "p")
            .unwrap()
            .image;
        assert_eq!(
            (found.holes, found.jobs.len(), found.covers(7)),
            (false, 3, true)
        );
    }
}

#[test]
fn a_full_disk_and_a_read_only_folder_are_told_and_a_full_one_can_still_be_marked() {
    let folder = SimFolder::default();
    let mut keeper = LedgerWriter::open(folder.clone(), "p").unwrap().keeper;
    keeper
        .write([Batch {
            seq: 1,
            at: 1,
            changes: vec![Change::Life(7)],
        }])
        .unwrap();
    folder.full(true);
    let many = (1..20_000)
        .map(|n| Change::Job(n, Some(job(n, Phase::Held))))
        .collect();
    let lost = keeper
        .write([Batch {
            seq: 2,
            at: 2,
            changes: many,
        }])
        .unwrap_err();
    assert!(lost.marked, "{lost:?}");
    assert!(keeper.begin_anew().is_err());
    folder.full(false);
    keeper.begin_anew().unwrap();
    keeper
        .write_whole(Batch {
            seq: 3,
            at: 3,
            changes: vec![Change::Life(7)],
        })
        .unwrap();
    folder.read_only(true);
    let lost = keeper
        .write([Batch {
            seq: 4,
            at: 4,
            changes: vec![Change::Life(7)],
        }])
        .unwrap_err();
    assert!(!lost.marked, "{lost:?}");
}

#[test]
fn flipped_bytes_of_a_ledger_are_found_or_harm_nothing() {
    // Every byte of the header and its neighbours, and a part of the rest: each opening checks all pages.
    flip(|at| at < 640 || at % 53 == 0);
}

#[test]
#[ignore = "some minutes: every byte that is not zero"]
fn each_flipped_byte_of_a_ledger_is_found_or_harms_nothing() {
    flip(|_| true);
}

fn flip(which: impl Fn(usize) -> bool) {
    let folder = SimFolder::default();
    let mut keeper = LedgerWriter::open(folder.clone(), "p").unwrap().keeper;
    keeper.write(run().into_iter().take(4)).unwrap();
    keeper.close();
    let whole = LedgerWriter::open(folder.clone(), "p").unwrap().image;
    let bytes = Folder::read(&folder, "ledger").unwrap().unwrap();
    let used: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != 0).collect();
    let (mut found, mut harmless) = (0, 0);
    for at in used.iter().filter(|at| which(**at)) {
        let spoilt = folder.power_on(|| 0);
        spoilt.spoil("ledger", |bytes| bytes[*at] ^= 0x10);
        match LedgerWriter::open(spoilt.clone(), "p") {
            Ok(opened) => {
                assert_eq!(opened.image, whole, "byte {at}");
                harmless += 1;
            }
            Err(error) => {
                assert!(error.to_string().contains("ledger"), "{error}");
                let left = Folder::read(&spoilt, "ledger").unwrap().unwrap();
                assert_eq!(left.len(), bytes.len(), "what can't be read stays");
                found += 1;
            }
        }
    }
    assert!(found > 100, "{found} found, {harmless} harmless");
}

#[test]
fn empty_foreign_and_newer_files_are_refused_and_left_as_they_are() {
    let folder = SimFolder::default();
    LedgerWriter::open(folder.clone(), "p")
        .unwrap()
        .keeper
        .close();
    let error = LedgerWriter::open(folder.clone(), "q").unwrap_err();
    assert!(
        matches!(error, StoreError::Foreign { .. }) && error.to_string().contains("placer `p`"),
        "{error}"
    );
    let cut = folder.power_on(|| 0);
    cut.spoil("ledger", |bytes| bytes.truncate(700));
    assert!(matches!(
        LedgerWriter::open(cut, "p").unwrap_err(),
        StoreError::Damaged { .. }
    ));
    let empty = folder.power_on(|| 0);
    empty.spoil("ledger", Vec::clear);
    assert!(
        LedgerWriter::open(empty, "p")
            .unwrap_err()
            .to_string()
            .contains("it is empty")
    );
    // A learned file of a newer program is passed by, and stays.
    let mut newer = learned(1).encode("p");
    newer[8] = 200;
    let end = newer.len() - 4;
    let sum = crc32c::crc32c(&newer[..end]).to_le_bytes();
    newer[end..].copy_from_slice(&sum);
    Folder::write(&folder, "learned", &newer).unwrap();
    let opened = LedgerWriter::open(folder.clone(), "p").unwrap();
    assert!(opened.learned.is_none() && opened.passed_by[0].is_newer());
    opened.keeper.learn(&learned(2)).unwrap();
    assert_eq!(Folder::read(&folder, "learned").unwrap().unwrap(), newer);
}

/// A ledger as format 1 wrote it, before offers to cold nodes were counted.
fn sample() -> SimFolder {
    let folder = SimFolder::default();
    Folder::write(&folder, "mark", b"reedring: whole\n").unwrap();
    Folder::write(&folder, "ledger", include_bytes!("samples/ledger-1")).unwrap();
    for name in ["mark", "ledger"] {
        folder.sync(name).unwrap();
    }
    folder.sync_names().unwrap();
    folder
}

#[test]
fn an_older_ledger_is_migrated_with_all_its_rows_and_frees_no_budget() {
    let opened = LedgerWriter::open(sample(), "p").unwrap();
    let whole = &images()[4];
    let cold = opened.image.cold.values().map(Vec::len).sum::<usize>();
    assert!(
        cold > 1_000,
        "{cold}: an offer that was not counted stands for a whole budget"
    );
    assert_eq!(
        Image {
            cold: whole.cold.clone(),
            ..opened.image
        },
        *whole
    );
}

#[test]
fn a_migration_that_is_cut_anywhere_is_made_again() {
    let folder = sample();
    let before = folder.steps();
    LedgerWriter::open(folder.clone(), "p")
        .unwrap()
        .keeper
        .close();
    let mut draw = Pcg32::new(3, 1);
    for step in before..folder.steps() {
        let folder = sample();
        folder.cut_at(step);
        if let Ok(opened) = LedgerWriter::open(folder.clone(), "p") {
            opened.keeper.close();
        }
        for _ in 0..4 {
            let opened = LedgerWriter::open(folder.power_on(|| draw.next_u32()), "p").unwrap();
            assert_eq!(opened.image.jobs, images()[4].jobs, "step {step}");
        }
    }
}

#[test]
fn a_second_placer_on_a_folder_is_told_so() {
    let dir = tempfile::tempdir().unwrap();
    let first = Disk::lock(dir.path()).unwrap();
    let error = Disk::lock(dir.path()).unwrap_err();
    assert!(matches!(error, LockError::Taken { .. }), "{error}");
    drop(first);
    Disk::lock(dir.path()).unwrap();
}
