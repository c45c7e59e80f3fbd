//! Offers: the line that they wait in, the look that accepts or refuses, and the fall of a cold node.

use rand_core::Rng;
use reedring_drmaa::JobSpec;
use reedring_node_protocol::{
    AttemptId, Idempotency, Message, RejectionReason, Task, TaskEnd, VersionStamp,
};

use super::Node;
use super::types::{Effect, Job, State, Waiting};
use crate::groups::Groups;

impl Node {
    #[allow(
        clippy::too_many_arguments,
        reason = "the fields of one message; to be a struct when the package is reworked"
    )]
    pub(super) fn offered(
        &mut self,
        now_us: u64,
        placer: String,
        attempt: AttemptId,
        task: Task,
        within_ms: u32,
        stamp: Option<VersionStamp>,
        groups: &mut Groups,
    ) {
        if self
            .placers
            .get(&placer)
            .is_some_and(|placer| placer.stamp != stamp)
            && stamp.is_some()
        {
            self.sees(now_us, &placer, stamp);
            self.placers.entry(placer.clone()).or_default().stamp = stamp;
        }
        // Turned away at the door: it costs the node nothing.
        if let Some(reason) = self.superseded(now_us, &placer, stamp.as_ref()) {
            return self.refuse(&placer, attempt, reason);
        }
        stamp.iter().for_each(|stamp| self.learn(now_us, stamp));
        if self.is_cold(now_us) {
            self.offers.push_back(now_us);
            let window = self.config.cold_window_ms * 1_000;
            while self.offers.front().is_some_and(|at| at + window < now_us) {
                self.offers.pop_front();
            }
            if self
                .config
                .cold_offers
                .is_some_and(|most| self.offers.len() > most as usize)
            {
                self.fallen = true;
                return self.effects.push(Effect::FellOver);
            }
        }
        if self.fault.deaf_to.contains(&task.class) {
            return;
        }
        if self.line.len() >= self.config.line {
            return self.refuse(&placer, attempt, RejectionReason::QueueFull);
        }
        let too_late_us = match within_ms {
            0 => u64::MAX,
            ms => now_us + u64::from(ms) * 1_000,
        };
        self.line.push_back(Waiting {
            attempt,
            placer,
            task,
            too_late_us,
            stamp,
        });
        if self.looks_until.is_none() {
            self.looks_until = Some(now_us + self.config.look().as_micros() as u64);
        }
        self.tick(now_us, groups);
    }

    pub(super) fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.started_us + self.config.warm_ms * 1_000
    }

    pub(super) fn refuse(&mut self, placer: &str, attempt: AttemptId, reason: RejectionReason) {
        let (text, report) = (String::new(), self.report());
        self.tell(
            placer,
            Message::Rejected {
                attempt,
                reason,
                text,
                report,
            },
        );
    }

    pub(super) fn look(&mut self, now_us: u64, waiting: Waiting, groups: &mut Groups) {
        let Waiting {
            attempt,
            placer,
            task,
            too_late_us,
            stamp,
        } = waiting;
        let (cores, memory) = self.asked;
        let (hall, rack) = (self.config.hall.clone(), self.config.rack.clone());
        let room = |asked: f64, ask: f64, size: f64, times: f64| asked + ask <= size * times + 1e-9;
        let superseded = self.superseded(now_us, &placer, stamp.as_ref());
        let refusal = if superseded.is_some() {
            // The floor rose while it was in line.
            superseded
        } else if too_late_us <= now_us {
            Some(RejectionReason::DeadlineExceeded)
        } else if self.drains {
            Some(RejectionReason::Draining)
        } else if self.fault.throttles.contains(&task.tenant) {
            Some(RejectionReason::Unspecified)
        } else if task.idempotency == Idempotency::IdempotentByKey
            && groups.stands(now_us, attempt, &task, &hall, &rack)
        {
            Some(RejectionReason::DuplicateActive)
        } else if !room(
            cores,
            task.cores,
            self.config.cores,
            self.config.accepts_cores,
        ) {
            Some(RejectionReason::NoCores)
        } else if !room(
            memory,
            task.memory,
            self.config.memory,
            self.config.accepts_memory,
        ) {
            Some(RejectionReason::NoMemory)
        } else {
            None
        };
        if let Some(reason) = refusal {
            return self.refuse(&placer, attempt, reason);
        }
        if task.idempotency == Idempotency::IdempotentByKey {
            groups.taken(now_us, attempt, &task, &hall, &rack);
        }
        let (life_us, end) = self.run_of(&task);
        let (low, high) = self.config.uses;
        let uses = task.memory
            * (low + (high - low) * f64::from(self.rng.next_u32()) / f64::from(u32::MAX));
        self.asked = (cores + task.cores, memory + task.memory);
        *self.services.entry(task.service.clone()).or_default() += 1;
        self.taken += 1;
        let order = self.taken;
        let state = State::Queued;
        let job = Job {
            placer: placer.clone(),
            task,
            state,
            until_us: 0,
            life_us,
            end,
            uses,
            order,
        };
        self.jobs.insert(attempt, job);
        self.queue.push_back(attempt);
        if !self.config.yes_when_running {
            let report = self.report();
            self.tell(&placer, Message::Accepted { attempt, report });
        }
        self.start_next(now_us);
    }

    /// How long a task runs and how it ends, by its command or its life.
    pub(super) fn run_of(&self, task: &Task) -> (u64, TaskEnd) {
        let spec: JobSpec = serde_json::from_slice(&task.payload).unwrap_or_default();
        let word = spec.command.rsplit('/').next().unwrap_or_default();
        let first = spec.args.first().map(String::as_str).unwrap_or_default();
        let told = if task.expected_duration_ms > 0 {
            task.expected_duration_ms
        } else {
            self.config.life_ms
        };
        match (word, first.parse::<f64>()) {
            ("sleep", Ok(seconds)) if (0.0..1e9).contains(&seconds) => {
                ((seconds * 1e6) as u64, TaskEnd::Exited(0))
            }
            ("true", _) => (0, TaskEnd::Exited(0)),
            ("false", _) => (0, TaskEnd::Exited(1)),
            ("exit", Ok(status)) if (0.0..256.0).contains(&status) => {
                (0, TaskEnd::Exited(status as u8))
            }
            _ => (told * 1_000, TaskEnd::Exited(0)),
        }
    }
}
