//! The settings of a placer and of its site.

mod class;
mod module;
mod plan;
mod sections;
mod site;
mod tables;
mod types;

use std::net::SocketAddr;
use std::path::PathBuf;

use reedring_constraint::{Constraint, Mistake};
use toml::Spanned;

pub use self::module::DISK_WAIT_US;
pub use self::plan::{OWN_TABLES, PLAN_TABLES, whose_tables};
use self::sections::Names;
use self::tables::{File, KindTable};
pub use self::types::{
    Address, Category, Class, ComesAgain, Kind, Limits, Links, PlanOwn, Reports, Settings, Site,
    Spread, State, WhenLost,
};
use crate::problem::{Checker, Problems};

impl Settings {
    /// Reads a constraint's text; `use NAME` in it is one of the settings'.
    ///
    /// # Errors
    /// The first mistake.
    pub fn constraint(&self, text: &str) -> Result<Constraint, Mistake> {
        Constraint::parse_with(text, |name| self.constraints.get(name).map(String::as_str))
    }

    /// Reads and checks a text; `file` is the name under which problems speak of it.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn parse(text: &str, file: &str) -> Result<Self, Problems> {
        let mut check = Checker::new(file, text);
        let mut read: File = check.read()?;
        check.names(read.class.iter().map(|class| &class.name), "class");
        check.names(read.kind.iter().map(|kind| &kind.name), "kind");
        check.names(read.tenant.iter().map(|tenant| &tenant.name), "tenant");
        check.names(
            read.category.iter().map(|category| &category.name),
            "category",
        );
        let listen = address(&read.placer.listen, &mut check);
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
            own: plan::own_text(text),
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

fn address(listen: &Spanned<String>, check: &mut Checker<'_>) -> Address {
    let text = listen.get_ref();
    if let Some(path) = text.strip_prefix("unix:") {
        return Address::Unix(PathBuf::from(path));
    }
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    match text.strip_prefix("tcp:").unwrap_or(text).parse() {
        Ok(address) => Address::Tcp(address),
        Err(_) => {
            let fix = "write `127.0.0.1:4710`, `[::1]:4710` or `unix:/path/to/socket`";
            check.wrong(
                listen.span(),
                "placer.listen",
                format!("`{text}` is no address; {fix}"),
            );
            Address::Tcp(loopback)
        }
    }
}
