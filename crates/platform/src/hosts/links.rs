//! Links: connected, written to and closed, and what is done with their attempts when they end.

use reedring::{AttemptId, MachineId, Micros, Outcome};
use reedring_platform_protocol::discovery::HostHealth;
use reedring_platform_protocol::host::{Figures, ToHost};

use crate::attempts::remaining_ms;
use crate::decide::{self, Execution, LinkEnd, OlderLink, SurplusLink};
use crate::ids::LinkId;
use crate::io::Output;
use crate::state::{ClosingLink, Engine, Host, Link, Phase};

/// How often the same attempt is sent again after a link ended before any byte of it was written.
pub(super) const MAX_RESENDS: u8 = 3;

/// After a link that was established for this long, the next connection is made without a delay of earlier failures. Shorter
/// ones do not count: a host that breaks each link at once would be connected to without end.
const STABLE_LINK_US: Micros = 1_000_000;

/// A link of a host that runs tasks is replaced at the next liveness check if nothing was sent or received on it for this
/// part of the time after which hosts close idle links.
const UNPROVEN_IDLE_DIVISOR: Micros = 2;
/// The same, where the settings have no such time.
const MAX_UNPROVEN_US: Micros = 15_000_000;

impl Engine {
    /// Connects a new link to a host; `None` if the host's address is not known.
    pub(super) fn connect_link(&mut self, machine: MachineId) -> Option<LinkId> {
        let link = self.hosts.add_link(machine)?;
        self.outputs
            .push_back(Output::Connect(link.id, link.address));
        Some(link.id)
    }

    /// Sends a message on a link, or queues it until the link is established. Returns the message's index among those
    /// of the link.
    pub(crate) fn send_to_host(&mut self, id: LinkId, message: ToHost) -> u64 {
        let Some(link) = self.hosts.link_mut(id) else {
            return 0;
        };
        if !link.is_up {
            link.queue.push(message);
            return link.queue.len() as u64 - 1;
        }
        self.outputs.push_back(Output::ToHost(id, message));
        link.messages_sent += 1;
        link.messages_sent - 1
    }

    /// Removes an attempt's message from the queue of a link. Returns whether the link was still being made, so that
    /// the attempt was not sent.
    pub(crate) fn remove_queued_attempt(&mut self, link: LinkId, id: u64) -> bool {
        let link = self.hosts.link_mut(link);
        let Some(link) = link.filter(|link| !link.is_up) else {
            return false;
        };
        let matches_id = |message: &ToHost| matches!(message, ToHost::PlacementRequest { id: other, .. } if *other == id);
        link.queue.retain(|message| !matches_id(message));
        true
    }

    /// Sends the messages that were queued until the link was established.
    fn send_queue(&mut self, now: Micros, id: LinkId) {
        let queue = self
            .hosts
            .link_mut(id)
            .map(|link| std::mem::take(&mut link.queue));
        for message in queue.unwrap_or_default() {
            if let ToHost::PlacementRequest { .. } = message {
                self.send_queued_attempt(now, id, message);
            } else {
                self.send_to_host(id, message);
            }
        }
    }

    /// Sends an attempt that was queued until its link was established, unless its request is closed, its client has
    /// departed, its deadline has passed, or the decision module no longer allows it, for example because its host
    /// drains.
    fn send_queued_attempt(&mut self, now: Micros, link: LinkId, mut message: ToHost) {
        let ToHost::PlacementRequest { id, left_ms, .. } = &mut message else {
            return;
        };
        let Some(found) = self.requests.find(*id) else {
            return;
        };
        let (request, entry) = (found.id, found.request);
        let Some(attempt) = entry.in_flight.filter(|attempt| attempt.link == link) else {
            return;
        };
        let is_wanted =
            entry.phase == Phase::Open && !entry.client_departed && now < attempt.deadline;
        let number = attempt.number;
        if !is_wanted
            || !self
                .placer
                .claim_late_send(now, AttemptId { request, number })
        {
            return self.end_attempt(request, Outcome::Unsent.into());
        }
        *left_ms = remaining_ms(now, attempt.deadline);
        let message_index = self.send_to_host(link, message);
        let entry = self.requests.get_mut(request);
        if let Some(attempt) = entry.and_then(|entry| entry.in_flight.as_mut()) {
            attempt.message_index = message_index;
        }
    }

    /// Excludes a link from further use; it is closed once nothing is in flight on it.
    pub(crate) fn suspect_link(&mut self, id: LinkId) {
        let Some(link) = self.hosts.link_mut(id) else {
            return;
        };
        link.is_suspect = true;
        if link.is_idle() {
            self.close_link(id);
        }
    }

    pub(super) fn close_link(&mut self, id: LinkId) {
        if self.hosts.close_link(id) {
            self.outputs.push_back(Output::CloseLink(id));
        }
    }

    pub(crate) fn close_idle_links(&mut self, machine: MachineId) {
        let idle = self
            .hosts
            .links_of(machine)
            .filter(|(_, link)| link.is_idle());
        for link in idle.map(|(id, _)| id).collect::<Vec<LinkId>>() {
            self.close_link(link);
        }
    }

    /// Handles the establishment of a link.
    pub(crate) fn link_up(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.hosts.link_mut(id) else {
            return;
        };
        (link.is_up, link.last_used, link.up_since) = (true, now, now);
        let (machine, is_liveness_check) = (link.machine, link.is_liveness_check);
        self.send_queue(now, id);
        let Some(host) = self.hosts.host_mut(machine) else {
            return;
        };
        host.consecutive_refusals = 0;
        host.record_received(now);
        if host.lost_input_before.is_some_and(|before| id > before) {
            host.lost_input_before = None;
        }
        if is_liveness_check {
            self.close_surplus_link(now, id, machine);
        }
        self.repeat_stops(now);
    }

    /// Closes a link of a host to which a link for a liveness check was established, if another one is left. The closed
    /// link is read until its host closes it, as hosts report on a new link the ends that they could not report before.
    fn close_surplus_link(&mut self, now: Micros, new: LinkId, machine: MachineId) {
        let established = self.hosts.links_of(machine);
        let older = established.filter(|(id, link)| *id != new && link.is_up);
        let candidate = |link: &Link| OlderLink {
            is_idle: link.is_idle(),
            is_suspect: link.is_suspect,
            unproven_us: now.saturating_sub(link.last_used.max(link.up_since)),
        };
        let (ids, candidates): (Vec<LinkId>, Vec<OlderLink>) =
            older.map(|(id, link)| (id, candidate(link))).unzip();
        let idle_close = self.settings.idle_close_us;
        let max_unproven = idle_close.map_or(MAX_UNPROVEN_US, |at| at / UNPROVEN_IDLE_DIVISOR);
        let replaced = match decide::choose_surplus_link(&candidates, max_unproven) {
            None => return,
            Some(SurplusLink::New) => return self.close_link(new),
            Some(SurplusLink::Older(index)) => ids[index],
        };
        // A liveness check is no use: a link that is not needed is still closed once it was unused for long enough.
        let last_used = self.hosts.link(replaced).map(|link| link.last_used);
        if let (Some(link), Some(last_used)) = (self.hosts.link_mut(new), last_used) {
            link.last_used = last_used;
        }
        self.close_link(replaced);
    }

    /// Handles the end of a link, or a failure to connect it.
    pub(crate) fn link_down(&mut self, now: Micros, id: LinkId, end: LinkEnd, messages_begun: u64) {
        let may_have_lost_input = decide::may_have_lost_input(end);
        if let Some(closed) = self.hosts.remove_closing_link(id) {
            return self.closed_link_down(now, id, closed, end, messages_begun);
        }
        let Some(link) = self.hosts.remove_link(id) else {
            return;
        };
        self.pending_stops.link_lost(now, id, link.is_up);
        if may_have_lost_input {
            self.hosts.record_lost_input(link.machine);
        }
        if let Some(host) = self.hosts.host_mut(link.machine) {
            if link.is_up && link.up_since + STABLE_LINK_US <= now {
                host.backoff.reset();
            }
            match end {
                LinkEnd::Refused => host.consecutive_refusals += 1,
                LinkEnd::ConnectFailed => host.consecutive_connect_failures += 1,
                LinkEnd::Reset => host.record_reset(),
                LinkEnd::Closed | LinkEnd::Incomplete | LinkEnd::Unreadable => {}
            }
        }
        for check in self.health_checks.on_link(id) {
            self.health_check_done(now, check, false, &Figures::new());
        }
        for attempt in link.in_flight.into_values() {
            self.attempt_link_down(now, attempt, end, messages_begun);
        }
        self.evaluate_host(now, link.machine);
    }

    /// Handles the end of a link that the placer had closed.
    fn closed_link_down(
        &mut self,
        now: Micros,
        id: LinkId,
        closed: ClosingLink,
        end: LinkEnd,
        messages_begun: u64,
    ) {
        if decide::may_have_lost_input(end) {
            self.hosts.record_lost_input(closed.machine);
            self.schedule_delayed_reconnect(now, closed.machine);
        }
        // A host that closes its side after the placer has read all that was written.
        let was_read = end == LinkEnd::Closed
            && closed.messages_sent > 0
            && messages_begun >= closed.messages_sent;
        if was_read {
            self.pending_stops.confirm_all_on(id);
        } else {
            self.pending_stops.link_lost(now, id, true);
        }
    }

    /// Handles the end of the link of an attempt in flight: the attempt is sent again if no byte of it was written.
    fn attempt_link_down(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        end: LinkEnd,
        messages_begun: u64,
    ) {
        let request = attempt.request;
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        // An attempt of a closed request or of a client that departed is not sent again, as it would begin too late.
        let is_wanted = !entry.client_departed && entry.phase == Phase::Open;
        let in_flight = entry.in_flight.as_mut();
        let Some(in_flight) = in_flight.filter(|other| other.number == attempt.number) else {
            return;
        };
        let execution = decide::execution_after(end, in_flight.message_index < messages_begun);
        let host = self.hosts.host(in_flight.machine);
        let is_active = host.and_then(Host::health) == Some(HostHealth::Active);
        let may_resend = in_flight.resends < MAX_RESENDS && now < in_flight.deadline;
        if execution == Execution::Unsent && may_resend && is_active && is_wanted {
            in_flight.resends += 1;
            return self.send_attempt(now, request);
        }
        let outcome = match execution {
            Execution::MayHaveRun => Outcome::Reset,
            Execution::Unsent | Execution::NeverRan => Outcome::Unconnected,
        };
        self.end_attempt(request, outcome.into());
    }
}
