//! Schedules drawn from a seed.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use super::{Fault, Kind, Schedule, faster, forget_after, hosts, settle};

impl Schedule {
    /// A schedule drawn from a seed: which kinds exist at all is drawn too.
    pub fn random(seed: u64, placers: usize, faults_s: f64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00f1_ee70);
        let mut draw = move |below: u64| (rng.next_u64() % below.max(1)) as usize;
        let kinds = draw(1 << 9);
        let mut fault = Vec::new();
        // A placer is killed, lost or paused at most once, so that the drill knows at any time which it is.
        let mut free: Vec<usize> = (0..placers).collect();
        let mut rolls = false;
        for _ in 0..3 + draw(6) {
            let at_s = 1.0 + draw(((faults_s - 4.0).max(1.0) * 10.0) as u64) as f64 / 10.0;
            let for_s = (1.0 + draw(80) as f64 / 10.0).min(faults_s - at_s - 0.5);
            let (from, to) = (draw(placers as u64), draw(placers as u64));
            let kind = match draw(10) {
                9 if from != to => Kind::Link {
                    from,
                    to,
                    share: draw(100) as f64 / 100.0,
                    max_latency_ms: 5.0 + draw(500) as f64,
                },
                0 if kinds & 1 != 0 => Kind::Loss {
                    share: draw(25) as f64 / 100.0,
                    max_latency_ms: 5.0 + draw(60) as f64,
                },
                1 if kinds & 2 != 0 => Kind::Late {
                    share: draw(10) as f64 / 100.0,
                    by_s: draw(15) as f64,
                },
                2 if kinds & 4 != 0 => {
                    let mut parts = vec![Vec::new(); 2 + draw(2)];
                    let ways = parts.len() as u64;
                    (0..placers).for_each(|p| parts[draw(ways)].push(p));
                    Kind::Partition { parts }
                }
                3 if kinds & 8 != 0 && from != to => Kind::OneWay { from, to },
                4 if kinds & 16 != 0 => Kind::Unheard {
                    placers: vec![from],
                },
                5 if kinds & 32 != 0 && from != to => Kind::Flap { from, to },
                6 if kinds & 64 != 0 && !rolls && free.len() > 1 => Kind::Kill {
                    placers: take_some(&mut draw, &mut free, placers / 2),
                },
                7 if kinds & 128 != 0 && !rolls && free.len() > 2 => Kind::Lose {
                    placers: take_some(&mut draw, &mut free, 2),
                },
                8 if kinds & 256 != 0 && !rolls && free.len() > 1 => Kind::Pause {
                    placers: take_some(&mut draw, &mut free, placers / 3),
                },
                _ if kinds & 448 == 0 && !rolls && free.len() == placers && for_s > 3.0 => {
                    rolls = true;
                    Kind::RollingRestart
                }
                _ => continue,
            };
            fault.push(Fault { at_s, for_s, kind });
        }
        Schedule {
            placers,
            hosts: hosts(),
            faults_s,
            settle_s: settle(),
            faster: faster(),
            forget_after_s: forget_after(),
            fault,
        }
    }
}

/// Takes some of the free ones, at most so many.
fn take_some(draw: &mut impl FnMut(u64) -> usize, free: &mut Vec<usize>, max: usize) -> Vec<usize> {
    let n = (1 + draw(max.max(1) as u64)).min(free.len());
    (0..n)
        .map(|_| free.swap_remove(draw(free.len() as u64)))
        .collect()
}
