//! The offer budget of a cold host when the connection to it takes a second: offers count when they reach the host.

mod platform_support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_support::{
    EmulatedCommandChannel, OwnerClient, PlacerProcess, host_update, read_messages, setup,
    wait_until, write_config_with,
};
use rustix::net::{AddressFamily, SocketType};
use serde_json::json;

/// A listener with an accept backlog of one connection, and its address. While that connection is not accepted, the
/// kernel drops further SYNs, and their sender retries after a second.
fn listener_with_backlog_of_one() -> (TcpListener, SocketAddr) {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)
        .expect("socket can be created");
    rustix::net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("free port");
    rustix::net::listen(&socket, 0).expect("socket can listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

/// Whether a connection to this port is being established (in state SYN_SENT).
fn has_pending_connect(address: SocketAddr) -> bool {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("socket list can be read");
    let to = format!(":{:04X}", address.port());
    list.lines().skip(1).any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[2].ends_with(&to) && words[3] == "02"
    })
}

#[test]
fn offers_delayed_by_a_slow_connection_count_in_the_window_of_their_arrival() {
    const MAX_OFFERS_PER_WINDOW: usize = 20;
    let folder = tempfile::tempdir().expect("temporary folder");
    let commands = EmulatedCommandChannel::start();
    let (listener, address) = listener_with_backlog_of_one();
    let filler = TcpStream::connect(address).expect("connection that fills the backlog");
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("clock is after the epoch")
        .as_millis() as u64;
    let mut initial_list = host_update(1, "s-1", address, "active");
    initial_list["cmds"][0]["nodes"]["endpoints"][0]["since_ms"] = json!(started);
    let file = write_config_with(folder.path(), commands.address, &initial_list, |c| {
        let settings = &mut c["settings"];
        settings["allowed"]["connectTimeoutMs"] = json!(3_000.0);
        settings["domain"]["freshOffers"] = json!(MAX_OFFERS_PER_WINDOW);
        settings["domain"]["spreadMost"] = json!([1000]);
        settings["invariants"]["tipAfterMs"] = json!(1_000.0);
        settings["invariants"]["coldMs"] = json!(120_000.0);
        settings["classes"][0]["aimMs"] = json!(60_000.0);
    });
    let placer = PlacerProcess::start(&file);
    // More requests than the budget of a window.
    let mut owner = OwnerClient::connect(&placer);
    for sid in 1..=100 {
        let mut request = setup(&format!("{sid:016x}"), 60_000);
        request["attrs"]["extras"] = json!(format!("cores:0.1;memory:0.1;service:{sid:016x}"));
        owner.send(&request);
    }
    // The first offers wait nearly a second for the connection, until the backlog has room.
    wait_until("the placer connects", || has_pending_connect(address));
    std::thread::sleep(Duration::from_millis(800));
    listener
        .accept()
        .expect("connection that fills the backlog");
    let (stream, _) = listener.accept().expect("connection of the placer");
    let (sender, messages) = channel();
    std::thread::spawn(move || read_messages(stream, &sender));
    let (mut times, until) = (Vec::new(), Instant::now() + Duration::from_secs(8));
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        let Ok((_, message)) = messages.recv_timeout(left) else {
            break;
        };
        if message[0] == 1 {
            times.push(Instant::now());
        }
    }
    let count_in_window = |from: &Instant| {
        times
            .iter()
            .filter(|t| *t >= from && **t - *from <= Duration::from_secs(1))
            .count()
    };
    let max_in_window = times.iter().map(count_in_window).max().unwrap_or(0);
    assert!(
        times.len() > MAX_OFFERS_PER_WINDOW,
        "only {} set-ups arrived, which fit into one window",
        times.len()
    );
    assert!(
        max_in_window <= MAX_OFFERS_PER_WINDOW,
        "{max_in_window} set-ups in one window, the budget is {MAX_OFFERS_PER_WINDOW}"
    );
    drop(filler);
}
