//! The cost of plans (versioned configurations), run by `cargo bench -p reedring-core --bench plans`:
//!
//! - wall-clock time for each job, with and without a version stamp on its offers;
//! - simulated time from the proposal of a plan until every placer acts by it, with the messages and node writes it takes.

#[path = "../tests/configuration_world/mod.rs"]
mod configuration_world;

use std::time::Instant;

use configuration_world::{InFlight, MS, World, settings};
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_node_protocol::{Message, encode};

/// Measures a change of the plan with this many placers and nodes, and prints one line.
fn measure_plan_change(placers: usize, nodes: usize) {
    let began = Instant::now();
    let mut world = World::new(placers, nodes);
    world
        .run_until_active(1, 60_000_000)
        .expect("every placer acts by the first plan within a minute");
    // Two simulated seconds let the messages about the first plan finish.
    let settled_at = world.now + 2_000_000;
    while world.now < settled_at {
        world.run_until_active(9, 100 * MS);
    }
    let (messages_before, writes_before) = (world.messages, world.nodes[0].plan_writes());
    // One placer restarts with the next plan in its settings file.
    let started_at = world.now;
    world.start_placer(0, settings(2, placers + 1), 2);
    let Some(done_at) = world.run_until_active(2, 60_000_000) else {
        println!(
            "{placers:>4} placers x {nodes} nodes: some placer does not act by the new plan after a minute"
        );
        return;
    };
    let writes_after = world.nodes[0].plan_writes();
    println!(
        "{placers:>4} placers x {nodes} nodes: every placer acts by the new plan after {} ms, {:.1} messages per link, \
         {} writes and {} bytes at one node; computed in {:.1} s",
        (done_at - started_at) / MS,
        (world.messages - messages_before) as f64 / (placers * nodes) as f64,
        writes_after.0 - writes_before.0,
        writes_after.1 - writes_before.1,
        began.elapsed().as_secs_f64()
    );
}

/// Wall-clock microseconds per job, from its submission through the core, the message encoding and a node until it
/// has ended. `plan` is the number of the plan; 0 runs without plans, so that offers carry no version stamp.
fn job_time_us(plan: u64) -> f64 {
    const JOBS: u64 = 6_000;
    let mut world = World::new(0, 8);
    world.active_plans = vec![(0, 0)];
    world.start_placer(0, settings(plan, 1), 1);
    // Two simulated seconds let the placer act by its plan, if it has one, and all messages about it finish.
    world.run_until_active(9, 2_000_000);
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
    let (mut bytes, mut decoded_offers) = (0, 0);
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
        world.process_outputs(0);
        for in_flight in world.in_flight.values() {
            if let InFlight::AtNode(_, _, message @ Message::Offer { .. }) = in_flight {
                let frame = encode(message);
                bytes += frame.len();
                decoded_offers += usize::from(reedring_node_protocol::decode(&frame).is_ok());
            }
        }
        world.run_until_active(9, 4 * MS);
    }
    assert!(
        decoded_offers as u64 >= JOBS * 9 / 10,
        "{decoded_offers} offers for {JOBS} jobs with plan {plan}, expected at least nine tenths as many as jobs"
    );
    assert!(bytes > 0, "no offer was encoded");
    began.elapsed().as_secs_f64() * 1e6 / JOBS as f64
}

fn main() {
    let mut ratios: Vec<f64> = Vec::new();
    let (mut stamped, mut unstamped) = (Vec::new(), Vec::new());
    for _ in 0..15 {
        let (with_stamp, without_stamp) = (job_time_us(1), job_time_us(0));
        ratios.push(with_stamp / without_stamp);
        stamped.push(with_stamp);
        unstamped.push(without_stamp);
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    println!(
        "one job: {:.1} us with a version stamp on its offers, {:.1} us without, ratio {:.3} (medians of 15 pairs)",
        median(&mut stamped),
        median(&mut unstamped),
        median(&mut ratios)
    );
    for placers in [10, 100, 350] {
        measure_plan_change(placers, 400);
    }
}
