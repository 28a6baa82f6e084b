//! A non-blocking TCP connection with bounded reads and buffers.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{AddressFamily, SocketFlags, SocketType};

use crate::poller::Poller;

/// The maximum number of bytes read in one system call.
const MAX_READ_BYTES_PER_CALL: usize = 16 << 10;
/// The capacity that an empty buffer keeps. A process may have a thousand connections and little memory.
const IDLE_CAPACITY_BYTES: usize = 1 << 10;
/// Written bytes are removed from the front of the buffer once there are more than this.
const MAX_WRITTEN_PREFIX_BYTES: usize = 64 << 10;

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available bytes were read.
    AllRead,
    /// More bytes may be available: the buffer is full or the limit of the call was reached.
    LimitReached,
    /// The peer has closed its side.
    Closed,
    /// The connection broke.
    Failed,
}

/// A TCP connection with a buffer of unread bytes and a buffer of unwritten bytes.
pub struct TcpConnection {
    stream: TcpStream,
    token: u64,
    read_buffer: Vec<u8>,
    /// The bytes of `read_buffer` before this index are consumed.
    read_start: usize,
    write_buffer: Vec<u8>,
    /// The bytes of `write_buffer` before this index are written to the kernel.
    write_start: usize,
    /// The total number of bytes written to the kernel.
    written_bytes: u64,
    is_write_watched: bool,
    is_read_watched: bool,
    is_connecting: bool,
}

impl TcpConnection {
    /// Wraps an accepted stream and registers it with the poller under a token.
    ///
    /// # Errors
    /// When the socket options cannot be set or the poller cannot register the socket.
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

    /// Starts to connect and registers the socket with the poller under a token. [`TcpConnection::finish_connect`] returns the
    /// result after the first write readiness.
    ///
    /// # Errors
    /// When no descriptor is left, the connect fails at once or the poller cannot register the socket.
    pub fn connect(address: SocketAddr, token: u64, poller: &Poller) -> io::Result<TcpConnection> {
        let family = match address {
            SocketAddr::V4(_) => AddressFamily::INET,
            SocketAddr::V6(_) => AddressFamily::INET6,
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        poller.register(&stream, token, true)?;
        Ok(TcpConnection::new(stream, token, true))
    }

    /// While the connection is being established it is watched for write readiness, which reports the result.
    fn new(stream: TcpStream, token: u64, is_connecting: bool) -> TcpConnection {
        TcpConnection {
            stream,
            token,
            read_buffer: Vec::new(),
            read_start: 0,
            write_buffer: Vec::new(),
            write_start: 0,
            written_bytes: 0,
            is_write_watched: is_connecting,
            is_read_watched: true,
            is_connecting,
        }
    }

    /// Whether the connection is still being established.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    /// Checks whether the connection is established, without waiting for write readiness. On loopback it usually is at once.
    pub fn check_connected(&mut self) -> bool {
        if self.is_connecting && self.stream.peer_addr().is_ok() {
            // An error is left to be reported by the next readiness event.
            let _ = self.finish_connect();
        }
        !self.is_connecting
    }

    /// Returns the result of the connect. Call it after the first write readiness.
    ///
    /// # Errors
    /// When the connection could not be established.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        self.is_connecting = false;
        self.stream.set_nodelay(true)
    }

    /// Reads available bytes: at most `max_read_bytes` in this call, and only while fewer than `max_unread_bytes` are
    /// unconsumed.
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
            let read_limit = max_unread_bytes
                .saturating_sub(start)
                .min(remaining)
                .min(MAX_READ_BYTES_PER_CALL);
            if read_limit == 0 {
                return ReadOutcome::LimitReached;
            }
            self.read_buffer.resize(start + read_limit, 0);
            let result = self.stream.read(&mut self.read_buffer[start..]);
            let count = *result.as_ref().unwrap_or(&0);
            self.read_buffer.truncate(start + count);
            match result {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) if count < read_limit => return ReadOutcome::AllRead,
                Ok(count) => remaining -= count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadOutcome::AllRead;
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

    /// Removes `count` bytes from the front of [`TcpConnection::unread`], or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.read_start = (self.read_start + count).min(self.read_buffer.len());
        if self.read_start == self.read_buffer.len() {
            self.read_start = 0;
            clear_and_shrink(&mut self.read_buffer);
        }
    }

    /// The buffer of bytes to write. Append to it, then call [`TcpConnection::flush`].
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        &mut self.write_buffer
    }

    /// The number of bytes that have not been written to the kernel.
    pub fn unwritten_bytes(&self) -> usize {
        self.write_buffer.len() - self.write_start
    }

    /// The total number of bytes written to the kernel.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Writes as many bytes as the kernel accepts, and watches for write readiness only while some are left.
    ///
    /// # Errors
    /// When the connection is broken.
    pub fn flush(&mut self, poller: &Poller) -> io::Result<()> {
        while !self.is_connecting && self.unwritten_bytes() > 0 {
            match self.stream.write(&self.write_buffer[self.write_start..]) {
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
            clear_and_shrink(&mut self.write_buffer);
        } else if self.write_start > MAX_WRITTEN_PREFIX_BYTES {
            self.write_buffer.drain(..self.write_start);
            self.write_start = 0;
        }
        let needs_write = self.is_connecting || self.unwritten_bytes() > 0;
        if needs_write != self.is_write_watched {
            self.is_write_watched = needs_write;
            poller.modify(&self.stream, self.token, self.is_read_watched, needs_write)?;
        }
        Ok(())
    }

    /// Turns reading on or off. While it is off, TCP flow control blocks a peer that sends too much.
    ///
    /// # Errors
    /// When the poller cannot change the registration.
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

    /// Closes the write side. The connection can still be read.
    pub fn shutdown_write(&self) {
        // It fails only if the connection has ended, which the next read reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection with a reset and discards unwritten bytes.
    pub fn reset(self) {
        // If setting the option fails, the connection is closed without a reset.
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}

/// Empties a buffer and releases most of its memory.
fn clear_and_shrink(buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.shrink_to(IDLE_CAPACITY_BYTES);
}
