//! Actions of a placer as lines.

use maplethread::{Action, Micros};
use maplethread_platform_settings::HostNames;
use serde_json::{Value, json};

use super::hex;

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

/// Appends the line of an action; nothing for one that the simulator does not ask for.
pub(crate) fn encode(out: &mut String, who: u32, action: &Action, hosts: &HostNames) {
    let name = |machine| hosts.name(machine).unwrap_or_default();
    let line = match action {
        Action::Offer {
            task,
            machine,
            timeout,
        } => json!(["CLAIM_ROOM", who, task.0, name(*machine), ms(*timeout)]),
        Action::Cancel(attempt) => json!(["CANCEL", who, attempt.task.0, attempt.number]),
        Action::Reject { task, retry_after } => {
            json!(["NOT_NOW", who, task.0, retry_after.map_or(0.0, ms)])
        }
        Action::Fail(task) => json!(["DROP_REQUEST", who, task.0]),
        Action::Migrate(task) => json!(["RELOCATE", who, task.0]),
        Action::SetTimer { after, label } => json!(["REMIND", who, ms(*after), label]),
        Action::Probe(machine) => json!(["TEST", who, name(*machine)]),
        Action::CloseIdle(machine) => json!(["CLOSE_IDLE", who, name(*machine)]),
        Action::SendToPeer {
            to: Some(to),
            bytes,
        } => json!(["PUBLISH", who, to, hex::encode(bytes)]),
        Action::SendToPeer { to: None, bytes } => {
            json!(["PUBLISH", who, "*", hex::encode(bytes)])
        }
        Action::WatchEndpoints { enabled } => json!(["LISTEN", who, enabled]),
        Action::FetchEndpoints => json!(["LOOKUP", who]),
        Action::Log(text) => json!(["PRINT", who, text]),
        // The simulator asks for no reasons.
        Action::Blocked { .. } => return,
    };
    push_line(out, &line);
}

/// Appends the line that reports a placer as broken.
pub(crate) fn encode_fault(out: &mut String, who: u32, text: &str) {
    push_line(out, &json!(["BROKEN", who, text]));
}

/// Appends the line that ends a reply.
pub(crate) fn encode_done(out: &mut String, batch: u64) {
    push_line(out, &json!(["DONE", batch]));
}

fn push_line(out: &mut String, line: &Value) {
    out.push_str(&line.to_string());
    out.push('\n');
}
