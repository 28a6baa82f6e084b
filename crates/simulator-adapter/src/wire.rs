//! The lines of the wire, both ways.

use maplethread::{
    Action, AttemptId, AttemptOutcome, AttemptResult, Event, FailureReason, MachineEntry,
    MachineState, Micros, Resources, ServiceId, Settings, Task, TaskId, TaskReport, UpdateScope,
};
use maplethread_platform_settings::host_names::stable_hash;
use maplethread_platform_settings::{CapacityReporting, FieldError, HostNames, micros};
use serde_json::{Value, json};

use crate::Adapter;

/// A line, decoded.
pub(crate) enum Incoming {
    Turn {
        now: Micros,
        batch: u64,
    },
    EndOfBatch,
    Launch {
        who: u32,
        seed: u64,
        settings: Box<Settings>,
        reports: CapacityReporting,
    },
    Killed {
        who: u32,
    },
    Roster {
        id: u64,
        rows: Vec<Row>,
    },
    Event {
        who: u32,
        event: Event,
    },
}

/// An entry of a roster, before any instance has numbered its host.
pub(crate) struct Row {
    host: String,
    zone: u32,
    cell: u32,
    kind: usize,
    state: MachineState,
    started: Option<Micros>,
    unasked: Resources,
}

/// The values of one array, by position, with names for the error text.
pub(crate) struct Values<'a> {
    message: &'a str,
    values: &'a [Value],
}

impl<'a> Values<'a> {
    pub(crate) fn error(&self, field: &str, expected: &str) -> FieldError {
        FieldError::new(self.message, field, expected.to_owned())
    }

    fn get(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|v| !v.is_null())
    }

    fn whole(&self, at: usize, field: &str) -> Result<u64, FieldError> {
        self.get(at)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.error(field, "a whole number"))
    }

    fn small(&self, at: usize, field: &str) -> Result<u32, FieldError> {
        u32::try_from(self.whole(at, field)?).map_err(|_| self.error(field, "a number below 2^32"))
    }

    /// As `whole`, with 0 for an absent value.
    fn whole_or_zero(&self, at: usize, field: &str) -> Result<u64, FieldError> {
        self.get(at).map_or(Ok(0), |_| self.whole(at, field))
    }

    fn number(&self, at: usize, field: &str) -> Result<f64, FieldError> {
        self.get(at)
            .and_then(Value::as_f64)
            .ok_or_else(|| self.error(field, "a number"))
    }

    fn time(&self, at: usize, field: &str) -> Result<Micros, FieldError> {
        Ok(micros(self.number(at, field)?))
    }

    fn time_or_none(&self, at: usize, field: &str) -> Result<Option<Micros>, FieldError> {
        self.get(at).map(|_| self.time(at, field)).transpose()
    }

    fn number_or_zero(&self, at: usize, field: &str) -> Result<f64, FieldError> {
        self.get(at).map_or(Ok(0.0), |_| self.number(at, field))
    }

    fn text(&self, at: usize, field: &str) -> Result<&'a str, FieldError> {
        self.get(at)
            .and_then(Value::as_str)
            .ok_or_else(|| self.error(field, "text"))
    }

    fn array(&self, at: usize, field: &str) -> Result<&'a [Value], FieldError> {
        let array = self.get(at).and_then(Value::as_array);
        array
            .map(Vec::as_slice)
            .ok_or_else(|| self.error(field, "an array"))
    }

    fn bool(&self, at: usize, field: &str) -> Result<bool, FieldError> {
        self.get(at)
            .and_then(Value::as_bool)
            .ok_or_else(|| self.error(field, "true or false"))
    }

    fn attempt(&self, at: usize) -> Result<AttemptId, FieldError> {
        Ok(AttemptId {
            task: self.task_id(1)?,
            number: self.small(at, "leg")?,
        })
    }

    fn task_id(&self, at: usize) -> Result<TaskId, FieldError> {
        Ok(TaskId(u64::from(self.small(at, "ticket")?)))
    }
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

pub(crate) fn decode(value: &Value, adapter: &mut Adapter) -> Result<Incoming, FieldError> {
    let line = value
        .as_array()
        .ok_or_else(|| FieldError::new("-", "-", "an array".into()))?;
    let Some(name) = line.first().and_then(Value::as_str) else {
        return Err(FieldError::new("-", "name", "a message name".into()));
    };
    let v = Values {
        message: name,
        values: &line[1..],
    };
    let who = |v: &Values| v.small(0, "who");
    Ok(match name {
        "TURN" => Incoming::Turn {
            now: v.time(0, "clock")?,
            batch: v.whole(1, "batch")?,
        },
        "EOB" => Incoming::EndOfBatch,
        "LAUNCH" => {
            let info = v.get(2).ok_or_else(|| v.error("bootInfo", "an object"))?;
            let (settings, reports) = maplethread_platform_settings::decode_policy_settings(info)?;
            Incoming::Launch {
                who: who(&v)?,
                reports,
                seed: v.whole(1, "initSeed")?,
                settings: Box::new(settings),
            }
        }
        "KILLED" => Incoming::Killed { who: who(&v)? },
        "ROSTER" => {
            let rows = v
                .array(1, "rows")?
                .iter()
                .map(row)
                .collect::<Result<_, _>>()?;
            Incoming::Roster {
                id: v.whole(0, "rosterId")?,
                rows,
            }
        }
        "ROSTER_CHANGE" | "REQUEST" | "RUNNING" | "SEATED" | "INTERIM" | "FINISHED" | "HANGUP"
        | "TIMER" | "CHECK_RESULT" | "NOTE_FROM" => {
            let who = who(&v)?;
            Incoming::Event {
                who,
                event: event(name, who, &v, adapter)?,
            }
        }
        _ => return Err(FieldError::new(name, "name", "a known message".into())),
    })
}

fn event(name: &str, who: u32, v: &Values, adapter: &mut Adapter) -> Result<Event, FieldError> {
    Ok(match name {
        "ROSTER_CHANGE" => {
            let scope = match v.text(1, "scope")? {
                "update" => UpdateScope::Delta,
                "replace" => UpdateScope::Full,
                "restored" => UpdateScope::Restored,
                "unavailable" => return Ok(Event::DiscoveryUnavailable),
                _ => return Err(v.error("scope", "update, replace, restored or unavailable")),
            };
            let number = v.whole(3, "rosterId")?;
            let view = adapter.reports(who)?.in_endpoint_lists;
            let (rosters, instance) = adapter.rosters_and_instance(who)?;
            let rows = rosters
                .get(&number)
                .ok_or_else(|| v.error("rosterId", "a roster sent before"))?;
            let machines = rows
                .iter()
                .map(|row| listing(row, view, &mut instance.hosts))
                .collect();
            Event::EndpointsUpdated { scope, machines }
        }
        "REQUEST" => Event::PlacementRequested(task(v, [1, 2, 4, 5, 6, 8, 9, 10])?),
        "RUNNING" => {
            let task = task(v, [1, 10, 9, 11, 7, 4, 5, 3])?;
            Event::TaskAdopted {
                task,
                machine: adapter
                    .instance(who)?
                    .hosts
                    .id_or_assign(v.text(2, "host")?),
            }
        }
        "SEATED" => Event::AttemptAccepted {
            attempt: v.attempt(4)?,
            elapsed: v.time_or_none(3, "elapsedMs")?,
        },
        "INTERIM" => {
            let x = v.number_or_zero(5, "x")?;
            let note = match v.whole(4, "kind")? {
                1 => TaskReport::Started,
                2 => TaskReport::CoresUsed(x),
                3 => TaskReport::MemoryUsed(x),
                4 => TaskReport::Served(x),
                5 => TaskReport::MachineMemory(x),
                _ => return Err(v.error("kind", "1 to 5")),
            };
            Event::TaskReported {
                attempt: v.attempt(2)?,
                report: note,
            }
        }
        "FINISHED" => {
            let end = AttemptResult {
                outcome: ending(v.whole(5, "ending")?)
                    .ok_or_else(|| v.error("ending", "an outcome code"))?,
                reason: match v.whole_or_zero(7, "note")? {
                    1 => Some(FailureReason::Cores),
                    2 => Some(FailureReason::Memory),
                    3 => Some(FailureReason::QueueFull),
                    4 => Some(FailureReason::Ineligible),
                    5 => Some(FailureReason::Evicted),
                    6 => Some(FailureReason::Preempted),
                    7 => Some(FailureReason::Drained),
                    _ => None,
                },
                closes_task: v.bool(4, "noMore")?,
                load: room(adapter.reports(who)?, v, v.get(8))?,
            };
            Event::AttemptFinished {
                attempt: v.attempt(6)?,
                result: end,
            }
        }
        "HANGUP" => Event::ClientDisconnected(v.task_id(1)?),
        "TIMER" => Event::TimerFired {
            label: v.whole(1, "label")?,
        },
        "CHECK_RESULT" => Event::Probed {
            machine: adapter
                .instance(who)?
                .hosts
                .id_or_assign(v.text(3, "host")?),
            answered: ending(v.whole(1, "ending")?) == Some(AttemptOutcome::Completed),
            load: room(adapter.reports(who)?, v, v.get(4))?,
        },
        _ => {
            let hex = v.text(2, "octets")?;
            let bytes = unhex(hex).ok_or_else(|| v.error("octets", "pairs of hex digits"))?;
            Event::PeerMessage {
                from: v.small(1, "sender")?,
                bytes,
            }
        }
    })
}

fn ending(code: u64) -> Option<AttemptOutcome> {
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

/// A task, from the positions of its ticket, marks, cores, life, deadline, service, memory and class.
fn task(v: &Values, at: [usize; 8]) -> Result<Task, FieldError> {
    let marks = v.whole_or_zero(at[1], "marks")?;
    let life = v.time_or_none(at[3], "lifeMs")?;
    Ok(Task {
        id: v.task_id(at[0])?,
        service: ServiceId(v.whole_or_zero(at[5], "app")?),
        class: v.whole(at[7], "lane")? as usize,
        requested: Resources {
            cores: v.number(at[2], "cpuAsk")?,
            memory: v.number(at[6], "memNeeded")?,
        },
        expected_duration: life.filter(|_| marks & 1 != 0),
        deadline: v.time(at[4], "giveUpAtMs")?,
        is_resubmission: marks & 16 != 0,
    })
}

fn row(value: &Value) -> Result<Row, FieldError> {
    let values = value.as_array().map(Vec::as_slice);
    let values = values.ok_or_else(|| FieldError::new("ROSTER", "rows", "arrays".into()))?;
    let v = Values {
        message: "ROSTER",
        values,
    };
    Ok(Row {
        host: v.text(0, "host")?.to_owned(),
        zone: v.small(1, "zone")?,
        kind: v.whole_or_zero(2, "familyType")? as usize,
        cell: v.small(3, "block")?,
        state: match v.text(4, "state")? {
            "Running" => MachineState::Ready,
            "Stopping" => MachineState::Draining,
            "Deleted" => MachineState::Gone,
            _ => return Err(v.error("state", "Running, Stopping or Deleted")),
        },
        started: v.time_or_none(7, "startTimeMs")?.filter(|&at| at > 0),
        unasked: Resources {
            cores: v.number_or_zero(8, "unaskedCores")?,
            memory: v.number_or_zero(5, "openMemory")?,
        },
    })
}

fn listing(row: &Row, view: bool, hosts: &mut HostNames) -> MachineEntry {
    MachineEntry {
        machine: hosts.id_or_assign(&row.host),
        stable_hash: stable_hash(&row.host),
        zone: row.zone,
        cell: row.cell,
        kind: row.kind,
        state: row.state,
        started_at: row.started,
        unallocated: view.then_some(row.unasked),
    }
}

/// Both room values of a load report, if it holds both.
fn room(
    reports: CapacityReporting,
    v: &Values,
    load: Option<&Value>,
) -> Result<Option<Resources>, FieldError> {
    let Some(load) = load.filter(|_| reports.in_load_reports) else {
        return Ok(None);
    };
    let load = load
        .as_object()
        .ok_or_else(|| v.error("load", "an object"))?;
    let value = |name: &str| load.get(name).and_then(Value::as_f64);
    Ok(value("x0")
        .zip(value("x1"))
        .map(|(cores, memory)| Resources { cores, memory }))
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).map(|d| d as u8))
        .collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(
        digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub(crate) fn encode(out: &mut String, who: u32, action: &Action, hosts: &HostNames) {
    let name = |machine| hosts.name(machine).unwrap_or_default();
    let line = match action {
        Action::Offer {
            task,
            machine,
            timeout: time_out,
        } => {
            json!(["CLAIM_ROOM", who, task.0, name(*machine), ms(*time_out)])
        }
        Action::Cancel(id) => json!(["CANCEL", who, id.task.0, id.number]),
        Action::Reject {
            task,
            retry_after: come_back,
        } => {
            json!(["NOT_NOW", who, task.0, come_back.map_or(0.0, ms)])
        }
        Action::Fail(task) => json!(["DROP_REQUEST", who, task.0]),
        Action::Migrate(task) => json!(["RELOCATE", who, task.0]),
        Action::SetTimer { after, label } => json!(["REMIND", who, ms(*after), label]),
        Action::Probe(machine) => json!(["TEST", who, name(*machine)]),
        Action::CloseIdle(machine) => json!(["CLOSE_IDLE", who, name(*machine)]),
        Action::SendToPeer {
            to: Some(to),
            bytes,
        } => json!(["PUBLISH", who, to, hex(bytes)]),
        Action::SendToPeer { to: None, bytes } => json!(["PUBLISH", who, "*", hex(bytes)]),
        Action::WatchEndpoints { enabled: active } => json!(["LISTEN", who, active]),
        Action::FetchEndpoints => json!(["LOOKUP", who]),
        Action::Log(text) => json!(["PRINT", who, text]),
        // The bench asks for no reasons.
        Action::Blocked { .. } => return,
    };
    push_line(out, &line);
}

pub(crate) fn encode_fault(out: &mut String, who: u32, text: &str) {
    push_line(out, &json!(["BROKEN", who, text]));
}

pub(crate) fn encode_done(out: &mut String, batch: u64) {
    push_line(out, &json!(["DONE", batch]));
}

fn push_line(out: &mut String, line: &Value) {
    out.push_str(&line.to_string());
    out.push('\n');
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_action_has_its_line() {
        let mut hosts = HostNames::default();
        let machine = hosts.id_or_assign("a:1");
        let id = AttemptId {
            task: TaskId(9),
            number: 2,
        };
        let cases = [
            (
                Action::Offer {
                    task: TaskId(9),
                    machine,
                    timeout: 80_500,
                },
                r#"["CLAIM_ROOM",3,9,"a:1",80.5]"#,
            ),
            (Action::Cancel(id), r#"["CANCEL",3,9,2]"#),
            (
                Action::Reject {
                    task: TaskId(9),
                    retry_after: None,
                },
                r#"["NOT_NOW",3,9,0.0]"#,
            ),
            (
                Action::Reject {
                    task: TaskId(9),
                    retry_after: Some(1_500),
                },
                r#"["NOT_NOW",3,9,1.5]"#,
            ),
            (Action::Fail(TaskId(9)), r#"["DROP_REQUEST",3,9]"#),
            (Action::Migrate(TaskId(9)), r#"["RELOCATE",3,9]"#),
            (
                Action::SetTimer {
                    after: 500_000,
                    label: 77,
                },
                r#"["REMIND",3,500.0,77]"#,
            ),
            (Action::Probe(machine), r#"["TEST",3,"a:1"]"#),
            (Action::CloseIdle(machine), r#"["CLOSE_IDLE",3,"a:1"]"#),
            (
                Action::SendToPeer {
                    to: Some(1),
                    bytes: vec![0x68, 0x0a],
                },
                r#"["PUBLISH",3,1,"680a"]"#,
            ),
            (
                Action::SendToPeer {
                    to: None,
                    bytes: vec![],
                },
                r#"["PUBLISH",3,"*",""]"#,
            ),
            (
                Action::WatchEndpoints { enabled: false },
                r#"["LISTEN",3,false]"#,
            ),
            (Action::FetchEndpoints, r#"["LOOKUP",3]"#),
            (
                Action::Log("two \"known\"".into()),
                r#"["PRINT",3,"two \"known\""]"#,
            ),
            (
                Action::Blocked {
                    task: TaskId(9),
                    reason: maplethread::BlockReason::NoCapacity,
                },
                "",
            ),
        ];
        for (action, line) in cases {
            let mut out = String::new();
            encode(&mut out, 3, &action, &hosts);
            assert_eq!(out.trim_end(), line);
            assert_eq!(out.ends_with('\n'), !line.is_empty());
        }
    }

    #[test]
    fn bytes_go_both_ways() {
        assert_eq!(unhex("00ff68").as_deref(), Some(&[0, 255, 0x68][..]));
        assert_eq!(hex(&[0, 255, 0x68]), "00ff68");
        assert_eq!((unhex("0"), unhex("zz")), (None, None));
    }
}
