//! Starts the placer with the `run` command of the deploy file, as the platform does.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::record::{could_not_run, Record};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not waited for, and waits for their ends.
pub fn kill_all() {
    if let Ok(mut started) = STARTED.lock() {
        for &pid in started.iter() {
            // SAFETY: the process was started here and has not been waited for, so the id is its own.
            unsafe { kill(pid as i32, SIGKILL) };
        }
        for pid in started.drain(..) {
            // SAFETY: as above; no status is asked for.
            unsafe { waitpid(pid as i32, std::ptr::null_mut(), 0) };
        }
    }
}

/// Forgets a process that has been waited for: its id may become that of another one.
fn forget(pid: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|&other| other != pid);
    }
}

/// Ends the run if it takes too long.
pub fn start_watchdog(record: &Record, seconds: u64) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        record.line("the run took too long");
        could_not_run("the run took too long")
    });
}

/// The root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| could_not_run("ROOT is not set")))
}

/// The value of a key of the deploy file, which is a string on one line.
fn deploy_value(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml"))
        .unwrap_or_else(|error| could_not_run(&format!("deploy file: {error}")));
    text.lines()
        .filter_map(|line| line.split_once('='))
        .find(|(name, _)| name.trim() == key)
        .and_then(|(_, value)| {
            value
                .trim()
                .strip_prefix('"')?
                .split('"')
                .next()
                .map(str::to_owned)
        })
        .unwrap_or_else(|| could_not_run("deploy file: no such key"))
}

/// A free loopback address. It is this process's own, so no other run takes its port before the placer listens there.
pub fn free_address() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = std::net::Ipv4Addr::new(127, 1 + (a & 0x3f), b, c);
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|_| could_not_run("no free port"));
    listener
        .local_addr()
        .unwrap_or_else(|_| could_not_run("no address"))
}

/// A folder of its own for each run.
pub fn temporary_folder() -> PathBuf {
    let folder = PathBuf::from(
        std::env::var("RUN_DIR").unwrap_or_else(|_| could_not_run("RUN_DIR is not set")),
    );
    if !folder.is_dir() {
        could_not_run("RUN_DIR is not a folder");
    }
    folder
}

pub struct Placer {
    child: Child,
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    record: Record,
}

impl Placer {
    /// Writes the configuration and starts the placer; returns once it accepts connections.
    pub fn start(record: &Record, name: &str, listen: SocketAddr, config_text: &str) -> Placer {
        let config = temporary_folder().join(format!("{name}.json"));
        fs::write(&config, config_text)
            .unwrap_or_else(|error| could_not_run(&format!("config: {error}")));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(temporary_folder().join(format!("{name}.log")))
            .unwrap_or_else(|error| could_not_run(&format!("log: {error}")));
        let run = deploy_value("run");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&run)
            .current_dir(root())
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap_or_else(|_| could_not_run("log")))
            .stderr(log);
        use std::os::unix::process::CommandExt;
        // SAFETY: `prctl` is safe to call between fork and exec. 1 is PR_SET_PDEATHSIG: the placer ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0u64, 0u64, 0u64);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("placer: {error}")));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        record.line(format!("placer {name} started: {run}"));
        let mut placer = Placer {
            child,
            name: name.to_owned(),
            listen,
            config,
            record: record.clone(),
        };
        let is_up = crate::wait_for(Duration::from_secs(20), || {
            if placer.has_ended() {
                could_not_run("the placer ended at its start");
            }
            TcpStream::connect(listen).is_ok()
        });
        if !is_up {
            could_not_run("the placer does not accept connections");
        }
        record.line(format!("placer {name} accepts connections"));
        placer
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            forget(self.child.id());
        }
        has_ended
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .line(format!("placer {} gets signal {signal}", self.name));
        // SAFETY: the process was started here and is not waited for before it is dropped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the placer outright and waits for its end.
    pub fn kill(mut self) {
        self.signal(SIGKILL);
        self.wait();
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
        forget(self.child.id());
        self.record.line(format!("placer {} has ended", self.name));
    }

    /// The resident memory in KiB, and its peak.
    pub fn memory_kib(&self) -> (u64, u64) {
        let text =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            text.lines()
                .find(|line| line.starts_with(name))
                .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
                .unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

/// A stand-in that runs as a process of its own.
pub struct HostProcess {
    child: Child,
    pub name: String,
    pub address: SocketAddr,
    /// When tasks were started and when they ended: Unix milliseconds, whether it is an end, and the task.
    tasks: std::sync::Arc<Mutex<Vec<(u64, bool, String)>>>,
    record: Record,
}

impl HostProcess {
    pub fn start(record: &Record, name: &str, life_ms: (u64, u64)) -> HostProcess {
        use std::io::{BufRead, BufReader};
        use std::os::unix::process::CommandExt;
        let program = std::env::current_exe()
            .ok()
            .and_then(|path| Some(path.parent()?.join("host_process")))
            .unwrap_or_else(|| could_not_run("no path of the host"));
        let mut command = Command::new(program);
        command
            .args([name, &life_ms.0.to_string(), &life_ms.1.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        // SAFETY: as in `Placer::start`.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0u64, 0u64, 0u64);
                Ok(())
            });
        }
        let mut child = command
            .spawn()
            .unwrap_or_else(|error| could_not_run(&format!("host: {error}")));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        let output = child
            .stdout
            .take()
            .unwrap_or_else(|| could_not_run("host: no output"));
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let address = lines
            .next()
            .and_then(|line| line.parse().ok())
            .unwrap_or_else(|| could_not_run("host: no address"));
        let tasks: std::sync::Arc<Mutex<Vec<(u64, bool, String)>>> = Default::default();
        let (own_tasks, own_record, own_name) = (tasks.clone(), record.clone(), name.to_owned());
        std::thread::spawn(move || {
            for line in lines {
                let mut words = line.split(' ');
                let at = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
                let (what, sid) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                if matches!(what, "started" | "ended") {
                    if let Ok(mut tasks) = own_tasks.lock() {
                        tasks.push((at, what == "ended", sid.to_owned()));
                    }
                }
                own_record.line(format!("host {own_name}: {line}"));
            }
        });
        HostProcess {
            child,
            name: name.to_owned(),
            address,
            tasks,
            record: record.clone(),
        }
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .line(format!("host {} gets signal {signal}", self.name));
        // SAFETY: the process was started here and is not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The tasks that have started, or that have ended, with the Unix time.
    pub fn tasks(&self, has_ended: bool) -> Vec<(u64, String)> {
        let tasks = self
            .tasks
            .lock()
            .map(|tasks| tasks.clone())
            .unwrap_or_default();
        tasks
            .into_iter()
            .filter(|(_, is_end, _)| *is_end == has_ended)
            .map(|(at, _, sid)| (at, sid))
            .collect()
    }
}
