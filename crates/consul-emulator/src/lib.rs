//! An emulator of a small Consul cluster in one process: a leader and lagging followers, indexes, blocking queries,
//! checks with TTL, sessions with TTL and lock delay, keys that sessions lock, ACL tokens, and injected faults. It is
//! written from the published HTTP API documentation and covers the endpoints that `docs/consul.md` lists. It does not
//! persist anything, and every client on loopback has access unless tokens are configured. `state` is the replicated
//! state, `api` the endpoints, and `server` the servers on sockets. Types and fields are named as in the documentation
//! of the API.
#![allow(
    clippy::too_many_lines,
    reason = "parsers and request handlers that handle every endpoint or command in one function"
)]

mod api;
mod server;
mod state;

pub use server::{AnswerObserver, EmulatorSettings, Faults, LockEvent, LockObserver, Servers};
