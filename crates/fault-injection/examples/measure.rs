//! Measures the fleet's view in the model: times to see joins, crashes and heals, what it costs, and false alarms, by size
//! and loss, beside every member testing every other.
//! `cargo run --release -p maplethread-fault-injection --example measure -- SIZE [REPEATS]`, or `alarms LOSS HOURS`.

use std::time::Instant;

use maplethread_fault_injection::model::{MS, Model, S, member_name};
use maplethread_membership::MemberState;

fn median(mut all: Vec<u64>) -> (f64, f64) {
    all.sort_unstable();
    let at = |n: usize| all.get(n).copied().unwrap_or(0) as f64 / 1e6;
    (at(all.len() / 2), at(all.len().saturating_sub(1)))
}

/// Lets time pass until all members at `places` see a member in such a state.
fn run_until_seen_by_all(
    model: &mut Model,
    places: &[usize],
    member: usize,
    seen: impl Fn(Option<MemberState>) -> bool,
) -> u64 {
    let mut waited = 0;
    while !places
        .iter()
        .all(|&p| seen(model.local_member(p).state_of(&member_name(member))))
    {
        model.run(50 * MS);
        waited += 50 * MS;
        assert!(waited < 300 * S, "never seen by all");
    }
    waited
}

fn measure_size(size: usize, repeats: u64) {
    let (mut joins, mut crashes, mut heals, mut first) = (vec![], vec![], vec![], vec![]);
    let (mut rest, mut dying, mut held, mut cpu) = ((0, 0), 0, 0, 0.0);
    for seed in 0..repeats {
        let mut model = Model::new(seed + 1);
        model.counts_false_alarms = false;
        model.start_all(size);
        let places = model.places();
        first.push(
            model
                .run_until_settled(&places, 300 * S)
                .expect("it settles"),
        );
        // At rest.
        model.run(10 * S);
        let (before, began) = (model.statistics().clone(), Instant::now());
        model.run(10 * S);
        cpu = began.elapsed().as_secs_f64() / 10.0 / size as f64;
        rest = (
            (model.statistics().bytes_sent - before.bytes_sent) / 10 / size as u64,
            (model.statistics().datagrams_sent - before.datagrams_sent) / 10 / size as u64,
        );
        held = model.local_member(0).entry_count();
        model.start(size, size);
        joins.push(run_until_seen_by_all(&mut model, &places, size, |s| {
            s == Some(MemberState::Alive)
        }));
        model.kill(size);
        crashes.push(run_until_seen_by_all(&mut model, &places, size, |s| {
            !s.is_some_and(MemberState::is_live)
        }));
        // Two halves for a minute.
        model
            .network
            .partition(&[(0..size / 2).collect(), (size / 2..size).collect()]);
        model.run(60 * S);
        model.network.heal();
        heals.push(model.run_until_settled(&places, 300 * S).expect("it heals"));
        let before = model.statistics().bytes_sent;
        (size / 2..size).for_each(|p| model.kill(p));
        model.run(20 * S);
        dying = (model.statistics().bytes_sent - before) / 20 / (size - size / 2) as u64;
    }
    let show = |what: &str, (median, worst): (f64, f64)| {
        println!("  {what}: median {median:.2} s, worst {worst:.2} s")
    };
    println!("{size} members, {repeats} runs");
    show("all joined at once, one view after", median(first));
    show("a join seen by all after", median(joins));
    show("a crash seen by all after", median(crashes));
    show("two halves apart for 60 s, one view after", median(heals));
    println!(
        "  at rest {} B/s and {} datagrams/s a member; while half die {} B/s",
        rest.0, rest.1, dying
    );
    println!(
        "  {:.3}% of a core a member, the model's own work included; entries held {}",
        cpu * 100.0,
        held
    );
    println!(
        "  every member testing every other each second: {} B/s",
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
        "16 members, {:.0}% lost, {hours} h: {count} called down while they ran, {:.2} an hour",
        loss * 100.0,
        count as f64 / hours as f64
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize, or: f64| args.get(n).and_then(|a| a.parse().ok()).unwrap_or(or);
    match args.first().map(String::as_str) {
        Some("alarms") => measure_false_alarms(number(1, 0.2), number(2, 1.0) as u64),
        _ => measure_size(number(0, 100.0) as usize, number(1, 5.0) as u64),
    }
    if let Ok(status) = std::fs::read_to_string("/proc/self/status") {
        let most = status.lines().find(|l| l.starts_with("VmHWM"));
        println!("  {}", most.unwrap_or("").replace('\t', " "));
    }
}
