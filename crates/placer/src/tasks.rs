//! Ownership of background tasks: each task belongs to one [`TaskGroup`], which cancels and joins it.

use std::future::Future;

use tokio::sync::watch;
use tokio::task::JoinSet;

#[cfg(test)]
mod tests;

/// Cancels the tasks that hold its [`CancelToken`]s. Dropping the handle cancels them, too.
pub(crate) struct CancelHandle(watch::Sender<bool>);

/// Notifies a task that it is cancelled.
pub(crate) struct CancelToken(watch::Receiver<bool>);

impl CancelHandle {
    /// Creates a handle that is not cancelled.
    pub fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    /// Creates a token for a task that this handle can cancel.
    pub fn token(&self) -> CancelToken {
        CancelToken(self.0.subscribe())
    }

    /// Cancels all tasks that hold a token of this handle.
    pub fn cancel(&self) {
        self.0.send_replace(true);
    }
}

impl CancelToken {
    /// Waits until the token is cancelled.
    pub async fn cancelled(&mut self) {
        // An error means that the handle was dropped, which cancels the token, too.
        let _ = self.0.wait_for(|cancelled| *cancelled).await;
    }

    /// Runs a future to its end and returns its output. If the token is cancelled first, drops the future at its next
    /// await point and returns `None`.
    pub async fn run<T>(mut self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.cancelled() => None,
            output = future => Some(output),
        }
    }
}

/// A group of tasks that are cancelled and joined together.
pub(crate) struct TaskGroup {
    tasks: JoinSet<()>,
    cancel: CancelHandle,
}

impl TaskGroup {
    /// Creates a group without tasks.
    pub fn new() -> Self {
        Self {
            tasks: JoinSet::new(),
            cancel: CancelHandle::new(),
        }
    }

    /// Spawns a task, which is dropped at its next await point when the group is shut down.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.cancel.token();
        self.tasks.spawn(async move {
            token.run(task).await;
        });
    }

    /// Spawns a task that is given a token and must end by itself once that is cancelled, so that it can join its own
    /// tasks first.
    pub fn spawn_with_token<F>(&mut self, task: impl FnOnce(CancelToken) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(task(self.cancel.token()));
    }

    /// Joins the tasks that have already ended, without waiting.
    pub fn reap(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Waits until a task ends, and joins it; never returns if the group has no tasks.
    pub async fn next_ended(&mut self) {
        if self.tasks.join_next().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Cancels all tasks and joins them.
    pub async fn shutdown(mut self) {
        self.cancel.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
