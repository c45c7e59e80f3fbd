//! Jobs: starts, lives, ends, eviction, stops, drains.

use reedring_node_protocol::{AttemptId, Idempotency, Message, Task, TaskEnd, TaskSignalKind};

use super::Node;
use super::types::State;
use crate::config::DrainStyle;
use crate::groups::Groups;

impl Node {
    pub(super) fn start_next(&mut self, now_us: u64) {
        while self.starting < self.config.starts {
            let Some(attempt) = self.queue.pop_front() else {
                break;
            };
            let Some(service) = self.jobs.get(&attempt).map(|job| job.task.service.clone()) else {
                continue;
            };
            let there = self.programs.contains(&service);
            self.programs.retain(|program| *program != service);
            self.programs.push_back(service);
            while self.programs.len() > self.config.keeps + self.services.len() {
                self.programs.pop_front();
            }
            let warm = (self.config.warm_ms * 1_000).max(1) as f64;
            let age = now_us.saturating_sub(self.started_us) as f64;
            let pace =
                self.config.cold_pace + (1.0 - self.config.cold_pace) * (age / warm).min(1.0);
            let factor = if there {
                1.0
            } else {
                self.config.absent_factor.max(1.0)
            };
            let slow = if self.fault.slow > 0.0 {
                self.fault.slow
            } else {
                1.0
            };
            let takes = (self.config.start_ms * 1e3 * factor * slow / pace) as u64;
            if let Some(job) = self.jobs.get_mut(&attempt) {
                (job.state, job.until_us) = (State::Starting, now_us + takes);
                self.due.insert((job.until_us, attempt));
                self.used += job.uses;
                self.starting += 1;
            }
        }
    }

    /// A start or a life is over.
    pub(super) fn over(&mut self, now_us: u64, attempt: AttemptId, groups: &mut Groups) {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        if job.state == State::Running {
            let end = job.end.clone();
            return self.end(attempt, end, true, groups);
        }
        (job.state, job.until_us) = (State::Running, now_us + job.life_us);
        self.due.insert((job.until_us, attempt));
        self.starting -= 1;
        let placer = job.placer.clone();
        let message = if self.config.yes_when_running {
            Message::Accepted {
                attempt,
                report: self.report(),
            }
        } else {
            Message::TaskSignal {
                attempt,
                kind: TaskSignalKind::Running,
                amount: 0.0,
            }
        };
        self.tell(&placer, message);
        self.evict(groups);
        self.start_next(now_us);
    }

    /// Memory ran out: the tasks taken last go first.
    pub(super) fn evict(&mut self, groups: &mut Groups) {
        while self.used > self.config.memory {
            let last = self
                .jobs
                .iter()
                .filter(|(_, job)| job.state != State::Queued);
            let Some(attempt) = last
                .max_by_key(|(_, job)| job.order)
                .map(|(attempt, _)| *attempt)
            else {
                break;
            };
            self.end(attempt, TaskEnd::Evicted, true, groups);
        }
    }

    pub(super) fn end(&mut self, attempt: AttemptId, end: TaskEnd, ran: bool, groups: &mut Groups) {
        let Some(job) = self.jobs.remove(&attempt) else {
            return;
        };
        self.asked = (
            self.asked.0 - job.task.cores,
            self.asked.1 - job.task.memory,
        );
        if let Some(count) = self.services.get_mut(&job.task.service) {
            *count -= 1;
            if *count == 0 {
                self.services.remove(&job.task.service);
            }
        }
        self.due.remove(&(job.until_us, attempt));
        if job.state == State::Queued {
            self.queue.retain(|queued| *queued != attempt);
        } else {
            self.used -= job.uses;
            self.starting -= usize::from(job.state == State::Starting);
        }
        if job.task.idempotency == Idempotency::IdempotentByKey {
            let to_its_end = matches!(end, TaskEnd::Exited(_) | TaskEnd::Signaled(_));
            groups.gone(
                attempt,
                &job.task,
                &self.config.hall,
                &self.config.rack,
                to_its_end,
            );
        }
        self.tell_end(&job.placer, attempt, job.task, end, ran);
    }

    pub(super) fn tell_end(
        &mut self,
        placer: &str,
        attempt: AttemptId,
        task: Task,
        end: TaskEnd,
        ran: bool,
    ) {
        if let Some(placer) = self.placers.get_mut(placer) {
            placer.ends.insert(attempt, (task, end.clone(), ran));
        }
        let report = self.report();
        self.tell(
            placer,
            Message::Ended {
                attempt,
                end,
                ran,
                report,
            },
        );
    }

    pub(super) fn stop(
        &mut self,
        now_us: u64,
        placer: &str,
        attempt: AttemptId,
        groups: &mut Groups,
    ) {
        let waits = self
            .line
            .iter()
            .position(|waiting| waiting.attempt == attempt);
        if let Some(waiting) = waits.and_then(|at| self.line.remove(at)) {
            return self.tell_end(placer, attempt, waiting.task, TaskEnd::Stopped, false);
        }
        match self.jobs.get(&attempt) {
            Some(job) => {
                let ran = job.state != State::Queued;
                self.end(attempt, TaskEnd::Stopped, ran, groups);
                self.start_next(now_us);
            }
            None => {
                // What it ended with stands; of all else it knows nothing.
                let told = self
                    .placers
                    .get(placer)
                    .and_then(|placer| placer.ends.get(&attempt).cloned());
                let (end, ran) = told.map_or((TaskEnd::Unknown, false), |(_, end, ran)| (end, ran));
                let report = self.report();
                self.tell(
                    placer,
                    Message::Ended {
                        attempt,
                        end,
                        ran,
                        report,
                    },
                );
            }
        }
    }

    pub(super) fn suspend(&mut self, now_us: u64, attempt: AttemptId, suspend: bool) {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        let topic = match (&job.state, suspend) {
            (State::Running, true) => {
                self.due.remove(&(job.until_us, attempt));
                job.state = State::Suspended {
                    left_us: job.until_us.saturating_sub(now_us),
                };
                TaskSignalKind::Suspended
            }
            (State::Suspended { left_us }, false) => {
                (job.until_us, job.state) = (now_us + left_us, State::Running);
                self.due.insert((job.until_us, attempt));
                TaskSignalKind::Resumed
            }
            _ => return,
        };
        let placer = job.placer.clone();
        self.tell(
            &placer,
            Message::TaskSignal {
                attempt,
                kind: topic,
                amount: 0.0,
            },
        );
    }

    /// Drains, or takes tasks again.
    pub fn drain(&mut self, drains: bool, groups: &mut Groups) {
        self.drains = drains;
        if drains && self.config.drain == DrainStyle::SendAway {
            let all: Vec<(AttemptId, bool)> = self
                .jobs
                .iter()
                .map(|(attempt, job)| (*attempt, job.state != State::Queued))
                .collect();
            for (attempt, ran) in all {
                self.end(attempt, TaskEnd::Drained, ran, groups);
            }
        }
    }

    /// It dies: its tasks die with it, and its group lets new copies stand.
    pub fn die(&mut self, groups: &mut Groups) {
        for (attempt, job) in std::mem::take(&mut self.jobs) {
            if job.task.idempotency == Idempotency::IdempotentByKey {
                groups.gone(
                    attempt,
                    &job.task,
                    &self.config.hall,
                    &self.config.rack,
                    false,
                );
            }
        }
    }
}
