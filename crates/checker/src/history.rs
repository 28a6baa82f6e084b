//! The recorded history of a run: observations with their times.

use std::sync::Arc;

use maplethread_wire::frame::Frame;

/// The location of a host in the topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the host.
    pub host: Arc<str>,
    /// Zone of the host.
    pub zone: Arc<str>,
    /// Cell of the host, within its zone.
    pub cell: Arc<str>,
}

/// A final answer, as the client received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Placed on this host.
    Placed(String),
    /// Rejected for this reason; the task did not run.
    Rejected(String),
    /// Failed; the task may have run.
    Failed,
    /// The request was not accepted: an HTTP problem with this status.
    NotAccepted(u16),
}

/// One observation. Hosts, placers and requests are identified by name, a connection by the number that its host
/// assigned.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A host's process has started.
    HostStarted {
        /// The host.
        host: Arc<str>,
        /// Start time of the process, Unix time in ms.
        started_ms: u64,
    },
    /// A host's process has exited.
    HostStopped {
        /// The host.
        host: Arc<str>,
    },
    /// A placer has sent its hello frame on a new connection to a host.
    PlacerConnected {
        /// The host.
        host: Arc<str>,
        /// The connection.
        connection: u64,
        /// The placer.
        placer: Arc<str>,
        /// Start time of the placer's process, which distinguishes the successive processes of one placer.
        generation: u64,
    },
    /// A connection to a host was lost or closed.
    ConnectionLost {
        /// The host.
        host: Arc<str>,
        /// The connection.
        connection: u64,
    },
    /// A host has read a frame from a placer.
    FrameFromPlacer {
        /// The host.
        host: Arc<str>,
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A host has sent a frame to a placer.
    FrameFromHost {
        /// The host.
        host: Arc<str>,
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A client has sent a placement request.
    PlacementRequested {
        /// The request.
        request: Arc<str>,
        /// The placer to which it was sent.
        placer: Arc<str>,
        /// The class of the task.
        class: Arc<str>,
        /// Time within which the placer must answer, µs.
        budget_us: u64,
    },
    /// A client has read an answer.
    Answered {
        /// The request.
        request: Arc<str>,
        /// The answer.
        outcome: Outcome,
    },
    /// A client's connection was lost before the answer arrived.
    ClientConnectionLost {
        /// The request.
        request: Arc<str>,
    },
    /// A client has closed its connection without waiting for the answer.
    ClientDisconnected {
        /// The request.
        request: Arc<str>,
    },
    /// A valid inventory file has replaced the previous one.
    InventoryReplaced {
        /// Hosts that accept tasks, each with its start time if the inventory gives one, Unix time in ms.
        ready: Vec<(Arc<str>, Option<u64>)>,
        /// Hosts that the inventory lists as gone.
        gone: Vec<Arc<str>>,
    },
    /// The inventory file is unreadable until the next [`Observation::InventoryReplaced`].
    InventoryUnreadable,
    /// The catalogue has sent a placer a response.
    CatalogueAnswered {
        /// The placer.
        placer: Arc<str>,
        /// Index of the response.
        index: u64,
        /// Whether it was a consistent read, verified by the catalogue's leader.
        consistent: bool,
        /// Body of the response.
        body: Arc<[u8]>,
    },
    /// A placer's session has locked a replica index; recorded when the catalogue's leader applied it.
    ReplicaIndexLocked {
        /// The replica index.
        replica_index: Arc<str>,
        /// The placer.
        placer: Arc<str>,
    },
    /// A replica index was released.
    ReplicaIndexReleased {
        /// The replica index.
        replica_index: Arc<str>,
        /// Lock delay: no placer can lock the index until this time has passed, µs.
        lock_delay_us: u64,
    },
    /// The catalogue has lost its leader.
    CatalogueLeaderLost {
        /// How long the catalogue has no leader, µs.
        duration_us: u64,
    },
    /// A placer's process has started and serves requests.
    PlacerStarted {
        /// The placer.
        placer: Arc<str>,
    },
    /// A placer's process was killed or asked to terminate.
    PlacerStopped {
        /// The placer.
        placer: Arc<str>,
    },
    /// A placer's process was paused.
    PlacerPaused {
        /// The placer.
        placer: Arc<str>,
    },
    /// An observer has begun to read with a delay, or reads on time again.
    ObserverDelayed {
        /// The observer.
        observer: Observer,
        /// When the observer last had nothing left to read, µs. What it reads from now on may have arrived at any time
        /// since. `None` once it reads on time again.
        delayed_since_us: Option<u64>,
    },
    /// A paused placer was resumed.
    PlacerResumed {
        /// The placer.
        placer: Arc<str>,
    },
}

/// The side of the traffic that an observer reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observer {
    /// The hosts, which read what placers send to them.
    Hosts,
    /// The clients, which read the placers' answers.
    Clients,
}

/// An observation with its time.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// Time of the observation, µs on the clock of the history.
    pub at_us: u64,
    /// What was observed.
    pub observation: Observation,
}
