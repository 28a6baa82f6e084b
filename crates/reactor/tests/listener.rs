//! Listeners: the backlog, the report of new connections, and resource errors.

mod support;

use std::net::TcpStream;
use std::time::Duration;

use maplethread_reactor::{Backlog, Listener, Poller, TcpConnection, is_resource_exhausted};
use support::{loopback, wait_for};

const TOKEN: u64 = 7;

/// The largest backlog that the system allows.
fn max_system_backlog() -> usize {
    let text = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("a limit");
    text.trim().parse().expect("a number")
}

#[test]
fn queues_a_burst_of_connections_without_dropping_any() {
    let listener = Listener::bind(loopback(), Backlog::Large).expect("listening");
    let address = listener.local_address().expect("an address");
    let poller = Poller::new().expect("epoll");
    let burst = 400.min(max_system_backlog());
    // On loopback the handshake has completed when `connect` returns, unless it was dropped because the backlog was full.
    let connections: Vec<TcpConnection> = (0..burst as u64)
        .map(|n| TcpConnection::connect(address, n, &poller).expect("connecting"))
        .collect();
    let accepted = std::iter::from_fn(|| listener.accept().ok().flatten()).count();
    assert_eq!(accepted, connections.len());
}

#[test]
fn accept_returns_none_when_the_backlog_is_empty() {
    let listener = Listener::bind(loopback(), Backlog::Standard).expect("listening");
    assert!(listener.accept().expect("no error").is_none());
}

#[test]
fn reports_new_connections_only_while_accepting() {
    let poller = Poller::new().expect("epoll");
    let mut listener = Listener::bind(loopback(), Backlog::Standard).expect("listening");
    let address = listener.local_address().expect("an address");
    // Before the registration the call has no effect.
    listener.set_accepting(false, &poller).expect("no effect");
    listener.register(&poller, TOKEN).expect("registered");
    listener.set_accepting(false, &poller).expect("turned off");
    let client = TcpStream::connect(address).expect("queued in the backlog");
    let mut ready = Vec::new();
    poller
        .wait(Some(Duration::from_millis(50)), &mut ready)
        .expect("epoll");
    assert!(ready.is_empty(), "{ready:?}");
    listener.set_accepting(true, &poller).expect("turned on");
    wait_for(&poller, TOKEN, |r| r.is_readable);
    let (accepted, _) = listener.accept().expect("no error").expect("a connection");
    assert_eq!(
        accepted.peer_addr().expect("connected"),
        client.local_addr().expect("connected")
    );
}

#[test]
fn only_errors_from_a_lack_of_descriptors_or_memory_count_as_exhausted() {
    use rustix::io::Errno;
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_resource_exhausted(&errno.into()), "{errno}");
    }
    for errno in [Errno::CONNABORTED, Errno::CONNREFUSED, Errno::PERM] {
        assert!(!is_resource_exhausted(&errno.into()), "{errno}");
    }
    assert!(!is_resource_exhausted(&std::io::Error::other("no errno")));
}
