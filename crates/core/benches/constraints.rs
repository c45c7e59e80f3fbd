//! What constraints cost in a placer's core, without sockets: `cargo bench -p reedring-core`.
//!
//! A node here accepts each offer and ends it at once, in memory.

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

struct Site {
    core: Core,
    now: u64,
    list: Vec<NodeEntry>,
    call: u64,
    placed: u64,
}

impl Site {
    fn new(nodes: usize) -> Self {
        let settings = Settings::parse(SETTINGS, "bench").expect("the bench's own settings");
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
            list: (0..nodes).map(entry).collect(),
            call: 0,
            placed: 0,
        };
        site.tell_list();
        for n in 0..nodes {
            let node = format!("n{n}");
            let (called, life, up_ms, can_suspend) = (node.clone(), 1, 0, false);
            site.core.handle(
                0,
                Input::LinkUp {
                    node: node.clone(),
                    reported_name: called,
                    incarnation: life,
                    up_ms,
                    can_suspend,
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

    fn tell_list(&mut self) {
        let nodes = self.list.clone();
        self.core.handle(
            self.now,
            Input::NodeListChanged(NodeList { revision: 0, nodes }),
        );
    }

    fn submit(&mut self, count: u64, constraint: &str) {
        self.call += 1;
        let native = format!("service=s cores=0.001 memory=0.001 {constraint}");
        let job = Box::new(JobSpec {
            command: "x".into(),
            native,
            ..JobSpec::default()
        });
        let key = CallKey {
            session: "s".into(),
            call: self.call,
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
                id: self.call,
                call,
            },
        );
    }

    /// Lets the core run until it has nothing to do; each offer is accepted and over.
    fn run(&mut self) {
        loop {
            self.core.flush(self.now);
            let mut came = Vec::new();
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
                    came.push(Input::Message {
                        node: node.clone(),
                        message: accepted,
                    });
                    let ended = Message::Ended {
                        attempt,
                        end: TaskEnd::Exited(0),
                        ran: true,
                        report,
                    };
                    came.push(Input::Message {
                        node,
                        message: ended,
                    });
                }
            }
            if came.is_empty() && self.core.next_wake().is_none_or(|at| at > self.now) {
                return;
            }
            came.into_iter()
                .for_each(|input| self.core.handle(self.now, input));
        }
    }
}

fn main() {
    println!("placements in a core, 20 nodes, 20 jobs every 10 ms for 100 rounds");
    let texts = [
        ("no constraint", ""),
        (
            "of the list",
            "constraint='require hall in {\"h0\", \"h1\"} and name != n3'",
        ),
        (
            "of copies",
            "constraint='require spread by machine at most 50'",
        ),
    ];
    for (word, text) in texts {
        let mut site = Site::new(20);
        let began = Instant::now();
        for _ in 0..100 {
            site.now += 10_000;
            site.submit(20, text);
            site.run();
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / site.placed.max(1) as f64;
        println!(
            "{word:>14}: {each:.1} us a placement, {} placed",
            site.placed
        );
    }
    println!("10,000 held jobs whose hall is dark, 20 nodes: one list update");
    for (word, text) in [
        ("of the list", "constraint='require hall = h1'"),
        (
            "of copies",
            "constraint='require hall = h1; require apart from service z by machine'",
        ),
    ] {
        let mut site = Site::new(20);
        site.list
            .iter_mut()
            .filter(|node| node.hall == "h1")
            .for_each(|node| node.health = Health::Draining);
        site.tell_list();
        site.run();
        site.submit(10_000, text);
        site.run();
        let held = site.placed;
        // Another node's health, which opens nothing.
        let began = Instant::now();
        site.list[0].health = Health::Draining;
        site.tell_list();
        site.core.flush(site.now);
        println!(
            "{word:>14}: {:.2} ms, {held} placed",
            began.elapsed().as_secs_f64() * 1e3
        );
    }
}
