//! Some answers of hosts are lost on their way. No request may have two attempts out at one moment.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host, overlapping_attempts};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

const REQUESTS: usize = 12;
/// The answers to these requests' first attempts are lost: 3 of 12.
const LOST: [usize; 3] = [2, 6, 10];
const EXAMINE: Duration = Duration::from_millis(20);

pub fn play(stage: &Stage) -> Result<Finding, String> {
    let record = stage.record;
    let attempts = Arc::default();
    let setup = |number: usize| format!("a1000000000000{number:02x}");
    let to_lose: BTreeSet<String> = LOST
        .iter()
        .filter(|_| stage.trouble)
        .map(|&number| setup(number))
        .collect();
    let to_lose = Mutex::new(to_lose);
    let decide: Decide = Arc::new(move |_, setup, _| {
        match to_lose.lock().expect("no thread panics").remove(setup) {
            true => Answer::AcceptUnheard,
            false => Answer::Accept,
        }
    });
    // Three halls with one host each.
    let hosts: Vec<Host> = ["a", "b", "c"]
        .iter()
        .map(|zone| {
            Host::start(
                &format!("s-{zone}"),
                record,
                &attempts,
                EXAMINE,
                decide.clone(),
            )
        })
        .collect::<Result<_, _>>()
        .map_err(|error| format!("host: {error}"))?;
    let endpoints: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(cell, host)| endpoint(&host.name, host.address, &host.name[2..], cell, "active"))
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
    let mut owner =
        Owner::connect("o1", placer.address, record).map_err(|error| format!("owner: {error}"))?;
    for number in 0..REQUESTS {
        let setup = setup(number);
        let task = Task {
            setup: &setup,
            class: "ledger",
            left_ms: 9_000,
            service: 0x51 + number as u64,
            cores: 2.0,
            memory: 4.0,
            is_keyed: true,
        };
        owner
            .open(&task)
            .map_err(|error| format!("open: {error}"))?;
        owner
            .wait_first(&setup, Duration::from_secs(10))
            .ok_or(format!("no answer to {setup}"))?;
        std::thread::sleep(Duration::from_millis(300));
    }
    if !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    let attempts = attempts.lock().expect("no thread panics");
    let overlapping = overlapping_attempts(&attempts);
    for (earlier, later) in &overlapping {
        record.say(&format!(
            "two attempts of {} out: {} connection {} from {:.3} s to {:?}, {} connection {} from {:.3} s",
            later.setup,
            earlier.host,
            earlier.connection,
            earlier.from.as_secs_f64(),
            earlier.until.map(|until| until.as_secs_f64()),
            later.host,
            later.connection,
            later.from.as_secs_f64(),
        ));
    }
    for number in 0..REQUESTS {
        let setup = setup(number);
        let answer = owner.first(&setup);
        let is_failed = answer.is_some_and(|answer| answer.kind == "close");
        if is_failed && hosts.iter().any(|host| host.holds(&setup)) {
            record.say(&format!(
                "{setup} was answered as failed and stands on a host"
            ));
        }
    }
    Ok(if overlapping.is_empty() {
        Finding::Held
    } else {
        Finding::Broken
    })
}
