//! The event loop: deadlines, signals, listeners, the waker and the clock.

mod support;

use std::net::TcpStream;
use std::os::fd::AsFd;
use std::time::Duration;

use maplethread_reactor::{Backlog, EventLoop, Poller};
use rustix::process::{Signal, getpid, kill_process};
use support::{TEST_TIMEOUT, loopback, wait_for};

const SIGNALS_TOKEN: u64 = 1;
const LISTENER_TOKEN: u64 = 2;

/// The deadline of a wait for an event that should happen soon.
fn test_deadline(event_loop: &EventLoop) -> u64 {
    event_loop.now() + TEST_TIMEOUT.as_micros() as u64
}

#[test]
fn waits_until_the_deadline_when_nothing_is_ready() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let mut ready = vec![];
    let deadline = event_loop.now() + 30_000;
    event_loop
        .wait_until(Some(deadline), &mut ready)
        .expect("a wait");
    assert!(event_loop.now() >= deadline && ready.is_empty());
    // With a deadline that has passed the call returns at once, and so does `poll_now`.
    event_loop.wait_until(Some(0), &mut ready).expect("a wait");
    event_loop.poll_now(&mut ready).expect("a poll");
    assert!(ready.is_empty());
}

#[test]
fn reports_each_signal_as_often_as_it_was_received() {
    let (first, second) = (Signal::USR1, Signal::USR2);
    let mut event_loop =
        EventLoop::new(&[first.as_raw(), second.as_raw()], SIGNALS_TOKEN).expect("a loop");
    assert!(event_loop.take_received_signals().is_empty());
    let mut received = Vec::new();
    let mut ready = Vec::new();
    for signal in [second, first, second] {
        kill_process(getpid(), signal).expect("sent");
        event_loop
            .wait_until(Some(test_deadline(&event_loop)), &mut ready)
            .expect("a wait");
        assert!(
            ready
                .iter()
                .all(|r| r.token == SIGNALS_TOKEN && r.is_readable)
        );
        received.extend(event_loop.take_received_signals());
    }
    assert_eq!(received, [second.as_raw(), first.as_raw(), second.as_raw()]);
    event_loop.poll_now(&mut ready).expect("a poll");
    assert!(ready.is_empty(), "{ready:?}");
}

#[test]
fn reports_a_new_connection_and_replaces_earlier_events() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let mut listener = event_loop
        .listen(loopback(), Backlog::Large)
        .expect("listening");
    listener
        .register(event_loop.poller(), LISTENER_TOKEN)
        .expect("registered");
    let client = TcpStream::connect(listener.local_address().expect("an address"));
    let client = client.expect("connected");
    let mut ready = Vec::new();
    event_loop
        .wait_until(Some(test_deadline(&event_loop)), &mut ready)
        .expect("a wait");
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].token, LISTENER_TOKEN);
    listener.accept().expect("no error").expect("a connection");
    event_loop.poll_now(&mut ready).expect("a poll");
    assert!(ready.is_empty(), "{ready:?}");
    drop(client);
}

#[test]
fn listen_error_contains_the_address_in_use() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let listener = event_loop
        .listen(loopback(), Backlog::Standard)
        .expect("listening");
    let address = listener.local_address().expect("an address");
    let error = event_loop
        .listen(address, Backlog::Standard)
        .expect_err("the address is in use");
    assert_eq!(error.resource, address.to_string());
    assert_eq!(error.source.kind(), std::io::ErrorKind::AddrInUse);
    assert_eq!(error.to_string(), format!("{address}: {}", error.source));
}

#[test]
fn another_thread_wakes_the_poller() {
    let poller = Poller::new().expect("epoll");
    let waker = Poller::create_waker().expect("a descriptor");
    poller
        .register(waker.as_fd(), 9, false)
        .expect("registered");
    let thread = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(10));
        rustix::io::write(&waker, &1u64.to_ne_bytes()).expect("written");
        waker
    });
    wait_for(&poller, 9, |r| r.is_readable);
    thread.join().expect("the other thread");
}

#[test]
fn clock_is_monotonic_and_counts_microseconds_since_the_epoch() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let epoch = std::time::UNIX_EPOCH;
    let system_us = epoch.elapsed().expect("after 1970").as_micros() as u64;
    let first = event_loop.now();
    // Both clocks were read shortly after each other.
    assert!(first.abs_diff(system_us) < TEST_TIMEOUT.as_micros() as u64);
    assert!(event_loop.now() >= first);
}
