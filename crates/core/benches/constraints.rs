//! Measures the run time that placement constraints add to a placer's core, without sockets:
//! `cargo bench -p reedring-core --bench constraints`.
//!
//! The simulated nodes accept each offer and report the task as ended at once, in memory.

use std::time::Instant;

use reedring_core::{Core, Input, Output, Start};
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_node_protocol::{Message, TaskEnd};
use reedring_settings::{Health, NodeEntry, NodeList, Settings};

const SETTINGS: &str = r#"
    placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
    kind = [{ name = "k", cores = 1000.0, memory = 1000.0 }]
    class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "1h" }]
"#;

/// A core with connected nodes that end every task at once.
struct Site {
    core: Core,
    /// The current time in microseconds.
    now: u64,
    node_list: Vec<NodeEntry>,
    /// Number of the last submission.
    last_call: u64,
    /// Number of offers that the core has sent.
    placed: u64,
}

impl Site {
    fn new(nodes: usize) -> Self {
        let settings =
            Settings::parse(SETTINGS, "bench").expect("the benchmark settings are valid");
        let core = Core::new(
            settings,
            Start {
                now: 0,
                unix_us: 0,
                incarnation: 1,
                seed: 1,
            },
        );
        let entry = |n: usize| NodeEntry {
            hall: format!("h{}", n % 2),
            ..NodeEntry::at(format!("n{n}"), ([127, 0, 0, 1], 7_000 + n as u16).into())
        };
        let mut site = Self {
            core,
            now: 0,
            node_list: (0..nodes).map(entry).collect(),
            last_call: 0,
            placed: 0,
        };
        site.send_node_list();
        for n in 0..nodes {
            let node = format!("n{n}");
            site.core.handle(
                0,
                Input::LinkUp {
                    node: node.clone(),
                    reported_name: node.clone(),
                    incarnation: 1,
                    up_ms: 0,
                    can_suspend: false,
                    report: None,
                },
            );
            site.core.handle(
                0,
                Input::Message {
                    node,
                    message: Message::InFlight {
                        tasks: Vec::new(),
                        last: true,
                    },
                },
            );
        }
        site.core.handle(
            0,
            Input::Call {
                conn: 1,
                id: 0,
                call: Call::Init {
                    session: "s".into(),
                },
            },
        );
        site.run();
        site
    }

    /// Passes the node list to the core.
    fn send_node_list(&mut self) {
        let nodes = self.node_list.clone();
        self.core.handle(
            self.now,
            Input::NodeListChanged(NodeList { revision: 0, nodes }),
        );
    }

    /// Submits `count` jobs in one call; `constraint` is added to their native specification.
    fn submit(&mut self, count: u64, constraint: &str) {
        self.last_call += 1;
        let native = format!("service=s cores=0.001 memory=0.001 {constraint}");
        let job = Box::new(JobSpec {
            command: "x".into(),
            native,
            ..JobSpec::default()
        });
        let key = CallKey {
            session: "s".into(),
            call: self.last_call,
            settled: 0,
            sent_to: 1,
        };
        let call = Call::RunBulkJobs {
            key,
            job,
            range: Range {
                first: 1,
                last: count,
                step: 1,
            },
        };
        self.core.handle(
            self.now,
            Input::Call {
                conn: 1,
                id: self.last_call,
                call,
            },
        );
    }

    /// Runs the core until it has nothing to do. Each offer is accepted, and its task ends at once.
    fn run(&mut self) {
        loop {
            self.core.flush(self.now);
            let mut inputs = Vec::new();
            while let Some(output) = self.core.poll() {
                if let Output::Send {
                    node,
                    message: Message::Offer { attempt, .. },
                } = output
                {
                    self.placed += 1;
                    let report = Vec::new();
                    let accepted = Message::Accepted {
                        attempt,
                        report: report.clone(),
                    };
                    inputs.push(Input::Message {
                        node: node.clone(),
                        message: accepted,
                    });
                    let ended = Message::Ended {
                        attempt,
                        end: TaskEnd::Exited(0),
                        ran: true,
                        report,
                    };
                    inputs.push(Input::Message {
                        node,
                        message: ended,
                    });
                }
            }
            if inputs.is_empty() && self.core.next_wake().is_none_or(|at| at > self.now) {
                return;
            }
            inputs
                .into_iter()
                .for_each(|input| self.core.handle(self.now, input));
        }
    }
}

fn main() {
    println!("placements in a core, 20 nodes, 20 jobs every 10 ms for 100 rounds");
    let cases = [
        ("no constraint", ""),
        (
            "on node list",
            "constraint='require hall in {\"h0\", \"h1\"} and name != n3'",
        ),
        (
            "on copies",
            "constraint='require spread by machine at most 50'",
        ),
    ];
    for (label, constraint) in cases {
        let mut site = Site::new(20);
        let started = Instant::now();
        for _ in 0..100 {
            site.now += 10_000;
            site.submit(20, constraint);
            site.run();
        }
        let us_per_placement = started.elapsed().as_secs_f64() * 1e6 / site.placed.max(1) as f64;
        println!(
            "{label:>14}: {us_per_placement:.1} us per placement, {} placed",
            site.placed
        );
    }
    println!("one node list update with 10,000 queued jobs whose hall is drained, 20 nodes");
    for (label, constraint) in [
        ("on node list", "constraint='require hall = h1'"),
        (
            "on copies",
            "constraint='require hall = h1; require apart from service z by machine'",
        ),
    ] {
        let mut site = Site::new(20);
        site.node_list
            .iter_mut()
            .filter(|node| node.hall == "h1")
            .for_each(|node| node.health = Health::Draining);
        site.send_node_list();
        site.run();
        site.submit(10_000, constraint);
        site.run();
        let placed = site.placed;
        // The health of a node in the other hall changes, which opens no machine to the queued jobs.
        let started = Instant::now();
        site.node_list[0].health = Health::Draining;
        site.send_node_list();
        site.core.flush(site.now);
        println!(
            "{label:>14}: {:.2} ms, {placed} placed",
            started.elapsed().as_secs_f64() * 1e3
        );
    }
}
