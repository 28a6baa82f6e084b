//! Encoding of a placer's actions as lines.

use maplethread::{Action, Micros};
use maplethread_platform_settings::HostNames;
use serde_json::{Value, json};

use super::hex;

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

/// Appends the line of an action, or nothing for an action that the protocol does not have.
pub(crate) fn encode(out: &mut String, instance_id: u32, action: &Action, hosts: &HostNames) {
    let name = |machine| hosts.name(machine).unwrap_or_default();
    let line = match action {
        Action::Offer {
            task,
            machine,
            timeout,
        } => json!([
            "CLAIM_ROOM",
            instance_id,
            task.0,
            name(*machine),
            ms(*timeout)
        ]),
        Action::Cancel(attempt) => json!(["CANCEL", instance_id, attempt.task.0, attempt.number]),
        Action::Reject { task, retry_after } => {
            json!(["NOT_NOW", instance_id, task.0, retry_after.map_or(0.0, ms)])
        }
        Action::Fail(task) => json!(["DROP_REQUEST", instance_id, task.0]),
        Action::Migrate(task) => json!(["RELOCATE", instance_id, task.0]),
        Action::SetTimer { after, label } => json!(["REMIND", instance_id, ms(*after), label]),
        Action::Probe(machine) => json!(["TEST", instance_id, name(*machine)]),
        Action::CloseIdleConnections(machine) => json!(["CLOSE_IDLE", instance_id, name(*machine)]),
        Action::SendToPeer {
            to: Some(to),
            bytes,
        } => json!(["PUBLISH", instance_id, to, hex::encode(bytes)]),
        Action::SendToPeer { to: None, bytes } => {
            json!(["PUBLISH", instance_id, "*", hex::encode(bytes)])
        }
        Action::WatchEndpoints { enabled } => json!(["LISTEN", instance_id, enabled]),
        Action::FetchEndpoints => json!(["LOOKUP", instance_id]),
        Action::Log(text) => json!(["PRINT", instance_id, text]),
        // The protocol has no message for block reasons.
        Action::Blocked { .. } => return,
    };
    push_line(out, &line);
}

/// Appends the line that reports a placer as broken.
pub(crate) fn encode_fault(out: &mut String, instance_id: u32, text: &str) {
    push_line(out, &json!(["BROKEN", instance_id, text]));
}

/// Appends the line that ends a reply.
pub(crate) fn encode_done(out: &mut String, batch: u64) {
    push_line(out, &json!(["DONE", batch]));
}

fn push_line(out: &mut String, line: &Value) {
    out.push_str(&line.to_string());
    out.push('\n');
}
