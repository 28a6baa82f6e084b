//! Messages between voters: messages of the Raft library, with the identities of the stores.

use protobuf::Message as _;
use raft::eraftpb::Message;
use serde::{Deserialize, Serialize};

/// The maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message between voters. It is encoded with postcard, so the order of the fields must not change.
#[derive(Serialize, Deserialize)]
pub(crate) struct Envelope {
    from: u64,
    /// The identity of the sender's store.
    store: u64,
    /// The identity of the receiver's registered store; 0 if the sender has no record of one.
    to_store: u64,
    message: Vec<u8>,
}

/// A decoded message.
pub(crate) struct ReceivedMessage {
    pub(crate) from: u64,
    /// The identity of the sender's store.
    pub(crate) store: u64,
    /// The identity of the receiver's registered store, if the sender has a record of one.
    pub(crate) expected_store: Option<u64>,
    pub(crate) message: Message,
}

/// Encodes a message. Returns `None` if encoding fails.
pub(crate) fn encode(
    message: &Message,
    from: u64,
    store: u64,
    expected_store: Option<u64>,
) -> Option<Vec<u8>> {
    let envelope = Envelope {
        from,
        store,
        to_store: expected_store.unwrap_or(0),
        message: message.write_to_bytes().ok()?,
    };
    postcard::to_allocvec(&envelope).ok()
}

/// Decodes a message. Returns `None` if it is too long or cannot be decoded, or if the envelope and the Raft message have
/// different senders.
pub(crate) fn decode(bytes: &[u8]) -> Option<ReceivedMessage> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let envelope: Envelope = postcard::from_bytes(bytes).ok()?;
    let message = Message::parse_from_bytes(&envelope.message).ok()?;
    (envelope.from == message.from).then_some(ReceivedMessage {
        from: envelope.from,
        store: envelope.store,
        expected_store: (envelope.to_store != 0).then_some(envelope.to_store),
        message,
    })
}
