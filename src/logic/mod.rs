//! Every decision of reedring, a concept a file; interface: `src/api.rs`, each departure: `docs/design.md`.

mod glance;
mod ledger;
mod placer;
mod ramp;
mod seat;
mod tide;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::Rng;
use rand_pcg::Pcg32;

pub use self::placer::Placer;
pub use self::tide::{tidal_probabilities, water_level};
use self::{glance::*, ledger::*, ramp::*, seat::*};
use crate::api::*;
use crate::load::{Load, ONCE};
use crate::names::mix;
