//! Group membership among placers: every member maintains its own view of the fleet, without an external system.
//!
//! [`LocalMember`] is a deterministic state machine without I/O, clock or threads. It takes datagrams and the current time,
//! and returns datagrams to send, changes of the view, and the time of its next timer.
//!
//! The failure detector is SWIM, from the `foca` library. This crate adds:
//!
//! - authentication of datagrams with a keyed hash ([`KeyRing`]);
//! - generations, so that a restarted process replaces its predecessor;
//! - resolution of conflicts when two running processes use the same name;
//! - anti-entropy: members compare digests of their views and exchange the entries that differ;
//! - detection of pauses of the local process, so that after a pause no other member is declared down because its
//!   datagrams have not been read yet.
//!
//! Placement decisions do not depend on the view.
#![forbid(unsafe_code)]

mod active_timers;
mod datagram;
mod facts;
mod former_addresses;
mod identity;
mod keys;
mod local_health;
mod member;
mod member_table;
mod name_conflict;
mod notice_limiter;
mod random;
mod send_times;
mod settings;
mod shared_state;
mod swim;
mod text;
mod view;
mod view_digest;

pub use datagram::MAX_DATAGRAM_BYTES;
pub use facts::Facts;
pub use identity::MemberName;
pub use keys::{KeyRing, KeyRingError};
pub use member::{LocalMember, OWN_PROBE, Output};
pub use member_table::{Member, MemberState, MembershipChange, Micros};
pub use settings::{Settings, Timing};
pub use text::{BoundedText, TextError};
pub use view::{DatagramCounters, MembershipView, Notice};
