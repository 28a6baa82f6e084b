//! The loop: deadlines, signals and listeners.

mod support;

use std::net::TcpStream;
use std::os::fd::AsFd;
use std::time::Duration;

use maplethread_reactor::{Backlog, EventLoop, Poller};
use rustix::process::{Signal, getpid, kill_process};
use support::{PATIENCE, loopback, wait_for};

const SIGNALS_TOKEN: u64 = 1;
const LISTENER_TOKEN: u64 = 2;

/// The time of `event_loop` after which a test has waited too long.
fn patience_deadline(event_loop: &EventLoop) -> u64 {
    event_loop.now() + PATIENCE.as_micros() as u64
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
    // A deadline that has passed is no wait at all, and so is a look.
    event_loop.wait_until(Some(0), &mut ready).expect("a wait");
    event_loop.poll_now(&mut ready).expect("a look");
    assert!(ready.is_empty());
}

#[test]
fn reports_each_signal_as_often_as_it_came() {
    let (first, second) = (Signal::USR1, Signal::USR2);
    let mut event_loop =
        EventLoop::new(&[first.as_raw(), second.as_raw()], SIGNALS_TOKEN).expect("a loop");
    assert!(event_loop.take_received_signals().is_empty());
    let mut received = Vec::new();
    let mut ready = Vec::new();
    for signal in [second, first, second] {
        kill_process(getpid(), signal).expect("sent");
        event_loop
            .wait_until(Some(patience_deadline(&event_loop)), &mut ready)
            .expect("a wait");
        assert!(
            ready
                .iter()
                .all(|r| r.token == SIGNALS_TOKEN && r.is_readable)
        );
        received.extend(event_loop.take_received_signals());
    }
    assert_eq!(received, [second.as_raw(), first.as_raw(), second.as_raw()]);
    event_loop.poll_now(&mut ready).expect("a look");
    assert!(ready.is_empty(), "{ready:?}");
}

#[test]
fn serves_a_listener_and_forgets_what_was_ready_before() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let mut listener = event_loop
        .listen(loopback(), Backlog::Large)
        .expect("listening");
    listener
        .register(event_loop.poller(), LISTENER_TOKEN)
        .expect("watched");
    let client = TcpStream::connect(listener.local_address().expect("an address"));
    let client = client.expect("connected");
    let mut ready = Vec::new();
    event_loop
        .wait_until(Some(patience_deadline(&event_loop)), &mut ready)
        .expect("a wait");
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].token, LISTENER_TOKEN);
    listener.accept().expect("no error").expect("a connection");
    event_loop.poll_now(&mut ready).expect("a look");
    assert!(ready.is_empty(), "{ready:?}");
    drop(client);
}

#[test]
fn names_the_address_that_is_in_use() {
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
    let waker = Poller::waker().expect("a descriptor");
    poller
        .register(waker.as_fd(), 9, false)
        .expect("registered");
    let woken = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(10));
        rustix::io::write(&waker, &1u64.to_ne_bytes()).expect("written");
        waker
    });
    wait_for(&poller, 9, |r| r.is_readable);
    woken.join().expect("the other thread");
}

#[test]
fn the_clock_counts_microseconds_since_the_epoch_and_never_runs_back() {
    let event_loop = EventLoop::new(&[], SIGNALS_TOKEN).expect("a loop");
    let epoch = std::time::UNIX_EPOCH;
    let system_us = epoch.elapsed().expect("after 1970").as_micros() as u64;
    let first = event_loop.now();
    // Both were read within a moment of each other.
    assert!(first.abs_diff(system_us) < PATIENCE.as_micros() as u64);
    assert!(event_loop.now() >= first);
}
