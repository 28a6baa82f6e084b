//! Audit entries on requests and names, which a recorder stores beside the turns of the decider.

use std::sync::Arc;

use maplethread::{Micros, ServiceId, TaskId};

use crate::ids::ActorKey;

/// How a placement request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Placed on this host.
    Placed(Arc<str>),
    /// Rejected, for this reason, and with the time in ms after which it may be repeated.
    Rejected(&'static str, u64),
    /// Failed: an attempt may have run.
    Failed,
    /// Its clients disconnected or cancelled it.
    ClientDisconnected,
}

/// Information that the events of turns do not contain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditEntry {
    /// A host was assigned a number.
    Host {
        /// The number of the host.
        machine: u32,
        /// The name of the host.
        name: Arc<str>,
        /// Its zone, cell and kind.
        topology: [Arc<str>; 3],
    },
    /// The number and the name of a service.
    Service(ServiceId, Arc<str>),
    /// A placement request was accepted.
    RequestAccepted {
        /// The number of the task.
        task: TaskId,
        /// The number of the service.
        service: ServiceId,
        /// The service and the actor.
        key: ActorKey,
        /// The index of the class in the settings.
        class: usize,
        /// The client's id of the request, or a generated one.
        request_id: Arc<str>,
        /// The client's idempotency key.
        idempotency_key: Option<Arc<str>>,
    },
    /// A placement request ended.
    RequestFinished {
        /// The number of the task.
        task: TaskId,
        /// How it ended.
        outcome: RequestOutcome,
        /// Number of attempts made.
        attempts: u32,
        /// Time since the request was read, µs.
        elapsed: Micros,
    },
}

/// Entries that have not been taken yet; `None` until the log is enabled.
#[derive(Debug, Default)]
pub(crate) struct AuditLog(Option<Vec<AuditEntry>>);

impl AuditLog {
    pub fn enable(&mut self) {
        self.0.get_or_insert_default();
    }

    pub fn add(&mut self, entry: impl FnOnce() -> AuditEntry) {
        if let Some(entries) = &mut self.0 {
            entries.push(entry());
        }
    }

    pub fn take(&mut self) -> Vec<AuditEntry> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }
}
