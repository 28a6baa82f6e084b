//! What members say to each other beside SWIM: who a stranger is, whether two see the same, and whose a name is.

use std::net::SocketAddr;

use crate::core::{Due, LocalMember, MOST_ADDRESSES, Output, Rival, draw};
use crate::id::{Id, Record};
use crate::packet::{BUCKETS, Body, Entry, Liveness, MAX_DATAGRAM_BYTES, Packet, Unusable};
use crate::swim::Shared;
use crate::table::{MemberState, Micros, Table};
use crate::view::Notice;

/// A datagram that is so much older than another of its sender's is out of date.
const LATE: Micros = 10_000_000;
/// Entries in answer to one pull, some ten to a datagram; what is left comes with the next one.
const ENTRIES: usize = 120;
/// Members that are told, after one datagram, that they were taken for down.
const MOST_REMINDED: usize = 32;
/// What is told because of a sender's mistake is told to it at most this often.
const TELL_EVERY: Micros = 200_000;
/// So many are told something in a minute.
const MOST_TOLD: usize = 4096;
/// The other holder of a name is asked this often whether it is still there, and taken for gone after so many.
const RIVAL_EVERY: Micros = 1_000_000;
const RIVAL_GONE: Micros = 5_000_000;
/// A claim of a name counts for so long.
const CLAIMED_FOR: Micros = 10_000_000;

impl LocalMember {
    /// Takes in a datagram. What is not of this fleet, or can't be read, is counted and changes nothing.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8]) {
        self.wake(now);
        self.counters.received += 1;
        let packet = match self.settings.keys.open(bytes) {
            Ok(packet) => packet,
            Err(unusable) => {
                let counter = match unusable {
                    Unusable::Oversize => &mut self.counters.oversize,
                    Unusable::Foreign => &mut self.counters.foreign,
                    Unusable::Unauthenticated => &mut self.counters.unauthenticated,
                    Unusable::Unreadable => &mut self.counters.unreadable,
                };
                *counter += 1;
                return;
            }
        };
        if packet.from.name == self.me().name {
            return self.namesake(now, &packet);
        }
        if self.in_time(&packet) && self.rival.is_none() {
            self.hear(now, packet);
        }
    }

    /// Whether a datagram is not long out of date by its sender's own time.
    fn in_time(&mut self, packet: &Packet) -> bool {
        let name = packet.from.name.hash();
        let (life, sent) = self.heard.get(&name).copied().unwrap_or((0, 0));
        let late = life == packet.from.generation && packet.sent + LATE < sent;
        self.counters.stale += u64::from(late);
        if !late
            && self.table.get(name).is_some()
            && (life, sent) < (packet.from.generation, packet.sent)
        {
            self.heard
                .insert(name, (packet.from.generation, packet.sent));
        }
        !late
    }

    fn hear(&mut self, now: Micros, packet: Packet) {
        let Packet { from, body, .. } = packet;
        if let Body::Superseded {
            generation: life,
            address,
            is_down: down,
        } = body
        {
            // Also from one that this member holds for down: so two parts of a fleet that went apart hear of each other.
            let id = Id {
                generation: life,
                address,
                ..self.me()
            };
            return self.superseded(now, &id, down);
        }
        let known = self
            .table
            .get(from.name.hash())
            .map(|k| (k.id.clone(), k.state));
        match known {
            None => return self.stranger(now, &from, body),
            Some((id, state)) if id.rank() > from.rank() || (id == from && !state.is_live()) => {
                self.counters.superseded += 1;
                let (life, address, down) = (id.generation, id.address, !state.is_live());
                if self.may_tell(now, from.name.hash()) {
                    self.send(
                        now,
                        from.address,
                        Body::Superseded {
                            generation: life,
                            address,
                            is_down: down,
                        },
                    );
                }
                return;
            }
            Some(_) => {}
        }
        let by = from.name.to_string();
        match body {
            Body::Swim(data) => {
                self.with_swim(now, &by, |swim, wants| swim.handle_data(&data, wants));
            }
            Body::Pull { buckets, answer } => {
                let ours = self.answer_pull(now, &from, &buckets);
                if !answer && ours != buckets {
                    self.send(
                        now,
                        from.address,
                        Body::Pull {
                            buckets: ours,
                            answer: true,
                        },
                    );
                }
            }
            Body::Members(entries) => self.members(now, &by, entries),
            Body::Challenge(nonce) => {
                let buckets = self.buckets();
                self.send(now, from.address, Body::Proof { nonce, buckets });
            }
            Body::Proof { buckets, .. } => drop(self.answer_pull(now, &from, &buckets)),
            Body::Superseded { .. } | Body::Claim => {}
        }
    }

    /// One that nobody has told of: it is taken in once it has shown that it is there now.
    fn stranger(&mut self, now: Micros, from: &Id, body: Body) {
        let nonce = self.nonce(now, from);
        match body {
            // The answer may come just after the number has changed.
            Body::Proof {
                nonce: given,
                buckets,
            } if given == nonce || given == self.nonce(now.saturating_sub(EPOCH), from) => {
                if self.table.len() >= self.settings.timing.max_members {
                    self.shared.borrow_mut().full += 1;
                    return;
                }
                let by = from.name.to_string();
                let member = foca::Member::alive(from.clone());
                self.with_swim(now, &by, |swim, wants| {
                    swim.apply_many(std::iter::once(member), true, wants)
                });
                let buckets = self.answer_pull(now, from, &buckets);
                self.send(
                    now,
                    from.address,
                    Body::Pull {
                        buckets,
                        answer: true,
                    },
                );
            }
            Body::Challenge(nonce) => {
                let buckets = self.buckets();
                self.send(now, from.address, Body::Proof { nonce, buckets });
            }
            _ if self.may_tell(now, from.name.hash()) => {
                self.counters.challenged += 1;
                self.send(now, from.address, Body::Challenge(nonce));
            }
            _ => {}
        }
    }

    /// A number that only a process that hears this member now can know: it changes every few seconds and with each life.
    fn nonce(&self, now: Micros, from: &Id) -> u64 {
        let me = self.me();
        let text = format!(
            "{} {} {} {} {}",
            me.name,
            me.generation,
            from.name,
            from.rank().0,
            now / EPOCH
        );
        self.settings.keys.nonce(text.as_bytes())
    }

    /// Another process under this member's own name.
    fn namesake(&mut self, now: Micros, packet: &Packet) {
        let (me, from) = (self.me(), &packet.from);
        if from.address == me.address {
            // Its own datagram, or an earlier life's.
            return;
        }
        match &packet.body {
            Body::Superseded {
                generation: life,
                address,
                is_down: down,
            } if *life >= me.generation => {
                self.superseded(
                    now,
                    &Id {
                        generation: *life,
                        address: *address,
                        ..me
                    },
                    *down,
                );
            }
            _ if from.rank() > me.rank() => self.superseded(now, &from.clone(), false),
            Body::Claim => {
                let first = self.claimed_by(now) != Some(from.address);
                self.claimed = Some((from.address, now));
                if first {
                    self.outputs
                        .push(Output::Notice(Notice::Claimed { by: from.address }));
                }
                let (life, address) = me.rank();
                self.send(
                    now,
                    from.address,
                    Body::Superseded {
                        generation: life,
                        address,
                        is_down: false,
                    },
                );
            }
            _ => {}
        }
    }

    /// Who claims this member's name: it does so each second for as long as it is there.
    pub(crate) fn claimed_by(&self, now: Micros) -> Option<SocketAddr> {
        self.claimed
            .filter(|(_, at)| now < at + CLAIMED_FOR)
            .map(|(by, _)| by)
    }

    /// Somebody holds another life for the one that has this member's name, or this one for down.
    pub(crate) fn superseded(&mut self, now: Micros, by: &Id, down: bool) {
        let me = self.me();
        // That this very life holds its name is no news: it is said in answer to a datagram of an earlier one that came
        // late.
        if by.rank() < me.rank() || (by.rank() == me.rank() && !down) {
            return;
        }
        if down || by.address == me.address {
            // Nobody lives there, or only this process can: the name is this one's, in a later life.
            if self.rival.is_none() {
                self.renew(now, by.generation);
            }
            return;
        }
        if let Some(rival) = &mut self.rival {
            if rival.id.rank() <= by.rank() {
                *rival = Rival {
                    id: by.clone(),
                    heard: now,
                };
            }
            return;
        }
        self.rival = Some(Rival {
            id: by.clone(),
            heard: now,
        });
        self.outputs
            .push(Output::Notice(Notice::Displaced { by: by.address }));
        self.reset_swim();
        self.send(now, by.address, Body::Claim);
        self.awake.set(now, RIVAL_EVERY, Due::Rival);
    }

    /// Asks the other holder of its name whether it is still there.
    pub(crate) fn rival_due(&mut self, now: Micros) {
        let Some(rival) = &self.rival else { return };
        let (id, heard) = (rival.id.clone(), rival.heard);
        if heard + RIVAL_GONE > now {
            self.send(now, id.address, Body::Claim);
            self.awake.set(now, RIVAL_EVERY, Due::Rival);
            return;
        }
        self.rival = None;
        self.outputs.push(Output::Notice(Notice::Reinstated));
        self.renew(now, id.generation);
        // What it knew of others goes back to the library, which tests them anew.
        let members: Vec<_> = self
            .table
            .iter()
            .filter(|k| k.state.is_live())
            .map(|k| foca::Member::alive(k.id.clone()))
            .collect();
        self.with_swim(now, "itself", |swim, wants| {
            swim.apply_many(members.into_iter(), true, wants)
        });
        self.ask_strangers(now, true);
    }

    pub(crate) fn may_tell(&mut self, now: Micros, name: u64) -> bool {
        let at = self.told.get(&name).copied().unwrap_or(0);
        let may = at + TELL_EVERY <= now && (at > 0 || self.told.len() < MOST_TOLD);
        if may {
            self.told.insert(name, now);
        }
        may
    }

    pub(crate) fn buckets(&self) -> Vec<u32> {
        let shared = self.shared.borrow();
        self.table
            .buckets(&shared.me, shared.records.get(&shared.me.name.hash()))
    }

    /// Sends what this member knows where another one's view differs; what its own view comes to.
    fn answer_pull(&mut self, now: Micros, to: &Id, theirs: &[u32]) -> Vec<u32> {
        let ours = self.buckets();
        if theirs.len() != BUCKETS || ours == theirs {
            return ours;
        }
        let entries = self.entries_that_differ(&ours, theirs);
        let mut page = Vec::new();
        let mut room = 0;
        for entry in entries {
            let size =
                postcard::experimental::serialized_size(&entry).unwrap_or(MAX_DATAGRAM_BYTES);
            if room < size {
                self.send_members(now, to.address, std::mem::take(&mut page));
                room = MAX_DATAGRAM_BYTES - crate::packet::FRAME;
            }
            room = room.saturating_sub(size);
            page.push(entry);
        }
        self.send_members(now, to.address, page);
        ours
    }

    /// What this member knows of members in the parts in which two views differ, itself included; at most [`ENTRIES`].
    /// Only those are copied: in a large fleet there may be thousands.
    fn entries_that_differ(&mut self, ours: &[u32], theirs: &[u32]) -> Vec<Entry> {
        let differs = |id: &Id| {
            let bucket = Table::in_bucket(id.name.hash());
            ours[bucket] != theirs[bucket]
        };
        let me = foca::Member::alive(self.me());
        // Also what is known of the other itself: so it hears of a suspicion that was lost on the way.
        let members = || {
            self.swim
                .iter_membership_state()
                .chain([&me])
                .filter(|member| differs(member.id()))
        };
        let count = members().count();
        // Where not all can be told at once, different ones are each time.
        let first = if count > ENTRIES {
            draw(&mut self.rng, count)
        } else {
            0
        };
        let shared = self.shared.borrow();
        let chosen = members()
            .skip(first)
            .chain(members().take(first))
            .take(ENTRIES);
        chosen.map(|member| entry(member, &shared)).collect()
    }

    fn send_members(&mut self, now: Micros, to: SocketAddr, entries: Vec<Entry>) {
        if !entries.is_empty() {
            self.send(now, to, Body::Members(entries));
        }
    }

    fn members(&mut self, now: Micros, by: &str, entries: Vec<Entry>) {
        let mut members = Vec::with_capacity(entries.len());
        let mut records: Vec<Record> = Vec::new();
        for Entry {
            id,
            incarnation,
            state,
            record,
        } in entries
        {
            let state = match state {
                Liveness::Alive => foca::State::Alive,
                Liveness::Suspect => foca::State::Suspect,
                Liveness::Down => foca::State::Down,
            };
            let named = record.filter(|r| r.name == id.name);
            records.extend(named);
            let member = foca::Member::new(id, incarnation, state);
            members.push(self.shared.borrow_mut().admit(member));
        }
        let before = self.digest;
        self.with_swim(now, by, |swim, wants| {
            for record in records {
                // Whether it is news is the book's matter; if it is, it travels on.
                if let Ok(bytes) = postcard::to_allocvec(&record) {
                    swim.add_broadcast(&bytes)?;
                }
            }
            swim.apply_many(members.into_iter(), true, wants)
        });
        if self.digest != before {
            // Where there was news there may be more: many changes at once come as fast as they can be told.
            self.sync_after(now, self.settings.timing.gossip_interval);
        }
    }

    /// Tells members that others hold for alive, in the life in which this one has them for down, that they were taken
    /// for that: so two parts that went apart need not wait until each of them happens to be met.
    pub(crate) fn remind(&mut self, now: Micros, alive: Vec<Id>) {
        for id in alive.into_iter().take(MOST_REMINDED) {
            if self.may_tell(now, id.name.hash()) {
                self.send(
                    now,
                    id.address,
                    Body::Superseded {
                        generation: id.generation,
                        address: id.address,
                        is_down: true,
                    },
                );
            }
        }
    }

    /// Asks one live member whether it sees the same fleet.
    pub(crate) fn ask_one(&mut self, now: Micros) {
        let live = self.table.live_count();
        if live == 0 || self.rival.is_some() {
            return;
        }
        let n = self.draw(live);
        if let Some(to) = self.table.nth_live(n).map(|id| id.address) {
            let buckets = self.buckets();
            self.send(
                now,
                to,
                Body::Pull {
                    buckets,
                    answer: false,
                },
            );
        }
    }

    /// Asks at addresses where no live member is known: the seeds', and where members were that are gone.
    pub(crate) fn ask_strangers(&mut self, now: Micros, all_seeds: bool) {
        let own = self.settings.advertised_address;
        let live: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|k| k.state.is_live())
            .map(|k| k.id.address)
            .collect();
        let stranger = |a: &&SocketAddr| **a != own && !live.contains(a);
        let seeds: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .filter(stranger)
            .copied()
            .collect();
        let others: Vec<SocketAddr> = self.addresses.iter().filter(stranger).copied().collect();
        let mut asked = Vec::new();
        if all_seeds {
            asked.extend(seeds);
        } else if !seeds.is_empty() {
            asked.push(seeds[self.draw(seeds.len())]);
        }
        if !others.is_empty() {
            asked.push(others[self.draw(others.len())]);
        }
        asked.dedup();
        for to in asked {
            let buckets = self.buckets();
            self.send(
                now,
                to,
                Body::Pull {
                    buckets,
                    answer: false,
                },
            );
        }
    }

    /// Keeps the address of a member that is about to be forgotten; beyond the most, one at random makes room.
    pub(crate) fn remember_address(&mut self, name: u64) {
        let left = self
            .table
            .get(name)
            .filter(|k| k.state != MemberState::Left)
            .map(|k| k.id.address);
        let Some(address) = left.filter(|a| !self.addresses.contains(a)) else {
            return;
        };
        if self.addresses.len() >= MOST_ADDRESSES {
            let n = self.draw(MOST_ADDRESSES);
            self.addresses.swap_remove(n);
        }
        self.addresses.push(address);
    }

    /// Tells a few that it leaves.
    pub(crate) fn last_words(&mut self, now: Micros) {
        let me = self.me();
        let record = self.shared.borrow().records.get(&me.name.hash()).cloned();
        let entry = Entry {
            id: me,
            incarnation: u16::MAX,
            state: Liveness::Down,
            record,
        };
        for _ in 0..self.settings.timing.indirect_probes {
            let live = self.table.live_count();
            let n = self.draw(live);
            if let Some(to) = self.table.nth_live(n).map(|id| id.address) {
                self.send(now, to, Body::Members(vec![entry.clone()]));
            }
        }
    }
}

/// What is told of a member.
fn entry(member: &foca::Member<Id>, shared: &Shared) -> Entry {
    let state = match member.state() {
        foca::State::Alive => Liveness::Alive,
        foca::State::Suspect => Liveness::Suspect,
        foca::State::Down => Liveness::Down,
    };
    let record = shared.records.get(&member.id().name.hash()).cloned();
    Entry {
        id: member.id().clone(),
        incarnation: member.incarnation(),
        state,
        record,
    }
}

/// Numbers by which strangers are asked change this often, and count for so long again: less than the shortest memory of
/// the gone, so that an answer of an earlier life, sent again by somebody, is out of date before that life is forgotten.
const EPOCH: Micros = 5_000_000;
