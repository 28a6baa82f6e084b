//! The command channel is silent for eight seconds. Nothing new goes to a host later than the grace after the placer counts as
//! told that it drains.

use std::sync::Arc;
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

const SILENCE: Duration = Duration::from_secs(8);
/// What a silent channel would have told counts as told at the latest this long after it fell silent.
const TOLD_AFTER: Duration = Duration::from_secs(7);
/// The grace of the settings, and the slack on sockets.
const GRACE: Duration = Duration::from_millis(2_050);

pub fn play(stage: &Stage) -> Result<Finding, String> {
    let record = stage.record;
    let attempts = Arc::default();
    let decide: Decide = Arc::new(|_, _, _| Answer::Accept);
    let hosts: Vec<Host> = (0..9)
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
    let endpoints: Vec<String> = (0..hosts.len()).map(|n| entry(n, "active")).collect();
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
    let begin = record.now();
    // The channel falls silent 600 ms after an answer, that is within a wait.
    let phase = channel.wait_for_answer();
    sleep_until(stage, phase + Duration::from_millis(600));
    let silent_at = record.now();
    if stage.trouble {
        channel.set_silent(true);
    }
    let (mut number, mut drained_at, mut ended) = (0_u64, None, !stage.trouble);
    while record.now() < silent_at + Duration::from_secs(13) {
        let since = record.now() - silent_at;
        if drained_at.is_none() && since >= Duration::from_secs(2) {
            // Two of nine hosts drain, in a release.
            channel.tell(&entry(0, "leaving"));
            channel.tell(&entry(1, "leaving"));
            drained_at = Some(record.now());
        }
        if !ended && since >= SILENCE {
            channel.set_silent(false);
            ended = true;
        }
        let setup = format!("d1{number:014x}");
        let task = Task {
            setup: &setup,
            class: "web",
            left_ms: 6_000,
            service: 0x1000 + number,
            cores: 0.25,
            memory: 0.5,
            is_keyed: false,
        };
        owner
            .open(&task)
            .map_err(|error| format!("open: {error}"))?;
        number += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    let _ = begin;
    if !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    let drained_at = drained_at.ok_or("no drain")?;
    let told_at = if stage.trouble {
        drained_at.max(silent_at + TOLD_AFTER)
    } else {
        drained_at
    };
    let attempts = attempts.lock().expect("no thread panics");
    let late: Vec<_> = attempts
        .iter()
        .filter(|attempt| {
            [&hosts[0].name, &hosts[1].name].contains(&&attempt.host)
                && attempt.from > told_at + GRACE
        })
        .collect();
    record.say(&format!(
        "silent from {:.3} s, drains in the channel at {:.3} s, told by {:.3} s; set-ups at the draining hosts after {:.3} s: {}",
        silent_at.as_secs_f64(),
        drained_at.as_secs_f64(),
        told_at.as_secs_f64(),
        (told_at + GRACE).as_secs_f64(),
        late.len()
    ));
    for attempt in &late {
        record.write(&format!("late: {attempt:?}"));
    }
    Ok(if late.is_empty() {
        Finding::Held
    } else {
        Finding::Broken
    })
}

fn sleep_until(stage: &Stage, at: Duration) {
    std::thread::sleep(at.saturating_sub(stage.record.now()));
}
