//! Reads the settings of a deployment from JSON. The simulator's first message and the platform's
//! configuration have them in the same form.

use serde::Deserialize;

use crate::api::{
    Class, Effect, Group, Kind, Micros, Place, Prices, ReportField, ReportStyle, Rules, Settings,
};

/// The settings of a deployment: those of the decision module, and those that only the programs that
/// drive it use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The settings of the decision module.
    pub module: Settings,
    /// Whether entries of the machine list state the free cores and memory.
    pub lists_free: bool,
    /// The names of the classes, by class number.
    pub classes: Vec<String>,
    /// The names of the tenants, by tenant number; empty in a deployment without tenants.
    pub tenants: Vec<String>,
    /// The names of the zones, by zone number.
    pub zones: Vec<String>,
    /// The names of the machine kinds, by kind number.
    pub kinds: Vec<String>,
    /// The names of the values of a load report, in their order.
    pub report: Vec<String>,
    /// Time in microseconds after which idle connections to machines are closed; `None` if the
    /// deployment does not set it.
    pub idle_close_us: Option<Micros>,
    /// The longest time of any class for which a client waits for an answer, in microseconds; `None` if
    /// no class sets one.
    pub longest_wait_us: Option<Micros>,
    /// Maximum number of offers in flight on one connection to a machine; `None` if the deployment does
    /// not set it.
    pub per_connection: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsJson {
    n_instances: u32,
    position: Option<u32>,
    zone: Option<u16>,
    classes: Vec<ClassJson>,
    kinds: Vec<String>,
    #[serde(default)]
    tenants: Vec<TenantJson>,
    #[serde(default)]
    failure_domains: Vec<String>,
    discovery: DiscoveryJson,
    report: Option<ReportJson>,
    specifics: SpecificsJson,
    penalties: Option<PricesJson>,
    policy_limits: LimitsJson,
    rules: RulesJson,
}

#[derive(Deserialize)]
struct TenantJson {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassJson {
    #[serde(default)]
    name: String,
    effect: EffectJson,
    group: Option<GroupJson>,
    dedup_window_us: Option<Micros>,
    aim_us: Micros,
    hard_limit_us: Option<Micros>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectJson {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum GroupJson {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum DiscoveryJson {
    Push,
    Ask,
}

#[derive(Deserialize)]
struct ReportJson {
    how: ReportStyleJson,
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportStyleJson {
    Piggyback,
    Pull,
    Silent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SpecificsJson {
    accepts_cores: Option<f64>,
    mem_booking: Option<f64>,
    yes_at: Option<YesAtJson>,
    easy_until: Option<Vec<f64>>,
    needs_kind: Option<Vec<i32>>,
    most_together: Option<Vec<u32>>,
    spread_over: Option<Vec<PlaceJson>>,
    young_limit: Option<f64>,
    counts: Option<CountsJson>,
    cpu_of_kind: Option<Vec<f64>>,
    mem_of_kind: Option<Vec<f64>>,
    unit_cores: Option<f64>,
    unit_memory: Option<f64>,
    lists_free: Option<bool>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum YesAtJson {
    Accepted,
    Running,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum CountsJson {
    Asked,
    Used,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum PlaceJson {
    Silent,
    Machine,
    Cell,
    Zone,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PricesJson {
    fleet: Option<f64>,
    cross_zone: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsJson {
    max_attempts: Option<u32>,
    cancelling: Option<bool>,
    probing: Option<bool>,
    connect_timeout_us: Option<Micros>,
    idle_close_us: Option<Micros>,
    per_conn: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RulesJson {
    warm_after_us: Option<Micros>,
    overload_for_us: Option<Micros>,
    must_ask_in_us: Option<Micros>,
}

/// Why the settings JSON is invalid, and at which path in it.
pub type Error = serde_path_to_error::Error<serde_json::Error>;

/// Reads the settings JSON.
///
/// # Errors
/// The text is not JSON, a required key is missing, or a key has a value of the wrong type or an
/// unknown name.
pub fn read(text: &str) -> Result<Deployment, Error> {
    let settings: SettingsJson =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
    Ok(settings.into_deployment())
}

/// The value at index `n` (a class or kind number); `None` if the list is missing or shorter.
fn nth(list: Option<&Vec<f64>>, n: usize) -> Option<f64> {
    list.and_then(|list| list.get(n).copied())
}

impl SettingsJson {
    fn into_deployment(self) -> Deployment {
        let module = self.module();
        let longest_wait_us = self
            .classes
            .iter()
            .filter_map(|class| class.hard_limit_us)
            .max();
        Deployment {
            module,
            lists_free: self.specifics.lists_free == Some(true),
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: self.failure_domains,
            kinds: self.kinds,
            report: self.report.map(|report| report.names).unwrap_or_default(),
            idle_close_us: self.policy_limits.idle_close_us,
            longest_wait_us,
            per_connection: self.policy_limits.per_conn,
        }
    }

    fn module(&self) -> Settings {
        let specifics = &self.specifics;
        Settings {
            schedulers: self.n_instances,
            position: self
                .position
                .filter(|position| *position < self.n_instances),
            zone: self.zone,
            classes: (0..)
                .zip(&self.classes)
                .map(|(n, class)| self.class(n, class))
                .collect(),
            kinds: (0..self.kinds.len()).map(|n| self.kind(n)).collect(),
            accepts_cores: specifics.accepts_cores,
            accepts_memory: specifics.mem_booking,
            mean_cores: specifics.unit_cores,
            mean_memory: specifics.unit_memory,
            list_on_request: self.discovery == DiscoveryJson::Ask,
            report_style: self.report_style(),
            report_fields: self.report_fields(),
            report_counts_requests: specifics.counts == Some(CountsJson::Asked),
            yes_when_running: specifics.yes_at == Some(YesAtJson::Running),
            rules: self.rules(),
            prices: self.prices(),
        }
    }

    fn class(&self, n: usize, class: &ClassJson) -> Class {
        let kinds = self.specifics.needs_kind.as_ref();
        Class {
            effect: match class.effect {
                EffectJson::Free => Effect::Safe,
                EffectJson::Guarded => Effect::Keyed,
                EffectJson::SingleShot => Effect::Unsafe,
            },
            group: match class.group {
                Some(GroupJson::All) => Group::All,
                Some(GroupJson::Zone) => Group::Zone,
                Some(GroupJson::Cell) | None => Group::Cell,
            },
            window_us: class.dedup_window_us,
            aim_us: class.aim_us,
            // A negative number means that tasks of the class run on any kind.
            kind: kinds.and_then(|kinds| u16::try_from(*kinds.get(n)?).ok()),
            spread: self.spread(n),
            calm: nth(self.specifics.easy_until.as_ref(), n),
        }
    }

    /// The domain over which the tasks of class `n` are spread, and the maximum number of tasks of one
    /// service in it; `None` if they are not spread.
    fn spread(&self, n: usize) -> Option<(Place, u32)> {
        let most = *self.specifics.most_together.as_ref()?.get(n)?;
        let place = match self.specifics.spread_over.as_ref()?.get(n)? {
            PlaceJson::Silent => return None,
            PlaceJson::Machine => Place::Machine,
            PlaceJson::Cell => Place::Cell,
            PlaceJson::Zone => Place::Zone,
        };
        Some((place, most))
    }

    fn kind(&self, n: usize) -> Kind {
        Kind {
            cores: nth(self.specifics.cpu_of_kind.as_ref(), n),
            memory: nth(self.specifics.mem_of_kind.as_ref(), n),
        }
    }

    fn report_style(&self) -> ReportStyle {
        match self.report.as_ref().map(|report| &report.how) {
            Some(ReportStyleJson::Piggyback) => ReportStyle::Answers,
            Some(ReportStyleJson::Pull) => ReportStyle::Probes,
            Some(ReportStyleJson::Silent) | None => ReportStyle::Never,
        }
    }

    fn report_fields(&self) -> Vec<ReportField> {
        let names = self.report.iter().flat_map(|report| &report.names);
        let field = |name: &String| match name.as_str() {
            "x0" => ReportField::Cores,
            "x1" => ReportField::Memory,
            _ => ReportField::Other,
        };
        names.map(field).collect()
    }

    fn rules(&self) -> Rules {
        let (limits, rules) = (&self.policy_limits, &self.rules);
        Rules {
            max_attempts: limits.max_attempts,
            may_stop: limits.cancelling == Some(true),
            may_probe: limits.probing == Some(true),
            connect_timeout_us: limits.connect_timeout_us,
            warm_after_us: rules.warm_after_us,
            slow_start_window_us: rules.overload_for_us,
            slow_start_offers: self.specifics.young_limit,
            must_ask_us: rules.must_ask_in_us,
        }
    }

    fn prices(&self) -> Prices {
        let prices = self.penalties.as_ref();
        Prices {
            fleet: prices.and_then(|prices| prices.fleet),
            cross_zone: prices.and_then(|prices| prices.cross_zone),
        }
    }
}
