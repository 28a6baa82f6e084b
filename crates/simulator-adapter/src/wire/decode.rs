//! Decoding of the simulator's lines as events of the placers.

use maplethread::{
    AttemptOutcome, AttemptResult, Event, FailureReason, MachineState, Micros, Resources,
    ServiceId, Settings, Task, TaskReport, UpdateScope,
};
use maplethread_platform_settings::{CapacityReporting, FieldError, decode_policy_settings};
use serde_json::Value;

use super::fields::Fields;
use super::hex;
use crate::instances::{Instances, RosterRow};

/// Flag: the message contains the expected duration of the task.
const HAS_DURATION: u64 = 1;
/// Flag: the task was resubmitted by its owner.
const IS_RESUBMISSION: u64 = 16;

/// A decoded line.
pub(crate) enum Incoming {
    Turn {
        now: Micros,
        batch: u64,
    },
    EndOfBatch,
    Launch {
        instance_id: u32,
        seed: u64,
        settings: Box<Settings>,
        capacity_reporting: CapacityReporting,
    },
    Killed {
        instance_id: u32,
    },
    Roster {
        id: u64,
        rows: Vec<RosterRow>,
    },
    Event {
        instance_id: u32,
        event: Event,
    },
}

/// Decodes a line. Host names in it are replaced by the machine ids of the instance that the line is for, which assigns
/// an id to a new name.
///
/// # Errors
///
/// Returns an error for the first field that is missing or invalid, or for an unknown instance or roster.
pub(crate) fn decode(value: &Value, instances: &mut Instances) -> Result<Incoming, FieldError> {
    let line = value
        .as_array()
        .ok_or_else(|| FieldError::new("-", "-", "an array".into()))?;
    let Some(name) = line.first().and_then(Value::as_str) else {
        return Err(FieldError::new("-", "name", "a message name".into()));
    };
    let fields = Fields {
        message: name,
        values: &line[1..],
    };
    let instance_id = |fields: &Fields| fields.u32(0, "who");
    Ok(match name {
        "TURN" => Incoming::Turn {
            now: fields.time(0, "clock")?,
            batch: fields.u64(1, "batch")?,
        },
        "EOB" => Incoming::EndOfBatch,
        "LAUNCH" => {
            let info = fields
                .get(2)
                .ok_or_else(|| fields.error("bootInfo", "an object"))?;
            let (settings, capacity_reporting) = decode_policy_settings(info)?;
            Incoming::Launch {
                instance_id: instance_id(&fields)?,
                capacity_reporting,
                seed: fields.u64(1, "initSeed")?,
                settings: Box::new(settings),
            }
        }
        "KILLED" => Incoming::Killed {
            instance_id: instance_id(&fields)?,
        },
        "ROSTER" => {
            let rows = fields.array(1, "rows")?;
            let rows = rows.iter().map(roster_row).collect::<Result<_, _>>()?;
            Incoming::Roster {
                id: fields.u64(0, "rosterId")?,
                rows,
            }
        }
        "ROSTER_CHANGE" | "REQUEST" | "RUNNING" | "SEATED" | "INTERIM" | "FINISHED" | "HANGUP"
        | "TIMER" | "CHECK_RESULT" | "NOTE_FROM" => {
            let instance_id = instance_id(&fields)?;
            let event = event(name, instance_id, &fields, instances)?;
            Incoming::Event { instance_id, event }
        }
        _ => return Err(FieldError::new(name, "name", "a known message".into())),
    })
}

fn event(
    name: &str,
    instance_id: u32,
    fields: &Fields,
    instances: &mut Instances,
) -> Result<Event, FieldError> {
    Ok(match name {
        "ROSTER_CHANGE" => roster_change(instance_id, fields, instances)?,
        "REQUEST" => Event::PlacementRequested(task(fields, &REQUEST)?),
        "RUNNING" => {
            let task = task(fields, &RUNNING)?;
            let hosts = &mut instances.instance(instance_id)?.hosts;
            let machine = hosts.id_or_assign(fields.str(2, "host")?);
            Event::TaskAdopted { task, machine }
        }
        "SEATED" => Event::AttemptAccepted {
            attempt: fields.attempt(4)?,
            elapsed: fields.optional_time(3, "elapsedMs")?,
        },
        "INTERIM" => {
            let report = task_report(fields)?;
            Event::TaskReported {
                attempt: fields.attempt(2)?,
                report,
            }
        }
        "FINISHED" => {
            let result = attempt_result(fields, instances.capacity_reporting(instance_id)?)?;
            Event::AttemptFinished {
                attempt: fields.attempt(6)?,
                result,
            }
        }
        "HANGUP" => Event::ClientDisconnected(fields.task(1)?),
        "TIMER" => Event::TimerFired {
            label: fields.u64(1, "label")?,
        },
        "CHECK_RESULT" => {
            let instance = instances.instance(instance_id)?;
            let machine = instance.hosts.id_or_assign(fields.str(3, "host")?);
            Event::ProbeFinished {
                machine,
                answered: outcome(fields.u64(1, "ending")?) == Some(AttemptOutcome::Completed),
                load: load_report(instance.capacity_reporting, fields, fields.get(4))?,
            }
        }
        _ => {
            let bytes = hex::decode(fields.str(2, "octets")?)
                .ok_or_else(|| fields.error("octets", "pairs of hex digits"))?;
            Event::PeerMessage {
                from: fields.u32(1, "sender")?,
                bytes,
            }
        }
    })
}

fn roster_change(
    instance_id: u32,
    fields: &Fields,
    instances: &mut Instances,
) -> Result<Event, FieldError> {
    let scope = match fields.str(1, "scope")? {
        "update" => UpdateScope::Delta,
        "replace" => UpdateScope::Full,
        "restored" => UpdateScope::Restored,
        "unavailable" => return Ok(Event::DiscoveryUnavailable),
        _ => return Err(fields.error("scope", "update, replace, restored or unavailable")),
    };
    let roster = fields.u64(3, "rosterId")?;
    let machines = instances
        .machines(instance_id, roster)?
        .ok_or_else(|| fields.error("rosterId", "the id of a roster that was sent before"))?;
    Ok(Event::EndpointsUpdated { scope, machines })
}

fn task_report(fields: &Fields) -> Result<TaskReport, FieldError> {
    let value = fields.f64_or_zero(5, "x")?;
    Ok(match fields.u64(4, "kind")? {
        1 => TaskReport::Started,
        2 => TaskReport::CoresUsed(value),
        3 => TaskReport::MemoryUsed(value),
        4 => TaskReport::ServiceShare(value),
        5 => TaskReport::MachineMemoryShare(value),
        _ => return Err(fields.error("kind", "1 to 5")),
    })
}

fn attempt_result(
    fields: &Fields,
    capacity_reporting: CapacityReporting,
) -> Result<AttemptResult, FieldError> {
    Ok(AttemptResult {
        outcome: outcome(fields.u64(5, "ending")?)
            .ok_or_else(|| fields.error("ending", "an outcome code"))?,
        reason: failure_reason(fields.u64_or_zero(7, "note")?),
        closes_task: fields.bool(4, "noMore")?,
        load: load_report(capacity_reporting, fields, fields.get(8))?,
    })
}

fn outcome(code: u64) -> Option<AttemptOutcome> {
    Some(match code {
        0 => AttemptOutcome::Completed,
        13 => AttemptOutcome::Error,
        8 => AttemptOutcome::Rejected,
        4 => AttemptOutcome::TimedOut,
        14 => AttemptOutcome::ConnectFailed,
        10 => AttemptOutcome::Disconnected,
        1 => AttemptOutcome::Cancelled,
        9 => AttemptOutcome::NeverSent,
        _ => return None,
    })
}

fn failure_reason(code: u64) -> Option<FailureReason> {
    Some(match code {
        1 => FailureReason::InsufficientCores,
        2 => FailureReason::InsufficientMemory,
        3 => FailureReason::QueueFull,
        4 => FailureReason::Ineligible,
        5 => FailureReason::Evicted,
        6 => FailureReason::Preempted,
        7 => FailureReason::Drained,
        _ => return None,
    })
}

/// The positions of a task's fields in a message.
struct TaskPositions {
    task_id: usize,
    flags: usize,
    cores: usize,
    duration: usize,
    deadline: usize,
    service: usize,
    memory: usize,
    class: usize,
}

const REQUEST: TaskPositions = TaskPositions {
    task_id: 1,
    flags: 2,
    cores: 4,
    duration: 5,
    deadline: 6,
    service: 8,
    memory: 9,
    class: 10,
};

const RUNNING: TaskPositions = TaskPositions {
    task_id: 1,
    flags: 10,
    cores: 9,
    duration: 11,
    deadline: 7,
    service: 4,
    memory: 5,
    class: 3,
};

fn task(fields: &Fields, at: &TaskPositions) -> Result<Task, FieldError> {
    let flags = fields.u64_or_zero(at.flags, "marks")?;
    let duration = fields.optional_time(at.duration, "lifeMs")?;
    Ok(Task {
        id: fields.task(at.task_id)?,
        service: ServiceId(fields.u64_or_zero(at.service, "app")?),
        class: fields.u64(at.class, "lane")? as usize,
        requested: Resources {
            cores: fields.f64(at.cores, "cpuAsk")?,
            memory: fields.f64(at.memory, "memNeeded")?,
        },
        expected_duration: duration.filter(|_| flags & HAS_DURATION != 0),
        deadline: fields.time(at.deadline, "giveUpAtMs")?,
        is_resubmission: flags & IS_RESUBMISSION != 0,
    })
}

fn roster_row(value: &Value) -> Result<RosterRow, FieldError> {
    let values = value.as_array().map(Vec::as_slice);
    let values = values.ok_or_else(|| FieldError::new("ROSTER", "rows", "arrays".into()))?;
    let fields = Fields {
        message: "ROSTER",
        values,
    };
    Ok(RosterRow {
        host: fields.str(0, "host")?.to_owned(),
        zone: fields.u32(1, "zone")?,
        kind: fields.u64_or_zero(2, "familyType")? as usize,
        cell: fields.u32(3, "block")?,
        state: match fields.str(4, "state")? {
            "Running" => MachineState::Ready,
            "Stopping" => MachineState::Draining,
            "Deleted" => MachineState::Gone,
            _ => return Err(fields.error("state", "Running, Stopping or Deleted")),
        },
        started_at: fields.optional_time(7, "startTimeMs")?.filter(|&at| at > 0),
        unallocated: Resources {
            cores: fields.f64_or_zero(8, "unaskedCores")?,
            memory: fields.f64_or_zero(5, "openMemory")?,
        },
    })
}

/// The cores and memory of a load report, if it contains both.
fn load_report(
    capacity_reporting: CapacityReporting,
    fields: &Fields,
    load: Option<&Value>,
) -> Result<Option<Resources>, FieldError> {
    let Some(load) = load.filter(|_| capacity_reporting.in_load_reports) else {
        return Ok(None);
    };
    let load = load
        .as_object()
        .ok_or_else(|| fields.error("load", "an object"))?;
    let value = |name: &str| load.get(name).and_then(Value::as_f64);
    let both = value("x0").zip(value("x1"));
    Ok(both.map(|(cores, memory)| Resources { cores, memory }))
}
