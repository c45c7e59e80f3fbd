//! Invented settings and short ways to say what happened.
#![allow(dead_code, reason = "each test uses a part of it")]

use reedring::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect, group: Group) -> Class {
    Class {
        effect,
        group,
        window_us: Some(3 * SECOND),
        aim_us: SECOND / 2,
        calm: Some(0.9),
        ..Class::default()
    }
}

/// Class 0 is safe, 1 keyed by zone, 2 unsafe, 3 keyed by all, 4 safe and spread by machine.
pub fn settings() -> Settings {
    let mut spread = class(Effect::Safe, Group::All);
    spread.spread = Some((Place::Machine, 1));
    Settings {
        schedulers: 4,
        zone: Some(0),
        classes: vec![
            class(Effect::Safe, Group::All),
            class(Effect::Keyed, Group::Zone),
            class(Effect::Unsafe, Group::All),
            class(Effect::Keyed, Group::All),
            spread,
        ],
        kinds: vec![Kind {
            cores: Some(10.0),
            memory: Some(40.0),
        }],
        accepts_cores: Some(1.0),
        accepts_memory: Some(1.0),
        mean_cores: Some(1.0),
        mean_memory: Some(4.0),
        rules: Rules {
            max_attempts: Some(3),
            may_stop: true,
            warm_after_us: Some(10 * SECOND),
            slow_start_window_us: Some(2 * SECOND),
            slow_start_offers: Some(8.0),
            must_ask_us: Some(8 * SECOND),
            connect_timeout_us: Some(SECOND / 10),
            ..Rules::default()
        },
        ..Settings::default()
    }
}

pub fn machine(id: u64, zone: u16) -> Machine {
    Machine {
        id: MachineId(id),
        zone,
        cell: zone,
        health: Health::Ready,
        ..Machine::default()
    }
}

pub fn with(machine: Machine, health: Health) -> Machine {
    Machine { health, ..machine }
}

pub fn task(request: u64, class: u16) -> Task {
    Task {
        request: RequestId(request),
        class,
        tenant: 0,
        key: TaskKey(request),
        service: ServiceId(u64::from(class)),
        cores: 1.0,
        memory: 4.0,
        life_us: None,
        again: false,
    }
}

pub fn arrived(request: u64, class: u16) -> Event {
    Event::Arrived {
        task: task(request, class),
        grace_us: 5 * SECOND,
    }
}

pub fn attempt(request: u64, number: u16) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number,
    }
}

pub fn ended(request: u64, number: u16, machine: MachineId, outcome: Outcome) -> Event {
    Event::Ended(Ended {
        attempt: attempt(request, number),
        machine,
        outcome,
        reason: None,
        closed: false,
        report: Vec::new(),
    })
}

pub fn placed(request: u64, number: u16, machine: MachineId) -> Event {
    Event::Placed {
        attempt: attempt(request, number),
        machine,
        took_us: 1_000,
    }
}

/// A placer under test: its clock, and what it last answered.
pub struct Bed {
    pub placer: Placer,
    pub now: Micros,
}

impl Bed {
    pub fn new(settings: Settings, machines: Vec<Machine>) -> Self {
        let mut bed = Self {
            placer: Placer::new(settings, 11),
            now: 100 * SECOND,
        };
        bed.step(&[Event::Listed(Listing::Cached(machines))]);
        bed
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.placer.step(self.now, events, &mut actions);
        actions
    }

    pub fn after(&mut self, us: Micros, events: &[Event]) -> Vec<Action> {
        self.now += us;
        self.step(events)
    }

    /// Wakes held tasks until something other than a timer is answered, for so long at most.
    pub fn wait(&mut self, us: Micros) -> Vec<Action> {
        let until = self.now + us;
        while self.now < until {
            let mut actions = self.after(SECOND / 10, &[Event::Woken(1)]);
            actions.retain(|action| !matches!(action, Action::Timer { .. } | Action::Log(_)));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }
}

pub fn offers(actions: &[Action]) -> Vec<(u64, MachineId)> {
    let offer = |action: &Action| match action {
        Action::Offer {
            request, machine, ..
        } => Some((request.0, *machine)),
        _ => None,
    };
    actions.iter().filter_map(offer).collect()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    let refuse = |a: &Action| matches!(a, Action::Refuse { request, .. } if request.0 == id);
    actions.iter().any(refuse)
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
