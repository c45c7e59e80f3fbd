//! The settings of a placer and of the site that it shares with other placers.

mod class;
mod module;
mod plan;
mod sections;
mod site;
mod tables;
mod types;

use std::net::SocketAddr;
use std::path::PathBuf;

use reedring_constraint::{Constraint, ConstraintError};
use toml::Spanned;

pub use self::module::DISK_WAIT_US;
pub use self::plan::{PLACER_TABLES, PLAN_TABLES, table_owners};
use self::sections::Names;
use self::tables::{File, KindTable};
pub use self::types::{
    Address, Category, Class, ComesAgain, Kind, Limits, Links, PlanSettings, Reports, Settings,
    Site, Spread, State, WhenLost,
};
use crate::problem::{Checker, Problems};

impl Settings {
    /// Parses the text of a constraint, in which `use NAME` refers to a constraint of these settings.
    ///
    /// # Errors
    /// The first mistake in the text.
    pub fn constraint(&self, text: &str) -> Result<Constraint, ConstraintError> {
        Constraint::parse_with(text, |name| self.constraints.get(name).map(String::as_str))
    }

    /// Parses and checks the text of a settings file. `file` is the file name in error messages.
    ///
    /// # Errors
    /// The error of the TOML parser, or else all problems that the checks find.
    pub fn parse(text: &str, file: &str) -> Result<Self, Problems> {
        let mut check = Checker::new(file, text);
        let mut read: File = check.deserialize()?;
        check.check_names(read.class.iter().map(|class| &class.name), "class");
        check.check_names(read.kind.iter().map(|kind| &kind.name), "kind");
        check.check_names(read.tenant.iter().map(|tenant| &tenant.name), "tenant");
        check.check_names(
            read.category.iter().map(|category| &category.name),
            "category",
        );
        let listen = listen_address(&read.placer.listen, &mut check);
        let site = std::mem::take(&mut read.site).check(&mut check);
        let classes = read.check_classes(&site, &mut check);
        read.check_kinds(&mut check);
        let tenants = read.tenant_names();
        let constraints = read.check_constraints(&mut check);
        let names = Names {
            classes: classes.iter().map(|class| class.name.as_str()).collect(),
            tenants: tenants.iter().map(String::as_str).collect(),
            constraints: &constraints,
        };
        let categories = read.check_categories(&names, &mut check);
        let kinds = read.kind.iter().map(KindTable::kind).collect();
        let state = read.state.map(|state| state.check(&mut check));
        let plan = read.plan.map(|plan| plan.check(&mut check));
        let settings = Self {
            state,
            plan,
            placer_tables: plan::placer_tables_text(text),
            name: read.placer.name.get_ref().clone(),
            listen,
            nodes: read.placer.nodes,
            hall: read.placer.hall,
            seed: read.placer.seed,
            trace: read.placer.trace,
            site,
            limits: read.limits.limits(),
            links: read.links.links(),
            kinds,
            classes,
            tenants,
            categories,
            constraints,
        };
        check.finish(settings)
    }
}

/// Parses `placer.listen`. Reports an invalid value and returns a placeholder, so that the other checks still run.
fn listen_address(listen: &Spanned<String>, check: &mut Checker<'_>) -> Address {
    let text = listen.get_ref();
    if let Some(path) = text.strip_prefix("unix:") {
        return Address::Unix(PathBuf::from(path));
    }
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    match text.strip_prefix("tcp:").unwrap_or(text).parse() {
        Ok(address) => Address::Tcp(address),
        Err(_) => {
            let fix = "write `127.0.0.1:4710`, `[::1]:4710` or `unix:/path/to/socket`";
            check.report(
                listen.span(),
                "placer.listen",
                format!("`{text}` is no address; {fix}"),
            );
            Address::Tcp(placeholder)
        }
    }
}
