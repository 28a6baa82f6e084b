//! The agent's state machine without processes: state is stored before frames are sent and processes are started, a list
//! of actions whose commit fails is replaced, and tasks stored by an earlier agent process are recovered.

mod support;

use std::sync::Arc;

use maplethread_admission::AdmissionPolicy;
use maplethread_agent::{
    Action, Agent, ProcessIdentity, RecoveryOutcome, StopMode, StoredTask, TaskState, Timer,
};
use maplethread_wire::frame::{Frame, Offer, Reason, ResourceAmounts};

fn policy() -> AdmissionPolicy {
    AdmissionPolicy {
        cores: 4.0,
        memory_gib: 8.0,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        max_queue_length: 8,
        max_concurrent_starts: 1,
        max_warm_programs: 0,
        allows_preemption: true,
    }
}

fn agent() -> Agent {
    Agent::new("n", 1, policy(), 1000)
}

fn placer() -> Arc<str> {
    "p".into()
}

fn offer(attempt: u64, cores: f64, priority: u32) -> Offer {
    Offer {
        requested: ResourceAmounts {
            cores,
            memory_gib: 0.5,
        },
        priority,
        ..support::offer(attempt)
    }
}

fn send_offer(agent: &mut Agent, offer: Offer) -> Vec<Action> {
    let mut out = Vec::new();
    agent.handle_frame(1, &placer(), Frame::Offer(offer), &mut out);
    out
}

fn report_started(agent: &mut Agent, attempt: u64) -> Vec<Action> {
    let mut out = Vec::new();
    agent.handle_start_result(
        2,
        attempt,
        Ok(ProcessIdentity {
            pid: attempt as u32,
            start_ticks: 5,
        }),
        &mut out,
    );
    out
}

fn sent_frames(out: &[Action]) -> Vec<&Frame> {
    out.iter()
        .filter_map(|action| match action {
            Action::Send(_, frame) => Some(frame),
            _ => None,
        })
        .collect()
}

fn stored_states(out: &[Action]) -> Vec<TaskState> {
    out.iter()
        .filter_map(|action| match action {
            Action::StoreTask(_, task) => Some(task.state),
            _ => None,
        })
        .collect()
}

#[test]
fn stores_intent_before_start_and_limits_concurrent_starts() {
    let mut agent = agent();
    let first = send_offer(&mut agent, offer(1, 1.0, 0));
    assert_eq!(
        stored_states(&first),
        [TaskState::Accepted, TaskState::Starting]
    );
    assert!(first.contains(&Action::StartProcess(1)));
    let second = send_offer(&mut agent, offer(2, 1.0, 0));
    assert_eq!(
        stored_states(&second),
        [TaskState::Accepted],
        "only one task may be starting at a time"
    );
    let out = report_started(&mut agent, 1);
    assert!(out.contains(&Action::StartProcess(2)), "{out:?}");
    assert!(matches!(sent_frames(&out)[..], [Frame::Started(1, _)]));
    // An offer with a used attempt id is ignored.
    assert!(send_offer(&mut agent, offer(1, 1.0, 0)).is_empty());
}

#[test]
fn store_failure_undoes_acceptance_and_rejects_offers() {
    let mut agent = agent();
    let failed_actions = send_offer(&mut agent, offer(1, 1.0, 0));
    let mut replacement = Vec::new();
    agent.handle_store_failure(&failed_actions, &mut replacement);
    // The task may be in the store despite the failure, and a later agent process might start it.
    assert!(
        matches!(
            sent_frames(&replacement)[..],
            [Frame::Ended(1, Reason::Error, true, _)]
        ),
        "{replacement:?}"
    );
    assert!(!replacement.contains(&Action::StartProcess(1)) && agent.offer(1).is_none());
    let rejected = send_offer(&mut agent, offer(2, 1.0, 0));
    assert!(matches!(
        sent_frames(&rejected)[..],
        [Frame::Refused(2, Reason::Ineligible, _)]
    ));
    let mut out = Vec::new();
    agent.handle_timer(3, Timer::RetryStore, &mut out);
    assert_eq!(out, [Action::RemoveTask(1)]);
    assert!(
        send_offer(&mut agent, offer(3, 1.0, 0)).contains(&Action::StartProcess(3)),
        "the resources of the first task were released"
    );
}

#[test]
fn retries_start_after_its_intent_could_not_be_stored() {
    let mut agent = agent();
    send_offer(&mut agent, offer(1, 1.0, 0));
    send_offer(&mut agent, offer(2, 1.0, 0));
    let failed_actions = report_started(&mut agent, 1);
    let mut replacement = Vec::new();
    agent.handle_store_failure(&failed_actions, &mut replacement);
    assert!(
        matches!(sent_frames(&replacement)[..], [Frame::Started(1, _)]),
        "the running task is reported: {replacement:?}"
    );
    assert!(!replacement.contains(&Action::StartProcess(2)));
    let mut out = Vec::new();
    agent.handle_timer(3, Timer::RetryStore, &mut out);
    assert!(
        out.contains(&Action::StartProcess(2)) && stored_states(&out) == [TaskState::Starting],
        "{out:?}"
    );
}

#[test]
fn stops_task_as_soon_as_it_runs_if_cancelled_during_start() {
    let mut agent = agent();
    send_offer(&mut agent, offer(1, 1.0, 0));
    let mut out = Vec::new();
    agent.handle_frame(1, &placer(), Frame::Cancel(1), &mut out);
    assert!(out.is_empty(), "the process does not exist yet: {out:?}");
    let identity = ProcessIdentity {
        pid: 1,
        start_ticks: 5,
    };
    assert!(
        report_started(&mut agent, 1).contains(&Action::StopProcess(identity, StopMode::Graceful))
    );
    let mut out = Vec::new();
    agent.handle_timer(4, Timer::ForceStop(1), &mut out);
    assert_eq!(out, [Action::StopProcess(identity, StopMode::Forced)]);
    let mut out = Vec::new();
    agent.handle_process_exit(5, 1, Some(false), &mut out);
    agent.report_finished(|_| true, &mut out);
    assert!(
        matches!(
            sent_frames(&out)[..],
            [Frame::Ended(1, Reason::Stopped, true, _)]
        ),
        "{out:?}"
    );
}

#[test]
fn keeps_result_in_store_until_reported() {
    let mut agent = agent();
    send_offer(&mut agent, offer(1, 1.0, 0));
    report_started(&mut agent, 1);
    let mut out = Vec::new();
    agent.handle_process_exit(5, 1, Some(true), &mut out);
    agent.report_finished(|_| false, &mut out);
    assert_eq!(
        stored_states(&out),
        [TaskState::Finished {
            reason: Reason::Completed,
            possibly_started: true
        }]
    );
    assert!(sent_frames(&out).is_empty(), "no placer is connected");
    let mut out = Vec::new();
    agent.report_finished(|_| true, &mut out);
    assert!(matches!(
        sent_frames(&out)[..],
        [Frame::Ended(1, Reason::Completed, true, _)]
    ));
    let mut out = Vec::new();
    agent.report_finished(|_| true, &mut out);
    assert_eq!(out, [Action::RemoveTask(1)]);
}

#[test]
fn recovers_stored_tasks_in_every_state() {
    let process = |pid, start_ticks| ProcessIdentity { pid, start_ticks };
    let states = [
        TaskState::Accepted,
        TaskState::Starting,
        TaskState::Starting,
        TaskState::Running(process(4, 4)),
        TaskState::Running(process(5, 5)),
        TaskState::Finished {
            reason: Reason::Completed,
            possibly_started: true,
        },
    ];
    let stored: Vec<(u64, StoredTask)> = (1..)
        .zip(states)
        .map(|(attempt, state)| {
            let task = StoredTask {
                placer: placer(),
                offer: offer(attempt, 0.5, 0),
                state,
            };
            (attempt, task)
        })
        .collect();
    let find_process = |attempt: u64, _: &StoredTask| match attempt {
        2 | 4 => RecoveryOutcome::Running(process(attempt as u32, 9)),
        _ => RecoveryOutcome::NotFound,
    };
    let (mut agent, mut out) = (agent(), Vec::new());
    agent.recover(1, true, stored, find_process, &mut out);
    let started: Vec<&Action> = out
        .iter()
        .filter(|action| matches!(action, Action::StartProcess(_)))
        .collect();
    assert_eq!(
        started,
        [&Action::StartProcess(1)],
        "only the accepted task is started: it certainly never ran"
    );
    let mut response = Vec::new();
    agent.handle_hello(&placer(), 1, &mut response);
    assert_eq!(sent_frames(&response).last(), Some(&&Frame::Drain));
    let held_end = sent_frames(&response)
        .iter()
        .position(|f| **f == Frame::HeldEnd)
        .expect("the list of unfinished tasks is terminated");
    let result_count = sent_frames(&response)[..held_end]
        .iter()
        .filter(|f| matches!(f, Frame::Ended(..)))
        .count();
    assert_eq!(
        result_count, 3,
        "results are sent before the list of unfinished tasks is terminated"
    );
    let frames = sent_frames(&response);
    let held: Vec<(u64, bool)> = frames
        .iter()
        .filter_map(|f| match f {
            Frame::Held(offer, is_running) => Some((offer.attempt_id, *is_running)),
            _ => None,
        })
        .collect();
    assert_eq!(held, [(1, false), (2, true), (4, true)]);
    assert!(
        frames.contains(&&Frame::Drain),
        "the host is still draining"
    );
    let ended: Vec<(u64, Reason, bool)> = frames
        .iter()
        .filter_map(|f| match f {
            Frame::Ended(attempt, reason, possibly_started, _) => {
                Some((*attempt, *reason, *possibly_started))
            }
            _ => None,
        })
        .collect();
    // An interrupted start may have succeeded; the exit status of the running task was not observed.
    assert_eq!(
        ended,
        [
            (3, Reason::Error, true),
            (5, Reason::Unknown, true),
            (6, Reason::Completed, true)
        ]
    );
}

#[test]
fn preempts_task_of_lower_priority() {
    let mut agent = agent();
    send_offer(&mut agent, offer(1, 3.0, 0));
    report_started(&mut agent, 1);
    let out = send_offer(&mut agent, offer(2, 2.0, 1));
    assert!(
        out.contains(&Action::StopProcess(
            ProcessIdentity {
                pid: 1,
                start_ticks: 5
            },
            StopMode::Graceful
        )),
        "{out:?}"
    );
    assert!(out.contains(&Action::StartProcess(2)));
    let mut out = Vec::new();
    agent.handle_process_exit(5, 1, None, &mut out);
    agent.report_finished(|_| true, &mut out);
    assert!(
        matches!(
            sent_frames(&out)[..],
            [Frame::Ended(1, Reason::Preempted, true, _)]
        ),
        "{out:?}"
    );
}
