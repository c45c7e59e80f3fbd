use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::*;

/// Counts itself as running until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[tokio::test]
async fn shutdown_returns_once_every_task_has_ended() {
    let count = Arc::new(AtomicUsize::new(0));
    let mut tasks = TaskGroup::new();
    for _ in 0..3 {
        let running = Running::new(&count);
        tasks.spawn(async move {
            let _running = running;
            std::future::pending::<()>().await;
        });
    }
    tasks.spawn_with_token(|mut token| {
        let running = Running::new(&count);
        async move {
            let _running = running;
            token.cancelled().await;
            // Work that it does before it ends is waited for.
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(count.load(Ordering::Relaxed), 4);
    tasks.shutdown().await;
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_token_is_cancelled_by_its_handle_or_by_the_drop_of_it() {
    for drops in [true, false] {
        let handle = CancelHandle::new();
        let token = handle.token();
        let mut handle = Some(handle);
        let task = tokio::spawn(token.run(std::future::pending::<()>()));
        if drops {
            handle = None;
        } else if let Some(handle) = &handle {
            handle.cancel();
        }
        assert_eq!(task.await.unwrap(), None);
        drop(handle);
    }
}
