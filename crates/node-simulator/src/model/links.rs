//! Links: greetings, what a placer is told that is held for it, and which link may speak.

use reedring_node_protocol::{InFlightState, InFlightTask, Message, VersionStamp};

use super::types::{Effect, LinkId, State};
use super::{Node, PAGE};
use crate::config::Reports;
use crate::groups::Groups;

impl Node {
    /// A link ended.
    pub fn link_gone(&mut self, link: LinkId) {
        if let Some(placer) = self.links.remove(&link)
            && let Some(placer) = self.placers.get_mut(&placer)
            && placer.link == Some(link)
        {
            placer.link = None;
        }
    }

    /// A message came on a link.
    pub fn message(&mut self, now_us: u64, link: LinkId, message: Message, groups: &mut Groups) {
        self.tick(now_us, groups);
        if self.fallen {
            return;
        }
        if let Message::Hello {
            placer,
            incarnation,
            link: number,
            version_info,
        } = message
        {
            if version_info.is_some() && !self.config.plans {
                // It speaks version 1 alone.
                return self.effects.push(Effect::Close(link));
            }
            return self.hello(
                now_us,
                link,
                &placer,
                (incarnation, number),
                version_info.map(|info| info.stamp),
            );
        }
        if matches!(message, Message::ConfigRequest(_)) && !self.config.plans {
            // A frame of another version: nothing after it can be trusted.
            return self.effects.push(Effect::Close(link));
        }
        let Some(placer) = self.links.get(&link).cloned() else {
            // Nothing but a greeting may come first.
            return self.effects.push(Effect::Close(link));
        };
        if self.placers.get(&placer).and_then(|placer| placer.link) != Some(link) {
            // An older link of this placer: what it says is void.
            return self.effects.push(Effect::Close(link));
        }
        if self.fault.hangs {
            return self.backlog.push_back((link, message));
        }
        match message {
            Message::Offer {
                attempt,
                task,
                within_ms,
                stamp,
            } => {
                self.offered(now_us, placer, attempt, *task, within_ms, stamp, groups);
            }
            Message::ConfigRequest(order) => self.ordered(now_us, link, &order),
            Message::Stop { attempt } => self.stop(now_us, &placer, attempt, groups),
            Message::Probe { nonce } => {
                let report = if self.config.reports == Reports::Never {
                    Vec::new()
                } else {
                    self.load()
                };
                self.effects
                    .push(Effect::Send(link, Message::Report { nonce, report }));
            }
            Message::Suspend { attempt } => self.suspend(now_us, attempt, true),
            Message::Resume { attempt } => self.suspend(now_us, attempt, false),
            Message::Ack { attempt } => {
                if let Some(placer) = self.placers.get_mut(&placer) {
                    placer.ends.remove(&attempt);
                }
            }
            _ => {}
        }
        self.tick(now_us, groups);
    }

    pub(super) fn hello(
        &mut self,
        now_us: u64,
        link: LinkId,
        name: &str,
        newest: (u64, u64),
        stamp: Option<VersionStamp>,
    ) {
        let placer = self.placers.entry(name.to_owned()).or_default();
        if newest < placer.newest {
            return self.effects.push(Effect::Close(link));
        }
        (placer.newest, placer.stamp) = (newest, stamp);
        if let Some(old) = placer.link.replace(link).filter(|old| *old != link) {
            self.links.remove(&old);
            self.effects.push(Effect::Close(old));
        }
        let up_ms = now_us.saturating_sub(self.started_us) / 1_000;
        self.sees(now_us, name, stamp);
        let record = stamp.is_some().then(|| self.record(now_us));
        let welcome = Message::Welcome {
            node: self.config.name.clone(),
            incarnation: self.life,
            up_ms,
            can_suspend: self.config.can_suspend,
            acceptor_report: record,
        };
        self.effects.push(Effect::Send(link, welcome));
        let mut held: Vec<InFlightTask> = Vec::new();
        let waiting = self.line.iter().filter(|waiting| waiting.placer == name);
        held.extend(waiting.map(|waiting| InFlightTask {
            attempt: waiting.attempt,
            task: waiting.task.clone(),
            state: InFlightState::Queued,
        }));
        let jobs = self.jobs.iter().filter(|(_, job)| job.placer == name);
        held.extend(jobs.map(|(attempt, job)| InFlightTask {
            attempt: *attempt,
            task: job.task.clone(),
            state: match job.state {
                State::Queued | State::Starting => InFlightState::Accepted,
                State::Running => InFlightState::Running,
                State::Suspended { .. } => InFlightState::Suspended,
            },
        }));
        let ends = &self.placers[name].ends;
        held.extend(ends.iter().map(|(attempt, (task, end, ran))| InFlightTask {
            attempt: *attempt,
            task: task.clone(),
            state: InFlightState::Ended {
                end: end.clone(),
                ran: *ran,
            },
        }));
        let mut page = Vec::new();
        let mut size = 0;
        for one in held {
            size += 256 + one.task.payload.len() + one.task.job.len() * 2 + one.task.service.len();
            page.push(one);
            if size > PAGE {
                let held = std::mem::take(&mut page);
                self.effects.push(Effect::Send(
                    link,
                    Message::InFlight {
                        tasks: held,
                        last: false,
                    },
                ));
                size = 0;
            }
        }
        self.effects.push(Effect::Send(
            link,
            Message::InFlight {
                tasks: page,
                last: true,
            },
        ));
        self.links.insert(link, name.to_owned());
    }

    pub(super) fn tell(&mut self, placer: &str, message: Message) {
        if let Some(link) = self.placers.get(placer).and_then(|placer| placer.link) {
            self.effects.push(Effect::Send(link, message));
        }
    }
}
