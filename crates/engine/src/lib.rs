//! The placer's engine: manages sessions with clients and hosts, and carries out placement decisions. It has no I/O,
//! clock or threads.
//!
//! The caller passes [`Engine`] the bytes received on connections, changes of the inventory and the time. The engine
//! turns them into [`maplethread::Event`]s for a [`Decide`], carries out the actions that it returns, and outputs the
//! bytes to send, the connections to open or close, and the time of the next call. It assigns ids, maps names to
//! numbers, and keeps bounded tables and the deadlines of both protocols; it makes no placement decisions. The same
//! engine runs on sockets and under a simulated clock and network.

mod answers;
mod api;
mod attempt;
mod attempts;
mod audit_log;
mod client_connection;
mod client_requests;
mod client_sessions;
mod counters;
mod decide;
mod decisions;
mod engine;
mod event_batch;
mod followers;
mod host;
mod ids;
mod lifecycle;
mod output;
mod placement_request;
mod problem;
mod requests;
mod sessions;
mod timer;
mod timers;
mod turn_latency;
mod warm_up_offers;

pub use audit_log::{AuditEntry, RequestOutcome};
pub use counters::Counters;
pub use decide::Decide;
pub use engine::{Engine, StartInfo};
pub use ids::{ActorKey, ClientId, HostId, RequestSlot, stable_hash};
pub use maplethread_timers::{TimerId, Timers};
pub use output::Output;
