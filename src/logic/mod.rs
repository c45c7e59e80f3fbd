//! Every decision of reedring, a concept a file; interface: `src/api.rs`, each departure: `docs/design.md`.

mod ledger;
mod machine_state;
mod machine_view;
mod placer;
mod ramp;
mod water_filling;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::Rng;
use rand_pcg::Pcg32;

pub use self::placer::Placer;
pub use self::water_filling::{water_filling_probabilities, water_level};
use self::{ledger::*, machine_state::*, machine_view::*, ramp::*};
use crate::api::*;
use crate::load::{Load, ONCE};
use crate::names::mix;
