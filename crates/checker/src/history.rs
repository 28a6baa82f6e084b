//! What is recorded.

use std::sync::Arc;

use maplethread_wire::frame::Frame;

/// Where a host stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its name.
    pub host: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its cell.
    pub cell: Arc<str>,
}

/// A final answer, as it reached a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Placed on this host.
    Placed(String),
    /// Refused, for this reason.
    Rejected(String),
    /// Failed.
    Failed,
    /// Not taken: a problem of this status.
    NotAccepted(u16),
}

/// One thing that was seen.
#[derive(Clone, Debug)]
#[allow(
    missing_docs,
    reason = "the fields are what their names say: hosts, placers and requests by name"
)]
pub enum Observation {
    /// A host's process is up, since this Unix time in ms.
    HostStarted { host: Arc<str>, started_ms: u64 },
    /// A host's process is gone.
    HostStopped { host: Arc<str> },
    /// A placer has greeted a host over this connection.
    PlacerConnected {
        host: Arc<str>,
        link: u64,
        placer: Arc<str>,
        incarnation: u64,
    },
    /// The connection is over.
    ConnectionLost { host: Arc<str>, link: u64 },
    /// A frame from the placer on this connection.
    FrameFromPlacer {
        host: Arc<str>,
        link: u64,
        frame: Frame,
    },
    /// A frame from the host on this connection.
    FrameFromHost {
        host: Arc<str>,
        link: u64,
        frame: Frame,
    },
    /// A client asked a placer.
    PlacementRequested {
        request: Arc<str>,
        placer: Arc<str>,
        class: Arc<str>,
        budget_us: u64,
    },
    /// A client has the answer.
    Answered { request: Arc<str>, outcome: Outcome },
    /// The connection ended without an answer.
    ClientConnectionLost { request: Arc<str> },
    /// A client gave up.
    ClientDisconnected { request: Arc<str> },
    /// A sound inventory was put in place: hosts that take tasks, with their start, and those that are gone.
    InventoryReplaced {
        ready: Vec<(Arc<str>, Option<u64>)>,
        gone: Vec<Arc<str>>,
    },
    /// The inventory can't be read from now on, until a sound one is put in place.
    InventoryUnreadable,
    /// A catalogue's answer went out to a placer: its index, whether it was read consistently, and its bytes.
    CatalogueAnswered {
        placer: Arc<str>,
        index: u64,
        consistent: bool,
        body: Arc<[u8]>,
    },
    /// A placer's session has locked a number, as the catalogue's leader took it in.
    ReplicaIndexLocked { number: Arc<str>, placer: Arc<str> },
    /// A number is free; nobody may lock it before so long.
    ReplicaIndexReleased { number: Arc<str>, after_us: u64 },
    /// The catalogue has no leader for so long.
    CatalogueLeaderLost { for_us: u64 },
    /// A placer's process is up and told its address.
    PlacerStarted { placer: Arc<str> },
    /// It was killed.
    PlacerStopped { placer: Arc<str> },
    /// It was made to stand still.
    PlacerPaused { placer: Arc<str> },
    /// A reader is late: what it reads from here on may have come at any time since this one, when it last found nothing
    /// more to read. Or it is in time again.
    ObserverDelayed {
        reader: Observer,
        since: Option<u64>,
    },
    /// It goes on.
    PlacerResumed { placer: Arc<str> },
}

/// Whose traffic a reader reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observer {
    /// What placers send to hosts.
    Hosts,
    /// What placers answer to clients.
    Clients,
}

/// What was seen, and when: µs on one clock for all.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// When.
    pub at_us: u64,
    /// What.
    pub observation: Observation,
}
