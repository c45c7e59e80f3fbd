//! The list of hosts, as discovery tells it.

use super::*;

impl Engine {
    /// Takes in what the configuration said before the start.
    pub(crate) fn known(&mut self, now: Micros, known: WatchResponse) {
        let (rev, notices) = (known.rev, known.notices);
        for notice in notices {
            self.notice(now, notice);
        }
        self.rev = self.rev.max(rev);
        self.events.clear();
        self.events
            .push(Event::Listed(Listing::Cached(self.lines())));
    }

    pub(crate) fn discovery_update(&mut self, now: Micros, update: WatchResponse) {
        let before = self.events.len();
        for notice in update.notices {
            self.notice(now, notice);
        }
        self.rev = self.rev.max(update.rev);
        if std::mem::take(&mut self.asked_list) && self.events.len() == before {
            self.events
                .push(Event::Listed(Listing::Changes(Vec::new())));
        }
    }

    pub(crate) fn discovery_lost(&mut self, why: &str) {
        self.log(format!("discovery: {why}"));
        self.events.push(Event::Listed(Listing::Failed));
    }

    /// The number of the last event that was taken in.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub(crate) fn fetch(&mut self) {
        self.events
            .push(Event::Listed(Listing::Whole(self.lines())));
    }

    /// The whole list.
    pub(crate) fn lines(&self) -> Vec<Machine> {
        let entries = self.hosts.values().filter_map(|host| host.entry.as_ref());
        entries.filter_map(|entry| self.line(entry)).collect()
    }

    pub(crate) fn notice(&mut self, now: Micros, WatchEvent { rev, pool }: WatchEvent) {
        // An event is passed on once, whatever discovery repeats after it was moved.
        if rev <= self.rev {
            return;
        }
        self.rev = rev;
        let Some(EndpointList { whole, hosts }) = pool else {
            return;
        };
        let lines: Vec<Machine> = hosts.iter().filter_map(|entry| self.line(entry)).collect();
        if whole {
            let named: BTreeSet<MachineId> = lines.iter().map(|line| line.id).collect();
            let gone: Vec<MachineId> = self
                .hosts
                .keys()
                .filter(|id| !named.contains(id))
                .copied()
                .collect();
            for machine in gone {
                if let Some(entry) = self.hosts.get(&machine).and_then(|host| host.entry.clone()) {
                    self.listed(
                        now,
                        Entry {
                            health: State::Left,
                            ..entry
                        },
                    );
                }
            }
        }
        for entry in hosts {
            self.listed(now, entry);
        }
        let listing = if whole {
            Listing::Whole(lines)
        } else {
            Listing::Changes(lines)
        };
        self.events.push(Event::Listed(listing));
    }

    /// The module's line for a host.
    pub(crate) fn line(&self, entry: &Entry) -> Option<Machine> {
        let room = entry.room.filter(|_| self.settings.lists_free);
        Some(Machine {
            id: machine_id(&entry.host),
            zone: number(&self.settings.zones, &entry.site)?,
            kind: number(&self.settings.kinds, &entry.class)?,
            cell: entry.block,
            health: match entry.health {
                State::Active => Health::Ready,
                State::Leaving => Health::Draining,
                State::Left => Health::Gone,
            },
            ready_at: Some(entry.born_ms * 1_000).filter(|at| *at != 0),
            free_cores: room.map(|room| room[0]),
            free_memory: room.map(|room| room[1]),
        })
    }

    pub(crate) fn listed(&mut self, now: Micros, entry: Entry) {
        let machine = machine_id(&entry.host);
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        self.on_list -= usize::from(host.is_listed());
        let before = host.entry.replace(entry.clone());
        self.on_list += usize::from(host.is_listed());
        host.left_at = (entry.health == State::Left).then(|| host.left_at.unwrap_or(now));
        let moved = before
            .as_ref()
            .is_some_and(|before| before.dial != entry.dial);
        // A process that started later than a task was placed is another one than that which held it.
        let born = entry.born_ms * 1_000;
        let reborn = before.is_some_and(|before| before.born_ms != entry.born_ms);
        let standing = host.tasks();
        for request in standing.into_iter().filter(|_| reborn) {
            let phase = self.requests.get(&request).map(|entry| entry.phase);
            if matches!(phase, Some(Phase::Standing { since, .. }) if since < born) {
                self.over(now, request, Outcome::Reset, None, CUT, Vec::new());
            }
        }
        if moved {
            self.close_idle(machine);
        }
        if entry.health != State::Active {
            self.recall_unsent(machine);
        }
        self.look_at(now, machine);
    }

    /// What waits for a connection to a host that takes nothing new does not leave when it stands: that may be after
    /// the time in which it still could.
    pub(crate) fn recall_unsent(&mut self, machine: MachineId) {
        let coming = self.links_of(machine).filter(|(_, link)| !link.up);
        let unsent = coming.flat_map(|(link, of)| {
            of.open
                .iter()
                .map(move |(id, attempt)| (link, *id, *attempt))
        });
        for (link, id, attempt) in unsent.collect::<Vec<_>>() {
            self.unsend(link, id);
            self.take_back(attempt.request, Outcome::Unconnected, None, Vec::new());
        }
    }
}
