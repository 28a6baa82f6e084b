//! Flap damping: a decision module, free of I/O, clock, threads and globals, with seeded randomness.
//!
//! If the reported health of a host keeps changing, placers that followed each change would move tasks off the host and
//! back again. A bad report always takes effect at once, so that no task is placed on an unhealthy host (rule 3 of the
//! placers). A good report takes effect at once too, unless the host has flapped: then it is suppressed until a penalty
//! has decayed. The penalty is that of RFC 2439: it grows by one with each change from good to bad, decays with a
//! half-life, suppresses good reports above one limit and releases them at a lower one. A maximum penalty bounds the
//! delay, and random jitter spreads the releases, since all placers see the same flaps and would otherwise return to a
//! host at the same instant.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A point in time, or a span, in microseconds.
pub type Micros = u64;

/// The penalty halves in this time. Health checks run every few seconds, so a flap has decayed after a few of them.
const PENALTY_HALF_LIFE: Micros = 4_000_000;
/// Good reports are suppressed while the penalty is above this. A first loss and return, and a second one soon after,
/// are not suppressed.
const SUPPRESS_LIMIT: f64 = 2.2;
/// Suppressed good reports take effect once the penalty has decayed to this.
const REUSE_LIMIT: f64 = 1.0;
/// Maximum penalty. It bounds how long a host is suppressed after its last flap to log2(`MAX_PENALTY` / `REUSE_LIMIT`)
/// half-lives: 8 s.
const MAX_PENALTY: f64 = 4.0;
/// Maximum of the random time by which a release is delayed further, so that placers do not all place tasks on the host
/// again at the same time.
const MAX_RELEASE_JITTER: Micros = 1_000_000;
/// A bad host without a report for this long is removed; its penalty has decayed by then.
const RETENTION: Micros = 120_000_000;

/// The rule that decides when a good report takes effect. Those other than `Penalty` serve for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DampingPolicy {
    /// Penalties, as described above.
    #[default]
    Penalty,
    /// Good reports take effect at once.
    Off,
    /// A good report after a bad one is always suppressed for this long.
    Hold(Micros),
}

/// The damping state of one host.
#[derive(Clone, Copy, Debug)]
struct HostFlaps {
    penalty: f64,
    /// When the penalty had this value.
    updated_at: Micros,
    is_good: bool,
    /// A good report is suppressed until this time.
    suppressed_until: Option<Micros>,
}

impl HostFlaps {
    fn penalty_at(&self, now: Micros) -> f64 {
        let halvings = now.saturating_sub(self.updated_at) as f64 / PENALTY_HALF_LIFE as f64;
        self.penalty * (-halvings).exp2()
    }
}

/// Decides when hosts count as good. `K` identifies a host.
#[derive(Debug)]
pub struct FlapDamping<K> {
    policy: DampingPolicy,
    rng: Pcg64Mcg,
    hosts: BTreeMap<K, HostFlaps>,
    max_hosts: usize,
    last_cleanup: Micros,
}

impl<K: Ord + Clone> FlapDamping<K> {
    /// Creates an instance for up to `max_hosts` hosts. Hosts beyond that are not damped.
    pub fn new(policy: DampingPolicy, max_hosts: usize, seed: u64) -> FlapDamping<K> {
        FlapDamping {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            max_hosts,
            last_cleanup: 0,
        }
    }

    /// Handles a report that a host is good or bad. Returns whether the host counts as good now.
    pub fn observe(&mut self, now: Micros, host: &K, good: bool) -> bool {
        self.remove_stale(now);
        if !self.hosts.contains_key(host) {
            if self.hosts.len() < self.max_hosts {
                // A host without an earlier report has not flapped.
                let flaps = HostFlaps {
                    penalty: 0.0,
                    updated_at: now,
                    is_good: good,
                    suppressed_until: None,
                };
                self.hosts.insert(host.clone(), flaps);
            }
            return good;
        }
        let jitter = self.rng.next_u64() % MAX_RELEASE_JITTER;
        let Some(flaps) = self.hosts.get_mut(host) else {
            return good;
        };
        let penalty = flaps.penalty_at(now);
        if !good {
            // Only a change from good to bad is a flap; a repeated bad report is not.
            let increment = if flaps.is_good { 1.0 } else { 0.0 };
            *flaps = HostFlaps {
                penalty: (penalty + increment).min(MAX_PENALTY),
                updated_at: now,
                is_good: false,
                suppressed_until: None,
            };
            return false;
        }
        if !flaps.is_good {
            flaps.is_good = true;
            flaps.suppressed_until = match self.policy {
                DampingPolicy::Off => None,
                DampingPolicy::Hold(duration) => Some(now + duration),
                DampingPolicy::Penalty if penalty <= SUPPRESS_LIMIT => None,
                DampingPolicy::Penalty => {
                    let halvings = (penalty / REUSE_LIMIT).log2().max(0.0);
                    Some(now + (halvings * PENALTY_HALF_LIFE as f64) as Micros + jitter)
                }
            };
        }
        flaps.suppressed_until = flaps.suppressed_until.filter(|&until| until > now);
        flaps.suppressed_until.is_none()
    }

    /// Takes the hosts whose good report is no longer suppressed. They count as good from now on.
    pub fn release_due(&mut self, now: Micros) -> Vec<K> {
        let is_due =
            |f: &HostFlaps| f.is_good && f.suppressed_until.is_some_and(|until| until <= now);
        let due: Vec<K> = self
            .hosts
            .iter()
            .filter(|(_, f)| is_due(f))
            .map(|(k, _)| k.clone())
            .collect();
        for host in &due {
            if let Some(flaps) = self.hosts.get_mut(host) {
                flaps.suppressed_until = None;
            }
        }
        due
    }

    /// When the next good report is released.
    pub fn next_release(&self) -> Option<Micros> {
        self.hosts.values().filter_map(|f| f.suppressed_until).min()
    }

    /// Whether a host's good report is suppressed.
    pub fn is_suppressed(&self, host: &K) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|f| f.is_good && f.suppressed_until.is_some())
    }

    /// Number of hosts whose good report is suppressed.
    pub fn suppressed_count(&self) -> usize {
        self.hosts
            .values()
            .filter(|f| f.suppressed_until.is_some())
            .count()
    }

    fn remove_stale(&mut self, now: Micros) {
        if now < self.last_cleanup + RETENTION {
            return;
        }
        self.last_cleanup = now;
        // The next report on a removed host counts as its first one. Its penalty has decayed by then.
        self.hosts.retain(|_, f| {
            f.suppressed_until.is_some() || f.updated_at + RETENTION > now || f.is_good
        });
    }
}

#[cfg(test)]
mod tests;
