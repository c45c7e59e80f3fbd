//! Every decision of reedring. The interface - settings, events, actions and ids - is `src/api.rs`;
//! `docs/design.md` says what was kept of the paper's Tidal Water Filling, what was changed and why,
//! and when each exception to it acts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::api::*;
use crate::load::{Load, ONCE};
use crate::names::mix;

/// Microseconds in which own arrivals are counted for `a`: about as long as a view stays unconfirmed.
const WINDOW_US: Micros = 1_000_000;
/// Microseconds by which list lines lag what they tell; own binds younger than that are added to them.
const LIST_LAG_US: Micros = 2_500_000;
/// Microseconds by which load reports lag; they come straight from the machine.
const REPORT_LAG_US: Micros = 500_000;
/// Microseconds a refusal counts without newer news: a little over the slowest news.
const REFUSAL_US: Micros = 3_000_000;
/// Microseconds between looks at held tasks and silent machines: well under any aim, and a light load.
const TICK_US: Micros = 100_000;
/// Microseconds of the first bar after a failed attempt where no connect time-out is told.
const BAR_US: Micros = 250_000;
/// Doublings of the bar at most: 2^5 connect time-outs is as long as most troubles last.
const BAR_DOUBLINGS: u32 = 5;
/// Answer times remembered: enough to hold a slow one, few enough to forget a jam.
const ANSWERS: usize = 64;
/// Multiple of the slowest remembered answer after which a machine counts as silent.
const PATIENCE: u64 = 2;
/// Aims without an answer that make a machine silent where it can't be probed: a set-up is through by then.
const UNPROBED: u64 = 4;
/// Depth of the dip for a service's home or holder, as a fraction of a mean machine.
const DIP: f64 = 0.25;
/// Microseconds that a task waits for the reports of its pool: a line of asks takes about as long.
const ASK_US: Micros = 2 * TICK_US;
/// Microseconds for which a tenant and class avoid a machine that turned them away: only a try brings news.
const SHUT_US: Micros = 4 * REFUSAL_US;
/// Microseconds, at most, in which a quiet scheduler counts its arrivals: half a usual life of a task.
const SPAN_US: Micros = 10 * WINDOW_US;
/// Own arrivals that are enough to count over a shorter span: by then chance is a third of the count.
const ENOUGH: usize = 8;
/// Machines in the pool of a service: enough to find a low one, few enough to share its program.
const HOMES: usize = 4;
/// Rise of a column for each own start that waits, as a fraction of a mean machine: a few outweigh the dip.
const START_RISE: f64 = 0.1;
/// Fraction of its capacity up to which a machine of the smallest set is meant to be filled.
const PACK_FILL: f64 = 0.6;
/// Part of its memory that a machine may use: tasks grow after their start, and a full machine evicts.
const MEMORY_EASE: f64 = 0.85;
/// Weight of a new note in the learnt ratio of use to ask: the mean of about fifty notes.
const USE_GAIN: f64 = 0.02;
/// Microseconds between two lines for the staff.
const LOG_US: Micros = 2_000_000;
/// Timer of held tasks and silent machines.
const TICK: u64 = 1;
/// Timer of the watch on the machine list.
const WATCH: u64 = 2;

// ---- Tide ----

/// The level to which `a` units of water rise over the columns (Algorithm 1 of the paper).
pub fn water_level(columns: &[f64], a: f64) -> f64 {
    let mut sorted = columns.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut level, mut left) = (sorted.first().copied().unwrap_or(0.0), a.max(0.0));
    for (under, next) in sorted.iter().enumerate().skip(1) {
        let rise = (next - level) * under as f64;
        if rise >= left {
            return level + left / under as f64;
        }
        left -= rise;
        level = *next;
    }
    level + left / sorted.len().max(1) as f64
}

/// The probability of each column in a draw (eq. 14 of the paper), rescaled to sum to 1.
/// With `a` of 1 or less the lowest columns share the draw evenly.
pub fn tidal_probabilities(columns: &[f64], a: f64) -> Vec<f64> {
    let level = water_level(columns, a);
    let gaps: Vec<f64> = columns.iter().map(|q| level.max(*q) - q).collect();
    let k = gaps.iter().filter(|gap| **gap > 0.0).count() as f64;
    let tide = |gap: &f64| ((gap - 1.0 / k) / (a - 1.0)).max(0.0);
    let mut p: Vec<f64> = gaps.iter().map(tide).collect();
    let mut total: f64 = p.iter().sum();
    if a.is_nan() || a <= 1.0 || !total.is_finite() || total <= 0.0 {
        let lowest = columns.iter().copied().fold(f64::INFINITY, f64::min);
        p = columns.iter().map(|q| f64::from(u8::from(*q <= lowest))).collect();
        total = p.iter().sum();
    }
    p.iter().map(|p| p / total).collect()
}

// ---- Fleet view ----

/// The told multiples of its size that a machine accepts.
fn accepts(settings: &Settings) -> Load {
    let told = |x: Option<f64>| x.filter(|x| x.is_finite() && *x > 0.0).unwrap_or(1.0);
    let (cores, memory) = (told(settings.accepts_cores), told(settings.accepts_memory));
    Load { cores, memory }
}

/// What this scheduler knows of one machine.
#[derive(Default)]
struct Seat {
    line: Machine,
    size: Load,
    /// Size, times what a machine accepts.
    limit: Load,
    /// Size, up to where service starts to fade.
    ease: Load,
    /// Capacity in tasks of mean size.
    tasks: f64,
    /// Asked by all, as the list told it.
    asked: Option<(Micros, Load)>,
    /// Used by all, as a report told it.
    used: Option<(Micros, Load)>,
    /// Own binds, and ends as negative ones, young enough to be missing from news.
    changes: VecDeque<(Micros, Load)>,
    /// Asked by own tasks.
    own: Load,
    /// The last ask refused, and when.
    refused: Option<(Micros, Load)>,
    /// Own tasks by service, attempts in flight too.
    services: BTreeMap<ServiceId, u32>,
    /// Own offers while cold.
    cold_offers: Vec<Micros>,
    /// Offers without an answer.
    waiting: BTreeMap<AttemptId, Micros>,
    /// Own tasks that are offered or accepted but not known to run.
    starting: BTreeSet<AttemptId>,
    strikes: u32,
    barred_until: Micros,
    /// When the latest offer or probe was sent that it answered.
    looked_at: Micros,
    /// When it last answered anything, probes too.
    heard_at: Micros,
    probed_at: Option<Micros>,
    /// The last probe was for its report, and has not come back.
    asked_for: bool,
    /// Tenants and classes that it turns away without a named shortage, and until when. A time that is past
    /// is a doubt: it passed one over, or turned it away before.
    shut: BTreeMap<(u16, u16), Micros>,
    /// Since when the list says that it is gone.
    gone_at: Option<Micros>,
}

impl Seat {
    fn new(line: &Machine, settings: &Settings) -> Self {
        let kind = settings.kinds.get(usize::from(line.kind)).cloned().unwrap_or_default();
        let size = Load::told(kind.cores.unwrap_or(0.0), kind.memory.unwrap_or(0.0));
        let limit = size.times(accepts(settings));
        let calm = settings.classes.iter().filter_map(|class| class.calm).fold(1.0, f64::min);
        let mean = |of: Option<f64>, room: f64| of.map(|of| room / of);
        let fill = [mean(settings.mean_cores, limit.cores), mean(settings.mean_memory, limit.memory)];
        let told = fill.into_iter().flatten().filter(|tasks| tasks.is_finite() && *tasks > 0.0);
        Self {
            line: line.clone(),
            size,
            limit,
            ease: size.times(Load { cores: calm, memory: MEMORY_EASE }),
            tasks: told.reduce(f64::min).unwrap_or(1.0),
            ..Self::default()
        }
    }

    /// A new line of the list. A new start makes all older news void.
    fn tell(&mut self, now: Micros, line: &Machine) {
        if line.ready_at != self.line.ready_at {
            (self.asked, self.used, self.refused) = (None, None, None);
            (self.strikes, self.barred_until) = (0, 0);
        }
        if let (Some(cores), Some(memory)) = (line.free_cores, line.free_memory) {
            let asked = Load::told(self.size.cores - cores, self.size.memory - memory);
            self.asked = Some((now, asked));
            // A line as old as the refusal says nothing against it.
            self.refused = self.refused.filter(|(at, _)| now < at + LIST_LAG_US);
        }
        self.line = line.clone();
    }

    /// A load report: what nobody asked for, or what nobody uses.
    fn report(&mut self, now: Micros, left: Load, counts_asks: bool) {
        let taken = Load::told(self.size.cores - left.cores, self.size.memory - left.memory);
        if counts_asks {
            self.asked = Some((now, taken));
            self.refused = self.refused.filter(|(at, _)| now < at + REPORT_LAG_US);
        } else {
            self.used = Some((now, taken));
        }
    }

    fn change(&mut self, now: Micros, load: Load) {
        self.changes.retain(|(at, _)| now < at + 2 * LIST_LAG_US);
        self.changes.push_back((now, load));
    }

    /// News plus the own changes that it can't hold yet, so that no bind counts twice.
    fn since(&self, news: (Micros, Load), lag: Micros, ratio: Load) -> Load {
        let young = self.changes.iter().filter(|(at, _)| at + lag > news.0);
        young.fold(news.1, |sum, (_, load)| sum.plus(load.times(ratio)))
    }

    fn asked(&self) -> Load {
        let told = self.asked.map_or(self.own, |news| self.since(news, LIST_LAG_US, ONCE));
        Load::told(told.cores.max(self.own.cores), told.memory.max(self.own.memory))
    }

    fn used(&self, ratio: Load) -> Option<Load> {
        self.used.map(|news| self.since(news, REPORT_LAG_US, ratio))
    }

    fn is_heard(&self) -> bool {
        self.asked.is_some() || self.used.is_some()
    }

    /// How it looks at a moment.
    fn glance(&self, now: Micros, settings: &Settings, salt: u64, ratio: Load) -> Glance {
        let (asked, used, heard) = (self.asked(), self.used(ratio), self.is_heard());
        let refused = self.refused.filter(|(at, _)| now < at + REFUSAL_US).map(|(_, load)| load);
        let full = f64::from(u8::from(refused.is_some_and(|refused| Load::default().reaches(refused))));
        let use_share = used.map_or(0.0, |used| used.share(self.ease));
        Glance {
            line: self.line.clone(),
            rank: 0,
            tasks: self.tasks,
            limit: self.limit,
            memory_roof: self.ease.memory,
            asked,
            used,
            refused,
            // The fuller share committed: of what may be asked, or of what may be used.
            share: asked.share(self.limit).max(use_share).max(full),
            heard,
            floored: !heard || self.strikes > 0 || self.is_cold(now, &settings.rules),
            budget: self.cold_budget_left(now, settings, salt),
            barred: self.barred_until > now,
            shut: self.shut.values().any(|until| *until > now),
        }
    }

    fn is_cold(&self, now: Micros, rules: &Rules) -> bool {
        let warm_after = rules.warm_after_us.unwrap_or(0);
        self.line.ready_at.is_some_and(|at| now < at.saturating_add(warm_after))
    }

    /// Guards rule 4: own offers in a window stay under an equal part of what a cold machine bears. Where
    /// that part is under one, turns are rarer and the first comes at a phase of the scheduler's own, or all
    /// would send their one offer at once. Phases fall by chance, so three deviations are kept in hand.
    /// It hurts where few of many have tasks, as the others' turns pass unused.
    fn cold_budget_left(&self, now: Micros, settings: &Settings, salt: u64) -> bool {
        let (rules, schedulers) = (&settings.rules, f64::from(settings.schedulers.max(1)));
        let told = rules.cold_offers.zip(rules.overload_us).zip(self.line.ready_at);
        let Some(((offers, window), ready_at)) = told.filter(|_| self.is_cold(now, rules)) else {
            return true;
        };
        let offers = offers.max(0.0);
        if offers >= schedulers {
            let young = self.cold_offers.iter().filter(|at| **at + window > now).count();
            return (young as f64) < (offers / schedulers).floor();
        }
        let root = ((9.0 + 4.0 * offers).sqrt() - 3.0) / 2.0;
        let turn = (window as f64 * schedulers / (root * root).max(1e-3)) as Micros;
        let phase = mix(salt ^ mix(self.line.id.0 ^ mix(ready_at))) as f64 / u64::MAX as f64;
        let first = ready_at.saturating_add((turn as f64 * phase) as Micros);
        now >= first && self.cold_offers.last().is_none_or(|at| at.saturating_add(turn) <= now)
    }

    /// A failed connect, probe or attempt: stay away, longer each time.
    fn strike(&mut self, now: Micros, settings: &Settings) {
        let bar = settings.rules.connect_timeout_us.unwrap_or(BAR_US);
        self.barred_until = now + (bar << self.strikes.min(BAR_DOUBLINGS));
        self.strikes += 1;
    }

    /// An answer: the way back is a step for each, so one lucky answer does not clear a jam.
    fn answer(&mut self, now: Micros, attempt: AttemptId) {
        let sent = self.waiting.remove(&attempt).unwrap_or(0);
        self.looked_at = self.looked_at.max(sent);
        self.heard_at = now;
        self.strikes /= 2;
    }

    /// Asks are looked at in their order: one sent before the latest answered one was seen and left
    /// without an answer, by a machine that serves others but not this class. It shows only where a yes
    /// comes at acceptance, and would hurt on machines that look at asks out of order.
    fn passed_over(&self, sent: Micros, settings: &Settings) -> bool {
        !settings.yes_when_running && sent < self.looked_at
    }

    /// Offers wait and nothing at all came back since: a hang, a stall or a cut link. A machine that still
    /// answers others or probes is slow, not silent: to give its offers up would only start copies.
    fn silent_since(&self, awake_since: Micros) -> Option<Micros> {
        self.waiting.values().min().map(|sent| (*sent).max(self.heard_at).max(awake_since))
    }
}

/// A machine as all draws of one step see it, in one piece of memory: only an own offer changes it.
struct Glance {
    line: Machine,
    /// Its place in the order that all schedulers share.
    rank: usize,
    tasks: f64,
    limit: Load,
    memory_roof: f64,
    asked: Load,
    used: Option<Load>,
    refused: Option<Load>,
    share: f64,
    heard: bool,
    /// Back cold or from a failure, or never heard of: it only looks empty.
    floored: bool,
    budget: bool,
    barred: bool,
    shut: bool,
}

impl Glance {
    /// Whether the ask fits what the machine accepts and, by reports, its memory.
    fn has_room(&self, ask: Load, ratio: Load) -> bool {
        let (roof, grown) = (self.memory_roof, ask.memory * ratio.memory);
        !self.refused.is_some_and(|refused| ask.reaches(refused))
            && self.asked.plus(ask).share(self.limit) <= 1.0
            && self.used.is_none_or(|used| roof <= 0.0 || used.memory + grown <= roof)
    }
}

// ---- Task ledger ----

/// An attempt of this life whose end was not told yet.
#[derive(Clone, Copy)]
struct Standing {
    machine: MachineId,
    service: ServiceId,
    load: Load,
}

#[derive(Clone, Copy, PartialEq)]
enum Run {
    Out,
    /// Out, and asked to stop.
    Stopping,
    Never,
    Perhaps,
}

struct Attempt {
    machine: MachineId,
    sent: Micros,
    run: Run,
    /// The machine called it an error.
    erred: bool,
}

/// A request that owes an answer.
struct Entry {
    task: Task,
    deadline: Micros,
    attempts: Vec<Attempt>,
    /// The only machines that may take it, in order, where such were told.
    open: Option<Vec<MachineId>>,
}

impl Entry {
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt.run, Run::Out | Run::Stopping))
    }
    /// Its tenant and class.
    fn whose(&self) -> (u16, u16) {
        (self.task.tenant, self.task.class)
    }
    /// The machines that erred on it, and whose it is.
    fn erred(&self) -> impl Iterator<Item = (MachineId, (u16, u16))> {
        let erred = self.attempts.iter().filter(|attempt| attempt.erred);
        erred.map(|attempt| (attempt.machine, self.whose()))
    }
    /// The first attempt that may have run.
    fn first_perhaps(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.run != Run::Never)
    }
}

/// Whether a refusal, which promises that asking again is harmless, may be sent.
fn may_decline(entry: &Entry, class: &Class) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => entry.first_perhaps().is_none(),
    }
}

// ---- Placer ----

/// The placement decisions of one scheduler.
pub struct Placer {
    settings: Settings,
    rng: Pcg32,
    seats: BTreeMap<MachineId, Seat>,
    /// Places among the seats, from the largest machine down, in an order that all schedulers share.
    order: Vec<usize>,
    /// How the seats look at the moment of this step, in their order.
    glances: Vec<Glance>,
    entries: BTreeMap<RequestId, Entry>,
    standing: BTreeMap<AttemptId, Standing>,
    arrivals: VecDeque<(Micros, f64)>,
    answers: VecDeque<Micros>,
    /// Learnt ratio of use to ask.
    ratio: Load,
    /// Requests to draw for at the end of this step, in order.
    due: Vec<RequestId>,
    held: Vec<RequestId>,
    /// When the watch on the list is to be asked for again; `None` before the first time.
    watch_due: Option<Micros>,
    watch_failures: u32,
    /// Until when a task may wait for the report of a probe.
    probing: Micros,
    /// When this scheduler started or last came back from a gap in its own turns.
    awake_since: Micros,
    /// When the next look is due, if any.
    tick_due: Option<Micros>,
    /// Its own number for phases that must differ between schedulers.
    salt: u64,
    logged_at: Option<Micros>,
}

impl Placer {
    /// A fresh scheduler that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        // Without news of use, what machines accept tells by how much asks are expected to exceed it.
        let accepts = accepts(&settings);
        let (cores, memory) = (1.0 / accepts.cores.max(1.0), 1.0 / accepts.memory.max(1.0));
        Self {
            rng: Pcg32::new(seed, 0),
            settings,
            seats: BTreeMap::new(),
            order: Vec::new(),
            glances: Vec::new(),
            entries: BTreeMap::new(),
            standing: BTreeMap::new(),
            arrivals: VecDeque::new(),
            answers: VecDeque::new(),
            ratio: Load { cores, memory },
            due: Vec::new(),
            held: Vec::new(),
            watch_due: None,
            watch_failures: 0,
            probing: 0,
            awake_since: Micros::MAX,
            tick_due: None,
            salt: mix(seed),
            logged_at: None,
        }
    }

    /// Folds a batch of events in order, then draws for the tasks that are due.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        if self.settings.list_on_request && self.watch_due.is_none() {
            self.watch(now, actions);
        }
        if self.awake_since == Micros::MAX || self.tick_due.is_some_and(|due| due + TICK_US < now) {
            // This scheduler stood still: the silence was its own, and no machine is blamed for it.
            self.awake_since = now;
        }
        for event in events {
            self.fold(now, event, actions);
        }
        let held = self.held.len();
        if !self.due.is_empty() {
            let a = self.poured(now);
            let glance = |seat: &Seat| seat.glance(now, &self.settings, self.salt, self.ratio);
            self.glances = self.seats.values().map(glance).collect();
            self.order.iter().zip(0..).for_each(|(at, rank)| self.glances[*at].rank = rank);
            for request in std::mem::take(&mut self.due) {
                self.place(now, request, a, actions);
            }
        }
        if self.held.len() > held && self.probing <= now {
            self.log(now, format!("holding {} tasks: no machine may take them", self.held.len()), actions);
        }
        if !self.entries.is_empty() && self.tick_due.is_none() {
            self.tick_due = Some(now + TICK_US);
            actions.push(Action::Timer { token: TICK, after_us: TICK_US });
        }
    }

    fn log(&mut self, now: Micros, line: String, actions: &mut Vec<Action>) {
        if self.logged_at.is_none_or(|at| at + LOG_US <= now) {
            self.logged_at = Some(now);
            actions.push(Action::Log(line));
        }
    }

    fn fold(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed(listing) => self.listed(now, listing, actions),
            Event::Recalled(beliefs) => self.recalled(now, beliefs),
            Event::Arrived { task, grace_us } => {
                self.arrivals.push_back((now, self.mean_size(Load::of(task))));
                let deadline = now.saturating_add(*grace_us);
                let (task, attempts) = (task.clone(), Vec::new());
                self.due.push(task.request);
                let entry = Entry { task, deadline, attempts, open: None };
                self.entries.insert(entry.task.request, entry);
            }
            Event::Opened { request, machines } => {
                if let Some(entry) = self.entries.get_mut(request) {
                    // A held task that gets machines is drawn for at once, not at the next look.
                    let held = !machines.is_empty() && !self.due.contains(request) && !entry.is_out();
                    entry.open = Some(machines.clone());
                    if held {
                        self.held.retain(|other| other != request);
                        self.due.push(*request);
                    }
                }
            }
            Event::Adopted { task, machine } => {
                let attempt = AttemptId { request: task.request, number: 0 };
                let (machine, service, load) = (*machine, task.service, Load::of(task));
                self.stand(attempt, Standing { machine, service, load });
            }
            Event::Placed { attempt, machine, took_us } => {
                self.answers.push_back(*took_us);
                if self.answers.len() > ANSWERS {
                    self.answers.pop_front();
                }
                let entry = self.entries.remove(&attempt.request);
                if let Some(seat) = self.seats.get_mut(machine) {
                    seat.answer(now, *attempt);
                    let whose = entry.as_ref().map(Entry::whose);
                    seat.shut.retain(|other, until| Some(*other) != whose || *until > now);
                    if self.settings.yes_when_running {
                        seat.starting.remove(attempt);
                    }
                }
                // Machines that erred on a task which another one takes turn its tenant or class away.
                for (erred, whose) in entry.iter().flat_map(Entry::erred) {
                    let seat = self.seats.get_mut(&erred);
                    seat.map(|seat| seat.shut.insert(whose, now + SHUT_US));
                }
            }
            Event::Noted { attempt, note, .. } => self.noted(now, *attempt, *note),
            Event::Ended(end) => {
                self.report(now, end.machine, &end.report);
                self.ended(now, end);
            }
            Event::Withdrawn(request) => {
                // What is still out would only take room from a task that is wanted.
                let entry = self.entries.remove(request);
                let attempts = entry.iter().flat_map(|entry| entry.attempts.iter().zip(0..));
                let out = attempts.filter(|(attempt, _)| attempt.run == Run::Out);
                let stop = out.map(|(_, number)| Action::Stop(AttemptId { request: *request, number }));
                actions.extend(stop.filter(|_| self.settings.rules.may_stop));
            }
            Event::Woken(TICK) => {
                self.tick_due = None;
                self.due.append(&mut self.held);
                self.tend_silent(now, actions);
            }
            Event::Woken(WATCH) => match self.watch_due {
                Some(due) if now < due => actions.push(Action::Timer { token: WATCH, after_us: due - now }),
                _ => self.watch(now, actions),
            },
            Event::Woken(_) | Event::Peer { .. } => {}
            Event::Probed { machine, answered, took_us, report } => {
                self.report(now, *machine, report);
                self.due.append(&mut self.held);
                if let Some(seat) = self.seats.get_mut(machine) {
                    seat.asked_for = false;
                    if *answered {
                        seat.heard_at = now;
                        seat.looked_at = seat.looked_at.max(now.saturating_sub(*took_us));
                    } else {
                        seat.strike(now, &self.settings);
                    }
                }
            }
        }
    }

    /// How many machines, requests and attempts it keeps in mind.
    pub fn sizes(&self) -> [usize; 3] {
        [self.seats.len(), self.entries.len(), self.standing.len()]
    }

    /// What it has learned so far.
    pub fn beliefs(&self, now: Micros) -> Beliefs {
        let ago = |at: Micros| now.saturating_sub(at);
        let news = |news: Option<(Micros, Load)>| news.map(|(at, load)| (ago(at), load.cores, load.memory));
        let belief = |(id, seat): (&MachineId, &Seat)| Belief {
            machine: *id,
            asked: news(seat.asked),
            used: news(seat.used),
            refused: news(seat.refused.filter(|(at, _)| now < at + REFUSAL_US)),
            shut: seat.shut.iter().map(|(of, until)| (of.0, of.1, until.saturating_sub(now))).collect(),
            strikes: seat.strikes,
            barred_us: seat.barred_until.saturating_sub(now),
            cold_offers: seat.cold_offers.iter().map(|at| ago(*at)).collect(),
        };
        let told = |belief: &Belief| *belief != Belief { machine: belief.machine, ..Belief::default() };
        Beliefs {
            machines: self.seats.iter().map(belief).filter(told).collect(),
            answers: self.answers.iter().copied().collect(),
            arrivals: self.arrivals.iter().map(|(at, size)| (ago(*at), *size)).collect(),
            ratio: Some((self.ratio.cores, self.ratio.memory)),
        }
    }

    /// Takes a former life's beliefs in where nothing newer is known. What bounds this life, a bar or a spent
    /// cold budget, only ever grows by them.
    fn recalled(&mut self, now: Micros, beliefs: &Beliefs) {
        let at = |ago: Micros| now.saturating_sub(ago);
        let news = |(ago, cores, memory): (Micros, f64, f64)| (at(ago), Load::told(cores, memory));
        for belief in &beliefs.machines {
            let Some(seat) = self.seats.get_mut(&belief.machine) else { continue };
            seat.asked = seat.asked.or(belief.asked.map(news));
            seat.used = seat.used.or(belief.used.map(news));
            let refused = |(ago, cores, memory)| (at(ago), Load { cores, memory });
            seat.refused = seat.refused.or(belief.refused.map(refused));
            for (tenant, class, left) in &belief.shut {
                let until = seat.shut.entry((*tenant, *class)).or_default();
                *until = (*until).max(now + (*left).min(SHUT_US));
            }
            seat.strikes = seat.strikes.max(belief.strikes.min(BAR_DOUBLINGS));
            let bar = self.settings.rules.connect_timeout_us.unwrap_or(BAR_US) << BAR_DOUBLINGS;
            seat.barred_until = seat.barred_until.max(now + belief.barred_us.min(bar));
            seat.cold_offers.extend(belief.cold_offers.iter().map(|ago| at(*ago)));
            seat.cold_offers.sort_unstable();
        }
        let answers = beliefs.answers.iter().chain(&self.answers).copied().collect::<VecDeque<_>>();
        self.answers = answers.into_iter().rev().take(ANSWERS).rev().collect();
        let before = beliefs.arrivals.iter().map(|(ago, size)| (at(*ago), *size));
        self.arrivals = before.chain(self.arrivals.iter().copied()).collect();
        self.arrivals.make_contiguous().sort_by_key(|(at, _)| *at);
        if let Some((cores, memory)) = beliefs.ratio.filter(|(x, y)| x.is_finite() && y.is_finite()) {
            self.ratio = Load { cores, memory };
        }
    }

    /// Asks for changes of the list; a watch that stays silent is asked for again in time.
    fn watch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Watch(true));
        let most = self.settings.rules.must_ask_us;
        self.watch_due = Some(most.map_or(Micros::MAX, |most| now + most));
        actions.extend(most.map(|after_us| Action::Timer { token: WATCH, after_us }));
    }

    fn listed(&mut self, now: Micros, listing: &Listing, actions: &mut Vec<Action>) {
        let lines = match listing {
            Listing::Failed => return self.watch_failed(now, actions),
            Listing::Changes(lines) => lines,
            Listing::Whole(lines) | Listing::Cached(lines) => {
                let seats = self.seats.values_mut();
                seats.for_each(|seat| seat.line.health = Health::Gone);
                lines
            }
        };
        for line in lines {
            if !self.seats.contains_key(&line.id) {
                self.seats.insert(line.id, Seat::new(line, &self.settings));
                // Tasks may have been adopted on it before the list named it.
                let there = self.standing.iter().filter(|(_, standing)| standing.machine == line.id);
                let there: Vec<_> = there.map(|(attempt, standing)| (*attempt, *standing)).collect();
                there.into_iter().for_each(|(attempt, standing)| self.stand(attempt, standing));
            }
            self.seats.entry(line.id).and_modify(|seat| seat.tell(now, line));
        }
        // A machine that is gone for good is forgotten, once nothing it did matters any more.
        self.seats.retain(|_, seat| {
            let gone = seat.line.health == Health::Gone;
            seat.gone_at = gone.then(|| seat.gone_at.unwrap_or(now));
            !seat.services.is_empty() || seat.gone_at.is_none_or(|at| now < at + SHUT_US)
        });
        let seats: Vec<_> = self.seats.values().map(|seat| (seat.tasks, mix(seat.line.id.0))).collect();
        self.order = (0..seats.len()).collect();
        self.order.sort_by(|x, y| seats[*y].0.total_cmp(&seats[*x].0).then(seats[*x].1.cmp(&seats[*y].1)));
        if !matches!(listing, Listing::Cached(_)) {
            self.watch_failures = 0;
            let most = self.settings.rules.must_ask_us;
            self.watch_due = self.watch_due.max(most.map(|most| now + most));
        }
    }

    /// Waits longer after each failure, with jitter so that schedulers don't ask together.
    fn watch_failed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.list_on_request {
            return;
        }
        let base = self.settings.rules.connect_timeout_us.unwrap_or(BAR_US);
        let most = self.settings.rules.must_ask_us.map_or(Micros::MAX, |most| most / 4);
        let wait = (base << self.watch_failures.min(BAR_DOUBLINGS)).min(most);
        let wait = (wait as f64 * (0.5 + self.uniform())) as Micros;
        self.watch_failures += 1;
        self.watch_due = Some(now + wait);
        actions.push(Action::Timer { token: WATCH, after_us: wait });
        self.log(now, "the machine list does not answer; asking again".to_owned(), actions);
    }

    fn report(&mut self, now: Micros, machine: MachineId, report: &[f64]) {
        let find = |field: ReportField| {
            let at = self.settings.report_fields.iter().position(|f| *f == field)?;
            report.get(at).copied().filter(|value| value.is_finite())
        };
        let left = find(ReportField::Cores).zip(find(ReportField::Memory));
        if let (Some((cores, memory)), Some(seat)) = (left, self.seats.get_mut(&machine)) {
            seat.report(now, Load { cores, memory }, self.settings.report_counts_asks);
        }
    }

    fn noted(&mut self, now: Micros, attempt: AttemptId, note: Note) {
        let Some(standing) = self.standing.get(&attempt) else {
            return;
        };
        let learn = |ratio: &mut f64, amount: f64, asked: f64| {
            if amount.is_finite() && asked > 0.0 {
                *ratio += USE_GAIN * (amount / asked - *ratio);
            }
        };
        let seat = self.seats.get_mut(&standing.machine);
        match (note, seat) {
            (Note::Cores(amount), _) => learn(&mut self.ratio.cores, amount, standing.load.cores),
            (Note::Memory(amount), _) => learn(&mut self.ratio.memory, amount, standing.load.memory),
            (Note::Runs, Some(seat)) => {
                seat.starting.remove(&attempt);
            }
            (Note::Pressure(part), Some(seat)) if part.is_finite() => {
                let used = seat.used(self.ratio).unwrap_or(seat.asked().times(self.ratio));
                let used = Load { memory: part * seat.size.memory, ..used };
                seat.used = Some((now, used));
            }
            _ => {}
        }
    }

    /// Stops attempts on silent machines; their outcomes are awaited before anything else is
    /// sent. A machine from which an answer is overdue is probed first, where that is allowed.
    fn tend_silent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let aim = self.settings.classes.iter().map(|class| class.aim_us).min();
        let patience = self.patience(aim.unwrap_or(0));
        let since = |seat: &Seat| Some((seat.line.id, seat.silent_since(self.awake_since)?));
        let since: BTreeMap<MachineId, Micros> = self.seats.values().filter_map(since).collect();
        for (id, since) in since.iter().filter(|_| self.settings.rules.may_probe) {
            let seat = self.seats.entry(*id).or_default();
            let old = seat.probed_at.is_none_or(|at| at + patience / 4 < now);
            if old && since + patience / 4 < now {
                seat.probed_at = Some(now);
                actions.push(Action::Probe(*id));
            }
        }
        let patiences = self.settings.classes.iter().map(|class| self.patience(class.aim_us));
        let (patiences, mut stopped): (Vec<Micros>, u32) = (patiences.collect(), 0);
        for (request, entry) in self.entries.iter_mut().filter(|_| self.settings.rules.may_stop) {
            let patience = patiences.get(usize::from(entry.task.class)).copied().unwrap_or(patience);
            for (attempt, number) in entry.attempts.iter_mut().zip(0..) {
                let seat = self.seats.get(&attempt.machine);
                let early = attempt.sent.max(self.awake_since) + patience / 2 >= now;
                let silent = since.get(&attempt.machine).is_some_and(|since| since + patience < now)
                    || !early && seat.is_some_and(|seat| seat.passed_over(attempt.sent, &self.settings));
                if attempt.run == Run::Out && silent {
                    attempt.run = Run::Stopping;
                    stopped += 1;
                    actions.push(Action::Stop(AttemptId { request: *request, number }));
                }
            }
        }
        if stopped > 0 {
            self.log(now, format!("stopped {stopped} offers on silent machines"), actions);
        }
    }

    /// A task stands there. No change of the seat: what was told of it holds a task that was adopted.
    fn stand(&mut self, attempt: AttemptId, standing: Standing) {
        if let Some(seat) = self.seats.get_mut(&standing.machine) {
            seat.own = seat.own.plus(standing.load);
            *seat.services.entry(standing.service).or_default() += 1;
        }
        self.standing.insert(attempt, standing);
    }

    fn ended(&mut self, now: Micros, end: &Ended) {
        let Some(standing) = self.standing.remove(&end.attempt) else {
            return;
        };
        let entry = self.entries.get(&end.attempt.request);
        let classes = &self.settings.classes;
        let effect =
            |entry: &Entry| classes.get(usize::from(entry.task.class)).map_or(Effect::Unsafe, |c| c.effect);
        if let Some(seat) = self.seats.get_mut(&standing.machine) {
            let less = standing.load.times(Load::both(-1.0));
            seat.own = seat.own.plus(less);
            seat.change(now, less);
            seat.starting.remove(&end.attempt);
            let held = seat.services.entry(standing.service).or_default();
            *held = held.saturating_sub(1);
            seat.services.retain(|_, held| *held > 0);
            let sent = seat.waiting.get(&end.attempt);
            let passed = sent.is_some_and(|at| seat.passed_over(*at, &self.settings));
            // A task that is turned down or passed over with no word of a shortage tells of its tenant or
            // class, not of the machine, which may have room for all others. An error may be the task's own
            // fault: it tells so once another machine takes the task, or where no other one can be asked.
            let shut = match end.outcome {
                Outcome::TimedOut | Outcome::Stopped => passed,
                Outcome::Refused => end.reason.is_none(),
                Outcome::Error => entry.is_some_and(|entry| effect(entry) == Effect::Unsafe),
                _ => false,
            };
            if let Some(entry) = entry.filter(|_| shut) {
                // One answer that is missing may be lost on its way; a second one in a row is not.
                let whose = entry.whose();
                let doubt = passed && !seat.shut.contains_key(&whose);
                seat.shut.insert(whose, if doubt { now } else { now + SHUT_US });
            }
            match end.outcome {
                Outcome::TimedOut | Outcome::Unconnected | Outcome::Stopped if !shut => {
                    seat.waiting.remove(&end.attempt);
                    if !end.closed {
                        seat.strike(now, &self.settings);
                    }
                }
                Outcome::Unsent => drop(seat.waiting.remove(&end.attempt)),
                _ => seat.answer(now, end.attempt),
            }
            if end.outcome == Outcome::Refused && !shut {
                // Where the reason names what is short, smaller asks may still fit.
                let ask = match end.reason {
                    Some(Reason::NoCores) => Load { memory: f64::INFINITY, ..standing.load },
                    Some(Reason::NoMemory) => Load { cores: f64::INFINITY, ..standing.load },
                    _ => Load::default(),
                };
                seat.refused = Some((now, ask));
            }
        }
        let never = matches!(end.outcome, Outcome::Refused | Outcome::Unconnected | Outcome::Unsent);
        let request = end.attempt.request;
        if end.closed {
            self.entries.remove(&request);
        } else if let Some(entry) = self.entries.get_mut(&request) {
            if let Some(attempt) = entry.attempts.get_mut(usize::from(end.attempt.number)) {
                attempt.run = if never { Run::Never } else { Run::Perhaps };
                attempt.erred = end.outcome == Outcome::Error;
            }
            self.due.push(request);
        }
    }

    /// A load in tasks of mean size.
    fn mean_size(&self, load: Load) -> f64 {
        let part = |x: f64, mean: Option<f64>| mean.filter(|mean| *mean > 0.0).map(|mean| x / mean);
        let cores = part(load.cores, self.settings.mean_cores);
        let memory = part(load.memory, self.settings.mean_memory);
        let both = cores.zip(memory).map(|(cores, memory)| (cores + memory) / 2.0);
        both.or(cores).or(memory).unwrap_or(1.0)
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// The paper's a: the told number of schedulers times the own arrivals in a window. What comes at
    /// this moment is left out, and a quiet scheduler counts over a longer span: the count just after
    /// an arrival is never under one, which M times over is more than a large quiet fleet gets.
    fn poured(&mut self, now: Micros) -> f64 {
        let old = self.arrivals.partition_point(|(at, _)| at + SPAN_US < now);
        self.arrivals.drain(..old);
        let before = self.arrivals.iter().rev().skip_while(|(at, _)| *at >= now);
        let enough = before.clone().nth(ENOUGH - 1).map_or(0, |(at, _)| *at);
        let span = (now - enough).min(SPAN_US).min(now - self.awake_since).max(WINDOW_US);
        let own: f64 = before.take_while(|(at, _)| now <= at + span).map(|(_, size)| size).sum();
        own * WINDOW_US as f64 / span as f64 * f64::from(self.settings.schedulers.max(1))
    }

    /// After how long without an answer a machine counts as silent.
    fn patience(&self, aim: Micros) -> Micros {
        let slowest = PATIENCE * self.answers.iter().max().copied().unwrap_or(0);
        let aim = aim.max(TICK_US);
        if self.settings.rules.may_probe { slowest.clamp(aim, aim * 2) } else { slowest.max(aim * UNPROBED) }
    }

    /// Rules 2 to 5 for one offer, but for the spread over cells and zones: `full` holds the places that
    /// have their most. Every send passes here.
    fn may_offer(&self, now: Micros, entry: &Entry, class: &Class, seat: &Glance, full: &[u64]) -> bool {
        let grouped = |first: &Attempt| {
            let other = self.seats.get(&first.machine).map(|seat| &seat.line);
            other.is_some_and(|other| match class.group {
                Group::All => true,
                Group::Zone => other.zone == seat.line.zone,
                Group::Cell => other.cell == seat.line.cell,
            })
        };
        let may_repeat = entry.first_perhaps().is_none_or(|first| match class.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                grouped(first) && class.window_us.is_some_and(|window| now < first.sent + window)
            }
            Effect::Unsafe => false,
        });
        seat.line.health == Health::Ready
            && entry.open.as_ref().is_none_or(|open| open.binary_search(&seat.line.id).is_ok())
            && class.kind.is_none_or(|kind| kind == seat.line.kind)
            && !entry.is_out()
            && !self.is_spent(entry)
            && may_repeat
            && class.spread.is_none_or(|(place, _)| full.binary_search(&seat.line.place(place)).is_err())
            && seat.budget
    }

    /// The places that hold the most that a class allows of one service: one pass over the fleet.
    fn full_places(&self, class: &Class, service: ServiceId) -> Vec<u64> {
        let Some((place, most)) = class.spread else {
            return Vec::new();
        };
        let mut held: BTreeMap<u64, u32> = BTreeMap::new();
        for seat in self.seats.values() {
            *held.entry(seat.line.place(place)).or_default() += seat.services.get(&service).unwrap_or(&0);
        }
        held.into_iter().filter(|(_, held)| *held >= most).map(|(place, _)| place).collect()
    }

    fn is_spent(&self, entry: &Entry) -> bool {
        self.settings.rules.max_attempts.is_some_and(|most| entry.attempts.len() >= most as usize)
    }

    fn place(&mut self, now: Micros, request: RequestId, a: f64, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get(&request).filter(|entry| !entry.is_out()) else {
            return;
        };
        let class = self.settings.classes.get(usize::from(entry.task.class)).cloned().unwrap_or_default();
        let (service, ask) = (entry.task.service, Load::of(&entry.task));
        let left = entry.deadline.saturating_sub(now);
        let whose = entry.whose();
        let full = self.full_places(&class, service);
        let shut = |id: &MachineId| self.seats[id].shut.get(&whose).is_some_and(|until| *until > now);
        let open = |seat: &&Glance| {
            !seat.barred
                && seat.has_room(ask, self.ratio)
                && self.may_offer(now, entry, &class, seat, &full)
                && !(seat.shut && shut(&seat.line.id))
                && entry.erred().all(|(machine, _)| machine != seat.line.id)
        };
        let seats: Vec<&Glance> = self.glances.iter().filter(open).collect();
        let lost = entry.first_perhaps().is_some() && class.effect != Effect::Safe;
        if !seats.is_empty() && left > 0 {
            let odds = self.odds(seats, service, a);
            // A wait must end in a look before the deadline.
            if left <= 2 * TICK_US || !self.ask_pool(now, &odds, actions) {
                let machine = self.draw(&odds);
                return self.offer(now, request, machine, actions);
            }
        } else if self.is_spent(entry) || lost || left <= 2 * TICK_US {
            return self.give_up(request, &class, actions);
        }
        self.held.push(request);
    }

    /// Where only probes report, machines of the pool with old news are probed; the task waits a little.
    fn ask_pool(&mut self, now: Micros, odds: &[(MachineId, f64)], actions: &mut Vec<Action>) -> bool {
        if self.settings.report_style != ReportStyle::Probes || !self.settings.rules.may_probe {
            return false;
        }
        let mut wait = false;
        for (id, _) in odds {
            let seat = self.seats.entry(*id).or_default();
            if seat.probed_at.is_none_or(|at| at + WINDOW_US < now) {
                (seat.probed_at, seat.asked_for) = (Some(now), true);
                actions.push(Action::Probe(*id));
            }
            wait |= seat.asked_for && seat.probed_at.is_some_and(|at| now < at + ASK_US);
        }
        if wait {
            self.probing = now + ASK_US;
        }
        wait
    }

    fn draw(&mut self, odds: &[(MachineId, f64)]) -> MachineId {
        let mut point = self.uniform() * odds.iter().map(|(_, p)| p).sum::<f64>();
        let drawn = odds.iter().find(|(_, p)| {
            point -= p;
            point < 0.0
        });
        drawn.unwrap_or(&odds[odds.len() - 1]).0
    }

    /// One pour over the open machines: the odds of each in the pool.
    fn odds(&self, mut pool: Vec<&Glance>, service: ServiceId, a: f64) -> Vec<(MachineId, f64)> {
        let ready = || self.glances.iter().filter(|seat| seat.line.health == Health::Ready);
        let mean = |sum: f64, of: usize| sum / of.max(1) as f64;
        let tasks: f64 = ready().map(|seat| seat.tasks).sum();
        let mean_tasks = mean(tasks, ready().count());
        let heard = ready().filter(|seat| seat.heard).map(|seat| seat.share);
        let average = mean(heard.clone().sum(), heard.count());
        // Machines back cold or from a failure look empty; they are no deeper than the average.
        let share = |seat: &Glance| seat.share.max(if seat.floored { average } else { 0.0 });
        if self.settings.prices.fleet.is_some_and(|price| price > 0.0) {
            // The smallest set that holds the load, in an order that all schedulers share.
            let load: f64 = ready().map(|seat| share(seat) * seat.tasks).sum::<f64>() + a;
            let mut room = 0.0;
            let order = self.order.iter().map(|at| &self.glances[*at]);
            let last = order.filter(|seat| seat.line.health == Health::Ready).find(|seat| {
                room += seat.tasks * PACK_FILL;
                room >= load
            });
            let needed = |seat: &&Glance| last.is_none_or(|last| seat.rank <= last.rank);
            if pool.iter().any(needed) {
                pool.retain(needed);
            }
        }
        // The homes of a service are the same machines at every scheduler: without a word they
        // gather its tasks where its program is. The other services' water falls elsewhere.
        let of = mix(service.0);
        let first = |seat: &&Glance| std::cmp::Reverse(mix(seat.line.id.0 ^ of));
        if pool.len() > HOMES {
            pool.select_nth_unstable_by_key(HOMES - 1, first);
            pool.truncate(HOMES);
        }
        pool.sort_by_cached_key(first);
        let a = a * pool.iter().map(|seat| seat.tasks).sum::<f64>() / tasks.max(1.0);
        let column = |(rank, glance): (usize, &&Glance)| {
            let home = [DIP, DIP / 2.0].get(rank).copied().unwrap_or(0.0);
            let seat = &self.seats[&glance.line.id];
            let holds = if seat.services.contains_key(&service) { DIP } else { 0.0 };
            (share(glance) + seat.starting.len() as f64 * START_RISE - home.max(holds)) * mean_tasks
        };
        let columns: Vec<f64> = pool.iter().enumerate().map(column).collect();
        let odds = tidal_probabilities(&columns, a).into_iter().zip(pool);
        odds.map(|(p, seat)| (seat.line.id, p * seat.tasks)).collect()
    }

    fn offer(&mut self, now: Micros, request: RequestId, machine: MachineId, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        // A copy of a start that only waits makes a jam worse, so an attempt has all the time there is;
        // silent machines are told by stopping.
        let within_us = Some(entry.deadline - now);
        let number = entry.attempts.len() as u16;
        let attempt = AttemptId { request, number };
        entry.attempts.push(Attempt { machine, sent: now, run: Run::Out, erred: false });
        let (service, load) = (entry.task.service, Load::of(&entry.task));
        self.stand(attempt, Standing { machine, service, load });
        if let Some(seat) = self.seats.get_mut(&machine) {
            seat.change(now, load);
            seat.waiting.insert(attempt, now);
            seat.starting.insert(attempt);
            if seat.is_cold(now, &self.settings.rules) {
                seat.cold_offers.push(now);
            }
            let glance = seat.glance(now, &self.settings, self.salt, self.ratio);
            if let Ok(at) = self.glances.binary_search_by_key(&machine, |glance| glance.line.id) {
                self.glances[at] = Glance { rank: self.glances[at].rank, ..glance };
            }
        }
        actions.push(Action::Offer { request, machine, within_us });
    }

    /// The final answer where no attempt is out.
    fn give_up(&mut self, request: RequestId, class: &Class, actions: &mut Vec<Action>) {
        if let Some(entry) = self.entries.remove(&request) {
            let refusal = Action::Refuse { request, stay_away_us: None };
            actions.push(if may_decline(&entry, class) { refusal } else { Action::Fail(request) });
        }
    }
}
