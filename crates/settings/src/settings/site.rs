//! Checks of the site and of the state folder.

use reedring::{ReportField, ReportStyle};
use toml::Spanned;

use super::tables::{
    CountsWord, FieldWord, PlanTable, ReportsWord, SiteTable, StateTable, YesWhen,
};
use super::types::{PlanOwn, Reports, Site, State};
use crate::problem::{Checker, Time};

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
            .for_each(|(key, value)| check.positive(value.as_ref(), key));
        for (key, value) in [
            ("site.placers", &self.placers),
            ("site.max_attempts", &self.max_attempts),
        ] {
            if *value.get_ref() == 0 {
                check.wrong(value.span(), key, "0 is too few; it is at least 1");
            }
        }
        // A cold machine's limit holds only where all three of its figures are told.
        let told = [
            self.warm_after.is_some(),
            self.cold_window.is_some(),
            self.cold_offers.is_some(),
        ];
        if told.contains(&true) && told.contains(&false) {
            let span = self.cold_offers.as_ref().map(Spanned::span);
            let span = span
                .or(self.cold_window.as_ref().map(Spanned::span))
                .unwrap_or(0..0);
            let fix = "warm_after, cold_window and cold_offers go together: give all three or none";
            check.wrong(span, "site.cold_offers", fix);
        }
        let fields = self.report_fields.get_ref();
        let has = |field: FieldWord| fields.contains(&field);
        let needs = self.reports != ReportsWord::Never;
        if needs && !(has(FieldWord::Cores) && has(FieldWord::Memory)) {
            let fix = "reports are told, so the fields must hold `cores` and `memory`";
            check.wrong(self.report_fields.span(), "site.report_fields", fix);
        }
        if self.reports == ReportsWord::Probes && !self.may_probe {
            let fix = "reports come only with probes, but may_probe is false; set it to true";
            check.wrong(self.report_fields.span(), "site.reports", fix);
        }
        let value = |value: &Option<Spanned<f64>>| value.as_ref().map(|value| *value.get_ref());
        Site {
            placers: *self.placers.get_ref(),
            accepts_cores: value(&self.accepts_cores).unwrap_or(1.0),
            accepts_memory: value(&self.accepts_memory).unwrap_or(1.0),
            mean_cores: value(&self.mean_cores),
            mean_memory: value(&self.mean_memory),
            yes_when_running: self.yes_when == YesWhen::Running,
            reports: Reports {
                style: match self.reports {
                    ReportsWord::Never => ReportStyle::Never,
                    ReportsWord::Answers => ReportStyle::Answers,
                    ReportsWord::Probes => ReportStyle::Probes,
                },
                fields: fields
                    .iter()
                    .map(|field| match field {
                        FieldWord::Cores => ReportField::Cores,
                        FieldWord::Memory => ReportField::Memory,
                        FieldWord::Other => ReportField::Other,
                    })
                    .collect(),
                counts_asks: self.report_counts == CountsWord::Asked,
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
    pub(super) fn check(self, check: &mut Checker<'_>) -> PlanOwn {
        if *self.number.get_ref() == 0 {
            check.wrong(
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
            let fix = "under 1s a busy node would shut the placer up; write `30s`";
            check.wrong(lease.span(), "plan.lease", fix);
        }
        let lease_us = self.lease.map_or(30_000_000, |lease| lease.get_ref().0);
        PlanOwn {
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
                check.wrong(
                    time.span(),
                    key,
                    "under 100ms the disk would do nothing else; write `10s`",
                );
            }
        }
        let or = |time: Option<Spanned<Time>>, usual| time.map_or(usual, |time| time.get_ref().0);
        let usual = State::in_folder(self.folder);
        let (learn_us, retry_us) = (
            or(self.learn_every, usual.learn_us),
            or(self.retry, usual.retry_us),
        );
        State {
            when_lost: self.when_lost,
            learn_us,
            retry_us,
            ..usual
        }
    }
}
