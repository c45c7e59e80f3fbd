//! Sub-commands that were renamed still answer to their former names, and help lists the new ones alone.

use std::process::{Command, Output};

/// Former name, present name.
const RENAMED: [(&str, &str); 3] = [
    ("standin", "node-simulator"),
    ("bad-day", "fault-scenario"),
    ("kills", "crash-test"),
];

fn reedring(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reedring"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn help(arguments: &[&str]) -> String {
    let output = reedring(arguments);
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).expect("help is UTF-8")
}

#[test]
fn former_names_run_the_renamed_commands() {
    for (former, present) in RENAMED {
        let by_former_name = help(&[former, "--help"]);
        assert_eq!(by_former_name, help(&[present, "--help"]), "{former}");
        assert!(by_former_name.contains(present), "{by_former_name}");
    }
}

#[test]
fn help_lists_the_present_names_alone() {
    let listed = help(&["--help"]);
    let commands: Vec<&str> = listed
        .lines()
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    for (former, present) in RENAMED {
        assert!(commands.contains(&present), "{listed}");
        assert!(!commands.contains(&former), "{listed}");
    }
}
