//! Signals as readiness events, so that an event loop can handle them.

use std::io::{self, PipeReader, Read};

use crate::poller::Poller;

/// A caught signal and the pipe to which its handler writes one byte each time it is received.
struct CaughtSignal {
    number: i32,
    pipe: PipeReader,
}

/// The caught signals of a process.
pub struct Signals {
    caught: Vec<CaughtSignal>,
}

impl Signals {
    /// Installs handlers for these signals.
    ///
    /// # Errors
    /// When no descriptor is left for a signal's pipe, or a signal cannot be caught.
    pub fn catch(signals: &[i32]) -> io::Result<Signals> {
        let mut caught = Vec::new();
        for &number in signals {
            let (pipe, handler_end) = io::pipe()?;
            rustix::io::ioctl_fionbio(&pipe, true)?;
            signal_hook::low_level::pipe::register(number, handler_end)?;
            caught.push(CaughtSignal { number, pipe });
        }
        Ok(Signals { caught })
    }

    /// Registers the pipes of all signals with the poller under one token.
    ///
    /// # Errors
    /// When the poller cannot register a pipe.
    pub fn register(&self, poller: &Poller, token: u64) -> io::Result<()> {
        self.caught
            .iter()
            .try_for_each(|signal| poller.register(&signal.pipe, token, false))
    }

    /// Removes and returns the signals received since the last call. The result contains a signal's number once for each time
    /// it was received. It has the order of the signals in [`Signals::catch`], not that of their arrival.
    pub fn take_received(&mut self) -> Vec<i32> {
        let mut received = Vec::new();
        for signal in &mut self.caught {
            let mut bytes = [0; 16];
            while let Ok(count) = signal.pipe.read(&mut bytes) {
                if count == 0 {
                    break;
                }
                received.extend(std::iter::repeat_n(signal.number, count));
            }
        }
        received
    }
}
