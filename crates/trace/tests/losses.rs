//! What kept tasks from running: each time without a running copy goes to what began it and to what took it.

use maplethread::*;
use maplethread_trace::losses::LossCollector;
use maplethread_trace::{Outcome, Record, TimedRecord, Turn};
use serde_json::{Value, json};

const MS: u64 = 1000;

/// A trace told line by line, in ms.
#[derive(Default)]
struct TraceBuilder(Vec<TimedRecord>);

impl TraceBuilder {
    fn record(&mut self, at: u64, record: Record) {
        self.0.push(TimedRecord {
            at: at * MS,
            record,
        });
    }

    fn turn(&mut self, at: u64, events: Vec<Event>, actions: Vec<Action>) {
        self.record(
            at,
            Record::Turn(Turn {
                now: at * MS,
                events,
                actions,
            }),
        );
    }

    /// An ask whose module answers with these actions at once.
    fn request(&mut self, at: u64, task: u64, actor: &str, life: u64, actions: Vec<Action>) {
        let (actor, request) = (actor.to_owned(), format!("{actor}.{task}"));
        let asked = Record::RequestReceived {
            task,
            service: 1,
            actor,
            class: 0,
            request_id: request,
            idempotency_key: None,
            received_at: at * MS,
        };
        self.record(at, asked);
        let asked = Task {
            id: TaskId(task),
            service: ServiceId(1),
            class: 0,
            requested: Resources::new(1.0, 1.0),
            expected_duration: Some(life * MS),
            deadline: (at + 3000) * MS,
            is_resubmission: false,
        };
        self.turn(at, vec![Event::PlacementRequested(asked)], actions);
    }

    fn report(&self) -> Value {
        let mut losses = LossCollector::new(&["web".to_owned()]);
        self.0.iter().for_each(|r| losses.feed(r));
        let counted = losses.finish();
        assert!(
            counted.to_text().starts_with("web:"),
            "{}",
            counted.to_text()
        );
        counted.to_json()
    }
}

fn offer(task: u64, host: u32) -> Action {
    Action::Offer {
        task: TaskId(task),
        machine: MachineId(host),
        timeout: 100 * MS,
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
    ending: AttemptOutcome,
    why: Option<FailureReason>,
) -> Event {
    Event::AttemptFinished {
        attempt: attempt(task, number),
        result: AttemptResult {
            outcome: ending,
            reason: why,
            closes_task: false,
            load: None,
        },
    }
}

fn outages_after(counted: &Value, began: &str) -> Value {
    counted["classes"]["web"]["gaps"][began].clone()
}

#[test]
fn outage_time_is_split_by_phase_and_host() {
    let mut tale = TraceBuilder::default();
    let host = |machine| Record::Host {
        machine,
        name: format!("host-{machine}"),
        zone: "a".into(),
        cell: "a".into(),
        kind: "k".into(),
    };
    tale.record(0, host(3));
    // Held for 200 ms, refused by one host after 50, accepted by another after 10, started after 300 more.
    tale.request(
        0,
        1,
        "a",
        10_000,
        vec![Action::Blocked {
            task: TaskId(1),
            reason: BlockReason::NoCapacity,
        }],
    );
    tale.turn(200, vec![], vec![offer(1, 2)]);
    tale.turn(
        250,
        vec![attempt_finished(
            1,
            0,
            AttemptOutcome::Rejected,
            Some(FailureReason::Cores),
        )],
        vec![offer(1, 3)],
    );
    tale.turn(
        260,
        vec![Event::AttemptAccepted {
            attempt: attempt(1, 1),
            elapsed: None,
        }],
        vec![],
    );
    tale.record(
        260,
        Record::Answered {
            task: 1,
            outcome: Outcome::Placed { host: 3 },
            attempts: 2,
            elapsed: 260 * MS,
        },
    );
    tale.turn(560, vec![task_started(1, 1)], vec![]);
    // Lost at 2 s; its owner comes after 700 ms, is refused, and comes again 300 ms before the end of its time.
    tale.turn(
        2000,
        vec![attempt_finished(1, 1, AttemptOutcome::Disconnected, None)],
        vec![],
    );
    tale.request(2700, 2, "a", 7_300, vec![]);
    let refused = Outcome::Rejected {
        reason: "cores".into(),
        retry_after_ms: 1000,
    };
    tale.record(
        2800,
        Record::Answered {
            task: 2,
            outcome: refused,
            attempts: 0,
            elapsed: 100 * MS,
        },
    );
    tale.request(9700, 3, "a", 300, vec![offer(3, 3)]);
    tale.turn(20_000, vec![], vec![]);
    let counted = tale.report();
    let first = outages_after(&counted, "first start");
    assert_eq!(first["count"], 1);
    assert_eq!(
        first["seconds"],
        json!({
            "held for Room": 0.2, "offered, in vain: Refused (Cores)": 0.05, "offered": 0.01,
            "accepted, starting": 0.3,
        })
    );
    let lost = outages_after(&counted, "Reset");
    assert_eq!(
        lost["seconds"],
        json!({
            "with its owner, told of the loss": 0.7, "asked": 0.1, "with its owner, refused for cores": 6.9,
            "offered": 0.3,
        })
    );
    assert_eq!(counted["classes"]["web"]["wanted_s"], 10.0);
    assert_eq!(counted["classes"]["web"]["never_started"], 0);
    assert_eq!(counted["hosts"]["host-3"]["accepted, starting"], 0.3);
    assert_eq!(
        counted["hosts"]["#2"]["offered, in vain: Refused (Cores)"],
        0.05
    );
}

#[test]
fn loss_of_one_copy_is_no_outage_while_another_runs() {
    let mut tale = TraceBuilder::default();
    tale.request(0, 1, "a", 5000, vec![offer(1, 1)]);
    tale.request(100, 2, "a", 4900, vec![offer(2, 2)]);
    tale.turn(200, vec![task_started(1, 0), task_started(2, 0)], vec![]);
    tale.turn(
        1000,
        vec![attempt_finished(1, 0, AttemptOutcome::TimedOut, None)],
        vec![],
    );
    tale.turn(
        2000,
        vec![attempt_finished(
            2,
            0,
            AttemptOutcome::Disconnected,
            Some(FailureReason::Preempted),
        )],
        vec![],
    );
    tale.turn(4000, vec![], vec![]);
    let counted = tale.report();
    assert_eq!(outages_after(&counted, "TimedOut"), Value::Null);
    let lost = outages_after(&counted, "Reset (PushedOut)");
    assert_eq!(
        lost["seconds"],
        json!({"with its owner, told of the loss": 2.0})
    );
    assert_eq!(
        counted["classes"]["web"]["wanted_s"], 4.0,
        "the trace ends before its time does"
    );
}

#[test]
fn completed_actor_is_not_required_any_more_and_unstarted_actor_is_counted() {
    let mut tale = TraceBuilder::default();
    tale.request(0, 1, "a", 5000, vec![offer(1, 1)]);
    tale.turn(100, vec![task_started(1, 0)], vec![]);
    tale.turn(
        1000,
        vec![attempt_finished(1, 0, AttemptOutcome::Completed, None)],
        vec![],
    );
    tale.request(
        1000,
        2,
        "b",
        1000,
        vec![Action::Blocked {
            task: TaskId(2),
            reason: BlockReason::WarmUpBudget,
        }],
    );
    tale.turn(9000, vec![], vec![]);
    let counted = tale.report();
    assert_eq!(counted["classes"]["web"]["never_started"], 1);
    assert_eq!(counted["classes"]["web"]["wanted_s"], 2.0);
    let gaps = outages_after(&counted, "first start");
    assert_eq!(gaps["count"], 2);
    assert_eq!(
        gaps["seconds"],
        json!({"offered": 0.1, "held for Cold": 1.0})
    );
}
