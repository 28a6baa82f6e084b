//! Random schedules of faults for the model, generated from a seed. Which kinds of faults occur at all is random too.

use maplethread_membership::MemberState;
use maplethread_simnet::Link;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::model::{MS, Model, S, member_name};

/// The result of running a random schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleResult {
    /// Number of members at the end.
    pub members: usize,
    /// How long the members took to settle after the faults, µs; `None` if they did not.
    pub settled_after: Option<u64>,
    /// Number of times that a running, reachable member was declared down before the faults began.
    pub false_alarms_before_faults: u64,
    /// Number of views of departed members that reappeared as live after all members had settled.
    pub resurrected_members: usize,
    /// Maximum number of table entries of one member.
    pub max_entries: usize,
    /// A description of what went wrong, if anything did.
    pub failure: Option<String>,
}

/// Time at which the faults end, after the start.
const FAULTS_END_US: u64 = 90 * S;
/// How long the members may take to settle after the faults.
const SETTLE_TIMEOUT_US: u64 = 90 * S;

/// Generates the schedule of a seed and runs it.
pub fn run_random_schedule(seed: u64) -> ScheduleResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = move |below: u64| rng.next_u64() % below.max(1);
    let mut model = Model::new(seed);
    model.timing.removal_delay = std::time::Duration::from_secs([30, 600][draw(2) as usize]);
    let member_count = 2 + draw(15) as usize;
    model.seeds = (0..1 + draw(3) as usize).collect();
    let enabled_kinds = draw(256);
    model.start_all(member_count);
    model.run(10 * S);
    let early_false_alarms = model.statistics().false_alarms;
    model.counts_false_alarms = false;
    if enabled_kinds & 1 != 0 {
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
    let (mut departed, mut next_node) = (Vec::new(), 1000);
    let mut now = 10 * S;
    while now < FAULTS_END_US {
        let nodes = model.nodes();
        let target = nodes[draw(nodes.len() as u64) as usize];
        match draw(8) {
            1 if enabled_kinds & 2 != 0 && nodes.len() > 1 => {
                departed.push(model.member_at(target));
                model.kill(target);
            }
            2 if enabled_kinds & 4 != 0 && nodes.len() > 1 => {
                departed.push(model.member_at(target));
                model.leave(target);
            }
            3 => {
                if let Some(member) = departed.pop() {
                    let clock_offset_ms = if enabled_kinds & 8 != 0 {
                        draw(7_200_000) as i64 - 3_600_000
                    } else {
                        0
                    };
                    let reuses_node = draw(2) == 0 && !nodes.contains(&member);
                    let node = if reuses_node { member } else { next_node };
                    next_node += 1;
                    model.start_with(
                        member,
                        node,
                        clock_offset_ms,
                        0.95 + draw(10) as f64 / 100.0,
                    );
                }
            }
            4 if enabled_kinds & 16 != 0 => model.pause(target, 500 * MS + draw(20 * S)),
            5 if enabled_kinds & 32 != 0 => {
                let mut parts = vec![Vec::new(), Vec::new(), Vec::new()];
                let part_count = 2 + draw(2);
                for &node in &nodes {
                    parts[draw(part_count) as usize].push(node);
                }
                model.network.partition(&parts);
            }
            6 if enabled_kinds & 64 != 0 => {
                let other = nodes[draw(nodes.len() as u64) as usize];
                model.network.cut(target, other);
            }
            7 if enabled_kinds & 128 != 0 => model.network.heal(),
            _ => {}
        }
        let step = 200 * MS + draw(6 * S);
        model.run(step);
        now += step;
    }
    model.network.heal();
    model.network.default_link = Link::default();
    // Paused members resume, and most late datagrams arrive.
    model.run(20 * S);
    model.restart_seed_if_none_runs();
    let nodes = model.nodes();
    let settle_time = model.run_until_settled(&nodes, SETTLE_TIMEOUT_US);
    let resurrected = if settle_time.is_some() {
        model.run(40 * S);
        let running_members: Vec<usize> = nodes.iter().map(|&p| model.member_at(p)).collect();
        let is_resurrected = |p: usize, g: usize| {
            !running_members.contains(&g)
                && model
                    .local_member(p)
                    .state_of(&member_name(g))
                    .is_some_and(MemberState::is_live)
        };
        nodes
            .iter()
            .map(|&p| departed.iter().filter(|&&g| is_resurrected(p, g)).count())
            .sum()
    } else {
        0
    };
    let max_entry_count = nodes
        .iter()
        .map(|&p| model.local_member(p).entry_count())
        .max()
        .unwrap_or(0);
    let description = (settle_time.is_none() || resurrected > 0 || early_false_alarms > 0).then(|| {
        format!(
            "seed {seed}, fault kinds {enabled_kinds:08b}, {member_count} members at the start\n{}",
            model.describe_differences(&nodes)
        )
    });
    ScheduleResult {
        members: nodes.len(),
        settled_after: settle_time,
        false_alarms_before_faults: early_false_alarms,
        resurrected_members: resurrected,
        max_entries: max_entry_count,
        failure: description,
    }
}
