//! Membership with real placers: a fault-injection run, the reports to operators, and datagrams from outside the fleet.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");
/// The limit for one wait of a test, long enough for slow machines; a passing test does not reach it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(PROGRAM)
        .args(args)
        .output()
        .expect("process starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

/// A placer of a fleet, with its files in a shared folder.
struct MemberProcess {
    child: Child,
    api: SocketAddr,
}

impl MemberProcess {
    /// Starts a placer whose fleet address is `listen` and whose seed is `seed`.
    fn start(folder: &Path, name: &str, listen: SocketAddr, seed: SocketAddr) -> MemberProcess {
        let config = folder.join(format!("{name}.toml"));
        let text = include_str!("../../../config/placer.toml")
            .replace("placer-0", name)
            .replace("127.0.0.1:7400", "127.0.0.1:0");
        let fleet = format!(
            "\n[fleet]\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\nkey_file = \"fleet.key\"\n\
             probe_every_ms = 200\nprobe_within_ms = 60\ngossip_every_ms = 40\nsync_every_ms = 300\nseek_every_ms = 400\n"
        );
        std::fs::write(&config, text + &fleet).expect("file can be written");
        // A host that does not run: the placer serves after its first attempt to connect.
        let hosts = "[[host]]\nname = \"h\"\naddress = \"127.0.0.1:9\"\nzone = \"hall-a\"\ncell = \"a\"\n\
                     kind = \"std-16\"\nstate = \"ready\"\n";
        std::fs::write(folder.join("hosts.toml"), hosts).expect("file can be written");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("log file can be opened");
        let mut child = Command::new(PROGRAM)
            .arg("placer")
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("placer process starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped standard output");
        std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)
            .expect("line can be read");
        let api = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let log = || std::fs::read_to_string(folder.join("log")).unwrap_or_default();
        MemberProcess {
            api: api.unwrap_or_else(|| panic!("no address: {}", log())),
            child,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process id");
        kill_process(pid, signal).expect("signal can be sent");
    }

    fn view(&self) -> Value {
        let (code, text, error) =
            run(&["fleet", "members", "--json", "--api", &self.api.to_string()]);
        assert_eq!(code, Some(0), "{error}");
        serde_json::from_str(&text).expect("valid JSON")
    }

    /// Waits until the view meets a condition, which `what` describes.
    fn wait_for_view(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let view = self.view();
            if condition(&view) {
                return view;
            }
            assert!(
                Instant::now() < until,
                "condition not met within {TEST_TIMEOUT:?}: {what}; {view:#}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn member_state<'a>(view: &'a Value, name: &str) -> &'a str {
    let members = view["members"].as_array().expect("members array");
    members
        .iter()
        .find(|m| m["name"] == name)
        .and_then(|m| m["state"].as_str())
        .unwrap_or("unknown")
}

/// Returns different free addresses: all sockets are open until the last one is bound.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let sockets: Vec<UdpSocket> = (0..N)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("free port"))
        .collect();
    std::array::from_fn(|n| sockets[n].local_addr().expect("local address"))
}

fn folder_with_key() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (_, key, _) = run(&["fleet", "key"]);
    assert_eq!(key.trim().len(), 64, "{key}");
    std::fs::write(folder.path().join("fleet.key"), key).expect("file can be written");
    let path = folder.path().to_owned();
    (folder, path)
}

#[test]
fn fault_injection_run_settles_and_keeps_all_rules() {
    let schedule = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../config/drills/in-ci.toml"
    );
    let (code, text, error) = run(&[
        "--log",
        "error",
        "fleet-drill",
        "--json",
        "--schedule",
        schedule,
    ]);
    let report: Value =
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("no report ({e}): {text}{error}"));
    assert_eq!(
        report["fleet"]["broken"],
        serde_json::json!([]),
        "{report:#}"
    );
    assert_eq!(report["day"]["broken"], serde_json::json!({}), "{report:#}");
    assert_eq!(
        (code, report["day"]["unanswered"].as_u64()),
        (Some(0), Some(0)),
        "{report:#}"
    );
    assert_eq!(report["fleet"]["members"], 5, "{report:#}");
    let n = |v: &Value| v.as_u64().unwrap_or(0);
    assert!(
        n(&report["fleet"]["samples"]) > 50 && n(&report["day"]["placed"]) > 50,
        "{report:#}"
    );
    assert!(
        n(&report["network"]["passed_on"]) > 500 && n(&report["network"]["strangers"]) == 0,
        "{report:#}"
    );
}

#[test]
fn members_show_crash_leave_pause_and_restart_at_other_address() {
    let (_folder, path) = folder_with_key();
    let [a, b, c, elsewhere] = free_addresses();
    let first = MemberProcess::start(&path, "p-a", a, a);
    let second = MemberProcess::start(&path, "p-b", b, a);
    let third = MemberProcess::start(&path, "p-c", c, a);
    let sees_all = |view: &Value| {
        ["p-a", "p-b", "p-c"]
            .iter()
            .filter(|n| member_state(view, n) == "alive")
            .count()
            == 2
    };
    let digests: Vec<Value> = [&first, &second, &third]
        .iter()
        .map(|m| m.wait_for_view("all three", sees_all)["digest"].clone())
        .collect();
    first.wait_for_view("one digest", |v| {
        v["digest"] == digests[1] || v["digest"] == second.view()["digest"]
    });

    // A paused member is down, and alive again after it continues. It does not report others as down.
    third.signal(Signal::STOP);
    first.wait_for_view("the pause", |v| member_state(v, "p-c") == "down");
    third.signal(Signal::CONT);
    first.wait_for_view("its return", |v| member_state(v, "p-c") == "alive");
    second.wait_for_view("its return", |v| member_state(v, "p-c") == "alive");
    assert_eq!(
        (
            member_state(&third.view(), "p-a"),
            member_state(&third.view(), "p-b")
        ),
        ("alive", "alive")
    );

    // A restart at another address replaces the earlier process at once, without waiting for a probe to fail.
    let before = first.view()["members"]
        .as_array()
        .expect("members array")
        .len();
    drop(third);
    let third = MemberProcess::start(&path, "p-c", elsewhere, a);
    let at_new = |v: &Value| {
        let members = v["members"].as_array().expect("members array");
        members.iter().any(|m| {
            m["name"] == "p-c" && m["address"] == elsewhere.to_string() && m["state"] == "alive"
        })
    };
    first.wait_for_view("the new address", at_new);
    second.wait_for_view("the new address", at_new);
    assert_eq!(
        first.view()["members"]
            .as_array()
            .expect("members array")
            .len(),
        before
    );

    third.signal(Signal::TERM);
    first.wait_for_view("the leave", |v| member_state(v, "p-c") == "left");
    second.signal(Signal::KILL);
    first.wait_for_view("the crash", |v| member_state(v, "p-b") == "down");
    let (code, text, _) = run(&["fleet", "members", "--api", &first.api.to_string()]);
    assert!(
        code == Some(0) && text.contains("p-b") && text.contains("down") && text.contains("left"),
        "{text}"
    );
}

#[test]
fn reports_name_conflict_rotates_keys_and_ignores_foreign_datagrams() {
    let (_folder, path) = folder_with_key();
    let [a, b, same_name] = free_addresses();
    let first = MemberProcess::start(&path, "p-a", a, a);
    let second = MemberProcess::start(&path, "p-b", b, a);
    first.wait_for_view("both", |v| member_state(v, "p-b") == "alive");
    let other = MemberProcess::start(&path, "p-b", same_name, a);
    second.wait_for_view("who holds its name", |v| {
        v["displaced_by"] == same_name.to_string()
    });
    other.wait_for_view("who claims its name", |v| v["claimed_by"] == b.to_string());
    let log = std::fs::read_to_string(path.join("log")).expect("file can be read");
    assert!(
        log.contains("Displaced") && log.contains("Claimed"),
        "{log}"
    );
    let version = first.view()["version"].clone();

    // A flood of invalid datagrams of all lengths, and the datagrams of a fleet with another key.
    let outsider = UdpSocket::bind("127.0.0.1:0").expect("free port");
    for n in 0..3000_usize {
        let bytes = vec![1; n % 1500];
        let _ = outsider.send_to(&bytes, a);
    }
    let (_elsewhere, theirs) = folder_with_key();
    let [c] = free_addresses();
    let foreign = MemberProcess::start(&theirs, "p-x", c, a);
    let counters = |v: &Value, what: &str| v["counters"][what].as_u64().unwrap_or(0);
    first.wait_for_view("the rejected datagrams", |v| {
        // On a busy machine the socket drops most of a flood, so some of each length are sent until all are counted.
        for length in [0, 1, 17, 600, 1200, 1201, 1499] {
            let _ = outsider.send_to(&vec![1; length], a);
        }
        counters(v, "unauthenticated") > 100
            && counters(v, "foreign") > 0
            && counters(v, "oversize") > 0
    });
    assert_eq!(
        (
            member_state(&first.view(), "p-x"),
            foreign.view()["members"].clone()
        ),
        ("unknown", serde_json::json!([]))
    );
    assert_eq!(
        first.view()["version"],
        version,
        "invalid datagrams changed the view"
    );

    // The key is rotated while the placers run: both keys are valid for a while.
    let old = std::fs::read_to_string(path.join("fleet.key")).expect("file can be read");
    let (_, new, _) = run(&["fleet", "key"]);
    let replace = |text: &str| {
        std::fs::write(path.join("new.key"), text).expect("file can be written");
        std::fs::rename(path.join("new.key"), path.join("fleet.key")).expect("file can be renamed");
    };
    let logged = |what: &str, count: usize| {
        let until = Instant::now() + TEST_TIMEOUT;
        while std::fs::read_to_string(path.join("log"))
            .expect("file can be read")
            .matches(what)
            .count()
            < count
        {
            assert!(
                Instant::now() < until,
                "not logged within {TEST_TIMEOUT:?}: {what}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    replace(&format!("{old}{new}"));
    logged("fleet: keys reloaded", 3);
    replace("not a key\n");
    logged("the key file can't be used", 3);
    replace(&new);
    logged("fleet: keys reloaded", 6);
    first.wait_for_view("the others, with the new key", |v| {
        member_state(v, "p-b") == "alive"
    });
}

#[test]
fn interrupted_fault_injection_run_stops_its_processes() {
    let (_folder, path) = folder_with_key();
    let keep = path.join("kept");
    let mut test_run = Command::new(PROGRAM)
        .args([
            "--log",
            "error",
            "fleet-drill",
            "--json",
            "--placers",
            "3",
            "--seconds",
            "30",
            "--keep",
        ])
        .arg(&keep)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("process starts");
    let children_file = format!("/proc/{0}/task/{0}/children", test_run.id());
    let child_pids = || -> Vec<u32> {
        let text = std::fs::read_to_string(&children_file).unwrap_or_default();
        text.split_whitespace()
            .filter_map(|n| n.parse().ok())
            .collect()
    };
    let until = Instant::now() + TEST_TIMEOUT;
    while child_pids().len() < 3 {
        assert!(Instant::now() < until, "the run did not start its placers");
        std::thread::sleep(Duration::from_millis(10));
    }
    let children = child_pids();
    kill_process(
        Pid::from_raw(test_run.id() as i32).expect("process id"),
        Signal::TERM,
    )
    .expect("signal can be sent");
    assert!(!test_run.wait().expect("process ends").success());
    for child in children {
        let name = std::fs::read_to_string(format!("/proc/{child}/cmdline")).unwrap_or_default();
        assert!(
            !name.contains("placer-"),
            "process {child} is still running: {name}"
        );
    }
}

#[test]
fn reports_invalid_settings_and_placer_without_membership() {
    let (_folder, path) = folder_with_key();
    let config = path.join("faulty.toml");
    let text = include_str!("../../../config/placer.toml");
    let fleet = "\n[fleet]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"0.0.0.0:1\"]\nkey_file = \"\"\nprobe_every_ms = 5\nhelpers = 0\nforget_after_s = 1\n";
    std::fs::write(&config, format!("{text}{fleet}")).expect("file can be written");
    let (code, _, error) = run(&["check-config", &config.display().to_string()]);
    assert_eq!(code, Some(2));
    let expected = [
        "fleet.listen",
        "fleet.seeds",
        "fleet.key_file",
        "fleet.probe_every_ms",
        "fleet.probe_within_ms",
        "fleet.helpers",
        "fleet.forget_after_s",
    ];
    for key in expected {
        assert!(error.contains(key), "{key}: {error}");
    }
    let valid = format!("{text}\n[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"short.key\"\n");
    std::fs::write(&config, valid).expect("file can be written");
    std::fs::write(path.join("short.key"), "# a key\n00ff\n").expect("file can be written");
    let (code, _, error) = run(&["placer", "--config", &config.display().to_string()]);
    assert!(
        code == Some(2) && error.contains("short.key") && error.contains("line 2"),
        "{error}"
    );
    let (code, _, error) = run(&["fleet", "watch", "--api", "127.0.0.1:9"]);
    assert!(code == Some(2) && error.contains("127.0.0.1:9"), "{error}");
}
