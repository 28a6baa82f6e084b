//! Several platform placers as processes, and one at the limit of its descriptors.

mod platform_support;

use std::net::TcpStream;
use std::time::Duration;

use platform_support::{
    EmulatedCommandChannel, EmulatedHost, OwnerClient, PlacerProcess, accept_all, answers,
    config_with_long_objective, descriptor_count, host_update, set_descriptor_limit,
    setup_of_service,
};
use rustix::process::Signal;
use serde_json::json;

#[test]
fn every_request_is_answered_when_some_placers_stop_while_all_reload() {
    let (host, first, second) = (
        EmulatedHost::start(),
        EmulatedCommandChannel::start(),
        EmulatedCommandChannel::start(),
    );
    let initial_list = host_update(3, "s-1", host.address, "active");
    let folders: Vec<_> = (0..4)
        .map(|_| tempfile::tempdir().expect("temporary folder"))
        .collect();
    let mut placers: Vec<PlacerProcess> = folders
        .iter()
        .map(|f| {
            PlacerProcess::start(&config_with_long_objective(
                f.path(),
                first.address,
                &initial_list,
                256,
            ))
        })
        .collect();
    let _polls: Vec<_> = placers.iter().map(|_| first.poll()).collect();
    accept_all(host, Duration::from_millis(2));
    let mut owners: Vec<OwnerClient> = placers.iter().map(OwnerClient::connect).collect();
    for (n, owner) in owners.iter_mut().enumerate() {
        (0..20).for_each(|i| owner.send(&setup_of_service((n as u64 + 1) * 1000 + i, i)));
    }
    // The reload and the stop signals arrive while those requests are open, in either order.
    for (placer, folder) in placers.iter().zip(&folders) {
        config_with_long_objective(folder.path(), second.address, &initial_list, 256);
        placer.signal(Signal::HUP);
    }
    placers[0].signal(Signal::TERM);
    placers[1].signal(Signal::TERM);
    placers[1].signal(Signal::HUP);
    // The stopping placers receive further requests.
    for (n, owner) in owners.iter_mut().enumerate() {
        (0..10).for_each(|i| owner.send(&setup_of_service((n as u64 + 1) * 1000 + 100 + i, i)));
    }
    for owner in &mut owners {
        let (placed, other) = answers(owner, 30);
        assert_eq!((placed.len(), other), (30, 0));
    }
    assert!(
        placers[0].wait().success() && placers[1].wait().success(),
        "placers exit after SIGTERM"
    );
    // The remaining placers poll the new channel, and so do the successors.
    let mut successors: Vec<PlacerProcess> = (0..2)
        .map(|n| {
            PlacerProcess::start(&config_with_long_objective(
                folders[n].path(),
                second.address,
                &initial_list,
                256,
            ))
        })
        .collect();
    let polls: Vec<_> = (0..4).map(|_| second.poll()).collect();
    assert!(
        polls
            .iter()
            .all(|(_, line)| line.starts_with("GET /cmd/next?resume=3&block=")),
        "{polls:?}"
    );
    let running = placers[2..].iter().chain(&successors);
    for (n, mut owner) in running.map(OwnerClient::connect).enumerate() {
        owner.send(&setup_of_service(90_000 + n as u64, 7));
        assert_eq!(answers(&mut owner, 1).0.len(), 1);
    }
    successors
        .iter()
        .chain(&placers[2..])
        .for_each(|p| p.signal(Signal::TERM));
    for placer in successors.iter_mut().chain(&mut placers[2..]) {
        assert!(placer.wait().success());
    }
}

#[test]
fn at_the_limit_of_its_descriptors_every_request_is_answered_and_the_placer_serves_on() {
    const HOSTS: u64 = 400;
    const MAX_DESCRIPTORS: u64 = 784;
    let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
    let folder = tempfile::tempdir().expect("temporary folder");
    let entry = |n: u64| {
        json!({"name": format!("s-{n}"), "address": host.address, "zone": "east", "type": "std", "group": n / 8,
            "status": "active", "weight": 1, "since_ms": 0})
    };
    let nodes = json!({"index": 1, "snapshot": true, "endpoints": (0..HOSTS).map(entry).collect::<Vec<_>>()});
    let initial_list = json!({"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]});
    let mut placer = PlacerProcess::start(&config_with_long_objective(
        folder.path(),
        commands.address,
        &initial_list,
        MAX_DESCRIPTORS,
    ));
    set_descriptor_limit(&placer, MAX_DESCRIPTORS);
    accept_all(host, Duration::ZERO);
    // More idle clients than the placer has descriptors, and one that sends requests until nearly every host has a
    // connection.
    let idle: Vec<TcpStream> = (0..500)
        .map(|_| TcpStream::connect(placer.address).expect("connection is accepted"))
        .collect();
    let mut owner = OwnerClient::connect(&placer);
    let mut placed = 0;
    for round in 0..24_u64 {
        (0..50).for_each(|i| owner.send(&setup_of_service(1 + round * 50 + i, round * 50 + i)));
        placed += answers(&mut owner, 50).0.len();
    }
    let open_descriptors = descriptor_count(&placer);
    assert!(
        open_descriptors as u64 <= MAX_DESCRIPTORS && open_descriptors > 400,
        "{open_descriptors} descriptors"
    );
    assert!(placed >= 1_000, "{placed} of 1200 placed");
    drop(idle);
    // After the idle clients have closed, every request is served.
    let mut later = OwnerClient::connect(&placer);
    (0..20).for_each(|i| later.send(&setup_of_service(10_000 + i, i)));
    assert_eq!(
        answers(&mut later, 20),
        ((0..20).map(|i| format!("{:016x}", 10_000 + i)).collect(), 0)
    );
    placer.signal(Signal::TERM);
    assert!(placer.wait().success());
}
