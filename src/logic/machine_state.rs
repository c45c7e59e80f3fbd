//! The state of one machine as this scheduler knows it, and by how much its reports lag. It decides nothing.

use super::*;

/// Microseconds by which list lines lag what they say; own offers younger than that are added to them.
const LIST_LAG_US: Micros = 2_500_000;
/// Microseconds by which load reports lag; they come straight from the machine.
const REPORT_LAG_US: Micros = 500_000;
/// Microseconds a refusal counts without a newer report: a little over the slowest.
pub const REFUSAL_US: Micros = 3_000_000;
/// Microseconds of the first bar after a failed attempt where the settings have no connect time-out.
pub const BAR_US: Micros = 250_000;
/// Doublings of the bar at most: 2^5 connect time-outs is as long as most troubles last.
pub const BAR_DOUBLINGS: u32 = 5;
/// Part of its memory that a machine may use: tasks grow after their start, and a full machine evicts.
const MEMORY_SOFT_LIMIT: f64 = 0.85;

/// The multiples of its size that a machine accepts, by the settings.
pub fn accepts(settings: &Settings) -> Load {
    let multiple = |x: Option<f64>| x.filter(|x| x.is_finite() && *x > 0.0).unwrap_or(1.0);
    let (cores, memory) = (
        multiple(settings.accepts_cores),
        multiple(settings.accepts_memory),
    );
    Load { cores, memory }
}

/// What this scheduler knows of one machine.
#[derive(Default)]
pub struct MachineState {
    pub line: Machine,
    pub size: Load,
    pub limit: Load,                   // Size, times what a machine accepts.
    pub soft_limit: Load,              // Size, up to where service starts to fade.
    pub tasks: f64,                    // Capacity in tasks of mean size.
    pub asked: Option<(Micros, Load)>, // Asked by all, by the list.
    pub used: Option<(Micros, Load)>,  // Used by all, by a report.
    /// Own offers, and ends as negative ones, young enough to be missing from reports.
    pub changes: VecDeque<(Micros, Load)>,
    pub own_load: Load,                       // Asked by own tasks.
    pub refused: Option<(Micros, Load)>,      // The last ask refused, and when.
    pub services: BTreeMap<ServiceId, u32>,   // Own tasks by service, attempts in flight too.
    pub cold_offers: Vec<Micros>,             // Own offers while cold.
    pub waiting: BTreeMap<AttemptId, Micros>, // Offers without an answer.
    pub starting: BTreeSet<AttemptId>, // Own tasks that are offered or accepted but not known to run.
    pub strikes: u32,
    pub barred_until: Micros,
    pub looked_at: Micros, // When the latest offer or probe was sent that it answered.
    pub heard_at: Micros,  // When it last answered anything, probes too.
    pub probed_at: Option<Micros>,
    pub asked_for: bool, // The last probe was for its report, and has not come back.
    /// Tenants and classes that it turns away with no shortage named, and until when; a past time is a doubt.
    pub shut: BTreeMap<(u16, u16), Micros>,
    pub gone_at: Option<Micros>, // Since when the list says that it is gone.
}

impl MachineState {
    pub fn new(line: &Machine, settings: &Settings) -> Self {
        Self {
            line: line.clone(),
            ..Self::default()
        }
        .sized(settings)
    }

    /// What the settings say of its size; all that was learned of it stays.
    pub fn sized(self, settings: &Settings) -> Self {
        let kind = settings
            .kinds
            .get(usize::from(self.line.kind))
            .cloned()
            .unwrap_or_default();
        let size = Load::sanitized(kind.cores.unwrap_or(0.0), kind.memory.unwrap_or(0.0));
        let limit = size.times(accepts(settings));
        let calm = settings
            .classes
            .iter()
            .filter_map(|class| class.calm)
            .fold(1.0, f64::min);
        let mean = |of: Option<f64>, room: f64| of.map(|of| room / of);
        let fill = [
            mean(settings.mean_cores, limit.cores),
            mean(settings.mean_memory, limit.memory),
        ];
        let tasks = fill
            .into_iter()
            .flatten()
            .filter(|tasks| tasks.is_finite() && *tasks > 0.0);
        let soft_limit = size.times(Load {
            cores: calm,
            memory: MEMORY_SOFT_LIMIT,
        });
        Self {
            size,
            limit,
            soft_limit,
            tasks: tasks.reduce(f64::min).unwrap_or(1.0),
            ..self
        }
    }

    /// A new line of the list. A new start makes all older reports void.
    pub fn update(&mut self, now: Micros, line: &Machine) {
        if line.ready_at != self.line.ready_at {
            (self.asked, self.used, self.refused) = (None, None, None);
            (self.strikes, self.barred_until) = (0, 0);
        }
        if let (Some(cores), Some(memory)) = (line.free_cores, line.free_memory) {
            let asked = Load::sanitized(self.size.cores - cores, self.size.memory - memory);
            self.asked = Some((now, asked));
            // A line as old as the refusal says nothing against it.
            self.refused = self.refused.filter(|(at, _)| now < at + LIST_LAG_US);
        }
        self.line = line.clone();
    }

    /// A load report: what nobody asked for, or what nobody uses.
    pub fn report(&mut self, now: Micros, left: Load, counts_asks: bool) {
        let taken = Load::sanitized(self.size.cores - left.cores, self.size.memory - left.memory);
        if counts_asks {
            self.asked = Some((now, taken));
            self.refused = self.refused.filter(|(at, _)| now < at + REPORT_LAG_US);
        } else {
            self.used = Some((now, taken));
        }
    }

    pub fn change(&mut self, now: Micros, load: Load) {
        self.changes.retain(|(at, _)| now < at + 2 * LIST_LAG_US);
        self.changes.push_back((now, load));
    }

    /// A report plus the own changes that it can't hold yet, so that no offer counts twice.
    pub fn since(&self, report: (Micros, Load), lag: Micros, ratio: Load) -> Load {
        let young = self.changes.iter().filter(|(at, _)| at + lag > report.0);
        young.fold(report.1, |sum, (_, load)| sum.plus(load.times(ratio)))
    }

    pub fn asked(&self) -> Load {
        let asked = self.asked.map_or(self.own_load, |report| {
            self.since(report, LIST_LAG_US, ONCE)
        });
        Load::sanitized(
            asked.cores.max(self.own_load.cores),
            asked.memory.max(self.own_load.memory),
        )
    }

    pub fn used(&self, ratio: Load) -> Option<Load> {
        self.used
            .map(|report| self.since(report, REPORT_LAG_US, ratio))
    }

    /// How the draws of one step see it.
    pub fn view(
        &self,
        now: Micros,
        settings: &Settings,
        scheduler: Scheduler,
        ratio: Load,
    ) -> MachineView {
        let (asked, used) = (self.asked(), self.used(ratio));
        let heard = self.asked.is_some() || self.used.is_some();
        let refused = self
            .refused
            .filter(|(at, _)| now < at + REFUSAL_US)
            .map(|(_, load)| load);
        let full = f64::from(u8::from(
            refused.is_some_and(|refused| Load::default().reaches(refused)),
        ));
        let use_share = used.map_or(0.0, |used| used.share(self.soft_limit));
        MachineView {
            line: self.line.clone(),
            rank: 0,
            tasks: self.tasks,
            limit: self.limit,
            memory_roof: self.soft_limit.memory,
            asked,
            used,
            refused,
            // The fuller share committed: of what may be asked, or of what may be used.
            share: asked.share(self.limit).max(use_share).max(full),
            heard,
            floored: !heard || self.strikes > 0 || self.is_cold(now, &settings.rules),
            budget: self.may_send(now, settings, scheduler),
            barred: self.barred_until > now,
            shut: self.shut.values().any(|until| *until > now),
        }
    }

    pub fn is_cold(&self, now: Micros, rules: &Rules) -> bool {
        let warm_after = rules.warm_after_us.unwrap_or(0);
        self.line
            .ready_at
            .is_some_and(|at| now < at.saturating_add(warm_after))
    }

    /// A failed connect, probe or attempt: stay away, longer each time.
    pub fn strike(&mut self, now: Micros, settings: &Settings) {
        let bar = settings.rules.connect_timeout_us.unwrap_or(BAR_US);
        self.barred_until = now + (bar << self.strikes.min(BAR_DOUBLINGS));
        self.strikes += 1;
    }

    /// An answer: the way back is a step for each, so one lucky answer does not clear a jam.
    pub fn answer(&mut self, now: Micros, attempt: AttemptId) {
        let sent = self.waiting.remove(&attempt).unwrap_or(0);
        self.looked_at = self.looked_at.max(sent);
        self.heard_at = now;
        self.strikes /= 2;
    }

    /// Asks are looked at in order, so one sent before the latest answered one was seen (yes at acceptance).
    pub fn passed_over(&self, sent: Micros, settings: &Settings) -> bool {
        !settings.yes_when_running && sent < self.looked_at
    }

    /// Offers wait and nothing at all came back since; one that still answers others is slow, not silent.
    pub fn silent_since(&self, awake_since: Micros) -> Option<Micros> {
        self.waiting
            .values()
            .min()
            .map(|sent| (*sent).max(self.heard_at).max(awake_since))
    }
}
