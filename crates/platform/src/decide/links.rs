//! Connections to hosts: which one a set-up takes, which one is made ahead, which one makes room.

/// A connection to the host that a set-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// It stands; else it is being made.
    pub up: bool,
    /// Set-ups open on it.
    pub open: usize,
    /// Something on it went unanswered: what follows may be read by nobody.
    pub doubtful: bool,
}

/// Where a set-up is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// On this one of the candidates.
    Use(usize),
    /// On a new connection.
    Make,
}

/// Which connection? An empty one that stands, so that a connection that breaks takes one set-up with it; else the
/// least loaded that stands, as a host that pauses for a moment takes no new connection but answers on those that it
/// has; else one that is being made for nobody, or a new one while `room` for it is left. None is used beyond
/// `streams` set-ups, and a doubtful one never.
pub fn which_link(candidates: &[Candidate], room: bool, streams: usize) -> Option<Choice> {
    let usable = candidates
        .iter()
        .enumerate()
        .filter(|(_, link)| !link.doubtful && link.open < streams);
    match usable.min_by_key(|(_, link)| (!link.up, link.open)) {
        Some((at, link)) if link.up || link.open == 0 || !room => Some(Choice::Use(at)),
        _ if room => Some(Choice::Make),
        _ => None,
    }
}

/// Is a connection to be made ahead? One that is empty, or will be, is kept beside those in use, so that no set-up
/// waits for a connection to be made.
pub fn wants_spare(candidates: &[Candidate], chosen: usize, room: bool) -> bool {
    let spare = |(at, link): (usize, &Candidate)| at != chosen && !link.doubtful && link.open == 0;
    room && !candidates.iter().enumerate().any(spare)
}

/// A connection to a host that may be closed so that another can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    /// It stands; else it is being made.
    pub up: bool,
    /// It was made, or is being made, to hear of tasks.
    pub check: bool,
    /// No other one stands to a host that holds tasks.
    pub only: bool,
    /// When it was last of use.
    pub used: u64,
    /// Since when it stands.
    pub since: u64,
}

/// Which of the connections on which nothing is open makes room for another? One that nobody needs, the longest unused
/// first; else one of those that alone reach a host with tasks, which is visited again later. Where the new connection
/// is such a visit too, they take turns: the one that stands longest goes, whatever it brings, or hosts that always
/// have news would keep all others waiting; and none goes that stands for less than from `until` on, or does not stand
/// yet, or visits would end each other for nothing. For a set-up the longest unused goes.
pub fn which_makes_room(links: &[Spent], visit: bool, until: u64) -> Option<usize> {
    let needed = |link: &Spent| link.only || link.check && !link.up;
    let may = |link: &Spent| !(visit && needed(link)) || link.up && link.since <= until;
    let key = |link: &Spent| {
        let turn = if visit && needed(link) {
            link.since
        } else {
            link.used
        };
        (needed(link), !link.up, turn)
    };
    let links = links.iter().enumerate().filter(|(_, link)| may(link));
    links.min_by_key(|(_, link)| key(link)).map(|(at, _)| at)
}

/// May a host have one more connection beside those that it has? While half of `bound` is free, and after that from
/// what is left once each of the `listed` hosts could have one; `extra` are those beside a first one by now.
pub fn may_add(links: usize, extra: usize, listed: usize, bound: usize) -> bool {
    links < bound && (links < bound / 2 || extra < bound.saturating_sub(listed))
}
