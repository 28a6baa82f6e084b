//! The placer in service, as a process: stand-ins for owners, hosts and the command channel on loopback. What crossed
//! the sockets is judged.

mod platform_support;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PROGRAM, PlacerProcess, SinglePlacer, TEXT,
    config, listed, parameter, send_from_host, setup,
};
use rustix::process::Signal;
use serde_json::{Value, json};

#[test]
fn a_task_is_placed_and_released_and_the_channel_is_followed_over_a_new_configuration() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, first, second) = (
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let file = config(
        folder.path(),
        first.address,
        &listed(3, "s-1", host.address, "active"),
    );
    let mut placer = PlacerProcess::start(&file);
    let (_held, line) = first.poll();
    assert!(line.starts_with("GET /cmd/next?resume=3&block="), "{line}");

    let mut owner = OwnerClient::connect(&placer);
    owner.send(&json!({"msg": "probe", "sid": "00000000000000aa", "attrs": {}, "code": 0}));
    assert_eq!(
        (
            owner.receive()["msg"].as_str(),
            owner.assert_nothing_received()
        ),
        (Some("probed"), ())
    );
    owner.send(&setup("9b1f03aa5c7e2d41", 6000));
    let (mut stream, message) = host.next(1);
    assert_eq!(message[1..9], 0x9b1f_03aa_5c7e_2d41_u64.to_be_bytes());
    assert_eq!(parameter(&message, 63), Some(TEXT.as_bytes()));
    assert_eq!(parameter(&message, 33), Some(&b"web"[..]));
    assert_eq!(parameter(&message, 41), Some(&b"7f3a9c21e0b4d655"[..]));
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    let answer = owner.receive();
    assert_eq!(
        (answer["msg"].as_str(), answer["text"].as_str()),
        (Some("ready"), Some(TEXT))
    );
    send_from_host(&mut stream, 12, &message, 61, &[16]);
    let release = owner.receive();
    assert_eq!(
        (release["msg"].as_str(), release["code"].as_u64()),
        (Some("close"), Some(16))
    );

    // A new configuration names another channel: it is asked from the last event on.
    config(
        folder.path(),
        second.address,
        &listed(3, "s-1", host.address, "active"),
    );
    placer.signal(Signal::HUP);
    let (poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=3&block="), "{line}");
    // A file that can't be read changes nothing.
    std::fs::write(&file, "{").expect("a file");
    placer.signal(Signal::HUP);
    second.tell(poll, &listed(4, "s-1", host.address, "leaving"));
    let (_poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=4&block="), "{line}");

    // The host drains now: the ask is not offered there, and answered before its deadline.
    owner.send(&setup("9b1f03aa5c7e2d42", 300));
    let answer = owner.receive();
    assert_eq!(
        (answer["msg"].as_str(), answer["code"].as_u64()),
        (Some("close"), Some(34))
    );
    placer.signal(Signal::TERM);
    assert!(placer.wait().success());
    assert!(
        host.heard.try_iter().all(|(_, message)| message[0] != 1),
        "a set-up to a host that drains"
    );
}

#[test]
fn requests_pending_at_sigterm_are_answered_before_the_process_ends() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        mut placer,
        mut owner,
    } = SinglePlacer::start();
    owner.send(&setup("9b1f03aa5c7e2d41", 60_000));
    let (mut stream, message) = host.next(1);
    placer.signal(Signal::TERM);
    // New connections are still served.
    let mut late = OwnerClient::connect(&placer);
    late.send(&json!({"msg": "probe", "sid": "00000000000000aa", "attrs": {}, "code": 0}));
    assert_eq!(late.receive()["msg"].as_str(), Some("probed"));
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    assert!(placer.wait().success());
}

/// The inodes of the sockets that `/proc/net` lists for this protocol.
fn sockets(protocol: &str) -> Vec<String> {
    let list = std::fs::read_to_string(format!("/proc/net/{protocol}")).unwrap_or_default();
    let column = if protocol == "unix" { 6 } else { 9 };
    list.lines()
        .skip(1)
        .filter_map(|l| l.split_whitespace().nth(column).map(str::to_owned))
        .collect()
}

#[test]
fn the_placer_in_service_is_one_process_that_opens_ipv4_sockets_alone_and_is_linked_dynamically() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer,
        mut owner,
    } = SinglePlacer::start();
    for n in 0..3 {
        owner.send(&setup(&format!("9b1f03aa5c7e2d{n:02x}"), 60_000));
        let (mut stream, message) = host.next(1);
        send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
        assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    }
    let of = PathBuf::from(format!("/proc/{}", placer.child.id()));
    // A library of the operators' may be loaded into it: that takes the C library's dynamic loader.
    let maps = std::fs::read_to_string(of.join("maps")).expect("what it is made of");
    assert!(
        maps.contains("libc.so") && maps.contains("ld-linux"),
        "{maps}"
    );
    let children = std::fs::read_dir(of.join("task"))
        .expect("its threads")
        .map(|thread| {
            let file = thread.expect("a thread").path().join("children");
            std::fs::read_to_string(file).unwrap_or_default()
        });
    assert_eq!(
        children.collect::<String>().trim(),
        "",
        "it started another program"
    );
    let ours: Vec<String> = ["tcp", "udp"].into_iter().flat_map(sockets).collect();
    let other: Vec<String> = ["tcp6", "udp6", "unix"]
        .into_iter()
        .flat_map(sockets)
        .collect();
    let mut found = 0;
    for entry in std::fs::read_dir(of.join("fd")).expect("its descriptors") {
        let entry = entry.expect("a descriptor").path();
        let Ok(what) = std::fs::read_link(&entry) else {
            continue;
        };
        let what = what.to_string_lossy().into_owned();
        // What it was given at its start is its parent's matter.
        if matches!(
            entry.file_name().and_then(|n| n.to_str()),
            Some("0" | "1" | "2")
        ) {
            continue;
        }
        if let Some(inode) = what
            .strip_prefix("socket:[")
            .and_then(|w| w.strip_suffix(']'))
        {
            assert!(
                !other.iter().any(|o| o == inode),
                "{what} is no IPv4 socket"
            );
            found += usize::from(ours.iter().any(|o| o == inode));
        } else {
            let known = [
                "anon_inode:[eventpoll]",
                "anon_inode:[eventfd]",
                "pipe:[",
                "/dev/null",
            ];
            assert!(known.iter().any(|k| what.starts_with(k)), "it holds {what}");
        }
    }
    assert!(found >= 4, "listener, owner, host and channel: {found}");
}

#[test]
fn malformed_input_is_rejected_or_closed_while_others_are_served() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer,
        mut owner,
    } = SinglePlacer::start();
    // Nothing waits for its answer meanwhile: how long the rest takes is the machine's matter.
    owner.send(&setup("9b1f03aa5c7e2d41", 60_000));
    let (mut stream, standing) = host.next(1);
    send_from_host(&mut stream, 9, &standing, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));

    let mut unreadable = OwnerClient::connect(&placer);
    unreadable
        .stream
        .write_all(b"\x16\x03\x01 this is no JSON\n")
        .expect("it is read");
    assert!(unreadable.is_closed());
    let mut endless = OwnerClient::connect(&placer);
    let sent = (0..1000).try_for_each(|_| endless.stream.write_all(&[b'x'; 64 << 10]));
    assert!(sent.is_err() || endless.is_closed());
    let mut odd = OwnerClient::connect(&placer);
    odd.send(&json!({"msg": "open", "sid": "9b1f03aa5c7e2d50", "attrs": {"class": "nosuch"}, "text": "x"}));
    assert_eq!(odd.receive()["msg"].as_str(), Some("close"));
    odd.send(&setup("9b1f03aa5c7e2d41", 60_000));
    assert_eq!(odd.receive()["msg"].as_str(), Some("close"));
    // More connections than it may hold descriptors for, which say nothing; a usual one still gets through.
    let silent: Vec<TcpStream> = (0..400)
        .map(|_| TcpStream::connect(placer.address).expect("a connection"))
        .collect();
    let mut usual = OwnerClient::connect(&placer);
    usual.send(&json!({"msg": "probe", "sid": "00000000000000aa", "attrs": {}, "code": 0}));
    assert_eq!(usual.receive()["msg"].as_str(), Some("probed"));
    drop(silent);

    usual.send(&setup("9b1f03aa5c7e2d42", 60_000));
    let (mut stream, message) = host.next(1);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(usual.receive()["msg"].as_str(), Some("ready"));
    // What stood all the while is released on its owner's connection.
    send_from_host(&mut stream, 12, &standing, 61, &[16]);
    let release = owner.receive();
    let told = (release["msg"].as_str(), release["sid"].as_str());
    assert_eq!(told, (Some("close"), Some("9b1f03aa5c7e2d41")));
}

#[test]
fn invalid_configuration_is_reported_before_anything_is_served() {
    let folder = tempfile::tempdir().expect("a folder");
    let commands = EmulatedCommandChannel::start();
    let good = config(
        folder.path(),
        commands.address,
        &json!({"cursor": 0, "cmds": []}),
    );
    let good: Value =
        serde_json::from_str(&std::fs::read_to_string(good).expect("text")).expect("JSON");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let change = |path: &str, value: Value| {
        let mut config = good.clone();
        *config.pointer_mut(path).expect("it is there") = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "line 1"),
        (change("/seed", json!("x")), "seed"),
        (
            change("/settings/allowed/maxAttempts", json!("three")),
            "maxAttempts",
        ),
        (
            change("/settings/allowed/connectTimeoutMs", json!(null)),
            "connectTimeoutMs",
        ),
        (
            change("/listen", json!(taken.local_addr().expect("its address"))),
            "127.0.0.1",
        ),
    ];
    for (text, named) in cases {
        let path = folder.path().join("wrong.json");
        std::fs::write(&path, text).expect("a file");
        let out = Command::new(PROGRAM)
            .arg("platform")
            .env("RELAY_CONFIG", &path)
            .output()
            .expect("it ends");
        let log = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            !out.status.success() && log.lines().count() == 1 && log.contains(named),
            "{named}: {log}"
        );
    }
    let out = Command::new(PROGRAM)
        .arg("platform")
        .env_remove("RELAY_CONFIG")
        .output()
        .expect("it ends");
    assert!(!out.status.success());
    let out = Command::new(PROGRAM)
        .arg("platform")
        .env("RELAY_CONFIG", "/nowhere")
        .output()
        .expect("it ends");
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("/nowhere"));
}
