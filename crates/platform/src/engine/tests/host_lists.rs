//! The list of hosts.

use super::*;

#[test]
fn applies_each_channel_event_once_and_in_order() {
    let mut rig = Harness::new();
    let event = |cursor: u64, snapshot: bool, names: &[&str]| {
        let endpoint = |name: &&str| {
            json!({"name": name, "address": "127.0.0.1:3", "zone": "west", "type": "std", "group": 1,
                "status": "active", "weight": 1, "since_ms": 0})
        };
        let endpoints: Vec<Value> = names.iter().map(endpoint).collect();
        let nodes = json!({"index": 1, "snapshot": snapshot, "endpoints": endpoints});
        let batch = json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]});
        command_channel::decode(batch.to_string().as_bytes()).expect("sound")
    };
    assert!(!rig.engine.apply_update(rig.now, &event(1, false, &["x"])));
    assert!(rig.engine.apply_update(rig.now, &event(2, false, &["b"])));
    assert!(!rig.engine.apply_update(rig.now, &event(2, false, &["c"])));
    rig.turn();
    let listed = rig.take_events();
    assert!(
        matches!(&listed[..], [Event::EndpointsUpdated { scope: UpdateScope::Delta, machines }] if machines.len() == 1)
    );
    // A whole list: who is not in it is gone.
    rig.engine.apply_update(rig.now, &event(3, true, &["b"]));
    let task = rig.request(OWNER_A, 7);
    assert_eq!(rig.offer(task, 0), []);
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}

#[test]
fn tables_do_not_grow_with_removed_hosts() {
    let mut rig = Harness::new();
    for n in 0..200 {
        let (name, address) = (format!("h{n}"), format!("127.0.0.1:{}", 100 + n));
        rig.list(&name, &address, "active", 0.0);
        rig.now += 10_000 * MS;
        rig.list(&name, &address, "left", 0.0);
        rig.turn();
    }
    assert_eq!(
        (
            rig.engine.host_table.hosts.len(),
            rig.engine.connections.len()
        ),
        (1, 0)
    );
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    assert_eq!(
        rig.engine.host_table.hosts[&MachineId(0)].address,
        Some(address)
    );
    assert!(rig.engine.timers.len() < 10);
}
