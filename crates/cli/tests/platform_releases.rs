//! Releases of tasks whose owners have connected anew, with a real placer on loopback sockets.

mod platform_support;

use std::io::Write;
use std::net::{Shutdown, TcpStream};

use platform_support::cause::{NO_CAPACITY, NORMAL};
use platform_support::code::{CAUSE, DESCRIPTION};
use platform_support::kind::{CLOSE, OPEN, READY};
use platform_support::{
    EmulatedHost, OwnerClient, SinglePlacer, TEXT, probe, send_from_host, setup,
};
use serde_json::json;

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

/// Places an owner's task on the host. Returns the connection on which the host got it, and the set-up.
fn place(host: &EmulatedHost, owner: &mut OwnerClient, sid: &str) -> (TcpStream, Vec<u8>) {
    owner.send(&setup(sid, 6_000));
    let (mut stream, task) = host.next(OPEN);
    send_from_host(&mut stream, READY, &task, DESCRIPTION, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"], "ready");
    (stream, task)
}

/// An owner that has passed a health check, and whose request was rejected since the host is full.
fn connect_and_be_rejected(single: &SinglePlacer) -> OwnerClient {
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
    owner
}

/// Checks that the next message to the owner is the release of a task that has ended as usual.
fn assert_released(owner: &mut OwnerClient, sid: &str) {
    let release = owner.receive();
    assert_eq!(
        (&release["msg"], &release["sid"], &release["code"]),
        (&json!("close"), &json!(sid), &json!(NORMAL))
    );
}

/// Guards against the release of a standing task that is dropped because its owner has connected anew, and all its requests
/// since were rejected (review/2).
#[test]
fn release_reaches_the_new_connection_of_an_owner_whose_requests_are_rejected() {
    let mut single = SinglePlacer::start();
    let mut faulty = connect_faulty_client(&single);
    let (mut host, task) = place(&single.host, &mut single.owner, "0000000000000007");
    single
        .owner
        .stream
        .shutdown(Shutdown::Both)
        .expect("an open connection");

    let mut owner = connect_and_be_rejected(&single);

    send_from_host(&mut host, CLOSE, &task, CAUSE, &[NORMAL]);
    assert_released(&mut owner, "0000000000000007");
    faulty.send(&probe(0xf3));
    assert_eq!(
        faulty.receive()["sid"],
        "00000000000000f3",
        "no release before it"
    );
}

/// Guards against releases that a host writes in the moment in which the placer closes their connection, because of an
/// invalid answer on it.
#[test]
fn release_behind_an_invalid_message_or_the_end_of_its_connection_reaches_the_owner() {
    for writes_after_end in [false, true] {
        let mut single = SinglePlacer::start();
        let (mut host, task) = place(&single.host, &mut single.owner, "0000000000000007");
        // The answer to an unknown set-up, with parameters that exceed the message.
        host.write_all(&[0, 12, READY, 1, 1, 1, 1, 1, 1, 1, 1, DESCRIPTION, 0, 200])
            .expect("data can be sent");
        if writes_after_end {
            // The thread that reads this connection sees its end; the host has not closed its side.
            single.host.wait_for_end();
        }
        send_from_host(&mut host, CLOSE, &task, CAUSE, &[NORMAL]);
        assert_released(&mut single.owner, "0000000000000007");
    }
}

/// Guards against a good answer that is thrown away with an invalid one under an unknown id ahead of it.
#[test]
fn answer_behind_an_invalid_answer_for_an_unknown_task_is_passed_on() {
    let mut single = SinglePlacer::start();
    single.owner.send(&setup("0000000000000007", 6_000));
    let (mut host, task) = single.host.next(OPEN);
    let mut unknown = task.clone();
    unknown[1..9].copy_from_slice(&[0xee; 8]);
    send_from_host(&mut host, READY, &unknown, DESCRIPTION, &[0xff, 0xfe]);
    send_from_host(&mut host, READY, &task, DESCRIPTION, b"text");
    let answer = single.owner.receive();
    assert_eq!(
        (&answer["msg"], &answer["text"]),
        (&json!("ready"), &json!("text"))
    );
}

/// Guards against the release of a task that only another owner receives, while the task's owner has connected anew.
#[test]
fn release_reaches_its_owner_beside_another_owner_whose_task_runs() {
    let mut single = SinglePlacer::start();
    let mut other = OwnerClient::connect(&single.placer);
    place(&single.host, &mut other, "0000000000000006");
    let (mut host, task) = place(&single.host, &mut single.owner, "0000000000000007");
    drop(std::mem::replace(&mut single.owner, other));
    let mut owner = connect_and_be_rejected(&single);
    send_from_host(&mut host, CLOSE, &task, CAUSE, &[NORMAL]);
    assert_released(&mut owner, "0000000000000007");
}
