//! Guards the format of the settings file and of the node list against unintended changes: each key, each default, and the
//! message for each wrong key or value.
//!
//! `golden/` holds the files, their values as text, field by field, the canonical text of their configuration, whose
//! digest all placers compare, and the messages. The tests never write these files.

use std::fmt::{Display, Write as _};

use reedring::{Effect, Group, Place, ReportField, ReportStyle};
use reedring_constraint::Attr;
use reedring_settings::{Address, ComesAgain, NodeList, Settings, WhenLost};

const SETTINGS: &str = include_str!("golden/settings.toml");
const NODES: &str = include_str!("golden/nodes.toml");
const DEFAULTS: &str = include_str!("golden/defaults.toml");

/// Values as text, one on each line.
#[derive(Default)]
struct Values(String);

impl Values {
    fn put(&mut self, key: &str, value: impl Display) {
        writeln!(self.0, "{key} = {value}").unwrap();
    }

    fn put_option(&mut self, key: &str, value: Option<impl Display>) {
        match value {
            Some(value) => self.put(key, value),
            None => self.put(key, "-"),
        }
    }

    /// Writes a number as the shortest text that parses to the same number.
    fn put_number(&mut self, key: &str, value: f64) {
        self.put(key, format!("{value:?}"));
    }

    fn put_number_option(&mut self, key: &str, value: Option<f64>) {
        self.put_option(key, value.map(|value| format!("{value:?}")));
    }
}

fn group_name(group: Group) -> &'static str {
    match group {
        Group::All => "all",
        Group::Zone => "hall",
        Group::Cell => "rack",
    }
}

fn describe_settings(settings: &Settings) -> String {
    let mut out = Values::default();
    out.put("placer.name", &settings.name);
    match &settings.listen {
        Address::Tcp(address) => out.put("placer.listen", format!("tcp {address}")),
        Address::Unix(path) => out.put("placer.listen", format!("unix {}", path.display())),
    }
    out.put("placer.nodes", settings.nodes.display());
    out.put_option("placer.hall", settings.hall.as_ref());
    out.put_option("placer.seed", settings.seed);
    out.put_option(
        "placer.trace",
        settings.trace.as_ref().map(|path| path.display()),
    );
    put_site(settings, &mut out);
    put_placer_tables(settings, &mut out);
    put_classes(settings, &mut out);
    for (n, kind) in settings.kinds.iter().enumerate() {
        out.put(&format!("kind[{n}].name"), &kind.name);
        out.put_number(&format!("kind[{n}].cores"), kind.cores);
        out.put_number(&format!("kind[{n}].memory"), kind.memory);
    }
    settings
        .tenants
        .iter()
        .for_each(|tenant| out.put("tenant", tenant));
    settings
        .constraints
        .iter()
        .for_each(|(name, text)| out.put(&format!("constraint {name}"), text));
    put_categories(settings, &mut out);
    let plan = settings.plan().unwrap().unwrap().version();
    let digest: String = plan
        .digest
        .0
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    out.put(
        "digest of the canonical text",
        format!("{} {digest}", plan.number),
    );
    out.0
}

fn put_site(settings: &Settings, out: &mut Values) {
    let site = &settings.site;
    out.put("site.placers", site.placers);
    out.put_number("site.accepts_cores", site.accepts_cores);
    out.put_number("site.accepts_memory", site.accepts_memory);
    out.put_number_option("site.mean_cores", site.mean_cores);
    out.put_number_option("site.mean_memory", site.mean_memory);
    out.put("site.yes_when is running", site.yes_when_running);
    let style = match site.reports.style {
        ReportStyle::Never => "never",
        ReportStyle::Answers => "answers",
        ReportStyle::Probes => "probes",
    };
    out.put("site.reports", style);
    let field = |field: &ReportField| match field {
        ReportField::Cores => "cores",
        ReportField::Memory => "memory",
        ReportField::Other => "other",
    };
    out.put(
        "site.report_fields",
        site.reports
            .fields
            .iter()
            .map(field)
            .collect::<Vec<_>>()
            .join(" "),
    );
    out.put("site.report_counts is asked", site.reports.counts_requests);
    out.put("site.max_attempts", site.max_attempts);
    out.put("site.may_probe", site.may_probe);
    out.put("site.drain_grace", site.drain_grace_us);
    out.put_option("site.warm_after", site.warm_after_us);
    out.put_option("site.cold_window", site.cold_window_us);
    out.put_number_option("site.cold_offers", site.cold_offers);
    out.put_number_option("site.price_fleet", site.price_fleet);
    out.put_number_option("site.price_cross_hall", site.price_cross_hall);
}

/// Writes the tables that belong to the single placer: limits, links, state and plan.
fn put_placer_tables(settings: &Settings, out: &mut Values) {
    let (limits, links) = (&settings.limits, &settings.links);
    out.put("limits.connections", limits.connections);
    out.put("limits.sessions", limits.sessions);
    out.put("limits.jobs", limits.jobs);
    out.put("limits.bulk", limits.bulk);
    out.put("limits.keep_ended", limits.keep_ended_us);
    out.put("limits.settle", limits.settle_us);
    out.put("links.connect", links.connect_us);
    out.put("links.reattach", links.reattach_us);
    out.put("links.stop_wait", links.stop_wait_us);
    out.put("links.lost_after", links.lost_after_us);
    out.put("links.probe", links.probe_us);
    if let Some(state) = &settings.state {
        out.put("state.folder", state.folder.display());
        let when_lost = match state.when_lost {
            WhenLost::Warn => "warn",
            WhenLost::Refuse => "refuse",
        };
        out.put("state.when_lost", when_lost);
        out.put("state.learn_every", state.learn_us);
        out.put("state.retry", state.retry_us);
    }
    if let Some(plan) = &settings.plan {
        out.put("plan.number", plan.number);
        out.put("plan.pinned", plan.pinned);
        out.put("plan.lease", plan.lease_us);
    }
    out.put("offers bunch up by", settings.jitter_us());
}

fn put_classes(settings: &Settings, out: &mut Values) {
    for (n, class) in settings.classes.iter().enumerate() {
        let key = |field: &str| format!("class[{n}].{field}");
        out.put(&key("name"), &class.name);
        let repeat = match class.effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        out.put(&key("repeat"), repeat);
        out.put(&key("group"), group_name(class.group));
        out.put(
            &key("group that drops repeats"),
            group_name(class.deduplication_group),
        );
        out.put_option(&key("window"), class.window_us);
        out.put(&key("aim"), class.aim_us);
        out.put(&key("give_up"), class.give_up_us);
        out.put_option(&key("kind"), class.kind);
        let over = |place: Place| match place {
            Place::Machine => "machine",
            Place::Cell => "rack",
            Place::Zone => "hall",
        };
        let spread = class
            .spread
            .map(|spread| format!("{} {}", over(spread.over), spread.most));
        out.put_option(&key("spread"), spread);
        out.put_number_option(&key("calm"), class.calm);
        let comes_again = match class.comes_again {
            ComesAgain::Always => "always",
            ComesAgain::Ended => "ended",
            ComesAgain::Never => "never",
        };
        out.put(&key("comes_again"), comes_again);
        out.put(&key("again_after"), class.again_after_us);
        out.put_number(&key("cores"), class.cores);
        out.put_number(&key("memory"), class.memory);
        out.put(&key("takes nothing new"), class.closed);
    }
}

fn put_categories(settings: &Settings, out: &mut Values) {
    for (n, category) in settings.categories.iter().enumerate() {
        let key = |field: &str| format!("category[{n}].{field}");
        out.put(&key("name"), &category.name);
        out.put(&key("native"), &category.text);
        let native = &category.native;
        out.put_option(&key("native.class"), native.class.as_ref());
        out.put_option(&key("native.tenant"), native.tenant.as_ref());
        out.put_option(&key("native.service"), native.service.as_ref());
        out.put_option(&key("native.key"), native.key.as_ref());
        out.put_option(&key("native.life"), native.life_us);
        out.put_number_option(&key("native.cores"), native.cores);
        out.put_number_option(&key("native.memory"), native.memory);
        let label = |(name, value): &(String, String)| format!("{name}:{value}");
        let labels = native
            .labels
            .as_ref()
            .map(|all| all.iter().map(label).collect::<Vec<_>>().join(" "));
        out.put_option(&key("native.labels"), labels);
        out.put_option(&key("native.constraint"), native.constraint.as_ref());
    }
}

fn describe_nodes(list: &NodeList) -> String {
    let mut out = Values::default();
    out.put("revision", list.revision);
    for (n, node) in list.nodes.iter().enumerate() {
        let key = |field: &str| format!("node[{n}].{field}");
        out.put(&key("name"), &node.name);
        out.put(&key("address"), node.address);
        out.put(&key("kind"), node.kind);
        out.put(&key("rack"), &node.rack);
        out.put(&key("hall"), &node.hall);
        for (name, attr) in &node.attrs {
            let attr = match attr {
                Attr::Text(text) => format!("text {text}"),
                Attr::Number(number) => format!("number {number:?}"),
                Attr::Version(parts) => format!("version {parts:?}"),
                Attr::Set(texts) => format!("set {texts:?}"),
            };
            out.put(&key(&format!("attrs.{name}")), attr);
        }
        out.put(&key("health"), node.health.word());
        out.put(&key("control"), node.control);
        out.put_number_option(&key("free_cores"), node.free_cores);
        out.put_number_option(&key("free_memory"), node.free_memory);
    }
    out.0
}

/// The messages of `parse` for each variant of a text in which one key is misspelled or one value is an empty table; `-`
/// if it reports nothing.
fn problems(text: &str, parse: impl Fn(&str) -> Option<String>) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let mut out = Values::default();
    for (at, line) in lines.iter().enumerate() {
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        for (case, wrong) in [
            ("key", format!("{key}_x = {value}")),
            ("value", format!("{key} = {{}}")),
        ] {
            let mut lines = lines.clone();
            lines[at] = &wrong;
            let message =
                parse(&(lines.join("\n") + "\n")).map(|message| message.replace('\n', " | "));
            out.put_option(&format!("line {} {key}, wrong {case}", at + 1), message);
        }
    }
    out.0
}

#[test]
fn each_key_of_the_settings_is_parsed_to_its_golden_value() {
    let settings = Settings::parse(SETTINGS, "settings.toml").unwrap();
    assert_eq!(
        describe_settings(&settings),
        include_str!("golden/settings.txt")
    );
    assert_eq!(
        settings.plan_text(),
        include_str!("golden/settings-canonical.toml")
    );
}

#[test]
fn each_default_of_the_settings_has_its_golden_value() {
    let settings = Settings::parse(DEFAULTS, "defaults.toml").unwrap();
    assert_eq!(
        describe_settings(&settings),
        include_str!("golden/defaults.txt")
    );
    assert_eq!(
        settings.plan_text(),
        include_str!("golden/defaults-canonical.toml")
    );
}

#[test]
fn each_key_of_the_node_list_is_parsed_to_its_golden_value() {
    let settings = Settings::parse(SETTINGS, "settings.toml").unwrap();
    let list = NodeList::parse(NODES, "nodes.toml", &settings).unwrap();
    assert_eq!(describe_nodes(&list), include_str!("golden/nodes.txt"));
}

#[test]
fn a_wrong_key_or_value_of_the_settings_is_reported_with_its_golden_message() {
    let messages = problems(SETTINGS, |text| {
        Some(Settings::parse(text, "settings.toml").err()?.to_string())
    });
    assert_eq!(messages, include_str!("golden/settings-problems.txt"));
}

#[test]
fn a_wrong_key_or_value_of_the_node_list_is_reported_with_its_golden_message() {
    let settings = Settings::parse(SETTINGS, "settings.toml").unwrap();
    let messages = problems(NODES, |text| {
        Some(
            NodeList::parse(text, "nodes.toml", &settings)
                .err()?
                .to_string(),
        )
    });
    assert_eq!(messages, include_str!("golden/nodes-problems.txt"));
}
