//! The engine's outputs, which the shell performs, and the ids of connections that both use.

use std::net::SocketAddr;

use maplethread_platform_wire::owner::ToOwner;

/// The id of an owner, which is that of its connection. Assigned by the shell and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// The id of a connection to a host, assigned by the engine and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An action for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to an owner.
    SendToOwner(OwnerId, ToOwner),
    /// Close an owner's connection after all messages that were sent to it are written.
    CloseOwner(OwnerId),
    /// Open a connection to a host.
    Connect(ConnectionId, SocketAddr),
    /// Send bytes to a host.
    SendToHost(ConnectionId, Vec<u8>),
    /// Send bytes that end an attempt or a task, and write them before any later output is performed: the attempt counts as
    /// in flight until they are written. If not all of them can be written at once, close the connection.
    SendToHostImmediately(ConnectionId, Vec<u8>),
    /// Close a connection to a host.
    CloseConnection(ConnectionId),
    /// Close this side of a connection to a host, and pass further messages from it to the engine until the host has closed
    /// its side or for a short time. Then call [`Engine::connection_drained`](super::Engine::connection_drained).
    DrainConnection(ConnectionId),
}

/// How an owner's connection ended, which shows what the owner has received on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerConnectionEnd {
    /// The owner has closed it and everything was written. A socket that is closed with unread bytes is reset, so the owner
    /// has read them.
    Orderly,
    /// It broke or was closed by this process. The owner may not have received what was written last.
    Broken,
    /// Some bytes were not written.
    Unwritten,
}

/// Why a connection to a host was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// No process listens at the address.
    Refused,
    /// The connection broke, was closed, timed out, or received bytes that cannot be decoded.
    Broken,
}
