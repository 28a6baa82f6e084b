//! Outputs of the engine: I/O operations for its caller.

use std::net::SocketAddr;

use crate::ids::{ClientId, HostId, RequestSlot};

/// An I/O operation for the caller, to be performed in the order of the outputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send bytes to a client.
    ToClient(ClientId, Vec<u8>),
    /// Close a client's connection after all bytes sent to it have been written.
    CloseClient(ClientId),
    /// Send bytes to a host.
    ToHost(HostId, Vec<u8>),
    /// Connect to a host.
    Connect(HostId, SocketAddr),
    /// Drop the connection to a host.
    CloseHost(HostId),
    /// A client has requested the membership; the caller answers with [`Engine::answer_membership`].
    ///
    /// [`Engine::answer_membership`]: crate::Engine::answer_membership
    FetchMembership {
        /// The client's connection.
        client: ClientId,
        /// The request on it.
        slot: RequestSlot,
        /// If set, only changes after this one are requested.
        after: Option<u64>,
    },
}
