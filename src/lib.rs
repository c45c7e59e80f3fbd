//! reedring decides where a cluster scheduler places its tasks when many
//! copies of the scheduler run side by side and share nothing.
//!
//! [`Placer`] makes the decisions. It is a sans-I/O state machine: its caller
//! reports what happened as [`Event`]s, and it returns [`Action`]s for the
//! caller to carry out. It reads no clock and draws its random numbers from
//! the seed that it was given, so equal events give equal actions.
//!
//! | module | contents |
//! | --- | --- |
//! | [`api`] | the interface: settings and events as input, actions as output |
//! | [`logic`] | the decisions; start reading at `logic/placer/mod.rs`, where [`Placer::step`] shows a whole step |
//! | [`settings`] | reads the settings of a deployment from JSON |
//! | [`names`] | hashes names to the ids of machines, services and tasks |
//! | [`timers`] | a queue of timers, for the programs that drive a [`Placer`] |
//! | `load` | arithmetic on pairs of cores and memory |
//!
//! ```
//! use reedring::{Action, Class, Effect, Event, Health, Listing, Machine, MachineId};
//! use reedring::{Group, Kind, Placer, RequestId, Rules, ServiceId, Settings, Task, TaskKey};
//!
//! let settings = Settings {
//!     schedulers: 2,
//!     classes: vec![Class {
//!         effect: Effect::Safe,
//!         group: Group::All,
//!         aim_us: 500_000,
//!         ..Class::default()
//!     }],
//!     kinds: vec![Kind { cores: Some(16.0), memory: Some(64.0) }],
//!     rules: Rules { max_attempts: Some(3), ..Rules::default() },
//!     ..Settings::default()
//! };
//! let mut placer = Placer::new(settings, 7);
//! let machine = Machine {
//!     id: MachineId(1),
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     health: Health::Ready,
//!     ready_at: None,
//!     free_cores: None,
//!     free_memory: None,
//! };
//! let task = Task {
//!     request: RequestId(10),
//!     class: 0,
//!     tenant: 0,
//!     key: TaskKey(3),
//!     service: ServiceId(4),
//!     cores: 1.0,
//!     memory: 2.0,
//!     life_us: None,
//!     again: false,
//! };
//! let mut actions = Vec::new();
//! let batch = [
//!     Event::Listed(Listing::Cached(vec![machine])),
//!     Event::Arrived { task, grace_us: 4_000_000 },
//! ];
//! placer.step(1_000, &batch, &mut actions);
//! assert!(actions.iter().any(|action| matches!(
//!     action,
//!     Action::Offer { request: RequestId(10), machine: MachineId(1), .. }
//! )));
//! ```
#![forbid(unsafe_code)]

pub mod api;
mod load;
pub mod logic;
pub mod names;
pub mod settings;
pub mod timers;

pub use api::*;
pub use logic::Placer;
