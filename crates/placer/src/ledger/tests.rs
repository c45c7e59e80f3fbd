use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::channel;
use std::time::Instant;

use reedring_core::Input;
use reedring_state::{Batch, BatchSequence, BeliefSnapshot, Change, SimFolder};
use tokio::sync::mpsc;

use super::thread::LedgerCommand;
use super::*;
use crate::inbound::InboundEvent;

const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn no_beliefs() -> Box<BeliefSnapshot> {
    Box::new(BeliefSnapshot {
        saved_at: 1,
        nodes: Vec::new(),
        answer_times: Vec::new(),
        arrivals: Vec::new(),
        use_ratio: None,
    })
}

/// Guards against commands that postpone the retry of a folder: if each command restarted the wait for the retry, the
/// retry would never come while beliefs are saved more often than the retry interval.
#[test]
fn a_folder_is_retried_although_beliefs_are_saved_more_often_than_the_retry_interval() {
    let folder = SimFolder::default();
    let OpenedLedger { writer, .. } = LedgerWriter::open(folder.clone(), "p").unwrap();
    let (commands, queue) = channel();
    let (inbound, mut events) = mpsc::channel(64);
    let ledger = LedgerLoop::new(
        writer,
        queue,
        RETRY_INTERVAL,
        inbound,
        Arc::new(AtomicBool::new(false)),
    );
    std::thread::scope(|scope| {
        scope.spawn(move || ledger.run());
        folder.fail_next_sync();
        let batch = Batch {
            sequence: BatchSequence(1),
            at: 1,
            changes: vec![Change::IncarnationStarted(1)],
        };
        commands.send(LedgerCommand::Append(batch)).unwrap();
        let unavailable = events.blocking_recv().unwrap();
        assert!(matches!(
            unavailable,
            InboundEvent::Core(Input::StateUnavailable {
                marked_incomplete: true,
                ..
            })
        ));
        let started = Instant::now();
        let available = loop {
            if let Ok(event) = events.try_recv() {
                break event;
            }
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "the folder was not reported as available again within 20 s"
            );
            commands
                .send(LedgerCommand::SaveBeliefs(no_beliefs()))
                .unwrap();
            // Much shorter than the retry interval.
            std::thread::sleep(Duration::from_millis(5));
        };
        assert!(matches!(
            available,
            InboundEvent::Core(Input::StateAvailable)
        ));
        drop(commands);
    });
}
