//! The placers' own view of their fleet: who is there, kept by the members themselves and by no outside system.
//!
//! [`Fleet`] takes datagrams and the time, and gives datagrams, changes of the view and the time at which it wants to be
//! called again. There is no I/O, clock or thread in it, and equal seeds and inputs give equal outputs. The failure
//! detector is SWIM, by a library; around it stand the keyed hash, the renewal of lives, what becomes of names that two
//! processes hold, the comparison of views, and what a process makes of having stood still. The view never decides on
//! placing.

mod core;
mod exchange;
mod id;
mod packet;
mod settings;
mod swim;
mod table;
mod view;

pub use crate::core::{LocalMember, OWN_TEST, Output};
pub use id::{Facts, MemberName, Text, TextError};
pub use packet::{BadKeys, KeyRing, MAX_DATAGRAM_BYTES};
pub use settings::{Settings, Timing};
pub use table::{Change, Member, MemberState, Micros};
pub use view::{Counters, Notice, View};
