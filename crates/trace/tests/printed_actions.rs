//! Reports print actions under fixed names that scripts and operators read, independent of the names in the code.

use maplethread::{Action, AttemptId, BlockReason, MachineId, TaskId};
use maplethread_trace::ActionList;

#[test]
fn every_action_is_printed_under_its_reported_name() {
    let (task, machine) = (TaskId(1), MachineId(2));
    let blocked = |reason| Action::Blocked { task, reason };
    let actions = [
        Action::Offer {
            task,
            machine,
            timeout: 500_000,
        },
        Action::Cancel(AttemptId { task, number: 3 }),
        Action::Reject {
            task,
            retry_after: Some(5),
        },
        Action::Fail(task),
        blocked(BlockReason::NoKindFits),
        blocked(BlockReason::NoReadyMachine),
        blocked(BlockReason::NotConnected),
        blocked(BlockReason::OutsideDeduplicationScope),
        blocked(BlockReason::SpreadLimit),
        blocked(BlockReason::WarmUpBudget),
        blocked(BlockReason::NoCapacity),
        Action::Migrate(task),
        Action::SetTimer { after: 6, label: 7 },
        Action::Probe(machine),
        Action::CloseIdleConnections(machine),
        Action::SendToPeer {
            to: None,
            bytes: vec![8, 9],
        },
        Action::WatchEndpoints { enabled: true },
        Action::FetchEndpoints,
        Action::Log("a \"line\"".into()),
    ];
    assert_eq!(
        ActionList(&actions).to_string(),
        "[Offer(TaskId(1), MachineId(2), 500000), Cancel(AttemptId { task: TaskId(1), number: 3 }), \
         Refuse(TaskId(1), Some(5)), Fail(TaskId(1)), Held(TaskId(1), Size), Held(TaskId(1), Ready), \
         Held(TaskId(1), Link), Held(TaskId(1), Group), Held(TaskId(1), Spread), Held(TaskId(1), Cold), \
         Held(TaskId(1), Room), Move(TaskId(1)), Wake(6, 7), Probe(MachineId(2)), CloseIdle(MachineId(2)), \
         Tell { to: None, bytes: [8, 9] }, Listen(true), Lookup, Log(\"a \\\"line\\\"\")]"
    );
}
