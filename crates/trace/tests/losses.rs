//! Losses: each time without a running copy is attributed to the cause of the outage and to its phases.

use maplethread::*;
use maplethread_trace::losses::LossCollector;
use maplethread_trace::{Outcome, Record, TimedRecord, Turn};
use serde_json::{Value, json};

const MILLISECOND_US: u64 = 1000;

/// Builds a trace record by record, with times in ms.
#[derive(Default)]
struct TraceBuilder(Vec<TimedRecord>);

impl TraceBuilder {
    fn record(&mut self, at_ms: u64, record: Record) {
        self.0.push(TimedRecord {
            at: at_ms * MILLISECOND_US,
            record,
        });
    }

    fn turn(&mut self, at_ms: u64, events: Vec<Event>, actions: Vec<Action>) {
        self.record(
            at_ms,
            Record::Turn(Turn {
                now: at_ms * MILLISECOND_US,
                events,
                actions,
            }),
        );
    }

    /// A request to which the policy responds with these actions in the same turn.
    fn request(
        &mut self,
        at_ms: u64,
        task: u64,
        actor: &str,
        duration_ms: u64,
        actions: Vec<Action>,
    ) {
        let (actor, request) = (actor.to_owned(), format!("{actor}.{task}"));
        let request = Record::RequestReceived {
            task,
            service: 1,
            actor,
            class: 0,
            request_id: request,
            idempotency_key: None,
            received_at: at_ms * MILLISECOND_US,
        };
        self.record(at_ms, request);
        let request = Task {
            id: TaskId(task),
            service: ServiceId(1),
            class: 0,
            requested: Resources::new(1.0, 1.0),
            expected_duration: Some(duration_ms * MILLISECOND_US),
            deadline: (at_ms + 3000) * MILLISECOND_US,
            is_resubmission: false,
        };
        self.turn(at_ms, vec![Event::PlacementRequested(request)], actions);
    }

    fn report(&self) -> Value {
        let mut losses = LossCollector::new(&["web".to_owned()]);
        self.0.iter().for_each(|r| losses.feed(r));
        let report = losses.finish();
        assert!(report.to_text().starts_with("web:"), "{}", report.to_text());
        report.to_json()
    }
}

fn offer(task: u64, host: u32) -> Action {
    Action::Offer {
        task: TaskId(task),
        machine: MachineId(host),
        timeout: 100 * MILLISECOND_US,
    }
}

fn attempt(task: u64, number: u32) -> AttemptId {
    AttemptId {
        task: TaskId(task),
        number,
    }
}

fn task_started(task: u64, number: u32) -> Event {
    Event::TaskReported {
        attempt: attempt(task, number),
        report: TaskReport::Started,
    }
}

fn attempt_finished(
    task: u64,
    number: u32,
    outcome: AttemptOutcome,
    reason: Option<FailureReason>,
) -> Event {
    Event::AttemptFinished {
        attempt: attempt(task, number),
        result: AttemptResult {
            outcome,
            reason,
            closes_task: false,
            load: None,
        },
    }
}

fn outages_after(report: &Value, cause: &str) -> Value {
    report["classes"]["web"]["gaps"][cause].clone()
}

#[test]
fn outage_time_is_split_by_phase_and_host() {
    let mut trace = TraceBuilder::default();
    let host = |machine| Record::Host {
        machine,
        name: format!("host-{machine}"),
        zone: "a".into(),
        cell: "a".into(),
        kind: "k".into(),
    };
    trace.record(0, host(3));
    // Blocked for 200 ms, rejected by one host after 50 ms, accepted by another after 10 ms, started after 300 ms more.
    trace.request(
        0,
        1,
        "a",
        10_000,
        vec![Action::Blocked {
            task: TaskId(1),
            reason: BlockReason::NoCapacity,
        }],
    );
    trace.turn(200, vec![], vec![offer(1, 2)]);
    trace.turn(
        250,
        vec![attempt_finished(
            1,
            0,
            AttemptOutcome::Rejected,
            Some(FailureReason::InsufficientCores),
        )],
        vec![offer(1, 3)],
    );
    trace.turn(
        260,
        vec![Event::AttemptAccepted {
            attempt: attempt(1, 1),
            elapsed: None,
        }],
        vec![],
    );
    trace.record(
        260,
        Record::Answered {
            task: 1,
            outcome: Outcome::Placed { host: 3 },
            attempts: 2,
            elapsed: 260 * MILLISECOND_US,
        },
    );
    trace.turn(560, vec![task_started(1, 1)], vec![]);
    // Lost at 2 s; its owner requests it again after 700 ms, is rejected, and requests it once more 300 ms before the
    // end of the required time.
    trace.turn(
        2000,
        vec![attempt_finished(1, 1, AttemptOutcome::Disconnected, None)],
        vec![],
    );
    trace.request(2700, 2, "a", 7_300, vec![]);
    let rejected = Outcome::Rejected {
        reason: "cores".into(),
        retry_after_ms: 1000,
    };
    trace.record(
        2800,
        Record::Answered {
            task: 2,
            outcome: rejected,
            attempts: 0,
            elapsed: 100 * MILLISECOND_US,
        },
    );
    trace.request(9700, 3, "a", 300, vec![offer(3, 3)]);
    trace.turn(20_000, vec![], vec![]);
    let report = trace.report();
    let first = outages_after(&report, "first start");
    assert_eq!(first["count"], 1);
    assert_eq!(
        first["seconds"],
        json!({
            "held for Room": 0.2, "offered, in vain: Refused (Cores)": 0.05, "offered": 0.01,
            "accepted, starting": 0.3,
        })
    );
    let lost = outages_after(&report, "Reset");
    assert_eq!(
        lost["seconds"],
        json!({
            "with its owner, told of the loss": 0.7, "asked": 0.1, "with its owner, refused for cores": 6.9,
            "offered": 0.3,
        })
    );
    assert_eq!(report["classes"]["web"]["wanted_s"], 10.0);
    assert_eq!(report["classes"]["web"]["never_started"], 0);
    assert_eq!(report["hosts"]["host-3"]["accepted, starting"], 0.3);
    assert_eq!(
        report["hosts"]["#2"]["offered, in vain: Refused (Cores)"],
        0.05
    );
}

#[test]
fn loss_of_one_copy_is_no_outage_while_another_runs() {
    let mut trace = TraceBuilder::default();
    trace.request(0, 1, "a", 5000, vec![offer(1, 1)]);
    trace.request(100, 2, "a", 4900, vec![offer(2, 2)]);
    trace.turn(200, vec![task_started(1, 0), task_started(2, 0)], vec![]);
    trace.turn(
        1000,
        vec![attempt_finished(1, 0, AttemptOutcome::TimedOut, None)],
        vec![],
    );
    trace.turn(
        2000,
        vec![attempt_finished(
            2,
            0,
            AttemptOutcome::Disconnected,
            Some(FailureReason::Preempted),
        )],
        vec![],
    );
    trace.turn(4000, vec![], vec![]);
    let report = trace.report();
    assert_eq!(outages_after(&report, "TimedOut"), Value::Null);
    let lost = outages_after(&report, "Reset (PushedOut)");
    assert_eq!(
        lost["seconds"],
        json!({"with its owner, told of the loss": 2.0})
    );
    assert_eq!(
        report["classes"]["web"]["wanted_s"], 4.0,
        "required until the end of the trace"
    );
}

#[test]
fn completed_actor_is_not_required_any_more_and_unstarted_actor_is_counted() {
    let mut trace = TraceBuilder::default();
    trace.request(0, 1, "a", 5000, vec![offer(1, 1)]);
    trace.turn(100, vec![task_started(1, 0)], vec![]);
    trace.turn(
        1000,
        vec![attempt_finished(1, 0, AttemptOutcome::Completed, None)],
        vec![],
    );
    trace.request(
        1000,
        2,
        "b",
        1000,
        vec![Action::Blocked {
            task: TaskId(2),
            reason: BlockReason::WarmUpBudget,
        }],
    );
    trace.turn(9000, vec![], vec![]);
    let report = trace.report();
    assert_eq!(report["classes"]["web"]["never_started"], 1);
    assert_eq!(report["classes"]["web"]["wanted_s"], 2.0);
    let outages = outages_after(&report, "first start");
    assert_eq!(outages["count"], 2);
    assert_eq!(
        outages["seconds"],
        json!({"offered": 0.1, "held for Cold": 1.0})
    );
}
