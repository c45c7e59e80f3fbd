//! Ownership of background tasks: each task belongs to one [`TaskGroup`], which cancels and joins it.

use std::future::Future;

use tokio::sync::watch;
use tokio::task::JoinSet;

#[cfg(test)]
mod tests;

/// Requests that the tasks which hold its [`CancelToken`]s stop. Dropping it requests that too.
pub(crate) struct CancelHandle(watch::Sender<bool>);

/// Tells a task when it is to stop.
pub(crate) struct CancelToken(watch::Receiver<bool>);

impl CancelHandle {
    /// A handle that has requested nothing yet.
    pub fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    /// A token for a task that is to stop on request.
    pub fn token(&self) -> CancelToken {
        CancelToken(self.0.subscribe())
    }

    /// Requests that the tasks stop.
    pub fn cancel(&self) {
        self.0.send_replace(true);
    }
}

impl CancelToken {
    /// Returns once a stop was requested.
    pub async fn cancelled(&mut self) {
        // An error means that the handle was dropped, which is a request as well.
        let _ = self.0.wait_for(|cancelled| *cancelled).await;
    }

    /// Runs a future to its end, or drops it at its next await point once a stop was requested.
    pub async fn run<T>(mut self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.cancelled() => None,
            output = future => Some(output),
        }
    }
}

/// Tasks with one owner.
pub(crate) struct TaskGroup {
    tasks: JoinSet<()>,
    cancel: CancelHandle,
}

impl TaskGroup {
    /// A group without tasks.
    pub fn new() -> Self {
        Self {
            tasks: JoinSet::new(),
            cancel: CancelHandle::new(),
        }
    }

    /// Spawns a task, which is dropped at its next await point when the group shuts down.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.cancel.token();
        self.tasks.spawn(async move {
            token.run(task).await;
        });
    }

    /// Spawns a task that ends by itself when its token is cancelled, after it has joined its own tasks.
    pub fn spawn_with_token<F>(&mut self, task: impl FnOnce(CancelToken) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(task(self.cancel.token()));
    }

    /// Joins the tasks that have ended.
    pub fn reap(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Waits for the next task to end; pending for as long as there is none.
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
