//! Measures the time of one evaluation, by number of machines and clauses: `cargo bench -p reedring-constraint`.
//!
//! "Cached" evaluates a constraint that is already compiled for the fleet; "afresh" includes compiling it.

use std::hint::black_box;
use std::time::Instant;

use reedring_constraint::{Census, Compiled, Constraint, Fleet, FleetNode, OwnService};

fn fleet(machines: usize) -> Fleet {
    let node = |n: usize| {
        let mut node = FleetNode::named(&format!("n{n}"))
            .hall(&format!("h{}", n % 3))
            .rack(&format!("r{}", n / 3 % 10));
        node.kind = ["big", "small"][n % 2].to_owned();
        node.attr("ssd", ["yes", "no"][n / 7 % 2])
    };
    Fleet::new((0..machines).map(node).collect())
}

/// A constraint of this many clauses, of which every fifth depends on copies.
fn constraint(clauses: usize) -> Constraint {
    let clause = |n: usize| match n % 5 {
        0 => "require apart from copies by machine".to_owned(),
        1 => "require hall in {\"h0\", \"h1\"}".to_owned(),
        2 => "require attr.ssd = yes or kind = big".to_owned(),
        3 => format!("require name != \"n{n}\""),
        _ => "require not (rack = r3 and hall = h2)".to_owned(),
    };
    Constraint::parse(&(0..clauses).map(clause).collect::<Vec<_>>().join("; "))
        .expect("the generated constraint is valid")
}

/// Time of one call in microseconds: the lowest average of five rounds of at least 20 ms each.
fn micros_per_call(mut call: impl FnMut()) -> f64 {
    let round = |call: &mut dyn FnMut()| {
        let (start, mut calls) = (Instant::now(), 0);
        while start.elapsed().as_millis() < 20 {
            call();
            calls += 1;
        }
        start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    };
    (0..5)
        .map(|_| round(&mut call))
        .fold(f64::INFINITY, f64::min)
}

fn main() {
    println!(
        "{:>9} {:>8} {:>11} {:>11}",
        "machines", "clauses", "cached us", "afresh us"
    );
    for machines in [20, 200, 2_000] {
        let (fleet, own, mut census) = (
            fleet(machines),
            OwnService::new("c", "s"),
            Census::default(),
        );
        (0..10).for_each(|n| census.add(&own.topics(&[]), n * machines / 10));
        for clauses in [1, 10, 50] {
            let constraint = constraint(clauses);
            let compiled = Compiled::new(&constraint, &fleet);
            let cached =
                micros_per_call(|| drop(black_box(compiled.open(&fleet, &census, &own, 0))));
            let afresh = micros_per_call(|| {
                drop(black_box(
                    Compiled::new(&constraint, &fleet).open(&fleet, &census, &own, 0),
                ))
            });
            println!("{machines:>9} {clauses:>8} {cached:>11.2} {afresh:>11.1}");
        }
    }
}
