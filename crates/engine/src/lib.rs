//! The placer's engine: sessions with clients and hosts around the placement decisions, without I/O, clock or threads.
//!
//! [`Engine`] takes the bytes that connections deliver, changes of the inventory and the time. It turns them into
//! [`maplethread::Event`]s for a [`Decide`], carries out the actions that it returns, and outputs bytes, connections to
//! be made or closed, and the time at which it is to be called again. It owns ids, the mapping of names to numbers,
//! bounded tables and the deadlines of both protocols; it decides nothing about placement. The same engine runs on
//! sockets and under a simulated clock and network.

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
pub use maplethread_timers::Timers;
pub use output::Output;
