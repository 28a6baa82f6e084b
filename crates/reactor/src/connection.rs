//! One non-blocking TCP connection with bounded buffers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

use rustix::net::{AddressFamily, SocketFlags, SocketType};

use crate::poller::Poller;

/// How a read went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All that was there is read.
    Drained,
    /// More may be there; the buffer is full or the turn's share is used up.
    LimitReached,
    /// The peer has closed its side.
    Closed,
    /// The connection broke.
    Failed,
}

/// A connection with what was read and not yet taken, and what is still to be written.
pub struct TcpConnection {
    stream: TcpStream,
    token: u64,
    read_buffer: Vec<u8>,
    read_from: usize,
    outgoing: Vec<u8>,
    write_from: usize,
    /// Bytes ever taken by the kernel.
    written_bytes: u64,
    wants_write: bool,
    wants_read: bool,
    is_connecting: bool,
}

impl TcpConnection {
    /// Takes over an accepted stream.
    pub fn from_accepted(
        stream: TcpStream,
        token: u64,
        poller: &Poller,
    ) -> io::Result<TcpConnection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        poller.register(&stream, token, false)?;
        Ok(TcpConnection::new(stream, token, false))
    }

    /// Starts to connect; the first write readiness tells how it went, by [`Conn::connected`].
    pub fn connect(to: SocketAddr, token: u64, poller: &Poller) -> io::Result<TcpConnection> {
        let family = if to.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let stream = TcpStream::from(socket);
        poller.register(&stream, token, true)?;
        let mut conn = TcpConnection::new(stream, token, true);
        conn.wants_write = true;
        Ok(conn)
    }

    fn new(stream: TcpStream, token: u64, is_connecting: bool) -> TcpConnection {
        let (wants_write, wants_read) = (false, true);
        TcpConnection {
            stream,
            token,
            read_buffer: Vec::new(),
            read_from: 0,
            outgoing: Vec::new(),
            write_from: 0,
            written_bytes: 0,
            wants_write,
            wants_read,
            is_connecting,
        }
    }

    /// Whether the connection is still being made.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    /// Whether the connection is made, told also before its first readiness: on loopback it mostly is at once.
    pub fn poll_connected(&mut self) -> bool {
        if self.is_connecting && self.stream.peer_addr().is_ok() {
            let _ = self.finish_connect();
        }
        !self.is_connecting
    }

    /// After readiness while connecting: the connection is made, or why it can't be.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        self.is_connecting = false;
        self.stream.set_nodelay(true)
    }

    /// Reads what is there, up to so many bytes in this turn and in the buffer.
    pub fn read_available(&mut self, turn: usize, most: usize) -> ReadOutcome {
        if self.read_from > 0 {
            self.read_buffer.drain(..self.read_from);
            self.read_from = 0;
        }
        let mut left = turn;
        loop {
            let room = most
                .saturating_sub(self.read_buffer.len())
                .min(left)
                .min(16 << 10);
            if room == 0 {
                return ReadOutcome::LimitReached;
            }
            let start = self.read_buffer.len();
            self.read_buffer.resize(start + room, 0);
            let result = self.stream.read(&mut self.read_buffer[start..]);
            let n = *result.as_ref().unwrap_or(&0);
            self.read_buffer.truncate(start + n);
            match result {
                Ok(0) => return ReadOutcome::Closed,
                Ok(n) => {
                    left -= n;
                    if n < room {
                        return ReadOutcome::Drained;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return ReadOutcome::Drained,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Failed,
            }
        }
    }

    /// What was read and not yet taken.
    pub fn unread(&self) -> &[u8] {
        &self.read_buffer[self.read_from..]
    }

    /// Takes so many bytes from the front of what was read.
    pub fn consume(&mut self, n: usize) {
        self.read_from = (self.read_from + n).min(self.read_buffer.len());
        if self.read_from == self.read_buffer.len() {
            self.read_buffer.clear();
            self.read_from = 0;
            if self.read_buffer.capacity() > 64 << 10 {
                self.read_buffer.shrink_to(4 << 10);
            }
        }
    }

    /// The buffer of bytes to be written; add to its end.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.outgoing
    }

    /// Bytes that wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.outgoing.len() - self.write_from
    }

    /// Bytes that the kernel has taken, ever.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Writes as much as the kernel takes, and keeps the write interest as it is needed.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        while !self.is_connecting && self.write_from < self.outgoing.len() {
            match self.stream.write(&self.outgoing[self.write_from..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.write_from += n;
                    self.written_bytes += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.write_from == self.outgoing.len() {
            self.outgoing.clear();
            self.write_from = 0;
            if self.outgoing.capacity() > 64 << 10 {
                self.outgoing.shrink_to(4 << 10);
            }
        } else if self.write_from > 64 << 10 {
            self.outgoing.drain(..self.write_from);
            self.write_from = 0;
        }
        let wants = self.is_connecting || self.unwritten_bytes() > 0;
        if wants != self.wants_write {
            self.wants_write = wants;
            poller.modify(&self.stream, self.token, self.wants_read, wants)?;
        }
        Ok(())
    }

    /// Turns reading off or on, so that a peer that sends too much is held up by its own socket.
    pub fn set_reading(&mut self, on: bool, poller: &Poller) -> io::Result<()> {
        if on != self.wants_read {
            self.wants_read = on;
            poller.modify(&self.stream, self.token, on, self.wants_write)?;
        }
        Ok(())
    }

    /// Whether reading is on.
    pub fn is_reading(&self) -> bool {
        self.wants_read
    }

    /// Ends the own side; the peer's is still read.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Closes with a reset, dropping what is unwritten.
    pub fn reset(self) {
        let _ =
            rustix::net::sockopt::set_socket_linger(&self.stream, Some(std::time::Duration::ZERO));
    }
}
