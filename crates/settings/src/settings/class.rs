//! Checks of one `[[class]]` table.

use reedring::{Effect, Group, Place};
use toml::Spanned;

use super::tables::{ClassTable, GroupValue, RepeatValue, SpreadOverValue};
use super::types::{Class, ComesAgain, Site, Spread};
use crate::problem::Checker;

/// The default of `again_after`, the delay in microseconds before a lost task is placed again.
const DEFAULT_AGAIN_AFTER_US: u64 = 1_000_000;

impl ClassTable {
    /// Checks the `[[class]]` table with index `n` and converts it to a class. Problems are reported to `check`.
    pub(super) fn check(
        &self,
        n: usize,
        kinds: &[&str],
        site: &Site,
        check: &mut Checker<'_>,
    ) -> Class {
        let key = |field: &str| format!("class[{n}].{field}");
        self.check_figures(&key, check);
        self.check_objective(&key, check);
        let kind = self
            .kind
            .as_ref()
            .and_then(|kind| check.find_name(kind, kinds, &key("kind"), "kind"));
        self.check_repeat(&key, check);
        let comes_again = self.check_comes_again(&key, check);
        self.check_spread(&key, check);
        let value = |value: &Option<Spanned<f64>>| value.as_ref().map(|value| *value.get_ref());
        let group = self.repeat_group();
        Class {
            name: self.name.get_ref().clone(),
            effect: self.effect(),
            group,
            deduplication_group: group,
            window_us: self.window.as_ref().map(|window| window.get_ref().0),
            aim_us: self.aim.get_ref().0,
            give_up_us: self.give_up.0,
            kind: kind.map(|kind| kind as u16),
            spread: self.spread(),
            calm: value(&self.calm),
            comes_again,
            again_after_us: self
                .again_after
                .map_or(DEFAULT_AGAIN_AFTER_US, |time| time.0),
            cores: value(&self.cores).or(site.mean_cores).unwrap_or(1.0),
            memory: value(&self.memory).or(site.mean_memory).unwrap_or(1.0),
            closed: false,
        }
    }

    fn check_figures(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        for (field, value) in [
            ("calm", &self.calm),
            ("cores", &self.cores),
            ("memory", &self.memory),
        ] {
            check.check_positive(value.as_ref(), &key(field));
        }
    }

    fn check_objective(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        let objective = self.aim.get_ref().0;
        if objective == 0 || objective > self.give_up.0 {
            let fix = "the aim must be over 0 and at most give_up";
            check.report(self.aim.span(), key("aim"), fix);
        }
    }

    /// A keyed class needs a window; no other class has a window or a group.
    fn check_repeat(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        match (self.repeat, &self.window, &self.group) {
            (RepeatValue::Keyed, None, _) => {
                let fix = "a keyed class needs `window`: for how long its group drops repeats";
                check.report(self.name.span(), key("window"), fix);
            }
            (RepeatValue::Safe | RepeatValue::Unsafe, Some(window), _) => {
                let fix = "only a keyed class has a window; remove it";
                check.report(window.span(), key("window"), fix);
            }
            (RepeatValue::Safe | RepeatValue::Unsafe, _, Some(group)) => {
                let fix = "only a keyed class has a group; remove it";
                check.report(group.span(), key("group"), fix);
            }
            _ => {}
        }
    }

    /// When a lost task is placed again: the value of the table, or else the most that `repeat` permits.
    fn check_comes_again(
        &self,
        key: &impl Fn(&str) -> String,
        check: &mut Checker<'_>,
    ) -> ComesAgain {
        let default = match self.repeat {
            RepeatValue::Safe => ComesAgain::Always,
            RepeatValue::Keyed => ComesAgain::Ended,
            RepeatValue::Unsafe => ComesAgain::Never,
        };
        let comes_again = self
            .comes_again
            .as_ref()
            .map_or(default, |word| *word.get_ref());
        if comes_again == ComesAgain::Always && self.repeat != RepeatValue::Safe {
            let span = self.comes_again.as_ref().map_or(0..0, Spanned::span);
            let fix = "only a safe class may be placed again while the lost task may still run; write `ended` or `never`";
            check.report(span, key("comes_again"), fix);
        }
        comes_again
    }

    fn check_spread(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        let Some(spread) = &self.spread else {
            return;
        };
        if *spread.most.get_ref() == 0 {
            let fix = "0 would permit no task at all; it is at least 1";
            check.report(spread.most.span(), key("spread.most"), fix);
        }
    }

    /// The group of nodes that drop repeats of a keyed task; the rack by default.
    fn repeat_group(&self) -> Group {
        match self.group.as_ref().map(Spanned::get_ref) {
            Some(GroupValue::All) => Group::All,
            Some(GroupValue::Hall) => Group::Zone,
            Some(GroupValue::Rack) | None => Group::Cell,
        }
    }

    fn effect(&self) -> Effect {
        match self.repeat {
            RepeatValue::Safe => Effect::Safe,
            RepeatValue::Keyed => Effect::Keyed,
            RepeatValue::Unsafe => Effect::Unsafe,
        }
    }

    fn spread(&self) -> Option<Spread> {
        self.spread.as_ref().map(|spread| Spread {
            over: match spread.over {
                SpreadOverValue::Machine => Place::Machine,
                SpreadOverValue::Rack => Place::Cell,
                SpreadOverValue::Hall => Place::Zone,
            },
            most: *spread.most.get_ref(),
        })
    }
}
