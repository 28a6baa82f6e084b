//! Readiness events from epoll.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::event::epoll::{self, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};
use rustix::io::Errno;

/// The maximum number of events returned by one wait. If fewer are returned, all ready descriptors were reported.
pub const MAX_EVENTS_PER_WAIT: usize = 256;

/// The maximum timeout; longer ones are reduced to it, to fit the time types of all kernels.
const MAX_TIMEOUT_S: u64 = 1 << 30;

/// The readiness of a registered descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The token under which the descriptor was registered.
    pub token: u64,
    /// Bytes can be read, or the peer has closed the connection.
    pub is_readable: bool,
    /// Bytes can be written.
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

/// A level-triggered epoll instance: a descriptor is reported again while it has unread bytes.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates a poller without registrations.
    ///
    /// # Errors
    /// When no descriptor is left.
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

    /// Registers a descriptor for read readiness, and with `write` also for write readiness.
    ///
    /// # Errors
    /// When the descriptor is already registered or does not support epoll, or no memory is left.
    pub fn register(&self, fd: impl AsFd, token: u64, write: bool) -> io::Result<()> {
        let flags = Self::interest_flags(true, write);
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            flags,
        )?)
    }

    /// Changes the registration of a descriptor. The end of the connection is reported even with `read` and `write` off.
    ///
    /// # Errors
    /// When the descriptor is not registered.
    pub fn modify(&self, fd: impl AsFd, token: u64, read: bool, write: bool) -> io::Result<()> {
        let flags = Self::interest_flags(read, write);
        Ok(epoll::modify(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token),
            flags,
        )?)
    }

    /// Removes the registration of a descriptor.
    ///
    /// # Errors
    /// When the descriptor is not registered.
    pub fn deregister(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until a descriptor is ready or the timeout has passed, and appends the events to `ready`. Without a timeout it
    /// waits indefinitely.
    ///
    /// # Errors
    /// When epoll fails. An interruption by a signal is not an error: the wait ends early.
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
            // The wait is also interrupted when a stopped process is continued. Many descriptors may be ready by then, so
            // their events are collected before the wait returns.
            let zero_timeout = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            result = epoll::wait(&self.epoll, &mut events, Some(&zero_timeout));
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

    /// Creates an eventfd with which another thread can wake the poller.
    ///
    /// # Errors
    /// When no descriptor is left.
    pub fn create_waker() -> io::Result<OwnedFd> {
        Ok(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?)
    }
}
