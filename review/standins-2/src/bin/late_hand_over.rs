//! A placer starts, and the owners hand over the tasks that stand, on several connections. A second later a fifth of the hosts
//! goes silent. The owners of the tasks there have to be told within 8 s.

use std::collections::BTreeMap;
use std::time::Duration;

use review_standins_2::channel::{entry, Channel};
use review_standins_2::host::Host;
use review_standins_2::owner::{Ask, Inbox, Owner};
use review_standins_2::placer::{free_address, start_watchdog, Placer};
use review_standins_2::record::{could_not_run, finish, Record};
use review_standins_2::settings::Deployment;
use review_standins_2::{has_trouble, sleep_ms, unix_ms, wait_for, Random};

const HOSTS: usize = 10;
const OWNERS: usize = 4;
const TASKS: usize = 80;
/// The time within which a release has to come where none could be sent, with the slack of the sockets.
const RELEASE_MS: f64 = 8_000.0 + 50.0;

fn main() {
    let record = Record::create();
    start_watchdog(&record, 100);
    let deployment = Deployment::default();
    let channel = Channel::start(&record);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|i| Host::start(&record, &format!("s-{i:08x}")))
        .collect();
    let list_entry = |i: usize, status: &str, since: u64| {
        entry(
            &format!("s-{i:08x}"),
            hosts[i].address,
            zones[i % 3],
            "std-48-64",
            (i / 4) as u32,
            status,
            since,
        )
    };
    channel.push(
        &(0..HOSTS)
            .map(|i| list_entry(i, "active", 0))
            .collect::<Vec<_>>(),
    );
    let listen = free_address();
    // Tasks of four owners stand on the hosts from before the start of the placer.
    let inbox = Inbox::default();
    let mut random = Random(11);
    let mut asks = Vec::new();
    for i in 0..TASKS {
        let ask = Ask {
            sid: format!("{:016x}", random.next()),
            class: "web-api".into(),
            key: format!("{:016x}", random.next()),
            idem: None,
            service: 100 + i as u64 / 8,
            cores: 1.0,
            memory: 3.0,
            left_ms: 5000,
        };
        hosts[i % HOSTS].hold(&ask.sid);
        asks.push(ask);
    }
    let config = deployment.config("n0", listen, channel.address, &channel.events_after(0), 7);
    let mut placer = Placer::start(&record, "n0", listen, &config);

    // Each owner hands over its tasks on a connection of its own, as soon as its first test has been passed.
    let mut owners: Vec<Owner> = Vec::new();
    for number in 0..OWNERS {
        let mut owner = Owner::connect(&record, &inbox, &format!("a{number}"), listen);
        let test = format!("{:016x}", 0xaa00 + number);
        owner.test(&test);
        if !wait_for(Duration::from_secs(5), || {
            inbox.first(&test, "probed").is_some()
        }) {
            could_not_run("the first test was not answered");
        }
        for (i, ask) in asks
            .iter()
            .enumerate()
            .filter(|(i, _)| (i / HOSTS) % OWNERS == number)
        {
            owner.hand_over(ask, &format!("s-{:08x}", i % HOSTS));
        }
        owners.push(owner);
        sleep_ms(100);
    }
    for host in &hosts {
        host.note_use_every(4000);
    }

    // A fifth of the hosts goes silent; they come back cold 20 s later. The list tells that they are gone after 12 s.
    sleep_ms(600);
    let mut ended: BTreeMap<String, f64> = BTreeMap::new();
    if has_trouble() {
        let silent = [0, 1];
        let at = record.now();
        for &i in &silent {
            ended.extend(hosts[i].vanish().into_iter().map(|sid| (sid, at)));
        }
        sleep_ms(12_000);
        channel.push(&silent.map(|i| list_entry(i, "left", 0)));
        sleep_ms(8_000);
        for &i in &silent {
            hosts[i].come_back(&format!("s-{i:08x}"));
        }
        let since = unix_ms();
        sleep_ms(1_000);
        channel.push(&silent.map(|i| list_entry(i, "active", since)));
    } else {
        sleep_ms(21_000);
    }
    // All other tasks end in order.
    for host in &hosts {
        for sid in host.tasks() {
            ended.insert(sid.clone(), record.now());
            host.end_task(&sid, 16);
        }
    }
    sleep_ms(9_000);

    let mut broken = Vec::new();
    if placer.has_ended() {
        broken.push("the placer has ended".to_owned());
    }
    for (sid, at) in &ended {
        match inbox.first(sid, "close") {
            Some(release) if release.at - at <= RELEASE_MS => {}
            Some(release) => broken.push(format!(
                "{sid} was over at {at:.0} ms and released {:.0} ms later",
                release.at - at
            )),
            None => broken.push(format!(
                "{sid} was over at {at:.0} ms and never released ({:.0} ms)",
                record.now() - at
            )),
        }
    }
    finish(&record, &broken)
}
