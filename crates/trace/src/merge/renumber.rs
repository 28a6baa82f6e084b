//! Records by the numbers of the merged trace.

use maplethread::{Action, AttemptId, Event, MachineEntry, MachineId, Task, TaskId};

use super::{MergeError, MergePlan};
use crate::record::{Outcome, Record, Turn};

/// The bits of a merged task's number that are its number in its source.
const TASK_BITS: u32 = 40;

impl MergePlan {
    /// A record by the merged trace's numbers.
    pub(super) fn renumber(
        &self,
        input: usize,
        source: usize,
        record: Record,
    ) -> Result<Record, MergeError> {
        let task = |id: u64| -> Result<u64, MergeError> {
            let own = if self.is_merged[input] {
                id & ((1 << TASK_BITS) - 1)
            } else {
                id
            };
            if own >> TASK_BITS != 0 || source >= 1 << (63 - TASK_BITS) {
                return Err(MergeError::IdOutOfRange);
            }
            Ok((source as u64) << TASK_BITS | own)
        };
        let host = |n: u32| self.hosts[input].get(&n).copied().unwrap_or(u32::MAX);
        let class = |n: usize| {
            self.classes[input]
                .get(n)
                .map_or(usize::MAX, |&c| c as usize)
        };
        let whole = |t: Task| -> Result<Task, MergeError> {
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
                            let one = |m: MachineEntry| MachineEntry {
                                machine: MachineId(host(m.machine.0)),
                                ..m
                            };
                            Event::EndpointsUpdated {
                                scope,
                                machines: machines.into_iter().map(one).collect(),
                            }
                        }
                        Event::ConnectionChanged {
                            machine: m,
                            is_connected: on,
                        } => Event::ConnectionChanged {
                            machine: MachineId(host(m.0)),
                            is_connected: on,
                        },
                        Event::PlacementRequested(t) => Event::PlacementRequested(whole(t)?),
                        Event::TaskAdopted {
                            task: t,
                            machine: m,
                        } => Event::TaskAdopted {
                            task: whole(t)?,
                            machine: MachineId(host(m.0)),
                        },
                        Event::AttemptAccepted {
                            attempt: id,
                            elapsed: took,
                        } => Event::AttemptAccepted {
                            attempt: attempt(id)?,
                            elapsed: took,
                        },
                        Event::TaskReported {
                            attempt: id,
                            report: note,
                        } => Event::TaskReported {
                            attempt: attempt(id)?,
                            report: note,
                        },
                        Event::AttemptFinished {
                            attempt: id,
                            result: end,
                        } => Event::AttemptFinished {
                            attempt: attempt(id)?,
                            result: end,
                        },
                        Event::ClientDisconnected(id) => {
                            Event::ClientDisconnected(TaskId(task(id.0)?))
                        }
                        Event::Probed {
                            machine,
                            answered: ok,
                            load,
                        } => Event::Probed {
                            machine: MachineId(host(machine.0)),
                            answered: ok,
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
                            timeout: wait,
                        } => Action::Offer {
                            task: TaskId(task(id.0)?),
                            machine: MachineId(host(m.0)),
                            timeout: wait,
                        },
                        Action::Cancel(id) => Action::Cancel(attempt(id)?),
                        Action::Reject {
                            task: id,
                            retry_after: advice,
                        } => Action::Reject {
                            task: TaskId(task(id.0)?),
                            retry_after: advice,
                        },
                        Action::Fail(id) => Action::Fail(TaskId(task(id.0)?)),
                        Action::Blocked {
                            task: id,
                            reason: lack,
                        } => Action::Blocked {
                            task: TaskId(task(id.0)?),
                            reason: lack,
                        },
                        Action::Migrate(id) => Action::Migrate(TaskId(task(id.0)?)),
                        Action::Probe(m) => Action::Probe(MachineId(host(m.0))),
                        Action::CloseIdle(m) => Action::CloseIdle(MachineId(host(m.0))),
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
                request_id: request,
                idempotency_key: key,
                received_at: read,
            } => {
                let c = class(c as usize) as u32;
                Record::RequestReceived {
                    task: task(id)?,
                    service,
                    actor,
                    class: c,
                    request_id: request,
                    idempotency_key: key,
                    received_at: read,
                }
            }
            Record::Answered {
                task: id,
                outcome,
                attempts,
                elapsed: after,
            } => {
                let outcome = match outcome {
                    Outcome::Placed { host: n } => Outcome::Placed { host: host(n) },
                    other => other,
                };
                Record::Answered {
                    task: task(id)?,
                    outcome,
                    attempts,
                    elapsed: after,
                }
            }
            other => other,
        })
    }
}
