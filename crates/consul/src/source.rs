//! The source of hosts and slots: what is to be asked of Consul, and what its answers come to.

use std::collections::{BTreeMap, VecDeque};

use maplethread_config::{Consul, Damping as DampingKind, HostEntry, PlacerConfig, Reads};
use maplethread_damping::{Damping, Policy};
use maplethread_wire::http::Message;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};

use self::lists::{Reading, Unread};
use crate::Micros;
use crate::catalogue::{Answer, Entries, Known, Listed, Member, MemberRows};
use crate::lease::{Ask, Lease, Told};

use crate::query::{BackOff, Meta, Mode, Target, escape};
use crate::trust::Trust;
use crate::watch::{Next, Watch, nothing};

mod lists;
mod slots;

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
    /// Answers that wait to be read, one of each kind at most.
    unread: VecDeque<Unread>,
    reading: Option<Reading>,
    /// The last answers as they were read.
    answer: Answer,
    member_rows: MemberRows,
    /// Hosts of which there is news that was not yet told.
    untold: VecDeque<String>,
    /// What was last taken, by name.
    entries: Entries,
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
        let lease = consul
            .membership
            .as_ref()
            .map(|m| Lease::new(placer.placer.placers, m.ttl_ms * 1000, seed ^ 1));
        let wait = consul.wait_ms * 1000;
        let left =
            (placer.rules.ask_within_ms * 1000).saturating_sub(wait + wait / 16 + LATE_MARGIN);
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
            unread: VecDeque::new(),
            reading: None,
            answer: Answer::default(),
            member_rows: MemberRows::default(),
            untold: VecDeque::new(),
            entries: Entries::new(),
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
            source.loops.insert(
                purpose,
                Loop {
                    server: first,
                    ..Loop::default()
                },
            );
        }
        if source.lease.is_some() {
            source.loops.insert(
                Purpose::Lease,
                Loop {
                    server: first,
                    ..Loop::default()
                },
            );
        }
        source
    }

    /// The placer serves under this name and address, and registers itself if it has slots.
    pub fn serves(&mut self, name: &str, address: std::net::SocketAddr) {
        if self.lease.is_some() {
            self.own = Some((name.to_owned(), address));
            let server = self.loops.get(&Purpose::Health).map_or(0, |l| l.server);
            self.loops.insert(
                Purpose::Register,
                Loop {
                    server,
                    ..Loop::default()
                },
            );
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
        let loops = self
            .loops
            .iter()
            .filter(|(p, l)| l.call.is_none() && **p != Purpose::Lease)
            .map(|(_, l)| l.due);
        let lease = self.lease.as_ref().and_then(|l| l.due(now));
        let own = self
            .lease
            .as_ref()
            .and_then(Lease::until)
            .filter(|&u| u > now && self.slot.is_some());
        let busy = self.busy().then_some(now);
        busy.into_iter()
            .chain(loops)
            .chain(lease)
            .chain(own)
            .chain(self.damping.next())
            .chain(self.trust.due())
            .min()
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
        self.digest(now);
        let released = self.damping.due(now);
        self.tell(now, released);
        for purpose in [
            Purpose::Health,
            Purpose::Members,
            Purpose::Register,
            Purpose::Pass,
        ] {
            if self
                .loops
                .get(&purpose)
                .is_some_and(|l| l.call.is_none() && l.due <= now)
            {
                self.call(now, purpose);
            }
        }
        self.lease_step(now);
    }

    fn target(&self, path: String) -> Target {
        Target::new(path).maybe("dc", self.config.datacentre.as_deref())
    }

    fn health(&self, mode: Mode, filter: Option<&str>) -> Target {
        let path = format!("/v1/health/service/{}", escape(&self.config.service));
        self.target(path).maybe("filter", filter).mode(mode)
    }

    fn send(
        &mut self,
        purpose: Purpose,
        server: usize,
        request: Vec<u8>,
        within: Micros,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        self.out.push(Out::Call {
            call,
            server,
            request,
            within,
        });
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
                let next = if self.index > 0 {
                    self.watch.next(now)
                } else {
                    Next::Whole
                };
                self.watching = next == Next::Watch;
                let empty = self
                    .watching
                    .then(|| nothing(self.config.filter.as_deref()));
                let mut target =
                    self.health(mode, empty.as_deref().or(self.config.filter.as_deref()));
                let mut within = self.late;
                if next != Next::Whole {
                    target = target
                        .with("index", &self.index.to_string())
                        .with("wait", &format!("{wait}ms"));
                    // The server adds up to a sixteenth of the wait.
                    within += (wait + wait / 16) * 1000;
                }
                (target, "GET", Value::Null, within)
            }
            Purpose::Confirm => (
                self.health(Mode::Consistent, self.config.filter.as_deref()),
                "GET",
                Value::Null,
                SHORT,
            ),
            Purpose::Members => (Target::new("/v1/agent/members"), "GET", Value::Null, SHORT),
            Purpose::Register => {
                let Some((name, address)) = &self.own else {
                    return;
                };
                let Some(m) = &self.config.membership else {
                    return;
                };
                let body = json!({
                    "ID": name, "Name": m.service, "Address": address.ip().to_string(), "Port": address.port(),
                    "Check": {
                        "TTL": format!("{}ms", m.ttl_ms),
                        "DeregisterCriticalServiceAfter": "10m",
                    },
                });
                (
                    Target::new("/v1/agent/service/register"),
                    "PUT",
                    body,
                    SHORT,
                )
            }
            Purpose::Pass => {
                let Some((name, _)) = &self.own else { return };
                let path = format!("/v1/agent/check/pass/service:{}", escape(name));
                (Target::new(path), "PUT", Value::Null, SHORT)
            }
            Purpose::Lease => return,
        };
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let request = target.request(method, &self.who, self.token.as_deref(), &body);
        let server = self.loops.get(&purpose).map_or(0, |l| l.server);
        let call = self.send(purpose, server, request, within);
        self.loops.entry(purpose).or_default().call = Some(call);
    }

    /// A call's answer.
    pub fn answered(&mut self, now: Micros, call: CallId, message: Message) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        let status = message.head.status();
        if purpose == Purpose::Lease {
            let told = self.lease_told(call, status, &message.body);
            if told == Told::Failed {
                self.fail_over(Purpose::Lease);
            }
            self.lease_done(now, told);
            return;
        }
        if self
            .loops
            .get(&purpose)
            .is_none_or(|l| l.call != Some(call))
        {
            return;
        }
        if purpose == Purpose::Health && self.watching && status == 400 {
            self.watch.refused();
        }
        if status != 200 {
            let why =
                String::from_utf8_lossy(&message.body[..message.body.len().min(120)]).into_owned();
            self.fail(now, purpose, &format!("status {status}: {why}"));
            return;
        }
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.call = None;
        }
        let meta = Meta::of(&message);
        match purpose {
            Purpose::Health if self.watching && message.body.trim_ascii() == b"[]" => {
                self.at_rest(now, meta);
            }
            Purpose::Health | Purpose::Confirm | Purpose::Members => {
                // The next one is asked for when this one is read.
                self.again(purpose, Micros::MAX);
                self.unread.push_back(Unread {
                    purpose,
                    meta,
                    body: message.body,
                });
                return;
            }
            Purpose::Register => {
                let server = self.loops.remove(&purpose).map_or(0, |l| l.server);
                self.loops.insert(
                    Purpose::Pass,
                    Loop {
                        server,
                        due: now,
                        ..Loop::default()
                    },
                );
            }
            Purpose::Pass => {
                let ttl = self.config.membership.as_ref().map_or(10_000, |m| m.ttl_ms) * 1000;
                self.again(purpose, now + ttl / 3);
            }
            Purpose::Lease => {}
        }
        self.well(purpose);
    }

    fn well(&mut self, purpose: Purpose) {
        if let Some(l) = self.loops.get_mut(&purpose) {
            l.back_off.well();
        }
    }

    /// A call got no answer, or one that is no HTTP.
    pub fn failed(&mut self, now: Micros, call: CallId, why: &str) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if purpose == Purpose::Lease {
            self.fail_over(Purpose::Lease);
            self.lease_done(now, Told::Failed);
        } else if self
            .loops
            .get(&purpose)
            .is_some_and(|l| l.call == Some(call))
        {
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
        let Some(l) = self.loops.get_mut(&purpose) else {
            return;
        };
        l.call = None;
        let first = l.back_off.failures() == 0;
        l.due = now + l.back_off.failed(&mut self.rng);
        let server = self.config.servers[l.server];
        if first {
            tracing::warn!(%server, why, age_ms = self.heard.map(|h| (now - h) / 1000), "{purpose:?} query failed");
        }
        // A check that a restarted agent does not know: register anew.
        if purpose == Purpose::Pass
            && (why.starts_with("status 404") || why.contains("nknown check"))
        {
            let server = l.server;
            self.loops.remove(&Purpose::Pass);
            self.loops.insert(
                Purpose::Register,
                Loop {
                    server,
                    due: now,
                    ..Loop::default()
                },
            );
            return;
        }
        self.fail_over(purpose);
    }
}
