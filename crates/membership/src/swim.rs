//! Around the SWIM library: how ids read in datagrams, what facts travel with them, and what it wants done.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{BroadcastHandler, Header, Invalidates, Member, Notification, Runtime, State, Timer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::id::{Id, Record};

/// What the library's parts and the core share.
pub(crate) struct Shared {
    /// Who this member is now.
    pub(crate) me: Id,
    /// The highest other life that news gave this member's name, and whether it is said to be down.
    pub(crate) rival: Option<(Id, bool)>,
    /// What the messages that were just read say of members.
    pub(crate) said: Vec<Member<Id>>,
    /// Somebody suspects this member.
    pub(crate) suspected: bool,
    /// Hashes of the names that are known, with the life in which each is, and how many may be.
    pub(crate) known: BTreeMap<u64, u64>,
    pub(crate) most: usize,
    /// News of further members that were not taken in.
    pub(crate) full: u64,
    /// The newest facts of each member.
    pub(crate) records: BTreeMap<u64, Record>,
    /// Whose facts are new.
    pub(crate) told: BTreeSet<u64>,
}

impl Shared {
    /// Whether a record is newer than what is known; then it is known. What another life of a known member said does not
    /// count, be it a higher one: its clock may have been wrong, or its successor's is.
    pub(crate) fn learn(&mut self, record: &Record) -> bool {
        let name = record.name.hash();
        let life = self.known.get(&name).copied();
        let newer = life.is_none_or(|life| life == record.generation)
            && self.records.get(&name).is_none_or(|known| {
                known.age() < record.age() || life.is_some_and(|life| life != known.generation)
            });
        let room = self.records.contains_key(&name) || self.records.len() < self.most;
        if !newer
            || !room
            || (name == self.me.name.hash() && record.generation != self.me.generation)
        {
            return false;
        }
        self.records.insert(name, record.clone());
        self.told.insert(name);
        true
    }
}

/// Members and headers by postcard.
pub(crate) struct Codec(pub(crate) Rc<RefCell<Shared>>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("no room is left")]
    NoRoom,
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
}

fn put(value: &impl Serialize, mut buf: impl BufMut) -> Result<(), CodecError> {
    let bytes = postcard::to_allocvec(value)?;
    if buf.remaining_mut() < bytes.len() {
        return Err(CodecError::NoRoom);
    }
    buf.put_slice(&bytes);
    Ok(())
}

fn take<T: DeserializeOwned>(mut buf: impl Buf) -> Result<T, CodecError> {
    let chunk = buf.chunk();
    let (value, rest) = postcard::take_from_bytes(chunk)?;
    let used = chunk.len() - rest.len();
    buf.advance(used);
    Ok(value)
}

impl foca::Codec<Id> for Codec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl BufMut) -> Result<(), CodecError> {
        put(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Id>, CodecError> {
        let header: Header<Id> = take(buf)?;
        let Header {
            src,
            src_incarnation,
            ..
        } = &header;
        let mut shared = self.0.borrow_mut();
        shared
            .said
            .push(Member::new(src.clone(), *src_incarnation, State::Alive));
        drop(shared);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Id>, buf: impl BufMut) -> Result<(), CodecError> {
        put(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Id>, CodecError> {
        Ok(self.0.borrow_mut().admit(take(buf)?))
    }
}

impl Shared {
    /// News of a member as the library is to take them. Another life under this member's own name is the core's matter:
    /// the library would call it down, and two live processes of one name would do so in turn for ever. Nor does it hear
    /// of members that there is no room for. In their place it gets word of this member itself, which says nothing.
    pub(crate) fn admit(&mut self, member: Member<Id>) -> Member<Id> {
        let id = member.id();
        let nothing = || Member::alive(self.me.clone());
        if id.name == self.me.name {
            if *id == self.me {
                self.suspected |= member.state() == State::Suspect;
                return if member.state() == State::Down {
                    self.called_down()
                } else {
                    member
                };
            }
            if id.rank() > self.me.rank()
                && self
                    .rival
                    .as_ref()
                    .is_none_or(|(r, _)| r.rank() <= id.rank())
            {
                self.rival = Some((id.clone(), member.state() == State::Down));
            }
            return nothing();
        }
        if !self.known.contains_key(&id.name.hash()) && self.known.len() >= self.most {
            self.full += 1;
            return nothing();
        }
        self.said.push(member.clone());
        member
    }

    /// This very life was taken for down: the core renews it.
    fn called_down(&mut self) -> Member<Id> {
        self.rival = self.rival.take().or(Some((self.me.clone(), true)));
        Member::alive(self.me.clone())
    }
}

/// Takes in facts that travel with SWIM's messages.
pub(crate) struct Book(pub(crate) Rc<RefCell<Shared>>);

pub(crate) struct RecordKey(u64, (u64, u32));

impl Invalidates for RecordKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 >= other.1
    }
}

impl BroadcastHandler<Id> for Book {
    type Key = RecordKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Id>,
    ) -> Result<Option<RecordKey>, postcard::Error> {
        let record: Record = postcard::from_bytes(data)?;
        let new = self.0.borrow_mut().learn(&record);
        Ok(new.then(|| RecordKey(record.name.hash(), record.age())))
    }
}

/// What the library wants done, in order.
#[derive(Default)]
pub(crate) struct Wants {
    pub(crate) send: Vec<(Id, Vec<u8>)>,
    pub(crate) timers: Vec<(Timer<Id>, Duration)>,
    pub(crate) news: Vec<News>,
}

/// What it tells.
pub(crate) enum News {
    /// Something is new about a member.
    MemberChanged(Id),
    /// This member was called down.
    Defunct,
}

impl Runtime<Id> for &mut Wants {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        self.news.push(match notification {
            Notification::MemberUp(id)
            | Notification::MemberDown(id)
            | Notification::Rename(_, id) => News::MemberChanged(id.clone()),
            Notification::Defunct => News::Defunct,
            _ => return,
        });
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}
