//! Emulated owners: each wants one task for some time, requests its placement, waits, disconnects at its deadline, and
//! repeats the request after rejections, failures and losses. They run in one thread with real connections; every
//! request and answer is recorded.

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

/// Time after the deadline that an owner waits before it abandons a request, µs, to allow for delays in reading and
/// recording the answer.
pub const ANSWER_SLACK_US: u64 = 150_000;

/// Handle of the owners' thread.
pub struct Owners {
    behaviour: Arc<Mutex<OwnerBehaviour>>,
    thread: Option<JoinHandle<io::Result<Vec<u64>>>>,
}

impl Owners {
    /// Starts the owners' thread.
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
        let mut owner_thread = OwnerThread::new(scenario, context, arrivals, behaviour.clone())?;
        let thread = std::thread::Builder::new()
            .name("owners".into())
            .spawn(move || owner_thread.run())?;
        Ok(Owners {
            behaviour,
            thread: Some(thread),
        })
    }

    /// The shared state of the owners, to be read and changed.
    pub fn behaviour(&self) -> MutexGuard<'_, OwnerBehaviour> {
        lock(&self.behaviour)
    }

    /// Ends the thread and returns the times from requests to `placed`, µs.
    ///
    /// # Errors
    ///
    /// The thread has failed.
    pub fn end(mut self) -> io::Result<Vec<u64>> {
        self.behaviour().is_closing = true;
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err(io::Error::other("owners thread panicked")),
        }
    }
}
