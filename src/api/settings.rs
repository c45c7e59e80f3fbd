//! The settings of a scheduler.

use super::ids::Micros;
use super::tasks::Class;

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
    /// Any other value.
    Other,
}

/// When load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportStyle {
    /// Never.
    #[default]
    Never,
    /// With outcomes and with the results of health checks.
    Answers,
    /// With the results of health checks alone.
    Probes,
}

/// The rules and limits that bind a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Most attempts of one request.
    pub max_attempts: Option<u32>,
    /// Attempts may be stopped.
    pub may_stop: bool,
    /// Machines may be sent health checks.
    pub may_probe: bool,
    /// A connection that takes longer than this fails.
    pub connect_timeout_us: Option<Micros>,
    /// A machine is warm this long after its start, at the latest.
    pub warm_after_us: Option<Micros>,
    /// The slow start window, in which offers to a machine that is warming up are counted.
    pub slow_start_window_us: Option<Micros>,
    /// Offers in that window, by all schedulers, that a machine survives while it is warming up.
    pub slow_start_offers: Option<f64>,
    /// The longest time without an answer after which the watch on the list must be requested
    /// again.
    pub must_ask_us: Option<Micros>,
}

/// Prices of what a placement costs, each in points of the result for the whole fraction or rate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Machines that run a task beyond those needed.
    pub fleet: Option<f64>,
    /// Tasks that run outside the zone of their scheduler.
    pub cross_zone: Option<f64>,
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many schedulers there are.
    pub schedulers: u32,
    /// The number of this scheduler among them, from 0, the same after a restart.
    pub position: Option<u32>,
    /// The zone of this scheduler.
    pub zone: Option<u16>,
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Machine kinds, by number.
    pub kinds: Vec<Kind>,
    /// A machine accepts tasks until requests reach this multiple of its cores.
    pub accepts_cores: Option<f64>,
    /// A machine accepts tasks until requests reach this multiple of its memory.
    pub accepts_memory: Option<f64>,
    /// Cores that a task of mean size requests.
    pub mean_cores: Option<f64>,
    /// Memory that a task of mean size requests.
    pub mean_memory: Option<f64>,
    /// The machine list comes only on request.
    pub list_on_request: bool,
    /// When load reports come.
    pub report_style: ReportStyle,
    /// The values of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// What reports call left is what nobody requests, not what nobody uses.
    pub report_counts_asks: bool,
    /// A machine answers an offer only when the task runs, not when it is accepted.
    pub yes_when_running: bool,
    /// The rules and limits.
    pub rules: Rules,
    /// What a placement costs.
    pub prices: Prices,
}
