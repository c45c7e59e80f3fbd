//! The deploy file names all source files of the decision module. The files stay small, and use no I/O, no clock and no
//! source of randomness or order that differs between runs.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a file of the module, so that a reader can take it in.
const MAX_LINES: usize = 400;

/// Words that must not occur in the module: time, I/O, threads, globals, and maps whose order differs between runs.
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

/// Appends all files below `folder` to `found`.
fn collect_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// The files of `src/logic`: the path from the root of the repository, and the text.
fn module_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_files(&root.join("src/logic"), &mut files);
    files
        .iter()
        .map(|file| {
            let name = file.strip_prefix(root).unwrap().display().to_string();
            (name, std::fs::read_to_string(file).unwrap())
        })
        .collect()
}

/// The paths listed under `policy` in `deploy/balancer.toml`.
fn policy_paths() -> BTreeSet<String> {
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
    assert_eq!(policy_paths(), files);
}

#[test]
fn each_file_is_small_and_starts_with_a_doc_comment() {
    for (name, text) in module_files() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines");
        assert!(
            text.starts_with("//! "),
            "{name} doesn't start with a doc comment that says what it decides"
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
fn the_module_has_no_glob_imports() {
    for (name, text) in module_files() {
        assert!(!text.contains("::*;"), "{name} has a glob import");
    }
}
