//! The message counts of real placer processes with hollow workers at small sizes, which do not depend on timing; and the
//! sweep command.

use std::path::{Path, PathBuf};
use std::process::Command;

use maplethread_capacity::{
    Dimension, Direction, Fault, MessageCount, MessageKind, Phase, RESULT_FORMAT, SweepResult,
};
use maplethread_config::Document;
use maplethread_emulator::traffic::Traffic;
use maplethread_scale::{ClientPlan, Fleet, FleetSize, InterruptFlag, SweepFile};

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");
/// A duration after which tasks end within a test.
const SHORT_TASK_MS: u64 = 50;

fn fleet(workers: usize, placers: usize, hollow_placers: usize) -> Fleet {
    let size = FleetSize {
        workers,
        placers,
        hollow_placers,
        has_membership: false,
        seed: 7,
    };
    Fleet::start(size, Path::new(PROGRAM), &InterruptFlag::default()).expect("fleet starts")
}

/// Requests tasks, waits until each is placed and has ended, and returns the traffic in between.
fn start_and_end(fleet: &mut Fleet, tasks: u32) -> Vec<MessageCount> {
    let before = fleet.counter().snapshot();
    let rate = 200.0;
    let seconds = f64::from(tasks) / rate;
    let plan = ClientPlan {
        requests_per_second: rate,
        seconds,
        split_s: 0.0,
        task_duration_ms: Some(SHORT_TASK_MS),
    };
    let answers = fleet
        .clients(plan)
        .expect("clients connect")
        .run()
        .expect("answers can be read");
    assert_eq!(
        (answers.requests, answers.placed),
        (u64::from(tasks), u64::from(tasks))
    );
    fleet.wait_actors_at_most(0).expect("all tasks end");
    fleet.counter().snapshot().since(&before)
}

fn single_count(
    messages: &[MessageCount],
    kind: MessageKind,
    direction: Direction,
) -> MessageCount {
    let found = messages
        .iter()
        .find(|m| m.kind == kind && m.direction == direction);
    found.copied().unwrap_or(MessageCount {
        kind,
        direction,
        count: 0,
        payload_bytes: 0,
        wire_bytes: 0,
    })
}

/// Whether this is a heartbeat, whose number depends on the elapsed time.
fn is_heartbeat(kind: MessageKind) -> bool {
    matches!(kind, MessageKind::Ping | MessageKind::Pong)
}

/// The messages except heartbeats.
fn without_heartbeats(messages: &[MessageCount]) -> Vec<MessageCount> {
    messages
        .iter()
        .copied()
        .filter(|m| m.count > 0 && !is_heartbeat(m.kind))
        .collect()
}

#[test]
fn start_costs_one_offer_acceptance_start_and_end() {
    let mut payload = Vec::new();
    for workers in [2, 8] {
        let mut fleet = fleet(workers, 1, 0);
        let messages = start_and_end(&mut fleet, 40);
        let costs = without_heartbeats(&messages);
        let kinds: Vec<_> = costs
            .iter()
            .map(|m| (m.kind, m.direction, m.count))
            .collect();
        let expected = [
            (MessageKind::Offer, Direction::FromPlacer, 40),
            (MessageKind::Accepted, Direction::ToPlacer, 40),
            (MessageKind::Started, Direction::ToPlacer, 40),
            (MessageKind::Ended, Direction::ToPlacer, 40),
        ];
        assert_eq!(kinds, expected, "{workers} workers");
        payload.push(costs.iter().map(|m| m.payload_bytes).sum::<u64>());
    }
    assert_eq!(
        payload[0], payload[1],
        "the bytes of a start depend on the number of workers"
    );
}

#[test]
fn connection_costs_one_greeting_and_nothing_else() {
    for (workers, placers) in [(3, 1), (9, 2)] {
        let fleet = fleet(workers, placers, 0);
        let traffic = fleet.counter().snapshot().since(&Traffic::default());
        let connections = (workers * placers) as u64;
        let both = [Direction::FromPlacer, Direction::ToPlacer];
        for direction in both {
            assert_eq!(
                single_count(&traffic, MessageKind::Hello, direction).count,
                connections
            );
            assert_eq!(
                single_count(&traffic, MessageKind::Connection, direction).count,
                connections
            );
        }
        assert_eq!(
            single_count(&traffic, MessageKind::HeldEnd, Direction::ToPlacer).count,
            connections
        );
        let is_expected = |kind| {
            matches!(
                kind,
                MessageKind::Hello | MessageKind::HeldEnd | MessageKind::Connection
            )
        };
        let others: Vec<_> = without_heartbeats(&traffic)
            .into_iter()
            .filter(|m| !is_expected(m.kind))
            .collect();
        assert_eq!(others, [], "{workers} workers, {placers} placers");
    }
}

#[test]
fn heartbeats_grow_at_most_linearly_with_hosts_and_are_answered() {
    for workers in [4, 16] {
        let fleet = fleet(workers, 1, 0);
        let started = std::time::Instant::now();
        let pings = |traffic: &Traffic| traffic.count(MessageKind::Ping);
        let before = fleet.counter().snapshot();
        // Waits for one ping per host on average.
        let wanted_pings = pings(&before) + workers as u64;
        while pings(&fleet.counter().snapshot()) < wanted_pings {
            assert!(
                started.elapsed() < std::time::Duration::from_secs(120),
                "too few heartbeats within 120 s"
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        let messages = fleet.counter().snapshot().since(&before);
        let seconds = started.elapsed().as_secs_f64();
        let sent = single_count(&messages, MessageKind::Ping, Direction::FromPlacer);
        let answered = single_count(&messages, MessageKind::Pong, Direction::ToPlacer);
        // At most one per second and host, and one that was due before.
        let max_pings = workers as f64 * (seconds + 1.0);
        assert!(
            sent.count as f64 <= max_pings,
            "{} pings to {workers} hosts in {seconds:.1} s",
            sent.count
        );
        assert!(
            sent.count.abs_diff(answered.count) <= workers as u64,
            "{sent:?} {answered:?}"
        );
        assert_eq!(sent.payload_bytes, sent.count * 9);
        assert_eq!(
            without_heartbeats(&messages),
            [],
            "messages other than heartbeats at rest"
        );
    }
}

#[test]
fn hollow_placers_are_connected_to_every_host_and_not_counted() {
    let fleet = fleet(3, 1, 5);
    let traffic = fleet.counter().snapshot().since(&Traffic::default());
    // The fleet waits until the hollow placers are connected too, but counts the real placer's messages only.
    assert_eq!(
        single_count(&traffic, MessageKind::Hello, Direction::FromPlacer).count,
        3
    );
}

#[test]
fn counts_membership_datagrams_among_the_messages_of_a_sweep() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("view.toml");
    let text = "dimension = \"members\"\nvalues = [2]\n[base]\nworkers = 2\nplacers = 1\n\
                [phases]\nsettle_s = 0\nrest_s = 3\n";
    std::fs::write(&file, text).expect("file can be written");
    let (code, errors) = run_scale(
        &["scale", "run", &file.display().to_string()],
        folder.path(),
    );
    assert_eq!(code, Some(0), "{errors}");
    let text =
        std::fs::read_to_string(folder.path().join("view.json")).expect("results can be read");
    let result: SweepResult = serde_json::from_str(&text).expect("valid results");
    let rest = &result.points[0].phases[0];
    assert_eq!((rest.phase, rest.placers.len()), (Phase::Rest, 2));
    let datagrams = single_count(
        &rest.messages,
        MessageKind::FleetDatagram,
        Direction::FromPlacer,
    );
    assert!(datagrams.count > 0, "{:?}", rest.messages);
    assert_eq!(
        datagrams.wire_bytes,
        datagrams.payload_bytes + datagrams.count * 28
    );
}

fn run_scale(arguments: &[&str], output: &Path) -> (Option<i32>, String) {
    let out = Command::new(PROGRAM)
        .args(arguments)
        .arg("--output")
        .arg(output)
        .output()
        .expect("process runs");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stderr).into_owned(),
    )
}

fn sweeps_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/scale")
}

#[test]
fn small_sweep_measures_every_phase_of_every_size() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = sweeps_folder().join("small.toml");
    let (code, errors) = run_scale(
        &["scale", "run", &file.display().to_string()],
        folder.path(),
    );
    assert_eq!(code, Some(0), "{errors}");
    let text =
        std::fs::read_to_string(folder.path().join("small.json")).expect("results can be read");
    let result: SweepResult = serde_json::from_str(&text).expect("valid results");
    assert_eq!(
        (result.format, result.dimension),
        (RESULT_FORMAT, Dimension::Workers)
    );
    let sizes: Vec<_> = result
        .points
        .iter()
        .map(|p| p.settings.value(result.dimension))
        .collect();
    assert_eq!(sizes, [4.0, 8.0]);
    for point in &result.points {
        let phases: Vec<_> = point.phases.iter().map(|p| p.phase).collect();
        let expected = [
            Phase::Rest,
            Phase::Peak,
            Phase::WorstSecond(Fault::WorkerDies),
            Phase::WorstSecond(Fault::PlacerRestarts),
        ];
        assert_eq!(phases, expected);
        for sample in &point.phases {
            assert_eq!(sample.placers.len(), 1);
            let placer = sample.placers[0];
            assert!(placer.resident_kib > 0 && placer.proportional_kib > 0);
            assert!(placer.descriptors > placer.host_connections);
            let covers_payload = sample
                .messages
                .iter()
                .all(|m| m.wire_bytes >= m.payload_bytes);
            assert!(
                covers_payload,
                "wire bytes below payload bytes: {:?}",
                sample.messages
            );
        }
        assert_eq!(
            point.phases[0].placers[0].host_connections,
            point.settings.workers
        );
        assert!(point.phases[1].answer_us.is_some());
    }
}

#[test]
fn rejects_sweep_that_does_not_fit_or_cannot_be_measured() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let base = "[base]\nworkers = 100\nplacers = 20\n";
    let cases = [
        (
            "dimension = \"workers\"\nvalues = [100]\n",
            "open descriptors",
        ),
        (
            "dimension = \"config_changes_per_hour\"\nvalues = [1]\n",
            "no reload",
        ),
        (
            "dimension = \"members\"\nvalues = [300]\n",
            "values[0]: got 300, expected 1 to 64",
        ),
        (
            "dimension = \"workers\"\nvalues = [0]\n",
            "values[0]: got 0, expected 1 to 8192",
        ),
        (
            "dimension = \"workers\"\nvalues = [4]\nfaults = [\"zone_returns\"]\n",
            "faults[0]",
        ),
        (
            "dimension = \"workers\"\nvalue = [4]\n",
            "did you mean `values`",
        ),
    ];
    for (number, (head, expected)) in cases.into_iter().enumerate() {
        let file = folder.path().join(format!("sweep-{number}.toml"));
        std::fs::write(&file, format!("{head}{base}")).expect("file can be written");
        let limited = format!(
            "ulimit -n 1000 && exec '{PROGRAM}' scale run '{}'",
            file.display()
        );
        let out = Command::new("sh")
            .args(["-c", &limited])
            .output()
            .expect("process runs");
        let errors = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{errors}");
        assert!(errors.contains(expected), "{errors}");
    }
}

#[test]
fn accepts_every_sweep_file_of_the_project() {
    let mut files = 0;
    for entry in std::fs::read_dir(sweeps_folder()).expect("folder can be read") {
        let path = entry.expect("directory entry").path();
        let text = std::fs::read_to_string(&path).expect("file can be read");
        let file = path.display().to_string();
        SweepFile::parse(Document {
            file: &file,
            text: &text,
        })
        .expect("valid sweep file");
        files += 1;
    }
    assert!(files >= 8);
}
