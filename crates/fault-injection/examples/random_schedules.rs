//! Runs random schedules in the model:
//! `cargo run --release -p maplethread-fault-injection --example random_schedules -- FIRST_SEED COUNT`.

use maplethread_fault_injection::random_schedule::run_random_schedule;

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse::<u64>().ok());
    let (first, count) = (args.next().unwrap_or(0), args.next().unwrap_or(100));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let workers: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || {
                (first + t..first + count)
                    .step_by(threads as usize)
                    .map(run_random_schedule)
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let mut results: Vec<_> = workers
        .into_iter()
        .flat_map(|w| w.join().expect("no worker panicked"))
        .collect();
    for failure in results.iter().filter_map(|p| p.failure.as_ref()) {
        println!("{failure}");
    }
    let failed = results.iter().filter(|p| p.failure.is_some()).count();
    results.retain(|p| p.settled_after.is_some());
    results.sort_by_key(|p| p.settled_after);
    let settled_at_percentile = |part: f64| {
        results
            .get(((results.len() - 1) as f64 * part) as usize)
            .and_then(|p| p.settled_after)
            .unwrap_or(0)
    };
    let max_entries = results.iter().map(|p| p.max_entries).max().unwrap_or(0);
    println!(
        "{count} schedules, {failed} failed; settled after {:.2} s median, {:.2} s at the 99th percentile, {:.2} s maximum; {max_entries} entries at most",
        settled_at_percentile(0.5) as f64 / 1e6,
        settled_at_percentile(0.99) as f64 / 1e6,
        settled_at_percentile(1.0) as f64 / 1e6
    );
}
