//! One non-blocking TCP connection with bounded buffers.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketFlags, SocketType};

use crate::poller::Poller;

/// One call to the kernel reads at most so many bytes.
const MAX_READ_BYTES_PER_CALL: usize = 16 << 10;
/// An empty buffer with a larger capacity than this gives its memory back.
const MAX_IDLE_CAPACITY: usize = 64 << 10;
/// The capacity to which it shrinks.
const IDLE_CAPACITY: usize = 4 << 10;
/// Bytes already written are removed from the front of the buffer once they are more than this.
const MAX_WRITTEN_PREFIX: usize = 64 << 10;

/// How a read went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All that was there is read.
    Drained,
    /// More may be there: the buffer is full or the bytes of this round are used up.
    LimitReached,
    /// The peer has closed its side.
    Closed,
    /// The connection broke.
    Failed,
}

/// A connection with the bytes that were read and not yet consumed, and those that are still to be written.
pub struct TcpConnection {
    stream: TcpStream,
    token: u64,
    read_buffer: Vec<u8>,
    /// Bytes of `read_buffer` before this are consumed.
    read_start: usize,
    outgoing: Vec<u8>,
    /// Bytes of `outgoing` before this are taken by the kernel.
    write_start: usize,
    /// Bytes ever taken by the kernel.
    written_bytes: u64,
    is_write_watched: bool,
    is_read_watched: bool,
    is_connecting: bool,
}

impl TcpConnection {
    /// Takes over an accepted stream and registers it under a token.
    ///
    /// # Errors
    /// When the peer has gone already, or the poller does not take the socket.
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

    /// Starts to connect, registered under a token; the first write readiness says that
    /// [`TcpConnection::finish_connect`] has a result.
    ///
    /// # Errors
    /// When no descriptor is left, or the system knows at once that the address can't be reached.
    pub fn connect(to: SocketAddr, token: u64, poller: &Poller) -> io::Result<TcpConnection> {
        let family = match to {
            SocketAddr::V4(_) => AddressFamily::INET,
            SocketAddr::V6(_) => AddressFamily::INET6,
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        poller.register(&stream, token, true)?;
        Ok(TcpConnection::new(stream, token, true))
    }

    /// A connection that is being made is watched for writing, which tells when it is made.
    fn new(stream: TcpStream, token: u64, is_connecting: bool) -> TcpConnection {
        TcpConnection {
            stream,
            token,
            read_buffer: Vec::new(),
            read_start: 0,
            outgoing: Vec::new(),
            write_start: 0,
            written_bytes: 0,
            is_write_watched: is_connecting,
            is_read_watched: true,
            is_connecting,
        }
    }

    /// Whether the connection is still being made.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    /// Whether the connection is made, also before its first readiness: on loopback it mostly is at once.
    pub fn poll_connected(&mut self) -> bool {
        if self.is_connecting && self.stream.peer_addr().is_ok() {
            // A failure stays for the readiness that reports it.
            let _ = self.finish_connect();
        }
        !self.is_connecting
    }

    /// The result of connecting, after the first readiness.
    ///
    /// # Errors
    /// When the connection can't be made; the error says why.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        self.is_connecting = false;
        self.stream.set_nodelay(true)
    }

    /// Reads what is there: at most `max_read_bytes` in this call, and while fewer than `max_unread_bytes` wait to be
    /// consumed.
    pub fn read_available(
        &mut self,
        max_read_bytes: usize,
        max_unread_bytes: usize,
    ) -> ReadOutcome {
        if self.read_start > 0 {
            self.read_buffer.drain(..self.read_start);
            self.read_start = 0;
        }
        let mut remaining = max_read_bytes;
        loop {
            let start = self.read_buffer.len();
            let room = max_unread_bytes
                .saturating_sub(start)
                .min(remaining)
                .min(MAX_READ_BYTES_PER_CALL);
            if room == 0 {
                return ReadOutcome::LimitReached;
            }
            self.read_buffer.resize(start + room, 0);
            let result = self.stream.read(&mut self.read_buffer[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.read_buffer.truncate(start + count);
            match result {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) if count < room => return ReadOutcome::Drained,
                Ok(count) => remaining -= count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadOutcome::Drained;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Failed,
            }
        }
    }

    /// The bytes that were read and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.read_buffer[self.read_start..]
    }

    /// Removes so many bytes from the front of [`TcpConnection::unread`], or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.read_start = (self.read_start + count).min(self.read_buffer.len());
        if self.read_start == self.read_buffer.len() {
            self.read_start = 0;
            clear_and_shrink(&mut self.read_buffer);
        }
    }

    /// The buffer of bytes to be written; append to it, then call [`TcpConnection::flush`].
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.outgoing
    }

    /// Bytes that wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.outgoing.len() - self.write_start
    }

    /// Bytes that the kernel has ever taken.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Writes as much as the kernel takes, and watches for write readiness only while something is left.
    ///
    /// # Errors
    /// When the connection broke.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        while !self.is_connecting && self.unwritten_bytes() > 0 {
            match self.stream.write(&self.outgoing[self.write_start..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.write_start += count;
                    self.written_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.unwritten_bytes() == 0 {
            self.write_start = 0;
            clear_and_shrink(&mut self.outgoing);
        } else if self.write_start > MAX_WRITTEN_PREFIX {
            self.outgoing.drain(..self.write_start);
            self.write_start = 0;
        }
        let needs_write = self.is_connecting || self.unwritten_bytes() > 0;
        if needs_write != self.is_write_watched {
            self.is_write_watched = needs_write;
            poller.modify(&self.stream, self.token, self.is_read_watched, needs_write)?;
        }
        Ok(())
    }

    /// Turns reading off or on, so that a peer that sends too much is held up by its own socket.
    ///
    /// # Errors
    /// When the poller does not take the change.
    pub fn set_reading(&mut self, is_reading: bool, poller: &Poller) -> io::Result<()> {
        if is_reading != self.is_read_watched {
            self.is_read_watched = is_reading;
            poller.modify(&self.stream, self.token, is_reading, self.is_write_watched)?;
        }
        Ok(())
    }

    /// Whether reading is on.
    pub fn is_reading(&self) -> bool {
        self.is_read_watched
    }

    /// Ends the own side; the peer's is still read.
    pub fn shutdown_write(&self) {
        // It fails only where the connection has ended, which the next read reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes with a reset, dropping what is unwritten.
    pub fn reset(self) {
        // Without the option the connection is closed all the same.
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}

/// Empties a buffer, and gives back the memory that a burst made it take.
fn clear_and_shrink(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > MAX_IDLE_CAPACITY {
        buffer.shrink_to(IDLE_CAPACITY);
    }
}
