//! Conversion to the settings of the decision module.

use reedring::{self as module, Micros};

use super::types::{Class, Kind, Settings};

/// Maximum delay in microseconds between a placer's decision to send an offer and its arrival at the node, without the
/// wait for the disk. The slow start window is widened by the delay: offers that are decided one window apart must not
/// arrive within one window of the node.
const WIRE_JITTER_US: Micros = 100_000;

/// Maximum time in microseconds that an offer to a node that is warming up may wait for the disk after it was decided;
/// an offer that waited longer is not sent. If the placer has a state folder, it is part of [`Settings::jitter_us`].
pub const DISK_WAIT_US: Micros = 50_000;

impl Settings {
    /// The maximum time in microseconds from the decision on an offer to its arrival at a node that is warming up.
    pub fn jitter_us(&self) -> Micros {
        WIRE_JITTER_US + self.state.as_ref().map_or(0, |_| DISK_WAIT_US)
    }

    /// The settings of the decision module. `hall` is the number of the placer's hall; `None` if it has none.
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
            // Placers are not numbered, so which of them may send to a node that is warming up is left to chance.
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
            report_counts_requests: site.reports.counts_requests,
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
