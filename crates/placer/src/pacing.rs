//! The shell around [`ReconnectPacing`]: gives it the time, and wakes the links that it lets try.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use reedring_core::reconnect::{Failure, LinkId, ReconnectPacing};
use tokio::sync::Notify;

use crate::log_events;

/// Lets links try again, at the rates of `reedring_core::reconnect`.
pub(crate) struct Pacer {
    /// The placer, for log lines.
    placer: String,
    began: Instant,
    state: Mutex<State>,
    /// Something was told that may let a link try sooner.
    told: Notify,
}

struct State {
    pacing: ReconnectPacing,
    /// Woken when a link may try.
    turns: BTreeMap<LinkId, Arc<Notify>>,
}

impl Pacer {
    /// For this life of a placer.
    pub fn new(placer: &str, life: u64) -> Arc<Self> {
        let state = State {
            pacing: ReconnectPacing::new(life),
            turns: BTreeMap::new(),
        };
        Arc::new(Self {
            placer: placer.to_owned(),
            began: Instant::now(),
            state: Mutex::new(state),
            told: Notify::new(),
        })
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A link is wanted to a node of this zone; it may try at once.
    pub fn wanted(self: &Arc<Self>, zone: &str) -> Turns {
        let turn = Arc::new(Notify::new());
        let mut state = self.state();
        let id = state.pacing.wanted(zone);
        state.turns.insert(id, Arc::clone(&turn));
        Turns {
            id,
            turn,
            pacer: Arc::clone(self),
        }
    }

    /// A link is wanted no more.
    pub fn left(&self, id: LinkId) {
        let mut state = self.state();
        state.turns.remove(&id);
        state.pacing.left(id);
    }

    /// A node is in another zone.
    pub fn moved_zone(&self, id: LinkId, zone: &str) {
        self.state().pacing.moved_zone(id, zone);
    }

    /// Wakes links in their turn, for as long as the placer runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wait = self.wake_due();
            let sleep = tokio::time::sleep(wait.unwrap_or_default());
            tokio::select! {
                () = sleep, if wait.is_some() => {}
                () = self.told.notified() => {}
            }
        }
    }

    /// Wakes the links whose turn it is; how long until the next one's.
    fn wake_due(&self) -> Option<Duration> {
        let mut state = self.state();
        let now = self.now();
        for id in state.pacing.due(now) {
            if let Some(turn) = state.turns.get(&id) {
                turn.notify_one();
            }
        }
        while let Some(event) = state.pacing.next_event() {
            log_events::record(&self.placer, &event);
        }
        let wake = state.pacing.next_wake()?;
        Some(Duration::from_micros(wake.saturating_sub(now)))
    }
}

/// One link's side of the pacing.
pub(crate) struct Turns {
    id: LinkId,
    turn: Arc<Notify>,
    pacer: Arc<Pacer>,
}

impl Turns {
    /// Its number.
    pub fn id(&self) -> LinkId {
        self.id
    }

    /// The link stands.
    pub fn stood(&self) {
        let now = self.pacer.now();
        self.pacer.state().pacing.stood(now, self.id);
        self.pacer.told.notify_one();
    }

    /// The link that stood has ended; returns when it may be made again.
    pub async fn after_end(&self) {
        let now = self.pacer.now();
        self.pacer.state().pacing.ended(now, self.id);
        self.wait().await;
    }

    /// A try failed; returns when the next may be made.
    pub async fn after_failure(&self, failure: Failure) {
        let now = self.pacer.now();
        self.pacer.state().pacing.failed(now, self.id, failure);
        self.wait().await;
    }

    async fn wait(&self) {
        self.pacer.told.notify_one();
        self.turn.notified().await;
    }
}
