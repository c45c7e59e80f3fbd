//! The settings of a deployment as JSON, from the simulator's first message and by the platform's
//! configuration alike.

use serde::Deserialize;

use crate::api::{
    Class, Effect, Group, Kind, Micros, Place, Prices, ReportField, ReportStyle, Rules, Settings,
};

/// A deployment's settings: the module's settings, and what concerns only those who speak for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The settings of the module.
    pub module: Settings,
    /// List lines tell what is free.
    pub lists_free: bool,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the tenants, by number; some sites have none.
    pub tenants: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the machine kinds, by number.
    pub kinds: Vec<String>,
    /// Names of the figures of a load report, in order.
    pub report: Vec<String>,
    /// Idle connections to machines are closed after this time.
    pub idle_close_us: Option<Micros>,
    /// How long a client waits for an answer, in the class that waits longest.
    pub longest_wait_us: Option<Micros>,
    /// Most set-ups on one connection to a machine.
    pub per_connection: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    n_instances: u32,
    position: Option<u32>,
    zone: Option<u16>,
    classes: Vec<WireClass>,
    kinds: Vec<String>,
    #[serde(default)]
    tenants: Vec<Named>,
    #[serde(default)]
    failure_domains: Vec<String>,
    discovery: Discovery,
    report: Option<WireReport>,
    specifics: Specifics,
    penalties: Option<WirePrices>,
    policy_limits: Limits,
    rules: WireRules,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    #[serde(default)]
    name: String,
    effect: WireEffect,
    group: Option<WireGroup>,
    dedup_window_us: Option<Micros>,
    aim_us: Micros,
    hard_limit_us: Option<Micros>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Push,
    Ask,
}

#[derive(Deserialize)]
struct WireReport {
    how: WireStyle,
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireStyle {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Specifics {
    accepts_cores: Option<f64>,
    mem_booking: Option<f64>,
    yes_at: Option<YesAt>,
    easy_until: Option<Vec<f64>>,
    needs_kind: Option<Vec<i32>>,
    most_together: Option<Vec<u32>>,
    spread_over: Option<Vec<WirePlace>>,
    young_limit: Option<f64>,
    counts: Option<Counts>,
    cpu_of_kind: Option<Vec<f64>>,
    mem_of_kind: Option<Vec<f64>>,
    unit_cores: Option<f64>,
    unit_memory: Option<f64>,
    lists_free: Option<bool>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum YesAt {
    Accepted,
    Running,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Counts {
    Asked,
    Used,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WirePlace {
    Silent,
    Machine,
    Cell,
    Zone,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePrices {
    fleet: Option<f64>,
    cross_zone: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: Option<u32>,
    cancelling: Option<bool>,
    probing: Option<bool>,
    connect_timeout_us: Option<Micros>,
    idle_close_us: Option<Micros>,
    per_conn: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    warm_after_us: Option<Micros>,
    overload_for_us: Option<Micros>,
    must_ask_in_us: Option<Micros>,
}

/// What is wrong with the settings, with the place in them.
pub type Error = serde_path_to_error::Error<serde_json::Error>;

/// Reads the settings JSON.
///
/// # Errors
/// Where the text is no JSON, lacks what every site tells, or says what no site can mean.
pub fn read(text: &str) -> Result<Deployment, Error> {
    let wire: Wire =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    let (facts, limits) = (wire.specifics, wire.policy_limits);
    let nth = |list: &Option<Vec<f64>>, n: usize| list.as_ref().and_then(|l| l.get(n).copied());
    let place = |n: usize| -> Option<(Place, u32)> {
        let most = *facts.most_together.as_ref()?.get(n)?;
        match facts.spread_over.as_ref()?.get(n)? {
            WirePlace::Silent => None,
            WirePlace::Machine => Some((Place::Machine, most)),
            WirePlace::Cell => Some((Place::Cell, most)),
            WirePlace::Zone => Some((Place::Zone, most)),
        }
    };
    let class = |(n, class): (usize, &WireClass)| Class {
        effect: match class.effect {
            WireEffect::Free => Effect::Safe,
            WireEffect::Guarded => Effect::Keyed,
            WireEffect::SingleShot => Effect::Unsafe,
        },
        group: match class.group {
            Some(WireGroup::All) => Group::All,
            Some(WireGroup::Zone) => Group::Zone,
            Some(WireGroup::Cell) | None => Group::Cell,
        },
        window_us: class.dedup_window_us,
        aim_us: class.aim_us,
        kind: facts
            .needs_kind
            .as_ref()
            .and_then(|kinds| u16::try_from(*kinds.get(n)?).ok()),
        spread: place(n),
        calm: nth(&facts.easy_until, n),
    };
    let module = Settings {
        schedulers: wire.n_instances,
        position: wire
            .position
            .filter(|position| *position < wire.n_instances),
        zone: wire.zone,
        classes: wire.classes.iter().enumerate().map(class).collect(),
        kinds: (0..wire.kinds.len())
            .map(|n| Kind {
                cores: nth(&facts.cpu_of_kind, n),
                memory: nth(&facts.mem_of_kind, n),
            })
            .collect(),
        accepts_cores: facts.accepts_cores,
        accepts_memory: facts.mem_booking,
        mean_cores: facts.unit_cores,
        mean_memory: facts.unit_memory,
        list_on_request: wire.discovery == Discovery::Ask,
        report_style: match wire.report.as_ref().map(|report| &report.how) {
            Some(WireStyle::Piggyback) => ReportStyle::Answers,
            Some(WireStyle::Pull) => ReportStyle::Probes,
            Some(WireStyle::Silent) | None => ReportStyle::Never,
        },
        report_fields: wire
            .report
            .iter()
            .flat_map(|report| &report.names)
            .map(|name| match name.as_str() {
                "x0" => ReportField::Cores,
                "x1" => ReportField::Memory,
                _ => ReportField::Other,
            })
            .collect(),
        report_counts_asks: facts.counts == Some(Counts::Asked),
        yes_when_running: facts.yes_at == Some(YesAt::Running),
        rules: Rules {
            max_attempts: limits.max_attempts,
            may_stop: limits.cancelling == Some(true),
            may_probe: limits.probing == Some(true),
            connect_timeout_us: limits.connect_timeout_us,
            warm_after_us: wire.rules.warm_after_us,
            overload_us: wire.rules.overload_for_us,
            cold_offers: facts.young_limit,
            must_ask_us: wire.rules.must_ask_in_us,
        },
        prices: wire
            .penalties
            .map_or_else(Prices::default, |prices| Prices {
                fleet: prices.fleet,
                cross_zone: prices.cross_zone,
            }),
    };
    let longest_wait_us = wire
        .classes
        .iter()
        .filter_map(|class| class.hard_limit_us)
        .max();
    Ok(Deployment {
        module,
        lists_free: facts.lists_free == Some(true),
        classes: wire.classes.into_iter().map(|class| class.name).collect(),
        tenants: wire.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: wire.failure_domains,
        kinds: wire.kinds,
        report: wire.report.map(|report| report.names).unwrap_or_default(),
        longest_wait_us,
        idle_close_us: limits.idle_close_us,
        per_connection: limits.per_conn,
    })
}
