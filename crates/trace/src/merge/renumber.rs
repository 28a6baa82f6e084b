//! Converts records to the numbers of the merged trace.

use maplethread::{Action, AttemptId, Event, MachineEntry, MachineId, Task, TaskId};

use super::{MergeError, MergePlan};
use crate::record::{Outcome, Record, Turn};

/// The low bits of a merged task number, which hold its number in its source; the bits above hold the source.
const TASK_BITS: u32 = 40;

impl MergePlan {
    /// Converts a record of a source, read from an input, to the merged trace's numbers.
    pub(super) fn renumber(
        &self,
        input: usize,
        source: usize,
        record: Record,
    ) -> Result<Record, MergeError> {
        let task = |id: u64| -> Result<u64, MergeError> {
            let source_task = if self.is_merged[input] {
                id & ((1 << TASK_BITS) - 1)
            } else {
                id
            };
            if source_task >> TASK_BITS != 0 || source >= 1 << (63 - TASK_BITS) {
                return Err(MergeError::IdOutOfRange);
            }
            Ok((source as u64) << TASK_BITS | source_task)
        };
        let host = |n: u32| self.hosts[input].get(&n).copied().unwrap_or(u32::MAX);
        let class = |n: usize| {
            self.classes[input]
                .get(n)
                .map_or(usize::MAX, |&c| c as usize)
        };
        let renumber_task = |t: Task| -> Result<Task, MergeError> {
            Ok(Task {
                id: TaskId(task(t.id.0)?),
                class: class(t.class),
                ..t
            })
        };
        let attempt = |id: AttemptId| -> Result<AttemptId, MergeError> {
            Ok(AttemptId {
                task: TaskId(task(id.task.0)?),
                ..id
            })
        };
        Ok(match record {
            Record::Turn(Turn {
                now,
                events,
                actions,
            }) => {
                let event = |event: Event| -> Result<Event, MergeError> {
                    Ok(match event {
                        Event::EndpointsUpdated { scope, machines } => {
                            let renumber_machine = |m: MachineEntry| MachineEntry {
                                machine: MachineId(host(m.machine.0)),
                                ..m
                            };
                            Event::EndpointsUpdated {
                                scope,
                                machines: machines.into_iter().map(renumber_machine).collect(),
                            }
                        }
                        Event::ConnectionChanged {
                            machine: m,
                            is_connected,
                        } => Event::ConnectionChanged {
                            machine: MachineId(host(m.0)),
                            is_connected,
                        },
                        Event::PlacementRequested(t) => {
                            Event::PlacementRequested(renumber_task(t)?)
                        }
                        Event::TaskAdopted {
                            task: t,
                            machine: m,
                        } => Event::TaskAdopted {
                            task: renumber_task(t)?,
                            machine: MachineId(host(m.0)),
                        },
                        Event::AttemptAccepted {
                            attempt: id,
                            elapsed,
                        } => Event::AttemptAccepted {
                            attempt: attempt(id)?,
                            elapsed,
                        },
                        Event::TaskReported {
                            attempt: id,
                            report,
                        } => Event::TaskReported {
                            attempt: attempt(id)?,
                            report,
                        },
                        Event::AttemptFinished {
                            attempt: id,
                            result,
                        } => Event::AttemptFinished {
                            attempt: attempt(id)?,
                            result,
                        },
                        Event::ClientDisconnected(id) => {
                            Event::ClientDisconnected(TaskId(task(id.0)?))
                        }
                        Event::ProbeFinished {
                            machine,
                            answered,
                            load,
                        } => Event::ProbeFinished {
                            machine: MachineId(host(machine.0)),
                            answered,
                            load,
                        },
                        Event::ReplicaIndexChanged(_)
                        | Event::DiscoveryUnavailable
                        | Event::TimerFired { .. }
                        | Event::PeerMessage { .. } => event,
                    })
                };
                let action = |action: Action| -> Result<Action, MergeError> {
                    Ok(match action {
                        Action::Offer {
                            task: id,
                            machine: m,
                            timeout,
                        } => Action::Offer {
                            task: TaskId(task(id.0)?),
                            machine: MachineId(host(m.0)),
                            timeout,
                        },
                        Action::Cancel(id) => Action::Cancel(attempt(id)?),
                        Action::Reject {
                            task: id,
                            retry_after,
                        } => Action::Reject {
                            task: TaskId(task(id.0)?),
                            retry_after,
                        },
                        Action::Fail(id) => Action::Fail(TaskId(task(id.0)?)),
                        Action::Blocked { task: id, reason } => Action::Blocked {
                            task: TaskId(task(id.0)?),
                            reason,
                        },
                        Action::Migrate(id) => Action::Migrate(TaskId(task(id.0)?)),
                        Action::Probe(m) => Action::Probe(MachineId(host(m.0))),
                        Action::CloseIdleConnections(m) => {
                            Action::CloseIdleConnections(MachineId(host(m.0)))
                        }
                        Action::SetTimer { .. }
                        | Action::SendToPeer { .. }
                        | Action::WatchEndpoints { .. }
                        | Action::FetchEndpoints
                        | Action::Log(_) => action,
                    })
                };
                Record::Turn(Turn {
                    now,
                    events: events.into_iter().map(event).collect::<Result<_, _>>()?,
                    actions: actions.into_iter().map(action).collect::<Result<_, _>>()?,
                })
            }
            Record::RequestReceived {
                task: id,
                service,
                actor,
                class: c,
                request_id,
                idempotency_key,
                received_at,
            } => {
                let c = class(c as usize) as u32;
                Record::RequestReceived {
                    task: task(id)?,
                    service,
                    actor,
                    class: c,
                    request_id,
                    idempotency_key,
                    received_at,
                }
            }
            Record::Answered {
                task: id,
                outcome,
                attempts,
                elapsed,
            } => {
                let outcome = match outcome {
                    Outcome::Placed { host: n } => Outcome::Placed { host: host(n) },
                    unchanged => unchanged,
                };
                Record::Answered {
                    task: task(id)?,
                    outcome,
                    attempts,
                    elapsed,
                }
            }
            unchanged => unchanged,
        })
    }
}
