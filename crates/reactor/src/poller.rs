//! Readiness by epoll, and signals turned into readiness.

use std::io::{self, PipeReader};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::event::epoll;
use rustix::event::{EventfdFlags, Timespec, eventfd};

/// So many descriptors are told ready at once; with fewer, none that was ready is left out.
pub const MAX_EVENTS_PER_WAIT: usize = 256;

/// What a registered descriptor is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The number it was registered with.
    pub token: u64,
    /// Something can be read, or the peer has closed.
    pub is_readable: bool,
    /// Something can be written.
    pub is_writable: bool,
    /// The peer has closed its side, or the connection broke.
    pub is_closed: bool,
}

/// An epoll instance. Level-triggered: what was left unread is told again.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// A poller that watches nothing yet.
    pub fn new() -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll })
    }

    fn interest_flags(write: bool) -> epoll::EventFlags {
        let read = epoll::EventFlags::IN | epoll::EventFlags::RDHUP;
        if write {
            read | epoll::EventFlags::OUT
        } else {
            read
        }
    }

    /// Watches a descriptor for reading, and for writing if asked.
    pub fn register(&self, fd: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            Self::interest_flags(write),
        )?)
    }

    /// Changes what a descriptor is watched for; with `read` off it is watched for writing and its end only.
    pub fn modify(&self, fd: impl AsFd, token: u64, read: bool, write: bool) -> io::Result<()> {
        let mut flags = Self::interest_flags(write);
        if !read {
            flags.remove(epoll::EventFlags::IN);
        }
        Ok(epoll::modify(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            flags,
        )?)
    }

    /// Ends the watch.
    pub fn deregister(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until something is ready or the time is over, and adds it to `ready`.
    pub fn wait(&self, timeout: Option<Duration>, ready: &mut Vec<Readiness>) -> io::Result<()> {
        let timeout = timeout.map(|t| Timespec {
            tv_sec: t.as_secs().min(1 << 30) as i64,
            tv_nsec: i64::from(t.subsec_nanos()) as _,
        });
        let mut room = [epoll::Event {
            flags: epoll::EventFlags::empty(),
            data: epoll::EventData::new_u64(0),
        }; MAX_EVENTS_PER_WAIT];
        let mut waited = epoll::wait(&self.epoll, &mut room, timeout.as_ref());
        if waited == Err(rustix::io::Errno::INTR) {
            // A process that was stopped and goes on comes here, and much may be ready by now.
            let now = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            waited = epoll::wait(&self.epoll, &mut room, Some(&now));
        }
        let events = match waited {
            Ok(events) => events,
            Err(rustix::io::Errno::INTR) => return Ok(()),
            Err(e) => return Err(e.into()),
        };
        for event in &room[..events] {
            let flags = event.flags;
            let closed = epoll::EventFlags::HUP | epoll::EventFlags::ERR | epoll::EventFlags::RDHUP;
            ready.push(Readiness {
                token: event.data.u64(),
                is_readable: flags.intersects(epoll::EventFlags::IN | closed),
                is_writable: flags.intersects(epoll::EventFlags::OUT | epoll::EventFlags::ERR),
                is_closed: flags.intersects(closed),
            });
        }
        Ok(())
    }

    /// An eventfd by which another thread can wake the poller.
    pub fn waker() -> io::Result<OwnedFd> {
        Ok(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?)
    }
}

/// Signals as readiness: each one writes a byte to a pipe of its own.
pub struct Signals {
    pipes: Vec<(i32, PipeReader)>,
}

impl Signals {
    /// Catches these signals from now on.
    pub fn catch(signals: &[i32]) -> io::Result<Signals> {
        let mut pipes = Vec::new();
        for &signal in signals {
            let (read, write) = io::pipe()?;
            rustix::io::ioctl_fionbio(&read, true)?;
            signal_hook::low_level::pipe::register(signal, write)?;
            pipes.push((signal, read));
        }
        Ok(Signals { pipes })
    }

    /// Registers all of them under one token.
    pub fn register(&self, poller: &Poller, token: u64) -> io::Result<()> {
        self.pipes
            .iter()
            .try_for_each(|(_, read)| poller.register(read, token, false))
    }

    /// How often each signal came since the last call.
    pub fn take_received(&mut self) -> Vec<i32> {
        let mut came = Vec::new();
        for (signal, read) in &mut self.pipes {
            let mut bytes = [0; 16];
            while let Ok(n) = io::Read::read(read, &mut bytes) {
                if n == 0 {
                    break;
                }
                came.extend(std::iter::repeat_n(*signal, n));
            }
        }
        came
    }
}
