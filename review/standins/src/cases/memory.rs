//! A few bad clients take back hundreds of requests at once, at full speed. The placer has to stay under its memory limit.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::channel::Channel;
use crate::host::{Answer, Decide, Host};
use crate::owner::{Owner, Task};
use crate::placer::{Deployment, Placer, endpoint};
use crate::{Finding, Stage};

const MEMORY_MB: u64 = 192;
/// How many bad clients are connected at a time.
const AT_A_TIME: usize = 3;
/// How many requests a bad client sends and takes back at once.
const REQUESTS: usize = 300;
const LENGTH: Duration = Duration::from_secs(90);

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
        memory_mb: MEMORY_MB,
        grace_ms: 2_000,
    };
    let mut placer = Placer::start(stage.root, channel.address, &endpoints, &deployment, record)?;
    let mut owner =
        Owner::connect("o1", placer.address, record).map_err(|error| format!("owner: {error}"))?;
    let taken_back = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    if stage.trouble {
        for number in 0..AT_A_TIME {
            let (address, taken_back, is_over) =
                (placer.address, taken_back.clone(), is_over.clone());
            std::thread::spawn(move || bad_clients(number, address, &taken_back, &is_over));
        }
    }
    let begin = record.now();
    let mut number = 0_u64;
    let mut is_broken = false;
    while record.now() < begin + LENGTH {
        // A usual client asks twice a second; its tasks end after two seconds.
        let setup = format!("e1{number:014x}");
        let task = Task {
            setup: &setup,
            class: "web",
            left_ms: 6_000,
            service: 0x1000 + number % 20,
            cores: 0.25,
            memory: 0.5,
            is_keyed: false,
        };
        let _ = owner.open(&task);
        if let Some(ended) = number.checked_sub(4).map(|n| format!("e1{n:014x}")) {
            hosts
                .iter()
                .filter(|host| host.holds(&ended))
                .for_each(|host| host.end_task(&ended));
        }
        number += 1;
        std::thread::sleep(Duration::from_millis(500));
        let Some(memory_kb) = placer.memory_kb() else {
            record.say("the placer has ended");
            is_broken = true;
            break;
        };
        record.write(&format!(
            "placer: {:.1} MB of {MEMORY_MB}; {} requests taken back so far",
            memory_kb as f64 / 1024.0,
            taken_back.load(Ordering::Relaxed)
        ));
        if memory_kb > MEMORY_MB * 1024 {
            record.say(&format!(
                "the placer holds {:.1} MB after {:.1} s and is killed: its limit is {MEMORY_MB} MB; {} requests were taken back",
                memory_kb as f64 / 1024.0,
                (record.now() - begin).as_secs_f64(),
                taken_back.load(Ordering::Relaxed)
            ));
            placer.signal("KILL")?;
            is_broken = true;
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    if !is_broken && !placer.is_running() {
        return Err("the placer has exited".to_owned());
    }
    Ok(if is_broken {
        Finding::Broken
    } else {
        Finding::Held
    })
}

/// One bad client after the other connects, sends hundreds of requests and takes them all back at once, and leaves when the
/// placer has read everything, which the answer to a test shows. The time that the requests leave is out of the range of
/// their class: a day.
fn bad_clients(lane: usize, placer: SocketAddr, taken_back: &AtomicU64, is_over: &AtomicBool) {
    let mut client = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        client += 1;
        let setup = |n: usize| format!("b{lane:01x}{client:08x}{n:06x}");
        let mut block = String::new();
        for n in 0..REQUESTS {
            let setup = setup(n);
            block += &format!(
                r#"{{"msg":"open","sid":"{setup}","attrs":{{"class":"web","left":"86400000","key":"{setup}","extras":"cores:0.5;memory:1;service:00000000000000{lane:02x}"}},"text":"{setup}"}}"#
            );
            block.push('\n');
        }
        for n in 0..REQUESTS {
            block += &format!(
                r#"{{"msg":"close","sid":"{}","attrs":{{}},"code":16}}"#,
                setup(n)
            );
            block.push('\n');
        }
        block += r#"{"msg":"probe","sid":"00000000000000fd","attrs":{},"code":0}"#;
        block.push('\n');
        let Ok(mut stream) = TcpStream::connect(placer) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        if stream.write_all(block.as_bytes()).is_err() {
            continue;
        }
        taken_back.fetch_add(REQUESTS as u64, Ordering::Relaxed);
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(line)) = lines.next() {
            if line.contains("probed") {
                break;
            }
        }
    }
}
