//! The C program on a traced site.

use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;

use reedring_audit::{Recorder, Report, audit, read};
use reedring_local_cluster::{Plan, Site};

/// The shared library of this build.
pub fn library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let deps = test.parent().unwrap();
    let places = [
        deps.join("libdrmaa.so"),
        deps.parent().unwrap().join("libdrmaa.so"),
    ];
    places
        .iter()
        .find(|path| path.exists())
        .expect("libdrmaa.so was built with this test")
        .clone()
}

/// Runs a program to its end and returns what it printed.
pub fn run(mut command: Command) -> String {
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert!(
        output.status.success(),
        "{command:?}: {}\n{out}\n{err}",
        output.status
    );
    out
}

/// Builds `client.c`, which needs `cc` as the build of the workspace does, and lets it submit a bulk of
/// so many jobs from each of so many threads, and one job more. The trace's verdict is returned.
pub fn c_program(threads: u32, jobs: u32) -> Report {
    let recorder = Arc::new(Recorder::in_memory());
    let mut plan = Plan::local(4);
    plan.recorder = Some(Arc::clone(&recorder));
    let site = Site::start(plan).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let (binary, source) = (dir.path().join("client"), env!("CARGO_MANIFEST_DIR"));
    let mut cc = Command::new("cc");
    cc.args(["-Wall", "-Wextra", "-Werror", "-pthread", "-o"])
        .arg(&binary);
    cc.arg(format!("-I{source}/include"))
        .arg(format!("{source}/tests/client.c"))
        .arg(library());
    run(cc);
    let mut client = Command::new(&binary);
    client.args([threads.to_string(), jobs.to_string()]);
    client.env("REEDRING_CONTACT", site.contact("placer-1").unwrap());
    client.env("LD_LIBRARY_PATH", library().parent().unwrap());
    assert_eq!(run(client), format!("{} jobs\n", threads * jobs + 1));
    drop(site);
    audit(&read(&recorder.finish().unwrap()).unwrap())
}
