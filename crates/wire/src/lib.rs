//! Codecs, and nothing else: HTTP/1.1 messages ([`http`]) and the frames of the host protocol ([`frame`]).
//! Both take bytes as they come, hold no socket, clock or thread, and bound everything that a peer can make
//! them keep. What a message means is the engine's business.

pub mod frame;
pub mod http;
