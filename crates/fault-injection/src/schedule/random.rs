//! Random schedules, generated from a seed.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use super::{
    Fault, FaultKind, Schedule, default_forget_after_s, default_hosts, default_settle_s,
    default_speedup,
};

impl Schedule {
    /// A random schedule from a seed. Which kinds of faults occur at all is random too.
    pub fn random(seed: u64, placers: usize, fault_phase_s: f64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00f1_ee70);
        let mut draw = move |below: u64| (rng.next_u64() % below.max(1)) as usize;
        let enabled_kinds = draw(1 << 9);
        let mut faults = Vec::new();
        // A placer is killed, lost or paused at most once, so that the state of its process is always unambiguous.
        let mut unaffected: Vec<usize> = (0..placers).collect();
        let mut has_rolling_restart = false;
        for _ in 0..3 + draw(6) {
            let at_s = 1.0 + draw(((fault_phase_s - 4.0).max(1.0) * 10.0) as u64) as f64 / 10.0;
            let duration_s = (1.0 + draw(80) as f64 / 10.0).min(fault_phase_s - at_s - 0.5);
            let (from, to) = (draw(placers as u64), draw(placers as u64));
            let kind = match draw(10) {
                9 if from != to => FaultKind::Link {
                    from,
                    to,
                    share: draw(100) as f64 / 100.0,
                    max_latency_ms: 5.0 + draw(500) as f64,
                },
                0 if enabled_kinds & 1 != 0 => FaultKind::Loss {
                    share: draw(25) as f64 / 100.0,
                    max_latency_ms: 5.0 + draw(60) as f64,
                },
                1 if enabled_kinds & 2 != 0 => FaultKind::Late {
                    share: draw(10) as f64 / 100.0,
                    by_s: draw(15) as f64,
                },
                2 if enabled_kinds & 4 != 0 => {
                    let mut parts = vec![Vec::new(); 2 + draw(2)];
                    let part_count = parts.len() as u64;
                    (0..placers).for_each(|p| parts[draw(part_count)].push(p));
                    FaultKind::Partition { parts }
                }
                3 if enabled_kinds & 8 != 0 && from != to => FaultKind::OneWay { from, to },
                4 if enabled_kinds & 16 != 0 => FaultKind::Unheard {
                    placers: vec![from],
                },
                5 if enabled_kinds & 32 != 0 && from != to => FaultKind::Flap { from, to },
                6 if enabled_kinds & 64 != 0 && !has_rolling_restart && unaffected.len() > 1 => {
                    FaultKind::Kill {
                        placers: take_random(&mut draw, &mut unaffected, placers / 2),
                    }
                }
                7 if enabled_kinds & 128 != 0 && !has_rolling_restart && unaffected.len() > 2 => {
                    FaultKind::Lose {
                        placers: take_random(&mut draw, &mut unaffected, 2),
                    }
                }
                8 if enabled_kinds & 256 != 0 && !has_rolling_restart && unaffected.len() > 1 => {
                    FaultKind::Pause {
                        placers: take_random(&mut draw, &mut unaffected, placers / 3),
                    }
                }
                _ if enabled_kinds & 448 == 0
                    && !has_rolling_restart
                    && unaffected.len() == placers
                    && duration_s > 3.0 =>
                {
                    has_rolling_restart = true;
                    FaultKind::RollingRestart
                }
                _ => continue,
            };
            faults.push(Fault {
                at_s,
                duration_s,
                kind,
            });
        }
        Schedule {
            placers,
            hosts: default_hosts(),
            fault_phase_s,
            settle_s: default_settle_s(),
            speedup: default_speedup(),
            forget_after_s: default_forget_after_s(),
            faults,
        }
    }
}

/// Removes a random number of placers, from 1 to `max`, from the unaffected ones.
fn take_random(
    draw: &mut impl FnMut(u64) -> usize,
    unaffected: &mut Vec<usize>,
    max: usize,
) -> Vec<usize> {
    let count = (1 + draw(max.max(1) as u64)).min(unaffected.len());
    (0..count)
        .map(|_| unaffected.swap_remove(draw(unaffected.len() as u64)))
        .collect()
}
