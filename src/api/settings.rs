//! The settings of a scheduler.

use super::ids::Micros;
use super::tasks::Class;

/// A kind of machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kind {
    /// Cores of one machine of this kind; `None` if the deployment does not state them.
    pub cores: Option<f64>,
    /// Memory of one machine of this kind; `None` if the deployment does not state it.
    pub memory: Option<f64>,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// The cores that are left.
    Cores,
    /// The memory that is left.
    Memory,
    /// Any other value, which the decision module ignores.
    Other,
}

/// Which messages from machines contain load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportStyle {
    /// None: machines send no load reports.
    #[default]
    Never,
    /// Outcomes of attempts, and answers to health checks.
    Answers,
    /// Answers to health checks only.
    Probes,
}

/// The rules and limits that bind a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Maximum number of attempts of one request; `None` for no limit.
    pub max_attempts: Option<u32>,
    /// Whether attempts may be stopped.
    pub may_stop: bool,
    /// Whether machines may be sent health checks.
    pub may_probe: bool,
    /// Time in microseconds after which an attempt to connect fails, which is also the first backoff
    /// after a failure; `None` if unknown.
    pub connect_timeout_us: Option<Micros>,
    /// Time in microseconds after its start for which a machine is warming up, at most; `None` if
    /// machines are warm at once.
    pub warm_after_us: Option<Micros>,
    /// The slow start window, in microseconds, in which the offers to a machine that is warming up
    /// are counted; `None` for no limit on them.
    pub slow_start_window_us: Option<Micros>,
    /// Number of offers in that window, by all schedulers together, that a machine survives while it
    /// is warming up; `None` for no limit.
    pub slow_start_offers: Option<f64>,
    /// Time in microseconds without an answer after which the watch on the machine list must be
    /// requested again; `None` if it needs no repeated request.
    pub must_ask_us: Option<Micros>,
}

/// What a placement costs, each in points that the result loses for a fraction or rate of 1; `None`
/// if it costs nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// The price of machines that run tasks beyond those needed. If it is positive, tasks are packed
    /// on the smallest set of machines that suffices.
    pub fleet: Option<f64>,
    /// The price of tasks that run outside the zone of their scheduler. The current algorithm
    /// ignores it.
    pub cross_zone: Option<f64>,
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The number of schedulers in the deployment, including this one; 0 counts as 1.
    pub schedulers: u32,
    /// The number of this scheduler among them, from 0 and the same after a restart; `None` if the
    /// schedulers are not numbered.
    pub position: Option<u32>,
    /// The number of the zone that this scheduler is in; `None` if unknown. The current algorithm
    /// ignores it.
    pub zone: Option<u16>,
    /// The classes of tasks, by class number.
    pub classes: Vec<Class>,
    /// The kinds of machines, by kind number.
    pub kinds: Vec<Kind>,
    /// A machine accepts tasks until the sum of their requests reaches this multiple of its cores;
    /// `None` counts as 1.
    pub accepts_cores: Option<f64>,
    /// A machine accepts tasks until the sum of their requests reaches this multiple of its memory;
    /// `None` counts as 1.
    pub accepts_memory: Option<f64>,
    /// Cores that a task of mean size requests; `None` if unknown.
    pub mean_cores: Option<f64>,
    /// Memory that a task of mean size requests; `None` if unknown.
    pub mean_memory: Option<f64>,
    /// Whether the machine list is sent only on request ([`Action::Watch`](super::Action::Watch)).
    pub list_on_request: bool,
    /// Which messages from machines contain load reports.
    pub report_style: ReportStyle,
    /// The meaning of the values of a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Whether what reports call left is what no task requests; otherwise it is what no task uses.
    pub report_counts_requests: bool,
    /// Whether a machine answers an offer only when the task runs, instead of when it accepts the
    /// task.
    pub yes_when_running: bool,
    /// The rules and limits that bind this scheduler.
    pub rules: Rules,
    /// What a placement costs.
    pub prices: Prices,
}
