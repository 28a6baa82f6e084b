//! Updates of the host list.

use std::net::SocketAddr;

use maplethread::{AttemptOutcome, Event, MachineId, UpdateScope};
use maplethread_platform_wire::command_channel;
use serde_json::{Value, json};

use super::support::*;

#[test]
fn applies_each_channel_event_once_and_in_order() {
    let mut harness = Harness::new();
    let batch = |cursor: u64, is_full: bool, names: &[&str]| {
        let endpoint = |name: &&str| {
            json!({"name": name, "address": "127.0.0.1:3", "zone": "west", "type": "std", "group": 1,
                "status": "active", "weight": 1, "since_ms": 0})
        };
        let endpoints: Vec<Value> = names.iter().map(endpoint).collect();
        let nodes = json!({"index": 1, "snapshot": is_full, "endpoints": endpoints});
        let batch = json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]});
        command_channel::decode(batch.to_string().as_bytes()).expect("a valid batch")
    };
    assert!(
        !harness
            .engine
            .apply_commands(harness.now, &batch(1, false, &["x"]))
    );
    assert!(
        harness
            .engine
            .apply_commands(harness.now, &batch(2, false, &["b"]))
    );
    assert!(
        !harness
            .engine
            .apply_commands(harness.now, &batch(2, false, &["c"]))
    );
    harness.turn();
    let events = harness.take_events();
    assert!(
        matches!(&events[..], [Event::EndpointsUpdated { scope: UpdateScope::Delta, machines }] if machines.len() == 1)
    );
    // Hosts that are absent from a full list are gone.
    harness
        .engine
        .apply_commands(harness.now, &batch(3, true, &["b"]));
    let task = harness.request(OWNER_A, 7);
    assert_eq!(harness.offer(task, 0), []);
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}

#[test]
fn tables_do_not_grow_with_removed_hosts() {
    let mut harness = Harness::new();
    for n in 0..200 {
        let (name, address) = (format!("h{n}"), format!("127.0.0.1:{}", 100 + n));
        harness.list_host(&name, &address, "active", 0.0);
        harness.now += 10_000 * MS;
        harness.list_host(&name, &address, "left", 0.0);
        harness.turn();
    }
    assert_eq!(
        (
            harness.engine.host_table.hosts.len(),
            harness.engine.connections.len()
        ),
        (1, 0)
    );
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    assert_eq!(
        harness.engine.host_table.hosts[&MachineId(0)].address,
        Some(address)
    );
    assert!(harness.engine.timers.len() < 10);
}
