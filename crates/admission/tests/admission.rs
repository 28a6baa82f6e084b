//! Admission decisions on one host, and on hosts that share deduplication keys.

use maplethread_admission::{
    Admission, AdmissionDecision, AdmissionPolicy, DeduplicationKey, DeduplicationTable, NextStart,
    RejectionReason, TaskRequest, TaskStage,
};

fn policy() -> AdmissionPolicy {
    AdmissionPolicy {
        cores: 8.0,
        memory_gib: 16.0,
        cpu_overcommit: 1.5,
        memory_overcommit: 1.0,
        max_queue_length: 3,
        max_concurrent_starts: 1,
        max_warm_programs: 1,
        allows_preemption: true,
    }
}

fn empty_host() -> (Admission, DeduplicationTable) {
    (Admission::new(policy()), DeduplicationTable::default())
}

fn request(attempt_id: u64, cores: f64, priority: u32) -> TaskRequest {
    TaskRequest {
        attempt_id,
        program_id: attempt_id % 10,
        cores,
        memory_gib: 1.0,
        priority,
        deduplication_key: None,
    }
}

fn enqueue_and_decide(
    host: &mut Admission,
    deduplication: &mut DeduplicationTable,
    request: TaskRequest,
) -> AdmissionDecision {
    host.enqueue(request).expect("the queue has space");
    host.decide_next(deduplication)
        .expect("the queue holds a request")
        .1
}

fn next_start(attempt_id: u64, is_program_warm: bool) -> Option<NextStart> {
    Some(NextStart {
        attempt_id,
        is_program_warm,
    })
}

#[test]
fn rejects_with_the_reason_that_applies() {
    let (mut host, mut keys) = empty_host();
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, request(1, 12.0, 0)),
        AdmissionDecision::Admitted { preempted: vec![] }
    );
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, request(2, 0.5, 0)),
        AdmissionDecision::Rejected(RejectionReason::InsufficientCores)
    );
    let large = TaskRequest {
        memory_gib: 16.0,
        ..request(3, 0.0, 0)
    };
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, large),
        AdmissionDecision::Rejected(RejectionReason::InsufficientMemory)
    );
    for n in 4..7 {
        host.enqueue(request(n, 0.0, 0))
            .expect("the queue has space");
    }
    assert_eq!(
        host.enqueue(request(7, 0.0, 0)),
        Err(RejectionReason::QueueFull)
    );
    host.drain();
    assert_eq!(
        host.enqueue(request(8, 0.0, 0)),
        Err(RejectionReason::Draining)
    );
    assert_eq!(
        host.decide_next(&mut keys).map(|(_, decision)| decision),
        Some(AdmissionDecision::Rejected(RejectionReason::Draining))
    );
}

#[test]
fn preempts_only_lower_priorities_and_only_as_many_as_needed() {
    let (mut host, mut keys) = empty_host();
    for (n, cores) in [(1, 2.0), (2, 5.0), (3, 5.0)] {
        enqueue_and_decide(&mut host, &mut keys, request(n, cores, 0));
    }
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, request(4, 4.0, 1)),
        AdmissionDecision::Admitted { preempted: vec![2] }
    );
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, request(5, 11.0, 1)),
        AdmissionDecision::Rejected(RejectionReason::InsufficientCores)
    );
    assert_eq!(host.admitted_tasks().count(), 3);
}

#[test]
fn rejects_second_task_with_same_key_in_a_group() {
    let (mut first, mut keys) = empty_host();
    let (mut second, _) = empty_host();
    let (mut other_group, _) = empty_host();
    let keyed = |attempt_id, group| TaskRequest {
        deduplication_key: Some(DeduplicationKey { group, key: 99 }),
        ..request(attempt_id, 1.0, 0)
    };
    assert!(matches!(
        enqueue_and_decide(&mut first, &mut keys, keyed(1, 7)),
        AdmissionDecision::Admitted { .. }
    ));
    assert_eq!(
        enqueue_and_decide(&mut second, &mut keys, keyed(2, 7)),
        AdmissionDecision::Rejected(RejectionReason::DuplicateKey)
    );
    assert!(matches!(
        enqueue_and_decide(&mut other_group, &mut keys, keyed(3, 8)),
        AdmissionDecision::Admitted { .. }
    ));
    first.remove(1, &mut keys);
    assert!(matches!(
        enqueue_and_decide(&mut second, &mut keys, keyed(4, 7)),
        AdmissionDecision::Admitted { .. }
    ));
}

#[test]
fn limits_concurrent_starts_and_keeps_programs_warm() {
    let (mut host, mut keys) = empty_host();
    enqueue_and_decide(&mut host, &mut keys, request(1, 1.0, 0));
    enqueue_and_decide(&mut host, &mut keys, request(11, 1.0, 0));
    assert_eq!(host.next_start(), next_start(1, false));
    assert_eq!(host.next_start(), None);
    host.mark_running(1);
    assert_eq!(
        host.next_start(),
        next_start(11, true),
        "a running task uses the program"
    );
    host.mark_running(11);
    host.remove(1, &mut keys);
    host.remove(11, &mut keys);
    enqueue_and_decide(&mut host, &mut keys, request(21, 1.0, 0));
    assert_eq!(
        host.next_start(),
        next_start(21, true),
        "the program is still loaded"
    );
    host.mark_running(21);
    host.remove(21, &mut keys);
    enqueue_and_decide(&mut host, &mut keys, request(2, 1.0, 0));
    host.next_start();
    host.mark_running(2);
    host.remove(2, &mut keys);
    enqueue_and_decide(&mut host, &mut keys, request(31, 1.0, 0));
    assert_eq!(
        host.next_start(),
        next_start(31, false),
        "only the last program stays loaded"
    );
}

#[test]
fn counts_restored_tasks_and_restarts_a_requeued_start() {
    let (mut host, mut keys) = empty_host();
    let key = DeduplicationKey { group: 1, key: 7 };
    let keyed = |attempt_id| TaskRequest {
        deduplication_key: Some(key),
        ..request(attempt_id, 4.0, 0)
    };
    host.restore(keyed(1), TaskStage::Running, &mut keys);
    host.restore(request(2, 1.0, 0), TaskStage::Waiting, &mut keys);
    assert_eq!(host.requested().cores, 5.0);
    assert_eq!(
        enqueue_and_decide(&mut host, &mut keys, keyed(3)),
        AdmissionDecision::Rejected(RejectionReason::DuplicateKey)
    );
    assert_eq!(host.next_start().map(|start| start.attempt_id), Some(2));
    assert_eq!(host.next_start(), None);
    host.requeue_start(2);
    assert_eq!(
        host.next_start().map(|start| start.attempt_id),
        Some(2),
        "a requeued task is started again"
    );
    assert_eq!(host.remove(2, &mut keys), Some(TaskStage::Starting));
    assert_eq!(host.remove(1, &mut keys), Some(TaskStage::Running));
    assert_eq!(keys.holder(key), None);
}

#[test]
fn evicts_lowest_priority_first_then_largest_excess_over_request() {
    let (mut host, mut keys) = empty_host();
    for (n, priority) in [(1, 1), (2, 0), (3, 0)] {
        enqueue_and_decide(&mut host, &mut keys, request(n, 1.0, priority));
    }
    let used = |attempt_id| if attempt_id == 3 { 8.0 } else { 5.0 };
    assert_eq!(host.select_evictions(16.0, used), vec![3]);
    assert_eq!(host.select_evictions(6.0, used), vec![3, 2]);
    assert_eq!(host.select_evictions(20.0, used), Vec::<u64>::new());
}
