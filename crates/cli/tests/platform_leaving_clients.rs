//! Clients that leave with much unread, on real connections.

mod platform_support;

use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PlacerProcess, accept_all, host_update,
    setup_of_service, write_config_with, write_while_possible,
};
use serde_json::{Value, json};

/// How long after its client has left an attempt may begin.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// More requests than are read within `MAX_DELAY`.
const REQUESTS: u64 = 20_000;
/// A service of another client.
const OTHER_SERVICE: u64 = 7;

/// Guards against requests that are sent on although their client has left, because its end is behind much unread input.
#[test]
fn requests_of_a_client_that_has_left_are_not_sent_on() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    let initial_list = host_update(1, "s-1", host.address, "active");
    let config = write_config_with(folder.path(), commands.address, &initial_list, |config| {
        config["settings"]["classes"][0]["aimMs"] = json!(60_000.0);
    });
    let placer = PlacerProcess::start(&config);
    let arrivals = accept_all(host, Duration::ZERO);
    let bytes: Vec<u8> = (1..=REQUESTS)
        .flat_map(|n| format!("{}\n", small_request(n)).into_bytes())
        .collect();
    let mut stream = TcpStream::connect(placer.address).expect("connection is accepted");
    write_while_possible(&mut stream, &bytes);
    stream
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    let left_at = Instant::now();
    // Another client's request is answered; by then, the other input has been read.
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup_of_service(REQUESTS + 1, OTHER_SERVICE));
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    std::thread::sleep(Duration::from_secs(2));
    let late = arrivals
        .try_iter()
        .filter(|&(id, at)| id <= REQUESTS && at > left_at + MAX_DELAY)
        .count();
    assert_eq!(late, 0, "set-ups that a host got too late");
}

/// A request for so little that a host has room for all of them.
fn small_request(sid: u64) -> Value {
    let mut request = setup_of_service(sid, sid);
    request["attrs"]["extras"] = json!(format!(
        "cores:0.001;memory:0.001;service:{:016x}",
        sid + 1_000
    ));
    request
}
