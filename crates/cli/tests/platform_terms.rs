//! What owners, hosts and operators are promised while something fails, on real connections: full descriptor_count, floods,
//! slow peers, starts without discovery, lists that go quiet.

mod platform_support;

use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PlacerProcess, SinglePlacer, TEXT, changed,
    config, descriptor_count, listed, probe, send_from_host, set_descriptor_limit, setup, setup_id,
    unused_address, wait_until,
};
use rustix::process::Signal;
use serde_json::json;

/// Processor time that a process has used, in ticks of 10 ms.
fn cpu_ticks(placer: &PlacerProcess) -> u64 {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", placer.child.id())).expect("its state");
    let after_name = stat.rsplit(')').next().expect("fields");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    fields[11].parse::<u64>().expect("user") + fields[12].parse::<u64>().expect("system")
}

#[test]
fn with_all_descriptors_taken_by_idle_clients_it_serves_others_and_finds_discovery_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let host = EmulatedHost::start();
    // Discovery is down.
    let channel = unused_address();
    let known = listed(1, "s-1", host.address, "active");
    let file = changed(folder.path(), channel, &known, |c| {
        c["limits"]["sockets"] = json!(80)
    });
    let placer = PlacerProcess::start(&file);
    set_descriptor_limit(&placer, 80);
    // Clients of which each said something of use, and that go on to say nothing.
    let idle: Vec<TcpStream> = (0..200)
        .map(|n| {
            let mut stream = TcpStream::connect(placer.address).expect("a connection");
            let _ = stream.write_all(format!("{}\n", probe(n)).as_bytes());
            stream
        })
        .collect();
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 60_000));
    let (mut stream, message) = host.next(1);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    // Discovery is back, at another address first told by a new configuration: it is asked.
    let commands = EmulatedCommandChannel::start();
    changed(folder.path(), commands.address, &known, |c| {
        c["limits"]["sockets"] = json!(80)
    });
    placer.signal(Signal::HUP);
    let (_poll, line) = commands.poll();
    assert!(line.starts_with("GET /cmd/next?resume=1&block="), "{line}");
    drop(idle);
}

#[test]
fn waiting_clients_leave_descriptors_for_hosts_and_use_no_processor_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    let known = listed(1, "s-1", host.address, "leaving");
    let file = changed(folder.path(), commands.address, &known, |c| {
        c["limits"]["sockets"] = json!(80);
        // Answers are waited for patiently: what is served does not depend on how busy the machine is.
        c["settings"]["classes"][0]["aimMs"] = json!(60_000.0);
    });
    let placer = PlacerProcess::start(&file);
    set_descriptor_limit(&placer, 80);
    commands.poll();
    // No host takes anything: nobody has an answer, and more come than there are descriptors.
    let mut waiting: Vec<Option<OwnerClient>> = (1..=150)
        .map(|n| {
            let mut owner = OwnerClient::connect(&placer);
            owner.send(&setup(&format!("{n:016x}"), 600_000));
            Some(owner)
        })
        .collect();
    wait_until("it holds what it may", || descriptor_count(&placer) >= 50);
    // A loop that spins takes all the processor time there is, about a hundred ticks a second.
    let (before, begin) = (cpu_ticks(&placer), Instant::now());
    std::thread::sleep(Duration::from_millis(1500));
    let (used, took) = (
        cpu_ticks(&placer) - before,
        begin.elapsed().as_millis() as u64 / 10,
    );
    assert!(used * 4 < took, "{used} ticks of {took}");
    // Word of a host that takes tasks is heard, and it is reached.
    while commands.polls.try_recv().is_ok() {}
    let (poll, _) = commands.poll();
    commands.tell(poll, &listed(2, "s-1", host.address, "active"));
    // Those that are served go, and so all the others are served in the end.
    let mut served = 0;
    while served < 150 {
        let (mut stream, message) = host.next(1);
        send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
        let sid = setup_id(&message);
        let mut owner = waiting[sid as usize - 1].take().expect("one answer each");
        assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
        served += 1;
        send_from_host(&mut stream, 12, &message, 61, &[16]);
    }
}

#[test]
fn placers_that_start_together_without_discovery_are_ready_and_serve() {
    let host = EmulatedHost::start();
    let channel = unused_address();
    let known = listed(1, "s-1", host.address, "active");
    let folders: Vec<_> = (0..7)
        .map(|_| tempfile::tempdir().expect("a folder"))
        .collect();
    let files: Vec<PathBuf> = folders
        .iter()
        .map(|f| config(f.path(), channel, &known))
        .collect();
    let starting: Vec<_> = files
        .into_iter()
        .map(|f| std::thread::spawn(move || PlacerProcess::start(&f)))
        .collect();
    let placers: Vec<PlacerProcess> = starting
        .into_iter()
        .map(|t| t.join().expect("it starts"))
        .collect();
    let mut owners: Vec<OwnerClient> = placers.iter().map(OwnerClient::connect).collect();
    for (n, owner) in owners.iter_mut().enumerate() {
        owner.send(&probe(n as u64));
        owner.send(&setup(&format!("{:016x}", 0xb0 + n), 60_000));
    }
    for owner in &mut owners {
        assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
    }
    for _ in &owners {
        let (mut stream, message) = host.next(1);
        send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    }
    for owner in &mut owners {
        assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    }
}

#[test]
fn single_byte_reads_and_writes_are_handled_and_delay_nobody() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer,
        mut owner,
    } = SinglePlacer::start();
    // The owner says something of use first: one that says nothing for 2.5 s is closed.
    owner.send(&probe(1));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
    let slow = format!("{}\n", setup("00000000000000a1", 60_000));
    for (n, byte) in slow.bytes().enumerate() {
        owner.stream.write_all(&[byte]).expect("it is read");
        if n % 40 == 0 {
            // Between two of its bytes another one is served.
            let mut other = OwnerClient::connect(&placer);
            other.send(&probe(n as u64));
            assert_eq!(other.receive()["msg"].as_str(), Some("probed"));
        }
    }
    let (mut stream, message) = host.next(1);
    let mut answer = Vec::new();
    answer.extend_from_slice(&((12 + TEXT.len()) as u16).to_be_bytes());
    answer.push(9);
    answer.extend_from_slice(&message[1..9]);
    answer.push(63);
    answer.extend_from_slice(&(TEXT.len() as u16).to_be_bytes());
    answer.extend_from_slice(TEXT.as_bytes());
    for byte in answer {
        stream.write_all(&[byte]).expect("it is read");
        stream.flush().expect("it is sent");
    }
    let heard = owner.receive();
    assert_eq!(
        (heard["msg"].as_str(), heard["text"].as_str()),
        (Some("ready"), Some(TEXT))
    );
}

#[test]
fn truncated_answer_is_discarded_and_the_request_has_one_answer() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer: _placer,
        mut owner,
    } = SinglePlacer::start();
    owner.send(&setup("00000000000000a1", 60_000));
    let (mut stream, message) = host.next(1);
    // Half an answer, then the end of the connection.
    stream
        .write_all(&[0, 40, 9])
        .and_then(|()| stream.write_all(&message[1..9]))
        .expect("it is read");
    stream
        .shutdown(std::net::Shutdown::Both)
        .expect("it is closed");
    let (mut stream, again) = host.next(1);
    assert_eq!(again[1..9], message[1..9]);
    // The answer, and a copy of it in the same bytes.
    send_from_host(&mut stream, 9, &again, 63, TEXT.as_bytes());
    send_from_host(&mut stream, 9, &again, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    // What comes next is not the copy.
    owner.send(&probe(0xa2));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
}

#[test]
fn a_drain_applies_within_the_grace_when_the_list_is_silent_twice_around_a_reload() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, first, second) = (
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let known = listed(1, "s-1", host.address, "active");
    config(folder.path(), first.address, &known);
    let placer = PlacerProcess::start(&folder.path().join("config.json"));
    let mut owner = OwnerClient::connect(&placer);
    owner.send(&setup("00000000000000a1", 60_000));
    let (mut stream, message) = host.next(1);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(owner.receive()["msg"].as_str(), Some("ready"));
    // The watch begins an answer and stops, open; the next one too, and says nothing at all.
    let (mut quiet, _) = first.poll();
    quiet
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"cursor\":2")
        .expect("it is read");
    let (_quiet, line) = first.poll();
    assert!(line.starts_with("GET /cmd/next?resume=1&block="), "{line}");
    // Elsewhere from now on; and the old address finishes its answer with news that is no news there.
    config(folder.path(), second.address, &known);
    placer.signal(Signal::HUP);
    let _ = quiet.write_all(&[b' '; 400]);
    let (_still, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=1&block="), "{line}");
    // This one goes quiet as well; what it withheld is told to the next poll.
    let (poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=1&block="), "{line}");
    second.tell(poll, &listed(2, "s-1", host.address, "leaving"));
    let (poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=2&block="), "{line}");
    // A second copy of that answer, and one that is older than what is known, change nothing.
    second.tell(
        poll.try_clone().expect("a handle"),
        &listed(2, "s-1", host.address, "active"),
    );
    owner.send(&setup("00000000000000a2", 400));
    let answer = owner.receive();
    assert_eq!(
        (answer["sid"].as_str(), answer["code"].as_u64()),
        (Some("00000000000000a2"), Some(34))
    );
    assert!(
        host.heard.try_iter().all(|(_, m)| m[0] != 1),
        "a set-up to a host that drains"
    );
}

/// The ids of the clients that go.
const DISCONNECTED_IDS: std::ops::Range<u64> = 0xdead_0000..0xdead_0014;

#[test]
fn client_is_answered_in_time_under_a_flood_and_no_attempt_starts_for_one_that_disconnected() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    // So many hosts that a decision takes some time.
    let entry = |n: u64| {
        json!({"name": format!("s-{n}"), "address": host.address, "zone": "east", "type": "std", "group": n,
            "status": "active", "weight": 1, "since_ms": 0})
    };
    let nodes =
        json!({"index": 1, "snapshot": true, "endpoints": (0..100).map(entry).collect::<Vec<_>>()});
    let known = json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]});
    let file = changed(folder.path(), commands.address, &known, |c| {
        c["limits"]["memory_mb"] = json!(256);
        // Hosts' answers are waited for patiently: they come late where the machine is busy.
        c["settings"]["classes"][0]["aimMs"] = json!(20_000.0);
    });
    let placer = PlacerProcess::start(&file);
    // Many others ask as fast as they can.
    for client in 1..=12_u64 {
        let mut stream = TcpStream::connect(placer.address).expect("a connection");
        std::thread::spawn(move || {
            for n in 0..10_000_u64 {
                let mut ask = setup(&format!("{:016x}", client << 32 | n), 60_000);
                ask["attrs"]["extras"] = json!(format!("cores:0.01;memory:0.01;service:{n:016x}"));
                if stream.write_all(format!("{ask}\n").as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
    // When each set-up of those that go reaches a host.
    let reached = std::thread::spawn(move || {
        let (mut reached, until) = (Vec::new(), Instant::now() + Duration::from_secs(7));
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            let Ok((mut stream, message)) = host.heard.recv_timeout(left) else {
                break;
            };
            let sid = setup_id(&message);
            if message[0] == 1 && DISCONNECTED_IDS.contains(&sid) {
                reached.push((sid, Instant::now()));
            } else if message[0] == 1 && sid == DISCONNECTED_IDS.end {
                send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
            }
        }
        reached
    });
    std::thread::sleep(Duration::from_millis(500));
    let mut other = OwnerClient::connect(&placer);
    other.send(&setup(&format!("{:016x}", DISCONNECTED_IDS.end), 5_000));
    assert_eq!(other.receive()["msg"].as_str(), Some("ready"));
    // Each of these asks, and goes soon, whether it has an answer or not.
    let address = placer.address;
    let clients = DISCONNECTED_IDS.map(|sid| {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis((sid - DISCONNECTED_IDS.start) * 100));
            let mut stream = TcpStream::connect(address).expect("a connection");
            let ask = setup(&format!("{sid:016x}"), 60_000);
            stream
                .write_all(format!("{ask}\n").as_bytes())
                .expect("it is read");
            std::thread::sleep(Duration::from_millis(300));
            drop(stream);
            (sid, Instant::now())
        })
    });
    let clients: Vec<_> = clients.collect();
    let gone: std::collections::HashMap<u64, Instant> = clients
        .into_iter()
        .map(|client| client.join().expect("it goes"))
        .collect();
    for (sid, at) in reached.join().expect("it ends") {
        // 0.1 s is what is promised; the rest is for machines that are busy with other tests.
        let after = at.saturating_duration_since(gone[&sid]);
        assert!(
            after < Duration::from_millis(600),
            "{sid:x}: {after:?} after it had gone"
        );
    }
}

#[test]
fn a_new_configuration_that_is_still_being_written_is_read_once_it_is_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let (host, first, second) = (
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let known = listed(1, "s-1", host.address, "active");
    let file = config(folder.path(), first.address, &known);
    let placer = PlacerProcess::start(&file);
    let mut owner = OwnerClient::connect(&placer);
    first.poll();
    config(folder.path(), second.address, &known);
    let whole = std::fs::read(&file).expect("text");
    std::fs::write(&file, &whole[..whole.len() / 2]).expect("a file");
    placer.signal(Signal::HUP);
    // It has read what there was of it by the time it answers what is said later.
    owner.send(&probe(1));
    assert_eq!(owner.receive()["msg"].as_str(), Some("probed"));
    std::fs::write(&file, &whole).expect("a file");
    let (_poll, line) = second.poll();
    assert!(line.starts_with("GET /cmd/next?resume=1&block="), "{line}");
}
