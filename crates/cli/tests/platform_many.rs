//! Twenty and thirty processes in service on one fleet: what their sum sends to hosts that have just come up, and how they
//! come back when all are killed at once.

mod platform_support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, LONG, OwnerClient, PlacerProcess, accept_all, answers,
    changed, config_with_long_objective, listed, probe, setup_of_service, unused_address,
};
use rustix::process::Signal;
use serde_json::{Value, json};

/// Offers that a cold host bears in a window.
const BORNE: usize = 60;
const WINDOW: Duration = Duration::from_secs(1);
/// Set-ups that each process is asked for.
const REQUESTS_PER_PLACER: usize = 12;
const COLD_HOSTS: usize = 2;

/// Configurations of so many placers that share the cold hosts.
fn configs_sharing_cold_hosts(
    folder: &std::path::Path,
    channel: SocketAddr,
    known: &Value,
    placers: usize,
) -> Vec<PathBuf> {
    let one = |ordinal: usize| {
        let folder = folder.join(ordinal.to_string());
        std::fs::create_dir(&folder).expect("a folder");
        changed(&folder, channel, known, |config| {
            let settings = &mut config["settings"];
            (settings["ordinal"], settings["peersTotal"]) = (json!(ordinal), json!(placers));
            settings["domain"]["freshOffers"] = json!(BORNE);
            settings["domain"]["spreadMost"] = json!([1000]);
            settings["invariants"]["tipAfterMs"] = json!(WINDOW.as_millis() as f64);
            settings["invariants"]["coldMs"] = json!(120_000.0);
            settings["classes"][0]["aimMs"] = json!(60_000.0);
        })
    };
    (0..placers).map(one).collect()
}

/// Starts all at once.
fn start_all(files: Vec<PathBuf>) -> Vec<PlacerProcess> {
    let starting: Vec<_> = files
        .into_iter()
        .map(|f| std::thread::spawn(move || PlacerProcess::start(&f)))
        .collect();
    starting
        .into_iter()
        .map(|thread| thread.join().expect("it starts"))
        .collect()
}

/// The most set-ups that reached a host in one window.
fn max_arrivals_per_window(reached: &Receiver<(u64, Instant)>) -> usize {
    let times: Vec<Instant> = reached.try_iter().map(|(_, at)| at).collect();
    let from = |start: &Instant| {
        times
            .iter()
            .filter(|t| *t >= start && **t - *start <= WINDOW)
            .count()
    };
    times.iter().map(from).max().unwrap_or(0)
}

/// Many placers are asked at once for more than the cold hosts bear; all of it is served in the end, by each of them.
fn share_cold_hosts(placers: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    let commands = EmulatedCommandChannel::start();
    let hosts: Vec<EmulatedHost> = (0..COLD_HOSTS).map(|_| EmulatedHost::start()).collect();
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis() as u64;
    let entry = |(n, host): (usize, &EmulatedHost)| {
        json!({"name": format!("s-{n}"), "address": host.address, "zone": "east", "type": "std", "group": n,
            "status": "active", "weight": 1, "since_ms": started})
    };
    let endpoints: Vec<Value> = hosts.iter().enumerate().map(entry).collect();
    let nodes = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    let known = json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]});
    let processes = start_all(configs_sharing_cold_hosts(
        folder.path(),
        commands.address,
        &known,
        placers,
    ));
    let reached: Vec<_> = hosts
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
            "a process serves nobody, or not all"
        );
    }
    // What chance may add to the budget of a window.
    let chance = 2.0 * (BORNE as f64).sqrt() + 2.0;
    for host in &reached {
        let most = max_arrivals_per_window(host);
        assert!(
            most as f64 <= BORNE as f64 + chance,
            "{most} in one window, of {BORNE}"
        );
    }
}

#[test]
fn twenty_processes_keep_the_budget_of_cold_hosts_together_and_serve_all() {
    share_cold_hosts(20);
}

#[test]
fn thirty_processes_keep_the_budget_of_cold_hosts_together_and_serve_all() {
    share_cold_hosts(30);
}

/// In so long a restarted process has to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Whether a process that is started now is ready in time and serves what it is asked for.
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
        "a process that serves nobody"
    );
    (placer, ready)
}

#[test]
fn twenty_processes_killed_at_once_are_ready_again_at_their_addresses_and_serve() {
    const PLACERS: usize = 20;
    let folder = tempfile::tempdir().expect("a folder");
    // Discovery is down.
    let (host, channel) = (EmulatedHost::start(), unused_address());
    let known = listed(1, "s-1", host.address, "active");
    let listening = |n: usize, address: SocketAddr| {
        let folder = folder.path().join(n.to_string());
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = config_with_long_objective(&folder, channel, &known, 256);
        let text = std::fs::read_to_string(&file).expect("text");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["listen"] = json!(address);
        config["settings"]["domain"]["spreadMost"] = json!([1000]);
        std::fs::write(&file, config.to_string()).expect("a file");
        file
    };
    // Addresses that nobody connects from, so that the successors find them free.
    let own = |n: usize| SocketAddr::from(([127, 0, 78, n as u8 + 1], 0));
    let mut placers = start_all((0..PLACERS).map(|n| listening(n, own(n))).collect());
    let _reached = accept_all(host, Duration::ZERO);
    // Clients of which some wait for answers and some are idle, and that stay connected to the last.
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
        .map(|(n, p)| listening(n, p.address))
        .collect();
    let restarts = files.into_iter().enumerate();
    let restarts: Vec<_> = restarts
        .map(|(n, file)| std::thread::spawn(move || restart(file, 1000 + n as u64)))
        .collect();
    // One that does not start, or does not serve, fails its thread.
    let served: Vec<(PlacerProcess, bool)> = restarts
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    let ready = served.iter().filter(|(_, ready)| *ready).count();
    assert_eq!(
        served.len(),
        PLACERS,
        "all come back and serve, in {LONG:?} at most"
    );
    assert!(
        ready * 10 >= PLACERS * 9,
        "{ready} of {PLACERS} were ready within {READY_WITHIN:?}"
    );
}
