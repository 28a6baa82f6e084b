//! Listening sockets, and the detection of errors from exhausted resources.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use rustix::io::Errno;

use crate::poller::Poller;

/// The backlog of [`Backlog::Large`]. The kernel limits it to `net.core.somaxconn`.
const MAX_BACKLOG: i32 = 4096;

/// The maximum number of connections that wait to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// The default of the standard library, 128.
    Standard,
    /// As many as the system allows, up to 4,096. If the backlog is full, the client's kernel retries the connect only after
    /// a second, which may be longer than the deadline of the client's request.
    Large,
}

/// A non-blocking listening socket, with its token once a [`Poller`] watches it.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    token: Option<u64>,
}

impl Listener {
    /// Binds a listener to an address. The poller does not watch it yet.
    ///
    /// # Errors
    /// When the address is in use, not local or not permitted.
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

    /// The listen address. If the socket was bound to port 0, it contains the assigned port.
    ///
    /// # Errors
    /// When the system call fails.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Registers the listener with the poller under a token, so that new connections are reported.
    ///
    /// # Errors
    /// When the poller cannot register the socket, for example because it is already registered.
    pub fn register(&mut self, poller: &Poller, token: u64) -> io::Result<()> {
        poller.register(&self.socket, token, false)?;
        self.token = Some(token);
        Ok(())
    }

    /// Turns the report of new connections on or off. While it is off, new connections wait in the backlog and do not wake the
    /// event loop. Has no effect before [`Listener::register`].
    ///
    /// # Errors
    /// When the poller cannot change the registration.
    pub fn set_accepting(&self, is_accepting: bool, poller: &Poller) -> io::Result<()> {
        match self.token {
            Some(token) => poller.modify(&self.socket, token, is_accepting, false),
            None => Ok(()),
        }
    }

    /// Accepts the next connection of the backlog, and returns it with its remote address. Returns none if the backlog is empty.
    ///
    /// # Errors
    /// When accepting failed; see [`is_resource_exhausted`].
    pub fn accept(&self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        match self.socket.accept() {
            Ok(accepted) => Ok(Some(accepted)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}

/// Whether the error means that the process or the system has no descriptors or memory left for another socket. The same call
/// then fails again until a descriptor is closed.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        errno,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
    )
}
