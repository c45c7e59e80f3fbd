//! The file as it stands, before it is checked.

use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use super::types::{ComesAgain, WhenLost};
use crate::problem::Time;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub(super) placer: PlacerTable,
    #[serde(default)]
    pub(super) site: SiteTable,
    #[serde(default)]
    pub(super) limits: LimitsTable,
    #[serde(default)]
    pub(super) links: LinksTable,
    pub(super) state: Option<StateTable>,
    pub(super) plan: Option<PlanTable>,
    #[serde(default)]
    pub(super) class: Vec<ClassTable>,
    #[serde(default)]
    pub(super) kind: Vec<KindTable>,
    #[serde(default)]
    pub(super) tenant: Vec<TenantTable>,
    #[serde(default)]
    pub(super) category: Vec<CategoryTable>,
    #[serde(default)]
    pub(super) constraint: Vec<ConstraintTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlacerTable {
    pub(super) name: Spanned<String>,
    pub(super) listen: Spanned<String>,
    pub(super) nodes: PathBuf,
    pub(super) hall: Option<String>,
    pub(super) seed: Option<u64>,
    pub(super) trace: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct SiteTable {
    pub(super) placers: Spanned<u32>,
    pub(super) accepts_cores: Option<Spanned<f64>>,
    pub(super) accepts_memory: Option<Spanned<f64>>,
    pub(super) mean_cores: Option<Spanned<f64>>,
    pub(super) mean_memory: Option<Spanned<f64>>,
    pub(super) yes_when: YesWhen,
    pub(super) reports: ReportsWord,
    pub(super) report_fields: Spanned<Vec<FieldWord>>,
    pub(super) report_counts: CountsWord,
    pub(super) max_attempts: Spanned<u32>,
    pub(super) may_probe: bool,
    pub(super) drain_grace: Time,
    pub(super) warm_after: Option<Time>,
    pub(super) cold_window: Option<Spanned<Time>>,
    pub(super) cold_offers: Option<Spanned<f64>>,
    pub(super) price_fleet: Option<f64>,
    pub(super) price_cross_hall: Option<f64>,
}

impl Default for SiteTable {
    fn default() -> Self {
        Self {
            placers: Spanned::new(0..0, 1),
            accepts_cores: None,
            accepts_memory: None,
            mean_cores: None,
            mean_memory: None,
            yes_when: YesWhen::Accepted,
            reports: ReportsWord::Never,
            report_fields: Spanned::new(0..0, Vec::new()),
            report_counts: CountsWord::Used,
            max_attempts: Spanned::new(0..0, 4),
            may_probe: false,
            drain_grace: Time(500_000),
            warm_after: None,
            cold_window: None,
            cold_offers: None,
            price_fleet: None,
            price_cross_hall: None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum YesWhen {
    Accepted,
    Running,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ReportsWord {
    Never,
    Answers,
    Probes,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum FieldWord {
    Cores,
    Memory,
    Other,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum CountsWord {
    Asked,
    Used,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct LimitsTable {
    pub(super) connections: usize,
    pub(super) sessions: usize,
    pub(super) jobs: usize,
    pub(super) bulk: u64,
    pub(super) keep_ended: Time,
    pub(super) settle: Time,
}

impl Default for LimitsTable {
    fn default() -> Self {
        Self {
            connections: 1_000,
            sessions: 10_000,
            jobs: 1_000_000,
            bulk: 100_000,
            keep_ended: Time(3_600_000_000),
            settle: Time(3_000_000),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct LinksTable {
    pub(super) connect: Time,
    pub(super) reattach: Time,
    pub(super) stop_wait: Time,
    pub(super) lost_after: Time,
    pub(super) probe: Time,
}

impl Default for LinksTable {
    fn default() -> Self {
        Self {
            connect: Time(250_000),
            reattach: Time(500_000),
            stop_wait: Time(500_000),
            lost_after: Time(60_000_000),
            probe: Time(1_000_000),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StateTable {
    pub(super) folder: PathBuf,
    #[serde(default)]
    pub(super) when_lost: WhenLost,
    pub(super) learn_every: Option<Spanned<Time>>,
    pub(super) retry: Option<Spanned<Time>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanTable {
    pub(super) number: Spanned<u64>,
    #[serde(default)]
    pub(super) pinned: bool,
    pub(super) lease: Option<Spanned<Time>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassTable {
    pub(super) name: Spanned<String>,
    pub(super) repeat: Repeat,
    pub(super) group: Option<Spanned<GroupWord>>,
    pub(super) window: Option<Spanned<Time>>,
    pub(super) aim: Spanned<Time>,
    pub(super) give_up: Time,
    pub(super) kind: Option<Spanned<String>>,
    pub(super) spread: Option<SpreadTable>,
    pub(super) calm: Option<Spanned<f64>>,
    pub(super) comes_again: Option<Spanned<ComesAgain>>,
    pub(super) again_after: Option<Time>,
    pub(super) cores: Option<Spanned<f64>>,
    pub(super) memory: Option<Spanned<f64>>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Repeat {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum GroupWord {
    All,
    Hall,
    Rack,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SpreadTable {
    pub(super) over: Over,
    pub(super) most: Spanned<u32>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Over {
    Machine,
    Rack,
    Hall,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KindTable {
    pub(super) name: Spanned<String>,
    pub(super) cores: Spanned<f64>,
    pub(super) memory: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TenantTable {
    pub(super) name: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CategoryTable {
    pub(super) name: Spanned<String>,
    pub(super) native: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConstraintTable {
    pub(super) name: Spanned<String>,
    pub(super) text: Spanned<String>,
}
