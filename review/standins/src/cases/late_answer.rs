//! The placer stands still now and then. A request has to get its final answer before its owner's time is up.

use std::sync::Arc;
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

/// The placer stands still for this long, once in each period.
const STALL: Duration = Duration::from_millis(1_400);
const PERIOD: Duration = Duration::from_millis(3_500);
const STALLS: usize = 6;
/// How long after the begin of a stall a request is sent, and how long its owner waits. Its time is up when the placer has
/// run again for 750 ms, and 1,350 ms before it stands still again.
const SENT_AFTER: Duration = Duration::from_millis(100);
const LEFT: Duration = Duration::from_millis(2_050);
/// An answer later than this after the owner's time is up counts as lost: half a second, and the slack on sockets.
const LATE: Duration = Duration::from_millis(550);

pub fn play(stage: &Stage) -> Result<Finding, String> {
    let record = stage.record;
    let attempts = Arc::default();
    let decide: Decide = Arc::new(|_, _, _| Answer::Accept);
    let hosts: Vec<Host> = ["a", "b", "c"]
        .iter()
        .map(|zone| {
            let name = format!("s-{zone}");
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
        .map(|(cell, host)| endpoint(&host.name, host.address, &host.name[2..], cell, "active"))
        .collect();
    let channel = Channel::start(1, record).map_err(|error| format!("channel: {error}"))?;
    // A host takes tasks while its cores cover them: three ledger tasks of 16 cores fill one.
    let deployment = Deployment {
        ack: "running",
        host_cores: 48.0,
        admits: 1.0,
        memory_mb: 192,
        grace_ms: 1_000,
    };
    let mut placer = Placer::start(stage.root, channel.address, &endpoints, &deployment, record)?;
    let mut owner =
        Owner::connect("o1", placer.address, record).map_err(|error| format!("owner: {error}"))?;
    for number in 0..9_u64 {
        let setup = format!("b1000000000000{number:02x}");
        let task = Task {
            setup: &setup,
            class: "ledger",
            left_ms: 9_000,
            service: 0x61 + number,
            cores: 16.0,
            memory: 26.0,
            is_keyed: true,
        };
        owner
            .open(&task)
            .map_err(|error| format!("open: {error}"))?;
        let answer = owner.wait_first(&setup, Duration::from_secs(10));
        if answer.is_none_or(|answer| answer.kind != "ready") {
            return Err(format!("{setup} was not placed"));
        }
    }
    // The fleet is full: a further task waits in the placer until its time is up.
    let mut is_broken = false;
    for number in 0..STALLS {
        let begin = record.now();
        if stage.trouble {
            placer.signal("STOP")?;
        }
        sleep_until(stage, begin + SENT_AFTER);
        let setup = format!("b2000000000000{number:02x}");
        let task = Task {
            setup: &setup,
            class: "web",
            left_ms: LEFT.as_millis() as u64,
            service: 0x71,
            cores: 1.0,
            memory: 3.0,
            is_keyed: false,
        };
        let sent = owner
            .open(&task)
            .map_err(|error| format!("open: {error}"))?;
        sleep_until(stage, begin + STALL);
        if stage.trouble {
            placer.signal("CONT")?;
        }
        sleep_until(stage, begin + PERIOD);
        let answered = owner.first(&setup).map(|answer| answer.at);
        let limit = sent + LEFT + LATE;
        let is_late = answered.is_none_or(|at| at > limit);
        is_broken |= is_late;
        record.say(&format!(
            "{setup}: sent {:.3} s, its time is up {:.3} s, answered {:?}{}",
            sent.as_secs_f64(),
            (sent + LEFT).as_secs_f64(),
            answered.map(|at| at.as_secs_f64()),
            if is_late { ": too late, lost" } else { "" }
        ));
    }
    if !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    Ok(if is_broken {
        Finding::Broken
    } else {
        Finding::Held
    })
}

fn sleep_until(stage: &Stage, at: Duration) {
    std::thread::sleep(at.saturating_sub(stage.record.now()));
}
