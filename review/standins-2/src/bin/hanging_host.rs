//! One of twenty hosts hangs for some seconds: its process is stopped and continued. Tasks that have come to their end
//! meanwhile are released by the host when it runs again. Their owners have to be told.

use std::collections::BTreeMap;
use std::time::Duration;

use review_standins_2::channel::{entry, Channel};
use review_standins_2::owner::{Ask, Inbox, Owner};
use review_standins_2::placer::{
    free_address, start_watchdog, HostProcess, Placer, SIGCONT, SIGSTOP,
};
use review_standins_2::record::{could_not_run, finish, Record};
use review_standins_2::settings::Deployment;
use review_standins_2::{has_trouble, sleep_ms, unix_ms, wait_for, Random};

const HOSTS: usize = 20;
const TASKS: usize = 60;
const HANG_MS: u64 = 6_000;
/// The time within which a release has to come, with the slack of the sockets; where none could be sent it is 8 s.
const RELEASE_MS: u64 = 8_050;

fn main() {
    let record = Record::create();
    start_watchdog(&record, 110);
    let deployment = Deployment::default();
    let channel = Channel::start(&record);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let hosts: Vec<HostProcess> = (0..HOSTS)
        .map(|i| HostProcess::start(&record, &format!("s-{i:08x}"), (8_000, 16_000)))
        .collect();
    channel.push(
        &(0..HOSTS)
            .map(|i| {
                entry(
                    &hosts[i].name,
                    hosts[i].address,
                    zones[i % 3],
                    "std-48-64",
                    (i / 4) as u32,
                    "active",
                    0,
                )
            })
            .collect::<Vec<_>>(),
    );
    let listen = free_address();
    let config = deployment.config("n0", listen, channel.address, &channel.events_after(0), 7);
    let mut placer = Placer::start(&record, "n0", listen, &config);
    let inbox = Inbox::default();
    let mut owner = Owner::connect(&record, &inbox, "a", listen);
    owner.test("00000000000000aa");
    let mut random = Random(21);
    let mut sids = Vec::new();
    for i in 0..TASKS {
        let ask = Ask {
            sid: format!("{:016x}", random.next()),
            class: "web-api".into(),
            key: format!("{:016x}", random.next()),
            idem: None,
            service: 100 + i as u64 / 8,
            cores: 0.5,
            memory: 1.0,
            left_ms: 5000,
        };
        owner.open(&ask);
        sids.push(ask.sid);
        sleep_ms(80);
    }
    let is_answered = wait_for(Duration::from_secs(6), || {
        sids.iter().all(|sid| !inbox.about(sid).is_empty())
    });
    let placed = sids
        .iter()
        .filter(|sid| inbox.first(sid, "ready").is_some())
        .count();
    record.line(format!("{placed} of {TASKS} tasks are placed"));
    if !is_answered || placed < TASKS / 2 {
        could_not_run("the tasks were not placed");
    }
    sleep_ms(2_500);
    if has_trouble() {
        let host = hosts.iter().max_by_key(|host| host.tasks(false).len());
        if let Some(host) = host {
            host.signal(SIGSTOP);
            sleep_ms(HANG_MS);
            host.signal(SIGCONT);
        }
    } else {
        sleep_ms(HANG_MS);
    }
    sleep_ms(25_000);

    // The times of the messages to the owner as Unix times.
    let started = unix_ms() as f64 - record.now();
    let mut ended = BTreeMap::new();
    for host in &hosts {
        for (at, sid) in host.tasks(true) {
            ended.insert(sid, (at, host.name.clone()));
        }
    }
    record.line(format!("{} tasks have ended", ended.len()));
    let mut broken = Vec::new();
    if placer.has_ended() {
        broken.push("the placer has ended".to_owned());
    }
    for sid in sids
        .iter()
        .filter(|sid| inbox.first(sid, "ready").is_some())
    {
        let Some((at, host)) = ended.get(sid) else {
            continue;
        };
        match inbox.first(sid, "close") {
            Some(release) if release.at + started <= (at + RELEASE_MS) as f64 => {}
            Some(release) => broken.push(format!(
                "{sid} was released {:.0} ms after host {host} did",
                release.at + started - *at as f64
            )),
            None => broken.push(format!(
                "{sid} was released by host {host} and never by the placer ({} ms)",
                unix_ms() - at
            )),
        }
    }
    finish(&record, &broken)
}
