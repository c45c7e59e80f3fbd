//! Links to hosts: which one a message takes, when one is made ahead, and which one is closed for another.

/// A link to the host that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCandidate {
    /// It is established; otherwise it is being made.
    pub is_up: bool,
    /// Messages on it that wait for an answer.
    pub in_flight: usize,
    /// Something on it went unanswered: the host may read nothing of what follows.
    pub is_suspect: bool,
}

/// The link that a message takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChoice {
    /// The candidate at this index.
    Use(usize),
    /// A new link.
    Connect,
}

/// Which link does a message take? An empty one that is established, so that a link that breaks costs one attempt;
/// else the least loaded that is established, as a host that pauses for a moment accepts no connection but answers on
/// those that it has; else an empty one that is being made, or a new one if there is `capacity` for it. None is used
/// beyond `max_in_flight` messages, and a suspect one never.
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
        Some((at, link)) if link.is_up || link.in_flight == 0 || !capacity => {
            Some(LinkChoice::Use(at))
        }
        _ if capacity => Some(LinkChoice::Connect),
        _ => None,
    }
}

/// Is a standby link to be made? One that is empty, or will be, is kept beside those in use, so that no message waits
/// for a link to be made.
pub fn needs_standby_link(candidates: &[LinkCandidate], chosen: usize, capacity: bool) -> bool {
    let is_standby = |(at, link): (usize, &LinkCandidate)| {
        at != chosen && !link.is_suspect && link.in_flight == 0
    };
    capacity && !candidates.iter().enumerate().any(is_standby)
}

/// An idle link that may be closed so that another can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// It is established; otherwise it is being made.
    pub is_up: bool,
    /// It was made, or is being made, to check on a host that runs tasks.
    pub is_check: bool,
    /// No other link is established to a host that runs tasks.
    pub is_only_link: bool,
    /// When it was last used.
    pub last_used: u64,
    /// Since when it is established.
    pub up_since: u64,
}

impl EvictionCandidate {
    fn is_needed(&self) -> bool {
        self.is_only_link || self.is_check && !self.is_up
    }
}

/// Which idle link is closed so that another can be made? One that nobody needs, the least recently used first; else
/// one of those that alone reach a host with tasks, which is connected to again later.
///
/// If the new link is such a check too (`for_check`), needed links take turns: the one that is established longest is
/// closed, whatever it was used for, as hosts that send often would otherwise keep all others waiting. None is closed
/// that was established after `up_before` or is still being made, or checks would end each other without effect. For
/// any other message the least recently used is closed.
pub fn choose_eviction(
    links: &[EvictionCandidate],
    for_check: bool,
    up_before: u64,
) -> Option<usize> {
    let may_close = |link: &EvictionCandidate| {
        !(for_check && link.is_needed()) || link.is_up && link.up_since <= up_before
    };
    let order = |link: &EvictionCandidate| {
        let takes_turns = for_check && link.is_needed();
        let age = if takes_turns {
            link.up_since
        } else {
            link.last_used
        };
        (link.is_needed(), !link.is_up, age)
    };
    let links = links.iter().enumerate().filter(|(_, link)| may_close(link));
    links.min_by_key(|(_, link)| order(link)).map(|(at, _)| at)
}

/// May a host have one more link beside those that it has? As long as half of the `limit` is free; after that, from
/// what is left once each of the `listed` hosts could have one. `extra` are the links beside a host's first.
pub fn may_add_link(links: usize, extra: usize, listed: usize, limit: usize) -> bool {
    links < limit && (links < limit / 2 || extra < limit.saturating_sub(listed))
}
