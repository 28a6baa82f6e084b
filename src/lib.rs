//! The placement policy, without I/O, of a scheduler for tasks that request cores and memory. Many placers share the same
//! machines and exchange no messages. Each selects machines by Blind GB-PANDAS (Yekkehkhany and Nagi), with additional
//! rules that hold when machines, endpoint lists or placers fail. `src/policy` contains the policy, `src/interface` its
//! inputs and outputs.
//!
//! A placer is created with `Placer::new(settings, seed)` and driven by `turn(now, &events, &mut actions)`: the caller
//! passes the time and all events since the last call, and then carries out the actions in order. A placer has no clock
//! and does no I/O; equal seeds and events give equal actions. In the following example the caller lists a machine,
//! requests a placement, lets a timer fire and reports that the machine has rejected the offer:
//!
//! ```rust
//! use maplethread::*;
//!
//! fn main() -> Result<(), SettingsError> {
//!     let settings = Settings {
//!         replica_count: 1,
//!         replica_index: 0,
//!         zone: 0,
//!         classes: vec![Class {
//!             retry_safety: RetrySafety::Idempotent,
//!             latency_objective: 600_000,
//!             priority_weight: 1.0,
//!             start_bonus_s: 10.0,
//!             priority: 0,
//!             machine_kind: None,
//!             spread_limit: None,
//!         }],
//!         machine_kinds: vec![Resources::new(16.0, 64.0)],
//!         discovery: DiscoveryMode::Watch,
//!         acceptance_point: AcceptancePoint::Running,
//!         cpu_overcommit: 1.0,
//!         memory_overcommit: 1.0,
//!         endpoints_report_capacity: false,
//!         load_report_content: LoadReportContent::Nothing,
//!         limits: CallerLimits {
//!             max_attempts: 3,
//!             can_cancel: true,
//!             can_probe: false,
//!             can_message_peers: false,
//!             max_retry_after: None,
//!         },
//!         rules: Rules {
//!             max_poll_interval: 10_000_000,
//!             initial_capacity_share: 0.2,
//!             warm_up_duration: 15_000_000,
//!             overload_multiple: 3.0,
//!             overload_window: 2_000_000,
//!             warm_up_offers_per_window: 20.0,
//!         },
//!         costs: Costs::default(),
//!     };
//!     let mut placer = Placer::new(settings, 7)?;
//!     let machine = MachineEntry {
//!         machine: MachineId(0),
//!         stable_hash: 0x5eed,
//!         zone: 0,
//!         cell: 0,
//!         kind: 0,
//!         state: MachineState::Ready,
//!         started_at: None,
//!         unallocated: None,
//!     };
//!     let task = Task {
//!         id: TaskId(1),
//!         service: ServiceId(9),
//!         class: 0,
//!         requested: Resources::new(1.0, 2.0),
//!         expected_duration: None,
//!         deadline: 5_000_000,
//!         is_resubmission: false,
//!     };
//!
//!     // List a machine and request a placement: the placer offers the task to the machine.
//!     let mut actions = Vec::new();
//!     let list = Event::EndpointsUpdated { scope: UpdateScope::Full, machines: vec![machine] };
//!     placer.turn(0, &[list, Event::PlacementRequested(task)], &mut actions);
//!     let is_offer = |a: &Action| matches!(a, Action::Offer { task: TaskId(1), machine: MachineId(0), .. });
//!     assert!(actions.iter().any(is_offer));
//!
//!     // The timer that the placer has set fires. The offer is still in flight and the deadline is almost five seconds
//!     // away, so the placer does not answer the request yet.
//!     let label = actions.iter().find_map(|a| match a {
//!         Action::SetTimer { label, .. } => Some(*label),
//!         _ => None,
//!     });
//!     actions.clear();
//!     let timer = Event::TimerFired { label: label.expect("a timer was set for the deadline") };
//!     placer.turn(20_000, &[timer], &mut actions);
//!     assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))));
//!
//!     // The machine rejects the offer. The placer may offer the task again, to the same or another machine.
//!     let result = AttemptResult {
//!         outcome: AttemptOutcome::Rejected,
//!         reason: Some(FailureReason::QueueFull),
//!         closes_task: false,
//!         load: None,
//!     };
//!     let attempt = AttemptId { task: TaskId(1), number: 0 };
//!     placer.turn(40_000, &[Event::AttemptFinished { attempt, result }], &mut actions);
//!     Ok(())
//! }
//! ```

mod interface;
mod policy;

pub use interface::*;
pub use policy::Placer;
