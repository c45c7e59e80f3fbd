//! The interface of the decision module: what it is told and what it answers.
//!
//! Times are microseconds on one clock that never goes back. What a deployment
//! does not tell is `None`; nothing here stands in for it.

/// Microseconds, as a point on the caller's clock or as a length of time.
pub type Micros = u64;

/// A machine; the same at every scheduler.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct MachineId(pub u64);

/// One ask to place a task. A task that is asked for again has a fresh one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// One attempt at a request; the first is number 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The ask.
    pub request: RequestId,
    /// Its number, in the order of the offers.
    pub number: u16,
}

/// A task; it stays the same each time the task is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey(pub u64);

/// A service: tasks of one class, one shape and one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceId(pub u64);

/// What a second start of a task may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// A second copy does no harm.
    Safe,
    /// Repeats are dropped within a group of machines, for a while.
    Keyed,
    /// It must never start twice.
    #[default]
    Unsafe,
}

/// The machines that drop each other's repeats of a keyed task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All machines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    #[default]
    Cell,
}

/// The kind of place over which a class wants its services spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// One machine.
    Machine,
    /// One cell of machines.
    Cell,
    /// One zone.
    Zone,
}

/// A class of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// What a second start may do.
    pub effect: Effect,
    /// Who drops repeats of a keyed task.
    pub group: Group,
    /// How long repeats are dropped, from the first send that may have run.
    pub window_us: Option<Micros>,
    /// A first start within this time earns its full worth.
    pub aim_us: Micros,
    /// The only machine kind that serves this class.
    pub kind: Option<u16>,
    /// The place that holds at most so many tasks of one service.
    pub spread: Option<(Place, u32)>,
    /// Cores may be busy up to this fraction before service fades.
    pub calm: Option<f64>,
}

/// A kind of machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kind {
    /// Cores of one machine.
    pub cores: Option<f64>,
    /// Memory of one machine.
    pub memory: Option<f64>,
}

/// A value of a load report, in the report's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Cores left.
    Cores,
    /// Memory left.
    Memory,
    /// Anything else.
    Other,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportStyle {
    /// None come.
    #[default]
    Never,
    /// With outcomes and with probe results.
    Answers,
    /// With probe results alone.
    Probes,
}

/// Figures of the rules and limits that bind a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Most attempts for one request.
    pub max_attempts: Option<u32>,
    /// Attempts may be stopped.
    pub may_stop: bool,
    /// Machines may be probed.
    pub may_probe: bool,
    /// A connection that takes longer than this fails.
    pub connect_timeout_us: Option<Micros>,
    /// A machine is warm this long after its start, at the latest.
    pub warm_after_us: Option<Micros>,
    /// The window in which offers to a cold machine are counted.
    pub overload_us: Option<Micros>,
    /// Offers in that window, by all schedulers, that a cold machine survives.
    pub cold_offers: Option<f64>,
    /// A scheduler with no watch on the list has to ask at least this often.
    pub must_ask_us: Option<Micros>,
}

/// Prices, each in points of the result for its whole share or rate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Machines that hold a task beyond those needed.
    pub fleet: Option<f64>,
    /// Tasks that run outside the zone of their scheduler.
    pub cross_zone: Option<f64>,
}

/// What a scheduler is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many schedulers there are.
    pub schedulers: u32,
    /// The number of this one among them, from 0, the same after a restart.
    pub position: Option<u32>,
    /// The zone of this one.
    pub zone: Option<u16>,
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Machine kinds, by number.
    pub kinds: Vec<Kind>,
    /// A machine accepts until asks reach this multiple of its cores.
    pub accepts_cores: Option<f64>,
    /// A machine accepts until asks reach this multiple of its memory.
    pub accepts_memory: Option<f64>,
    /// Cores that a task of mean size asks for.
    pub mean_cores: Option<f64>,
    /// Memory that a task of mean size asks for.
    pub mean_memory: Option<f64>,
    /// The machine list comes only when asked for.
    pub list_on_request: bool,
    /// How load reports come.
    pub report_style: ReportStyle,
    /// The values of a load report.
    pub report_fields: Vec<ReportField>,
    /// What reports call left is what nobody asked for, not what nobody uses.
    pub report_counts_asks: bool,
    /// A yes comes only when the task runs.
    pub yes_when_running: bool,
    /// Figures of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
}

/// Whether a machine may get new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It takes tasks.
    Ready,
    /// It wraps up its work.
    Draining,
    /// It was removed.
    #[default]
    Gone,
}

/// A line of the machine list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// Which machine.
    pub id: MachineId,
    /// Its zone.
    pub zone: u16,
    /// Its kind.
    pub kind: u16,
    /// Its cell, a small group of related machines.
    pub cell: u16,
    /// Whether it takes tasks.
    pub health: Health,
    /// When it last started; `None` for long ago.
    pub ready_at: Option<Micros>,
    /// Cores that no accepted task asked for; negative where more were given.
    pub free_cores: Option<f64>,
    /// Memory that no accepted task asked for.
    pub free_memory: Option<f64>,
}

impl Machine {
    /// The number of the place that a spread counts over.
    pub fn place(&self, place: Place) -> u64 {
        match place {
            Place::Machine => self.id.0,
            Place::Cell => u64::from(self.cell),
            Place::Zone => u64::from(self.zone),
        }
    }
}

/// News of the machine list.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The lines that changed.
    Changes(Vec<Machine>),
    /// The whole list; a machine that it lacks is gone.
    Whole(Vec<Machine>),
    /// The whole list as last seen before a restart.
    Cached(Vec<Machine>),
    /// An ask for the list failed, or the watch on it ended.
    Failed,
}

/// A task to place.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// This ask.
    pub request: RequestId,
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// The task itself.
    pub key: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// How long it should still run.
    pub life_us: Option<Micros>,
    /// It was asked for before.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Finished,
    /// The machine reports an error; the task may have started.
    Error,
    /// Refused, or handed back before it ran.
    Refused,
    /// No answer in time; the task may have been accepted.
    TimedOut,
    /// No connection; it never ran.
    Unconnected,
    /// Lost, evicted or sent away once placed; unknown before that.
    Reset,
    /// Stopped; unknown before it was placed.
    Stopped,
    /// Never sent.
    Unsent,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many offers wait.
    Crowded,
    /// Wrong kind, draining, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a task of higher priority.
    PushedOut,
    /// Sent away by a machine that drains.
    SentAway,
}

/// News of a task that a machine holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// It runs.
    Runs,
    /// Cores it uses.
    Cores(f64),
    /// Memory it uses.
    Memory(f64),
    /// Fraction of full service it gets.
    Served(f64),
    /// Fraction of its machine's memory in use.
    Pressure(f64),
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where.
    pub machine: MachineId,
    /// How.
    pub outcome: Outcome,
    /// Why, where told.
    pub reason: Option<Reason>,
    /// The request owes no answer any more.
    pub closed: bool,
    /// The machine's load report, in the order of the settings.
    pub report: Vec<f64>,
}

/// What a scheduler learned of one machine. Times are lengths before the moment of telling, or after it
/// where they end something.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Belief {
    /// Which machine.
    pub machine: MachineId,
    /// When it was told what all asked for there, and the cores and memory of that.
    pub asked: Option<(Micros, f64, f64)>,
    /// When a report told what all used there, and the cores and memory of that.
    pub used: Option<(Micros, f64, f64)>,
    /// When it last refused, and the least cores and memory that this speaks against.
    pub refused: Option<(Micros, f64, f64)>,
    /// Tenants and classes that it turns away, and for how long they still avoid it.
    pub shut: Vec<(u16, u16, Micros)>,
    /// Failures without an answer, less those forgiven.
    pub strikes: u32,
    /// For how long it is still avoided for them.
    pub barred_us: Micros,
    /// When own offers went there while it was cold.
    pub cold_offers: Vec<Micros>,
}

/// What a scheduler learned, for the one that takes its place after a restart.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Beliefs {
    /// Of each machine; one of which nothing is known is left out.
    pub machines: Vec<Belief>,
    /// Answer times remembered, the oldest first.
    pub answers: Vec<Micros>,
    /// When own tasks arrived, and their sizes, the oldest first.
    pub arrivals: Vec<(Micros, f64)>,
    /// Learnt ratio of use to ask, of cores and memory.
    pub ratio: Option<(f64, f64)>,
}

/// Something that happened, told in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Its settings changed while it runs. Classes, kinds and tenants keep their numbers: what is gone stays as it
    /// was, what is new comes after it. All that was learned stays.
    SettingsChanged(Box<Settings>),
    /// What a former life of this scheduler learned, as long ago as its times say. Of machines that no list
    /// has named yet nothing is taken in.
    BeliefsRestored(Beliefs),
    /// News of the machine list.
    Listed(Listing),
    /// A task needs a place and its owner one final answer.
    Arrived {
        /// The task.
        task: Task,
        /// Time until its owner gives up.
        grace_us: Micros,
    },
    /// From now on only these machines may take a request; in the order of their ids. Told again whenever
    /// they change; a request of which it is never told may go anywhere.
    EligibilityChanged {
        /// The request.
        request: RequestId,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// A running task falls to this scheduler; its attempt 0 is made.
    Adopted {
        /// The task.
        task: Task,
        /// Where it runs.
        machine: MachineId,
    },
    /// A task was placed.
    Placed {
        /// The attempt that placed it.
        attempt: AttemptId,
        /// Where.
        machine: MachineId,
        /// Time since it was sent.
        took_us: Micros,
    },
    /// News of a task that a machine holds.
    TaskSignal {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        machine: MachineId,
        /// The news.
        note: Note,
    },
    /// An attempt ended; each gets exactly one.
    Ended(Ended),
    /// The owner wants the task no more.
    Withdrawn(RequestId),
    /// The owner has gone or will ask for nothing more: no attempt begins from now on. One that is out may still
    /// place the task; without one the final answer comes at once.
    Last(RequestId),
    /// A timer came due.
    Woken(u64),
    /// A probe came back.
    Probed {
        /// Which machine.
        machine: MachineId,
        /// It answered.
        answered: bool,
        /// Time since it was sent.
        took_us: Micros,
        /// Its load report.
        report: Vec<f64>,
    },
    /// A message of another scheduler.
    Peer {
        /// Its position.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
}

/// Something to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer a task to a machine.
    Offer {
        /// The ask.
        request: RequestId,
        /// The machine.
        machine: MachineId,
        /// Time-out; `None` runs until the owner gives up.
        within_us: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Stop(AttemptId),
    /// Final answer: refused, and asking again does no harm.
    Refuse {
        /// The ask.
        request: RequestId,
        /// How long to stay away.
        stay_away_us: Option<Micros>,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop a placed task, so that its owner asks for it again.
    Move(RequestId),
    /// Ask a machine for its report.
    Probe(MachineId),
    /// Close idle connections to a machine.
    CloseIdle(MachineId),
    /// Send a message to one scheduler, or to all.
    Tell {
        /// Position of the receiver; `None` for all.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Watch the machine list, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// Wake later.
    Timer {
        /// Comes back in [`Event::Woken`].
        token: u64,
        /// From now.
        after_us: Micros,
    },
    /// A line for the staff.
    Log(String),
}
