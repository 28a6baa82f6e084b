//! Listening for connections, and telling a lack of descriptors from other failures.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use rustix::io::Errno;

use crate::poller::Poller;

/// Connections that may wait to be accepted, as far as the system allows (`net.core.somaxconn`).
const MAX_BACKLOG: i32 = 4096;

/// How many connections may wait to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// The 128 of the standard library.
    Standard,
    /// As many as the system allows, up to 4,096. A connection that finds the backlog full is tried again by its client's
    /// kernel only after a second, which may be longer than the deadline of the request that it is for.
    Large,
}

/// A non-blocking listening socket, and whether a [`Poller`] watches it.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    token: Option<u64>,
}

impl Listener {
    /// Binds to an address; nothing watches the socket yet.
    ///
    /// # Errors
    /// When the address is in use, not one of this machine, or not permitted.
    pub fn bind(address: SocketAddr, backlog: Backlog) -> io::Result<Listener> {
        let socket = TcpListener::bind(address)?;
        if backlog == Backlog::Large {
            rustix::net::listen(&socket, MAX_BACKLOG)?;
        }
        socket.set_nonblocking(true)?;
        Ok(Listener {
            socket,
            token: None,
        })
    }

    /// The address that it listens at, with the port that the system has chosen where none was given.
    ///
    /// # Errors
    /// When the system does not know the socket's address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Has the poller watch for new connections, under this token.
    ///
    /// # Errors
    /// When the poller does not take the socket, for example because it is already watched.
    pub fn register(&mut self, poller: &Poller, token: u64) -> io::Result<()> {
        poller.register(&self.socket, token, false)?;
        self.token = Some(token);
        Ok(())
    }

    /// Turns the watch for new connections off or on again, so that those which cannot be served wait in the backlog and
    /// don't wake the loop. Does nothing before [`Listener::start`].
    ///
    /// # Errors
    /// When the poller does not take the change.
    pub fn set_accepting(&self, is_accepting: bool, poller: &Poller) -> io::Result<()> {
        match self.token {
            Some(token) => poller.modify(&self.socket, token, is_accepting, false),
            None => Ok(()),
        }
    }

    /// The next connection that waits, or nothing if none does.
    ///
    /// # Errors
    /// When a connection could not be accepted; see [`is_resource_exhausted`].
    pub fn accept(&self) -> io::Result<Option<TcpStream>> {
        match self.socket.accept() {
            Ok((stream, _)) => Ok(Some(stream)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}

/// Whether an error says that the process or the system has no descriptor or memory left for another socket, so that the
/// same call fails again until something is closed.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        errno,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
    )
}
