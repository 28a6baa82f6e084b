//! Emulated owners: each wants one task for a while, requests its placement, waits, disconnects at its deadline, and comes
//! again after rejections, failures and losses. One thread, real connections, every request and answer recorded.

mod behaviour;
mod connections;
mod events;
mod requests;
mod thread;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;

pub use behaviour::{LoadBalancerEntry, OwnerBehaviour};

use crate::demand::Arrival;
use crate::run_context::{RunContext, lock};
use crate::scenario::Scenario;
use thread::OwnerThread;

/// An owner waits this much longer than its deadline before it holds that no answer came, µs: what the reading and
/// recording may be late by.
pub const ANSWER_SLACK_US: u64 = 150_000;

/// The thread of the owners.
pub struct Owners {
    behaviour: Arc<Mutex<OwnerBehaviour>>,
    thread: Option<JoinHandle<io::Result<Vec<u64>>>>,
}

impl Owners {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The poller or the thread cannot be created.
    pub fn start(
        scenario: Arc<Scenario>,
        context: RunContext,
        arrivals: Vec<Arrival>,
        placers: Vec<LoadBalancerEntry>,
    ) -> io::Result<Owners> {
        let behaviour = Arc::new(Mutex::new(OwnerBehaviour {
            placers,
            ..OwnerBehaviour::default()
        }));
        let mut owners = OwnerThread::new(scenario, context, arrivals, behaviour.clone())?;
        let thread = std::thread::Builder::new()
            .name("owners".into())
            .spawn(move || owners.run())?;
        Ok(Owners {
            behaviour,
            thread: Some(thread),
        })
    }

    /// Their behaviour, to be read and changed.
    pub fn behaviour(&self) -> MutexGuard<'_, OwnerBehaviour> {
        lock(&self.behaviour)
    }

    /// Ends the thread; returns the times from requests to `placed`, µs.
    ///
    /// # Errors
    ///
    /// The thread has failed.
    pub fn end(mut self) -> io::Result<Vec<u64>> {
        self.behaviour().is_closing = true;
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("the owners' thread panicked")),
        }
    }
}
