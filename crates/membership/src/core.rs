//! The member itself: time and datagrams in, datagrams and changes of the view out.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{Config, Foca, PeriodicParams, Timer};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::id::{Facts, Id, Record, hash};
use crate::packet::{Body, FRAME, KeyRing, MAX_DATAGRAM_BYTES, Packet};
use crate::settings::Settings;
use crate::swim::{Book, Codec, News, Shared, Wants};
use crate::table::{Awake, Change, MemberState, Micros, Table};
use crate::view::{Counters, Notice};

/// A call that comes so much later than the next timer asked for tells of a process that stood still.
const STOOD_STILL: Micros = 500_000;
/// Facts change at most this often.
const FACTS_EVERY: Micros = 1_000_000;
/// A member's own condition, in steps; each makes its judgement of others slower by once the usual time.
const WORST_HEALTH: u32 = 8;
/// One that leaves says so this often, this far apart.
const FAREWELLS: u32 = 3;
const FAREWELL_EVERY: Micros = 50_000;
/// Addresses of members that are gone, to look for them after they are forgotten.
pub(crate) const MOST_ADDRESSES: usize = 64;
/// While it is alone, a member looks for others so many times as often.
const ALONE: u32 = 5;

/// The word for what a member found out itself, in [`Change::by`].
pub const OWN_TEST: &str = "a test of its own";

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// The view has changed.
    Changed(Change),
    /// Something about this member itself.
    Notice(Notice),
}

pub(crate) enum Due {
    /// A timer of the library's, of its how-manieth start.
    Swim(u32, Timer<Id>),
    Sync,
    Seek,
    PublishFacts,
    Farewell(u32),
    Rival,
}

pub(crate) struct Rival {
    pub(crate) id: Id,
    pub(crate) heard: Micros,
}

/// A member of a fleet.
pub struct LocalMember {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) swim: Foca<Id, Codec, Pcg64Mcg, Book>,
    swim_starts: u32,
    pub(crate) shared: Rc<RefCell<Shared>>,
    pub(crate) awake: Awake<Due>,
    pub(crate) table: Table,
    pub(crate) outputs: Vec<Output>,
    pub(crate) counters: Counters,
    /// The last word of each sender: its life, and its awake time.
    pub(crate) heard: BTreeMap<u64, (u64, u64)>,
    /// Where members that are gone were.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Whom something was told lately that need not be told often.
    pub(crate) told: BTreeMap<u64, Micros>,
    pub(crate) rival: Option<Rival>,
    pub(crate) claimed: Option<(SocketAddr, Micros)>,
    pub(crate) facts: Facts,
    seq: u32,
    facts_at: Micros,
    facts_due: bool,
    is_leaving: bool,
    last_call: Micros,
    pub(crate) health: u32,
    pub(crate) digest: u64,
    pub(crate) version: u64,
    pub(crate) settled: Micros,
    /// When views are compared next, in awake time.
    sync_at: Micros,
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl LocalMember {
    /// A member that knows nobody and looks for others at once. Equal seeds and inputs give equal outputs.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> LocalMember {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let me = Id {
            name: settings.name.clone(),
            address: settings.advertised_address,
            generation: settings.generation,
        };
        let shared = Shared {
            me: me.clone(),
            rival: None,
            said: Vec::new(),
            suspected: false,
            known: BTreeMap::new(),
            most: settings.timing.max_members,
            full: 0,
            records: BTreeMap::new(),
            told: BTreeSet::new(),
        };
        let shared = Rc::new(RefCell::new(shared));
        let swim = swim(&settings, me, &mut rng, &shared);
        let facts = settings.facts.clone();
        let mut fleet = LocalMember {
            rng,
            swim,
            swim_starts: 0,
            shared,
            awake: Awake::default(),
            table: Table::default(),
            outputs: Vec::new(),
            counters: Counters::default(),
            heard: BTreeMap::new(),
            addresses: Vec::new(),
            told: BTreeMap::new(),
            rival: None,
            claimed: None,
            facts,
            seq: 0,
            facts_at: 0,
            facts_due: false,
            is_leaving: false,
            last_call: now,
            health: 0,
            digest: 0,
            version: 0,
            settled: now,
            sync_at: 0,
            settings,
        };
        fleet.say_facts(now);
        fleet.seek(now);
        fleet.sync_after(now, fleet.settings.timing.anti_entropy_interval);
        fleet.weigh(now);
        fleet
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Fleet::tick`] is to be called at the latest.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.awake.next()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.wake(now);
        while let Some(due) = self.awake.due(now) {
            match due {
                Due::Swim(start, _) if start != self.swim_starts => {}
                Due::Swim(_, timer) => {
                    let (tests, removes) = match &timer {
                        Timer::ProbeRandomMember(_) => (true, None),
                        Timer::RemoveDown(id) => (false, Some(id.clone())),
                        _ => (false, None),
                    };
                    self.health -= u32::from(tests && self.health > 0);
                    self.with_swim(now, OWN_TEST, |swim, wants| swim.handle_timer(timer, wants));
                    if tests {
                        self.look(now);
                    }
                    if let Some(id) = removes {
                        self.look_at(now, &id, "time");
                    }
                }
                Due::Sync => self.sync(now),
                Due::Seek => self.seek(now),
                Due::PublishFacts => {
                    self.facts_due = false;
                    self.say_facts(now);
                }
                Due::Farewell(left) => self.farewell(now, left),
                Due::Rival => self.rival_due(now),
            }
        }
    }

    /// Says something else of itself: at most once a second, the last word counts.
    pub fn set_facts(&mut self, now: Micros, facts: Facts) {
        if self.facts == facts || self.is_leaving {
            return;
        }
        self.facts = facts;
        let wait = (self.facts_at + FACTS_EVERY).saturating_sub(now);
        if wait == 0 {
            self.say_facts(now);
        } else if !std::mem::replace(&mut self.facts_due, true) {
            self.awake.set(now, wait, Due::PublishFacts);
        }
    }

    /// Takes other keys: the first seals from now on.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.settings.keys = keys;
    }

    /// Tells others that it leaves, a few times while its process ends.
    pub fn leave(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.is_leaving, true) {
            self.facts.is_draining = true;
            self.say_facts(now);
            self.with_swim(now, "itself", |swim, wants| swim.leave_cluster(wants));
            self.farewell(now, FAREWELLS);
        }
    }

    /// What this member says of itself.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The digest of the view, see [`crate::View::digest`].
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The state of a member by its name; nothing where it is not known.
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.table.get(hash(name.as_bytes())).map(|k| k.state)
    }

    /// Members that are live, this one included.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// All that is held for members, live or gone.
    pub fn entry_count(&self) -> usize {
        let shared = self.shared.borrow();
        self.table.len()
            + shared.records.len()
            + self.heard.len()
            + self.told.len()
            + self.addresses.len()
    }

    pub(crate) fn me(&self) -> Id {
        self.shared.borrow().me.clone()
    }

    /// A process that stood still has not heard what came meanwhile: its timers go on where they stood, so that all
    /// that waits is read before anybody is judged. One that was away for as long as the gone are remembered knows
    /// nothing any more.
    pub(crate) fn wake(&mut self, now: Micros) {
        let expected = self
            .awake
            .next()
            .unwrap_or(self.last_call)
            .max(self.last_call);
        let late = now.saturating_sub(expected);
        self.last_call = self.last_call.max(now);
        if late < STOOD_STILL {
            return;
        }
        self.awake.slept(late);
        self.health = (self.health + 2).min(WORST_HEALTH);
        self.outputs
            .push(Output::Notice(Notice::StoodStill { ms: late / 1000 }));
        if late >= micros(self.settings.timing.forget_after) {
            self.begin_anew(now);
        }
    }

    /// Forgets all others, and goes on as a new life.
    fn begin_anew(&mut self, now: Micros) {
        let names: Vec<u64> = self.table.iter().map(|k| k.id.name.hash()).collect();
        for name in names {
            self.remember_address(name);
            self.forget(name, "itself, after it stood still");
        }
        self.shared.borrow_mut().known.clear();
        self.reset_swim();
        self.renew(now, 0);
        self.seek(now);
    }

    /// This life was taken for down, or another one had the name: goes on as one that is later than both.
    pub(crate) fn renew(&mut self, now: Micros, above: u64) {
        if self.is_leaving {
            return;
        }
        let mut me = self.me();
        me.generation = me.generation.max(above) + 1;
        self.shared.borrow_mut().me = me.clone();
        self.outputs.push(Output::Notice(Notice::Renewed {
            life: me.generation,
        }));
        self.with_swim(now, "itself", |swim, mut wants| {
            swim.change_identity(me, &mut wants)?;
            // The library starts its periods once it is told that others are there.
            swim.apply_many(std::iter::empty(), false, wants)
        });
        self.say_facts(now);
    }

    /// A fresh start of the library, which knows nobody.
    pub(crate) fn reset_swim(&mut self) {
        let me = self.me();
        self.swim = swim(&self.settings, me, &mut self.rng, &self.shared);
        self.swim_starts += 1;
    }

    /// Lets the library do something, and carries out what it wants.
    pub(crate) fn with_swim(
        &mut self,
        now: Micros,
        by: &str,
        act: impl FnOnce(&mut Foca<Id, Codec, Pcg64Mcg, Book>, &mut Wants) -> Result<(), foca::Error>,
    ) {
        let mut wants = Wants::default();
        if let Err(error) = act(&mut self.swim, &mut wants) {
            self.counters.refused += 1;
            tracing::trace!(%error, "not taken");
        }
        let Wants { send, timers, news } = wants;
        for (to, data) in send {
            self.send(now, to.address, Body::Swim(data));
        }
        let slower = 1 + self.health;
        for (timer, after) in timers {
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => after * slower,
                Timer::ChangeSuspectToDown { .. } => {
                    self.settings.timing.suspect_for(self.table.live_count()) * slower
                }
                _ => after,
            };
            self.awake
                .set(now, micros(after), Due::Swim(self.swim_starts, timer));
        }
        let mut defunct = false;
        for news in news {
            match news {
                News::MemberChanged(id) => self.look_at(now, &id, by),
                News::Defunct => defunct = !self.is_leaving,
            }
        }
        // The library does not tell of suspicions and refutations: what was said of members and is news is looked up.
        let said = std::mem::take(&mut self.shared.borrow_mut().said);
        let mut alive = Vec::new();
        for member in said {
            if self.is_news(&member) {
                self.look_at(now, member.id(), by);
            } else if member.state() != foca::State::Down
                && self
                    .table
                    .get(member.id().name.hash())
                    .is_some_and(|k| k.state == MemberState::Down)
            {
                alive.push(member.id().clone());
            }
        }
        self.remind(now, alive);
        let told = std::mem::take(&mut self.shared.borrow_mut().told);
        for name in told {
            self.retell(now, name);
        }
        if std::mem::take(&mut self.shared.borrow_mut().suspected) {
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        let rival = self.shared.borrow_mut().rival.take();
        if let Some((rival, down)) = rival {
            self.superseded(now, &rival, down);
        } else if defunct {
            self.renew(now, 0);
        }
        self.weigh(now);
    }

    /// Whether what is said of a member may differ from what is shown of it.
    fn is_news(&self, said: &foca::Member<Id>) -> bool {
        self.table.get(said.id().name.hash()).is_none_or(|known| {
            let other = match said.state() {
                foca::State::Alive => false,
                foca::State::Suspect => known.state == MemberState::Alive,
                foca::State::Down => known.state.is_live(),
            };
            known.id != *said.id() || said.incarnation() > known.incarnation || other
        })
    }

    /// What the library knows of one member now.
    fn look_at(&mut self, now: Micros, id: &Id, by: &str) {
        if id.name == self.settings.name {
            return;
        }
        let found = self
            .swim
            .iter_membership_state()
            .find(|m| m.id().name == id.name);
        match found.map(|m| (m.id().clone(), m.incarnation(), m.state())) {
            Some((id, incarnation, state)) => self.set(now, &id, incarnation, state, by),
            None => {
                self.remember_address(id.name.hash());
                self.forget(id.name.hash(), by);
            }
        }
    }

    /// Whom its own test has just made suspect.
    fn look(&mut self, now: Micros) {
        let suspect = |m: &&foca::Member<Id>| m.state() == foca::State::Suspect && self.is_news(m);
        let found: Vec<_> = self
            .swim
            .iter_membership_state()
            .filter(suspect)
            .cloned()
            .collect();
        for member in found {
            self.set(
                now,
                member.id(),
                member.incarnation(),
                member.state(),
                OWN_TEST,
            );
        }
        self.told.retain(|_, at| *at + 60_000_000 > now);
        self.weigh(now);
    }

    fn set(&mut self, now: Micros, id: &Id, incarnation: u16, state: foca::State, by: &str) {
        let name = id.name.hash();
        let mut shared = self.shared.borrow_mut();
        shared.known.insert(name, id.generation);
        let record = shared.records.get(&name);
        let leaves = record.is_some_and(|r| r.leaves && r.generation >= id.generation);
        let state = match state {
            foca::State::Alive => MemberState::Alive,
            foca::State::Suspect => MemberState::Suspect,
            foca::State::Down if leaves => MemberState::Left,
            foca::State::Down => MemberState::Down,
        };
        let changed = self.table.set(now, id, incarnation, state, record);
        drop(shared);
        if let Some(from) = changed {
            self.changed(id, from, Some(state), by);
        }
    }

    /// A member's facts are new.
    fn retell(&mut self, now: Micros, name: u64) {
        let Some(known) = self.table.get(name) else {
            return;
        };
        let (id, incarnation, mut state) = (known.id.clone(), known.incarnation, known.state);
        let shared = self.shared.borrow();
        let record = shared.records.get(&name);
        if state == MemberState::Down
            && record.is_some_and(|r| r.leaves && r.generation >= id.generation)
        {
            state = MemberState::Left;
        }
        let changed = self.table.set(now, &id, incarnation, state, record);
        drop(shared);
        if let Some(from) = changed {
            self.changed(&id, from, Some(state), id.name.as_str());
        }
    }

    fn forget(&mut self, name: u64, by: &str) {
        let Some(known) = self.table.forget(name) else {
            return;
        };
        let mut shared = self.shared.borrow_mut();
        shared.known.remove(&name);
        shared.records.remove(&name);
        drop(shared);
        self.heard.remove(&name);
        self.told.remove(&name);
        self.changed(&known.id, Some(known.state), None, by);
    }

    fn changed(&mut self, id: &Id, from: Option<MemberState>, to: Option<MemberState>, by: &str) {
        let change = Change {
            name: id.name.to_string(),
            address: id.address,
            generation: id.generation,
            previous_state: from,
            new_state: to,
            reported_by: by.to_owned(),
        };
        self.outputs.push(Output::Changed(change));
    }

    /// Works the digest out anew.
    fn weigh(&mut self, now: Micros) {
        let shared = self.shared.borrow();
        let record = shared.records.get(&shared.me.name.hash());
        let digest = self
            .table
            .sums(&shared.me, record)
            .iter()
            .fold(0_u64, |all, sum| {
                all.rotate_left(7) ^ sum.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            });
        if digest != self.digest {
            (self.digest, self.settled) = (digest, now);
            self.version += 1;
        }
    }

    /// Its own record goes out with SWIM's messages.
    fn say_facts(&mut self, now: Micros) {
        self.facts_at = now;
        self.seq += 1;
        let me = self.me();
        let (seq, leaves, facts) = (self.seq, self.is_leaving, self.facts.clone());
        let record = Record {
            name: me.name,
            generation: me.generation,
            seq,
            leaves,
            facts,
        };
        if let Ok(bytes) = postcard::to_allocvec(&record) {
            self.with_swim(now, "itself", |swim, _| {
                swim.add_broadcast(&bytes).map(drop)
            });
        }
    }

    fn farewell(&mut self, now: Micros, left: u32) {
        self.last_words(now);
        if left > 1 {
            self.awake.set(now, FAREWELL_EVERY, Due::Farewell(left - 1));
        }
    }

    /// A number below `n`.
    pub(crate) fn draw(&mut self, n: usize) -> usize {
        draw(&mut self.rng, n)
    }

    /// Between three quarters of a period and five.
    fn jittered(&mut self, period: Duration) -> Micros {
        let period = micros(period).max(4);
        period * 3 / 4 + self.rng.next_u64() % (period / 2)
    }

    /// The next comparison of views is due after so long, and not when it was before.
    pub(crate) fn sync_after(&mut self, now: Micros, period: Duration) {
        let after = self.jittered(period);
        self.sync_at = self.awake.at(now) + after;
        self.awake.set(now, after, Due::Sync);
    }

    fn sync(&mut self, now: Micros) {
        if self.awake.at(now) < self.sync_at {
            return;
        }
        self.sync_after(now, self.settings.timing.anti_entropy_interval);
        if !self.is_leaving {
            self.ask_one(now);
        }
    }

    /// Looks for others: at first, and for parts of the fleet that went apart.
    fn seek(&mut self, now: Micros) {
        let alone = self.table.live_count() == 0;
        let every = self.settings.timing.discovery_interval / if alone { ALONE } else { 1 };
        let every = self.jittered(every);
        self.awake.set(now, every, Due::Seek);
        if !self.is_leaving && self.rival.is_none() {
            self.ask_strangers(now, alone);
        }
    }

    /// Seals and sends.
    pub(crate) fn send(&mut self, now: Micros, to: SocketAddr, body: Body) {
        let packet = Packet {
            from: self.me(),
            sent: self.awake.at(now),
            body,
        };
        if let Some(bytes) = self.settings.keys.seal(&packet) {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.outputs.push(Output::Send(to, bytes));
        }
    }
}

/// A number below `n`.
pub(crate) fn draw(rng: &mut Pcg64Mcg, n: usize) -> usize {
    (rng.next_u64() % n.max(1) as u64) as usize
}

/// The library for one life.
fn swim(
    settings: &Settings,
    me: Id,
    rng: &mut Pcg64Mcg,
    shared: &Rc<RefCell<Shared>>,
) -> Foca<Id, Codec, Pcg64Mcg, Book> {
    let pace = &settings.timing;
    let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |every: Duration, members| {
        Some(PeriodicParams {
            frequency: every,
            num_members: members,
        })
    };
    let config = Config {
        probe_period: pace.probe_interval,
        probe_rtt: pace.probe_timeout,
        num_indirect_probes: count(pace.indirect_probes),
        max_transmissions: NonZeroU8::new(pace.transmissions(pace.max_members.min(400)))
            .unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: pace.suspect_for(1),
        remove_down_after: Some(pace.forget_after),
        max_packet_size: count(MAX_DATAGRAM_BYTES - FRAME),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: periodic(pace.discovery_interval, count(2)),
        periodic_gossip: periodic(pace.gossip_interval, count(pace.indirect_probes)),
    };
    let (codec, book) = (Codec(shared.clone()), Book(shared.clone()));
    Foca::with_custom_broadcast(
        me,
        config,
        Pcg64Mcg::seed_from_u64(rng.next_u64()),
        codec,
        book,
    )
}
