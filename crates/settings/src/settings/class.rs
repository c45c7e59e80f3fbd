//! Checks of one class.

use reedring::{Effect, Group, Place};
use toml::Spanned;

use super::tables::{ClassTable, GroupWord, Over, Repeat};
use super::types::{Class, ComesAgain, Site, Spread};
use crate::problem::Checker;

impl ClassTable {
    pub(super) fn check(
        &self,
        n: usize,
        kinds: &[&str],
        site: &Site,
        check: &mut Checker<'_>,
    ) -> Class {
        let key = |field: &str| format!("class[{n}].{field}");
        for (field, value) in [
            ("calm", &self.calm),
            ("cores", &self.cores),
            ("memory", &self.memory),
        ] {
            check.positive(value.as_ref(), &key(field));
        }
        let aim = *self.aim.get_ref();
        if aim.0 == 0 || aim.0 > self.give_up.0 {
            check.wrong(
                self.aim.span(),
                key("aim"),
                "the aim is over 0 and at most give_up",
            );
        }
        let kind = self
            .kind
            .as_ref()
            .and_then(|kind| check.find(kind, kinds, &key("kind"), "kind"));
        match (self.repeat, &self.window, &self.group) {
            (Repeat::Keyed, None, _) => {
                let fix = "a keyed class needs `window`: for how long its group drops repeats";
                check.wrong(self.name.span(), key("window"), fix);
            }
            (Repeat::Safe | Repeat::Unsafe, Some(window), _) => {
                check.wrong(
                    window.span(),
                    key("window"),
                    "only a keyed class has a window; remove it",
                );
            }
            (Repeat::Safe | Repeat::Unsafe, _, Some(group)) => {
                check.wrong(
                    group.span(),
                    key("group"),
                    "only a keyed class has a group; remove it",
                );
            }
            _ => {}
        }
        let usual = match self.repeat {
            Repeat::Safe => ComesAgain::Always,
            Repeat::Keyed => ComesAgain::Ended,
            Repeat::Unsafe => ComesAgain::Never,
        };
        let comes_again = self
            .comes_again
            .as_ref()
            .map_or(usual, |word| *word.get_ref());
        if comes_again == ComesAgain::Always && self.repeat != Repeat::Safe {
            let span = self.comes_again.as_ref().map_or(0..0, Spanned::span);
            let fix =
                "only a safe class may come again where it may still run; write `ended` or `never`";
            check.wrong(span, key("comes_again"), fix);
        }
        if let Some(spread) = self
            .spread
            .as_ref()
            .filter(|spread| *spread.most.get_ref() == 0)
        {
            check.wrong(
                spread.most.span(),
                key("spread.most"),
                "0 lets nothing stand; it is at least 1",
            );
        }
        let value = |value: &Option<Spanned<f64>>| value.as_ref().map(|value| *value.get_ref());
        let group = match self.group.as_ref().map(Spanned::get_ref) {
            Some(GroupWord::All) => Group::All,
            Some(GroupWord::Hall) => Group::Zone,
            Some(GroupWord::Rack) | None => Group::Cell,
        };
        Class {
            name: self.name.get_ref().clone(),
            effect: match self.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Keyed => Effect::Keyed,
                Repeat::Unsafe => Effect::Unsafe,
            },
            group,
            drops: group,
            window_us: self.window.as_ref().map(|window| window.get_ref().0),
            aim_us: aim.0,
            give_up_us: self.give_up.0,
            kind: kind.map(|kind| kind as u16),
            spread: self.spread.as_ref().map(|spread| Spread {
                over: match spread.over {
                    Over::Machine => Place::Machine,
                    Over::Rack => Place::Cell,
                    Over::Hall => Place::Zone,
                },
                most: *spread.most.get_ref(),
            }),
            calm: value(&self.calm),
            comes_again,
            again_after_us: self.again_after.map_or(1_000_000, |time| time.0),
            cores: value(&self.cores).or(site.mean_cores).unwrap_or(1.0),
            memory: value(&self.memory).or(site.mean_memory).unwrap_or(1.0),
            closed: false,
        }
    }
}
