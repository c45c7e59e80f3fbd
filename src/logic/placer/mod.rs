//! The placer: folds events in order, then draws for what is due. Each file beside it decides one thing.

mod beliefs;
mod feedback;
mod list;
mod offer;
mod pool;
mod silence;

use super::*;

/// Microseconds between looks at held tasks and silent machines: well under any aim, and a light load.
const TICK_US: Micros = 100_000;
/// Answer times remembered: enough to hold a slow one, few enough to forget a jam.
const ANSWERS: usize = 64;
/// Microseconds for which a tenant and class avoid a machine that turned them away: only a try shows more.
const SHUT_US: Micros = 4 * REFUSAL_US;
/// Microseconds between two lines for the staff.
const LOG_US: Micros = 2_000_000;
/// Timer of held tasks and silent machines.
const TICK: u64 = 1;
/// Timer of the watch on the machine list.
const WATCH: u64 = 2;

/// The placement decisions of one scheduler.
#[derive(Default)]
pub struct Placer {
    settings: Settings,
    rng: Option<Pcg32>,
    machines: BTreeMap<MachineId, MachineState>,
    /// Positions among the machines, from the largest down, in an order that all schedulers share.
    order: Vec<usize>,
    views: Vec<MachineView>, // How the machines look at the moment of this step, in their order.
    entries: BTreeMap<RequestId, Entry>,
    live: BTreeMap<AttemptId, LiveAttempt>,
    arrivals: VecDeque<(Micros, f64)>,
    answers: VecDeque<Micros>,
    ratio: Load,         // Learnt ratio of use to ask.
    due: Vec<RequestId>, // Requests to draw for at the end of this step, in order.
    held: Vec<RequestId>,
    /// When the watch on the list is to be asked for again; `None` before the first time.
    watch_due: Option<Micros>,
    watch_failures: u32,
    probing: Micros,          // Until when a task may wait for the report of a probe.
    awake_since: Micros, // When this scheduler started or last came back from a gap in its own turns.
    tick_due: Option<Micros>, // When the next look is due, if any.
    scheduler: Scheduler,
    logged_at: Option<Micros>,
}

impl Placer {
    /// A fresh scheduler that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        // Without reports of use, what machines accept says by how much asks are expected to exceed it.
        let accepts = accepts(&settings);
        let ratio = Load {
            cores: 1.0 / accepts.cores.max(1.0),
            memory: 1.0 / accepts.memory.max(1.0),
        };
        let (rng, started) = (Some(Pcg32::new(seed, 0)), Micros::MAX);
        let scheduler = Scheduler {
            number: settings.position.map_or(mix(seed), u64::from),
            started,
        };
        Self {
            settings,
            rng,
            ratio,
            awake_since: started,
            scheduler,
            ..Self::default()
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
            self.scheduler.started = self.scheduler.started.min(now);
        }
        events
            .iter()
            .for_each(|event| self.fold(now, event, actions));
        let held = self.held.len();
        if !self.due.is_empty() {
            let a = self.arriving_load(now);
            let view =
                |state: &MachineState| state.view(now, &self.settings, self.scheduler, self.ratio);
            self.views = self.machines.values().map(view).collect();
            self.order
                .iter()
                .zip(0..)
                .for_each(|(at, rank)| self.views[*at].rank = rank);
            let due = std::mem::take(&mut self.due);
            due.into_iter()
                .for_each(|request| self.place(now, request, a, actions));
        }
        if self.held.len() > held && self.probing <= now {
            self.log(
                now,
                format!(
                    "holding {} tasks: no machine may take them",
                    self.held.len()
                ),
                actions,
            );
        }
        if !self.entries.is_empty() && self.tick_due.is_none() {
            self.tick_due = Some(now + TICK_US);
            actions.push(Action::Timer {
                token: TICK,
                after_us: TICK_US,
            });
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
            Event::SettingsChanged(settings) => {
                let machines = std::mem::take(&mut self.machines).into_iter();
                self.machines = machines
                    .map(|(id, state)| (id, state.sized(settings)))
                    .collect();
                self.settings = (**settings).clone();
                self.rank();
            }
            Event::BeliefsRestored(beliefs) => self.restore(now, beliefs),
            Event::Arrived { task, grace_us } => {
                self.arrivals
                    .push_back((now, self.mean_size(Load::of(task))));
                let deadline = now.saturating_add(*grace_us);
                self.due.push(task.request);
                let entry = Entry {
                    task: task.clone(),
                    deadline,
                    attempts: Vec::new(),
                    allowed: None,
                };
                self.entries.insert(task.request, entry);
            }
            Event::EligibilityChanged { request, machines } => {
                if let Some(entry) = self.entries.get_mut(request) {
                    // A held task that gets machines is drawn for at once, not at the next look.
                    let held = !machines.is_empty()
                        && !self.due.contains(request)
                        && !entry.is_in_flight();
                    entry.allowed = Some(machines.clone());
                    if held {
                        self.held.retain(|other| other != request);
                        self.due.push(*request);
                    }
                }
            }
            Event::Adopted { task, machine } => {
                let attempt = AttemptId {
                    request: task.request,
                    number: 0,
                };
                let (machine, service, load) = (*machine, task.service, Load::of(task));
                self.add_live(
                    attempt,
                    LiveAttempt {
                        machine,
                        service,
                        load,
                    },
                );
            }
            Event::Placed {
                attempt,
                machine,
                took_us,
            } => {
                self.answers.push_back(*took_us);
                self.answers
                    .drain(..self.answers.len().saturating_sub(ANSWERS));
                let entry = self.entries.remove(&attempt.request);
                if let Some(state) = self.machines.get_mut(machine) {
                    state.answer(now, *attempt);
                    let owner = entry.as_ref().map(Entry::tenant_class);
                    state
                        .shut
                        .retain(|other, until| Some(*other) != owner || *until > now);
                    if self.settings.yes_when_running {
                        state.starting.remove(attempt);
                    }
                }
                // Machines that erred on a task which another one takes turn its tenant or class away.
                for (erred, owner) in entry.iter().flat_map(Entry::erred) {
                    self.machines
                        .get_mut(&erred)
                        .map(|state| state.shut.insert(owner, now + SHUT_US));
                }
            }
            Event::TaskSignal { attempt, note, .. } => self.noted(now, *attempt, *note),
            Event::Ended(end) => {
                self.report(now, end.machine, &end.report);
                self.ended(now, end);
            }
            Event::Withdrawn(request) => {
                // What is still out would only take room from a task that is wanted.
                let entry = self.entries.remove(request);
                let attempts = entry
                    .iter()
                    .flat_map(|entry| entry.attempts.iter().zip(0..));
                let out = attempts.filter(|(attempt, _)| attempt.state == AttemptState::InFlight);
                let stop = out.map(|(_, number)| {
                    Action::Stop(AttemptId {
                        request: *request,
                        number,
                    })
                });
                actions.extend(stop.filter(|_| self.settings.rules.may_stop));
            }
            Event::Last(request) => {
                self.entries
                    .get_mut(request)
                    .into_iter()
                    .for_each(|entry| entry.deadline = now);
                self.due.push(*request);
            }
            Event::Woken(TICK) => {
                self.tick_due = None;
                self.due.append(&mut self.held);
                self.stop_silent(now, actions);
            }
            Event::Woken(WATCH) => match self.watch_due {
                Some(due) if now < due => actions.push(Action::Timer {
                    token: WATCH,
                    after_us: due - now,
                }),
                _ => self.watch(now, actions),
            },
            Event::Woken(_) | Event::Peer { .. } => {}
            Event::Probed {
                machine,
                answered,
                took_us,
                report,
            } => {
                self.report(now, *machine, report);
                self.due.append(&mut self.held);
                if let Some(state) = self.machines.get_mut(machine) {
                    state.asked_for = false;
                    if *answered {
                        state.heard_at = now;
                        state.looked_at = state.looked_at.max(now.saturating_sub(*took_us));
                    } else {
                        state.strike(now, &self.settings);
                    }
                }
            }
        }
    }

    /// How many machines, requests and attempts it keeps in mind.
    pub fn sizes(&self) -> [usize; 3] {
        [self.machines.len(), self.entries.len(), self.live.len()]
    }
}
