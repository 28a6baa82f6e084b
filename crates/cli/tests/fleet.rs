//! The fleet's view with real placers: a drill of faults between them, what operators see of it, and strangers.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");
/// Longer than anything here may take, also on slow machines; nothing waits for it when all goes well.
const TIMEOUT: Duration = Duration::from_secs(60);

fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let out = Command::new(PROGRAM)
        .args(args)
        .output()
        .expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

/// A placer of a fleet, with files of its own in a shared folder.
struct MemberProcess {
    child: Child,
    api: SocketAddr,
}

impl MemberProcess {
    /// Starts one that listens for the fleet at `listen` and looks for others at `seed`.
    fn start(folder: &Path, name: &str, listen: SocketAddr, seed: SocketAddr) -> MemberProcess {
        let config = folder.join(format!("{name}.toml"));
        let text = include_str!("../../../config/placer.toml")
            .replace("placer-0", name)
            .replace("127.0.0.1:7400", "127.0.0.1:0");
        let fleet = format!(
            "\n[fleet]\nlisten = \"{listen}\"\nseeds = [\"{seed}\"]\nkey_file = \"fleet.key\"\n\
             probe_every_ms = 200\nprobe_within_ms = 60\ngossip_every_ms = 40\nsync_every_ms = 300\nseek_every_ms = 400\n"
        );
        std::fs::write(&config, text + &fleet).expect("a file");
        // A host that nobody runs: the placer serves once it has tried it.
        let hosts = "[[host]]\nname = \"h\"\naddress = \"127.0.0.1:9\"\nzone = \"hall-a\"\ncell = \"a\"\n\
                     kind = \"std-16\"\nstate = \"ready\"\n";
        std::fs::write(folder.join("hosts.toml"), hosts).expect("a file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("a log");
        let mut child = Command::new(PROGRAM)
            .arg("placer")
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("a placer");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line).expect("a line");
        let api = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let log = || std::fs::read_to_string(folder.join("log")).unwrap_or_default();
        MemberProcess {
            api: api.unwrap_or_else(|| panic!("no address: {}", log())),
            child,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("its number");
        kill_process(pid, signal).expect("a signal");
    }

    fn view(&self) -> Value {
        let (code, text, error) =
            run(&["fleet", "members", "--json", "--api", &self.api.to_string()]);
        assert_eq!(code, Some(0), "{error}");
        serde_json::from_str(&text).expect("JSON")
    }

    /// Waits until its view shows what is wanted.
    fn wait_for_view(&self, what: &str, shown: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + TIMEOUT;
        loop {
            let view = self.view();
            if shown(&view) {
                return view;
            }
            assert!(Instant::now() < until, "never shown: {what}; {view:#}");
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
    let members = view["members"].as_array().expect("members");
    members
        .iter()
        .find(|m| m["name"] == name)
        .and_then(|m| m["state"].as_str())
        .unwrap_or("unknown")
}

/// Free addresses: held while they are drawn, so that they differ.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let held: Vec<UdpSocket> = (0..N)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
        .collect();
    std::array::from_fn(|n| held[n].local_addr().expect("its address"))
}

fn folder_with_key() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let (_, key, _) = run(&["fleet", "key"]);
    assert_eq!(key.trim().len(), 64, "{key}");
    std::fs::write(folder.path().join("fleet.key"), key).expect("a file");
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
    let all = |view: &Value| {
        ["p-a", "p-b", "p-c"]
            .iter()
            .filter(|n| member_state(view, n) == "alive")
            .count()
            == 2
    };
    let digests: Vec<Value> = [&first, &second, &third]
        .iter()
        .map(|m| m.wait_for_view("all three", all)["digest"].clone())
        .collect();
    first.wait_for_view("one digest", |v| {
        v["digest"] == digests[1] || v["digest"] == second.view()["digest"]
    });

    // One that stands still is down, and back once it goes on; it calls nobody down when it wakes.
    third.signal(Signal::STOP);
    first.wait_for_view("a pause", |v| member_state(v, "p-c") == "down");
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

    // A restart elsewhere replaces the earlier life at once: nobody waits for a test to fail.
    let before = first.view()["members"].as_array().expect("members").len();
    drop(third);
    let third = MemberProcess::start(&path, "p-c", elsewhere, a);
    let at_new = |v: &Value| {
        let members = v["members"].as_array().expect("members");
        members.iter().any(|m| {
            m["name"] == "p-c" && m["address"] == elsewhere.to_string() && m["state"] == "alive"
        })
    };
    first.wait_for_view("the new address", at_new);
    second.wait_for_view("the new address", at_new);
    assert_eq!(
        first.view()["members"].as_array().expect("members").len(),
        before
    );

    third.signal(Signal::TERM);
    first.wait_for_view("a farewell", |v| member_state(v, "p-c") == "left");
    second.signal(Signal::KILL);
    first.wait_for_view("a kill", |v| member_state(v, "p-b") == "down");
    let (code, text, _) = run(&["fleet", "members", "--api", &first.api.to_string()]);
    assert!(
        code == Some(0) && text.contains("p-b") && text.contains("down") && text.contains("left"),
        "{text}"
    );
}

#[test]
fn reports_name_conflict_rotates_keys_and_ignores_foreign_datagrams() {
    let (_folder, path) = folder_with_key();
    let [a, b, twin] = free_addresses();
    let first = MemberProcess::start(&path, "p-a", a, a);
    let second = MemberProcess::start(&path, "p-b", b, a);
    first.wait_for_view("both", |v| member_state(v, "p-b") == "alive");
    let other = MemberProcess::start(&path, "p-b", twin, a);
    second.wait_for_view("who holds its name", |v| {
        v["displaced_by"] == twin.to_string()
    });
    other.wait_for_view("who claims its name", |v| v["claimed_by"] == b.to_string());
    let log = std::fs::read_to_string(path.join("log")).expect("a log");
    assert!(
        log.contains("Displaced") && log.contains("Claimed"),
        "{log}"
    );
    let version = first.view()["version"].clone();

    // A stranger's datagrams of all lengths, a flood of them, and the same from a fleet of another key.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for n in 0..3000_usize {
        let bytes = vec![1; n % 1500];
        let _ = stranger.send_to(&bytes, a);
    }
    let (_elsewhere, theirs) = folder_with_key();
    let [c] = free_addresses();
    let foreign = MemberProcess::start(&theirs, "p-x", c, a);
    let counters = |v: &Value, what: &str| v["counters"][what].as_u64().unwrap_or(0);
    first.wait_for_view("what was not taken", |v| {
        // A busy machine's socket takes only the first of a flood: some of each length come until all are counted.
        for length in [0, 1, 17, 600, 1200, 1201, 1499] {
            let _ = stranger.send_to(&vec![1; length], a);
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
    assert_eq!(first.view()["version"], version, "the view has changed");

    // A key is changed under way: both are valid for a while.
    let old = std::fs::read_to_string(path.join("fleet.key")).expect("a key");
    let (_, new, _) = run(&["fleet", "key"]);
    let replace = |text: &str| {
        std::fs::write(path.join("new.key"), text).expect("a file");
        std::fs::rename(path.join("new.key"), path.join("fleet.key")).expect("a folder");
    };
    let logged = |what: &str, count: usize| {
        let until = Instant::now() + TIMEOUT;
        while std::fs::read_to_string(path.join("log"))
            .expect("a log")
            .matches(what)
            .count()
            < count
        {
            assert!(Instant::now() < until, "never logged: {what}");
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
    let mut drill = Command::new(PROGRAM)
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
        .expect("a drill");
    let of = format!("/proc/{0}/task/{0}/children", drill.id());
    let started = || -> Vec<u32> {
        let text = std::fs::read_to_string(&of).unwrap_or_default();
        text.split_whitespace()
            .filter_map(|n| n.parse().ok())
            .collect()
    };
    let until = Instant::now() + TIMEOUT;
    while started().len() < 3 {
        assert!(Instant::now() < until, "it starts no placers");
        std::thread::sleep(Duration::from_millis(10));
    }
    let children = started();
    kill_process(
        Pid::from_raw(drill.id() as i32).expect("its number"),
        Signal::TERM,
    )
    .expect("a signal");
    assert!(!drill.wait().expect("it ends").success());
    for child in children {
        let name = std::fs::read_to_string(format!("/proc/{child}/cmdline")).unwrap_or_default();
        assert!(!name.contains("placer-"), "{child} runs on: {name}");
    }
}

#[test]
fn reports_invalid_settings_and_placer_without_membership() {
    let (_folder, path) = folder_with_key();
    let config = path.join("faulty.toml");
    let text = include_str!("../../../config/placer.toml");
    let fleet = "\n[fleet]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"0.0.0.0:1\"]\nkey_file = \"\"\nprobe_every_ms = 5\nhelpers = 0\nforget_after_s = 1\n";
    std::fs::write(&config, format!("{text}{fleet}")).expect("a file");
    let (code, _, error) = run(&["check-config", &config.display().to_string()]);
    assert_eq!(code, Some(2));
    let named = [
        "fleet.listen",
        "fleet.seeds",
        "fleet.key_file",
        "fleet.probe_every_ms",
        "fleet.probe_within_ms",
        "fleet.helpers",
        "fleet.forget_after_s",
    ];
    for key in named {
        assert!(error.contains(key), "{key}: {error}");
    }
    let sound = format!("{text}\n[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"short.key\"\n");
    std::fs::write(&config, sound).expect("a file");
    std::fs::write(path.join("short.key"), "# a key\n00ff\n").expect("a file");
    let (code, _, error) = run(&["placer", "--config", &config.display().to_string()]);
    assert!(
        code == Some(2) && error.contains("short.key") && error.contains("line 2"),
        "{error}"
    );
    let (code, _, error) = run(&["fleet", "watch", "--api", "127.0.0.1:9"]);
    assert!(code == Some(2) && error.contains("127.0.0.1:9"), "{error}");
}
