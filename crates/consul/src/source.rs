//! The source of hosts and slots: what is to be asked of Consul, and what its answers come to.

use std::collections::{BTreeMap, BTreeSet};

use maplethread_config::{Consul, Damping as DampingKind, HostEntry, HostState, PlacerConfig, Reads};
use maplethread_damping::{Damping, Policy};
use maplethread_wire::http::Message;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};

use crate::Micros;
use crate::catalogue::{self, Entry, Known, Listed, Member};
use crate::lease::{Ask, Lease, Told};
use crate::query::{BackOff, Meta, Mode, Target, escape, next_index};
use crate::trust::{Belief, Trust};
use crate::watch::{Next, Watch, nothing};

/// A call, to be told apart from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send a request to a server (by its place in the settings) and wait so long for the whole answer.
    Call {
        /// The call.
        call: CallId,
        /// The server.
        server: usize,
        /// The request.
        request: Vec<u8>,
        /// How long to wait.
        within: Micros,
    },
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// These hosts changed; those gone have that state. The first one is the whole list.
    Hosts(Vec<HostEntry>),
    /// The placer's number from now on; without one it may send nothing to cold hosts.
    Slot(Option<u32>),
}

/// What is known and how old it is, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Since the last answer that was taken, ms; none if there was none.
    pub age_ms: Option<u64>,
    /// The highest index taken.
    pub index: u64,
    /// Hosts listed.
    pub hosts: usize,
    /// Those whose good news waits.
    pub damped: usize,
    /// Entries of the last answer that could not be used.
    pub bad_entries: usize,
    /// Answers taken, rejected, and calls that failed.
    pub taken: u64,
    /// Answers that told that nothing had changed, without the list.
    pub unchanged: u64,
    /// See `taken`.
    pub rejected: u64,
    /// See `taken`.
    pub failed: u64,
    /// The slot, if placers have them.
    pub slot: Option<u32>,
    /// All slots are held by others.
    pub slots_full: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Health,
    Confirm,
    Members,
    Lease,
    Register,
    Pass,
}

/// A query that is repeated.
#[derive(Debug, Default)]
struct Loop {
    call: Option<CallId>,
    due: Micros,
    back_off: BackOff,
    server: usize,
}

/// The source.
pub struct Source {
    config: Consul,
    known: Known,
    who: String,
    token: Option<String>,
    rng: Pcg64Mcg,
    next_call: u64,
    calls: BTreeMap<CallId, Purpose>,
    loops: BTreeMap<Purpose, Loop>,
    index: u64,
    watch: Watch,
    /// The query of the list that is out asks for nothing but the index.
    watching: bool,
    /// How late an answer about the list may be.
    late: Micros,
    trust: Trust,
    /// What was last taken, by name.
    entries: BTreeMap<String, Entry>,
    /// Hosts as they were last told.
    told: BTreeMap<String, HostEntry>,
    members: BTreeMap<String, Member>,
    damping: Damping<String>,
    lease: Option<Lease>,
    lease_ask: Option<(CallId, Ask)>,
    slot: Option<u32>,
    lock_delay_ms: u64,
    /// The answer that waits to be confirmed.
    doubted: Option<Listed>,
    began: bool,
    /// What placers register: name, address and port of the API.
    own: Option<(String, std::net::SocketAddr)>,
    out: Vec<Out>,
    updates: Vec<Update>,
    heard: Option<Micros>,
    report: Report,
}

/// Every successful read is followed by the next no sooner than this, so that a storm of changes is read in steps.
const LEAST_BETWEEN: Micros = 30_000;
/// Calls that do not block are waited for so long.
const SHORT: Micros = 2_000_000;
/// An answer about the list that comes so late is still news, where `ask_within` leaves as much.
const LATE: Micros = 6_000_000;
/// Left of `ask_within` when a late answer is given up.
const LATE_MARGIN: Micros = 500_000;

impl Source {
    /// A source by a placer's settings.
    pub fn new(placer: &PlacerConfig, consul: &Consul, token: Option<String>, seed: u64) -> Source {
        let policy = match consul.damping {
            DampingKind::Penalty => Policy::Penalty,
            DampingKind::Off => Policy::Off,
            DampingKind::Hold => Policy::Hold(3_000_000),
        };
        let most = placer.hosts.max_hosts;
        let known = Known {
            zones: placer.placer.zones.clone(),
            kinds: placer.kind.iter().map(|k| k.name.clone()).collect(),
            most,
        };
        let lease =
            consul.membership.as_ref().map(|m| Lease::new(placer.placer.placers, m.ttl_ms * 1000, seed ^ 1));
        let wait = consul.wait_ms * 1000;
        let left = (placer.rules.ask_within_ms * 1000).saturating_sub(wait + wait / 16 + LATE_MARGIN);
        let late = left.min(LATE);
        let mut source = Source {
            known,
            who: format!("maplethread ({})", placer.placer.name),
            token,
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_call: 0,
            calls: BTreeMap::new(),
            loops: BTreeMap::new(),
            index: 0,
            watch: Watch::new(consul.watch),
            watching: false,
            late: late.max(SHORT),
            trust: Trust::new(consul.datacentre.clone()),
            entries: BTreeMap::new(),
            told: BTreeMap::new(),
            members: BTreeMap::new(),
            damping: Damping::new(policy, most, seed ^ 2),
            lease,
            lease_ask: None,
            slot: None,
            lock_delay_ms: consul.membership.as_ref().map_or(0, |m| m.lock_delay_ms),
            doubted: None,
            began: false,
            own: None,
            out: Vec::new(),
            updates: Vec::new(),
            heard: None,
            report: Report::default(),
            config: consul.clone(),
        };
        // Placers begin at different servers, so that none gets all of them.
        let first = source.rng.next_u64() as usize % source.config.servers.len();
        for purpose in [Purpose::Health, Purpose::Members] {
            source.loops.insert(purpose, Loop { server: first, ..Loop::default() });
        }
        if source.lease.is_some() {
            source.loops.insert(Purpose::Lease, Loop { server: first, ..Loop::default() });
        }
        source
    }

    /// The placer serves under this name and address, and registers itself if it has slots.
    pub fn serves(&mut self, name: &str, address: std::net::SocketAddr) {
        if self.lease.is_some() {
            self.own = Some((name.to_owned(), address));
            let server = self.loops.get(&Purpose::Health).map_or(0, |l| l.server);
            self.loops.insert(Purpose::Register, Loop { server, ..Loop::default() });
        }
    }

    /// Whether a list was taken.
    pub fn listed(&self) -> bool {
        self.began
    }

    /// What is known and how old it is.
    pub fn report(&self, now: Micros) -> Report {
        let slots_full = self.lease.as_ref().is_some_and(Lease::full);
        Report {
            age_ms: self.heard.map(|at| now.saturating_sub(at) / 1000),
            index: self.trust.highest(),
            hosts: self.entries.len(),
            damped: self.damping.waiting(),
            slot: self.slot,
            slots_full,
            ..self.report.clone()
        }
    }

    /// What the caller is to do since the last call.
    pub fn outputs(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// What is new since the last call.
    pub fn updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// When [`Source::tick`] is to be called at the latest.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let loops =
            self.loops.iter().filter(|(p, l)| l.call.is_none() && **p != Purpose::Lease).map(|(_, l)| l.due);
        let lease = self.lease.as_ref().and_then(|l| l.due(now));
        let own = self.lease.as_ref().and_then(Lease::until).filter(|&u| u > now && self.slot.is_some());
        loops.chain(lease).chain(own).chain(self.damping.next()).chain(self.trust.due()).min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.fence(now);
        if self.trust.due().is_some_and(|due| due <= now)
            && let Some(listed) = self.doubted.take()
        {
            // No leader has contradicted it in time: the rules win.
            self.take(now, listed);
        }
        let released = self.damping.due(now);
        self.tell(now, released);
        for purpose in [Purpose::Health, Purpose::Members, Purpose::Register, Purpose::Pass] {
            if self.loops.get(&purpose).is_some_and(|l| l.call.is_none() && l.due <= now) {
                self.call(now, purpose);
            }
        }
        self.lease_step(now);
    }

    /// The slot is lost by the own clock: told before anything else happens.
    fn fence(&mut self, now: Micros) {
        let slot = self.lease.as_ref().and_then(|l| l.slot(now));
        if self.lease.is_some() && slot != self.slot {
            tracing::info!(?slot, "placer number");
            self.slot = slot;
            self.updates.push(Update::Slot(slot));
        }
    }

    fn target(&self, path: String) -> Target {
        Target::new(path).maybe("dc", self.config.datacentre.as_deref())
    }

    fn health(&self, mode: Mode, filter: Option<&str>) -> Target {
        let path = format!("/v1/health/service/{}", escape(&self.config.service));
        self.target(path).maybe("filter", filter).mode(mode)
    }

    fn send(&mut self, purpose: Purpose, server: usize, request: Vec<u8>, within: Micros) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        self.out.push(Out::Call { call, server, request, within });
        call
    }

    fn call(&mut self, now: Micros, purpose: Purpose) {
        let wait = self.config.wait_ms;
        let mode = match self.config.reads {
            Reads::Default => Mode::Default,
            Reads::Stale => Mode::Stale,
            Reads::Consistent => Mode::Consistent,
        };
        let (target, method, body, within) = match purpose {
            Purpose::Health => {
                let next = if self.index > 0 { self.watch.next(now) } else { Next::Whole };
                self.watching = next == Next::Watch;
                let empty = self.watching.then(|| nothing(self.config.filter.as_deref()));
                let mut target = self.health(mode, empty.as_deref().or(self.config.filter.as_deref()));
                let mut within = self.late;
                if next != Next::Whole {
                    target = target.with("index", &self.index.to_string()).with("wait", &format!("{wait}ms"));
                    // The server adds up to a sixteenth of the wait.
                    within += (wait + wait / 16) * 1000;
                }
                (target, "GET", Value::Null, within)
            }
            Purpose::Confirm => {
                (self.health(Mode::Consistent, self.config.filter.as_deref()), "GET", Value::Null, SHORT)
            }
            Purpose::Members => (Target::new("/v1/agent/members"), "GET", Value::Null, SHORT),
            Purpose::Register => {
                let Some((name, address)) = &self.own else { return };
                let Some(m) = &self.config.membership else { return };
                let body = json!({
                    "ID": name, "Name": m.service, "Address": address.ip().to_string(), "Port": address.port(),
                    "Check": {
                        "TTL": format!("{}ms", m.ttl_ms),
                        "DeregisterCriticalServiceAfter": "10m",
                    },
                });
                (Target::new("/v1/agent/service/register"), "PUT", body, SHORT)
            }
            Purpose::Pass => {
                let Some((name, _)) = &self.own else { return };
                let path = format!("/v1/agent/check/pass/service:{}", escape(name));
                (Target::new(path), "PUT", Value::Null, SHORT)
            }
            Purpose::Lease => return,
        };
        let body = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let request = target.request(method, &self.who, self.token.as_deref(), &body);
        let server = self.loops.get(&purpose).map_or(0, |l| l.server);
        let call = self.send(purpose, server, request, within);
        self.loops.entry(purpose).or_default().call = Some(call);
    }

    fn lease_step(&mut self, now: Micros) {
        let Some(lease) = &mut self.lease else { return };
        let Some(ask) = lease.next(now) else { return };
        let Some(m) = &self.config.membership else { return };
        let key = |slot: u32| format!("/v1/kv/{}/{slot}", escape(&m.prefix));
        let (target, method, body) = match &ask {
            Ask::Create => {
                let body = json!({
                    "Name": self.who, "TTL": format!("{}ms", m.ttl_ms),
                    "LockDelay": format!("{}ms", self.lock_delay_ms), "Behavior": "release",
                    // A session of its own TTL only: the health of the node it is made on must not end it.
                    "NodeChecks": [], "ServiceChecks": [],
                });
                (self.target("/v1/session/create".to_owned()), "PUT", body.to_string())
            }
            Ask::Renew(id) => {
                (self.target(format!("/v1/session/renew/{}", escape(id))), "PUT", String::new())
            }
            Ask::List => {
                let path = format!("/v1/kv/{}/", escape(&m.prefix));
                (self.target(path).with("recurse", "").mode(Mode::Consistent), "GET", String::new())
            }
            Ask::Acquire(slot, id) => (self.target(key(*slot)).with("acquire", id), "PUT", self.who.clone()),
        };
        let request = target.request(method, &self.who, self.token.as_deref(), body.as_bytes());
        let server = self.loops.get(&Purpose::Lease).map_or(0, |l| l.server);
        let call = self.send(Purpose::Lease, server, request, SHORT);
        self.lease_ask = Some((call, ask));
    }

    /// A call's answer.
    pub fn answered(&mut self, now: Micros, call: CallId, message: &Message) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        let status = message.head.status();
        if purpose == Purpose::Lease {
            let told = self.lease_told(call, status, &message.body);
            if told == Told::Failed {
                self.fail_over(Purpose::Lease);
            }
            self.lease_done(now, told);
            return;
        }
        if self.loops.get(&purpose).is_none_or(|l| l.call != Some(call)) {
            return;
        }
        if purpose == Purpose::Health && self.watching && status == 400 {
            self.watch.refused();
        }
        if status != 200 {
            let why = String::from_utf8_lossy(&message.body[..message.body.len().min(120)]).into_owned();
            self.fail(now, purpose, &format!("status {status}: {why}"));
            return;
        }
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.call = None;
        }
        let meta = Meta::of(message);
        match purpose {
            Purpose::Health if self.watching && message.body.trim_ascii() == b"[]" => {
                self.at_rest(now, meta);
            }
            Purpose::Health | Purpose::Confirm => match catalogue::read(&message.body, &self.known) {
                Ok(listed) => self.listing(now, purpose, meta, listed),
                Err(why) => {
                    self.fail(now, purpose, &why);
                    return;
                }
            },
            Purpose::Members => match catalogue::read_members(&message.body, self.known.most * 4) {
                Ok(members) => {
                    let nodes: BTreeSet<&String> = members.keys().chain(self.members.keys()).collect();
                    let touched = |e: &&Entry| nodes.contains(&e.node);
                    let names = self.entries.values().filter(touched).map(|e| e.host.name.clone()).collect();
                    self.members = members;
                    self.tell(now, names);
                    self.again(purpose, now + self.config.members_every_ms * 1000);
                }
                Err(why) => {
                    self.fail(now, purpose, &why);
                    return;
                }
            },
            Purpose::Register => {
                let server = self.loops.remove(&purpose).map_or(0, |l| l.server);
                self.loops.insert(Purpose::Pass, Loop { server, due: now, ..Loop::default() });
            }
            Purpose::Pass => {
                let ttl = self.config.membership.as_ref().map_or(10_000, |m| m.ttl_ms) * 1000;
                self.again(purpose, now + ttl / 3);
            }
            Purpose::Lease => {}
        }
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.back_off.well();
        }
    }

    /// A call got no answer, or one that is no HTTP.
    pub fn failed(&mut self, now: Micros, call: CallId, why: &str) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        if purpose == Purpose::Lease {
            self.fail_over(Purpose::Lease);
            self.lease_done(now, Told::Failed);
        } else if self.loops.get(&purpose).is_some_and(|l| l.call == Some(call)) {
            self.fail(now, purpose, why);
        }
    }

    fn again(&mut self, purpose: Purpose, at: Micros) {
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.due = at;
        }
    }

    fn fail_over(&mut self, purpose: Purpose) {
        let servers = self.config.servers.len();
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.server = (l.server + 1) % servers;
        }
    }

    fn fail(&mut self, now: Micros, purpose: Purpose, why: &str) {
        self.report.failed += 1;
        let Some(l) = self.loops.get_mut(&purpose) else { return };
        l.call = None;
        let first = l.back_off.failures() == 0;
        l.due = now + l.back_off.failed(&mut self.rng);
        let server = self.config.servers[l.server];
        if first {
            tracing::warn!(%server, why, age_ms = self.heard.map(|h| (now - h) / 1000), "{purpose:?} query failed");
        }
        // A check that a restarted agent does not know: register anew.
        if purpose == Purpose::Pass && (why.starts_with("status 404") || why.contains("nknown check")) {
            let server = l.server;
            self.loops.remove(&Purpose::Pass);
            self.loops.insert(Purpose::Register, Loop { server, due: now, ..Loop::default() });
            return;
        }
        self.fail_over(purpose);
    }

    /// The watch's answer: nothing but the index. Any other index is news, whichever way it went.
    fn at_rest(&mut self, now: Micros, meta: Meta) {
        let moved = meta.index != self.index;
        self.watch.told(moved);
        if moved {
            self.again(Purpose::Health, now);
        } else {
            self.heard = Some(now);
            self.report.unchanged += 1;
            self.again(Purpose::Health, now + LEAST_BETWEEN);
        }
    }

    fn listing(&mut self, now: Micros, purpose: Purpose, meta: Meta, listed: Listed) {
        let consistent = purpose == Purpose::Confirm || self.config.reads == Reads::Consistent;
        if purpose == Purpose::Health {
            if std::mem::take(&mut self.watching) {
                self.watch.refused();
            }
            let unannounced = meta.index == self.index && listed.entries != self.entries;
            let drawn = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            self.watch.whole(now, unannounced && listed.bad.is_empty(), drawn);
            self.index = next_index(self.index, meta.index);
            self.again(purpose, now + LEAST_BETWEEN);
        } else {
            self.again(purpose, Micros::MAX);
        }
        for bad in listed.bad.iter().take(5) {
            tracing::debug!(%bad, "bad catalogue entry");
        }
        if listed.bad.len() != self.report.bad_entries {
            self.report.bad_entries = listed.bad.len();
            if let Some(first) = listed.bad.first() {
                tracing::warn!(count = listed.bad.len(), %first, "catalogue entries that can't be used");
            }
        }
        match self.trust.judge(now, meta, consistent, &listed, &self.entries) {
            Belief::Take => self.take(now, listed),
            Belief::Confirm => {
                tracing::warn!(
                    listed = listed.entries.len(),
                    have = self.entries.len(),
                    "a great loss; asking a leader"
                );
                // Bad news of hosts that it does list is not held up.
                let mut worse = Vec::new();
                for (name, entry) in &listed.entries {
                    if entry.host.state != HostState::Ready
                        && let Some(have) = self.entries.get_mut(name)
                    {
                        (have.host.state, have.status) = (entry.host.state, entry.status);
                        worse.push(name.clone());
                    }
                }
                self.tell(now, worse);
                self.doubted = Some(listed);
                self.confirm(now);
            }
            Belief::Reject(why) => {
                self.report.rejected += 1;
                tracing::debug!(why, index = meta.index, highest = self.trust.highest(), "answer not taken");
                if purpose == Purpose::Health {
                    // Another server is asked, from the beginning; and a leader, in case all went back.
                    self.fail_over(purpose);
                    self.index = 0;
                    self.again(purpose, now + 4 * LEAST_BETWEEN);
                    self.confirm(now);
                }
            }
        }
    }

    fn confirm(&mut self, now: Micros) {
        let server = self.loops.get(&Purpose::Health).map_or(0, |l| l.server);
        let l = self.loops.entry(Purpose::Confirm).or_insert(Loop { server, ..Loop::default() });
        if l.call.is_none() {
            (l.due, l.server) = (now, server);
            self.call(now, Purpose::Confirm);
        }
    }

    /// A listing counts.
    fn take(&mut self, now: Micros, listed: Listed) {
        self.doubted = None;
        self.report.taken += 1;
        self.heard = Some(now);
        let mut names: BTreeSet<String> = self.entries.keys().cloned().collect();
        // An entry that can't be used any more does not lose its host, but nothing new goes there.
        let mut entries = listed.entries;
        for bad in &listed.bad {
            if let Some(have) = self.entries.get(&bad.name)
                && !entries.contains_key(&bad.name)
            {
                let mut kept = have.clone();
                kept.host.state = HostState::Draining;
                entries.insert(bad.name.clone(), kept);
            }
        }
        names.extend(entries.keys().cloned());
        names.retain(|name| self.entries.get(name) != entries.get(name));
        self.entries = entries;
        let first = !std::mem::replace(&mut self.began, true);
        let names = if first { self.entries.keys().cloned().collect() } else { names.into_iter().collect() };
        self.tell(now, names);
        if first && self.entries.is_empty() {
            self.updates.push(Update::Hosts(Vec::new()));
        }
    }

    /// Tells what these hosts now count as, if that changed.
    fn tell(&mut self, now: Micros, names: Vec<String>) {
        let mut changed = Vec::new();
        for name in names {
            let Some(entry) = self.entries.get(&name) else {
                self.damping.told(now, &name, false);
                if let Some(gone) = self.told.remove(&name) {
                    changed.push(HostEntry { state: HostState::Gone, ..gone });
                }
                continue;
            };
            let member = self.members.get(&entry.node).map_or(HostState::Ready, |m| m.state());
            let good = entry.host.state == HostState::Ready && member == HostState::Ready;
            let counts = self.damping.told(now, &name, good);
            let state = if counts { HostState::Ready } else { HostState::Draining };
            let told = HostEntry { state, ..entry.host.clone() };
            if self.told.get(&name).is_none_or(|t| *t != told) {
                changed.push(told.clone());
                self.told.insert(name, told);
            }
        }
        if !changed.is_empty() {
            self.updates.push(Update::Hosts(changed));
        }
    }

    fn lease_told(&self, call: CallId, status: u16, body: &[u8]) -> Told {
        let Some((asked, ask)) = &self.lease_ask else { return Told::Failed };
        if *asked != call {
            return Told::Failed;
        }
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (ask, status) {
            (Ask::Create, 200) => match json["ID"].as_str() {
                Some(id) => Told::Created(id.to_owned()),
                None => Told::Failed,
            },
            (Ask::Renew(_), 200) => Told::Renewed,
            (Ask::Renew(_), 404) => Told::Gone,
            // No key was ever locked.
            (Ask::List, 404) => Told::Held(BTreeSet::new()),
            (Ask::List, 200) => {
                let Some(all) = json.as_array() else { return Told::Failed };
                let held = all.iter().filter(|k| k["Session"].as_str().is_some_and(|s| !s.is_empty()));
                let slot = |k: &Value| k["Key"].as_str()?.rsplit('/').next()?.parse().ok();
                Told::Held(held.filter_map(slot).collect())
            }
            (Ask::Acquire(..), 200) => match json.as_bool() {
                Some(acquired) => Told::Acquired(acquired),
                None => Told::Failed,
            },
            _ => Told::Failed,
        }
    }

    fn lease_done(&mut self, now: Micros, told: Told) {
        self.lease_ask = None;
        if let Some(lease) = &mut self.lease {
            lease.told(now, told);
        }
        self.fence(now);
        self.lease_step(now);
    }
}
