//! Bad clients hand over tasks that no host knows, in the first second of a placer. Then the owners hand over theirs, which
//! stand. When these end, their owners have to be told.

use std::time::Duration;

use review_standins_2::channel::{entry, Channel};
use review_standins_2::host::Host;
use review_standins_2::owner::{open_line, Ask, Inbox, Owner};
use review_standins_2::placer::{free_address, start_watchdog, Placer};
use review_standins_2::record::{could_not_run, finish, Record};
use review_standins_2::settings::Deployment;
use review_standins_2::{has_trouble, sleep_ms, wait_for, Random};

const HOSTS: usize = 10;
const TASKS: usize = 80;
const BAD_CLIENTS: usize = 24;
const MADE_UP_TASKS: usize = 300;
/// The time within which a release has to come, with the slack of the sockets; where none could be sent it is 8 s.
const RELEASE_MS: f64 = 8_000.0 + 50.0;

fn main() {
    let record = Record::create();
    start_watchdog(&record, 100);
    let deployment = Deployment {
        memory_mb: 32,
        sockets: 256,
        ..Deployment::default()
    };
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
                    (i / 4) as u32,
                    "active",
                    0,
                )
            })
            .collect::<Vec<_>>(),
    );
    let listen = free_address();
    let mut random = Random(13);
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
    let asks: Vec<Ask> = (0..TASKS).map(|i| ask(100 + i as u64 / 8)).collect();
    for (i, ask) in asks.iter().enumerate() {
        hosts[i % HOSTS].hold(&ask.sid);
    }
    let config = deployment.config("n0", listen, channel.address, &channel.events_after(0), 7);
    let mut placer = Placer::start(&record, "n0", listen, &config);

    let mut bad = Vec::new();
    if has_trouble() {
        for number in 0..BAD_CLIENTS {
            let name = format!("bad{number}");
            let mut client = Owner::connect(&record, &Inbox::default(), &name, listen);
            let mut lines = String::new();
            for i in 0..MADE_UP_TASKS {
                lines += &open_line(&ask(9000 + i as u64), Some(&format!("s-{:08x}", i % HOSTS)));
                lines.push('\n');
            }
            record.line(format!(
                "owner {name} hands over {MADE_UP_TASKS} tasks that no host knows"
            ));
            client.send_bytes(lines.as_bytes());
            bad.push(client);
        }
        sleep_ms(300);
    }

    let inbox = Inbox::default();
    let mut owner = Owner::connect(&record, &inbox, "a", listen);
    owner.test("00000000000000aa");
    if !wait_for(Duration::from_secs(5), || {
        inbox.first("00000000000000aa", "probed").is_some()
    }) {
        could_not_run("the first test was not answered");
    }
    for (i, ask) in asks.iter().enumerate() {
        owner.hand_over(ask, &format!("s-{:08x}", i % HOSTS));
    }
    sleep_ms(2000);

    let mut ended = Vec::new();
    for (i, ask) in asks.iter().enumerate() {
        let at = record.now();
        if hosts[i % HOSTS].end_task(&ask.sid, 16) {
            ended.push((ask.sid.clone(), at));
        }
        sleep_ms(20);
    }
    sleep_ms(12_000);
    record.line(format!(
        "memory of the placer: {:?} KiB",
        placer.memory_kib()
    ));

    let mut broken = Vec::new();
    if placer.has_ended() {
        broken.push("the placer has ended".to_owned());
    }
    for (sid, at) in &ended {
        match inbox.first(sid, "close") {
            Some(release) if release.at - at <= RELEASE_MS => {}
            Some(release) => broken.push(format!(
                "{sid} was released {:.0} ms after its end",
                release.at - at
            )),
            None => broken.push(format!("{sid} was over at {at:.0} ms and never released")),
        }
    }
    finish(&record, &broken)
}
