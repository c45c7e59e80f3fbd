//! The decision module is named whole to the bench, stays in small files, and is free of I/O, time and chance of its own.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The most lines that a file of the module may have: a reader takes one in without scrolling for long.
const MAX_LINES: usize = 400;

/// What has no place in the module: time, I/O, threads, globals, and maps whose order changes from run to run.
const FORBIDDEN: [&str; 11] = [
    "std::time",
    "std::io",
    "std::fs",
    "std::net",
    "std::env",
    "std::thread",
    "std::sync",
    "thread_local!",
    "static mut",
    "HashMap",
    "HashSet",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// Each file of `src/logic`, by its path from the root, with its text.
fn module_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src/logic"), &mut files);
    files
        .iter()
        .map(|file| {
            let name = file.strip_prefix(root).unwrap().display().to_string();
            (name, std::fs::read_to_string(file).unwrap())
        })
        .collect()
}

/// The entries of `policy` in the deploy file.
fn policy() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let list = deploy.split_once("policy = [").unwrap().1;
    let list = list.split_once(']').unwrap().0;
    list.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn policy_names_the_files_of_the_module_and_no_others() {
    let files: BTreeSet<String> = module_files().into_iter().map(|(name, _)| name).collect();
    assert!(!files.is_empty());
    assert_eq!(policy(), files);
}

#[test]
fn each_file_is_small_and_says_first_what_it_decides() {
    for (name, text) in module_files() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines");
        assert!(
            text.starts_with("//! "),
            "{name} says first what it decides"
        );
    }
}

#[test]
fn the_module_uses_no_io_time_globals_or_unordered_maps() {
    for (name, text) in module_files() {
        for word in FORBIDDEN {
            assert!(!text.contains(word), "{name} uses {word}");
        }
    }
}

#[test]
fn the_module_imports_by_name() {
    for (name, text) in module_files() {
        assert!(!text.contains("::*;"), "{name} imports by a glob");
    }
}
