//! The platform's acceptance cases, between real processes, each in the order of events that is prone to errors: reloads
//! with drains, host lists that stop or arrive as full lists, kills right after an acceptance, clients that disconnect.

mod platform_support;

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PlacerProcess, ReloadSetup, SinglePlacer,
    TEST_TIMEOUT, TEXT, accept_all, answers, config, config_with_long_objective, descriptor_count,
    host_update, parameter, probe, running_task, send_from_host, set_descriptor_limit, setup,
    setup_id, setup_of_service, unused_address, wait_until, write_config_with,
};
use rustix::process::Signal;
use serde_json::{Value, json};

/// An event of the command channel with the given hosts (name, address, state); a full list if `whole`.
fn list_update(cursor: u64, whole: bool, hosts: &[(&str, SocketAddr, &str)]) -> Value {
    let endpoint = |&(name, address, status): &(&str, SocketAddr, &str)| {
        host_update(cursor, name, address, status)["cmds"][0]["nodes"]["endpoints"][0].clone()
    };
    let endpoints: Vec<Value> = hosts.iter().map(endpoint).collect();
    let nodes = json!({"index": cursor, "snapshot": whole, "endpoints": endpoints});
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]})
}

/// Requests tasks with these ids, each of a service of its own.
fn send_requests(owner: &mut OwnerClient, sids: std::ops::Range<u64>) {
    sids.for_each(|sid| owner.send(&setup_of_service(sid, sid)));
}

/// The ids of the set-ups that a host has received since the last call.
fn received_setups(host: &Receiver<(u64, Instant)>) -> Vec<u64> {
    host.try_iter().map(|(sid, _)| sid).collect()
}

/// Receives the next poll, which must resume after this event.
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
    let folder = tempfile::tempdir().expect("temporary folder");
    let (leaving, staying) = (EmulatedHost::start(), EmulatedHost::start());
    let (first, second) = (
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let (leaving_address, staying_address) = (leaving.address, staying.address);
    let initial_list = list_update(
        1,
        false,
        &[
            ("s-1", leaving_address, "active"),
            ("s-2", staying_address, "active"),
        ],
    );
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        first.address,
        &initial_list,
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
    config_with_long_objective(folder.path(), second.address, &initial_list, 256);
    placer.signal(Signal::HUP);
    send_requests(&mut owner, 21..41);
    let poll = poll_after(&second, 1);
    // A drain withdraws the offers that are not sent yet, so it is published after the first set-up has arrived.
    let (first_received, _) = at_leaving
        .recv_timeout(TEST_TIMEOUT)
        .expect("a set-up at the leaving host before the drain");
    assert!(
        first_received < 1000,
        "a set-up of a request that was not sent yet: {first_received}"
    );
    second.respond(
        poll,
        &list_update(2, false, &[("s-1", leaving_address, "leaving")]),
    );
    let _poll = poll_after(&second, 2);
    send_requests(&mut owner, 1001..1041);
    assert_eq!(answers(&mut owner, 80).1, 0, "not all were placed");
    let received = received_setups(&at_leaving);
    assert!(
        received.iter().all(|&sid| sid < 1000),
        "set-ups of requests that were sent after the drain: {received:?}"
    );
}

#[test]
fn a_drain_in_the_reloaded_configuration_applies() {
    let ReloadSetup {
        folder,
        host,
        first,
        second,
    } = ReloadSetup::start();
    let placer = PlacerProcess::start(&config(
        folder.path(),
        first.address,
        &host_update(1, "s-1", host.address, "active"),
    ));
    let _held = poll_after(&first, 1);
    config(
        folder.path(),
        second.address,
        &host_update(5, "s-1", host.address, "leaving"),
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
        host.messages.try_iter().all(|(_, message)| message[0] != 1),
        "the draining host received a set-up"
    );
}

#[test]
fn full_list_after_a_silent_poll_removes_the_hosts_it_lacks() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (first, second, commands) = (
        EmulatedHost::start(),
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
    );
    let (first_address, second_address) = (first.address, second.address);
    let initial_list = list_update(
        1,
        false,
        &[
            ("s-1", first_address, "active"),
            ("s-2", second_address, "active"),
        ],
    );
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        commands.address,
        &initial_list,
        256,
    ));
    let (at_first, _at_second) = (
        accept_all(first, Duration::ZERO),
        accept_all(second, Duration::ZERO),
    );
    // First, changes arrive one after the other.
    for cursor in 2..=6 {
        commands.respond(
            poll_after(&commands, cursor - 1),
            &list_update(cursor, false, &[("s-3", unused_address(), "left")]),
        );
    }
    // Then the list is silent: the poll stays open, and requests are still served.
    let _silent = poll_after(&commands, 6);
    let mut owner = OwnerClient::connect(&placer);
    send_requests(&mut owner, 1..21);
    assert_eq!(answers(&mut owner, 20).1, 0);
    assert!(
        !received_setups(&at_first).is_empty(),
        "the first host received no set-up before its removal"
    );
    // The next poll is answered with a full list without the first host.
    let poll = poll_after(&commands, 6);
    commands.respond(
        poll,
        &list_update(7, true, &[("s-2", second_address, "active")]),
    );
    let poll = poll_after(&commands, 7);
    send_requests(&mut owner, 1001..1021);
    assert_eq!(answers(&mut owner, 20).1, 0);
    assert_eq!(
        received_setups(&at_first),
        [0_u64; 0],
        "set-ups for a host that the full list lacks"
    );
    // A later change adds the first host again.
    commands.respond(
        poll,
        &list_update(8, false, &[("s-1", first_address, "active")]),
    );
    let _poll = poll_after(&commands, 8);
    send_requests(&mut owner, 2001..2041);
    assert_eq!(answers(&mut owner, 40).1, 0);
    assert!(
        !received_setups(&at_first).is_empty(),
        "the first host received no set-up after its return"
    );
}

/// Accepts one set-up, then closes the connection and the listener, as the end of a killed process does.
fn accept_one_and_disconnect(listener: TcpListener) -> u64 {
    let (sender, messages) = channel();
    let (mut stream, _) = listener.accept().expect("connection of the placer");
    let reader = stream.try_clone().expect("stream can be cloned");
    std::thread::spawn(move || platform_support::read_messages(reader, &sender));
    let message = loop {
        let (_, message) = messages
            .recv_timeout(TEST_TIMEOUT)
            .expect("set-up is received");
        if message[0] == 1 {
            break message;
        }
    };
    drop(listener);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    stream
        .shutdown(Shutdown::Both)
        .expect("stream can be shut down");
    setup_id(&message)
}

#[test]
fn a_host_killed_right_after_it_accepted_ends_the_task_once_and_no_attempt_follows() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (commands, other) = (EmulatedCommandChannel::start(), EmulatedHost::start());
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let initial_list = host_update(
        1,
        "s-1",
        listener.local_addr().expect("local address"),
        "active",
    );
    let placer = PlacerProcess::start(&config(folder.path(), commands.address, &initial_list));
    let poll = poll_after(&commands, 1);
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 60_000));
    assert_eq!(accept_one_and_disconnect(listener), 0xa1);
    let (ready, end) = (owner.receive(), owner.receive());
    assert_eq!(
        (ready["msg"].as_str(), ready["sid"].as_str()),
        (Some("ready"), Some("00000000000000a1"))
    );
    let received = (
        end["msg"].as_str(),
        end["sid"].as_str(),
        end["code"].as_u64(),
    );
    assert_eq!(
        received,
        (Some("close"), Some("00000000000000a1"), Some(41))
    );
    // Another host serves the next request, and receives no message for the ended task.
    commands.respond(
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

/// Starts a placer at an address, which a killed process may have used before.
fn start_at_address(
    folder: &Path,
    listen: SocketAddr,
    channel: SocketAddr,
    initial_list: &Value,
) -> PlacerProcess {
    PlacerProcess::start(&write_config_with(
        folder,
        channel,
        initial_list,
        |config| config["listen"] = json!(listen),
    ))
}

#[test]
fn a_placer_killed_right_after_a_host_accepted_leaves_a_task_that_its_successor_takes_over() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    let initial_list = host_update(1, "s-1", host.address, "active");
    // No client connects from this address, so the successor can bind it.
    let mut placer = start_at_address(
        folder.path(),
        ([127, 0, 77, 1], 0).into(),
        commands.address,
        &initial_list,
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
        // The owner received the whole answer or nothing.
        let mut bytes = Vec::new();
        let _ = owner.reader.read_to_end(&mut bytes);
        let answer: Option<Value> = (!bytes.is_empty())
            .then(|| serde_json::from_slice(&bytes).expect("one complete JSON line"));
        assert!(
            answer
                .iter()
                .all(|a| a["msg"] == "ready" && a["sid"] == task.as_str()),
            "{answer:?}"
        );
        // The owner hands the task over to the successor, which receives the task's end on its own connection.
        placer = start_at_address(
            folder.path(),
            placer.address,
            commands.address,
            &initial_list,
        );
        let mut owner = OwnerClient::connect(&placer);
        owner.send(&running_task(&task, "s-1"));
        owner.send(&setup_of_service(round * 2 + 1, round));
        let (mut stream, next) = host.next(1);
        assert_eq!(
            setup_id(&next),
            round * 2 + 1,
            "second attempt of a running task"
        );
        send_from_host(&mut stream, 9, &next, 63, TEXT.as_bytes());
        let ready = owner.receive();
        assert_eq!(
            (ready["msg"].as_str(), ready["sid"].as_str()),
            (Some("ready"), Some(other.as_str()))
        );
        send_from_host(&mut stream, 12, &message, 61, &[16]);
        let end = owner.receive();
        let received = (
            end["msg"].as_str(),
            end["sid"].as_str(),
            end["code"].as_u64(),
        );
        assert_eq!(received, (Some("close"), Some(task.as_str()), Some(16)));
    }
}

/// Sends a request that stays pending, and a probe, whose answer shows that the request was read.
fn send_request_and_wait(owner: &mut OwnerClient, sid: u64) {
    owner.send(&setup_of_service(sid, sid));
    owner.send(&probe(sid << 32));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
}

#[test]
fn no_attempt_starts_for_clients_that_cancelled_closed_or_half_closed() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    // The only host is leaving, so all requests stay pending.
    let initial_list = host_update(1, "s-1", host.address, "leaving");
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        commands.address,
        &initial_list,
        256,
    ));
    let poll = poll_after(&commands, 1);
    let mut waiting = OwnerClient::connect(&placer);
    (1..=5).for_each(|sid| send_request_and_wait(&mut waiting, sid));
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
            .expect("stream can be half-closed");
        assert!(
            owner.is_closed(),
            "the half-closed client received an answer"
        );
    }
    wait_until("descriptors of closed connections are released", || {
        descriptor_count(&placer) <= before
    });
    commands.respond(poll, &host_update(2, "s-1", host.address, "active"));
    let at_host = accept_all(host, Duration::ZERO);
    assert_eq!(answers(&mut waiting, 5).0.len(), 5);
    // Requests are served in order: after this one, no earlier set-up is outstanding.
    waiting.send(&setup_of_service(6, 6));
    assert_eq!(answers(&mut waiting, 1).0.len(), 1);
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
    let (_, received) = host.next(12);
    assert_eq!(
        (setup_id(&received), parameter(&received, 61)),
        (0xa1, Some(&[16][..]))
    );
    drop(closes);
    let (_, received) = host.next(12);
    assert_eq!(
        (setup_id(&received), parameter(&received, 61)),
        (0xa2, Some(&[16][..]))
    );
    // The host reports an error for both. Only a request whose client still waits is retried after that, as this later one
    // shows.
    send_from_host(&mut cancelled, 12, &first, 61, &[47]);
    send_from_host(&mut closed, 12, &second, 61, &[47]);
    let mut other = OwnerClient::connect(&placer);
    other.send(&setup_of_service(0xa3, 8));
    let (mut stream, third) = host.next(1);
    send_from_host(&mut stream, 12, &third, 61, &[47]);
    let (mut stream, again) = host.next(1);
    assert_eq!(
        (setup_id(&third), setup_id(&again)),
        (0xa3, 0xa3),
        "attempt for a client that has disconnected"
    );
    send_from_host(&mut stream, 9, &again, 63, TEXT.as_bytes());
    assert_eq!(other.receive()["msg"].as_str(), Some("ready"));
    assert!(
        host.messages.try_iter().all(|(_, message)| message[0] != 1),
        "second attempt for a cancelled request"
    );
}

#[test]
fn discovery_that_returns_is_polled_although_idle_clients_hold_all_descriptors() {
    const MAX_DESCRIPTORS: u64 = 80;
    let folder = tempfile::tempdir().expect("temporary folder");
    let host = EmulatedHost::start();
    // Discovery is down. No client connects from its address, so it can be bound later.
    let down = TcpListener::bind("127.0.79.1:0")
        .and_then(|l| l.local_addr())
        .expect("socket address");
    let initial_list = host_update(1, "s-1", host.address, "leaving");
    let placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        down,
        &initial_list,
        MAX_DESCRIPTORS,
    ));
    set_descriptor_limit(&placer, MAX_DESCRIPTORS);
    let _idle: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(placer.address).expect("connection is accepted"))
        .collect();
    let mut owner = OwnerClient::connect(&placer);
    send_request_and_wait(&mut owner, 1);
    let commands = EmulatedCommandChannel::listen_at(down);
    commands.respond(
        poll_after(&commands, 1),
        &host_update(2, "s-1", host.address, "active"),
    );
    let _poll = poll_after(&commands, 2);
    let _reached = accept_all(host, Duration::ZERO);
    assert_eq!(answers(&mut owner, 1).0.len(), 1);
}
