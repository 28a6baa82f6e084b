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
const HALF_LIFE: Micros = 4_000_000;
/// Good news waits once the penalty is above this: a first loss and return, and a second one soon after, do not.
const SUPPRESS: f64 = 2.2;
/// ...until it has decayed below this.
const REUSE: f64 = 1.0;
/// The penalty grows no further, so that a host which has settled waits no longer than log2(CEILING / REUSE)
/// half-lives: 8 s.
const CEILING: f64 = 4.0;
/// A release is put off by up to this more, drawn, so that placers do not all return at once.
const SPREAD: Micros = 1_000_000;
/// What has no penalty left and was not heard of for this long is forgotten.
const FORGET: Micros = 120_000_000;

/// Which rule decides, to compare them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
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
struct Flaps {
    penalty: f64,
    /// When the penalty had this value.
    at: Micros,
    good: bool,
    /// Good news waits until then.
    until: Option<Micros>,
}

impl Flaps {
    fn now(&self, now: Micros) -> f64 {
        let halvings = now.saturating_sub(self.at) as f64 / HALF_LIFE as f64;
        self.penalty * (-halvings).exp2()
    }
}

/// Decides when hosts count as good. `K` names a host.
#[derive(Debug)]
pub struct Damping<K> {
    policy: Policy,
    rng: Pcg64Mcg,
    hosts: BTreeMap<K, Flaps>,
    most: usize,
    swept: Micros,
}

impl<K: Ord + Clone> Damping<K> {
    /// Remembers up to `most` hosts; those beyond are not damped.
    pub fn new(policy: Policy, most: usize, seed: u64) -> Damping<K> {
        Damping {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            most,
            swept: 0,
        }
    }

    /// A host is told as good or bad. Returns whether it counts as good now.
    pub fn told(&mut self, now: Micros, host: &K, good: bool) -> bool {
        self.sweep(now);
        if !self.hosts.contains_key(host) {
            if self.hosts.len() < self.most {
                // What is first heard of did not flap.
                let flaps = Flaps {
                    penalty: 0.0,
                    at: now,
                    good,
                    until: None,
                };
                self.hosts.insert(host.clone(), flaps);
            }
            return good;
        }
        let draw = self.rng.next_u64() % SPREAD;
        let Some(flaps) = self.hosts.get_mut(host) else {
            return good;
        };
        let penalty = flaps.now(now);
        if !good {
            // Only a loss of what was good is a flap; the same bad news again is not.
            let more = if flaps.good { 1.0 } else { 0.0 };
            *flaps = Flaps {
                penalty: (penalty + more).min(CEILING),
                at: now,
                good: false,
                until: None,
            };
            return false;
        }
        if !flaps.good {
            flaps.good = true;
            flaps.until = match self.policy {
                Policy::Off => None,
                Policy::Hold(span) => Some(now + span),
                Policy::Penalty if penalty <= SUPPRESS => None,
                Policy::Penalty => {
                    let halvings = (penalty / REUSE).log2().max(0.0);
                    Some(now + (halvings * HALF_LIFE as f64) as Micros + draw)
                }
            };
        }
        flaps.until = flaps.until.filter(|&until| until > now);
        flaps.until.is_none()
    }

    /// Hosts whose good news has waited long enough, and count as good from now on.
    pub fn due(&mut self, now: Micros) -> Vec<K> {
        let ripe = |f: &Flaps| f.good && f.until.is_some_and(|until| until <= now);
        let due: Vec<K> = self
            .hosts
            .iter()
            .filter(|(_, f)| ripe(f))
            .map(|(k, _)| k.clone())
            .collect();
        for host in &due {
            if let Some(flaps) = self.hosts.get_mut(host) {
                flaps.until = None;
            }
        }
        due
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.hosts.values().filter_map(|f| f.until).min()
    }

    /// Whether a host's good news waits.
    pub fn waits(&self, host: &K) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|f| f.good && f.until.is_some())
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.hosts.values().filter(|f| f.until.is_some()).count()
    }

    fn sweep(&mut self, now: Micros) {
        if now < self.swept + FORGET {
            return;
        }
        self.swept = now;
        // A host that was bad for so long and is told as good then is as one first heard of.
        self.hosts
            .retain(|_, f| f.until.is_some() || f.at + FORGET > now || f.good);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn damping() -> Damping<u32> {
        Damping::new(Policy::Penalty, 100, 1)
    }

    #[test]
    fn a_first_loss_and_return_is_not_held_up() {
        let mut d = damping();
        assert!(d.told(0, &1, true));
        assert!(!d.told(S, &1, false));
        assert!(d.told(2 * S, &1, true));
        assert_eq!(d.next(), None);
    }

    #[test]
    fn a_host_that_flaps_waits_and_is_back_soon_after_it_has_settled() {
        let mut d = damping();
        let mut now = 0;
        d.told(now, &1, true);
        let mut held = 0;
        for _ in 0..20 {
            now += S;
            assert!(!d.told(now, &1, false), "bad news counts at once");
            now += S;
            held += u32::from(!d.told(now, &1, true));
        }
        assert!(held >= 15, "held back {held} times of 20");
        // It has settled: back within the bound, and not told again before.
        let until = d.next().expect("it waits");
        assert!(until > now && until <= now + 9 * S, "{until} after {now}");
        assert!(d.due(until - 1).is_empty());
        assert!(!d.told(until - 1, &1, true));
        assert_eq!(d.due(until), [1]);
        assert!(d.told(until + 1, &1, true));
        assert_eq!(d.next(), None);
    }

    #[test]
    fn bad_news_ends_a_wait_and_repeats_count_once() {
        let mut d = damping();
        let mut now = 0;
        d.told(now, &1, true);
        for _ in 0..4 {
            now += S / 2;
            d.told(now, &1, false);
            now += S / 2;
            d.told(now, &1, true);
        }
        assert!(d.waits(&1));
        d.told(now, &1, false);
        assert!(
            !d.waits(&1) && d.due(now + 100 * S).is_empty(),
            "a bad host is never released"
        );
        // Saying the same again and again adds nothing: after a while it returns as if it had been lost once.
        for n in 0..40 {
            d.told(now + n * S, &1, false);
        }
        assert!(d.told(now + 40 * S, &1, true));
    }

    #[test]
    fn releases_of_many_hosts_and_placers_are_spread() {
        let mut at = Vec::new();
        for placer in 0..10 {
            let mut d = Damping::new(Policy::Penalty, 100, placer);
            for host in 0..20u32 {
                for n in 0..6 {
                    d.told(n * S, &host, n % 2 == 0);
                    d.told(n * S + S / 2, &host, n % 2 == 1);
                }
                d.told(6 * S, &host, false);
                d.told(7 * S, &host, true);
            }
            while let Some(next) = d.next() {
                at.extend(d.due(next).iter().map(|_| next));
            }
        }
        assert_eq!(at.len(), 200);
        at.sort_unstable();
        let bunch = at.windows(40).map(|w| w[39] - w[0]).min().expect("many");
        assert!(bunch > S / 20, "forty of 200 releases within {bunch} us");
    }

    #[test]
    fn the_other_policies_do_as_they_say() {
        let mut off = Damping::new(Policy::Off, 10, 1);
        let mut hold = Damping::new(Policy::Hold(3 * S), 10, 1);
        for n in 0..10 {
            off.told(2 * n * S, &1, false);
            hold.told(2 * n * S, &1, false);
            assert!(off.told(2 * n * S + S, &1, true));
            assert!(!hold.told(2 * n * S + S, &1, true));
        }
        assert_eq!(hold.next(), Some(22 * S));
    }

    #[test]
    fn remembers_no_more_than_it_may() {
        let mut d = Damping::new(Policy::Penalty, 2, 1);
        for host in 0..5u32 {
            assert!(d.told(0, &host, true));
        }
        assert_eq!(d.hosts.len(), 2);
        // What is beyond is not damped, and its bad news counts all the same.
        assert!(!d.told(1, &4, false));
        assert!(d.told(2, &4, true));
    }
}
