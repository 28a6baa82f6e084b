//! What a run tells its owners, and what it sees of them.

use std::net::SocketAddr;

/// A placer as the load balancer in front of it has it.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancerEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens; the last address while it is down.
    pub address: Option<SocketAddr>,
    /// Counts its processes.
    pub incarnation: u64,
    /// The load balancer has noticed that it is down.
    pub is_down: bool,
}

/// The present behaviour of the owners.
#[derive(Clone, Debug, Default)]
pub struct OwnerBehaviour {
    /// The placers.
    pub placers: Vec<LoadBalancerEntry>,
    /// This share of the requests is abandoned by a disconnect before the deadline.
    pub disconnect_share: f64,
    /// No new tasks, and no request is repeated.
    pub is_closing: bool,
    /// All requests are over.
    pub is_closed: bool,
    /// Requests sent so far.
    pub request_count: u64,
    /// Requests answered `placed` so far.
    pub placed_count: u64,
}
