//! What kept tasks from running: each time without a running copy goes to what began it and to what took it.

use maplethread::*;
use maplethread_trace::losses::LossCollector;
use maplethread_trace::{Outcome, Record, TimedRecord, Turn};
use serde_json::{Value, json};

const MS: u64 = 1000;

/// A trace told line by line, in ms.
#[derive(Default)]
struct Tale(Vec<TimedRecord>);

impl Tale {
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
    fn asks(&mut self, at: u64, task: u64, actor: &str, life: u64, actions: Vec<Action>) {
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

    fn counted(&self) -> Value {
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

fn started(task: u64, number: u32) -> Event {
    Event::TaskReported {
        attempt: attempt(task, number),
        report: TaskReport::Started,
    }
}

fn ended(task: u64, number: u32, ending: AttemptOutcome, why: Option<FailureReason>) -> Event {
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

fn seconds(counted: &Value, began: &str) -> Value {
    counted["classes"]["web"]["gaps"][began].clone()
}

#[test]
fn a_gap_goes_to_what_took_its_time() {
    let mut tale = Tale::default();
    let host = |machine| Record::Host {
        machine,
        name: format!("host-{machine}"),
        zone: "a".into(),
        cell: "a".into(),
        kind: "k".into(),
    };
    tale.record(0, host(3));
    // Held for 200 ms, refused by one host after 50, accepted by another after 10, started after 300 more.
    tale.asks(
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
        vec![ended(
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
    tale.turn(560, vec![started(1, 1)], vec![]);
    // Lost at 2 s; its owner comes after 700 ms, is refused, and comes again 300 ms before the end of its time.
    tale.turn(
        2000,
        vec![ended(1, 1, AttemptOutcome::Disconnected, None)],
        vec![],
    );
    tale.asks(2700, 2, "a", 7_300, vec![]);
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
    tale.asks(9700, 3, "a", 300, vec![offer(3, 3)]);
    tale.turn(20_000, vec![], vec![]);
    let counted = tale.counted();
    let first = seconds(&counted, "first start");
    assert_eq!(first["count"], 1);
    assert_eq!(
        first["seconds"],
        json!({
            "held for Room": 0.2, "offered, in vain: Refused (Cores)": 0.05, "offered": 0.01,
            "accepted, starting": 0.3,
        })
    );
    let lost = seconds(&counted, "Reset");
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
fn a_second_copy_hides_the_loss_of_the_first() {
    let mut tale = Tale::default();
    tale.asks(0, 1, "a", 5000, vec![offer(1, 1)]);
    tale.asks(100, 2, "a", 4900, vec![offer(2, 2)]);
    tale.turn(200, vec![started(1, 0), started(2, 0)], vec![]);
    tale.turn(
        1000,
        vec![ended(1, 0, AttemptOutcome::TimedOut, None)],
        vec![],
    );
    tale.turn(
        2000,
        vec![ended(
            2,
            0,
            AttemptOutcome::Disconnected,
            Some(FailureReason::Preempted),
        )],
        vec![],
    );
    tale.turn(4000, vec![], vec![]);
    let counted = tale.counted();
    assert_eq!(seconds(&counted, "TimedOut"), Value::Null);
    let lost = seconds(&counted, "Reset (PushedOut)");
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
fn what_is_done_is_not_wanted_any_more_and_what_never_ran_is_told() {
    let mut tale = Tale::default();
    tale.asks(0, 1, "a", 5000, vec![offer(1, 1)]);
    tale.turn(100, vec![started(1, 0)], vec![]);
    tale.turn(
        1000,
        vec![ended(1, 0, AttemptOutcome::Completed, None)],
        vec![],
    );
    tale.asks(
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
    let counted = tale.counted();
    assert_eq!(counted["classes"]["web"]["never_started"], 1);
    assert_eq!(counted["classes"]["web"]["wanted_s"], 2.0);
    let gaps = seconds(&counted, "first start");
    assert_eq!(gaps["count"], 2);
    assert_eq!(
        gaps["seconds"],
        json!({"offered": 0.1, "held for Cold": 1.0})
    );
}
