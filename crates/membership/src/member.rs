//! The local member: its state and the dispatch of its timers.

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

/// [`MembershipChange::reported_by`] of a change found by a probe of the local member. Published in JSON.
pub const OWN_PROBE: &str = "a test of its own";
/// [`MembershipChange::reported_by`] of a change that the local member made on its own, such as the start of a new
/// generation. Published in JSON.
const REPORTED_BY_SELF: &str = "itself";
/// [`MembershipChange::reported_by`] of the removal of a member because it was down, or had left, for
/// [`crate::Timing::removal_delay`]. Published in JSON.
const REPORTED_BY_EXPIRY: &str = "time";

/// An action or event for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to an address.
    Send(SocketAddr, Vec<u8>),
    /// The view has changed.
    Changed(MembershipChange),
    /// An event that concerns the local member itself.
    Notice(Notice),
}

/// The action of a timer.
enum MemberTimer {
    /// A timer of the SWIM library. It is ignored if the library has been restarted since it was set.
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

/// The facts that the local member publishes, and when they were last published.
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
    /// Set while another process holds the local member's name.
    name_conflict: Option<NameConflict>,
    /// The last claim by another process to the local member's name.
    name_claim: Option<NameClaim>,
    published: PublishedFacts,
    is_leaving: bool,
    last_called_at: Micros,
    health: LocalHealth,
    digest: ViewDigest,
    /// When the next comparison of views is due, in active time.
    next_comparison_at: Micros,
}

fn as_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl LocalMember {
    /// Creates a member with an empty view, which contacts its seeds immediately. The outputs are determined by the seed
    /// of the random number generator and the inputs.
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
            last_called_at: now,
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

    /// Takes the pending outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The latest time at which [`LocalMember::tick`] must be called.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.next_due_at()
    }

    /// Handles the timers that are due.
    pub fn tick(&mut self, now: Micros) {
        self.detect_pause(now);
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
            self.refresh_member(now, &identity, REPORTED_BY_EXPIRY);
        }
    }

    /// Replaces the keys of the fleet.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.settings.keys = keys;
    }

    /// The facts that the local member publishes.
    pub fn facts(&self) -> &Facts {
        &self.published.facts
    }

    /// The digest of the view; see [`crate::MembershipView::digest`].
    pub fn digest(&self) -> u64 {
        self.digest.value
    }

    /// The state of another member; `None` if no member with this name is known.
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.table.get(NameHash::of(name)).map(|known| known.state)
    }

    /// The number of live members, including the local one.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// The total number of entries for other members in all tables, including members that are down or have left.
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

    /// Signs a message and queues it for sending.
    fn send(&mut self, now: Micros, to: SocketAddr, message: Message) {
        let datagram = Datagram {
            sender: self.identity(),
            sent_at: self.timers.active_time(now),
            message,
        };
        if let Some(bytes) = self.settings.keys.encode_signed(&datagram) {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.outputs.push(Output::Send(to, bytes));
        }
    }
}
