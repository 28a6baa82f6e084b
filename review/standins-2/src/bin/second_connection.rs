//! The connection of an owner is reset. The owner comes on a new one, tests it and hands over its tasks, which the placer
//! holds already. The releases of these tasks have to reach that owner.

use std::time::Duration;

use review_standins_2::channel::{entry, Channel};
use review_standins_2::host::Host;
use review_standins_2::owner::{Ask, Inbox, Owner};
use review_standins_2::placer::{free_address, start_watchdog, Placer};
use review_standins_2::record::{could_not_run, finish, Record};
use review_standins_2::settings::Deployment;
use review_standins_2::{has_trouble, sleep_ms, wait_for, Random};

const HOSTS: usize = 9;
const TASKS: usize = 12;
/// The time within which a release has to come, with the slack of the sockets; where none could be sent it is 8 s.
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
    channel.push(
        &(0..HOSTS)
            .map(|i| {
                entry(
                    &format!("s-{i:08x}"),
                    hosts[i].address,
                    zones[i % 3],
                    "std-48-64",
                    (i / 3) as u32,
                    "active",
                    0,
                )
            })
            .collect::<Vec<_>>(),
    );
    let listen = free_address();
    let config = deployment.config("n0", listen, channel.address, &channel.events_after(0), 7);
    let mut placer = Placer::start(&record, "n0", listen, &config);

    let (inbox_a, inbox_b) = (Inbox::default(), Inbox::default());
    let mut random = Random(3);
    let mut ask = |service: u64| Ask {
        sid: format!("{:016x}", random.next()),
        class: "web-api".into(),
        key: format!("{:016x}", random.next()),
        idem: None,
        service,
        cores: 1.0,
        memory: 3.0,
        left_ms: 5000,
    };
    let mut a = Owner::connect(&record, &inbox_a, "a", listen);
    let mut b = Owner::connect(&record, &inbox_b, "b", listen);
    a.test("00000000000000a0");
    b.test("00000000000000b0");
    let tasks_a: Vec<Ask> = (0..TASKS).map(|_| ask(100)).collect();
    let tasks_b: Vec<Ask> = (0..TASKS).map(|_| ask(200)).collect();
    for (ask_a, ask_b) in tasks_a.iter().zip(&tasks_b) {
        a.open(ask_a);
        b.open(ask_b);
        sleep_ms(50);
    }
    let is_placed = wait_for(Duration::from_secs(6), || {
        tasks_a
            .iter()
            .all(|ask| inbox_a.first(&ask.sid, "ready").is_some())
            && tasks_b
                .iter()
                .all(|ask| inbox_b.first(&ask.sid, "ready").is_some())
    });
    if !is_placed {
        could_not_run("the tasks were not placed");
    }
    sleep_ms(1000);

    // The connection of owner a is reset; it comes back on a new one.
    if has_trouble() {
        a.reset();
        sleep_ms(200);
        a = Owner::connect(&record, &inbox_a, "a2", listen);
        a.test("00000000000000a1");
        if !wait_for(Duration::from_secs(5), || {
            inbox_a.first("00000000000000a1", "probed").is_some()
        }) {
            could_not_run("the test was not answered");
        }
    }
    for ask in &tasks_a {
        if let Some(i) = hosts.iter().position(|host| host.holds(&ask.sid)) {
            a.hand_over(ask, &format!("s-{i:08x}"));
        }
    }
    sleep_ms(3000);

    // The tasks end, and their hosts say so.
    let mut ended = Vec::new();
    for ask in &tasks_a {
        let at = record.now();
        if hosts.iter().any(|host| host.end_task(&ask.sid, 16)) {
            ended.push((ask.sid.clone(), at));
        }
        sleep_ms(50);
    }
    sleep_ms(12_000);

    let mut broken = Vec::new();
    if placer.has_ended() {
        broken.push("the placer has ended".to_owned());
    }
    for (sid, at) in &ended {
        let elsewhere = inbox_b.about(sid).len();
        match inbox_a.first(sid, "close") {
            Some(release) if release.at - at <= RELEASE_MS => {}
            Some(release) => broken.push(format!(
                "{sid} was released {:.0} ms after its end",
                release.at - at
            )),
            None => broken.push(format!(
                "{sid} was never released to its owner; another owner was told {elsewhere} times"
            )),
        }
    }
    finish(&record, &broken)
}
