//! The module is printed and kept at hand: it stays short and narrow, and all of it is named to the bench.

use std::path::{Path, PathBuf};

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

#[test]
fn the_module_keeps_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src/logic"), &mut files);
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let mut lines = 0;
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{}:{}", file.display(), n + 1);
        }
        let name = file.strip_prefix(root).unwrap().display().to_string();
        assert!(
            deploy.contains(&format!("\"{name}\"")),
            "{name} stands under `policy`"
        );
        assert!(
            text.starts_with("//! "),
            "{name} says first what it decides"
        );
    }
    assert!(lines <= 1_000, "{lines}");
}
