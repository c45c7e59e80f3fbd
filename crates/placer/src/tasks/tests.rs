use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::*;

/// Increments a counter of running tasks, and decrements it when dropped.
struct RunningGuard(Arc<AtomicUsize>);

impl RunningGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[tokio::test]
async fn shutdown_returns_once_every_task_has_ended() {
    let count = Arc::new(AtomicUsize::new(0));
    let mut tasks = TaskGroup::new();
    for _ in 0..3 {
        let running = RunningGuard::new(&count);
        tasks.spawn(async move {
            let _running = running;
            std::future::pending::<()>().await;
        });
    }
    tasks.spawn_with_token(|mut token| {
        let running = RunningGuard::new(&count);
        async move {
            let _running = running;
            token.cancelled().await;
            // The shutdown must wait for work that the task does after it was cancelled.
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(count.load(Ordering::Relaxed), 4);
    tasks.shutdown().await;
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_token_is_cancelled_by_its_handle_or_when_the_handle_is_dropped() {
    for drops_handle in [true, false] {
        let handle = CancelHandle::new();
        let token = handle.token();
        let mut handle = Some(handle);
        let task = tokio::spawn(token.run(std::future::pending::<()>()));
        if drops_handle {
            handle = None;
        } else if let Some(handle) = &handle {
            handle.cancel();
        }
        assert_eq!(task.await.unwrap(), None);
        drop(handle);
    }
}
