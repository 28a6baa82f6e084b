//! What the engine asks the shell to do, and the ids by which both refer to connections.

use std::net::SocketAddr;

use maplethread_platform_wire::owner::ToOwner;

/// A connection of an owner, numbered by the shell and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// A connection to a host, numbered by the engine and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An action for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to an owner.
    SendToOwner(OwnerId, ToOwner),
    /// Close an owner's connection once everything that was sent to it is written.
    CloseOwner(OwnerId),
    /// Open a connection to a host.
    Connect(ConnectionId, SocketAddr),
    /// Send bytes to a host.
    SendToHost(ConnectionId, Vec<u8>),
    /// Send bytes that end an attempt or a task, and write them before any later output: until then the attempt counts as
    /// in flight. A connection that does not take them at once is to be closed.
    SendToHostImmediately(ConnectionId, Vec<u8>),
    /// Close a connection to a host.
    CloseConnection(ConnectionId),
}

/// Why a connection to a host was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// No process listens at the address.
    Refused,
    /// It broke, was closed, timed out, or carried bytes that can't be decoded.
    Broken,
}
