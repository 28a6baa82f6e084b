//! Settings, set-ups and host list updates for the simulation.

use super::*;

pub fn settings(replica_index: usize, placers: usize, connect_timing: ConnectTiming) -> Value {
    json!({
        "allowed": {"connectTimeoutMs": connect_timing.timeout / MS, "idleCloseMs": 30000.0, "maxAttempts": 3, "mayCancel": true,
            "peers": false, "probes": false, "retryAfter": false, "maxRetryAfterMs": 3000.0},
        "classes": [
            {"aimMs": 600.0, "effect": "pure", "name": "web", "windowMs": 5000.0, "group": "all", "worth": 3.0}],
        "domain": {"ack": "accepted", "admitCores": 1.5, "admitMemory": 1.5, "freeBy": "used", "listsFree": false,
            "kindByClass": [-1], "kindCores": [64], "memoryByKind": [172.0], "spreadMost": [4],
            "spreadOver": ["zone"], "startBonusS": [12.0], "classPriority": [0], "freshOffers": WARM_UP_OFFERS},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.17, "coldMs": WARM_UP_DURATION / MS, "fallMultiple": 4.0,
            "tipAfterMs": OVERLOAD_WINDOW / MS},
        "ordinal": replica_index, "peersTotal": placers, "registryMode": "ask",
        "reporting": {"fields": [], "how": "silent"}, "shapes": ["std"], "zone": 0, "zones": ZONES
    })
}

pub(super) fn setup_id(bytes: &[u8]) -> SetupId {
    SetupId(u64::from_be_bytes(bytes[3..11].try_into().expect("an id")))
}

pub(super) fn setup(sid: u64, task_name: u64, answer_timeout_ms: u64) -> Setup {
    Setup {
        id: SetupId(sid),
        class: "web".into(),
        answer_timeout_ms: Some(answer_timeout_ms as f64),
        task_name: format!("{task_name:016x}"),
        idempotency_key: None,
        cores: 0.5,
        memory: 1.0,
        service: task_name % 400,
        running_on: None,
        is_resubmission: false,
        expected_duration_ms: None,
        description: "text".into(),
    }
}

pub(super) fn list_update(cursor: u64, is_full: bool, entries: &[Value]) -> Value {
    let nodes = json!({"index": cursor, "snapshot": is_full, "endpoints": entries});
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]})
}

pub(super) fn decode_batch(list: &Value) -> CommandBatch {
    command_channel::decode(list.to_string().as_bytes()).expect("a valid batch")
}
