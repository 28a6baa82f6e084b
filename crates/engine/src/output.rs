//! What the engine wants its caller to do.

use std::net::SocketAddr;

use crate::ids::{ClientId, HostId, RequestSlot};

/// Something to be done by the caller, in the order of the outputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Bytes for a client.
    ToClient(ClientId, Vec<u8>),
    /// Close a client's connection once what it was sent is written.
    CloseClient(ClientId),
    /// Bytes for a host.
    ToHost(HostId, Vec<u8>),
    /// Connect to a host.
    Connect(HostId, SocketAddr),
    /// Drop the connection to a host.
    CloseHost(HostId),
    /// A client requests the membership; to be answered by [`Engine::answer_membership`].
    ///
    /// [`Engine::answer_membership`]: crate::Engine::answer_membership
    FetchMembership {
        /// The client's connection.
        client: ClientId,
        /// The request on it.
        slot: RequestSlot,
        /// The number of a change, where only later changes are requested.
        after: Option<u64>,
    },
}
