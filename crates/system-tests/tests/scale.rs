//! Scale runs with whole programs, small.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Parser;
use reedring_capacity::measurement::{Phase, Quantity, Role, RunFile};
use reedring_node_protocol::MessageKind;
use reedring_system_tests::scale::layout::Layout;
use reedring_system_tests::scale::needs::Resource;
use reedring_system_tests::scale::phase::PhaseName;
use reedring_system_tests::scale::{self, Report, ScaleError, ScaleOptions};
use reedring_system_tests::{Launch, Program, Signal};

/// How long a process may take to say something.
const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    options: ScaleOptions,
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_reedring-system-tests"))
}

fn options(arguments: &str) -> ScaleOptions {
    Arguments::parse_from(["scale"].into_iter().chain(arguments.split_whitespace())).options
}

/// A small run; what it told line by line, and its report.
fn play(arguments: &str) -> (String, Report) {
    let mut told = Vec::new();
    let report = scale::play(program(), &options(arguments), &mut told).unwrap();
    (String::from_utf8(told).unwrap(), report)
}

/// The processes that a run told of.
fn process_ids(told: &str) -> Vec<u32> {
    let ids = told
        .lines()
        .filter_map(|line| line.strip_prefix("process "));
    ids.map(|line| line.split_whitespace().next().unwrap().parse().unwrap())
        .collect()
}

/// Whether a process of this id runs; one that ended and was not waited for does not.
fn runs(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    status
        .lines()
        .any(|line| line.starts_with("State:") && !line.contains('Z'))
}

/// Waits until none of these processes runs.
fn all_ended(ids: &[u32]) {
    let until = Instant::now() + PATIENCE;
    while let Some(id) = ids.iter().find(|id| runs(**id)) {
        assert!(Instant::now() < until, "process {id} still runs");
        std::thread::yield_now();
    }
}

#[test]
fn a_small_run_measures_each_phase_counts_alike_at_both_ends_and_leaves_no_process() {
    let phases = "idle,standing,plan-change,list-change,starts,region-still,placer-killed";
    let (told, report) = play(&format!(
        "--nodes 24 --placers 5 --lease 3 --window 0.5 --changes 2 --tasks 48 --starts-per-second 40 --phases {phases}"
    ));
    let ids = process_ids(&told);
    assert_eq!(ids.len(), 8 + 1 + 3 + 3, "{told}");
    all_ended(&ids);

    // Each of the two hollow placers greets each of the 21 hollow nodes, is greeted, asks for plans and is told.
    assert!(
        report.agreement.agreed >= 2 * 21 * 4,
        "{:?}",
        report.agreement
    );
    assert_eq!(
        report.agreement.lost, 0,
        "no link was cut: {:?}",
        report.agreement
    );

    let played: Vec<&str> = report
        .phases
        .iter()
        .map(|result| result.phase.name())
        .collect();
    assert_eq!(played.join(","), phases);
    for result in &report.phases {
        let changes = match result.phase {
            PhaseName::PlanChange => 2,
            PhaseName::ListChange | PhaseName::RegionStill | PhaseName::PlacerKilled => 1,
            _ => 0,
        };
        assert_eq!(result.in_force.len(), changes, "{result:?}");
        assert!(
            result.placer.resident > 0.0 && result.node.resident > 0.0,
            "{result:?}"
        );
        assert!(
            result.placer.descriptors > 24.0,
            "a link to each node: {result:?}"
        );
        let brings_plans = changes > 0 && result.phase != PhaseName::ListChange;
        assert!(
            !brings_plans || result.placer.control_bytes > 0.0,
            "{result:?}"
        );
        let brings_tasks = [PhaseName::Standing, PhaseName::Starts].contains(&result.phase);
        assert!(
            !brings_tasks || result.placer.work_messages > 0.0,
            "{result:?}"
        );
        let of_kinds: f64 = result.kinds.iter().map(|usage| usage.bytes).sum();
        let whole = result.placer.control_bytes + result.placer.work_bytes;
        assert!((of_kinds - whole).abs() < 0.5, "{result:?}");
    }

    let run = RunFile(vec![report.run()]);
    let read = RunFile::from_json(&run.to_json().unwrap()).unwrap();
    let has = |phase, role, quantity| {
        read.0[0]
            .measurements
            .iter()
            .any(|one| (one.phase, one.role, one.quantity) == (phase, role, quantity))
    };
    let by_second = [Phase::Idle];
    // Tasks stand from the phase on that starts them, and no size names a rate of starts.
    for one in &read.0[0].measurements {
        assert_eq!(
            one.size.running_tasks,
            if one.phase == Phase::Idle { 0 } else { 48 },
            "{one:?}"
        );
        assert!(
            one.phase != Phase::Starts || one.quantity != Quantity::ProcessorShare,
            "{one:?}"
        );
    }
    let by_event = [
        Phase::Starts,
        Phase::ConfigurationChange,
        Phase::ListChange,
        Phase::RegionCut,
        Phase::PlacerKilled,
    ];
    for role in [Role::Placer, Role::Node] {
        for phase in by_second {
            assert!(has(phase, role, Quantity::ProcessorShare), "{phase} {role}");
            assert!(has(phase, role, Quantity::BytesPerSecond), "{phase} {role}");
        }
        for phase in by_event {
            assert!(
                has(phase, role, Quantity::ProcessorSecondsPerEvent),
                "{phase} {role}"
            );
            assert!(has(phase, role, Quantity::BytesPerEvent), "{phase} {role}");
        }
    }
    assert!(has(
        Phase::ConfigurationChange,
        Role::Placer,
        Quantity::SecondsUntilEffective
    ));
}

/// Nodes that end and come back in each way, and changes one on the other.
#[test]
fn lost_nodes_are_linked_again_and_changes_come_in_force_meanwhile() {
    let phases = "placer-restarted,churn,zone-lost,region-refused,fast-changes";
    let (told, report) = play(&format!(
        "--nodes 40 --placers 4 --lease 3 --window 0.2 --tasks 0 --fast-seconds 1 --phases {phases}"
    ));
    all_ended(&process_ids(&told));
    let in_force: Vec<usize> = report
        .phases
        .iter()
        .map(|result| result.in_force.len())
        .collect();
    assert_eq!(in_force[..4], [0, 0, 0, 1]);
    assert!(in_force[4] >= 1, "{in_force:?}");
    assert!(report.phases.iter().all(|result| result.events > 0));
}

/// With machines set aside for control nodes hear nothing of a change, and control machines vote.
#[test]
fn control_machines_bring_changes_in_force_and_nodes_are_not_asked() {
    let phases = "idle,standing,plan-change,region-refused,placer-killed";
    let (told, report) = play(&format!(
        "--nodes 24 --placers 4 --control 3 --lease 3 --window 0.2 --changes 2 --tasks 24 --phases {phases}"
    ));
    let ids = process_ids(&told);
    assert_eq!(ids.len(), 8 + 3 + 1 + 3 + 3, "{told}");
    all_ended(&ids);
    let in_force: Vec<usize> = report
        .phases
        .iter()
        .map(|result| result.in_force.len())
        .collect();
    assert_eq!(in_force, [0, 0, 2, 1, 1]);
    for result in &report.phases {
        let control = result.control.unwrap();
        assert!(control.resident > 0.0);
        if ["idle", "plan-change"].contains(&result.phase.name()) {
            assert!(control.control_messages > 0.0, "{result:?}");
            // The placer that brings the change starts again, and greets.
            let of_greeting = [
                MessageKind::Hello,
                MessageKind::Welcome,
                MessageKind::InFlight,
            ];
            assert!(
                result
                    .node_kinds
                    .iter()
                    .all(|usage| of_greeting.contains(&usage.kind)),
                "{result:?}"
            );
        }
    }
    let run = report.run();
    assert_eq!(
        run.mechanism,
        "3 control machines vote (crates/plan/src/membership.rs)"
    );
    let of_control = run
        .measurements
        .iter()
        .filter(|one| one.role == Role::ControlMachine);
    assert!(of_control.count() > 0);
}

/// Starts a run as a process, and waits until it plays; it and its processes.
fn start_run() -> (Program, Vec<u32>) {
    let arguments = "scale --nodes 24 --placers 3 --tasks 0 --window 600 --phases idle";
    let arguments: Vec<&str> = arguments.split_whitespace().collect();
    let run = Launch::new(program(), "scale", &arguments).start().unwrap();
    run.wait_line(0, "its processes", PATIENCE, |line| {
        line.starts_with("all placers")
    })
    .unwrap();
    let ids = process_ids(&run.output_lines().join("\n"));
    assert_eq!(ids.len(), 8 + 3 + 3);
    assert!(ids.iter().all(|id| runs(*id)));
    (run, ids)
}

/// The folder of a run, from the file that one of its processes was started with.
fn folder_of(id: u32) -> PathBuf {
    let arguments = std::fs::read(format!("/proc/{id}/cmdline")).unwrap();
    let arguments = String::from_utf8(arguments).unwrap();
    let file = arguments
        .split('\0')
        .find(|argument| argument.ends_with(".toml"))
        .unwrap();
    Path::new(file).parent().unwrap().to_owned()
}

#[test]
fn a_run_that_is_interrupted_ends_its_processes_and_leaves_no_files() {
    let (run, ids) = start_run();
    let folder = folder_of(ids[0]);
    assert!(folder.exists());
    let status = run.terminate(PATIENCE).unwrap();
    assert_eq!(status.code(), Some(130));
    all_ended(&ids);
    assert!(!folder.exists(), "{}", folder.display());
}

#[test]
fn a_run_that_is_killed_takes_its_processes_along_also_where_one_stands_still() {
    let (run, ids) = start_run();
    let stopped = rustix::process::Pid::from_raw(ids[0] as i32).unwrap();
    rustix::process::kill_process(stopped, Signal::STOP).unwrap();
    let folder = folder_of(ids[0]);
    drop(run);
    all_ended(&ids);
    // Nobody is left to remove it.
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_run_that_does_not_fit_is_refused_before_it_starts() {
    let mut told = Vec::new();
    let refused =
        scale::play(program(), &options("--nodes 30000 --placers 64"), &mut told).unwrap_err();
    let ScaleError::DoesNotFit(wrong) = refused else {
        panic!("{refused}")
    };
    assert_eq!(wrong.resource, Resource::Memory);
    assert!(wrong.needed > wrong.limit);
    assert!(told.is_empty());
    let layout = Layout::new(30_000, 64, 0, 0, 20_000);
    assert!(
        layout.needs().memory <= wrong.needed,
        "tasks need memory too"
    );
}

#[test]
fn options_that_no_run_can_be_played_with_are_named() {
    let wrong = [
        (
            "--placers 1",
            "scale: --placers: 1 is not possible, it is at least 2",
        ),
        (
            "--nodes 11",
            "scale: --nodes: 11 is not possible, it is at least 12",
        ),
        (
            "--window 0",
            "scale: --window: 0 is not possible, it is a number over 0",
        ),
        (
            "--lease nan",
            "scale: --lease: NaN is not possible, it is a number over 0",
        ),
        (
            "--changes-per-hour -1",
            "scale: --changes-per-hour: -1 is not possible, it is a number over 0",
        ),
        (
            "--fast-seconds inf",
            "scale: --fast-seconds: inf is not possible, it is a number from 0 on",
        ),
    ];
    for (arguments, text) in wrong {
        let arguments = arguments.replace(" -1", "=-1");
        let error = scale::play(program(), &options(&arguments), &mut Vec::new()).unwrap_err();
        assert_eq!(error.to_string(), text);
    }
}
