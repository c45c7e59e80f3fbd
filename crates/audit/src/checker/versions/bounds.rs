//! What the texts of configurations say of nodes that are warming up.

use reedring_node_protocol::{ConfigVersion, Delta, Edit, SectionKey, VersionStamp};
use serde::Deserialize;

use super::Versions;
use crate::checker::settings::{SlowStartWindow, duration};

/// The figures of one configuration, or the stricter of two.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStartBounds {
    placers: u32,
    offers: Option<f64>,
    window_us: Option<u64>,
    warm_after_us: Option<u64>,
}

impl SlowStartBounds {
    /// The budget of one node, if the configuration has one.
    pub(super) fn window(&self) -> Option<SlowStartWindow> {
        Some(SlowStartWindow {
            warm_after_us: self.warm_after_us?,
            length_us: self.window_us?,
            offers: self.offers?,
        })
    }

    /// The part of a budget that each placer has.
    pub(super) fn part_of_one_placer(&self, offers: f64) -> f64 {
        (offers / f64::from(self.placers.max(1))).floor().max(1.0)
    }

    fn stricter(self, other: Self) -> Self {
        Self {
            placers: self.placers.max(other.placers),
            offers: self.offers.into_iter().chain(other.offers).reduce(f64::min),
            window_us: self.window_us.max(other.window_us),
            warm_after_us: self.warm_after_us.max(other.warm_after_us),
        }
    }
}

#[derive(Deserialize)]
struct ConfigText {
    site: SiteTable,
}

#[derive(Deserialize)]
struct SiteTable {
    placers: u32,
    #[serde(rename = "cold_offers")]
    slow_start_offers: Option<f64>,
    #[serde(rename = "cold_window")]
    slow_start_window: Option<String>,
    warm_after: Option<String>,
}

impl Versions {
    /// Takes in the text of a configuration.
    pub(super) fn read_text(&mut self, version: ConfigVersion, text: &str) {
        if self.bounds.contains_key(&version) {
            return;
        }
        if let Ok(ConfigText { site }) = toml::from_str(text) {
            let bounds = SlowStartBounds {
                placers: site.placers,
                offers: site.slow_start_offers,
                window_us: duration(site.slow_start_window.as_ref()),
                warm_after_us: duration(site.warm_after.as_ref()),
            };
            self.bounds.insert(version, bounds);
        }
    }

    /// Takes in a configuration whose text was sent as a delta: only `[site]` says anything of nodes that warm up.
    pub(super) fn read_delta(&mut self, delta: &Delta) {
        let site = delta.edits.iter().find_map(|edit| match edit {
            Edit::Put {
                key: SectionKey::Site,
                text,
                ..
            } => Some(text),
            _ => None,
        });
        match (site, self.bounds.get(&delta.base).copied()) {
            (Some(site), _) => self.read_text(delta.target, site),
            (None, Some(base)) => drop(self.bounds.entry(delta.target).or_insert(base)),
            (None, None) => {}
        }
    }

    /// The bounds of a stamp: in the joint phase the stricter of its configuration and the one before.
    pub(super) fn bounds_of(&self, stamp: &VersionStamp) -> Option<SlowStartBounds> {
        let new = *self.bounds.get(&stamp.version)?;
        let mut versions = self.bounds.iter();
        let before = versions
            .find(|(version, _)| version.number + 1 == stamp.version.number)
            .filter(|_| stamp.joint);
        Some(before.map_or(new, |(_, before)| new.stricter(*before)))
    }
}
