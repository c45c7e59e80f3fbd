//! The files of this repository, and what the sources declare.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The text of a file, by its path from the root.
pub fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The Rust files below a folder, as paths from the root in order; tests are left out.
pub fn rust_files(folder: &str) -> Vec<String> {
    let mut found = Vec::new();
    collect(&root().join(folder), folder, &mut found);
    found.sort();
    found
}

fn collect(folder: &Path, name: &str, found: &mut Vec<String>) {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{name}: {error}"));
    for entry in entries {
        let path = entry
            .unwrap_or_else(|error| panic!("{name}: {error}"))
            .path();
        let file_name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let path_name = format!("{name}/{file_name}");
        match file_name.as_str() {
            "tests" | "tests.rs" | "target" => {}
            _ if path.is_dir() => collect(&path, &path_name, found),
            _ if file_name.ends_with(".rs") => found.push(path_name),
            _ => {}
        }
    }
}

/// The names of all types and traits that the sources declare.
pub fn type_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in rust_files("src").into_iter().chain(rust_files("crates")) {
        let text = read(&file);
        for line in text.lines() {
            names.extend(declared_type(line));
        }
    }
    names
}

fn declared_type(line: &str) -> Option<String> {
    let mut words = line
        .split_whitespace()
        .skip_while(|word| word.starts_with("pub"));
    let keyword = words.next()?;
    if !["struct", "enum", "trait", "type"].contains(&keyword) {
        return None;
    }
    let name: String = words
        .next()?
        .chars()
        .take_while(|c| c.is_alphanumeric())
        .collect();
    Some(name)
}
