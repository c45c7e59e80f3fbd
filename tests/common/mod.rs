//! Settings of a small invented deployment, short constructors for events, and a harness that steps a
//! placer.
#![allow(dead_code, reason = "each test file uses a part of this module")]

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

/// A deployment of 4 schedulers, with machines of 10 cores and 40 memory. Class 0 is safe, 1 keyed by
/// zone, 2 unsafe, 3 keyed by all machines, 4 safe and spread to one task of a service on a machine.
/// A machine is warming up for 10 s, and then survives 8 offers in 2 s.
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

/// A machine that is ready and has been running for long; its cell has the number of its zone.
pub fn machine(id: u64, zone: u16) -> Machine {
    Machine {
        id: MachineId(id),
        zone,
        cell: zone,
        health: Health::Ready,
        ..Machine::default()
    }
}

pub fn with_health(machine: Machine, health: Health) -> Machine {
    Machine { health, ..machine }
}

/// A task of mean size, of a service with the number of its class.
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

/// The arrival of such a task, whose client waits for 5 s.
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

/// The end of an attempt without a reason, of a request that still needs an answer.
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

/// A placer under test, and its clock in microseconds.
pub struct Harness {
    pub placer: Placer,
    pub now: Micros,
}

impl Harness {
    /// A placer that got these machines as a cached list at 100 s.
    pub fn new(settings: Settings, machines: Vec<Machine>) -> Self {
        let mut harness = Self {
            placer: Placer::new(settings, 11),
            now: 100 * SECOND,
        };
        harness.step(&[Event::Listed(Listing::Cached(machines))]);
        harness
    }

    /// Applies events at the present time.
    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.placer.step(self.now, events, &mut actions);
        actions
    }

    /// Advances the clock by `us` microseconds, then applies events.
    pub fn step_after(&mut self, us: Micros, events: &[Event]) -> Vec<Action> {
        self.now += us;
        self.step(events)
    }

    /// Lets the poll timer (token 1) come due every 0.1 s until an action other than a timer or a log
    /// line is returned, for `us` microseconds at most. Returns these actions; none if time ran out.
    pub fn poll_until_action(&mut self, us: Micros) -> Vec<Action> {
        let until = self.now + us;
        while self.now < until {
            let mut actions = self.step_after(SECOND / 10, &[Event::TimerDue(1)]);
            actions.retain(|action| !matches!(action, Action::Timer { .. } | Action::Log(_)));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }
}

/// The offers among the actions: the number of the request, and the machine.
pub fn offers(actions: &[Action]) -> Vec<(u64, MachineId)> {
    let offer = |action: &Action| match action {
        Action::Offer {
            request, machine, ..
        } => Some((request.0, *machine)),
        _ => None,
    };
    actions.iter().filter_map(offer).collect()
}

pub fn is_refused(actions: &[Action], id: u64) -> bool {
    let is_refusal =
        |action: &Action| matches!(action, Action::Refuse { request, .. } if request.0 == id);
    actions.iter().any(is_refusal)
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
