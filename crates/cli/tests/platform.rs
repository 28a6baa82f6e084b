//! The platform placer as a process, with emulated owners, hosts and command channels on loopback. The tests check the
//! messages on the sockets.

mod platform_support;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;

use platform_support::{
    EmulatedCommandChannel, OwnerClient, PROGRAM, PlacerProcess, ReloadSetup, SinglePlacer, TEXT,
    config, host_update, parameter, send_from_host, setup,
};
use rustix::process::Signal;
use serde_json::{Value, json};

#[test]
fn a_task_is_placed_and_released_and_polling_continues_at_a_new_channel() {
    let ReloadSetup {
        folder,
        host,
        first,
        second,
    } = ReloadSetup::start();
    let file = config(
        folder.path(),
        first.address,
        &host_update(3, "s-1", host.address, "active"),
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

    // A new configuration names another channel, which is polled from the last event on.
    config(
        folder.path(),
        second.address,
        &host_update(3, "s-1", host.address, "active"),
    );
    placer.signal(Signal::HUP);
    let (poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=3&block="), "{line}");
    // An unreadable configuration file changes nothing.
    std::fs::write(&file, "{").expect("file can be written");
    placer.signal(Signal::HUP);
    second.respond(poll, &host_update(4, "s-1", host.address, "leaving"));
    let (_poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=4&block="), "{line}");

    // The host is draining: the request is not offered to it, and is answered before its deadline.
    owner.send(&setup("9b1f03aa5c7e2d42", 300));
    let answer = owner.receive();
    assert_eq!(
        (answer["msg"].as_str(), answer["code"].as_u64()),
        (Some("close"), Some(34))
    );
    placer.signal(Signal::TERM);
    assert!(placer.wait().success());
    assert!(
        host.messages.try_iter().all(|(_, message)| message[0] != 1),
        "the draining host received a set-up"
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
fn the_platform_placer_is_one_dynamically_linked_process_with_ipv4_sockets_only() {
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
    let proc_folder = PathBuf::from(format!("/proc/{}", placer.child.id()));
    // Operators may preload a library of their own, which needs the dynamic loader of the C library.
    let maps =
        std::fs::read_to_string(proc_folder.join("maps")).expect("memory map of the process");
    assert!(
        maps.contains("libc.so") && maps.contains("ld-linux"),
        "{maps}"
    );
    let children = std::fs::read_dir(proc_folder.join("task"))
        .expect("thread list can be read")
        .map(|thread| {
            let file = thread.expect("directory entry").path().join("children");
            std::fs::read_to_string(file).unwrap_or_default()
        });
    assert_eq!(
        children.collect::<String>().trim(),
        "",
        "the placer has child processes"
    );
    let ipv4_sockets: Vec<String> = ["tcp", "udp"].into_iter().flat_map(sockets).collect();
    let other: Vec<String> = ["tcp6", "udp6", "unix"]
        .into_iter()
        .flat_map(sockets)
        .collect();
    let mut found = 0;
    for entry in std::fs::read_dir(proc_folder.join("fd")).expect("descriptor list can be read") {
        let entry = entry.expect("directory entry").path();
        let Ok(target) = std::fs::read_link(&entry) else {
            continue;
        };
        let target = target.to_string_lossy().into_owned();
        // Standard input, output and error are inherited from the parent.
        if matches!(
            entry.file_name().and_then(|n| n.to_str()),
            Some("0" | "1" | "2")
        ) {
            continue;
        }
        if let Some(inode) = target
            .strip_prefix("socket:[")
            .and_then(|w| w.strip_suffix(']'))
        {
            assert!(
                !other.iter().any(|o| o == inode),
                "{target} is not an IPv4 socket"
            );
            found += usize::from(ipv4_sockets.iter().any(|o| o == inode));
        } else {
            let allowed = [
                "anon_inode:[eventpoll]",
                "anon_inode:[eventfd]",
                "pipe:[",
                "/dev/null",
            ];
            assert!(
                allowed.iter().any(|k| target.starts_with(k)),
                "unexpected open descriptor: {target}"
            );
        }
    }
    assert!(
        found >= 4,
        "expected at least 4 sockets (listener, owner, host, channel), found {found}"
    );
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
    // Answered before the malformed input below, so that no deadline depends on how long that takes.
    owner.send(&setup("9b1f03aa5c7e2d41", 60_000));
    let (mut stream, placed) = host.next(1);
    send_from_host(&mut stream, 9, &placed, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));

    let mut unreadable = OwnerClient::connect(&placer);
    unreadable
        .stream
        .write_all(b"\x16\x03\x01 this is no JSON\n")
        .expect("data can be sent");
    assert!(unreadable.is_closed());
    let mut endless = OwnerClient::connect(&placer);
    let sent = (0..1000).try_for_each(|_| endless.stream.write_all(&[b'x'; 64 << 10]));
    assert!(sent.is_err() || endless.is_closed());
    let mut invalid = OwnerClient::connect(&placer);
    invalid.send(&json!({"msg": "open", "sid": "9b1f03aa5c7e2d50", "attrs": {"class": "nosuch"}, "text": "x"}));
    assert_eq!(invalid.receive()["msg"].as_str(), Some("close"));
    invalid.send(&setup("9b1f03aa5c7e2d41", 60_000));
    assert_eq!(invalid.receive()["msg"].as_str(), Some("close"));
    // More idle connections than the placer may have descriptors; an active one is still served.
    let idle: Vec<TcpStream> = (0..400)
        .map(|_| TcpStream::connect(placer.address).expect("connection is accepted"))
        .collect();
    let mut active = OwnerClient::connect(&placer);
    active.send(&json!({"msg": "probe", "sid": "00000000000000aa", "attrs": {}, "code": 0}));
    assert_eq!(active.receive()["msg"].as_str(), Some("probed"));
    drop(idle);

    active.send(&setup("9b1f03aa5c7e2d42", 60_000));
    let (mut stream, message) = host.next(1);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(active.receive()["msg"].as_str(), Some("ready"));
    // The task that was placed before the malformed input is released on its owner's connection.
    send_from_host(&mut stream, 12, &placed, 61, &[16]);
    let release = owner.receive();
    let received = (release["msg"].as_str(), release["sid"].as_str());
    assert_eq!(received, (Some("close"), Some("9b1f03aa5c7e2d41")));
}

#[test]
fn invalid_configuration_is_reported_before_anything_is_served() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let commands = EmulatedCommandChannel::start();
    let valid = config(
        folder.path(),
        commands.address,
        &json!({"cursor": 0, "cmds": []}),
    );
    let valid: Value =
        serde_json::from_str(&std::fs::read_to_string(valid).expect("file can be read"))
            .expect("valid JSON");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("free port");
    let change = |path: &str, value: Value| {
        let mut config = valid.clone();
        *config.pointer_mut(path).expect("key in the configuration") = value;
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
            change(
                "/listen",
                json!(occupied.local_addr().expect("local address")),
            ),
            "127.0.0.1",
        ),
    ];
    for (text, expected) in cases {
        let path = folder.path().join("wrong.json");
        std::fs::write(&path, text).expect("file can be written");
        let out = Command::new(PROGRAM)
            .arg("platform")
            .env("RELAY_CONFIG", &path)
            .output()
            .expect("process ends");
        let log = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            !out.status.success() && log.lines().count() == 1 && log.contains(expected),
            "{expected}: {log}"
        );
    }
    let out = Command::new(PROGRAM)
        .arg("platform")
        .env_remove("RELAY_CONFIG")
        .output()
        .expect("process ends");
    assert!(!out.status.success());
    let out = Command::new(PROGRAM)
        .arg("platform")
        .env("RELAY_CONFIG", "/nowhere")
        .output()
        .expect("process ends");
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("/nowhere"));
}
