//! What every process with one loop sets up alike: its clock, poller and signals, and the wait for the next event.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Clock;
use crate::error::ResourceError;
use crate::listener::{Backlog, Listener};
use crate::poller::{Poller, Readiness};
use crate::signals::Signals;

/// The clock, the poller and the caught signals of a process that does all its work in one loop.
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
    /// Catches these signals from now on; they are reported as readable under `signals_token`.
    ///
    /// # Errors
    /// When the system has no descriptor left for the poller or a signal's pipe, or a signal cannot be caught.
    pub fn new(signals: &[i32], signals_token: u64) -> Result<EventLoop, ResourceError> {
        let poller = Poller::new().map_err(ResourceError::of("epoll"))?;
        let signals = Signals::catch(signals).map_err(ResourceError::of("signals"))?;
        signals
            .register(&poller, signals_token)
            .map_err(ResourceError::of("signals"))?;
        Ok(EventLoop {
            clock: Clock::start(),
            poller,
            signals,
        })
    }

    /// The time, µs.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// The poller, to register connections and files with.
    pub fn poller(&self) -> &Poller {
        &self.poller
    }

    /// The signals received since the last call, once for each time a signal came.
    pub fn take_received_signals(&mut self) -> Vec<i32> {
        self.signals.take_received()
    }

    /// Binds a listener. It is not watched until [`Listener::start`].
    ///
    /// # Errors
    /// When the address is in use, not one of this machine, or not permitted.
    pub fn listen(&self, address: SocketAddr, backlog: Backlog) -> Result<Listener, ResourceError> {
        Listener::bind(address, backlog).map_err(ResourceError::of(address.to_string()))
    }

    /// Waits until something is ready or the deadline (µs on this loop's clock) has passed, and replaces the contents of
    /// `ready` by what is ready. Without a deadline it waits for as long as nothing happens.
    ///
    /// # Errors
    /// When the system refuses the wait.
    pub fn wait_until(
        &self,
        deadline_us: Option<u64>,
        ready: &mut Vec<Readiness>,
    ) -> Result<(), ResourceError> {
        let timeout = deadline_us.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
        self.wait(timeout, ready)
    }

    /// Replaces the contents of `ready` by what is ready now, without waiting.
    ///
    /// # Errors
    /// When the system refuses the look.
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
            .map_err(ResourceError::of("epoll"))
    }
}
