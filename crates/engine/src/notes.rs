//! What a recorder keeps of asks and names, beside the turns of the decider.

use std::sync::Arc;

use maplethread::{Micros, ServiceId, TaskId};

/// How an ask ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Placed on this host.
    Placed(Arc<str>),
    /// Refused, for this reason and with this advice, ms.
    Refused(&'static str, u64),
    /// Failed.
    Failed,
    /// Its clients hung up.
    HungUp,
}

/// Something that turns do not tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kept {
    /// A host has this number from now on.
    Host {
        /// The number.
        machine: u32,
        /// The name.
        name: Arc<str>,
        /// Its zone, cell and kind.
        place: [Arc<str>; 3],
    },
    /// A service has this number.
    Service(ServiceId, Arc<str>),
    /// An ask was taken.
    Asked {
        /// Its number.
        task: TaskId,
        /// The service's number.
        service: ServiceId,
        /// The service and the actor.
        key: (Arc<str>, Arc<str>),
        /// The class's place in the settings.
        class: usize,
        /// The client's id of the request.
        request: Arc<str>,
        /// The client's key.
        idempotency: Option<Arc<str>>,
    },
    /// An ask ended.
    Answered {
        /// Its number.
        task: TaskId,
        /// How.
        ending: Ending,
        /// Attempts made.
        attempts: u32,
        /// Since it was read, µs.
        after: Micros,
    },
}

/// Notes since they were last taken, if anybody wants them.
#[derive(Debug, Default)]
pub(crate) struct Notes(Option<Vec<Kept>>);

impl Notes {
    pub fn want(&mut self) {
        self.0.get_or_insert_default();
    }

    pub fn add(&mut self, note: impl FnOnce() -> Kept) {
        if let Some(notes) = &mut self.0 {
            notes.push(note());
        }
    }

    pub fn take(&mut self) -> Vec<Kept> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }
}
