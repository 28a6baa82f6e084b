//! Signals as readiness, so that a loop handles them between two events.

use std::io::{self, PipeReader, Read};

use crate::poller::Poller;

/// One caught signal and the pipe to which its handler writes a byte each time it comes.
struct CaughtSignal {
    number: i32,
    pipe: PipeReader,
}

/// The signals that a process catches.
pub struct Signals {
    caught: Vec<CaughtSignal>,
}

impl Signals {
    /// Catches these signals from now on.
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

    /// Registers all of them under one token.
    ///
    /// # Errors
    /// When the poller does not take one of the pipes.
    pub fn register(&self, poller: &Poller, token: u64) -> io::Result<()> {
        self.caught
            .iter()
            .try_for_each(|signal| poller.register(&signal.pipe, token, false))
    }

    /// The signals received since the last call: each number as often as it came, in the order in which they were given
    /// to [`Signals::catch`].
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
