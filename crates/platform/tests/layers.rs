//! Modules import one way: each only from the layers below its own.

use std::path::{Path, PathBuf};

/// The layers, from the top; the modules of one layer import none of each other.
const LAYERS: [&[&str]; 11] = [
    &["run"],
    &["sockets", "discovery", "message_log"],
    &["write_buffer"],
    &["engine"],
    &["clients", "hosts", "health_checks"],
    &["attempts"],
    &["state"],
    &["bounds", "io"],
    &["log_event"],
    &["errors"],
    &["decide", "ids"],
];

fn layer(module: &str) -> usize {
    let found = LAYERS.iter().position(|modules| modules.contains(&module));
    found.unwrap_or_else(|| panic!("{module} stands in no layer"))
}

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

/// The first name of each path that begins at the crate's root; a list in braces has none, and so stands in no layer.
fn imports(text: &str) -> Vec<String> {
    let name = |rest: &str| {
        rest.chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect::<String>()
    };
    text.split("crate::").skip(1).map(name).collect()
}

#[test]
fn modules_import_only_from_layers_below() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    sources(&root, &mut files);
    let (mut modules, mut seen) = (std::collections::BTreeSet::new(), 0);
    for file in files {
        let first = file.strip_prefix(&root).unwrap().iter().next().unwrap();
        let module = first.to_str().unwrap().trim_end_matches(".rs").to_owned();
        if module == "lib" {
            continue;
        }
        for import in imports(&std::fs::read_to_string(&file).unwrap()) {
            let inside = import == module;
            assert!(
                inside || layer(&import) > layer(&module),
                "{} imports {import}",
                file.display()
            );
            seen += 1;
        }
        modules.insert(module);
    }
    // Every layer's module was looked at, and what is counted is not nothing.
    assert_eq!(
        modules.len(),
        LAYERS.iter().map(|layer| layer.len()).sum::<usize>()
    );
    assert!(seen > modules.len(), "{seen}");
}
