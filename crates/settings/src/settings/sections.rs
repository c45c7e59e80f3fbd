//! Checks and conversions of the other tables of a settings file.

use std::collections::BTreeMap;

use reedring_constraint::Constraint;
use reedring_drmaa::native::Native;
use toml::Spanned;

use super::tables::{CategoryTable, File, KindTable, LimitsTable, LinksTable};
use super::types::{Category, Class, Kind, Limits, Links, Site};
use crate::problem::Checker;

/// The only tenant if the file has no `[[tenant]]` table.
const DEFAULT_TENANT: &str = "default";

/// Names that the native specification of a category may refer to.
pub(super) struct Names<'a> {
    /// Names of the classes, by class number.
    pub classes: Vec<&'a str>,
    /// Names of the tenants, by tenant number.
    pub tenants: Vec<&'a str>,
    /// Texts of the `[[constraint]]` tables, by name.
    pub constraints: &'a BTreeMap<String, String>,
}

impl File {
    pub(super) fn check_classes(&self, site: &Site, check: &mut Checker<'_>) -> Vec<Class> {
        let kinds: Vec<&str> = self
            .kind
            .iter()
            .map(|kind| kind.name.get_ref().as_str())
            .collect();
        let classes: Vec<Class> = self
            .class
            .iter()
            .enumerate()
            .map(|(n, class)| class.check(n, &kinds, site, check))
            .collect();
        if classes.is_empty() {
            let fix = "no class is defined; add a [[class]] with name, repeat, aim and give_up";
            check.report(0..0, "class", fix);
        }
        classes
    }

    pub(super) fn check_kinds(&self, check: &mut Checker<'_>) {
        for (n, kind) in self.kind.iter().enumerate() {
            check.check_positive(Some(&kind.cores), &format!("kind[{n}].cores"));
            check.check_positive(Some(&kind.memory), &format!("kind[{n}].memory"));
        }
    }

    /// The names of the tenants in the order of the file, or [`DEFAULT_TENANT`] if the file has none.
    pub(super) fn tenant_names(&self) -> Vec<String> {
        let mut tenants: Vec<String> = self
            .tenant
            .iter()
            .map(|tenant| tenant.name.get_ref().clone())
            .collect();
        if tenants.is_empty() {
            tenants.push(DEFAULT_TENANT.to_owned());
        }
        tenants
    }

    /// Checks the `[[constraint]]` tables and returns their texts by name.
    pub(super) fn check_constraints(&self, check: &mut Checker<'_>) -> BTreeMap<String, String> {
        check.check_names(
            self.constraint.iter().map(|constraint| &constraint.name),
            "constraint",
        );
        let mut constraints = BTreeMap::new();
        for (n, constraint) in self.constraint.iter().enumerate() {
            if let Err(mistake) = Constraint::parse(constraint.text.get_ref()) {
                let key = format!("constraint[{n}].text");
                check.report(constraint.text.span(), key, mistake.to_string());
            }
            constraints.insert(
                constraint.name.get_ref().clone(),
                constraint.text.get_ref().clone(),
            );
        }
        constraints
    }

    /// Checks the `[[category]]` tables and returns those whose native specification can be parsed.
    pub(super) fn check_categories(
        &self,
        names: &Names<'_>,
        check: &mut Checker<'_>,
    ) -> Vec<Category> {
        self.category
            .iter()
            .enumerate()
            .filter_map(|(n, category)| category.check(n, names, check))
            .collect()
    }
}

impl CategoryTable {
    fn check(&self, n: usize, names: &Names<'_>, check: &mut Checker<'_>) -> Option<Category> {
        let key = format!("category[{n}].native");
        let native = match Native::parse(self.native.get_ref()) {
            Ok(native) => native,
            Err(error) => {
                check.report(self.native.span(), key, error.message);
                return None;
            }
        };
        let named_constraint = |name: &str| names.constraints.get(name).map(String::as_str);
        if let Some(Err(mistake)) = native
            .constraint
            .as_deref()
            .map(|text| Constraint::parse_with(text, named_constraint))
        {
            check.report(self.native.span(), key.clone(), mistake.to_string());
        }
        let spanned = |name: &Option<String>| {
            name.clone()
                .map(|name| Spanned::new(self.native.span(), name))
        };
        if let Some(name) = spanned(&native.class) {
            check.find_name(&name, &names.classes, &key, "class");
        }
        if let Some(name) = spanned(&native.tenant) {
            check.find_name(&name, &names.tenants, &key, "tenant");
        }
        Some(Category {
            name: self.name.get_ref().clone(),
            native,
            text: self.native.get_ref().clone(),
        })
    }
}

impl KindTable {
    pub(super) fn kind(&self) -> Kind {
        Kind {
            name: self.name.get_ref().clone(),
            cores: *self.cores.get_ref(),
            memory: *self.memory.get_ref(),
        }
    }
}

impl LimitsTable {
    pub(super) fn limits(&self) -> Limits {
        Limits {
            connections: self.connections,
            sessions: self.sessions,
            jobs: self.jobs,
            bulk: self.bulk,
            keep_ended_us: self.keep_ended.0,
            settle_us: self.settle.0,
        }
    }
}

impl LinksTable {
    pub(super) fn links(&self) -> Links {
        Links {
            connect_us: self.connect.0,
            reattach_us: self.reattach.0,
            stop_wait_us: self.stop_wait.0,
            lost_after_us: self.lost_after.0,
            probe_us: self.probe.0,
        }
    }
}
