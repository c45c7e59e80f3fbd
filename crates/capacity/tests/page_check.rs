//! A small page and its runs: what is rendered, and that each change of the page is found where it stands.

mod common;

use common::{nodes, placer, run};
use reedring_capacity::axis::Axis;
use reedring_capacity::fit::{Fit, Point};
use reedring_capacity::measurement::{Measurement, Phase, Quantity, Role, Run, RunFile, Size};
use reedring_capacity::page::{PageProblem, check, render};
use reedring_capacity::target::TARGET;
use std::ops::RangeInclusive;

const MIB: f64 = 1_048_576.0;

/// Worked out by hand from [`runs`].
const PAGE: &str = "\
# A page

<!-- capacity-table: costs -->
| role | phase | quantity | formula | predicted at target | budget | ratio | runs | mechanism |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
| placer | plan-change | bytes-per-event | (10.0 KB + 40.0 B × nodes) × 0.324/s | 70.6 KB/s | 17.0 KB/s | 4.16 | R1 | every node votes |
| placer | starts | processor-share | 0.0500 % + 5.00e-5 % × running-tasks, with nodes 1000 | 4.50 % | 1.70 % | 2.65 | R1 | every node votes |
| placer | idle | resident-bytes | 10.0 MiB + 20.5 KiB × nodes | 114 MiB | 128 MiB | 0.891 | R1 | every node votes |
| placer | idle | resident-bytes | 20.0 MiB + 0 B × nodes, with control-machines 5 | 20.0 MiB | 128 MiB | 0.156 | R2, R3 | 5 \\| more |
| placer | plan-change | seconds-to-force | 1.50 s - 500 µs × nodes | -1.10 s | 8.00 s | -0.138 | R1 | every node votes |
| node | idle | descriptors | no line (1 size) | - | - | - | R1 | every node votes |
| node | list-change | messages-per-event | (1.00 messages + 0.00200 messages × nodes) × 0.00867/s | 0.0988 messages/s | - | - | R1 | every node votes |
| placer | list-change | - | not measured | - | - | - | - | - |
| placer | churn | - | not measured | - | - | - | - | - |
| placer | zone-lost | - | not measured | - | - | - | - | - |
| placer | region-cut | - | not measured | - | - | - | - | - |
| placer | placer-killed | - | not measured | - | - | - | - | - |
| node | starts | - | not measured | - | - | - | - | - |
| node | plan-change | - | not measured | - | - | - | - | - |
| node | churn | - | not measured | - | - | - | - | - |
| node | zone-lost | - | not measured | - | - | - | - | - |
| node | region-cut | - | not measured | - | - | - | - | - |
| node | placer-killed | - | not measured | - | - | - | - | - |
| list-source | - | - | not measured | - | - | - | - | - |
| client | - | - | not measured | - | - | - | - | - |
| control-machine | - | - | not measured | - | - | - | - | - |
<!-- end -->

<!-- capacity-table: summary -->
| quantity | mechanism | role | phase | predicted at target | budget | ratio | runs |
| --- | --- | --- | --- | --- | --- | --- | --- |
| resident-bytes | 5 \\| more | placer | idle | 20.0 MiB | 128 MiB | 0.156 | R2, R3 |
| bytes-per-second | every node votes | placer | plan-change | 70.6 KB/s | 17.0 KB/s | 4.16 | R1 |
| processor-share | every node votes | placer | starts | 4.50 % | 1.70 % | 2.65 | R1 |
| resident-bytes | every node votes | placer | idle | 114 MiB | 128 MiB | 0.891 | R1 |
| seconds-to-force | every node votes | placer | plan-change | -1.10 s | 8.00 s | -0.138 | R1 |
<!-- end -->

<!-- capacity-table: runs -->
| run | revision | mechanism | command |
| --- | --- | --- | --- |
| R1 | 5e09912 | every node votes | `scale --seed 7` |
| R2 | 5e09912 | 5 \\| more | `scale \\| tee a` |
| R3 | 5e09912 | 5 \\| more | `scale \\| tee b` |
<!-- end -->

More words.
";

/// The lines of [`PAGE`] that hold the first row, the second resident-bytes row and the end marker of the costs.
const FIRST_ROW: usize = 6;
const MEMORY_ROW: usize = 8;
const END: usize = 27;

/// The lines of [`PAGE`] that hold the first row and the end marker of the summary, and those of the runs.
const FIRST_SUMMARY_ROW: usize = 32;
const SUMMARY_END: usize = 37;
const FIRST_RUN: usize = 42;
const RUNS_END: usize = 45;

fn at_two_sizes(
    role: Role,
    phase: Phase,
    quantity: Quantity,
    values: [f64; 2],
) -> [Measurement; 2] {
    [(1_000, values[0]), (2_000, values[1])].map(|(count, value)| Measurement {
        size: nodes(count),
        role,
        phase,
        quantity,
        value,
    })
}

fn every_node_votes() -> Run {
    let tasks = |running_tasks| Size {
        running_tasks,
        ..nodes(1_000)
    };
    let mut measurements = vec![
        placer(tasks(1_000), Phase::Starts, Quantity::ProcessorShare, 0.001),
        placer(tasks(3_000), Phase::Starts, Quantity::ProcessorShare, 0.002),
        Measurement {
            size: TARGET,
            role: Role::Node,
            phase: Phase::Idle,
            quantity: Quantity::Descriptors,
            value: 9.0,
        },
    ];
    let sweeps = [
        (
            Role::Placer,
            Phase::Idle,
            Quantity::ResidentBytes,
            [30.0 * MIB, 50.0 * MIB],
        ),
        (
            Role::Placer,
            Phase::ConfigurationChange,
            Quantity::BytesPerEvent,
            [50_000.0, 90_000.0],
        ),
        (
            Role::Placer,
            Phase::ConfigurationChange,
            Quantity::SecondsUntilEffective,
            [1.0, 0.5],
        ),
        (
            Role::Node,
            Phase::ListChange,
            Quantity::MessagesPerEvent,
            [3.0, 5.0],
        ),
    ];
    for (role, phase, quantity, values) in sweeps {
        measurements.extend(at_two_sizes(role, phase, quantity, values));
    }
    Run {
        measurements,
        ..run("scale --seed 7", "every node votes")
    }
}

fn five_control_machines(command: &str, count: u32) -> Run {
    let size = Size {
        control_machines: 5,
        ..nodes(count)
    };
    let memory = placer(size, Phase::Idle, Quantity::ResidentBytes, 20.0 * MIB);
    Run {
        measurements: vec![memory],
        ..run(command, "5 | more")
    }
}

fn runs() -> RunFile {
    let runs = RunFile(vec![
        every_node_votes(),
        five_control_machines("scale | tee a", 1_000),
        five_control_machines("scale | tee b", 2_000),
    ]);
    assert_eq!(runs.validate(), Ok(()));
    runs
}

fn problems(page: &str) -> Vec<String> {
    problems_with(page, &runs())
}

fn problems_with(page: &str, runs: &RunFile) -> Vec<String> {
    check(page, runs)
        .err()
        .unwrap_or_default()
        .iter()
        .map(PageProblem::to_string)
        .collect()
}

/// The page with the first `from` on a line replaced; fails if it is not there.
fn changed(line: usize, from: &str, to: &str) -> String {
    let mut lines: Vec<String> = PAGE.lines().map(str::to_owned).collect();
    assert!(
        lines[line - 1].contains(from),
        "line {line} has no {from:?}"
    );
    lines[line - 1] = lines[line - 1].replacen(from, to, 1);
    lines.join("\n")
}

fn without(line: usize) -> String {
    let mut lines: Vec<&str> = PAGE.lines().collect();
    lines.remove(line - 1);
    lines.join("\n")
}

fn without_lines(numbers: RangeInclusive<usize>) -> String {
    let kept = PAGE
        .lines()
        .enumerate()
        .filter(|(index, _)| !numbers.contains(&(index + 1)));
    kept.map(|(_, line)| line).collect::<Vec<&str>>().join("\n")
}

fn with_line_before(line: usize, added: &str) -> String {
    let mut lines: Vec<&str> = PAGE.lines().collect();
    lines.insert(line - 1, added);
    lines.join("\n")
}

fn line(number: usize) -> &'static str {
    PAGE.lines().nth(number - 1).unwrap()
}

/// The column, in characters from 1, at which a text begins on a line of [`PAGE`].
fn column_of(line_number: usize, text: &str) -> usize {
    let before = line(line_number).split(text).next().unwrap();
    before.chars().count() + 1
}

#[test]
fn the_tables_are_rendered_as_worked_out_by_hand() {
    let start = PAGE.find("<!-- capacity").unwrap();
    let end = PAGE.find("\nMore words").unwrap();
    assert_eq!(render(&runs()), PAGE[start..end]);
}

#[test]
fn the_right_page_has_no_problem() {
    assert_eq!(check(PAGE, &runs()), Ok(()));
    assert_eq!(check(&PAGE.replace('\n', "\r\n"), &runs()), Ok(()));
}

#[test]
fn each_rendered_table_passes_its_own_check() {
    assert_eq!(
        check(&render(&RunFile::default()), &RunFile::default()),
        Ok(())
    );
    assert_eq!(check(&render(&runs()), &runs()), Ok(()));
}

#[test]
fn each_changed_cell_is_named() {
    let changes = [
        (
            "formula",
            "20.5 KiB",
            "20.4 KiB",
            "10.0 MiB + 20.5 KiB × nodes",
        ),
        (
            "formula",
            "10.0 MiB",
            "10.1 MiB",
            "10.0 MiB + 20.5 KiB × nodes",
        ),
        (
            "formula",
            "× nodes",
            "× placers",
            "10.0 MiB + 20.5 KiB × nodes",
        ),
        ("formula", "+ 20.5", "- 20.5", "10.0 MiB + 20.5 KiB × nodes"),
        ("predicted at target", "114 MiB", "113 MiB", "114 MiB"),
        ("predicted at target", "114 MiB", "114 MB", "114 MiB"),
        ("budget", "128 MiB", "127 MiB", "128 MiB"),
        ("ratio", "0.891", "0.892", "0.891"),
        ("ratio", "0.891", "0.89", "0.891"),
        ("ratio", "0.891", "-", "0.891"),
        ("runs", "R1", "R2", "R1"),
        ("runs", "R1", "R1, R2", "R1"),
        ("runs", "R1", "-", "R1"),
    ];
    for (column_name, from, to, expected) in changes {
        let page = changed(MEMORY_ROW, from, to);
        let column = column_of(MEMORY_ROW, expected);
        let printed = expected.replacen(from, to, 1);
        let problem = format!(
            "line {MEMORY_ROW}, column {column}: {column_name} is `{printed}`, the runs give `{expected}`"
        );
        assert_eq!(problems(&page), [problem]);
    }
}

#[test]
fn each_changed_cell_of_the_summary_is_named() {
    let changes = [
        ("role", "placer", "node", "placer"),
        ("phase", "idle", "starts", "idle"),
        ("predicted at target", "20.0 MiB", "20.1 MiB", "20.0 MiB"),
        ("budget", "128 MiB", "127 MiB", "128 MiB"),
        ("ratio", "0.156", "0.157", "0.156"),
        ("runs", "R2, R3", "R2", "R2, R3"),
    ];
    for (column_name, from, to, expected) in changes {
        let page = changed(FIRST_SUMMARY_ROW, from, to);
        let column = column_of(FIRST_SUMMARY_ROW, expected);
        let problem = format!(
            "line {FIRST_SUMMARY_ROW}, column {column}: {column_name} is `{to}`, the runs give `{expected}`"
        );
        assert_eq!(problems(&page), [problem]);
    }
}

#[test]
fn each_changed_cell_of_the_run_list_is_named() {
    let changes = [
        ("revision", "5e09912", "5e09913", "5e09912"),
        (
            "mechanism",
            "every node votes",
            "5 nodes vote",
            "every node votes",
        ),
        (
            "command",
            "`scale --seed 7`",
            "`scale --seed 8`",
            "`scale --seed 7`",
        ),
    ];
    for (column_name, from, to, expected) in changes {
        let page = changed(FIRST_RUN, from, to);
        let column = column_of(FIRST_RUN, expected);
        let problem = format!(
            "line {FIRST_RUN}, column {column}: {column_name} is `{to}`, the runs give `{expected}`"
        );
        assert_eq!(problems(&page), [problem]);
    }
}

#[test]
fn an_unknown_run_is_told_where_it_is_cited() {
    for row in [MEMORY_ROW, FIRST_SUMMARY_ROW + 1] {
        let column = column_of(row, "R1");
        for unknown in ["R4", "R0", "R01", "1", "scale --seed 7"] {
            let expected = [
                format!("line {row}, column {column}: runs is `{unknown}`, the runs give `R1`"),
                format!(
                    "line {row}, column {column}: cites run `{unknown}`, which the table `runs` doesn't list"
                ),
            ];
            assert_eq!(problems(&changed(row, "R1", unknown)), expected);
        }
    }
}

#[test]
fn a_run_that_the_list_lacks_is_missing_and_unknown_to_each_row_that_cites_it() {
    let run_row = line(FIRST_RUN + 2);
    let found = problems(&without(FIRST_RUN + 2));
    let missing = format!("line {}, column 1: missing row `{run_row}`", RUNS_END - 1);
    let unknown = |row: usize| {
        let column = column_of(row, "R2, R3");
        format!("line {row}, column {column}: cites run `R3`, which the table `runs` doesn't list")
    };
    assert_eq!(
        found,
        [unknown(MEMORY_ROW + 1), unknown(FIRST_SUMMARY_ROW), missing]
    );
}

#[test]
fn a_run_that_no_row_cites_is_unused() {
    let page = with_line_before(RUNS_END, "| R4 | 5e09912 | every node votes | `scale` |");
    let expected = [
        format!("line {RUNS_END}, column 3: the runs give no such row"),
        format!("line {RUNS_END}, column 3: no row cites run `R4`"),
    ];
    assert_eq!(problems(&page), expected);

    let mut runs = runs();
    runs.0.push(run("scale --nodes 0", "every node votes"));
    let found = problems_with(&render(&runs), &runs);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].ends_with("column 3: no row cites run `R4`"),
        "{found:?}"
    );
}

#[test]
fn rows_are_held_against_the_runs_under_the_numbers_that_they_cite() {
    let mut runs = runs();
    runs.0.swap(0, 1);
    let found = problems_with(PAGE, &runs);
    assert!(found.contains(&format!(
        "line {MEMORY_ROW}, column {}: runs is `R1`, the runs give `R2`",
        column_of(MEMORY_ROW, "R1")
    )));
    assert!(
        found
            .iter()
            .any(|problem| problem.starts_with("line 42, column 37: command is")),
        "{found:?}"
    );
}

#[test]
fn the_rows_of_the_summary_and_the_run_list_are_each_once_and_in_order() {
    for (first, end) in [(FIRST_SUMMARY_ROW, SUMMARY_END), (FIRST_RUN, RUNS_END)] {
        for row in first..end {
            let missing = format!("line {}, column 1: missing row `{}`", end - 1, line(row));
            assert!(problems(&without(row)).contains(&missing));
            let repeated = format!("line {}, column 3: the same row as line {row}", row + 1);
            assert_eq!(problems(&with_line_before(row, line(row))), [repeated]);
        }
        for row in first..end - 1 {
            let mut lines: Vec<&str> = PAGE.lines().collect();
            lines.swap(row - 1, row);
            let expected = format!(
                "line {}, column 3: out of order: belongs before the row of line {row}",
                row + 1
            );
            assert_eq!(problems(&lines.join("\n")), [expected]);
        }
    }
}

#[test]
fn the_rate_of_a_cost_per_event_is_checked() {
    let page = changed(FIRST_ROW, "0.324/s", "0.325/s");
    assert_eq!(problems(&page).len(), 1);
    assert!(problems(&page)[0].contains("(10.0 KB + 40.0 B × nodes) × 0.325/s"));
    let page = changed(
        FIRST_ROW,
        "(10.0 KB + 40.0 B × nodes) × 0.324/s",
        "10.0 KB + 40.0 B × nodes",
    );
    assert_eq!(problems(&page).len(), 1);
}

#[test]
fn what_a_line_holds_fixed_is_checked() {
    let page = changed(FIRST_ROW + 1, ", with nodes 1000", "");
    assert_eq!(problems(&page).len(), 1);
    assert!(
        problems(&page)[0].contains("column 39: formula is"),
        "{}",
        problems(&page)[0]
    );
}

#[test]
fn a_row_of_another_mechanism_is_not_in_the_runs_and_the_right_one_is_missing() {
    let page = changed(MEMORY_ROW, "every node votes", "some nodes vote");
    let found = problems(&page);
    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!(
        found[0],
        format!("line {MEMORY_ROW}, column 3: the runs give no such row")
    );
    assert_eq!(
        found[1],
        format!("line {END}, column 1: missing row `{}`", line(MEMORY_ROW))
    );
}

#[test]
fn swapped_rows_are_out_of_order() {
    for first in FIRST_ROW..FIRST_ROW + 6 {
        let mut lines: Vec<&str> = PAGE.lines().collect();
        lines.swap(first - 1, first);
        let expected = format!(
            "line {}, column 3: out of order: belongs before the row of line {first}",
            first + 1
        );
        assert_eq!(problems(&lines.join("\n")), [expected]);
    }
}

#[test]
fn a_row_not_measured_stands_below_the_measured_ones() {
    let row = line(END - 1);
    let page = without(END - 1);
    let mut lines: Vec<&str> = page.lines().collect();
    lines.insert(FIRST_ROW - 1, row);
    let found = problems(&lines.join("\n"));
    assert_eq!(found.len(), 7, "{found:?}");
    assert_eq!(
        found[0],
        "line 7, column 3: out of order: belongs before the row of line 6"
    );
}

#[test]
fn each_missing_row_is_named() {
    for number in FIRST_ROW..END {
        let expected = format!("line {}, column 1: missing row `{}`", END - 1, line(number));
        assert_eq!(problems(&without(number)), [expected]);
    }
}

#[test]
fn new_measurements_need_new_rows() {
    let mut runs = runs();
    let sweep = at_two_sizes(Role::Client, Phase::Idle, Quantity::Descriptors, [4.0, 5.0]);
    runs.0[0].measurements.extend(sweep);
    let found = problems_with(PAGE, &runs);
    assert_eq!(
        found[0],
        "line 25, column 20: marked `not measured`, but the runs measured it"
    );
    assert!(
        found[1].contains("missing row `| client | idle | descriptors | 3.00 descriptors + "),
        "{found:?}"
    );
    // The phases of the client that have no data are now to be named one by one.
    assert_eq!(found.len(), 2 + Phase::ALL.len() - 1, "{found:?}");
}

#[test]
fn a_row_not_measured_may_name_more_than_is_rendered() {
    let page = with_line_before(
        END,
        "| node | idle | resident-bytes | not measured | - | - | - | - | - |",
    );
    assert_eq!(problems(&page), [""; 0]);
    let page = with_line_before(
        END,
        "| node | idle | resident-bytes | not measured | - | - | 1 | - | - |",
    );
    assert_eq!(
        problems(&page),
        [format!(
            "line {END}, column 57: ratio is `1`, the runs give `-`"
        )]
    );
}

#[test]
fn what_was_measured_is_not_marked_not_measured() {
    let measured = [
        "node | idle | descriptors",
        "node | idle | -",
        "node | - | -",
        "placer | starts | -",
    ];
    for key in measured {
        let page = with_line_before(
            END,
            &format!("| {key} | not measured | - | - | - | - | - |"),
        );
        let column = key.len() + 6;
        let expected =
            format!("line {END}, column {column}: marked `not measured`, but the runs measured it");
        assert_eq!(problems(&page), [expected]);
    }
    let page = changed(MEMORY_ROW, "10.0 MiB + 20.5 KiB × nodes", "not measured");
    let found = problems(&page);
    assert!(
        found[0].ends_with("marked `not measured`, but the runs measured it"),
        "{found:?}"
    );
    assert!(
        found.iter().any(|problem| problem.contains("missing row")),
        "{found:?}"
    );
}

#[test]
fn a_repeated_row_is_named() {
    for number in FIRST_ROW..END {
        let page = with_line_before(number, line(number));
        let expected = format!(
            "line {}, column 3: the same row as line {number}",
            number + 1
        );
        assert_eq!(problems(&page), [expected]);
    }
}

#[test]
fn unknown_names_are_told() {
    for (from, to, what) in [
        ("placer", "placers", "role"),
        ("idle", "resting", "phase"),
        ("idle", "-", "phase"),
        ("resident-bytes", "memory", "quantity"),
    ] {
        let found = problems(&changed(MEMORY_ROW, from, to));
        assert!(
            found[0].ends_with(&format!("`{to}` is no {what}")),
            "{found:?}"
        );
        assert!(found[0].starts_with(&format!(
            "line {MEMORY_ROW}, column {}:",
            column_of(MEMORY_ROW, from)
        )));
    }
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
#[test]
fn the_form_of_the_table_is_strict() {
    let cases = [
        (
            PAGE.replace("<!-- capacity-table: costs -->", ""),
            "line 27, column 1: `<!-- end -->` without a table",
        ),
        (
            PAGE.replace("<!-- end -->", ""),
            "line 27, column 1: a row begins with `| ` and ends with ` |`",
        ),
        (
            String::new(),
            "line 1, column 1: the page has no table `costs`",
        ),
        (
            without_lines(29..=37),
            "line 38, column 1: the page has no table `summary`",
        ),
        (
            without_lines(39..=45),
            "line 40, column 1: the page has no table `runs`",
        ),
        (
            changed(30, "ratio", "share"),
            "line 30, column 1: expected `| quantity | mechanism |",
        ),
        (
            changed(40, "run", "number"),
            "line 40, column 1: expected `| run | revision |",
        ),
        (
            changed(41, "---", "--"),
            "line 41, column 1: expected `| --- |",
        ),
        (
            changed(FIRST_RUN, " | 5e09912", ""),
            "line 42, column 1: 3 cells where 4 are expected",
        ),
        (
            with_line_before(RUNS_END, ""),
            "line 45, column 1: a row begins with",
        ),
        (
            changed(3, "costs", "cost"),
            "line 3, column 1: there is no table `cost`",
        ),
        (
            changed(3, " -->", ""),
            "line 3, column 1: not a marker of the form",
        ),
        (
            changed(4, "ratio", "share"),
            "line 4, column 1: expected `| role | phase |",
        ),
        (
            changed(5, "---", "--"),
            "line 5, column 1: expected `| --- |",
        ),
        (
            with_line_before(4, ""),
            "line 4, column 1: expected `| role",
        ),
        (
            with_line_before(END, ""),
            "line 27, column 1: a row begins with",
        ),
        (
            with_line_before(END, "|"),
            "line 27, column 1: a row begins with",
        ),
        (
            with_line_before(END, "| |"),
            "line 27, column 1: a row begins with",
        ),
        (
            changed(MEMORY_ROW, " | 0.891", ""),
            "line 8, column 1: 8 cells where 9 are expected",
        ),
        (
            changed(MEMORY_ROW, "0.891", "0.891 | 1"),
            "line 8, column 1: 10 cells where 9 are expected",
        ),
        (
            format!("{PAGE}\n{PAGE}"),
            "line 51, column 1: the page already has a table `costs`",
        ),
        (
            with_line_before(10, line(3)),
            "line 10, column 1: the table of line 3 has no `<!-- end -->`",
        ),
        (
            with_line_before(4, "<!-- end -->"),
            "line 4, column 1: expected `| role",
        ),
        (
            with_line_before(5, "<!-- end -->"),
            "line 5, column 1: expected `| ---",
        ),
    ];
    for (page, expected) in cases {
        let found = problems(&page);
        assert!(
            found
                .first()
                .is_some_and(|first| first.starts_with(expected)),
            "{expected}: {found:?}"
        );
    }
}

#[test]
fn a_page_that_ends_inside_its_table_is_told() {
    let page = &PAGE[..PAGE.find("<!-- end").unwrap()];
    assert_eq!(
        problems(page),
        ["line 26, column 1: the table of line 3 has no `<!-- end -->` before this one"]
    );
}

/// One quantity measured along two axes, so that its two rows differ in their formulas alone.
fn two_lines_of_one_quantity() -> RunFile {
    let sizes = [
        nodes(1_000),
        nodes(2_000),
        Size {
            teams: 100,
            ..nodes(1_000)
        },
    ];
    let memory = |(size, mib)| placer(size, Phase::Idle, Quantity::ResidentBytes, mib * MIB);
    let measurements = sizes
        .into_iter()
        .zip([30.0, 50.0, 20.0])
        .map(memory)
        .collect();
    RunFile(vec![Run {
        measurements,
        ..run("scale", "every node votes")
    }])
}

#[test]
fn rows_of_one_quantity_are_told_apart_by_their_formulas() {
    let runs = two_lines_of_one_quantity();
    let page = render(&runs);
    assert_eq!(check(&page, &runs), Ok(()));
    let mut lines: Vec<&str> = page.lines().collect();
    assert!(
        lines[3].contains("× nodes") && lines[4].contains("× teams"),
        "{page}"
    );
    lines.swap(3, 4);
    let swapped = problems_with(&lines.join("\n"), &runs);
    assert_eq!(
        swapped,
        ["line 5, column 3: out of order: belongs before the row of line 4"]
    );
    lines.remove(4);
    let missing = problems_with(&lines.join("\n"), &runs);
    assert_eq!(missing.len(), 1, "{missing:?}");
    assert!(
        missing[0].contains("missing row") && missing[0].contains("× nodes"),
        "{missing:?}"
    );
}

#[test]
fn a_line_that_overflows_is_no_line() {
    let steep = at_two_sizes(
        Role::Node,
        Phase::Idle,
        Quantity::Descriptors,
        [0.0, f64::MAX / 2.0],
    );
    let runs = RunFile(vec![Run {
        measurements: steep.to_vec(),
        ..run("scale", "every node votes")
    }]);
    assert!(
        render(&runs)
            .contains("| node | idle | descriptors | no line (2 sizes) | - | - | - | R1 |")
    );
}

#[test]
fn a_prediction_that_overflows_is_no_line() {
    let memory = |changes_per_hour, value| {
        let size = Size {
            changes_per_hour,
            ..TARGET
        };
        placer(size, Phase::Idle, Quantity::ResidentBytes, value)
    };
    let points = [(0.0, 0.0), (4e-155, 1e153)];
    let measurements: Vec<Measurement> = points.map(|(rate, value)| memory(rate, value)).to_vec();
    let points: Vec<Point> = measurements
        .iter()
        .map(|m| Point {
            size: m.size,
            value: m.value,
        })
        .collect();
    let fit = Fit::along(Axis::ChangesPerHour, &points).expect("the line itself is finite");
    assert_eq!(fit.at(TARGET.changes_per_hour), f64::INFINITY);
    let runs = RunFile(vec![Run {
        measurements,
        ..run("scale", "every node votes")
    }]);
    assert!(
        render(&runs)
            .contains("| placer | idle | resident-bytes | no line (2 sizes) | - | - | - |")
    );
}
