//! Checks of one class.

use reedring::{Effect, Group, Place};
use toml::Spanned;

use super::tables::{ClassTable, GroupWord, Over, Repeat};
use super::types::{Class, ComesAgain, Site, Spread};
use crate::problem::Checker;

/// How long after a loss a task of a class is placed again, where the class does not say: one second.
const DEFAULT_AGAIN_AFTER_US: u64 = 1_000_000;

impl ClassTable {
    /// Checks the table of class number `n` and makes the class of it; what is wrong goes to `check`.
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
            .and_then(|kind| check.find(kind, kinds, &key("kind"), "kind"));
        self.check_repeat(&key, check);
        let comes_again = self.check_comes_again(&key, check);
        self.check_spread(&key, check);
        let value = |value: &Option<Spanned<f64>>| value.as_ref().map(|value| *value.get_ref());
        let group = self.repeat_group();
        Class {
            name: self.name.get_ref().clone(),
            effect: self.effect(),
            group,
            drops: group,
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
            check.positive(value.as_ref(), &key(field));
        }
    }

    fn check_objective(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        let objective = self.aim.get_ref().0;
        if objective == 0 || objective > self.give_up.0 {
            let fix = "the aim is over 0 and at most give_up";
            check.wrong(self.aim.span(), key("aim"), fix);
        }
    }

    /// A keyed class needs a window; no other class has a window or a group.
    fn check_repeat(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        match (self.repeat, &self.window, &self.group) {
            (Repeat::Keyed, None, _) => {
                let fix = "a keyed class needs `window`: for how long its group drops repeats";
                check.wrong(self.name.span(), key("window"), fix);
            }
            (Repeat::Safe | Repeat::Unsafe, Some(window), _) => {
                let fix = "only a keyed class has a window; remove it";
                check.wrong(window.span(), key("window"), fix);
            }
            (Repeat::Safe | Repeat::Unsafe, _, Some(group)) => {
                let fix = "only a keyed class has a group; remove it";
                check.wrong(group.span(), key("group"), fix);
            }
            _ => {}
        }
    }

    /// When a lost task is placed again: as the table says, or as its kind of repeat allows.
    fn check_comes_again(
        &self,
        key: &impl Fn(&str) -> String,
        check: &mut Checker<'_>,
    ) -> ComesAgain {
        let default = match self.repeat {
            Repeat::Safe => ComesAgain::Always,
            Repeat::Keyed => ComesAgain::Ended,
            Repeat::Unsafe => ComesAgain::Never,
        };
        let comes_again = self
            .comes_again
            .as_ref()
            .map_or(default, |word| *word.get_ref());
        if comes_again == ComesAgain::Always && self.repeat != Repeat::Safe {
            let span = self.comes_again.as_ref().map_or(0..0, Spanned::span);
            let fix =
                "only a safe class may come again where it may still run; write `ended` or `never`";
            check.wrong(span, key("comes_again"), fix);
        }
        comes_again
    }

    fn check_spread(&self, key: &impl Fn(&str) -> String, check: &mut Checker<'_>) {
        let Some(spread) = &self.spread else {
            return;
        };
        if *spread.most.get_ref() == 0 {
            let fix = "0 lets nothing stand; it is at least 1";
            check.wrong(spread.most.span(), key("spread.most"), fix);
        }
    }

    /// The nodes among which repeats of a keyed task are dropped.
    fn repeat_group(&self) -> Group {
        match self.group.as_ref().map(Spanned::get_ref) {
            Some(GroupWord::All) => Group::All,
            Some(GroupWord::Hall) => Group::Zone,
            Some(GroupWord::Rack) | None => Group::Cell,
        }
    }

    fn effect(&self) -> Effect {
        match self.repeat {
            Repeat::Safe => Effect::Safe,
            Repeat::Keyed => Effect::Keyed,
            Repeat::Unsafe => Effect::Unsafe,
        }
    }

    fn spread(&self) -> Option<Spread> {
        self.spread.as_ref().map(|spread| Spread {
            over: match spread.over {
                Over::Machine => Place::Machine,
                Over::Rack => Place::Cell,
                Over::Hall => Place::Zone,
            },
            most: *spread.most.get_ref(),
        })
    }
}
