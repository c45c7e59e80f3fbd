//! Hosts: what is known of each, whether it is still there, and its connections.

mod links;
mod list;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use reedring::names::machine_id;
use reedring::{AttemptId, Event, Health, Listing, Machine, MachineId, Micros, Outcome, RequestId};
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::discovery::{
    EndpointList, Entry, State, WatchEvent, WatchResponse, number,
};
use reedring_platform_protocol::host::{FromHost, ToHost};
use reedring_platform_protocol::{CANCELLED, CUT, ERROR, FULL, GIVEN_UP, MOOT};

use crate::decide::{self, Candidate, Choice, Down, Execution, Seen, Spent};
use crate::io::{LinkId, Output};
use crate::state::{Engine, FIRST_WAIT, Host, Link, Phase, Request, Timer, connect_us};

/// Times that a set-up of which no byte left is sent again as the same attempt.
const MOST_RESENT: u8 = 3;
/// A host that holds tasks and says nothing for so long is connected to once more, and again after that: whether
/// it still is there can't be told otherwise, as to probe is the module's to decide.
const UNHEARD_US: Micros = 2_500_000;
const CHECK_US: Micros = 1_000_000;
/// A host that holds tasks and has no connection, as others needed the place, is visited after so long: twice within
/// the 8 s in which an end is owed that its host could not tell.
const REVISIT_US: Micros = 3_500_000;
/// A host that was told to end a task and does not say that it did has no such task any more.
const ENDING_US: Micros = 5_000_000;
/// A host that left the list and still has a connection may wrap up for so long.
const LEFT_US: Micros = 3_000_000;

impl Engine {
    pub(crate) fn links_of(&self, machine: MachineId) -> impl Iterator<Item = (LinkId, &Link)> {
        let links = self
            .hosts
            .get(&machine)
            .into_iter()
            .flat_map(|host| &host.links);
        links.filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    /// Keeps a connection to a host for as long as tasks stand there, and finds out whether they still do.
    pub(crate) fn look_at(&mut self, now: Micros, machine: MachineId) {
        let up = self.links_of(machine).filter(|(_, link)| link.up).count();
        let Some(host) = self.hosts.get(&machine) else {
            return;
        };
        let seen = Seen {
            // One that no line ever named can't be connected to.
            listed: host.entry.is_none() || host.is_listed(),
            leaving: host.health() == Some(State::Leaving),
            broke: host.broke,
            links_up: up,
            refused: host.refused,
            unreachable: if host.entry.is_some() {
                host.unreachable
            } else {
                u32::MAX
            },
            quiet_us: now.saturating_sub(host.heard_at),
        };
        if let Some(lost) = decide::lost_all(seen).filter(|_| !host.standing.is_empty()) {
            let standing = host.tasks();
            let (name, why) = (self.name(machine), lost.reason());
            self.log(format!(
                "host {name}: {} tasks are lost with it: {why}",
                standing.len()
            ));
            for request in standing {
                self.over(now, request, Outcome::Reset, None, CUT, Vec::new());
            }
        }
        let Some(host) = self.hosts.get_mut(&machine) else {
            return;
        };
        if host.is_asked() && !host.waiting && host.parked.is_none() && host.address().is_some() {
            let wait = host.waits.wait();
            let at_once = host.refused == 0 && wait == FIRST_WAIT;
            host.waiting = true;
            let wait = if at_once {
                0
            } else {
                wait.as_micros() as Micros
            };
            self.timers.set(now + wait, Timer::Reconnect(machine));
        }
        let host = &self.hosts[&machine];
        if host.links.is_empty() && host.standing.is_empty() && !host.waiting && !host.is_listed() {
            self.hosts.remove(&machine);
        }
    }

    pub(crate) fn name(&self, machine: MachineId) -> &str {
        let entry = self
            .hosts
            .get(&machine)
            .and_then(|host| host.entry.as_ref());
        entry.map_or("of no line", |entry| entry.host.as_str())
    }

    pub(crate) fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.get_mut(&machine) else {
            return;
        };
        if !host.waiting && host.parked.is_none_or(|at| now < at) {
            return;
        }
        (host.waiting, host.parked) = (false, None);
        if host.is_asked() && !self.check(now, machine) && self.hosts[&machine].address().is_some()
        {
            // All places are taken by those that can't do without: the first that is left is this one's.
            if let Some(host) = self.hosts.get_mut(&machine) {
                host.waiting = true;
            }
            self.timers.set(
                now + FIRST_WAIT.as_micros() as Micros,
                Timer::Reconnect(machine),
            );
        }
    }

    /// Closes connections that nobody used for a while, a little before hosts do, so that no set-up crosses their
    /// close. A host that holds tasks keeps one.
    pub(crate) fn sweep_idle(&mut self, now: Micros) {
        let Some(idle) = self.settings.idle_close_us else {
            return;
        };
        let idle = idle / 10 * 9;
        let unused = |link: &Link| link.up && link.is_idle() && link.used + idle <= now;
        let unused: Vec<(LinkId, MachineId)> = self
            .links
            .iter()
            .filter(|(_, link)| unused(link))
            .map(|(id, link)| (*id, link.machine))
            .collect();
        for (id, machine) in unused {
            let holds = self
                .hosts
                .get(&machine)
                .is_some_and(|host| !host.standing.is_empty());
            if !holds
                || self
                    .links_of(machine)
                    .any(|(other, link)| other != id && link.up)
            {
                self.close_link(id);
            }
        }
    }

    pub(crate) fn sweep_hosts(&mut self, now: Micros) {
        self.sweep_idle(now);
        let ended = |entry: &Request| matches!(entry.phase, Phase::Ending { since, .. } if since + ENDING_US <= now);
        let ended = self
            .requests
            .iter()
            .filter(|(_, entry)| ended(entry))
            .map(|(request, _)| *request);
        for request in ended.collect::<Vec<_>>() {
            self.over(now, request, Outcome::Stopped, None, CANCELLED, Vec::new());
        }
        let quiet = |host: &Host| {
            !host.standing.is_empty()
                // One that is to be visited is connected to then.
                && host.parked.is_none()
                && !host.waiting
                && host.heard_at + UNHEARD_US <= now
                && host.checked_at + CHECK_US <= now
        };
        let quiet: Vec<MachineId> = self
            .hosts
            .iter()
            .filter(|(_, host)| quiet(host))
            .map(|(id, _)| *id)
            .collect();
        for machine in quiet {
            self.look_at(now, machine);
            self.check(now, machine);
            if let Some(host) = self.hosts.get_mut(&machine) {
                host.checked_at = now;
            }
        }
        let left = |host: &Host| host.left_at.is_some_and(|at| at + LEFT_US <= now);
        let left: Vec<MachineId> = self
            .hosts
            .iter()
            .filter(|(_, host)| left(host))
            .map(|(id, _)| *id)
            .collect();
        for machine in left {
            // Whatever its connections say, there is no such host any more, and its address may be another's.
            let links: Vec<LinkId> = self.links_of(machine).map(|(id, _)| id).collect();
            links.into_iter().for_each(|link| {
                self.outputs.push_back(Output::CloseLink(link));
                self.link_down(now, link, Down::Broke, u64::MAX);
            });
            self.look_at(now, machine);
        }
    }
}
