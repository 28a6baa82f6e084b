//! State that a run shares with its owners: their settings and their progress.

use std::net::SocketAddr;

/// The load balancer's entry for a placer.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancerEntry {
    /// Name of the placer.
    pub name: String,
    /// Zone of the placer.
    pub zone: String,
    /// The address that the placer listens on; its last address while it is down.
    pub address: Option<SocketAddr>,
    /// Number of the placer's process, counted from 1.
    pub generation: u64,
    /// Whether the load balancer has noticed that the placer is down.
    pub is_down: bool,
}

/// The present behaviour of the owners.
#[derive(Clone, Debug, Default)]
pub struct OwnerBehaviour {
    /// The placers.
    pub placers: Vec<LoadBalancerEntry>,
    /// Share of the requests that owners abandon before the deadline.
    pub disconnect_share: f64,
    /// Set at the end of the run: no new owners arrive, and no request is repeated.
    pub is_closing: bool,
    /// Whether all requests are finished after `is_closing` was set.
    pub is_closed: bool,
    /// Number of requests sent so far.
    pub request_count: u64,
    /// Number of requests answered `placed` so far.
    pub placed_count: u64,
}
