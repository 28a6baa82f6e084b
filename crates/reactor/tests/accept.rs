//! A burst of connections that nobody accepts yet.

use std::net::SocketAddr;

use maplethread_reactor::{Poller, TcpConnection, listen};

/// What the system leaves room for at most.
fn max_system_backlog() -> usize {
    let text = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("a limit");
    text.trim().parse().expect("a number")
}

#[test]
fn queues_a_burst_of_connections_without_dropping_any() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("listening");
    listener.set_nonblocking(true).expect("non-blocking");
    let address = listener.local_addr().expect("an address");
    let poller = Poller::new().expect("epoll");
    let burst = 400.min(max_system_backlog());
    // On loopback the handshake is over when `connect` returns, unless it was dropped for want of room.
    let connections: Vec<TcpConnection> = (0..burst as u64)
        .map(|n| TcpConnection::connect(address, n, &poller).expect("connecting"))
        .collect();
    let waiting = std::iter::from_fn(|| listener.accept().ok()).count();
    assert_eq!(waiting, connections.len());
}
