//! An owner's resting connection ends, and it connects anew. What has stood and is over has to be released to it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

/// The release has to reach the owner within a second of the host's, and the slack on sockets.
const LIMIT: Duration = Duration::from_millis(1_050);

pub fn play(stage: &Stage) -> Result<Finding, String> {
    let record = stage.record;
    let attempts = Arc::default();
    // Other placers fill the hosts: from then on they refuse.
    let is_full = Arc::new(AtomicBool::new(false));
    let full = is_full.clone();
    let decide: Decide = Arc::new(move |_, _, _| match full.load(Ordering::Relaxed) {
        true => Answer::Refuse,
        false => Answer::Accept,
    });
    let hosts: Vec<Host> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            Host::start(
                &name,
                record,
                &attempts,
                Duration::from_millis(10),
                decide.clone(),
            )
        })
        .collect::<Result<_, _>>()
        .map_err(|error| format!("host: {error}"))?;
    let endpoints: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(n, host)| {
            endpoint(
                &host.name,
                host.address,
                ["a", "b", "c"][n % 3],
                n,
                "active",
            )
        })
        .collect();
    let channel = Channel::start(1, record).map_err(|error| format!("channel: {error}"))?;
    let deployment = Deployment {
        ack: "accepted",
        host_cores: 30.0,
        admits: 1.5,
        memory_mb: 192,
        grace_ms: 2_000,
    };
    let mut placer = Placer::start(stage.root, channel.address, &endpoints, &deployment, record)?;
    let connect = |name| {
        Owner::connect(name, placer.address, record).map_err(|error| format!("owner: {error}"))
    };
    let mut first = connect("o1 first connection")?;
    let task = |setup: &'static str, service| Task {
        setup,
        class: "web",
        left_ms: 6_000,
        service,
        cores: 0.5,
        memory: 1.0,
        is_keyed: false,
    };
    let standing = "c100000000000001";
    first
        .open(&task(standing, 0x81))
        .map_err(|error| format!("open: {error}"))?;
    let answer = first.wait_first(standing, Duration::from_secs(10));
    if answer.is_none_or(|answer| answer.kind != "ready") {
        return Err(format!("{standing} was not placed"));
    }
    is_full.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(4_100));
    if stage.trouble {
        first.close();
    }
    let mut second = connect("o1 second connection")?;
    second.probe().map_err(|error| format!("test: {error}"))?;
    second
        .open(&task("c200000000000001", 0x82))
        .map_err(|error| format!("open: {error}"))?;
    second
        .wait_first("c200000000000001", Duration::from_secs(8))
        .ok_or("no answer to the second request")?;
    let released_at = record.now();
    let holder = hosts.iter().find(|host| host.holds(standing));
    holder.ok_or("the task does not stand")?.end_task(standing);
    // The owner's second connection stays open: it is tested every second, and a later task is placed on it.
    for second_of_wait in 1..=12 {
        std::thread::sleep(Duration::from_secs(1));
        second.probe().map_err(|error| format!("test: {error}"))?;
        if second_of_wait == 9 {
            is_full.store(false, Ordering::Relaxed);
            second
                .open(&task("c200000000000002", 0x82))
                .map_err(|error| format!("open: {error}"))?;
            let answer = second.wait_first("c200000000000002", Duration::from_secs(7));
            if answer.is_none_or(|answer| answer.kind != "ready") {
                return Err("the later task was not placed".to_owned());
            }
        }
    }
    if !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    let mut releases = first.received("close", standing);
    releases.extend(second.received("close", standing));
    let reached = releases.iter().map(|release| release.at).min();
    record.say(&format!(
        "{standing}: released by its host {:.3} s, released to its owner {:?}",
        released_at.as_secs_f64(),
        reached.map(|at| at.as_secs_f64())
    ));
    Ok(if reached.is_some_and(|at| at <= released_at + LIMIT) {
        Finding::Held
    } else {
        Finding::Broken
    })
}
