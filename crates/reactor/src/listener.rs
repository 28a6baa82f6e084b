//! Listening, and what a failed `accept` or `connect` tells.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::io::Errno;

/// Connections that may wait to be accepted, as far as the system allows (`net.core.somaxconn`).
const MAX_BACKLOG: i32 = 4096;

/// Listens at an address, with room for a burst of connections: one that finds no room is tried again by its client's
/// kernel only after a second, which may be more than an ask has. The standard library leaves room for 128.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, MAX_BACKLOG)?;
    Ok(listener)
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
