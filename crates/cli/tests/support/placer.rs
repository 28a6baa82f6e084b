//! A placer process and its files.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::{Client, ScriptedHost, TEST_TIMEOUT};

/// A placer process, with a folder for its files.
pub struct PlacerProcess {
    folder: tempfile::TempDir,
    child: Option<Child>,
    pub address: SocketAddr,
}

pub const CLASSES: &str = r#"
[[class]]
name = "web-api"
effect = "safe"
aim_ms = 400

[[class]]
name = "ledger-batch"
effect = "keyed"
group = "zone"
window_ms = 5000
aim_ms = 400

[[class]]
name = "statements"
effect = "unsafe"
aim_ms = 400

[[class]]
name = "spread"
effect = "safe"
aim_ms = 400
spread_over = "host"
spread_most = 2
"#;

impl PlacerProcess {
    /// Writes the settings and the inventory, without starting the process. The lines in `api` are added to the `[api]` table.
    pub fn with_files(hosts: &[&ScriptedHost], api: &str) -> PlacerProcess {
        let folder = tempfile::tempdir().expect("temporary folder");
        let config = format!(
            r#"
[placer]
name = "p0"
number = 0
placers = 1
zone = "a"
zones = ["a", "b"]
seed = 5

[api]
listen = "127.0.0.1:0"
{api}

[hosts]
inventory = "hosts.toml"
reconnect_first_ms = 20
reconnect_most_ms = 50

[placing]
max_attempts = 3

[rules]
cold_from = 0.2
cold_for_ms = 2000
fall_multiple = 4.0
fall_window_ms = 1000
fresh_offers = 10.0

[[kind]]
name = "std"
cores = 1000.0
memory_gib = 1000.0
{CLASSES}"#
        );
        std::fs::write(folder.path().join("placer.toml"), config).expect("file can be written");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let placer = PlacerProcess {
            folder,
            child: None,
            address,
        };
        placer.write_inventory(&hosts.iter().map(|h| (*h, "ready")).collect::<Vec<_>>());
        placer
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.path().join("placer.log")
    }

    /// Replaces the inventory atomically.
    pub fn write_inventory(&self, hosts: &[(&ScriptedHost, &str)]) {
        let mut text = String::new();
        for (h, state) in hosts {
            text += &format!(
                "[[host]]\nname = \"{}\"\naddress = \"{}\"\nzone = \"{}\"\ncell = \"{}\"\nkind = \"std\"\nstate = \"{state}\"\n",
                h.name,
                h.address(),
                h.zone,
                h.cell
            );
        }
        self.write_inventory_text(&text);
    }

    pub fn write_inventory_text(&self, text: &str) {
        let new = self.folder.path().join("hosts.toml.new");
        std::fs::write(&new, text).expect("file can be written");
        std::fs::rename(&new, self.folder.path().join("hosts.toml")).expect("file can be renamed");
    }

    /// Starts the process. The returned function waits for its address, which it prints after all hosts have greeted it.
    pub fn start(&mut self) -> impl FnOnce(&mut PlacerProcess) + use<> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("log file can be opened");
        let mut child = Command::new(env!("CARGO_BIN_EXE_maplethread"))
            .args(["placer", "--log", "debug", "--config"])
            .arg(self.folder.path().join("placer.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("placer starts");
        let out = child.stdout.take().expect("piped standard output");
        self.child = Some(child);
        move |placer: &mut PlacerProcess| {
            let mut line = String::new();
            BufReader::new(out)
                .read_line(&mut line)
                .expect("line can be read");
            let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            placer.address = address.unwrap_or_else(|| {
                panic!(
                    "placer printed no address: {}",
                    std::fs::read_to_string(placer.log_path()).unwrap_or_default()
                )
            });
        }
    }

    pub fn pid(&self) -> Pid {
        Pid::from_child(self.child.as_ref().expect("placer was started"))
    }

    /// The placer's log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log_path()).expect("file can be read")
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("signal can be sent");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child
            .take()
            .expect("placer was started")
            .wait()
            .expect("exit status")
    }

    /// Resident memory, KiB.
    pub fn rss_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid().as_raw_nonzero()))
                .expect("process runs");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .expect("line can be read");
        line.split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
            .expect("memory in KiB")
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn status(&self) -> Value {
        self.client().call("GET", "/v1/status", "").1
    }

    /// Waits until the status meets a condition, which `what` describes.
    pub fn wait_for_status(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let status = self.status();
            if condition(&status) {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "condition not met within {TEST_TIMEOUT:?}: {what}; {status}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for PlacerProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "{}",
                std::fs::read_to_string(self.log_path()).unwrap_or_default()
            );
        }
        self.kill();
    }
}
