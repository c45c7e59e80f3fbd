//! Guards against import cycles: each module may import only from layers below its own.

use std::path::{Path, PathBuf};

/// The layers from the top, by the first component of a module's path; modules of one layer do not import each other.
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

/// Index of the layer that lists the module.
fn layer(module: &str) -> usize {
    let found = LAYERS.iter().position(|modules| modules.contains(&module));
    found.unwrap_or_else(|| panic!("module {module} is not listed in LAYERS"))
}

/// Collects all files below `folder`.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// The first component of each path that begins with `crate::`. For a list in braces it is empty, which is in no layer
/// and so fails the test.
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
    collect_sources(&root, &mut files);
    let (mut modules, mut import_count) = (std::collections::BTreeSet::new(), 0);
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
                "{} imports {import}, which is not in a lower layer",
                file.display()
            );
            import_count += 1;
        }
        modules.insert(module);
    }
    // Every listed module was found, and the search for imports found some.
    assert_eq!(
        modules.len(),
        LAYERS.iter().map(|layer| layer.len()).sum::<usize>()
    );
    assert!(import_count > modules.len(), "{import_count}");
}
