//! Releases of tasks whose owners have connected anew, with a real placer on loopback sockets.

mod platform_support;

use std::net::Shutdown;

use platform_support::{OwnerClient, SinglePlacer, parameter, probe, send_from_host, setup};
use serde_json::json;

/// The types of messages to hosts and from them.
const OPEN: u8 = 1;
const READY: u8 = 9;
const CLOSE: u8 = 12;
/// The codes of parameters.
const CAUSE: u8 = 61;
const DESCRIPTION: u8 = 63;
/// The causes of a host that is full, and of a task that has ended as usual.
const NO_CAPACITY: u8 = 34;
const NORMAL: u8 = 16;

/// A client that has sent an invalid request and passed a health check.
fn connect_faulty_client(single: &SinglePlacer) -> OwnerClient {
    let mut client = OwnerClient::connect(&single.placer);
    let mut invalid = setup("00000000000000f1", 1_000);
    invalid["attrs"]["left"] = json!("many");
    client.send(&invalid);
    assert_eq!(client.receive()["msg"], "close");
    client.send(&probe(0xf2));
    assert_eq!(client.receive()["msg"], "probed");
    client
}

/// Guards against the release of a standing task that is dropped because its owner has connected anew, and all its requests
/// since were rejected (review/2).
#[test]
fn release_reaches_the_new_connection_of_an_owner_whose_requests_are_rejected() {
    let mut single = SinglePlacer::start();
    let mut faulty = connect_faulty_client(&single);
    single.owner.send(&setup("0000000000000007", 6_000));
    let (mut host, task) = single.host.next(OPEN);
    let description = parameter(&task, DESCRIPTION)
        .expect("a description")
        .to_vec();
    send_from_host(&mut host, READY, &task, DESCRIPTION, &description);
    assert_eq!(single.owner.receive()["msg"], "ready");
    single
        .owner
        .stream
        .shutdown(Shutdown::Both)
        .expect("an open connection");

    let mut owner = OwnerClient::connect(&single.placer);
    owner.send(&probe(1));
    assert_eq!(owner.receive()["msg"], "probed");
    owner.send(&setup("0000000000000008", 400));
    let (mut stream, attempt) = single.host.next(OPEN);
    send_from_host(&mut stream, CLOSE, &attempt, CAUSE, &[NO_CAPACITY]);
    let rejected = owner.receive();
    assert_eq!(
        (&rejected["msg"], &rejected["sid"]),
        (&json!("close"), &json!("0000000000000008"))
    );

    send_from_host(&mut host, CLOSE, &task, CAUSE, &[NORMAL]);
    let release = owner.receive();
    assert_eq!(
        (&release["msg"], &release["sid"], &release["code"]),
        (&json!("close"), &json!("0000000000000007"), &json!(NORMAL))
    );
    faulty.send(&probe(0xf3));
    assert_eq!(
        faulty.receive()["sid"],
        "00000000000000f3",
        "no release before it"
    );
}
