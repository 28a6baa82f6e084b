//! A host that has just come up, and a connection to it that takes a second: what is counted is what reaches the host.

mod platform_support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform_support::{
    EmulatedCommandChannel, OwnerClient, PlacerProcess, changed, listed, read_messages, setup,
    wait_until,
};
use rustix::net::{AddressFamily, SocketType};
use serde_json::json;

/// A listener whose accept backlog holds one connection, and the address. While that one is not accepted, the kernel
/// drops what asks for another, and its peer asks again after a second.
fn narrow_listener() -> (TcpListener, SocketAddr) {
    let socket =
        rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    rustix::net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    rustix::net::listen(&socket, 0).expect("it listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Whether somebody asks for a connection to this port and has none yet.
fn has_pending_connect(address: SocketAddr) -> bool {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
    let to = format!(":{:04X}", address.port());
    list.lines().skip(1).any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words[2].ends_with(&to) && words[3] == "02"
    })
}

#[test]
fn offers_delayed_by_a_slow_connection_count_in_the_window_of_their_arrival() {
    const BORNE: usize = 20;
    let folder = tempfile::tempdir().expect("a folder");
    let commands = EmulatedCommandChannel::start();
    let (listener, address) = narrow_listener();
    let filler = TcpStream::connect(address).expect("the one that is held");
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis() as u64;
    let mut known = listed(1, "s-1", address, "active");
    known["cmds"][0]["nodes"]["endpoints"][0]["since_ms"] = json!(started);
    let file = changed(folder.path(), commands.address, &known, |c| {
        let settings = &mut c["settings"];
        settings["allowed"]["connectTimeoutMs"] = json!(3_000.0);
        settings["domain"]["freshOffers"] = json!(BORNE);
        settings["domain"]["spreadMost"] = json!([1000]);
        settings["invariants"]["tipAfterMs"] = json!(1_000.0);
        settings["invariants"]["coldMs"] = json!(120_000.0);
        settings["classes"][0]["aimMs"] = json!(60_000.0);
    });
    let placer = PlacerProcess::start(&file);
    // More is asked than any window may bring.
    let mut owner = OwnerClient::connect(&placer);
    for sid in 1..=100 {
        let mut ask = setup(&format!("{sid:016x}"), 60_000);
        ask["attrs"]["extras"] = json!(format!("cores:0.1;memory:0.1;service:{sid:016x}"));
        owner.send(&ask);
    }
    // The first offers wait for a connection for nearly a second; then there is room in the backlog.
    wait_until("somebody connects", || has_pending_connect(address));
    std::thread::sleep(Duration::from_millis(800));
    listener.accept().expect("the filler");
    let (stream, _) = listener.accept().expect("the placer");
    let (tell, heard) = channel();
    std::thread::spawn(move || read_messages(stream, &tell));
    let (mut times, until) = (Vec::new(), Instant::now() + Duration::from_secs(8));
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        let Ok((_, message)) = heard.recv_timeout(left) else {
            break;
        };
        if message[0] == 1 {
            times.push(Instant::now());
        }
    }
    let within = |from: &Instant| {
        times
            .iter()
            .filter(|t| *t >= from && **t - *from <= Duration::from_secs(1))
            .count()
    };
    let most = times.iter().map(within).max().unwrap_or(0);
    assert!(
        times.len() > BORNE,
        "{} set-ups came, so there was more than one window",
        times.len()
    );
    assert!(most <= BORNE, "{most} set-ups in one window, of {BORNE}");
    drop(filler);
}
