//! Schedules of faults drawn from a seed, for the model: which kinds exist at all is drawn too.

use maplethread_membership::MemberState;
use maplethread_simnet::Link;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::model::{MS, Model, S, member_name};

/// What a schedule came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleResult {
    /// Members at its end.
    pub members: usize,
    /// How long it took to settle once faults had stopped, µs.
    pub settled_after: Option<u64>,
    /// Members that ran, could be reached, and were called down before the faults began.
    pub false_alarms_before_faults: u64,
    /// Members that are gone and came back in some view after all had settled.
    pub resurrected_members: usize,
    /// The most that one member held for another.
    pub max_entries: usize,
    /// What was wrong, for a person.
    pub failure: Option<String>,
}

/// Faults stop this long after the start; settling is waited for this long.
const FAULTS_END: u64 = 90 * S;
const SETTLE_TIMEOUT: u64 = 90 * S;

/// Plays the schedule of a seed.
pub fn run_random_schedule(seed: u64) -> ScheduleResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = move |below: u64| rng.next_u64() % below.max(1);
    let mut model = Model::new(seed);
    model.timing.forget_after = std::time::Duration::from_secs([30, 600][draw(2) as usize]);
    let count = 2 + draw(15) as usize;
    model.seeds = (0..1 + draw(3) as usize).collect();
    let kinds = draw(256);
    model.start_all(count);
    model.run(10 * S);
    let early_alarms = model.statistics().false_alarms;
    model.counts_false_alarms = false;
    if kinds & 1 != 0 {
        let (loss, late) = (draw(25) as f64 / 100.0, draw(5) as f64 / 100.0);
        model.network.default_link = Link {
            loss_probability: loss,
            duplicate_probability: 0.05,
            max_latency: 50 * MS,
            late_probability: late,
            late_delay: 30 * S,
            ..Link::default()
        };
    }
    let (mut gone, mut next) = (Vec::new(), 1000);
    let mut now = 10 * S;
    while now < FAULTS_END {
        let places = model.places();
        let at = places[draw(places.len() as u64) as usize];
        match draw(8) {
            1 if kinds & 2 != 0 && places.len() > 1 => {
                gone.push(model.member_at(at));
                model.kill(at);
            }
            2 if kinds & 4 != 0 && places.len() > 1 => {
                gone.push(model.member_at(at));
                model.leave(at);
            }
            3 => {
                if let Some(member) = gone.pop() {
                    let off = if kinds & 8 != 0 {
                        draw(7_200_000) as i64 - 3_600_000
                    } else {
                        0
                    };
                    let same = draw(2) == 0 && !places.contains(&member);
                    let place = if same { member } else { next };
                    next += 1;
                    model.start_with(member, place, off, 0.95 + draw(10) as f64 / 100.0);
                }
            }
            4 if kinds & 16 != 0 => model.pause(at, 500 * MS + draw(20 * S)),
            5 if kinds & 32 != 0 => {
                let mut parts = vec![Vec::new(), Vec::new(), Vec::new()];
                let ways = 2 + draw(2);
                for &place in &places {
                    parts[draw(ways) as usize].push(place);
                }
                model.network.partition(&parts);
            }
            6 if kinds & 64 != 0 => {
                let other = places[draw(places.len() as u64) as usize];
                model.network.cut(at, other);
            }
            7 if kinds & 128 != 0 => model.network.heal(),
            _ => {}
        }
        let step = 200 * MS + draw(6 * S);
        model.run(step);
        now += step;
    }
    model.network.heal();
    model.network.default_link = Link::default();
    // Whoever stands still goes on, and what was late has come.
    model.run(20 * S);
    model.restart_seed_if_none_runs();
    let places = model.places();
    let settled = model.run_until_settled(&places, SETTLE_TIMEOUT);
    let ghosts = if settled.is_some() {
        model.run(40 * S);
        let running: Vec<usize> = places.iter().map(|&p| model.member_at(p)).collect();
        let ghost = |p: usize, g: usize| {
            !running.contains(&g)
                && model
                    .local_member(p)
                    .state_of(&member_name(g))
                    .is_some_and(MemberState::is_live)
        };
        places
            .iter()
            .map(|&p| gone.iter().filter(|&&g| ghost(p, g)).count())
            .sum()
    } else {
        0
    };
    let held = places
        .iter()
        .map(|&p| model.local_member(p).entry_count())
        .max()
        .unwrap_or(0);
    let wrong = (settled.is_none() || ghosts > 0 || early_alarms > 0).then(|| {
        format!(
            "seed {seed}, kinds {kinds:08b}, {count} at first\n{}",
            model.describe_differences(&places)
        )
    });
    ScheduleResult {
        members: places.len(),
        settled_after: settled,
        false_alarms_before_faults: early_alarms,
        resurrected_members: ghosts,
        max_entries: held,
        failure: wrong,
    }
}
