//! Flap damping: a decision module, free of I/O, clock, threads and globals, with seeded randomness.
//!
//! Health that changes again and again must not move work back and forth. Bad news always counts at once (rule 3 of
//! the placers holds whatever this module does). Good news counts at once too, until a host has flapped: then it
//! waits until a penalty has decayed. The penalty is that of RFC 2439 (a sum that grows by one with each loss and
//! decays with a half-life, with a limit that suppresses and a lower one that releases), with a ceiling that bounds
//! the wait, and with releases spread by a draw, since all placers see the same flaps and would else return to a
//! host in the same instant.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A point in time, or a span, in microseconds.
pub type Micros = u64;

/// The penalty halves in this time. Health checks come every few seconds; this forgets a flap after a few of them.
const PENALTY_HALF_LIFE: Micros = 4_000_000;
/// Good news waits once the penalty is above this: a first loss and return, and a second one soon after, do not.
const SUPPRESS_LIMIT: f64 = 2.2;
/// ...until it has decayed below this.
const REUSE_LIMIT: f64 = 1.0;
/// The penalty grows no further, so that a host which has settled waits no longer than log2(CEILING / REUSE)
/// half-lives: 8 s.
const MAX_PENALTY: f64 = 4.0;
/// A release is put off by up to this more, drawn, so that placers do not all return at once.
const MAX_RELEASE_JITTER: Micros = 1_000_000;
/// What has no penalty left and was not heard of for this long is forgotten.
const RETENTION: Micros = 120_000_000;

/// Which rule decides, to compare them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DampingPolicy {
    /// Penalties, as described above.
    #[default]
    Penalty,
    /// Good news counts at once.
    Off,
    /// Good news always waits this long.
    Hold(Micros),
}

/// What is known of one host.
#[derive(Clone, Copy, Debug)]
struct HostFlaps {
    penalty: f64,
    /// When the penalty had this value.
    updated_at: Micros,
    is_good: bool,
    /// Good news waits until then.
    held_until: Option<Micros>,
}

impl HostFlaps {
    fn penalty_at(&self, now: Micros) -> f64 {
        let halvings = now.saturating_sub(self.updated_at) as f64 / PENALTY_HALF_LIFE as f64;
        self.penalty * (-halvings).exp2()
    }
}

/// Decides when hosts count as good. `K` names a host.
#[derive(Debug)]
pub struct FlapDamping<K> {
    policy: DampingPolicy,
    rng: Pcg64Mcg,
    hosts: BTreeMap<K, HostFlaps>,
    max_hosts: usize,
    last_sweep: Micros,
}

impl<K: Ord + Clone> FlapDamping<K> {
    /// Remembers up to `most` hosts; those beyond are not damped.
    pub fn new(policy: DampingPolicy, max_hosts: usize, seed: u64) -> FlapDamping<K> {
        FlapDamping {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            max_hosts,
            last_sweep: 0,
        }
    }

    /// A host is told as good or bad. Returns whether it counts as good now.
    pub fn observe(&mut self, now: Micros, host: &K, good: bool) -> bool {
        self.forget_stale(now);
        if !self.hosts.contains_key(host) {
            if self.hosts.len() < self.max_hosts {
                // What is first heard of did not flap.
                let flaps = HostFlaps {
                    penalty: 0.0,
                    updated_at: now,
                    is_good: good,
                    held_until: None,
                };
                self.hosts.insert(host.clone(), flaps);
            }
            return good;
        }
        let draw = self.rng.next_u64() % MAX_RELEASE_JITTER;
        let Some(flaps) = self.hosts.get_mut(host) else {
            return good;
        };
        let penalty = flaps.penalty_at(now);
        if !good {
            // Only a loss of what was good is a flap; the same bad news again is not.
            let more = if flaps.is_good { 1.0 } else { 0.0 };
            *flaps = HostFlaps {
                penalty: (penalty + more).min(MAX_PENALTY),
                updated_at: now,
                is_good: false,
                held_until: None,
            };
            return false;
        }
        if !flaps.is_good {
            flaps.is_good = true;
            flaps.held_until = match self.policy {
                DampingPolicy::Off => None,
                DampingPolicy::Hold(span) => Some(now + span),
                DampingPolicy::Penalty if penalty <= SUPPRESS_LIMIT => None,
                DampingPolicy::Penalty => {
                    let halvings = (penalty / REUSE_LIMIT).log2().max(0.0);
                    Some(now + (halvings * PENALTY_HALF_LIFE as f64) as Micros + draw)
                }
            };
        }
        flaps.held_until = flaps.held_until.filter(|&until| until > now);
        flaps.held_until.is_none()
    }

    /// Hosts whose good news has waited long enough, and count as good from now on.
    pub fn release_due(&mut self, now: Micros) -> Vec<K> {
        let ripe = |f: &HostFlaps| f.is_good && f.held_until.is_some_and(|until| until <= now);
        let due: Vec<K> = self
            .hosts
            .iter()
            .filter(|(_, f)| ripe(f))
            .map(|(k, _)| k.clone())
            .collect();
        for host in &due {
            if let Some(flaps) = self.hosts.get_mut(host) {
                flaps.held_until = None;
            }
        }
        due
    }

    /// When the next one is due.
    pub fn next_release(&self) -> Option<Micros> {
        self.hosts.values().filter_map(|f| f.held_until).min()
    }

    /// Whether a host's good news waits.
    pub fn is_held(&self, host: &K) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|f| f.is_good && f.held_until.is_some())
    }

    /// How many wait.
    pub fn suppressed_count(&self) -> usize {
        self.hosts
            .values()
            .filter(|f| f.held_until.is_some())
            .count()
    }

    fn forget_stale(&mut self, now: Micros) {
        if now < self.last_sweep + RETENTION {
            return;
        }
        self.last_sweep = now;
        // A host that was bad for so long and is told as good then is as one first heard of.
        self.hosts
            .retain(|_, f| f.held_until.is_some() || f.updated_at + RETENTION > now || f.is_good);
    }
}

#[cfg(test)]
mod tests;
