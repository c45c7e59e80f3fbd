//! The settings of a placer and of its site.

mod class;
mod module;
mod plan;
mod site;
mod tables;
mod types;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use reedring_constraint::{Constraint, Mistake};
use reedring_drmaa::native::Native;
use toml::Spanned;

pub use self::module::DISK_WAIT_US;
pub use self::plan::{OWN_TABLES, PLAN_TABLES, whose_tables};
use self::tables::{ClassTable, File, KindTable};
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
        let read: File = check.read()?;
        check.names(read.class.iter().map(|class| &class.name), "class");
        check.names(read.kind.iter().map(|kind| &kind.name), "kind");
        check.names(read.tenant.iter().map(|tenant| &tenant.name), "tenant");
        check.names(
            read.category.iter().map(|category| &category.name),
            "category",
        );
        let listen = address(&read.placer.listen, &mut check);
        let site = read.site.check(&mut check);
        let kinds: Vec<&str> = read
            .kind
            .iter()
            .map(|kind| kind.name.get_ref().as_str())
            .collect();
        let class = |(n, class): (usize, &ClassTable)| class.check(n, &kinds, &site, &mut check);
        let classes: Vec<Class> = read.class.iter().enumerate().map(class).collect();
        if classes.is_empty() {
            check.wrong(
                0..0,
                "class",
                "no class is named; add a [[class]] with name, repeat, aim and give_up",
            );
        }
        for (n, kind) in read.kind.iter().enumerate() {
            check.positive(Some(&kind.cores), &format!("kind[{n}].cores"));
            check.positive(Some(&kind.memory), &format!("kind[{n}].memory"));
        }
        let class_names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let mut tenants: Vec<String> = read
            .tenant
            .iter()
            .map(|t| t.name.get_ref().clone())
            .collect();
        if tenants.is_empty() {
            tenants.push("default".to_owned());
        }
        let tenant_names: Vec<&str> = tenants.iter().map(String::as_str).collect();
        check.names(
            read.constraint.iter().map(|constraint| &constraint.name),
            "constraint",
        );
        let mut constraints = BTreeMap::new();
        for (n, constraint) in read.constraint.iter().enumerate() {
            if let Err(mistake) = Constraint::parse(constraint.text.get_ref()) {
                check.wrong(
                    constraint.text.span(),
                    format!("constraint[{n}].text"),
                    mistake.to_string(),
                );
            }
            constraints.insert(
                constraint.name.get_ref().clone(),
                constraint.text.get_ref().clone(),
            );
        }
        let mut categories = Vec::new();
        for (n, category) in read.category.iter().enumerate() {
            let key = format!("category[{n}].native");
            let native = match Native::parse(category.native.get_ref()) {
                Ok(native) => native,
                Err(error) => {
                    check.wrong(category.native.span(), key, error.message);
                    continue;
                }
            };
            let used = |name: &str| constraints.get(name).map(String::as_str);
            if let Some(Err(mistake)) = native
                .constraint
                .as_deref()
                .map(|text| Constraint::parse_with(text, used))
            {
                check.wrong(category.native.span(), key.clone(), mistake.to_string());
            }
            let named = |name: &Option<String>| {
                name.clone()
                    .map(|n| Spanned::new(category.native.span(), n))
            };
            if let Some(name) = named(&native.class) {
                check.find(&name, &class_names, &key, "class");
            }
            if let Some(name) = named(&native.tenant) {
                check.find(&name, &tenant_names, &key, "tenant");
            }
            let (name, text) = (
                category.name.get_ref().clone(),
                category.native.get_ref().clone(),
            );
            categories.push(Category { name, native, text });
        }
        let kind = |kind: &KindTable| Kind {
            name: kind.name.get_ref().clone(),
            cores: *kind.cores.get_ref(),
            memory: *kind.memory.get_ref(),
        };
        let (limits, links) = (read.limits, read.links);
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
            limits: Limits {
                connections: limits.connections,
                sessions: limits.sessions,
                jobs: limits.jobs,
                bulk: limits.bulk,
                keep_ended_us: limits.keep_ended.0,
                settle_us: limits.settle.0,
            },
            links: Links {
                connect_us: links.connect.0,
                reattach_us: links.reattach.0,
                stop_wait_us: links.stop_wait.0,
                lost_after_us: links.lost_after.0,
                probe_us: links.probe.0,
            },
            kinds: read.kind.iter().map(kind).collect(),
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
