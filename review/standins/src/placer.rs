//! The placer under test: the program that the deploy file's `run` starts, as a separate process.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::record::Record;

/// A run that takes longer is ended.
const LONGEST_RUN: Duration = Duration::from_secs(114);

/// The part of the settings in which deployments differ.
pub struct Deployment {
    /// `accepted` or `running`.
    pub ack: &'static str,
    pub host_cores: f64,
    /// A host accepts tasks until their requests reach this multiple of its cores and memory.
    pub admits: f64,
    pub memory_mb: u64,
    /// How long after a drain was told a host may still get set-ups.
    pub grace_ms: u64,
}

/// The entry of a host in the list.
pub fn endpoint(name: &str, address: SocketAddr, zone: &str, cell: usize, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std","group":{cell},"status":"{status}","weight":1,"since_ms":0}}"#
    )
}

fn settings(deployment: &Deployment) -> String {
    let Deployment {
        ack,
        host_cores,
        admits,
        grace_ms,
        ..
    } = deployment;
    format!(
        r#"{{
"allowed":{{"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"idleCloseMs":30000.0,"maxAttempts":3,"maxRetryAfterMs":3000.0,"mayCancel":true,"peers":false,"probes":false,"retryAfter":false,"secondCopies":false}},
"classes":[
{{"name":"web","aimMs":600.0,"effect":"pure","giveUpMs":6000.0,"group":"all","lateShare":0.1,"runsOn":true,"windowMs":5000.0,"worth":3.0}},
{{"name":"ledger","aimMs":5000.0,"effect":"token","giveUpMs":9000.0,"group":"zone","lateShare":0.2,"runsOn":true,"windowMs":5000.0,"worth":9.0}}],
"domain":{{"ack":"{ack}","admitCores":{admits:?},"admitMemory":{admits:?},"checkAfterMs":3000.0,"classPriority":[0,1],"freeBy":"used","freshOffers":80.0,"kindByClass":[-1,-1],"kindCores":[{host_cores}],"listsFree":false,"makesRoom":true,"memoryByKind":[86.0],"noPrice":0.02,"spreadMost":[4,2],"spreadOver":["zone","silent"],"startBonusS":[12.0,8.0]}},
"fees":{{"crossZone":0.03,"moves":0.08,"probe":0.0}},
"invariants":{{"answerSlackMs":8.0,"askWithinMs":10000.0,"coldFrom":0.17,"coldMs":15000.0,"fallMultiple":4.0,"stopSendingWithinMs":{grace_ms}.0,"tipAfterMs":3000.0}},
"ordinal":0,"peersTotal":3,"registryMode":"ask","reporting":{{"fields":[],"how":"silent"}},
"shapes":["std"],"zone":0,"zones":["a","b","c"]}}"#
    )
}

pub struct Placer {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    record: Record,
}

impl Placer {
    /// Starts the placer from the root of the repository, and waits until a test of its listener is passed.
    pub fn start(
        root: &Path,
        channel: SocketAddr,
        endpoints: &[String],
        deployment: &Deployment,
        record: &Record,
    ) -> Result<Placer, String> {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .map_err(|error| format!("deploy file: {error}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|line| line.split_once('"'))
            .map(|(run, _)| run.to_owned())
            .ok_or("the deploy file has no run")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("temporary folder: {error}"))?;
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .map_err(|error| format!("free port: {error}"))?;
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":512}},"channel":"{channel}",
"known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
"settings":{}}}"#,
            deployment.memory_mb,
            endpoints.join(","),
            settings(deployment)
        );
        std::fs::write(&config, text).map_err(|error| format!("configuration: {error}"))?;
        let log = File::create(folder.join("placer.log"))
            .map_err(|error| format!("log file: {error}"))?;
        let output = log
            .try_clone()
            .map_err(|error| format!("log file: {error}"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("run: {error}"))?;
        let id = child.id();
        std::thread::spawn(move || {
            std::thread::sleep(LONGEST_RUN);
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
            println!("the case could not run: it took too long");
            std::process::exit(2);
        });
        let placer = Placer {
            child,
            address,
            folder,
            record: record.clone(),
        };
        let until = Instant::now() + Duration::from_secs(20);
        while !placer.passes_test() {
            if Instant::now() > until {
                return Err("the placer is not ready within 20 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.write(&format!("placer: ready, started with `{run}`"));
        Ok(placer)
    }

    /// Whether the placer answers a test on a new connection.
    fn passes_test(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let probe = r#"{"msg":"probe","sid":"00000000000000fe","attrs":{},"code":0}"#;
        if stream.write_all(format!("{probe}\n").as_bytes()).is_err() {
            return false;
        }
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("probed")
    }

    /// Sends a signal to the placer's process: the shell's `exec` made it the process that was started.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let status = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status()
            .map_err(|error| format!("signal {name}: {error}"))?;
        self.record.write(&format!("placer: SIG{name}"));
        if status.success() {
            Ok(())
        } else {
            Err(format!("signal {name} could not be sent"))
        }
    }

    /// The memory that the placer's process holds, or none if it has ended.
    pub fn memory_kb(&mut self) -> Option<u64> {
        if !self.is_running() {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the placer's process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(log) = std::fs::read_to_string(self.folder.join("placer.log")) {
            log.lines()
                .for_each(|line| self.record.write(&format!("placer's log: {line}")));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
