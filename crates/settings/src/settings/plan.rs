//! The plan: the part of the settings that all placers must share, as opposed to the settings of a single placer.
//!
//! `[site]`, `[[kind]]`, `[[class]]`, `[[tenant]]`, `[[category]]` and `[[constraint]]` are the plan; `[placer]`,
//! `[plan]`, `[limits]`, `[links]` and `[state]` belong to the single placer. The canonical text of a plan contains all
//! values, including defaults that the file leaves out, so that files with the same meaning have the same digest.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use reedring::{Effect, Group, Place, ReportField, ReportStyle};
use reedring_node_protocol as wire;
use reedring_plan::{
    ClassBounds, ConfigBounds, ConfigDocument, ReschedulePolicy, Resources, SpreadDomain,
    SpreadLimit,
};

use super::types::{Class, ComesAgain, Settings, Spread};
use crate::problem::{Problem, Problems};

/// Tables of the settings file that belong to a single placer.
pub const PLACER_TABLES: [&str; 5] = ["placer", "plan", "limits", "links", "state"];
/// Tables of the settings file that are the plan.
pub const PLAN_TABLES: [&str; 6] = ["site", "kind", "class", "tenant", "category", "constraint"];

/// A duration as a TOML string in milliseconds.
fn duration_literal(us: u64) -> String {
    format!("\"{}ms\"", us as f64 / 1_000.0)
}

/// A text as a TOML string.
fn string_literal(value: &str) -> String {
    toml::Value::from(value).to_string()
}

/// The [`PLACER_TABLES`] of a settings file as TOML, without defaults; empty if the file can't be parsed.
pub(super) fn placer_tables_text(file: &str) -> String {
    let mut tables: toml::Table = toml::from_str(file).unwrap_or_default();
    tables.retain(|name, _| PLACER_TABLES.contains(&name));
    toml::to_string(&tables).unwrap_or_default()
}

impl Settings {
    /// The canonical text of the plan, whose digest identifies it.
    pub fn plan_text(&self) -> String {
        let (mut out, site) = (String::from("[site]\n"), &self.site);
        let mut line = |key: &str, value: String| {
            let _ = writeln!(out, "{key} = {value}");
        };
        line("placers", site.placers.to_string());
        line("accepts_cores", format!("{:?}", site.accepts_cores));
        line("accepts_memory", format!("{:?}", site.accepts_memory));
        site.mean_cores
            .iter()
            .for_each(|mean| line("mean_cores", format!("{mean:?}")));
        site.mean_memory
            .iter()
            .for_each(|mean| line("mean_memory", format!("{mean:?}")));
        line(
            "yes_when",
            string_literal(if site.yes_when_running {
                "running"
            } else {
                "accepted"
            }),
        );
        let reports = match site.reports.style {
            ReportStyle::Never => "never",
            ReportStyle::Answers => "answers",
            ReportStyle::Probes => "probes",
        };
        line("reports", string_literal(reports));
        let field = |field: &ReportField| match field {
            ReportField::Cores => "\"cores\"",
            ReportField::Memory => "\"memory\"",
            ReportField::Other => "\"other\"",
        };
        let fields: Vec<&str> = site.reports.fields.iter().map(field).collect();
        line("report_fields", format!("[{}]", fields.join(", ")));
        line(
            "report_counts",
            string_literal(if site.reports.counts_requests {
                "asked"
            } else {
                "used"
            }),
        );
        line("max_attempts", site.max_attempts.to_string());
        line("may_probe", site.may_probe.to_string());
        line("drain_grace", duration_literal(site.drain_grace_us));
        site.warm_after_us
            .iter()
            .for_each(|us| line("warm_after", duration_literal(*us)));
        site.cold_window_us
            .iter()
            .for_each(|us| line("cold_window", duration_literal(*us)));
        site.cold_offers
            .iter()
            .for_each(|offers| line("cold_offers", format!("{offers:?}")));
        site.price_fleet
            .iter()
            .for_each(|price| line("price_fleet", format!("{price:?}")));
        site.price_cross_hall
            .iter()
            .for_each(|price| line("price_cross_hall", format!("{price:?}")));
        for kind in &self.kinds {
            let _ = writeln!(out, "\n[[kind]]\nname = {}", string_literal(&kind.name));
            let _ = writeln!(out, "cores = {:?}\nmemory = {:?}", kind.cores, kind.memory);
        }
        self.classes
            .iter()
            .for_each(|class| write_class(class, &self.kinds, &mut out));
        for tenant in &self.tenants {
            let _ = writeln!(out, "\n[[tenant]]\nname = {}", string_literal(tenant));
        }
        for category in &self.categories {
            let (name, native) = (
                string_literal(&category.name),
                string_literal(&category.text),
            );
            let _ = writeln!(out, "\n[[category]]\nname = {name}\nnative = {native}");
        }
        for (name, constraint) in &self.constraints {
            let _ = writeln!(
                out,
                "\n[[constraint]]\nname = {}\ntext = {}",
                string_literal(name),
                string_literal(constraint)
            );
        }
        out
    }

    /// The plan of this file as a numbered document; `None` if the file has no `[plan]` table.
    ///
    /// # Errors
    /// If [`ConfigDocument::new`] rejects the number or the text.
    pub fn plan(&self) -> Result<Option<ConfigDocument>, Problems> {
        let Some(plan) = &self.plan else {
            return Ok(None);
        };
        let document = ConfigDocument::new(plan.number, &self.plan_text());
        let wrong =
            |message: String| Problems(vec![Problem::without_line("plan", "plan.number", message)]);
        document.map(Some).map_err(|error| wrong(error.to_string()))
    }

    /// These settings with their plan replaced by another one, given as its text; the result is checked as a whole.
    /// `from` is the name of the text in error messages.
    ///
    /// # Errors
    /// The problems of the text, or the first table that does not belong to a plan.
    pub fn with_plan(&self, plan: &str, from: &str) -> Result<Self, Problems> {
        let tables: toml::Table = toml::from_str(plan).map_err(|error| {
            Problems(vec![Problem::without_line(
                from,
                "",
                error.message().to_owned(),
            )])
        })?;
        if let Some(name) = tables
            .keys()
            .find(|name| !PLAN_TABLES.contains(&name.as_str()))
        {
            let message = format!(
                "a plan has no table `{name}`; it has {}",
                PLAN_TABLES.join(", ")
            );
            return Err(Problems(vec![Problem::without_line(from, name, message)]));
        }
        // The plan is put first, so that the line numbers of errors are those of the plan.
        let new = Self::parse(&format!("{plan}\n{}", self.placer_tables), from)?;
        Ok(Self {
            placer_tables: self.placer_tables.clone(),
            state: self.state.clone(),
            ..new
        })
    }

    /// The [`PLACER_TABLES`] that differ in another version of the file. Such changes take effect only at a restart. The
    /// number of the plan is not compared.
    pub fn changed_placer_tables(&self, other: &Self) -> Vec<&'static str> {
        let placer_tables = |settings: &Self| {
            let mut tables: toml::Table =
                toml::from_str(&settings.placer_tables).unwrap_or_default();
            if let Some(plan) = tables.get_mut("plan").and_then(toml::Value::as_table_mut) {
                plan.remove("number");
            }
            tables
        };
        let (current, other) = (placer_tables(self), placer_tables(other));
        PLACER_TABLES
            .into_iter()
            .filter(|name| current.get(*name) != other.get(*name))
            .collect()
    }

    /// The bounds that the plan sets.
    pub fn bounds(&self) -> ConfigBounds {
        let class = |class: &Class| {
            let kind = class
                .kind
                .and_then(|kind| self.kinds.get(usize::from(kind)));
            let bounds = ClassBounds {
                repeat: match class.effect {
                    Effect::Safe => wire::Idempotency::Idempotent,
                    Effect::Keyed => wire::Idempotency::IdempotentByKey,
                    Effect::Unsafe => wire::Idempotency::NonIdempotent,
                },
                retry_group: deduplication_scope(class.group),
                deduplication_group: deduplication_scope(class.deduplication_group),
                deduplication_window_us: class.window_us,
                machine_kind: kind.map(|kind| kind.name.clone()),
                spread: class.spread.map(|spread| SpreadLimit {
                    domain: spread_domain(spread.over),
                    max_per_domain: spread.most,
                }),
                rescheduling: match class.comes_again {
                    ComesAgain::Always => ReschedulePolicy::Always,
                    ComesAgain::Ended => ReschedulePolicy::AfterKnownEnd,
                    ComesAgain::Never => ReschedulePolicy::Never,
                },
                accepts_new_tasks: !class.closed,
            };
            (class.name.clone(), bounds)
        };
        let site = &self.site;
        ConfigBounds {
            placers: site.placers,
            overcommit: Resources {
                cores: site.accepts_cores,
                memory: site.accepts_memory,
            },
            max_attempts: site.max_attempts,
            drain_grace_us: site.drain_grace_us,
            warm_up_us: site.warm_after_us,
            slow_start_window_us: site.cold_window_us,
            slow_start_offers: site.cold_offers,
            accept_means_running: site.yes_when_running,
            classes: self.classes.iter().map(class).collect(),
            machine_kinds: self
                .kinds
                .iter()
                .map(|kind| {
                    (
                        kind.name.clone(),
                        Resources {
                            cores: kind.cores,
                            memory: kind.memory,
                        },
                    )
                })
                .collect(),
        }
    }

    /// These settings with the values of the bounds. Classes and kinds that the bounds do not name stay unchanged.
    pub fn with_bounds(&self, bounds: &ConfigBounds) -> Self {
        let mut new = self.clone();
        for kind in &mut new.kinds {
            if let Some(size) = bounds.machine_kinds.get(&kind.name) {
                (kind.cores, kind.memory) = (size.cores, size.memory);
            }
        }
        let kinds: Vec<String> = new.kinds.iter().map(|kind| kind.name.clone()).collect();
        for class in &mut new.classes {
            let Some(bound) = bounds.classes.get(&class.name) else {
                continue;
            };
            class.effect = match bound.repeat {
                wire::Idempotency::Idempotent => Effect::Safe,
                wire::Idempotency::IdempotentByKey => Effect::Keyed,
                wire::Idempotency::NonIdempotent => Effect::Unsafe,
            };
            (class.group, class.deduplication_group) = (
                group_of_scope(bound.retry_group),
                group_of_scope(bound.deduplication_group),
            );
            class.window_us = bound.deduplication_window_us;
            let kind = bound
                .machine_kind
                .as_ref()
                .and_then(|name| kinds.iter().position(|kind| kind == name));
            class.kind = kind.map(|kind| kind as u16);
            class.spread = bound.spread.map(|limit| Spread {
                over: place_of_domain(limit.domain),
                most: limit.max_per_domain,
            });
            class.comes_again = match bound.rescheduling {
                ReschedulePolicy::Always => ComesAgain::Always,
                ReschedulePolicy::AfterKnownEnd => ComesAgain::Ended,
                ReschedulePolicy::Never => ComesAgain::Never,
            };
            class.closed = !bound.accepts_new_tasks;
        }
        let site = &mut new.site;
        site.placers = bounds.placers;
        (site.accepts_cores, site.accepts_memory) =
            (bounds.overcommit.cores, bounds.overcommit.memory);
        (site.max_attempts, site.drain_grace_us) = (bounds.max_attempts, bounds.drain_grace_us);
        (site.warm_after_us, site.cold_window_us) =
            (bounds.warm_up_us, bounds.slow_start_window_us);
        site.cold_offers = bounds.slow_start_offers;
        new
    }

    /// These settings, with classes, kinds and tenants numbered as in the settings that are in use. Classes that were
    /// removed stay in place, closed, because running tasks refer to them by number; removed kinds and tenants stay,
    /// too. New ones are appended.
    pub fn with_numbers_of(&self, used: &Self) -> Self {
        let mut new = self.clone();
        let mut kinds = used.kinds.clone();
        for kind in &self.kinds {
            match kinds.iter_mut().find(|old| old.name == kind.name) {
                Some(old) => old.clone_from(kind),
                None => kinds.push(kind.clone()),
            }
        }
        let number = |kind: u16| {
            let name = &self.kinds[usize::from(kind)].name;
            kinds
                .iter()
                .position(|kind| kind.name == *name)
                .unwrap_or(0) as u16
        };
        let mut classes: Vec<Class> = used
            .classes
            .iter()
            .map(|class| Class {
                closed: true,
                ..class.clone()
            })
            .collect();
        for class in &self.classes {
            let class = Class {
                kind: class.kind.map(number),
                ..class.clone()
            };
            match classes.iter_mut().find(|old| old.name == class.name) {
                Some(old) => *old = class,
                None => classes.push(class),
            }
        }
        let mut tenants = used.tenants.clone();
        tenants.extend(
            self.tenants
                .iter()
                .filter(|tenant| !used.tenants.contains(tenant))
                .cloned(),
        );
        (new.kinds, new.classes, new.tenants) = (kinds, classes, tenants);
        new
    }
}

/// Appends the `[[class]]` table of a class to the canonical text.
fn write_class(class: &Class, kinds: &[super::Kind], out: &mut String) {
    let mut line = |key: &str, value: String| {
        let _ = writeln!(out, "{key} = {value}");
    };
    line("\n[[class]]\nname", string_literal(&class.name));
    let repeat = match class.effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    };
    line("repeat", string_literal(repeat));
    if class.effect == Effect::Keyed {
        let group = match class.group {
            Group::All => "all",
            Group::Zone => "hall",
            Group::Cell => "rack",
        };
        line("group", string_literal(group));
        class
            .window_us
            .iter()
            .for_each(|us| line("window", duration_literal(*us)));
    }
    line("aim", duration_literal(class.aim_us));
    line("give_up", duration_literal(class.give_up_us));
    let kind = class.kind.and_then(|kind| kinds.get(usize::from(kind)));
    kind.into_iter()
        .for_each(|kind| line("kind", string_literal(&kind.name)));
    if let Some(spread) = class.spread {
        let over = match spread.over {
            Place::Machine => "machine",
            Place::Cell => "rack",
            Place::Zone => "hall",
        };
        line(
            "spread",
            format!(
                "{{ over = {}, most = {} }}",
                string_literal(over),
                spread.most
            ),
        );
    }
    class
        .calm
        .iter()
        .for_each(|calm| line("calm", format!("{calm:?}")));
    let again = match class.comes_again {
        ComesAgain::Always => "always",
        ComesAgain::Ended => "ended",
        ComesAgain::Never => "never",
    };
    line("comes_again", string_literal(again));
    line("again_after", duration_literal(class.again_after_us));
    line("cores", format!("{:?}", class.cores));
    line("memory", format!("{:?}", class.memory));
}

fn deduplication_scope(group: Group) -> wire::DeduplicationScope {
    match group {
        Group::All => wire::DeduplicationScope::All,
        Group::Zone => wire::DeduplicationScope::Zone,
        Group::Cell => wire::DeduplicationScope::Rack,
    }
}

fn group_of_scope(scope: wire::DeduplicationScope) -> Group {
    match scope {
        wire::DeduplicationScope::All => Group::All,
        wire::DeduplicationScope::Zone => Group::Zone,
        wire::DeduplicationScope::Rack => Group::Cell,
    }
}

fn spread_domain(place: Place) -> SpreadDomain {
    match place {
        Place::Machine => SpreadDomain::Machine,
        Place::Cell => SpreadDomain::Rack,
        Place::Zone => SpreadDomain::Zone,
    }
}

fn place_of_domain(domain: SpreadDomain) -> Place {
    match domain {
        SpreadDomain::Machine => Place::Machine,
        SpreadDomain::Rack => Place::Cell,
        SpreadDomain::Zone => Place::Zone,
    }
}

/// Maps each table of a settings file to `the plan` or `the placer's own`, for display by the command line program.
/// Empty if the file can't be parsed.
pub fn table_owners(file: &str) -> BTreeMap<String, &'static str> {
    let tables: toml::Table = toml::from_str(file).unwrap_or_default();
    let owner = |name: &str| {
        if PLAN_TABLES.contains(&name) {
            "the plan"
        } else {
            "the placer's own"
        }
    };
    tables
        .keys()
        .map(|name| (name.clone(), owner(name)))
        .collect()
}
