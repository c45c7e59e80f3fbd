//! The tables of a settings file as deserialized, before the checks. Names are the keys and values of the file; their
//! meaning is documented at the types that the checks produce.

use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use super::types::{ComesAgain, WhenLost};
use crate::problem::DurationUs;

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
    pub(super) yes_when: YesWhenValue,
    pub(super) reports: ReportsValue,
    pub(super) report_fields: Spanned<Vec<ReportFieldValue>>,
    pub(super) report_counts: ReportCountsValue,
    pub(super) max_attempts: Spanned<u32>,
    pub(super) may_probe: bool,
    pub(super) drain_grace: DurationUs,
    pub(super) warm_after: Option<DurationUs>,
    pub(super) cold_window: Option<Spanned<DurationUs>>,
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
            yes_when: YesWhenValue::Accepted,
            reports: ReportsValue::Never,
            report_fields: Spanned::new(0..0, Vec::new()),
            report_counts: ReportCountsValue::Used,
            max_attempts: Spanned::new(0..0, 4),
            may_probe: false,
            drain_grace: DurationUs(500_000),
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
pub(super) enum YesWhenValue {
    Accepted,
    Running,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ReportsValue {
    Never,
    Answers,
    Probes,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ReportFieldValue {
    Cores,
    Memory,
    Other,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum ReportCountsValue {
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
    pub(super) keep_ended: DurationUs,
    pub(super) settle: DurationUs,
}

impl Default for LimitsTable {
    fn default() -> Self {
        Self {
            connections: 1_000,
            sessions: 10_000,
            jobs: 1_000_000,
            bulk: 100_000,
            keep_ended: DurationUs(3_600_000_000),
            settle: DurationUs(3_000_000),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct LinksTable {
    pub(super) connect: DurationUs,
    pub(super) reattach: DurationUs,
    pub(super) stop_wait: DurationUs,
    pub(super) lost_after: DurationUs,
    pub(super) probe: DurationUs,
}

impl Default for LinksTable {
    fn default() -> Self {
        Self {
            connect: DurationUs(250_000),
            reattach: DurationUs(500_000),
            stop_wait: DurationUs(500_000),
            lost_after: DurationUs(60_000_000),
            probe: DurationUs(1_000_000),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StateTable {
    pub(super) folder: PathBuf,
    #[serde(default)]
    pub(super) when_lost: WhenLost,
    pub(super) learn_every: Option<Spanned<DurationUs>>,
    pub(super) retry: Option<Spanned<DurationUs>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanTable {
    pub(super) number: Spanned<u64>,
    #[serde(default)]
    pub(super) pinned: bool,
    pub(super) lease: Option<Spanned<DurationUs>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassTable {
    pub(super) name: Spanned<String>,
    pub(super) repeat: RepeatValue,
    pub(super) group: Option<Spanned<GroupValue>>,
    pub(super) window: Option<Spanned<DurationUs>>,
    pub(super) aim: Spanned<DurationUs>,
    pub(super) give_up: DurationUs,
    pub(super) kind: Option<Spanned<String>>,
    pub(super) spread: Option<SpreadTable>,
    pub(super) calm: Option<Spanned<f64>>,
    pub(super) comes_again: Option<Spanned<ComesAgain>>,
    pub(super) again_after: Option<DurationUs>,
    pub(super) cores: Option<Spanned<f64>>,
    pub(super) memory: Option<Spanned<f64>>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum RepeatValue {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum GroupValue {
    All,
    Hall,
    Rack,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SpreadTable {
    pub(super) over: SpreadOverValue,
    pub(super) most: Spanned<u32>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum SpreadOverValue {
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
