//! The event loop of a process: its clock, poller and signals, and waiting for the next event.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Clock;
use crate::error::ResourceError;
use crate::listener::{Backlog, Listener};
use crate::poller::{Poller, Readiness};
use crate::signals::Signals;

/// The clock, the poller and the caught signals of a process with a single event loop.
///
/// ```no_run
/// use maplethread_reactor::{EventLoop, ResourceError};
/// use signal_hook::consts::SIGTERM;
///
/// const SIGNALS_TOKEN: u64 = 1;
///
/// fn serve() -> Result<(), ResourceError> {
///     let mut event_loop = EventLoop::new(&[SIGTERM], SIGNALS_TOKEN)?;
///     let mut ready = Vec::new();
///     loop {
///         let next_timer_us = event_loop.now() + 1_000_000;
///         event_loop.wait_until(Some(next_timer_us), &mut ready)?;
///         for readiness in &ready {
///             if readiness.token == SIGNALS_TOKEN && !event_loop.take_received_signals().is_empty() {
///                 return Ok(());
///             }
///         }
///     }
/// }
/// ```
pub struct EventLoop {
    clock: Clock,
    poller: Poller,
    signals: Signals,
}

impl EventLoop {
    /// Creates an event loop and installs handlers for these signals. Received signals are reported as readable under
    /// `signals_token`.
    ///
    /// # Errors
    /// When no descriptor is left for the poller or a signal's pipe, or a signal cannot be caught.
    pub fn new(signals: &[i32], signals_token: u64) -> Result<EventLoop, ResourceError> {
        let poller = Poller::new().map_err(ResourceError::for_resource("epoll"))?;
        let signals = Signals::catch(signals).map_err(ResourceError::for_resource("signals"))?;
        signals
            .register(&poller, signals_token)
            .map_err(ResourceError::for_resource("signals"))?;
        Ok(EventLoop {
            clock: Clock::start(),
            poller,
            signals,
        })
    }

    /// The time in microseconds since the Unix epoch, from the loop's clock.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// The poller, for registering connections and files.
    pub fn poller(&self) -> &Poller {
        &self.poller
    }

    /// Removes and returns the signals received since the last call, one entry for each time a signal was received.
    pub fn take_received_signals(&mut self) -> Vec<i32> {
        self.signals.take_received()
    }

    /// Binds a listener. The poller does not watch it until [`Listener::register`] is called.
    ///
    /// # Errors
    /// When the address is in use, not local or not permitted.
    pub fn listen(&self, address: SocketAddr, backlog: Backlog) -> Result<Listener, ResourceError> {
        Listener::bind(address, backlog).map_err(ResourceError::for_resource(address.to_string()))
    }

    /// Waits until a descriptor is ready or the deadline on this loop's clock has passed, and replaces the contents of `ready`
    /// with the events. Without a deadline it waits indefinitely.
    ///
    /// # Errors
    /// When epoll fails.
    pub fn wait_until(
        &self,
        deadline_us: Option<u64>,
        ready: &mut Vec<Readiness>,
    ) -> Result<(), ResourceError> {
        let timeout = deadline_us.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
        self.wait(timeout, ready)
    }

    /// Replaces the contents of `ready` with the current events, without waiting.
    ///
    /// # Errors
    /// When epoll fails.
    pub fn poll_now(&self, ready: &mut Vec<Readiness>) -> Result<(), ResourceError> {
        self.wait(Some(Duration::ZERO), ready)
    }

    fn wait(
        &self,
        timeout: Option<Duration>,
        ready: &mut Vec<Readiness>,
    ) -> Result<(), ResourceError> {
        ready.clear();
        self.poller
            .wait(timeout, ready)
            .map_err(ResourceError::for_resource("epoll"))
    }
}
