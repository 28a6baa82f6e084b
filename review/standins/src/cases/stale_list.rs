//! The placer stands still now and then, and hosts drain meanwhile. Nothing new goes to a host later than the grace after the
//! placer was told that it drains.

use std::sync::Arc;
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

const HOSTS: usize = 9;
/// The placer stands still for this long, once in each period.
const STALL: Duration = Duration::from_millis(1_700);
const PERIOD: Duration = Duration::from_millis(3_300);
const STALLS: usize = 5;
/// A stall begins this long after the channel's answer to a poll, so the next answer, a second after it, is empty.
const STALL_BEGINS: Duration = Duration::from_millis(850);
/// How long after the begin of a stall a host drains.
const DRAIN_AFTER: Duration = Duration::from_millis(250);
const GRACE_MS: u64 = 1_000;
const SLACK: Duration = Duration::from_millis(50);

pub fn play(stage: &Stage) -> Result<Finding, String> {
    let record = stage.record;
    let attempts = Arc::default();
    let decide: Decide = Arc::new(|_, _, _| Answer::Accept);
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let name = format!("s-{number}");
            Host::start(
                &name,
                record,
                &attempts,
                Duration::from_millis(7),
                decide.clone(),
            )
        })
        .collect::<Result<_, _>>()
        .map_err(|error| format!("host: {error}"))?;
    let entry = |n: usize, status| {
        endpoint(
            &hosts[n].name,
            hosts[n].address,
            ["a", "b", "c"][n % 3],
            n,
            status,
        )
    };
    let endpoints: Vec<String> = (0..HOSTS).map(|n| entry(n, "active")).collect();
    let channel = Channel::start(1, record).map_err(|error| format!("channel: {error}"))?;
    let deployment = Deployment {
        ack: "running",
        host_cores: 56.0,
        admits: 1.0,
        memory_mb: 192,
        grace_ms: GRACE_MS,
    };
    let mut placer = Placer::start(stage.root, channel.address, &endpoints, &deployment, record)?;
    let mut owner =
        Owner::connect("o1", placer.address, record).map_err(|error| format!("owner: {error}"))?;
    let mut drained: Vec<(usize, Duration)> = Vec::new();
    let mut number = 0_u64;
    let mut ask = |until: Duration| -> Result<(), String> {
        // About ten requests a second.
        while record.now() < until {
            let setup = format!("f1{number:014x}");
            let task = Task {
                setup: &setup,
                class: "web",
                left_ms: 5_000,
                service: 0x1000 + number,
                cores: 0.5,
                memory: 1.0,
                is_keyed: false,
            };
            owner
                .open(&task)
                .map_err(|error| format!("open: {error}"))?;
            number += 1;
            std::thread::sleep(Duration::from_millis(100).min(until.saturating_sub(record.now())));
        }
        Ok(())
    };
    // In each of the stalls one of the placer's own zone or of another one drains, in a release.
    for round in 0..STALLS {
        let answered = channel.wait_for_answer();
        let begin = answered + STALL_BEGINS;
        ask(begin)?;
        if stage.trouble {
            placer.signal("STOP")?;
        }
        let begin = record.now();
        ask(begin + DRAIN_AFTER)?;
        channel.tell(&entry(round, "leaving"));
        drained.push((round, record.now()));
        ask(begin + STALL)?;
        if stage.trouble {
            placer.signal("CONT")?;
        }
        ask(begin + PERIOD - STALL_BEGINS)?;
    }
    if !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    let attempts = attempts.lock().expect("no thread panics");
    let mut late = 0;
    for (host, told_at) in drained {
        let limit = told_at + Duration::from_millis(GRACE_MS) + SLACK;
        for attempt in attempts
            .iter()
            .filter(|attempt| attempt.host == hosts[host].name && attempt.from > limit)
        {
            late += 1;
            record.say(&format!(
                "{} was told to drain at {:.3} s and receives {} at {:.3} s, {:.0} ms after the grace",
                attempt.host,
                told_at.as_secs_f64(),
                attempt.setup,
                attempt.from.as_secs_f64(),
                (attempt.from - told_at).as_secs_f64() * 1000.0 - GRACE_MS as f64,
            ));
        }
    }
    Ok(if late == 0 {
        Finding::Held
    } else {
        Finding::Broken
    })
}
