//! Permits to reconnect: runs the core's [`ReconnectPacing`] on the real clock, and wakes the links that it lets try.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use reedring_core::reconnect::{ConnectFailure, LinkId, ReconnectPacing};
use tokio::sync::Notify;

use crate::log_events;

/// Grants permits to reconnect, at the rates of `reedring_core::reconnect`.
pub(crate) struct ReconnectScheduler {
    /// The placer, for log records.
    placer: String,
    started: Instant,
    state: Mutex<SchedulerState>,
    /// Notified when a link reported something that may let a link try sooner.
    changed: Notify,
}

struct SchedulerState {
    pacing: ReconnectPacing,
    /// Notified when the link may try.
    granted: BTreeMap<LinkId, Arc<Notify>>,
}

impl ReconnectScheduler {
    /// For this incarnation of a placer.
    pub fn new(placer: &str, incarnation: u64) -> Arc<Self> {
        let state = SchedulerState {
            pacing: ReconnectPacing::new(incarnation),
            granted: BTreeMap::new(),
        };
        Arc::new(Self {
            placer: placer.to_owned(),
            started: Instant::now(),
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link to a node of this zone, which may try at once.
    pub fn add_link(self: &Arc<Self>, zone: &str) -> ReconnectPermit {
        let granted = Arc::new(Notify::new());
        let mut state = self.state();
        let id = state.pacing.add(zone);
        state.granted.insert(id, Arc::clone(&granted));
        ReconnectPermit {
            id,
            granted,
            scheduler: Arc::clone(self),
        }
    }

    /// Removes a link, which gets no permit any more.
    pub fn remove_link(&self, id: LinkId) {
        let mut state = self.state();
        state.granted.remove(&id);
        state.pacing.remove(id);
    }

    /// The node of this link is in another zone.
    pub fn change_zone(&self, id: LinkId, zone: &str) {
        self.state().pacing.change_zone(id, zone);
    }

    /// Grants permits when they are due, for as long as the placer runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wait = self.grant_due();
            let sleep = tokio::time::sleep(wait.unwrap_or_default());
            tokio::select! {
                () = sleep, if wait.is_some() => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Wakes the links that may try now; how long until the next one may.
    fn grant_due(&self) -> Option<Duration> {
        let mut state = self.state();
        let now = self.now_us();
        for id in state.pacing.due(now) {
            if let Some(granted) = state.granted.get(&id) {
                granted.notify_one();
            }
        }
        while let Some(event) = state.pacing.next_event() {
            log_events::record(&self.placer, &event);
        }
        let wake = state.pacing.next_wake()?;
        Some(Duration::from_micros(wake.saturating_sub(now)))
    }
}

/// One link's right to reconnect.
pub(crate) struct ReconnectPermit {
    id: LinkId,
    granted: Arc<Notify>,
    scheduler: Arc<ReconnectScheduler>,
}

impl ReconnectPermit {
    /// The link's id at the scheduler.
    pub fn id(&self) -> LinkId {
        self.id
    }

    /// The link is established.
    pub fn link_established(&self) {
        let now = self.scheduler.now_us();
        self.scheduler.state().pacing.connected(now, self.id);
        self.scheduler.changed.notify_one();
    }

    /// An established link has ended; returns when the next attempt may begin.
    pub async fn wait_after_disconnect(&self) {
        let now = self.scheduler.now_us();
        self.scheduler.state().pacing.disconnected(now, self.id);
        self.wait().await;
    }

    /// An attempt has failed; returns when the next may begin.
    pub async fn wait_after_failure(&self, failure: ConnectFailure) {
        let now = self.scheduler.now_us();
        self.scheduler
            .state()
            .pacing
            .attempt_failed(now, self.id, failure);
        self.wait().await;
    }

    async fn wait(&self) {
        self.scheduler.changed.notify_one();
        self.granted.notified().await;
    }
}
