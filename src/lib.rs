//! The decisions of a scheduler for tasks that ask for cores and memory, sans-I/O. Many placers share the same
//! machines and tell each other nothing; each decides by Blind GB-PANDAS (Yekkehkhany and Nagi), with guards for what
//! must hold when machines, lists and placers fail. `src/control.rs` is the module, with all decisions;
//! `src/interface.rs` is what goes in and comes out.
//!
//! A placer is created with `Placer::new(settings, seed)` and driven by `turn(now, &events, &mut actions)`:
//! give it the time and everything that has happened since the last call, then carry out the actions in
//! order. It keeps no clock and does no I/O; equal seeds and events give equal actions. The example
//! announces a machine, asks for a place and handles an outcome and a reminder.
//!
//! As a program:
//!
//! ```rust
//! use maplethread::*;
//!
//! fn main() -> Result<(), SettingsError> {
//!     let settings = Settings {
//!         placers: 1,
//!         number: 0,
//!         zone: 0,
//!         classes: vec![Class {
//!             effect: Effect::Safe,
//!             aim: 600_000,
//!             worth: 1.0,
//!             start_bonus_s: 10.0,
//!             priority: 0,
//!             kind: None,
//!             spread: None,
//!         }],
//!         kinds: vec![Room::new(16.0, 64.0)],
//!         discovery: Discovery::Push,
//!         seated: SeatedWhen::Running,
//!         admit_cores: 1.0,
//!         admit_memory: 1.0,
//!         view: false,
//!         report: LoadReport::Silent,
//!         limits: Limits { max_attempts: 3, cancel: true, probes: false, peers: false, come_back: None },
//!         rules: Rules {
//!             ask_within: 10_000_000,
//!             cold_from: 0.2,
//!             cold_for: 15_000_000,
//!             fall_multiple: 3.0,
//!             fall_window: 2_000_000,
//!             fresh_offers: 20.0,
//!         },
//!         prices: Prices::default(),
//!     };
//!     let mut placer = Placer::new(settings, 7)?;
//!     let machine = Listing {
//!         machine: MachineId(0),
//!         label: 0x5eed,
//!         zone: 0,
//!         cell: 0,
//!         kind: 0,
//!         state: MachineState::Ready,
//!         started: None,
//!         unasked: None,
//!     };
//!     let task = Task {
//!         id: TaskId(1),
//!         service: ServiceId(9),
//!         class: 0,
//!         asks: Room::new(1.0, 2.0),
//!         life: None,
//!         give_up_at: 5_000_000,
//!         again: false,
//!     };
//!
//!     // Announce a machine and ask for a place.
//!     let mut actions = Vec::new();
//!     let listed = Event::Listed { scope: Scope::Full, machines: vec![machine] };
//!     placer.turn(0, &[listed, Event::Asked(task)], &mut actions);
//!     assert!(actions.iter().any(|a| matches!(a, Action::Offer { task: TaskId(1), machine: MachineId(0), .. })));
//!
//!     // A reminder that the placer asked for falls due; the offer is still out, so nothing is owed yet.
//!     let label = actions.iter().find_map(|a| match a {
//!         Action::Wake(_, label) => Some(*label),
//!         _ => None,
//!     });
//!     actions.clear();
//!     placer.turn(20_000, &[Event::Woken(label.expect("a deadline is watched"))], &mut actions);
//!     assert!(!actions.iter().any(|a| matches!(a, Action::Refuse(..) | Action::Fail(_))));
//!
//!     // The machine turns the offer down; it could be tried again, or another.
//!     let end = End { ending: Ending::Refused, why: Some(Why::Line), closed: false, load: None };
//!     let turned_down = Event::Ended(AttemptId { task: TaskId(1), number: 0 }, end);
//!     placer.turn(40_000, &[turned_down], &mut actions);
//!     Ok(())
//! }
//! ```

mod interface;
mod policy;

pub use interface::*;
pub use policy::Placer;
