//! TCP connections: connecting, bounded reads, writes and closing.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use maplethread_reactor::{Poller, ReadOutcome, TcpConnection};
use support::{TEST_TIMEOUT, loopback, wait_for};

const TOKEN: u64 = 3;

/// An established connection registered under [`TOKEN`], and the peer's stream.
fn connected_pair(poller: &Poller) -> (TcpConnection, TcpStream) {
    let listener = TcpListener::bind(loopback()).expect("listening");
    let address = listener.local_addr().expect("an address");
    let mut connection = TcpConnection::connect(address, TOKEN, poller).expect("connecting");
    let (peer, _) = listener.accept().expect("a connection");
    peer.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
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
    connection.flush(&poller).expect("kept in the buffer");
    assert_eq!(connection.unwritten_bytes(), 5);
    wait_for(&poller, TOKEN, |r| r.is_writable);
    connection.finish_connect().expect("connected");
    assert!(!connection.is_connecting() && connection.check_connected());
    connection.flush(&poller).expect("written");
    assert_eq!(
        (connection.unwritten_bytes(), connection.written_bytes()),
        (0, 5)
    );
}

#[test]
fn connecting_to_a_closed_port_fails_with_connection_refused() {
    let poller = Poller::new().expect("epoll");
    let listener = TcpListener::bind(loopback()).expect("listening");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let mut connection = TcpConnection::connect(address, TOKEN, &poller).expect("connecting");
    wait_for(&poller, TOKEN, |r| r.is_closed);
    let error = connection.finish_connect().expect_err("no process listens");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

#[test]
fn reads_at_most_the_limit_of_a_call_and_of_the_buffer() {
    let poller = Poller::new().expect("epoll");
    let (mut connection, mut peer) = connected_pair(&poller);
    peer.write_all(&[1; 100]).expect("sent");
    wait_for(&poller, TOKEN, |r| r.is_readable);
    // The first call may read ten bytes. The second may fill the buffer up to 15 bytes.
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
    assert_eq!(connection.read_available(1000, 1000), ReadOutcome::AllRead);
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
    // More than the socket buffers hold.
    let sent = 64 << 20;
    connection
        .write_buffer()
        .extend(std::iter::repeat_n(5, sent));
    connection.flush(&poller).expect("partly written");
    assert!(connection.unwritten_bytes() > 0);
    let reader = std::thread::spawn(move || {
        let mut received = vec![0; sent];
        peer.read_exact(&mut received).expect("all bytes");
        received.iter().all(|&byte| byte == 5)
    });
    while connection.unwritten_bytes() > 0 {
        wait_for(&poller, TOKEN, |r| r.is_writable);
        connection.flush(&poller).expect("written");
    }
    assert_eq!(connection.written_bytes(), sent as u64);
    assert!(reader.join().expect("the reader thread"));
}

#[test]
fn reports_a_half_closed_peer_and_can_still_write_to_it() {
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
fn reset_makes_the_read_of_the_peer_fail() {
    let poller = Poller::new().expect("epoll");
    let (connection, mut peer) = connected_pair(&poller);
    connection.reset();
    let error = peer.read(&mut [0; 8]).expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test]
fn does_not_report_readable_bytes_while_reading_is_off() {
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
