//! Checks of the `[site]`, `[plan]` and `[state]` tables.

use reedring::{ReportField, ReportStyle};
use toml::Spanned;

use super::tables::{
    PlanTable, ReportCountsValue, ReportFieldValue, ReportsValue, SiteTable, StateTable,
    YesWhenValue,
};
use super::types::{PlanSettings, Reports, Site, State};
use crate::problem::{Checker, DurationUs};

impl SiteTable {
    pub(super) fn check(self, check: &mut Checker<'_>) -> Site {
        let amounts = [
            ("site.accepts_cores", &self.accepts_cores),
            ("site.accepts_memory", &self.accepts_memory),
            ("site.mean_cores", &self.mean_cores),
            ("site.mean_memory", &self.mean_memory),
            ("site.cold_offers", &self.cold_offers),
        ];
        amounts
            .into_iter()
            .for_each(|(key, value)| check.check_positive(value.as_ref(), key));
        for (key, value) in [
            ("site.placers", &self.placers),
            ("site.max_attempts", &self.max_attempts),
        ] {
            if *value.get_ref() == 0 {
                check.report(value.span(), key, "0 is too few; it is at least 1");
            }
        }
        // The limit on offers to a node that is warming up needs all three values.
        let is_set = [
            self.warm_after.is_some(),
            self.cold_window.is_some(),
            self.cold_offers.is_some(),
        ];
        if is_set.contains(&true) && is_set.contains(&false) {
            let span = self.cold_offers.as_ref().map(Spanned::span);
            let span = span
                .or(self.cold_window.as_ref().map(Spanned::span))
                .unwrap_or(0..0);
            let fix = "warm_after, cold_window and cold_offers go together: give all three or none";
            check.report(span, "site.cold_offers", fix);
        }
        let fields = self.report_fields.get_ref();
        let has = |field: ReportFieldValue| fields.contains(&field);
        let sends_reports = self.reports != ReportsValue::Never;
        if sends_reports && !(has(ReportFieldValue::Cores) && has(ReportFieldValue::Memory)) {
            let fix = "machines send reports, so the fields must hold `cores` and `memory`";
            check.report(self.report_fields.span(), "site.report_fields", fix);
        }
        if self.reports == ReportsValue::Probes && !self.may_probe {
            let fix = "reports come only with probes, but may_probe is false; set it to true";
            check.report(self.report_fields.span(), "site.reports", fix);
        }
        let value = |value: &Option<Spanned<f64>>| value.as_ref().map(|value| *value.get_ref());
        Site {
            placers: *self.placers.get_ref(),
            accepts_cores: value(&self.accepts_cores).unwrap_or(1.0),
            accepts_memory: value(&self.accepts_memory).unwrap_or(1.0),
            mean_cores: value(&self.mean_cores),
            mean_memory: value(&self.mean_memory),
            yes_when_running: self.yes_when == YesWhenValue::Running,
            reports: Reports {
                style: match self.reports {
                    ReportsValue::Never => ReportStyle::Never,
                    ReportsValue::Answers => ReportStyle::Answers,
                    ReportsValue::Probes => ReportStyle::Probes,
                },
                fields: fields
                    .iter()
                    .map(|field| match field {
                        ReportFieldValue::Cores => ReportField::Cores,
                        ReportFieldValue::Memory => ReportField::Memory,
                        ReportFieldValue::Other => ReportField::Other,
                    })
                    .collect(),
                counts_requests: self.report_counts == ReportCountsValue::Asked,
            },
            max_attempts: *self.max_attempts.get_ref(),
            may_probe: self.may_probe,
            drain_grace_us: self.drain_grace.0,
            warm_after_us: self.warm_after.map(|time| time.0),
            cold_window_us: self.cold_window.as_ref().map(|time| time.get_ref().0),
            cold_offers: value(&self.cold_offers),
            price_fleet: self.price_fleet,
            price_cross_hall: self.price_cross_hall,
        }
    }
}

impl PlanTable {
    pub(super) fn check(self, check: &mut Checker<'_>) -> PlanSettings {
        if *self.number.get_ref() == 0 {
            check.report(
                self.number.span(),
                "plan.number",
                "plans are numbered from 1",
            );
        }
        if let Some(lease) = self
            .lease
            .as_ref()
            .filter(|lease| lease.get_ref().0 < 1_000_000)
        {
            let fix = "under 1s a busy node would let the lease expire and suspend the placer; write `30s`";
            check.report(lease.span(), "plan.lease", fix);
        }
        let lease_us = self.lease.map_or(30_000_000, |lease| lease.get_ref().0);
        PlanSettings {
            number: *self.number.get_ref(),
            pinned: self.pinned,
            lease_us,
        }
    }
}

impl StateTable {
    pub(super) fn check(self, check: &mut Checker<'_>) -> State {
        for (key, time) in [
            ("state.learn_every", &self.learn_every),
            ("state.retry", &self.retry),
        ] {
            if let Some(time) = time.as_ref().filter(|time| time.get_ref().0 < 100_000) {
                check.report(
                    time.span(),
                    key,
                    "under 100ms the disk would do nothing else; write `10s`",
                );
            }
        }
        let time_or = |time: Option<Spanned<DurationUs>>, default| {
            time.map_or(default, |time| time.get_ref().0)
        };
        let defaults = State::in_folder(self.folder);
        let (learn_us, retry_us) = (
            time_or(self.learn_every, defaults.learn_us),
            time_or(self.retry, defaults.retry_us),
        );
        State {
            when_lost: self.when_lost,
            learn_us,
            retry_us,
            ..defaults
        }
    }
}
