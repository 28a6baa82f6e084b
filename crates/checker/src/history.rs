//! The recorded history of a run: what was observed, and when.

use std::sync::Arc;

use maplethread_wire::frame::Frame;

/// Where a host stands in the topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The host's name.
    pub host: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its cell.
    pub cell: Arc<str>,
}

/// A final answer as it reached a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Placed on this host.
    Placed(String),
    /// Rejected for this reason, without any effect.
    Rejected(String),
    /// Failed, with an unknown outcome.
    Failed,
    /// Never accepted: an HTTP problem of this status.
    NotAccepted(u16),
}

/// One observation. Hosts, placers and requests are given by name; a connection by the number that its host gave it.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A host's process has started.
    HostStarted {
        /// The host.
        host: Arc<str>,
        /// When, Unix time in ms.
        started_ms: u64,
    },
    /// A host's process has ended.
    HostStopped {
        /// The host.
        host: Arc<str>,
    },
    /// A placer has sent its hello on a new connection to a host.
    PlacerConnected {
        /// The host.
        host: Arc<str>,
        /// The connection.
        connection: u64,
        /// The placer.
        placer: Arc<str>,
        /// The start of the placer's process, which tells its processes apart.
        incarnation: u64,
    },
    /// A connection to a host has ended.
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
    /// A client has sent a request for a placement.
    PlacementRequested {
        /// The request.
        request: Arc<str>,
        /// The placer that it was sent to.
        placer: Arc<str>,
        /// The class of the task.
        class: Arc<str>,
        /// The time in which the answer is owed, µs.
        budget_us: u64,
    },
    /// A client has read the answer.
    Answered {
        /// The request.
        request: Arc<str>,
        /// The answer.
        outcome: Outcome,
    },
    /// A client's connection has ended without an answer.
    ClientConnectionLost {
        /// The request.
        request: Arc<str>,
    },
    /// A client has given up and disconnected.
    ClientDisconnected {
        /// The request.
        request: Arc<str>,
    },
    /// A valid inventory was put in place.
    InventoryReplaced {
        /// Hosts that take tasks, each with its start where the inventory gives one, Unix time in ms.
        ready: Vec<(Arc<str>, Option<u64>)>,
        /// Hosts that are gone.
        gone: Vec<Arc<str>>,
    },
    /// The inventory cannot be read from now on, until a valid one is put in place.
    InventoryUnreadable,
    /// The catalogue has answered a placer.
    CatalogueAnswered {
        /// The placer.
        placer: Arc<str>,
        /// The index of the answer.
        index: u64,
        /// Whether it was a consistent read, which the leader verified.
        consistent: bool,
        /// The body of the answer.
        body: Arc<[u8]>,
    },
    /// A placer's session has locked a replica index, as the catalogue's leader applied it.
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
        /// Nobody may lock it before this time has passed, µs.
        after_us: u64,
    },
    /// The catalogue has lost its leader.
    CatalogueLeaderLost {
        /// How long it has none, µs.
        for_us: u64,
    },
    /// A placer's process has started and serves.
    PlacerStarted {
        /// The placer.
        placer: Arc<str>,
    },
    /// A placer's process was killed or told to end.
    PlacerStopped {
        /// The placer.
        placer: Arc<str>,
    },
    /// A placer's process was paused.
    PlacerPaused {
        /// The placer.
        placer: Arc<str>,
    },
    /// An observer reads late, or in time again.
    ObserverDelayed {
        /// The observer.
        observer: Observer,
        /// When it last found nothing more to read: what it reads from here on may have come at any time since, µs.
        /// Missing once it reads in time again.
        since: Option<u64>,
    },
    /// A paused placer was resumed.
    PlacerResumed {
        /// The placer.
        placer: Arc<str>,
    },
}

/// Which side of the traffic is observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observer {
    /// What placers send to hosts.
    Hosts,
    /// What placers answer to clients.
    Clients,
}

/// An observation with its time.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// When, µs on the one clock of the history.
    pub at_us: u64,
    /// What.
    pub observation: Observation,
}
