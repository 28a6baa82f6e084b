//! Readiness by epoll.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::event::epoll::{self, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};
use rustix::io::Errno;

/// One wait reports at most so many descriptors. With fewer reported, none that was ready is missing.
pub const MAX_EVENTS_PER_WAIT: usize = 256;

/// Longer timeouts are cut to this, so that they fit into every kernel's type.
const MAX_TIMEOUT_S: u64 = 1 << 30;

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

impl Readiness {
    fn from_event(event: &epoll::Event) -> Readiness {
        let flags = event.flags;
        let closed = EventFlags::HUP | EventFlags::ERR | EventFlags::RDHUP;
        Readiness {
            token: event.data.u64(),
            is_readable: flags.intersects(EventFlags::IN | closed),
            is_writable: flags.intersects(EventFlags::OUT | EventFlags::ERR),
            is_closed: flags.intersects(closed),
        }
    }
}

/// An epoll instance. It is level-triggered: what was left unread is reported again.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// A poller that watches nothing yet.
    ///
    /// # Errors
    /// When the process or the system has no descriptor left.
    pub fn new() -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll })
    }

    fn interest_flags(read: bool, write: bool) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, read);
        flags.set(EventFlags::OUT, write);
        flags
    }

    /// Watches a descriptor for reading, and with `write` also for writing.
    ///
    /// # Errors
    /// When the descriptor is already watched or can't be, or the system has no memory left.
    pub fn register(&self, fd: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        let flags = Self::interest_flags(true, write);
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            flags,
        )?)
    }

    /// Changes what a descriptor is watched for; with `read` off it is watched for writing and its end only.
    ///
    /// # Errors
    /// When the descriptor is not watched.
    pub fn modify(&self, fd: impl AsFd, token: u64, read: bool, write: bool) -> io::Result<()> {
        let flags = Self::interest_flags(read, write);
        Ok(epoll::modify(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            flags,
        )?)
    }

    /// Ends the watch.
    ///
    /// # Errors
    /// When the descriptor is not watched.
    pub fn deregister(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until something is ready or the timeout is over, and adds it to `ready`. Without a timeout it waits for as
    /// long as nothing happens.
    ///
    /// # Errors
    /// When the system refuses the wait. An interruption by a signal is no error: the wait ends early.
    pub fn wait(&self, timeout: Option<Duration>, ready: &mut Vec<Readiness>) -> io::Result<()> {
        let timeout = timeout.map(|t| Timespec {
            tv_sec: t.as_secs().min(MAX_TIMEOUT_S) as i64,
            tv_nsec: i64::from(t.subsec_nanos()) as _,
        });
        let mut events = [epoll::Event {
            flags: EventFlags::empty(),
            data: epoll::EventData::new_u64(0),
        }; MAX_EVENTS_PER_WAIT];
        let mut result = epoll::wait(&self.epoll, &mut events, timeout.as_ref());
        if result == Err(Errno::INTR) {
            // A process that was stopped and goes on comes here, and much may be ready by now.
            let at_once = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            result = epoll::wait(&self.epoll, &mut events, Some(&at_once));
        }
        match result {
            Ok(count) => {
                ready.extend(events[..count].iter().map(Readiness::from_event));
                Ok(())
            }
            Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// An eventfd by which another thread can wake the poller.
    ///
    /// # Errors
    /// When the process or the system has no descriptor left.
    pub fn waker() -> io::Result<OwnedFd> {
        Ok(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?)
    }
}
