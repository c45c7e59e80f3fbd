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

/// Beliefs that are saved all the while do not put off the next try of a folder that can't be written.
#[test]
fn a_folder_is_tried_again_however_much_is_saved_meanwhile() {
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
        folder.fail_sync();
        let batch = Batch {
            sequence: BatchSequence(1),
            at: 1,
            changes: vec![Change::IncarnationStarted(1)],
        };
        commands.send(LedgerCommand::Append(batch)).unwrap();
        let lost = events.blocking_recv().unwrap();
        assert!(matches!(
            lost,
            InboundEvent::Core(Input::StateUnavailable {
                marked_incomplete: true,
                ..
            })
        ));
        let started = Instant::now();
        let back = loop {
            if let Ok(event) = events.try_recv() {
                break event;
            }
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "it was never tried again"
            );
            commands
                .send(LedgerCommand::SaveBeliefs(no_beliefs()))
                .unwrap();
            // Well under the time between two tries.
            std::thread::sleep(Duration::from_millis(5));
        };
        assert!(matches!(back, InboundEvent::Core(Input::StateAvailable)));
        drop(commands);
    });
}
