//! The node list as constraints see it, and the copies that stand on it.

use std::collections::BTreeMap;

use fixedbitset::FixedBitSet;

use crate::tree::{Place, Value};

/// An attribute of the node list.
#[derive(Clone, Debug, PartialEq)]
pub enum Attr {
    /// A text.
    Text(String),
    /// A number.
    Number(f64),
    /// A version: a text of the form `v6.1.4`.
    Version(Vec<u64>),
    /// A set of texts.
    Set(Vec<String>),
}

impl Attr {
    /// The word for its type.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Text(_) => "text",
            Self::Number(_) => "number",
            Self::Version(_) => "version",
            Self::Set(_) => "set",
        }
    }

    pub(crate) const fn kind_of(value: &Value) -> &'static str {
        match value {
            Value::Text(_) => "text",
            Value::Number(_) => "number",
            Value::Version(_) => "version",
            Value::Set(_) => "set",
        }
    }

    /// An attribute from a text: a version where it has that form.
    pub fn text(text: &str) -> Self {
        let parts = text
            .strip_prefix('v')
            .map(|rest| rest.split('.').map(str::parse::<u64>).collect());
        match parts {
            Some(Ok(parts)) => Self::Version(parts),
            _ => Self::Text(text.to_owned()),
        }
    }
}

/// One line of the node list. An empty rack or hall is not told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: String,
    /// Its rack.
    pub rack: String,
    /// Its hall.
    pub hall: String,
    /// Its attributes.
    pub attrs: BTreeMap<String, Attr>,
    /// The list holds it; a line that it held before keeps its number for the copies on it.
    pub listed: bool,
    /// It takes tasks.
    pub ready: bool,
    /// It is gone, or dark: copies on it do not count as standing.
    pub dark: bool,
}

impl Line {
    /// A ready line of which nothing else is told.
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            listed: true,
            ready: true,
            ..Self::default()
        }
    }

    /// With this hall.
    #[must_use]
    pub fn hall(self, hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..self
        }
    }

    /// With this rack.
    #[must_use]
    pub fn rack(self, rack: &str) -> Self {
        Self {
            rack: rack.to_owned(),
            ..self
        }
    }

    /// With this attribute, a text or a version.
    #[must_use]
    pub fn attr(mut self, name: &str, text: &str) -> Self {
        self.attrs.insert(name.to_owned(), Attr::text(text));
        self
    }
}

/// The places of one kind: the place of each line, and the lines of each place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places {
    pub of: Vec<Option<usize>>,
    pub lines: Vec<FixedBitSet>,
    /// Lines of which the place is told.
    pub told: FixedBitSet,
}

impl Places {
    fn new(lines: &[Line], name: impl Fn(&Line) -> Option<String>) -> Self {
        let mut numbers: BTreeMap<String, usize> = BTreeMap::new();
        let mut places = Self {
            told: FixedBitSet::with_capacity(lines.len()),
            ..Self::default()
        };
        for (at, line) in lines.iter().enumerate() {
            let number = name(line).map(|name| {
                let next = numbers.len();
                *numbers.entry(name).or_insert(next)
            });
            if let Some(number) = number {
                if number == places.lines.len() {
                    places.lines.push(FixedBitSet::with_capacity(lines.len()));
                }
                places.lines[number].insert(at);
                places.told.insert(at);
            }
            places.of.push(number);
        }
        places
    }
}

/// A node list with its places worked out.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    lines: Vec<Line>,
    places: [Places; 3],
    ready: FixedBitSet,
    numbers: BTreeMap<String, usize>,
}

impl Fleet {
    /// A list. Lines are numbered by their position.
    pub fn new(lines: Vec<Line>) -> Self {
        let told = |text: &str| (!text.is_empty()).then(|| text.to_owned());
        let rack = |line: &Line| told(&line.rack).map(|rack| format!("{}\n{rack}", line.hall));
        let places = [
            Places::new(&lines, |line| Some(line.name.clone())),
            Places::new(&lines, rack),
            Places::new(&lines, |line| told(&line.hall)),
        ];
        let mut ready = FixedBitSet::with_capacity(lines.len());
        lines
            .iter()
            .enumerate()
            .filter(|(_, line)| line.ready)
            .for_each(|(at, _)| ready.insert(at));
        let numbers = lines
            .iter()
            .enumerate()
            .map(|(at, line)| (line.name.clone(), at))
            .collect();
        Self {
            lines,
            places,
            ready,
            numbers,
        }
    }

    /// The lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// The number of a node's line.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn places(&self, place: Place) -> &Places {
        &self.places[place as usize]
    }

    pub(crate) fn ready(&self) -> &FixedBitSet {
        &self.ready
    }

    /// Every line.
    pub(crate) fn all(&self) -> FixedBitSet {
        let mut all = FixedBitSet::with_capacity(self.lines.len());
        let listed = self
            .lines
            .iter()
            .enumerate()
            .filter(|(_, line)| line.listed);
        listed.for_each(|(at, _)| all.insert(at));
        all
    }

    /// Another health for one line.
    pub fn set_health(&mut self, at: usize, ready: bool, dark: bool) {
        if let Some(line) = self.lines.get_mut(at) {
            (line.ready, line.dark) = (ready, dark);
            self.ready.set(at, ready);
        }
    }
}

/// What copies are counted by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A service of a class.
    Own(String, String),
    /// A service of any class.
    Service(String),
    /// A label with its value.
    Label(String, String),
}

/// The copies that stand or may stand, by what they are counted by and by line. A copy whose outcome is
/// not known counts.
#[derive(Clone, Debug, Default)]
pub struct Census {
    counts: BTreeMap<Topic, BTreeMap<usize, u32>>,
}

impl Census {
    /// One copy more.
    pub fn add(&mut self, topics: &[Topic], line: usize) {
        for topic in topics {
            *self
                .counts
                .entry(topic.clone())
                .or_default()
                .entry(line)
                .or_default() += 1;
        }
    }

    /// One copy less.
    pub fn remove(&mut self, topics: &[Topic], line: usize) {
        for topic in topics {
            let Some(lines) = self.counts.get_mut(topic) else {
                continue;
            };
            if let Some(count) = lines.get_mut(&line) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    lines.remove(&line);
                }
            }
            if lines.is_empty() {
                self.counts.remove(topic);
            }
        }
    }

    /// Copies by line.
    pub fn of(&self, topic: &Topic) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.counts
            .get(topic)
            .into_iter()
            .flatten()
            .map(|(line, count)| (*line, *count))
    }
}
