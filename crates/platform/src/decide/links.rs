//! Links to hosts: which one carries a message, when a standby link is made, and which one is closed to make capacity
//! for another.

/// A link that could carry a message to its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCandidate {
    /// Whether the link is established; otherwise it is being made.
    pub is_up: bool,
    /// How many messages on the link wait for an answer.
    pub in_flight: usize,
    /// Whether a message on the link went unanswered in time: the host may not read any that follow.
    pub is_suspect: bool,
}

/// The link that carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChoice {
    /// Use the candidate at this index.
    Use(usize),
    /// Connect a new link.
    Connect,
}

/// Chooses the link that carries a message, in this order: an empty established link, so that a link that breaks costs
/// one attempt; the least loaded established link, as a host that pauses for a moment accepts no connection but answers
/// on those that it has; an empty link that is being made; a new link if there is `capacity` for it; the least loaded
/// link that is being made. A link with `max_in_flight` messages and a suspect link are never used. `None`: no link is
/// usable, and there is no capacity.
pub fn choose_link(
    candidates: &[LinkCandidate],
    capacity: bool,
    max_in_flight: usize,
) -> Option<LinkChoice> {
    let usable = candidates
        .iter()
        .enumerate()
        .filter(|(_, link)| !link.is_suspect && link.in_flight < max_in_flight);
    match usable.min_by_key(|(_, link)| (!link.is_up, link.in_flight)) {
        Some((index, link)) if link.is_up || link.in_flight == 0 || !capacity => {
            Some(LinkChoice::Use(index))
        }
        _ if capacity => Some(LinkChoice::Connect),
        _ => None,
    }
}

/// Whether a standby link is to be made. Beside the chosen link (an index into `candidates`) one empty link is kept,
/// established or being made, so that no message waits for a connection.
pub fn needs_standby_link(candidates: &[LinkCandidate], chosen: usize, capacity: bool) -> bool {
    let is_standby = |(index, link): (usize, &LinkCandidate)| {
        index != chosen && !link.is_suspect && link.in_flight == 0
    };
    capacity && !candidates.iter().enumerate().any(is_standby)
}

/// An idle link that may be closed to make capacity for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// Whether the link is established; otherwise it is being made.
    pub is_up: bool,
    /// Whether the link was made for a liveness check of a host that runs tasks.
    pub is_liveness_check: bool,
    /// Whether its host runs tasks and no other link to that host is established.
    pub is_only_link: bool,
    /// When the link was last used, in microseconds; the link's id before its first use, which is less than any time.
    pub last_used: u64,
    /// When the link was established, in microseconds.
    pub up_since: u64,
}

impl EvictionCandidate {
    fn is_needed(&self) -> bool {
        self.is_only_link || self.is_liveness_check && !self.is_up
    }
}

/// Chooses the idle link to close so that another can be made, as an index into `links`. A link that is not needed
/// comes first; next, a link that alone reaches a host with tasks, which is connected to again later. Among equals an
/// established link comes before one that is being made, and then the least recently used one first.
///
/// If the new link is itself for a liveness check (`for_liveness_check`), needed links take turns: the one that was
/// established first is closed, whenever it was last used, as otherwise the links of hosts that send often would be
/// kept and all others would have to wait. A needed link that was established after `up_before` or is still being made
/// is not closed then, or liveness checks would end one another without effect.
pub fn choose_eviction(
    links: &[EvictionCandidate],
    for_liveness_check: bool,
    up_before: u64,
) -> Option<usize> {
    let may_close = |link: &EvictionCandidate| {
        !(for_liveness_check && link.is_needed()) || link.is_up && link.up_since <= up_before
    };
    let order = |link: &EvictionCandidate| {
        let takes_turns = for_liveness_check && link.is_needed();
        let age = if takes_turns {
            link.up_since
        } else {
            link.last_used
        };
        (link.is_needed(), !link.is_up, age)
    };
    let links = links.iter().enumerate().filter(|(_, link)| may_close(link));
    links
        .min_by_key(|(_, link)| order(link))
        .map(|(index, _)| index)
}

/// Whether a host that has links may have one more: as long as fewer than half of the `limit` exist; beyond that, only
/// from the capacity that remains if each of the `listed` hosts has one link. `extra` counts the links beyond the first
/// of each host.
pub fn may_add_link(links: usize, extra: usize, listed: usize, limit: usize) -> bool {
    links < limit && (links < limit / 2 || extra < limit.saturating_sub(listed))
}

/// An established link of a host to which another link was established for a liveness check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderLink {
    /// Whether nothing is in flight on the link.
    pub is_idle: bool,
    /// Whether a message on the link went unanswered in time.
    pub is_suspect: bool,
    /// For how long nothing has shown that the host still knows the link, in microseconds: since it was established, or a
    /// message was last sent or received on it.
    pub unproven_us: u64,
}

/// The link that is closed once a link for a liveness check is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurplusLink {
    /// The older link at this index.
    Older(usize),
    /// The new link.
    New,
}

/// Chooses the link that is closed once a link for a liveness check is established. An idle older link that was unproven
/// for `max_unproven_us` is closed, the longest unproven first: its host may have forgotten it, and then neither reports
/// the ends of tasks on it nor reads what is sent there. Otherwise the new link is closed. `None` if it is the only one
/// that can be used.
///
/// The new link is not always kept, as hosts do some work for each connection that stays.
pub fn choose_surplus_link(older: &[OlderLink], max_unproven_us: u64) -> Option<SurplusLink> {
    let usable = || {
        older
            .iter()
            .enumerate()
            .filter(|(_, link)| !link.is_suspect)
    };
    let unproven = usable().filter(|(_, link)| link.is_idle && link.unproven_us >= max_unproven_us);
    let (longest, _) = match unproven.max_by_key(|(_, link)| link.unproven_us) {
        Some(longest) => longest,
        None => return usable().next().map(|_| SurplusLink::New),
    };
    Some(SurplusLink::Older(longest))
}
