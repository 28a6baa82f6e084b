//! What a recorder keeps of asks and names, beside the turns of the decider.

use std::sync::Arc;

use maplethread::{Micros, ServiceId, TaskId};

/// How an ask ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Placed on this host.
    Placed(Arc<str>),
    /// Refused, for this reason and with this advice, ms.
    Rejected(&'static str, u64),
    /// Failed.
    Failed,
    /// Its clients hung up.
    ClientDisconnected,
}

/// Something that turns do not tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditEntry {
    /// A host has this number from now on.
    Host {
        /// The number.
        machine: u32,
        /// The name.
        name: Arc<str>,
        /// Its zone, cell and kind.
        topology: [Arc<str>; 3],
    },
    /// A service has this number.
    Service(ServiceId, Arc<str>),
    /// An ask was taken.
    RequestAccepted {
        /// Its number.
        task: TaskId,
        /// The service's number.
        service: ServiceId,
        /// The service and the actor.
        key: (Arc<str>, Arc<str>),
        /// The class's place in the settings.
        class: usize,
        /// The client's id of the request.
        request_id: Arc<str>,
        /// The client's key.
        idempotency_key: Option<Arc<str>>,
    },
    /// An ask ended.
    RequestFinished {
        /// Its number.
        task: TaskId,
        /// How.
        outcome: RequestOutcome,
        /// Attempts made.
        attempts: u32,
        /// Since it was read, µs.
        elapsed: Micros,
    },
}

/// Notes since they were last taken, if anybody wants them.
#[derive(Debug, Default)]
pub(crate) struct AuditLog(Option<Vec<AuditEntry>>);

impl AuditLog {
    pub fn enable(&mut self) {
        self.0.get_or_insert_default();
    }

    pub fn add(&mut self, note: impl FnOnce() -> AuditEntry) {
        if let Some(notes) = &mut self.0 {
            notes.push(note());
        }
    }

    pub fn take(&mut self) -> Vec<AuditEntry> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }
}
