use super::*;

fn text(text: &str) -> FileSnapshot {
    Ok(text.to_owned())
}

fn unreadable() -> FileSnapshot {
    Err(FileReadError {
        path: PathBuf::from("placer.toml"),
        reason: "no such file".to_owned(),
    })
}

#[test]
fn a_change_is_reported_once_after_two_polls_in_a_row_found_the_same_content() {
    let mut detector = FileChangeDetector::new("one".to_owned());
    for (snapshot, is_reported) in [
        (text("one"), false),
        (text("two, half writ"), false),
        (text("two, half written"), false),
        (text("two"), false),
        (text("two"), true),
        (text("two"), false),
        (unreadable(), false),
        (text("two"), false),
        (text("two"), false),
        (unreadable(), false),
        (unreadable(), true),
        (unreadable(), false),
        (text("two"), false),
        (text("two"), true),
    ] {
        assert_eq!(
            detector.observe(snapshot.clone()),
            is_reported.then_some(snapshot)
        );
    }
}
