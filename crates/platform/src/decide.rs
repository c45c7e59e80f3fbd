//! What the engine decides itself: matters of connections, never where a task goes. Each function has a table
//! over all its cases.

/// How a connection to a host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Nobody listens there: proof that nothing ran.
    Refused,
    /// It did not come up in time, or could not be made at all.
    Unmade,
    /// It stood, and its other end closed it in good order, as one that is idle.
    Closed,
    /// It stood, and was reset.
    Broke,
    /// It stood, and carried what can't be read.
    Spoilt,
}

/// What is known of an attempt whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Not a byte of it left: it may be sent on another connection as the same attempt.
    Unsent,
    /// It could not be sent, and the machine does not answer.
    NeverRan,
    /// Some of it left, so it may have run.
    MayHaveRun,
}

/// Did an attempt run? `begun` says whether a byte of its set-up left.
pub fn did_it_run(down: Down, begun: bool) -> Fate {
    match (down, begun) {
        (Down::Refused | Down::Unmade, _) => Fate::NeverRan,
        (Down::Closed | Down::Broke | Down::Spoilt, false) => Fate::Unsent,
        (Down::Closed | Down::Broke | Down::Spoilt, true) => Fate::MayHaveRun,
    }
}

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
    let usable = candidates.iter().enumerate().filter(|(_, link)| !link.doubtful && link.open < streams);
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
        let turn = if visit && needed(link) { link.since } else { link.used };
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

/// Refused connections in a row after which a host's process counts as gone, with all that it held.
const REFUSED: u32 = 2;

/// Connections in a row that did not come up, and microseconds without a word, after which a machine counts as
/// gone: within the time that clients are to be told in, and longer than most cuts and pauses last.
const UNREACHABLE: u32 = 3;
const QUIET_US: u64 = 6_000_000;

/// What is seen of a host that holds tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The list has it.
    pub listed: bool,
    /// It wraps up: it takes no new connections, and its tasks may still stand.
    pub leaving: bool,
    /// A connection to it was reset, and nothing was heard of it since.
    pub broke: bool,
    /// Connections that stand.
    pub links_up: usize,
    /// Refused connections in a row.
    pub refused: u32,
    /// Connections in a row that did not come up.
    pub unreachable: u32,
    /// For how long nothing was heard of it.
    pub quiet_us: u64,
}

/// Why the tasks that a host held are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The host left the list.
    Left,
    /// Its process is gone: it refuses connections again and again.
    Refuses,
    /// Nothing is heard of its machine.
    Silent,
}

impl Lost {
    /// The reason in words.
    pub fn word(self) -> &'static str {
        match self {
            Self::Left => "it left the list",
            Self::Refuses => "it refuses connections",
            Self::Silent => "nothing is heard of it",
        }
    }
}

/// Are the tasks that a host held over? Its process cut them if it is gone: it left the list, or it refuses
/// connections again and again. Some that stood may stay open and silent then, but one that is reset shows it. One
/// that leaves refuses connections while its tasks stand, so with it that alone is no sign. Of a machine that
/// vanished nothing is heard, and no new connection comes up.
pub fn lost_all(seen: Seen) -> Option<Lost> {
    let refuses = seen.refused >= REFUSED && (seen.broke || seen.links_up == 0 && !seen.leaving);
    let silent = seen.unreachable.max(seen.refused) >= UNREACHABLE && seen.quiet_us >= QUIET_US;
    match seen.listed {
        false => Some(Lost::Left),
        true if refuses => Some(Lost::Refuses),
        true => silent.then_some(Lost::Silent),
    }
}

/// A client's connection on which the end of a task may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Answers passed on it, and standing tasks handed over on it.
    pub answered: bool,
    /// It carried a set-up that could be used.
    pub good: bool,
    /// When it last said something.
    pub heard_at: u64,
}

/// On which connection is an end told whose own is gone? On one that carried answers, else on one that carried a good
/// set-up, the last heard of each; else on the next one that does.
pub fn which_route<T>(routes: impl Iterator<Item = (T, Route)>) -> Option<T> {
    let usable = routes.filter(|(_, route)| route.answered || route.good);
    usable.max_by_key(|(_, route)| (route.answered, route.heard_at)).map(|(id, _)| id)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_left_on_a_connection_that_stood_may_have_run() {
        for down in [Down::Refused, Down::Unmade, Down::Closed, Down::Broke, Down::Spoilt] {
            for begun in [false, true] {
                let stood = matches!(down, Down::Closed | Down::Broke | Down::Spoilt);
                let fate = did_it_run(down, begun);
                assert_eq!(fate == Fate::MayHaveRun, stood && begun, "{down:?} {begun}");
                assert_eq!(fate == Fate::Unsent, stood && !begun, "{down:?} {begun}");
            }
        }
    }

    #[test]
    fn a_set_up_goes_alone_where_it_can() {
        let link = |up, open, doubtful| Candidate { up, open, doubtful };
        let (idle, coming, busy) = (link(true, 0, false), link(false, 0, false), link(true, 2, false));
        let cases = [
            (vec![], true, Some(Choice::Make)),
            (vec![], false, None),
            (vec![busy, coming, idle], true, Some(Choice::Use(2))),
            (vec![busy, coming], true, Some(Choice::Use(0))),
            (vec![busy], true, Some(Choice::Use(0))),
            (vec![coming], true, Some(Choice::Use(0))),
            (vec![link(false, 1, false)], true, Some(Choice::Make)),
            (vec![link(false, 1, false)], false, Some(Choice::Use(0))),
            (vec![busy, link(true, 1, false)], false, Some(Choice::Use(1))),
            (vec![link(true, 0, true)], true, Some(Choice::Make)),
            (vec![link(true, 0, true)], false, None),
            (vec![link(true, 3, false)], false, None),
        ];
        for (candidates, room, choice) in cases {
            assert_eq!(which_link(&candidates, room, 3), choice, "{candidates:?} {room}");
        }
    }

    #[test]
    fn one_connection_is_kept_ahead() {
        let link = |open, doubtful| Candidate { up: true, open, doubtful };
        for (candidates, spare) in [
            (vec![link(0, false)], true),
            (vec![link(0, false), link(1, false)], true),
            (vec![link(0, false), link(0, true)], true),
            (vec![link(0, false), link(0, false)], false),
        ] {
            assert_eq!(wants_spare(&candidates, 0, true), spare, "{candidates:?}");
            assert!(!wants_spare(&candidates, 0, false));
        }
    }

    #[test]
    fn who_is_needed_least_makes_room() {
        let link = |up, check, only, used| Spent { up, check, only, used, since: 10 - used };
        let (spare, older, made) =
            (link(true, false, false, 9), link(true, false, false, 8), link(false, false, false, 1));
        let (alone, fresh, coming) =
            (link(true, true, true, 3), link(true, false, true, 7), link(false, true, false, 2));
        let cases = [
            (vec![], false, None),
            (vec![alone, spare, older], false, Some(2)),
            (vec![alone, spare, older], true, Some(2)),
            (vec![alone, made], false, Some(1)),
            (vec![fresh, alone], false, Some(1)),
            // In turn, though it was of use last.
            (vec![fresh, alone], true, Some(0)),
            (vec![alone, coming], false, Some(0)),
            (vec![alone, coming], true, None),
            (vec![coming], false, Some(0)),
        ];
        for (links, visit, chosen) in cases {
            assert_eq!(which_makes_room(&links, visit, 5), chosen, "{links:?} {visit}");
        }
    }

    #[test]
    fn second_connections_leave_room_for_each_hosts_first() {
        for (links, extra, listed, may) in [
            (0, 0, 400, true),
            (49, 49, 400, true),
            (50, 10, 400, false),
            (80, 9, 90, true),
            (80, 10, 90, false),
            (99, 50, 10, true),
            (100, 50, 10, false),
        ] {
            assert_eq!(may_add(links, extra, listed, 100), may, "{links} {extra} {listed}");
        }
    }

    #[test]
    fn tasks_are_over_where_nothing_stands_or_nothing_comes_up_or_is_heard() {
        for (listed, links_up) in [(false, 0), (false, 1), (true, 0), (true, 1)] {
            for (refused, unreachable) in [(0, 0), (1, 2), (2, 0), (0, 3), (3, 4)] {
                for quiet_us in [0, 5_900_000, 6_000_000] {
                    for (leaving, broke) in [(false, false), (false, true), (true, true), (true, false)] {
                        let seen = Seen { listed, leaving, broke, links_up, refused, unreachable, quiet_us };
                        let quiet = quiet_us >= 6_000_000;
                        let want = match (listed, leaving, broke) {
                            (false, _, _) => true,
                            (true, _, true) => refused >= 2 || quiet && unreachable >= 3,
                            // It refuses whoever is new, and holds its tasks.
                            (true, true, false) => quiet && (refused >= 3 || unreachable >= 3),
                            (true, false, false) => {
                                refused >= 2 && links_up == 0 || quiet && (refused >= 3 || unreachable >= 3)
                            }
                        };
                        let lost = lost_all(seen);
                        assert_eq!(lost.is_some(), want, "{seen:?}");
                        assert_eq!(lost == Some(Lost::Left), !listed, "{seen:?}");
                    }
                }
            }
        }
    }

    #[test]
    fn an_end_goes_to_who_was_answered_last() {
        let route = |answered, good, heard_at| Route { answered, good, heard_at };
        let routes =
            [route(false, true, 9), route(true, true, 5), route(true, true, 7), route(false, false, 99)];
        let which = |routes: &[Route]| which_route(routes.iter().copied().enumerate());
        assert_eq!(which(&routes), Some(2));
        assert_eq!(which(&routes[..1]), Some(0));
        assert_eq!(which(&routes[3..]), None);
    }
}
