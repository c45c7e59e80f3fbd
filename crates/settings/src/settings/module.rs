//! What the decision module is told of the settings.

use reedring::{self as module, Micros};

use super::types::{Class, Kind, Settings};

/// Microseconds by which offers may bunch up between a placer's decision and a node: what lies one window
/// apart when it is decided must not fall into one window at the node.
const WIRE_JITTER_US: Micros = 100_000;

/// Microseconds that an offer to a cold node may wait for the disk after it was decided; a later one does not
/// leave. It is part of what offers may bunch up, where a placer keeps state.
pub const DISK_WAIT_US: Micros = 50_000;

impl Settings {
    /// Microseconds by which an offer may reach its node after it was decided, and no offer to a cold node later.
    pub fn jitter_us(&self) -> Micros {
        WIRE_JITTER_US + self.state.as_ref().map_or(0, |_| DISK_WAIT_US)
    }

    /// What the decision module is told. `hall` is the number of the placer's own hall.
    pub fn module(&self, hall: Option<u16>) -> module::Settings {
        let class = |class: &Class| module::Class {
            effect: class.effect,
            group: class.group,
            window_us: class.window_us,
            aim_us: class.aim_us,
            kind: class.kind,
            spread: class.spread.map(|spread| (spread.over, spread.most)),
            calm: class.calm,
        };
        let kind = |kind: &Kind| module::Kind {
            cores: Some(kind.cores),
            memory: Some(kind.memory),
        };
        let site = &self.site;
        let jitter = self.jitter_us();
        module::Settings {
            // No number is told: turns at a cold node fall by chance.
            position: None,
            schedulers: site.placers,
            zone: hall,
            classes: self.classes.iter().map(class).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
            accepts_cores: Some(site.accepts_cores),
            accepts_memory: Some(site.accepts_memory),
            mean_cores: site.mean_cores,
            mean_memory: site.mean_memory,
            list_on_request: false,
            report_style: site.reports.style,
            report_fields: site.reports.fields.clone(),
            report_counts_requests: site.reports.counts_asks,
            yes_when_running: site.yes_when_running,
            rules: module::Rules {
                max_attempts: Some(site.max_attempts),
                may_stop: true,
                may_probe: site.may_probe,
                connect_timeout_us: Some(self.links.connect_us),
                warm_after_us: site.warm_after_us,
                slow_start_window_us: site.cold_window_us.map(|window| window + jitter),
                slow_start_offers: site.cold_offers,
                must_ask_us: None,
            },
            prices: module::Prices {
                fleet: site.price_fleet,
                cross_zone: site.price_cross_hall,
            },
        }
    }
}
