//! Connections: bounded reads and writes, and how they end.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use maplethread_reactor::{Poller, ReadOutcome, TcpConnection};
use support::{PATIENCE, loopback, wait_for};

const TOKEN: u64 = 3;

/// A connection under [`TOKEN`], and the stream at its other end.
fn connected_pair(poller: &Poller) -> (TcpConnection, TcpStream) {
    let listener = TcpListener::bind(loopback()).expect("listening");
    let address = listener.local_addr().expect("an address");
    let mut connection = TcpConnection::connect(address, TOKEN, poller).expect("connecting");
    let (peer, _) = listener.accept().expect("a connection");
    peer.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    wait_for(poller, TOKEN, |r| r.is_writable);
    connection.finish_connect().expect("connected");
    connection.flush(poller).expect("nothing to write");
    (connection, peer)
}

#[test]
fn connecting_ends_with_the_first_write_readiness() {
    let poller = Poller::new().expect("epoll");
    let listener = TcpListener::bind(loopback()).expect("listening");
    let address = listener.local_addr().expect("an address");
    let mut connection = TcpConnection::connect(address, TOKEN, &poller).expect("connecting");
    assert!(connection.is_connecting());
    connection.write_buffer().extend_from_slice(b"early");
    connection.flush(&poller).expect("kept");
    assert_eq!(connection.unwritten_bytes(), 5);
    wait_for(&poller, TOKEN, |r| r.is_writable);
    connection.finish_connect().expect("connected");
    assert!(!connection.is_connecting() && connection.poll_connected());
    connection.flush(&poller).expect("written");
    assert_eq!(
        (connection.unwritten_bytes(), connection.written_bytes()),
        (0, 5)
    );
}

#[test]
fn connecting_to_a_closed_port_reports_the_refusal() {
    let poller = Poller::new().expect("epoll");
    let listener = TcpListener::bind(loopback()).expect("listening");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let mut connection = TcpConnection::connect(address, TOKEN, &poller).expect("connecting");
    wait_for(&poller, TOKEN, |r| r.is_closed);
    let error = connection.finish_connect().expect_err("nobody listens");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

#[test]
fn reads_at_most_the_bytes_of_a_round_and_of_the_buffer() {
    let poller = Poller::new().expect("epoll");
    let (mut connection, mut peer) = connected_pair(&poller);
    peer.write_all(&[1; 100]).expect("sent");
    wait_for(&poller, TOKEN, |r| r.is_readable);
    // The round allows ten bytes, then the buffer has room for five more.
    assert_eq!(
        connection.read_available(10, 1000),
        ReadOutcome::LimitReached
    );
    assert_eq!(connection.unread().len(), 10);
    assert_eq!(
        connection.read_available(1000, 15),
        ReadOutcome::LimitReached
    );
    assert_eq!(connection.unread().len(), 15);
    connection.consume(12);
    assert_eq!(connection.unread().len(), 3);
    assert_eq!(connection.read_available(1000, 1000), ReadOutcome::Drained);
    assert_eq!(connection.unread(), [1; 88]);
    connection.consume(1000);
    assert!(connection.unread().is_empty());
}

#[test]
fn watches_for_writing_only_while_bytes_are_left() {
    let poller = Poller::new().expect("epoll");
    let (mut connection, mut peer) = connected_pair(&poller);
    let mut ready = Vec::new();
    poller
        .wait(Some(std::time::Duration::ZERO), &mut ready)
        .expect("epoll");
    assert!(ready.is_empty(), "{ready:?}");
    // More than the sockets' buffers take.
    let sent = 64 << 20;
    connection
        .write_buffer()
        .extend(std::iter::repeat_n(5, sent));
    connection.flush(&poller).expect("a part is written");
    assert!(connection.unwritten_bytes() > 0);
    let reader = std::thread::spawn(move || {
        let mut received = vec![0; sent];
        peer.read_exact(&mut received).expect("all of it");
        received.iter().all(|&byte| byte == 5)
    });
    while connection.unwritten_bytes() > 0 {
        wait_for(&poller, TOKEN, |r| r.is_writable);
        connection.flush(&poller).expect("written");
    }
    assert_eq!(connection.written_bytes(), sent as u64);
    assert!(reader.join().expect("the reader"));
}

#[test]
fn reports_the_end_of_the_peer_and_still_writes_to_it() {
    let poller = Poller::new().expect("epoll");
    let (mut connection, mut peer) = connected_pair(&poller);
    peer.write_all(b"last").expect("sent");
    peer.shutdown(std::net::Shutdown::Write)
        .expect("half-closed");
    wait_for(&poller, TOKEN, |r| r.is_closed && r.is_readable);
    while connection.read_available(1000, 1000) != ReadOutcome::Closed {}
    assert_eq!(connection.unread(), b"last");
    connection.write_buffer().extend_from_slice(b"answer");
    connection.flush(&poller).expect("written");
    connection.shutdown_write();
    let mut received = Vec::new();
    peer.read_to_end(&mut received).expect("the answer");
    assert_eq!(received, b"answer");
}

#[test]
fn reset_drops_what_is_unwritten_and_fails_the_peers_read() {
    let poller = Poller::new().expect("epoll");
    let (connection, mut peer) = connected_pair(&poller);
    connection.reset();
    let error = peer.read(&mut [0; 8]).expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test]
fn reports_nothing_to_read_while_reading_is_off() {
    let poller = Poller::new().expect("epoll");
    let (mut connection, mut peer) = connected_pair(&poller);
    connection.set_reading(false, &poller).expect("turned off");
    assert!(!connection.is_reading());
    peer.write_all(b"x").expect("sent");
    let mut ready = Vec::new();
    poller
        .wait(Some(std::time::Duration::from_millis(50)), &mut ready)
        .expect("epoll");
    assert!(ready.is_empty(), "{ready:?}");
    connection.set_reading(true, &poller).expect("turned on");
    wait_for(&poller, TOKEN, |r| r.is_readable);
}
