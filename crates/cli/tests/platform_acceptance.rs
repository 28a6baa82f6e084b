//! Kinds of days that the platform's acceptance names, between real processes and in the bad order every time: reloads
//! and drains, lists that fall silent or come whole, kills right after an accept, clients that go.

mod platform_support;

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, LONG, OwnerClient, PlacerProcess, SinglePlacer, TEXT,
    accept_all, answers, changed, config, config_with_long_objective, descriptor_count, listed,
    parameter, probe, running, send_from_host, set_descriptor_limit, setup, setup_id,
    setup_of_service, unused_address, wait_until,
};
use rustix::process::Signal;
use serde_json::{Value, json};

/// What the command channel tells of some hosts (name, address, state), or of all of them.
fn list_update(cursor: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> Value {
    let one = |&(name, address, status): &(&str, SocketAddr, &str)| {
        listed(cursor, name, address, status)["cmds"][0]["nodes"]["endpoints"][0].clone()
    };
    let endpoints: Vec<Value> = hosts.iter().map(one).collect();
    let nodes = json!({"index": cursor, "snapshot": whole, "endpoints": endpoints});
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]})
}

/// Asks for tasks of services of their own, under these ids.
fn send_requests(owner: &mut OwnerClient, sids: std::ops::Range<u64>) {
    sids.for_each(|sid| owner.send(&setup_of_service(sid, sid)));
}

/// The ids of the set-ups that have reached a host by now.
fn received_setups(host: &Receiver<(u64, Instant)>) -> Vec<u64> {
    host.try_iter().map(|(sid, _)| sid).collect()
}

/// The next poll, which has to ask for what comes after this event.
fn poll_after(commands: &EmulatedCommandChannel, cursor: u64) -> TcpStream {
    let (poll, line) = commands.poll();
    assert!(
        line.starts_with(&format!("GET /cmd/next?resume={cursor}&block=")),
        "{line}"
    );
    poll
}

#[test]
fn a_drain_that_follows_a_reload_applies_to_all_later_requests() {
    let folder = tempfile::tempdir().expect("a folder");
    let (leaving, staying) = (EmulatedHost::start(), EmulatedHost::start());
    let (first, second) = (
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let (gone, stays) = (leaving.address, staying.address);
    let known = list_update(
        1,
        false,
        &[("s-1", gone, "active"), ("s-2", stays, "active")],
    );
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        first.address,
        &known,
        256,
    ));
    let (at_leaving, _at_staying) = (
        accept_all(leaving, Duration::from_millis(2)),
        accept_all(staying, Duration::from_millis(2)),
    );
    let _held = poll_after(&first, 1);
    let mut owner = OwnerClient::connect(&placer);
    send_requests(&mut owner, 1..21);
    // Requests are under way at the reload, between it and the drain, and after the drain.
    config_with_long_objective(folder.path(), second.address, &known, 256);
    placer.signal(Signal::HUP);
    send_requests(&mut owner, 21..41);
    let poll = poll_after(&second, 1);
    // A drain withdraws the offers that are not sent yet, so it is published after the first set-up has arrived.
    let (first_received, _) = at_leaving
        .recv_timeout(LONG)
        .expect("a set-up at the leaving host before the drain");
    assert!(
        first_received < 1000,
        "a set-up of a request that was not sent yet: {first_received}"
    );
    second.tell(poll, &list_update(2, false, &[("s-1", gone, "leaving")]));
    let _poll = poll_after(&second, 2);
    send_requests(&mut owner, 1001..1041);
    assert_eq!(answers(&mut owner, 80).1, 0, "not all were placed");
    let there = received_setups(&at_leaving);
    assert!(
        there.iter().all(|&sid| sid < 1000),
        "asked after the drain was told: {there:?}"
    );
}

#[test]
fn a_drain_in_the_reloaded_configuration_applies() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, first, second) = (
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let placer = PlacerProcess::start(&config(
        folder.path(),
        first.address,
        &listed(1, "s-1", host.address, "active"),
    ));
    let _held = poll_after(&first, 1);
    config(
        folder.path(),
        second.address,
        &listed(5, "s-1", host.address, "leaving"),
    );
    placer.signal(Signal::HUP);
    let _poll = poll_after(&second, 5);
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 300));
    let answer = owner.receive();
    assert_eq!(
        (answer["msg"].as_str(), answer["code"].as_u64()),
        (Some("close"), Some(34))
    );
    assert!(
        host.heard.try_iter().all(|(_, message)| message[0] != 1),
        "a set-up to a host that drains"
    );
}

#[test]
fn full_list_after_a_late_silence_removes_the_hosts_it_lacks() {
    let folder = tempfile::tempdir().expect("a folder");
    let (first, second, commands) = (
        EmulatedHost::start(),
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
    );
    let (one, two) = (first.address, second.address);
    let known = list_update(1, false, &[("s-1", one, "active"), ("s-2", two, "active")]);
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        commands.address,
        &known,
        256,
    ));
    let (at_first, _at_second) = (
        accept_all(first, Duration::ZERO),
        accept_all(second, Duration::ZERO),
    );
    // For a while changes are told, one after the other.
    for cursor in 2..=6 {
        commands.tell(
            poll_after(&commands, cursor - 1),
            &list_update(cursor, false, &[("s-3", unused_address(), "left")]),
        );
    }
    // Then nothing: the poll stays open, and what is asked is served on.
    let _silent = poll_after(&commands, 6);
    let mut owner = OwnerClient::connect(&placer);
    send_requests(&mut owner, 1..21);
    assert_eq!(answers(&mut owner, 20).1, 0);
    assert!(
        !received_setups(&at_first).is_empty(),
        "it took nothing before it was gone"
    );
    // It is asked once more, and the list comes whole, without the first host.
    let poll = poll_after(&commands, 6);
    commands.tell(poll, &list_update(7, true, &[("s-2", two, "active")]));
    let poll = poll_after(&commands, 7);
    send_requests(&mut owner, 1001..1021);
    assert_eq!(answers(&mut owner, 20).1, 0);
    assert_eq!(
        received_setups(&at_first),
        [0_u64; 0],
        "the whole list does not name it"
    );
    // A change names it again.
    commands.tell(poll, &list_update(8, false, &[("s-1", one, "active")]));
    let _poll = poll_after(&commands, 8);
    send_requests(&mut owner, 2001..2041);
    assert_eq!(answers(&mut owner, 40).1, 0);
    assert!(
        !received_setups(&at_first).is_empty(),
        "it is back and takes nothing"
    );
}

/// Reads one set-up, accepts it, and ends as a killed process does: its connection and its listener are closed.
fn accept_one_and_die(listener: TcpListener) -> u64 {
    let (tell, heard) = channel();
    let (mut stream, _) = listener.accept().expect("a placer");
    let reader = stream.try_clone().expect("a handle");
    std::thread::spawn(move || platform_support::read_messages(reader, &tell));
    let message = loop {
        let (_, message) = heard.recv_timeout(LONG).expect("a set-up");
        if message[0] == 1 {
            break message;
        }
    };
    drop(listener);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    stream.shutdown(Shutdown::Both).expect("it is closed");
    setup_id(&message)
}

#[test]
fn a_host_killed_right_after_it_accepted_ends_the_task_once_and_no_attempt_follows() {
    let folder = tempfile::tempdir().expect("a folder");
    let (commands, other) = (EmulatedCommandChannel::start(), EmulatedHost::start());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = listed(
        1,
        "s-1",
        listener.local_addr().expect("its address"),
        "active",
    );
    let placer = PlacerProcess::start(&config(folder.path(), commands.address, &known));
    let poll = poll_after(&commands, 1);
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 60_000));
    assert_eq!(accept_one_and_die(listener), 0xa1);
    let (ready, end) = (owner.receive(), owner.receive());
    assert_eq!(
        (ready["msg"].as_str(), ready["sid"].as_str()),
        (Some("ready"), Some("00000000000000a1"))
    );
    let told = (
        end["msg"].as_str(),
        end["sid"].as_str(),
        end["code"].as_u64(),
    );
    assert_eq!(told, (Some("close"), Some("00000000000000a1"), Some(41)));
    // Another host serves what is asked next, and hears nothing of the task that has ended.
    commands.tell(
        poll,
        &list_update(2, true, &[("s-2", other.address, "active")]),
    );
    let _poll = poll_after(&commands, 2);
    owner.send(&setup("00000000000000a2", 60_000));
    let (mut stream, message) = other.next(1);
    assert_eq!(setup_id(&message), 0xa2);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    let ready = owner.receive();
    assert_eq!(
        (ready["msg"].as_str(), ready["sid"].as_str()),
        (Some("ready"), Some("00000000000000a2"))
    );
}

/// A configuration for an address that a killed process listened on.
fn start_at_address(
    folder: &Path,
    listen: SocketAddr,
    channel: SocketAddr,
    known: &Value,
) -> PlacerProcess {
    PlacerProcess::start(&changed(folder, channel, known, |config| {
        config["listen"] = json!(listen)
    }))
}

#[test]
fn a_placer_killed_right_after_a_host_accepted_leaves_a_task_that_its_successor_takes_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    let known = listed(1, "s-1", host.address, "active");
    // An address that nobody connects from, so that the successor finds it free.
    let mut placer = start_at_address(
        folder.path(),
        ([127, 0, 77, 1], 0).into(),
        commands.address,
        &known,
    );
    for round in 1..=5_u64 {
        let (task, other) = (
            format!("{:016x}", round * 2),
            format!("{:016x}", round * 2 + 1),
        );
        let mut owner = OwnerClient::connect(&placer);
        owner.send(&setup(&task, 60_000));
        let (mut stream, message) = host.next(1);
        send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
        placer.signal(Signal::KILL);
        placer.wait();
        // The answer came whole, or not at all.
        let mut heard = Vec::new();
        let _ = owner.reader.read_to_end(&mut heard);
        let answer: Option<Value> =
            (!heard.is_empty()).then(|| serde_json::from_slice(&heard).expect("one whole line"));
        assert!(
            answer
                .iter()
                .all(|a| a["msg"] == "ready" && a["sid"] == task.as_str()),
            "{answer:?}"
        );
        // The successor is handed the task, and is told over its own connection how that ended.
        placer = start_at_address(folder.path(), placer.address, commands.address, &known);
        let mut owner = OwnerClient::connect(&placer);
        owner.send(&running(&task, "s-1"));
        owner.send(&setup_of_service(round * 2 + 1, round));
        let (mut stream, next) = host.next(1);
        assert_eq!(
            setup_id(&next),
            round * 2 + 1,
            "a second attempt of a task that runs"
        );
        send_from_host(&mut stream, 9, &next, 63, TEXT.as_bytes());
        let ready = owner.receive();
        assert_eq!(
            (ready["msg"].as_str(), ready["sid"].as_str()),
            (Some("ready"), Some(other.as_str()))
        );
        send_from_host(&mut stream, 12, &message, 61, &[16]);
        let end = owner.receive();
        let told = (
            end["msg"].as_str(),
            end["sid"].as_str(),
            end["code"].as_u64(),
        );
        assert_eq!(told, (Some("close"), Some(task.as_str()), Some(16)));
    }
}

/// Asks for a task that has to wait, and hears that this was read.
fn send_request_and_wait(owner: &mut OwnerClient, sid: u64) {
    owner.send(&setup_of_service(sid, sid));
    owner.send(&probe(sid << 32));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
}

#[test]
fn no_attempt_starts_for_clients_that_cancelled_closed_or_half_closed() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    // No host takes anything yet: all of them wait.
    let known = listed(1, "s-1", host.address, "leaving");
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        commands.address,
        &known,
        256,
    ));
    let poll = poll_after(&commands, 1);
    let mut stays = OwnerClient::connect(&placer);
    (1..=5).for_each(|sid| send_request_and_wait(&mut stays, sid));
    let mut cancels = OwnerClient::connect(&placer);
    for sid in 0x100..0x10a {
        send_request_and_wait(&mut cancels, sid);
        cancels
            .send(&json!({"msg": "close", "sid": format!("{sid:016x}"), "attrs": {}, "code": 16}));
    }
    cancels.send(&probe(0xaa));
    while cancels.receive()["sid"] != "00000000000000aa" {}
    let before = descriptor_count(&placer);
    for sid in 0x200..0x20a {
        send_request_and_wait(&mut OwnerClient::connect(&placer), sid);
    }
    for sid in 0x300..0x30a {
        let mut owner = OwnerClient::connect(&placer);
        send_request_and_wait(&mut owner, sid);
        owner
            .stream
            .shutdown(Shutdown::Write)
            .expect("it is half-closed");
        assert!(owner.is_closed(), "it is told nothing more");
    }
    wait_until("those that closed are gone", || {
        descriptor_count(&placer) <= before
    });
    commands.tell(poll, &listed(2, "s-1", host.address, "active"));
    let at_host = accept_all(host, Duration::ZERO);
    assert_eq!(answers(&mut stays, 5).0.len(), 5);
    // What is asked last is served last: nothing is left to come.
    stays.send(&setup_of_service(6, 6));
    assert_eq!(answers(&mut stays, 1).0.len(), 1);
    let mut served = received_setups(&at_host);
    served.sort_unstable();
    assert_eq!(served, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn attempt_is_withdrawn_and_not_repeated_when_its_client_disconnects() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer,
        mut owner,
    } = SinglePlacer::start();
    let cancel = json!({"msg": "close", "sid": "00000000000000a1", "attrs": {}, "code": 16});
    let mut closes = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 60_000));
    let (mut cancelled, first) = host.next(1);
    closes.send(&setup_of_service(0xa2, 7));
    let (mut closed, second) = host.next(1);
    owner.send(&cancel);
    let (_, told) = host.next(12);
    assert_eq!(
        (setup_id(&told), parameter(&told, 61)),
        (0xa1, Some(&[16][..]))
    );
    drop(closes);
    let (_, told) = host.next(12);
    assert_eq!(
        (setup_id(&told), parameter(&told, 61)),
        (0xa2, Some(&[16][..]))
    );
    // The host erred with both. A client that waits has another attempt for that, and this one comes last.
    send_from_host(&mut cancelled, 12, &first, 61, &[47]);
    send_from_host(&mut closed, 12, &second, 61, &[47]);
    let mut waits = OwnerClient::connect(&placer);
    waits.send(&setup_of_service(0xa3, 8));
    let (mut stream, third) = host.next(1);
    send_from_host(&mut stream, 12, &third, 61, &[47]);
    let (mut stream, again) = host.next(1);
    assert_eq!(
        (setup_id(&third), setup_id(&again)),
        (0xa3, 0xa3),
        "an attempt for one that has gone"
    );
    send_from_host(&mut stream, 9, &again, 63, TEXT.as_bytes());
    assert_eq!(waits.receive()["msg"].as_str(), Some("ready"));
    assert!(
        host.heard.try_iter().all(|(_, message)| message[0] != 1),
        "another attempt"
    );
}

#[test]
fn discovery_that_comes_back_at_its_address_is_followed_while_idle_clients_hold_all_descriptors() {
    const LIMIT: u64 = 80;
    let folder = tempfile::tempdir().expect("a folder");
    let host = EmulatedHost::start();
    // Discovery is down, at an address that nobody connects from.
    let down = TcpListener::bind("127.0.79.1:0")
        .and_then(|l| l.local_addr())
        .expect("an address");
    let known = listed(1, "s-1", host.address, "leaving");
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        down,
        &known,
        LIMIT,
    ));
    set_descriptor_limit(&placer, LIMIT);
    let _idle: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(placer.address).expect("a connection"))
        .collect();
    let mut owner = OwnerClient::connect(&placer);
    send_request_and_wait(&mut owner, 1);
    let commands = EmulatedCommandChannel::at(down);
    commands.tell(
        poll_after(&commands, 1),
        &listed(2, "s-1", host.address, "active"),
    );
    let _poll = poll_after(&commands, 2);
    let _reached = accept_all(host, Duration::ZERO);
    assert_eq!(answers(&mut owner, 1).0.len(), 1);
}
