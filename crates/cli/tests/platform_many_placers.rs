//! Twenty and thirty platform placers on one fleet: the total number of offers that they send to cold hosts, and their
//! restart after all are killed at once.

mod platform_support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PlacerProcess, TEST_TIMEOUT, accept_all,
    answers, config_with_long_objective, host_update, probe, setup_of_service, unused_address,
    write_config_with,
};
use rustix::process::Signal;
use serde_json::{Value, json};

/// The offer budget of a cold host in a window, over all placers.
const MAX_OFFERS_PER_WINDOW: usize = 60;
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that each placer receives.
const REQUESTS_PER_PLACER: usize = 12;
const COLD_HOSTS: usize = 2;

/// Writes configurations of placers that share the cold hosts.
fn configs_sharing_cold_hosts(
    folder: &std::path::Path,
    channel: SocketAddr,
    initial_list: &Value,
    placers: usize,
) -> Vec<PathBuf> {
    let write_one = |ordinal: usize| {
        let folder = folder.join(ordinal.to_string());
        std::fs::create_dir(&folder).expect("folder can be created");
        write_config_with(&folder, channel, initial_list, |config| {
            let settings = &mut config["settings"];
            (settings["ordinal"], settings["peersTotal"]) = (json!(ordinal), json!(placers));
            settings["domain"]["freshOffers"] = json!(MAX_OFFERS_PER_WINDOW);
            settings["domain"]["spreadMost"] = json!([1000]);
            settings["invariants"]["tipAfterMs"] = json!(WINDOW.as_millis() as f64);
            settings["invariants"]["coldMs"] = json!(120_000.0);
            settings["classes"][0]["aimMs"] = json!(60_000.0);
        })
    };
    (0..placers).map(write_one).collect()
}

/// Starts all placers at the same time.
fn start_all(files: Vec<PathBuf>) -> Vec<PlacerProcess> {
    let starting: Vec<_> = files
        .into_iter()
        .map(|f| std::thread::spawn(move || PlacerProcess::start(&f)))
        .collect();
    starting
        .into_iter()
        .map(|thread| thread.join().expect("placer starts"))
        .collect()
}

/// The maximum number of set-ups that a host received in one window.
fn max_arrivals_per_window(arrivals: &Receiver<(u64, Instant)>) -> usize {
    let times: Vec<Instant> = arrivals.try_iter().map(|(_, at)| at).collect();
    let count_in_window = |start: &Instant| {
        times
            .iter()
            .filter(|t| *t >= start && **t - *start <= WINDOW)
            .count()
    };
    times.iter().map(count_in_window).max().unwrap_or(0)
}

/// Sends more requests to many placers at once than the budget of the cold hosts allows: together the placers keep the
/// budget, and each of them serves all its requests in the end.
fn share_cold_hosts(placers: usize) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let commands = EmulatedCommandChannel::start();
    let hosts: Vec<EmulatedHost> = (0..COLD_HOSTS).map(|_| EmulatedHost::start()).collect();
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock is after the epoch")
        .as_millis() as u64;
    let entry = |(n, host): (usize, &EmulatedHost)| {
        json!({"name": format!("s-{n}"), "address": host.address, "zone": "east", "type": "std", "group": n,
            "status": "active", "weight": 1, "since_ms": started})
    };
    let endpoints: Vec<Value> = hosts.iter().enumerate().map(entry).collect();
    let nodes = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    let initial_list = json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]});
    let processes = start_all(configs_sharing_cold_hosts(
        folder.path(),
        commands.address,
        &initial_list,
        placers,
    ));
    let arrivals: Vec<_> = hosts
        .into_iter()
        .map(|host| accept_all(host, Duration::ZERO))
        .collect();
    let mut owners: Vec<OwnerClient> = processes.iter().map(OwnerClient::connect).collect();
    for (n, owner) in owners.iter_mut().enumerate() {
        for ask in 0..REQUESTS_PER_PLACER {
            let sid = (n * 1000 + ask + 1) as u64;
            let mut ask = setup_of_service(sid, sid);
            ask["attrs"]["left"] = json!("60000");
            owner.send(&ask);
        }
    }
    for owner in &mut owners {
        assert_eq!(
            answers(owner, REQUESTS_PER_PLACER).1,
            0,
            "a placer did not place all its requests"
        );
    }
    // The margin for random variation of a window's total: twice the square root of the budget, plus two.
    let margin = 2.0 * (MAX_OFFERS_PER_WINDOW as f64).sqrt() + 2.0;
    for host in &arrivals {
        let max_in_window = max_arrivals_per_window(host);
        assert!(
            max_in_window as f64 <= MAX_OFFERS_PER_WINDOW as f64 + margin,
            "{max_in_window} set-ups in one window, the budget is {MAX_OFFERS_PER_WINDOW}"
        );
    }
}

#[test]
fn twenty_placers_together_keep_the_budget_of_cold_hosts_and_serve_all() {
    share_cold_hosts(20);
}

#[test]
fn thirty_placers_together_keep_the_budget_of_cold_hosts_and_serve_all() {
    share_cold_hosts(30);
}

/// A restarted placer must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Starts a placer, and checks that it serves a request. Returns whether it was ready within `READY_WITHIN`.
fn restart(file: PathBuf, sid: u64) -> (PlacerProcess, bool) {
    let start = Instant::now();
    let placer = PlacerProcess::start(&file);
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&probe(sid << 32));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
    let ready = start.elapsed() <= READY_WITHIN;
    owner.send(&setup_of_service(sid, sid));
    assert_eq!(
        answers(&mut owner, 1).0.len(),
        1,
        "the restarted placer did not place the request"
    );
    (placer, ready)
}

#[test]
fn twenty_placers_killed_at_once_restart_at_their_addresses_and_serve() {
    const PLACERS: usize = 20;
    let folder = tempfile::tempdir().expect("temporary folder");
    // Discovery is down.
    let (host, channel) = (EmulatedHost::start(), unused_address());
    let initial_list = host_update(1, "s-1", host.address, "active");
    let write_config = |n: usize, address: SocketAddr| {
        let folder = folder.path().join(n.to_string());
        std::fs::create_dir_all(&folder).expect("folder can be created");
        let file = config_with_long_objective(&folder, channel, &initial_list, 256);
        let text = std::fs::read_to_string(&file).expect("file can be read");
        let mut config: Value = serde_json::from_str(&text).expect("valid JSON");
        config["listen"] = json!(address);
        config["settings"]["domain"]["spreadMost"] = json!([1000]);
        std::fs::write(&file, config.to_string()).expect("file can be written");
        file
    };
    // No client connects from these addresses, so the successors can bind them.
    let listen_address = |n: usize| SocketAddr::from(([127, 0, 78, n as u8 + 1], 0));
    let mut placers = start_all(
        (0..PLACERS)
            .map(|n| write_config(n, listen_address(n)))
            .collect(),
    );
    let _reached = accept_all(host, Duration::ZERO);
    // Clients that stay connected to the end; half of them have open requests, the others are idle.
    let mut owners: Vec<OwnerClient> = placers
        .iter()
        .chain(&placers)
        .map(OwnerClient::connect)
        .collect();
    for (n, owner) in owners.iter_mut().enumerate().take(PLACERS) {
        owner.send(&setup_of_service(n as u64 + 1, n as u64));
    }
    placers
        .iter()
        .for_each(|placer| placer.signal(Signal::KILL));
    for placer in &mut placers {
        placer.wait();
    }
    let files: Vec<PathBuf> = placers
        .iter()
        .enumerate()
        .map(|(n, p)| write_config(n, p.address))
        .collect();
    let restarts = files.into_iter().enumerate();
    let restarts: Vec<_> = restarts
        .map(|(n, file)| std::thread::spawn(move || restart(file, 1000 + n as u64)))
        .collect();
    // The thread of a placer that does not start, or does not serve, panics.
    let served: Vec<(PlacerProcess, bool)> = restarts
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    let ready = served.iter().filter(|(_, ready)| *ready).count();
    assert_eq!(
        served.len(),
        PLACERS,
        "placers that restarted and served within {TEST_TIMEOUT:?}"
    );
    assert!(
        ready * 10 >= PLACERS * 9,
        "{ready} of {PLACERS} were ready within {READY_WITHIN:?}"
    );
}
