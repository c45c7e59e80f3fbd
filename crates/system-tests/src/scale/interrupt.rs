//! What is left of a run that is interrupted: nothing. Its children are killed by the system when it ends.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, Once, PoisonError};

use reedring_connection::Signals;

static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
static WATCH: Once = Once::new();
/// Exit code of a run that was interrupted.
const INTERRUPTED: i32 = 130;

/// Removes this folder when the process is interrupted or asked to end, and ends it.
pub fn remove_on_signal(folder: &Path) {
    FOLDERS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(folder.to_owned());
    WATCH.call_once(|| {
        let _ = std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(watch);
    });
}

fn watch() {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let asked = runtime.block_on(async {
        let mut signals = Signals::new()?;
        Ok::<_, std::io::Error>(signals.next().await)
    });
    if asked.is_err() {
        return;
    }
    for folder in FOLDERS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(INTERRUPTED);
}
