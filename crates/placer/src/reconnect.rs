//! Schedules reconnects: runs the core's [`ReconnectPacing`] with real time, and wakes links when they may attempt to
//! connect.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use reedring_core::reconnect::{ConnectFailure, LinkId, ReconnectPacing};
use tokio::sync::Notify;

use crate::log_events;

/// Permits links to reconnect, at the rates defined in `reedring_core::reconnect`.
pub(crate) struct ReconnectScheduler {
    /// Name of the placer, for log records.
    placer: String,
    started: Instant,
    state: Mutex<SchedulerState>,
    /// Notified when a link reported a result, after which the next attempt of some link may be due sooner.
    changed: Notify,
}

struct SchedulerState {
    pacing: ReconnectPacing,
    /// For each link, notified when it may make its next attempt.
    granted: BTreeMap<LinkId, Arc<Notify>>,
}

impl ReconnectScheduler {
    /// Creates the scheduler of a placer. The incarnation seeds the jitter.
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

    fn lock_state(&self) -> MutexGuard<'_, SchedulerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link to a node of this zone. Its first attempt may begin at once.
    pub fn add_link(self: &Arc<Self>, zone: &str) -> ReconnectPermit {
        let granted = Arc::new(Notify::new());
        let mut state = self.lock_state();
        let id = state.pacing.add(zone);
        state.granted.insert(id, Arc::clone(&granted));
        ReconnectPermit {
            id,
            granted,
            scheduler: Arc::clone(self),
        }
    }

    /// Removes a link, which is never permitted another attempt.
    pub fn remove_link(&self, id: LinkId) {
        let mut state = self.lock_state();
        state.granted.remove(&id);
        state.pacing.remove(id);
    }

    /// Moves a link to another zone, as its node has moved.
    pub fn change_zone(&self, id: LinkId, zone: &str) {
        self.lock_state().pacing.change_zone(id, zone);
    }

    /// Permits attempts when they are due; never returns.
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

    /// Wakes the links that may make an attempt now. Returns the time until the next attempt is due, `None` if no
    /// link is waiting.
    fn grant_due(&self) -> Option<Duration> {
        let mut state = self.lock_state();
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

/// Held by one link task: reports the results of the link's attempts, and waits until the next one is permitted.
pub(crate) struct ReconnectPermit {
    id: LinkId,
    granted: Arc<Notify>,
    scheduler: Arc<ReconnectScheduler>,
}

impl ReconnectPermit {
    /// Id of the link at the scheduler.
    pub fn id(&self) -> LinkId {
        self.id
    }

    /// Reports that the link is established.
    pub fn link_established(&self) {
        let now = self.scheduler.now_us();
        self.scheduler.lock_state().pacing.connected(now, self.id);
        self.scheduler.changed.notify_one();
    }

    /// Reports that an established link has ended, and waits until the next attempt may begin.
    pub async fn wait_after_disconnect(&self) {
        let now = self.scheduler.now_us();
        self.scheduler
            .lock_state()
            .pacing
            .disconnected(now, self.id);
        self.wait_for_permit().await;
    }

    /// An attempt has failed; returns when the next may begin.
    pub async fn wait_after_failure(&self, failure: ConnectFailure) {
        let now = self.scheduler.now_us();
        self.scheduler
            .lock_state()
            .pacing
            .attempt_failed(now, self.id, failure);
        self.wait_for_permit().await;
    }

    async fn wait_for_permit(&self) {
        self.scheduler.changed.notify_one();
        self.granted.notified().await;
    }
}
