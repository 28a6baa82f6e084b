//! Bytes in flight when a connection is closed or shut down, or when the process ends. Scripted peers delay their reads
//! and writes, so that each race condition occurs in every run.

mod platform_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use platform_support::{
    OwnerClient, PlacerProcess, SinglePlacer, TEST_TIMEOUT, TEXT, descriptor_count, probe,
    running_task, send_from_host, setup, wait_until,
};
use rustix::net::{AddressFamily, SocketType, sockopt};
use rustix::process::Signal;
use serde_json::Value;

/// A connection with a receive buffer so small that answers queue at the sender.
fn connect_with_small_buffers(to: SocketAddr) -> TcpStream {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)
        .expect("socket can be created");
    sockopt::set_socket_recv_buffer_size(&socket, 4096).expect("buffer size can be set");
    rustix::net::connect(&socket, &to).expect("connection is accepted");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("read timeout can be set");
    stream
}

/// `count` probe messages, each of which has an answer of about its own size.
fn probe_lines(from: u64, count: u64) -> Vec<u8> {
    let line =
        |n: u64| format!("{{\"msg\":\"probe\",\"sid\":\"{n:016x}\",\"attrs\":{{}},\"code\":0}}\n");
    (from..from + count)
        .map(line)
        .collect::<String>()
        .into_bytes()
}

/// All lines up to the end of the connection. A reset adds the line "reset".
fn read_lines_to_end(stream: &mut TcpStream) -> Vec<Value> {
    let mut bytes = Vec::new();
    let mut result = stream.read_to_end(&mut bytes);
    if result
        .as_ref()
        .is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
    {
        result = Ok(0);
        bytes.extend_from_slice(b"\"reset\"\n");
    }
    result.expect("stream can be read to its end");
    let line = |l: &[u8]| serde_json::from_slice(l).expect("complete JSON line");
    bytes
        .split(|&b| b == b'\n')
        .filter(|l| !l.is_empty())
        .map(line)
        .collect()
}

/// The queue lengths of the placer's socket of this connection, in bytes: unacknowledged data, and unread data.
fn socket_queues(placer: &PlacerProcess, peer: &TcpStream) -> Option<(u64, u64)> {
    let (placer_port, peer_port) = (
        placer.address.port(),
        peer.local_addr().expect("local address").port(),
    );
    let list = std::fs::read_to_string("/proc/net/tcp").expect("socket list can be read");
    list.lines().skip(1).find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let port = |w: &str| {
            w.rsplit(':')
                .next()
                .and_then(|p| u16::from_str_radix(p, 16).ok())
        };
        let (tx, rx) = words[4].split_once(':')?;
        let number = |w: &str| u64::from_str_radix(w, 16).ok();
        (port(words[1])? == placer_port && port(words[2])? == peer_port)
            .then_some((number(tx)?, number(rx)?))
    })
}

/// Writes in a thread of its own, as fast as the placer reads.
fn write_in_background(stream: &TcpStream, bytes: Vec<u8>) {
    let mut stream = stream.try_clone().expect("stream can be cloned");
    std::thread::spawn(move || drop(stream.write_all(&bytes)));
}

#[test]
fn answers_reach_an_owner_whose_connection_is_closed_while_its_bytes_lie_unread() {
    let served = SinglePlacer::start();
    let mut owner = connect_with_small_buffers(served.placer.address);
    // The answers don't fit into the owner's buffer. An invalid message follows, which closes the connection, and more bytes
    // than the placer reads.
    let mut bytes = probe_lines(1, 500);
    bytes.extend_from_slice(b"this is no message\n");
    bytes.resize(bytes.len() + (2 << 20), b'x');
    write_in_background(&owner, bytes);
    wait_until(
        "all probes are answered or the connection is closed",
        || socket_queues(&served.placer, &owner).is_none_or(|(answers, _)| answers > 20_000),
    );
    let received = read_lines_to_end(&mut owner);
    assert_eq!(received.len(), 500, "the last: {:?}", received.last());
    assert!(received.iter().all(|line| line["msg"] == "probed"));
}

#[test]
fn a_peer_that_never_reads_does_not_keep_a_connection_that_is_closed() {
    let served = SinglePlacer::start();
    let mut first = OwnerClient {
        reader: std::io::BufReader::new(connect_with_small_buffers(served.placer.address)),
        stream: connect_with_small_buffers(served.placer.address),
    };
    first
        .stream
        .write_all(&probe_lines(1, 1))
        .expect("data can be sent");
    wait_until("the connection is accepted and read", || {
        socket_queues(&served.placer, &first.stream).is_some_and(|(_, unread)| unread == 0)
    });
    let before = descriptor_count(&served.placer);
    let mut owner = connect_with_small_buffers(served.placer.address);
    let mut bytes = probe_lines(1, 500);
    bytes.extend_from_slice(b"this is no message\n");
    owner.write_all(&bytes).expect("data can be sent");
    wait_until(
        "the connection is read and its descriptor is released",
        || {
            socket_queues(&served.placer, &owner).is_none_or(|(_, unread)| unread == 0)
                && descriptor_count(&served.placer) <= before
        },
    );
}

#[test]
fn answers_reach_an_owner_when_the_process_ends_with_its_bytes_unread() {
    let SinglePlacer {
        _folder,
        _commands,
        host: _host,
        mut placer,
        owner: mut other,
    } = SinglePlacer::start();
    let mut owner = connect_with_small_buffers(placer.address);
    owner
        .write_all(&probe_lines(1, 500))
        .expect("data can be sent");
    wait_until("all probes are answered", || {
        socket_queues(&placer, &owner)
            .is_some_and(|(answers, unread)| answers > 20_000 && unread == 0)
    });
    placer.signal(Signal::TERM);
    // An answer to a later message shows that the placer has handled the signal.
    other.send(&probe(0xaa));
    assert_eq!(other.receive()["msg"].as_str(), Some("probed"));
    drop(other);
    // The process is paused beyond its shutdown deadline, and then has more unread bytes than it reads before it exits.
    placer.signal(Signal::STOP);
    let idle = "{\"msg\":\"closed\",\"sid\":\"00000000000000aa\",\"attrs\":{}}\n".repeat(60_000);
    write_in_background(&owner, idle.into_bytes());
    wait_until("unread bytes are queued", || {
        socket_queues(&placer, &owner).is_some_and(|(_, unread)| unread > 30_000)
    });
    std::thread::sleep(std::time::Duration::from_millis(1000));
    placer.signal(Signal::CONT);
    let received = read_lines_to_end(&mut owner);
    assert_eq!(received.len(), 500, "the last: {:?}", received.last());
    assert!(placer.wait().success());
}

#[test]
fn slow_reader_gets_all_answers_and_is_throttled_meanwhile() {
    let served = SinglePlacer::start();
    let owner = connect_with_small_buffers(served.placer.address);
    const PROBES: u64 = 150_000;
    write_in_background(&owner, probe_lines(1, PROBES));
    // Wait until nothing changes: the answers fill the buffers, and the placer stops reading requests.
    let mut last = (0, 0);
    let mut unchanged = 0;
    wait_until("the queues stop changing", || {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let Some(now) = socket_queues(&served.placer, &owner) else {
            return true;
        };
        unchanged = if now == last && now.1 > 0 {
            unchanged + 1
        } else {
            0
        };
        last = now;
        unchanged >= 10
    });
    // Other owners are still served.
    let mut other = OwnerClient::connect(&served.placer);
    other.send(&setup("9b1f03aa5c7e2d41", 60_000));
    let (mut stream, message) = served.host.next(1);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(other.receive()["msg"].as_str(), Some("ready"));
    let mut reader = OwnerClient {
        reader: std::io::BufReader::new(owner.try_clone().expect("stream can be cloned")),
        stream: owner,
    };
    for n in 1..=PROBES {
        let received = reader.receive();
        assert_eq!(received["sid"].as_str(), Some(format!("{n:016x}").as_str()));
    }
}

#[test]
fn task_result_that_arrives_before_its_handover_is_not_lost() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer: _placer,
        mut owner,
    } = SinglePlacer::start();
    // One task opens the connection on which the host reports the end of another task, which is handed over later.
    owner.send(&running_task("00000000000000a1", "s-1"));
    owner.send(&setup("00000000000000a2", 60_000));
    let (mut stream, message) = host.next(1);
    let mut other = message.clone();
    other[1..9].copy_from_slice(&0xa3_u64.to_be_bytes());
    send_from_host(&mut stream, 12, &other, 61, &[16]);
    send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
    assert_eq!(
        owner.receive()["msg"].as_str(),
        Some("ready"),
        "the end of the other task has been read before"
    );
    owner.send(&running_task("00000000000000a3", "s-1"));
    let received = owner.receive();
    assert_eq!(
        (received["sid"].as_str(), received["code"].as_u64()),
        (Some("00000000000000a3"), Some(16))
    );
}

#[test]
fn duplicate_rejection_is_not_taken_for_the_answer_to_the_next_attempt() {
    let SinglePlacer {
        _folder,
        _commands,
        host,
        placer: _placer,
        mut owner,
    } = SinglePlacer::start();
    owner.send(&setup("00000000000000a1", 60_000));
    let (mut stream, message) = host.next(1);
    // The only host reports an error, so the next attempt goes to it too. Then the error is repeated.
    send_from_host(&mut stream, 12, &message, 61, &[47]);
    let (mut second, again) = host.next(1);
    assert_eq!(message[1..9], again[1..9]);
    send_from_host(&mut stream, 12, &message, 61, &[47]);
    // The placer has handled the repeated error by the time that it sends the set-up of this request.
    owner.send(&setup("00000000000000a2", 60_000));
    let (mut third, other) = host.next(1);
    assert_eq!(other[8], 0xa2, "third attempt while the second is open");
    send_from_host(&mut third, 9, &other, 63, TEXT.as_bytes());
    send_from_host(&mut second, 9, &again, 63, TEXT.as_bytes());
    let mut placed: Vec<_> = (0..2).map(|_| owner.receive()["sid"].to_string()).collect();
    placed.sort();
    assert_eq!(placed, ["\"00000000000000a1\"", "\"00000000000000a2\""]);
}
