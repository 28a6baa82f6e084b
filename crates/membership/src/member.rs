//! The local member: its state, its timers, and what happens when they are due.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use foca::Timer;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

use crate::active_timers::ActiveTimers;
use crate::datagram::{Datagram, Message};
use crate::facts::Facts;
use crate::former_addresses::FormerAddresses;
use crate::identity::{MemberIdentity, NameHash};
use crate::keys::KeyRing;
use crate::local_health::LocalHealth;
use crate::member_table::{MemberState, MemberTable, MembershipChange, Micros};
use crate::name_conflict::{NameClaim, NameConflict};
use crate::notice_limiter::NoticeLimiter;
use crate::send_times::SendTimes;
use crate::settings::Settings;
use crate::shared_state::{Shared, SharedState};
use crate::swim::{Swim, new_swim};
use crate::view::{DatagramCounters, Notice};
use crate::view_digest::ViewDigest;

mod anti_entropy;
mod conflicts;
mod discovery;
mod messages;
mod pauses;
mod publishing;
mod snapshot;
mod table_updates;

/// A probe by the local member itself as the source of a change, in [`MembershipChange::reported_by`].
pub const OWN_PROBE: &str = "a test of its own";
/// The local member as the source of a change. Published in JSON, as are the others here.
const ITSELF: &str = "itself";
/// The end of the time for which a member that is gone is remembered, as the source of a change.
const EXPIRY: &str = "time";

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// Take note of a change of the view.
    Changed(MembershipChange),
    /// Take note of an event that concerns this member itself.
    Notice(Notice),
}

/// What a timer is for.
enum MemberTimer {
    /// A timer of the SWIM library; void if the library was restarted since.
    Swim {
        restarts: u32,
        timer: Timer<MemberIdentity>,
    },
    CompareViews,
    DiscoverPeers,
    PublishFacts,
    AnnounceLeave {
        remaining: u32,
    },
    CheckNameConflict,
}

/// What the local member publishes about itself.
struct PublishedFacts {
    facts: Facts,
    sequence: u32,
    published_at: Micros,
    is_update_scheduled: bool,
}

/// The local member of a fleet.
pub struct LocalMember {
    settings: Settings,
    rng: Pcg64Mcg,
    swim: Swim,
    swim_restarts: u32,
    shared: Shared,
    timers: ActiveTimers<MemberTimer>,
    table: MemberTable,
    outputs: Vec<Output>,
    counters: DatagramCounters,
    send_times: SendTimes,
    former_addresses: FormerAddresses,
    notice_limiter: NoticeLimiter,
    /// Another process holds the name of this one.
    name_conflict: Option<NameConflict>,
    /// Another process claims the name that this one holds.
    name_claim: Option<NameClaim>,
    published: PublishedFacts,
    is_leaving: bool,
    last_call: Micros,
    health: LocalHealth,
    digest: ViewDigest,
    /// When views are compared next, in active time.
    next_comparison_at: Micros,
}

fn as_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl LocalMember {
    /// A member that knows nobody yet and contacts its seeds at once. Equal seeds and inputs give equal outputs.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> LocalMember {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let identity = MemberIdentity {
            name: settings.name.clone(),
            address: settings.advertised_address,
            generation: settings.generation,
        };
        let shared = SharedState::new(identity, settings.timing.max_members);
        let shared = Rc::new(RefCell::new(shared));
        let mut member = LocalMember {
            swim: new_swim(&settings.timing, &mut rng, &shared),
            rng,
            swim_restarts: 0,
            shared,
            timers: ActiveTimers::default(),
            table: MemberTable::default(),
            outputs: Vec::new(),
            counters: DatagramCounters::default(),
            send_times: SendTimes::default(),
            former_addresses: FormerAddresses::default(),
            notice_limiter: NoticeLimiter::default(),
            name_conflict: None,
            name_claim: None,
            published: PublishedFacts {
                facts: settings.facts.clone(),
                sequence: 0,
                published_at: 0,
                is_update_scheduled: false,
            },
            is_leaving: false,
            last_call: now,
            health: LocalHealth::default(),
            digest: ViewDigest::new(now),
            next_comparison_at: 0,
            settings,
        };
        member.publish_facts(now);
        member.discover_peers(now);
        member.schedule_comparison(now, member.settings.timing.anti_entropy_interval);
        member.update_digest(now);
        member
    }

    /// Takes what has to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`LocalMember::tick`] has to be called at the latest.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.next_due_at()
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Micros) {
        self.account_for_pause(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                MemberTimer::Swim { restarts, timer } if restarts == self.swim_restarts => {
                    self.handle_swim_timer(now, timer);
                }
                MemberTimer::Swim { .. } => {}
                MemberTimer::CompareViews => self.compare_views(now),
                MemberTimer::DiscoverPeers => self.discover_peers(now),
                MemberTimer::PublishFacts => self.publish_scheduled_facts(now),
                MemberTimer::AnnounceLeave { remaining } => self.announce_leave(now, remaining),
                MemberTimer::CheckNameConflict => self.check_name_conflict(now),
            }
        }
    }

    fn handle_swim_timer(&mut self, now: Micros, timer: Timer<MemberIdentity>) {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        let removed = match &timer {
            Timer::RemoveDown(identity) => Some(identity.clone()),
            _ => None,
        };
        if is_probe {
            self.health.record_probe();
        }
        self.with_swim(now, OWN_PROBE, |swim, output| {
            swim.handle_timer(timer, output)
        });
        if is_probe {
            self.report_new_suspects(now);
        }
        if let Some(identity) = removed {
            self.refresh_member(now, &identity, EXPIRY);
        }
    }

    /// Uses other keys from now on.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.settings.keys = keys;
    }

    /// What this member publishes about itself.
    pub fn facts(&self) -> &Facts {
        &self.published.facts
    }

    /// The digest of the view, see [`crate::MembershipView::digest`].
    pub fn digest(&self) -> u64 {
        self.digest.value
    }

    /// The state of another member by its name; `None` if it is unknown.
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.table.get(NameHash::of(name)).map(|known| known.state)
    }

    /// The number of live members, this one included.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// How many entries are kept for other members, live or gone, in all tables together.
    pub fn entry_count(&self) -> usize {
        self.table.len()
            + self.shared.borrow().facts.len()
            + self.send_times.len()
            + self.notice_limiter.len()
            + self.former_addresses.len()
    }

    fn identity(&self) -> MemberIdentity {
        self.shared.borrow().identity.clone()
    }

    /// Signs a message and has it sent.
    fn send(&mut self, now: Micros, to: SocketAddr, message: Message) {
        let datagram = Datagram {
            sender: self.identity(),
            sent_at: self.timers.active_time(now),
            message,
        };
        if let Some(bytes) = self.settings.keys.seal(&datagram) {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.outputs.push(Output::Send(to, bytes));
        }
    }
}
