//! The end of the trace: one configuration a number, and the history of each configuration and placer.

use reedring_node_protocol::ConfigVersion;

use super::{ActedBy, History, Placer};
use crate::checker::{Checker, Rule};

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn describe_time(time_us: Option<u64>) -> String {
    time_us.map_or("never".to_owned(), |us| format!("{:.3} s", seconds(us)))
}

fn describe_history(version: &ConfigVersion, history: &History) -> String {
    format!(
        "plan {version}: offered {}, joint {}, in force {}",
        describe_time(history.proposed_us),
        describe_time(history.joint_us),
        describe_time(history.committed_us)
    )
}

fn describe_acted_by(acted: &ActedBy) -> String {
    let stamp = &acted.stamp;
    format!(
        "{}{} from {:.3} s (list {}, build {:08x})",
        if stamp.joint { "joint " } else { "" },
        stamp.version,
        seconds(acted.time_us),
        stamp.list_revision,
        stamp.build
    )
}

impl Checker {
    pub(in crate::checker) fn finish_versions(&mut self) {
        self.check_one_version_a_number();
        let histories = self.versions.history.iter();
        let mut lines: Vec<String> = histories
            .map(|(version, history)| describe_history(version, history))
            .collect();
        let placers = self.versions.placers.iter();
        let acting = placers.filter(|(_, placer)| !placer.acted_by.is_empty());
        lines.extend(acting.map(|(name, placer)| self.describe_placer(name, placer)));
        self.report.plans = lines;
    }

    fn check_one_version_a_number(&mut self) {
        let histories = self.versions.history.iter();
        let committed = histories.filter(|(_, history)| history.committed_us.is_some());
        let committed: Vec<ConfigVersion> = committed.map(|(version, _)| *version).collect();
        for pair in committed.windows(2) {
            if pair[0].number == pair[1].number {
                let text = format!("plans {} and {} were both in force", pair[0], pair[1]);
                self.breach(Rule::Versions, Vec::new(), text);
            }
        }
    }

    fn describe_placer(&self, name: &str, placer: &Placer) -> String {
        let acted_by: Vec<String> = placer.acted_by.iter().map(describe_acted_by).collect();
        format!(
            "placer {name}: {}; behind for {:.3} s, {} offers superseded",
            acted_by.join(", "),
            seconds(self.behind_us(placer)),
            placer.superseded
        )
    }

    /// For how long a placer acted by a configuration after a newer one was committed.
    fn behind_us(&self, placer: &Placer) -> u64 {
        let next = placer.acted_by.iter().skip(1).map(|next| next.time_us);
        let ends = next.chain([self.now_us]);
        let spans = placer.acted_by.iter().zip(ends);
        spans
            .map(|(acted, end)| {
                let replaced_us = self.first_newer_commit_us(acted.stamp.version);
                replaced_us.map_or(0, |at| end.saturating_sub(at.max(acted.time_us)))
            })
            .sum()
    }

    fn first_newer_commit_us(&self, version: ConfigVersion) -> Option<u64> {
        let histories = self.versions.history.iter();
        let newer = histories.filter(|(newer, _)| newer.number > version.number);
        newer.filter_map(|(_, history)| history.committed_us).min()
    }
}
