//! A host goes, and a new host under a new id takes its address; the list tells so two seconds later. The owners of the
//! tasks that were cut have to be told within 8 s.

use std::collections::BTreeMap;

use review_standins_2::channel::{entry, Channel};
use review_standins_2::host::Host;
use review_standins_2::owner::{Ask, Inbox, Owner};
use review_standins_2::placer::{free_address, start_watchdog, Placer};
use review_standins_2::record::{could_not_run, finish, Record};
use review_standins_2::settings::Deployment;
use review_standins_2::{has_trouble, sleep_ms, unix_ms, wait_for, Random};
use std::time::Duration;

const HOSTS: usize = 9;
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
    let list_entry = |i: usize, name: &str, status: &str, since: u64| {
        entry(
            name,
            hosts[i].address,
            zones[i % 3],
            "std-48-64",
            (i / 3) as u32,
            status,
            since,
        )
    };
    let first: Vec<String> = (0..HOSTS)
        .map(|i| list_entry(i, &format!("s-{i:08x}"), "active", 0))
        .collect();
    channel.push(&first);
    let listen = free_address();
    let config = deployment.config("n0", listen, channel.address, &channel.events_after(0), 7);
    let mut placer = Placer::start(&record, "n0", listen, &config);

    // The owner places its tasks and keeps its connection.
    let inbox = Inbox::default();
    let mut owner = Owner::connect(&record, &inbox, "a", listen);
    owner.test("00000000000000aa");
    let mut random = Random(5);
    let mut sids = Vec::new();
    for i in 0..TASKS {
        let ask = Ask {
            sid: format!("{:016x}", random.next()),
            class: "web-api".into(),
            key: format!("{:016x}", random.next()),
            idem: None,
            service: 100 + i as u64,
            cores: 1.0,
            memory: 3.0,
            left_ms: 5000,
        };
        owner.open(&ask);
        sids.push(ask.sid);
        sleep_ms(40);
    }
    let is_answered = wait_for(Duration::from_secs(6), || {
        sids.iter().all(|sid| !inbox.about(sid).is_empty())
    });
    let placed: Vec<&String> = sids
        .iter()
        .filter(|sid| inbox.first(sid, "ready").is_some())
        .collect();
    record.line(format!("{} of {TASKS} tasks are placed", placed.len()));
    if !is_answered || placed.len() < TASKS / 2 {
        could_not_run("the tasks were not placed");
    }

    // The machines of two hosts vanish, one after the other, each soon after the host has told of a task. Another machine
    // takes the address 1.5 s later, and the list tells it 1 s after that.
    sleep_ms(1500);
    let mut ended: BTreeMap<String, f64> = BTreeMap::new();
    if has_trouble() {
        let mut by_tasks: Vec<usize> = (0..HOSTS).collect();
        by_tasks.sort_by_key(|&i| std::cmp::Reverse(hosts[i].tasks().len()));
        for &i in by_tasks.iter().take(2) {
            let (old, new) = (format!("s-{i:08x}"), format!("t-{i:08x}"));
            if let Some(sid) = hosts[i].tasks().first() {
                hosts[i].note_use(sid);
            }
            sleep_ms(50);
            let at = record.now();
            let cut = hosts[i].vanish();
            if cut.is_empty() {
                could_not_run("a host holds no task");
            }
            ended.extend(cut.into_iter().map(|sid| (sid, at)));
            sleep_ms(1500);
            let since = unix_ms();
            hosts[i].come_back(&new);
            sleep_ms(1000);
            channel.push(&[
                list_entry(i, &old, "left", 0),
                list_entry(i, &new, "active", since),
            ]);
            sleep_ms(2000);
        }
    }
    sleep_ms(15_000);
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
