//! What plans cost: an offer that names its version beside one that does not, and a change from its offer until every
//! placer acts by it, in simulated time: `cargo bench -p reedring-core --bench plans`.

#[path = "../tests/plans/mod.rs"]
mod plans;

use std::time::Instant;

use plans::{Due, MS, World, settings};
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_node_protocol::{Message, encode};

fn change(placers: usize, nodes: usize) {
    let began = Instant::now();
    let mut world = World::new(placers, nodes);
    world
        .until_all(1, 60_000_000)
        .expect("the first plan comes in force");
    let quiet = world.now + 2_000_000;
    while world.now < quiet {
        world.until_all(9, 100 * MS);
    }
    let (messages, writes) = (world.messages, world.nodes[0].plan_writes());
    // One placer comes back with the next plan.
    let from = world.now;
    world.start(0, settings(2, placers + 1), 2);
    let Some(done) = world.until_all(2, 60_000_000) else {
        println!("{placers:>4} placers x {nodes} nodes: the change is not in force after a minute");
        return;
    };
    let after = world.nodes[0].plan_writes();
    println!(
        "{placers:>4} placers x {nodes} nodes: a change in force everywhere after {} ms, {:.1} messages a link, \
         {} writes and {} bytes at a node; {:.1} s to work out",
        (done - from) / MS,
        (world.messages - messages) as f64 / (placers * nodes) as f64,
        after.0 - writes.0,
        after.1 - writes.1,
        began.elapsed().as_secs_f64()
    );
}

/// Microseconds a job through core, frames and a node, placed and over.
fn path(plan: u64) -> f64 {
    const JOBS: u64 = 6_000;
    let mut world = World::new(0, 8);
    world.acts = vec![(0, 0)];
    world.start(0, settings(plan, 1), 1);
    // Until the plan is in force, where there is one, and all is quiet.
    world.until_all(9, 2_000_000);
    let init = Call::Init {
        session: "s".to_owned(),
    };
    world.cores[0].handle(
        world.now,
        Input::Call {
            conn: 1,
            id: 0,
            call: init,
        },
    );
    let began = Instant::now();
    let (mut bytes, mut made) = (0, 0);
    for call in 1..=JOBS / 10 {
        let key = CallKey {
            session: "s".to_owned(),
            call,
            settled: call,
            sent_to: 1_000,
        };
        let native = "class=c life=1ms cores=0.01 memory=0.01".to_owned();
        let job = Box::new(JobSpec {
            command: "work".to_owned(),
            native,
            ..JobSpec::default()
        });
        let range = Range {
            first: 1,
            last: 10,
            step: 1,
        };
        world.cores[0].handle(
            world.now,
            Input::Call {
                conn: 1,
                id: call,
                call: Call::RunBulkJobs { key, job, range },
            },
        );
        world.turn(0);
        for due in world.queue.values() {
            if let Due::AtNode(_, _, message @ Message::Offer { .. }) = due {
                let frame = encode(message);
                bytes += frame.len();
                made += usize::from(reedring_node_protocol::decode(&frame).is_ok());
            }
        }
        world.until_all(9, 4 * MS);
    }
    assert!(
        made as u64 >= JOBS * 9 / 10,
        "{made} offers of {JOBS} jobs, plan {plan}"
    );
    assert!(bytes > 0);
    began.elapsed().as_secs_f64() * 1e6 / JOBS as f64
}

fn main() {
    let mut ratios: Vec<f64> = Vec::new();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for _ in 0..15 {
        let (on, off) = (path(1), path(0));
        ratios.push(on / off);
        with.push(on);
        without.push(off);
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    println!(
        "a job's path: {:.1} us with its version told, {:.1} us without, ratio {:.3} (medians of 15 pairs)",
        median(&mut with),
        median(&mut without),
        median(&mut ratios)
    );
    for placers in [10, 100, 350] {
        change(placers, 400);
    }
}
