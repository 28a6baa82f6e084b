//! Measures membership in the model: detection times of joins, crashes and healed partitions, traffic and CPU use, and
//! false alarms, by size and loss; for comparison also the traffic if every member probed every other.
//! `cargo run --release -p maplethread-fault-injection --example measure -- SIZE [REPEATS]`, or `alarms LOSS HOURS`.

use std::time::Instant;

use maplethread_fault_injection::model::{MS, Model, S, member_name};
use maplethread_membership::MemberState;

fn median(mut durations: Vec<u64>) -> (f64, f64) {
    durations.sort_unstable();
    let seconds_at = |n: usize| durations.get(n).copied().unwrap_or(0) as f64 / 1e6;
    (
        seconds_at(durations.len() / 2),
        seconds_at(durations.len().saturating_sub(1)),
    )
}

/// Runs the model until all members at these nodes see `member` in a state that `seen` accepts. Returns how long it
/// took, µs.
fn run_until_seen_by_all(
    model: &mut Model,
    nodes: &[usize],
    member: usize,
    seen: impl Fn(Option<MemberState>) -> bool,
) -> u64 {
    let mut waited = 0;
    while !nodes
        .iter()
        .all(|&p| seen(model.local_member(p).state_of(&member_name(member))))
    {
        model.run(50 * MS);
        waited += 50 * MS;
        assert!(
            waited < 300 * S,
            "the state was not seen by all members within 300 s"
        );
    }
    waited
}

fn measure_size(size: usize, repeats: u64) {
    let (mut joins, mut crashes, mut heals, mut initial_settling) =
        (vec![], vec![], vec![], vec![]);
    let (mut idle, mut after_kills, mut entries, mut cpu) = ((0, 0), 0, 0, 0.0);
    for seed in 0..repeats {
        let mut model = Model::new(seed + 1);
        model.counts_false_alarms = false;
        model.start_all(size);
        let nodes = model.nodes();
        initial_settling.push(
            model
                .run_until_settled(&nodes, 300 * S)
                .expect("the members settle"),
        );
        // Traffic without membership changes.
        model.run(10 * S);
        let (before, began) = (model.statistics().clone(), Instant::now());
        model.run(10 * S);
        cpu = began.elapsed().as_secs_f64() / 10.0 / size as f64;
        idle = (
            (model.statistics().bytes_sent - before.bytes_sent) / 10 / size as u64,
            (model.statistics().datagrams_sent - before.datagrams_sent) / 10 / size as u64,
        );
        entries = model.local_member(0).entry_count();
        model.start(size, size);
        joins.push(run_until_seen_by_all(&mut model, &nodes, size, |s| {
            s == Some(MemberState::Alive)
        }));
        model.kill(size);
        crashes.push(run_until_seen_by_all(&mut model, &nodes, size, |s| {
            !s.is_some_and(MemberState::is_live)
        }));
        // A partition into two halves for a minute.
        model
            .network
            .partition(&[(0..size / 2).collect(), (size / 2..size).collect()]);
        model.run(60 * S);
        model.network.heal();
        heals.push(
            model
                .run_until_settled(&nodes, 300 * S)
                .expect("the members settle after the partition"),
        );
        let before = model.statistics().bytes_sent;
        (size / 2..size).for_each(|p| model.kill(p));
        model.run(20 * S);
        after_kills = (model.statistics().bytes_sent - before) / 20 / (size - size / 2) as u64;
    }
    let print_times = |what: &str, (median, worst): (f64, f64)| {
        println!("  {what}: median {median:.2} s, worst {worst:.2} s")
    };
    println!("{size} members, {repeats} runs");
    print_times(
        "equal views after all joined at once",
        median(initial_settling),
    );
    print_times("join seen by all", median(joins));
    print_times("crash seen by all", median(crashes));
    print_times(
        "equal views after a partition into halves for 60 s",
        median(heals),
    );
    println!(
        "  idle: {} B/s and {} datagrams/s per member; after half were killed: {} B/s per member",
        idle.0, idle.1, after_kills
    );
    println!(
        "  {:.3}% of a core per member, including the model; {} table entries",
        cpu * 100.0,
        entries
    );
    println!(
        "  if every member probed every other each second: {} B/s per member",
        (size - 1) * 2 * 60
    );
}

fn measure_false_alarms(loss: f64, hours: u64) {
    let mut model = Model::new(11);
    model.network.default_link.loss_probability = loss;
    model.start_all(16);
    model.run(60 * S);
    let before = model.statistics().false_alarms;
    model.run(hours * 3600 * S);
    let count = model.statistics().false_alarms - before;
    println!(
        "16 members, {:.0}% loss, {hours} h: {count} false alarms, {:.2} per hour",
        loss * 100.0,
        count as f64 / hours as f64
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number =
        |n: usize, default: f64| args.get(n).and_then(|a| a.parse().ok()).unwrap_or(default);
    match args.first().map(String::as_str) {
        Some("alarms") => measure_false_alarms(number(1, 0.2), number(2, 1.0) as u64),
        _ => measure_size(number(0, 100.0) as usize, number(1, 5.0) as u64),
    }
    if let Ok(status) = std::fs::read_to_string("/proc/self/status") {
        let peak_memory = status.lines().find(|l| l.starts_with("VmHWM"));
        println!("  {}", peak_memory.unwrap_or("").replace('\t', " "));
    }
}
