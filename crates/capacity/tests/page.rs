//! The committed page says what the committed runs say.

use reedring_capacity::measurement::RunFile;
use reedring_capacity::page::{PageProblem, check};
use std::path::Path;

const PAGE: &str = "docs/CAPACITY.md";
const RUNS: &str = "docs/capacity/runs.json";

fn read(path: &str) -> String {
    let full_path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path);
    std::fs::read_to_string(&full_path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

#[test]
fn the_page_says_what_the_runs_say() {
    let runs = RunFile::from_json(&read(RUNS)).unwrap_or_else(|error| panic!("{RUNS}: {error}"));
    if let Err(problems) = check(&read(PAGE), &runs) {
        let lines: Vec<String> = problems.iter().map(PageProblem::to_string).collect();
        panic!("{PAGE}:\n{}", lines.join("\n"));
    }
}
