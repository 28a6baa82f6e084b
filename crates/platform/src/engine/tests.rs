//! The engine through its hard cases, with decisions written down by each test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use maplethread::*;
use maplethread_platform_settings::{decode_platform_settings, decode_policy_settings};
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_platform_wire::host::{FromHost, ReportCode};
use maplethread_platform_wire::owner::{DecodeError, FromOwner, Setup};
use serde_json::{Value, json};

use super::*;

mod crossings;
mod host_lists;
mod hosts;
mod owners;
mod requests;

const MS: Micros = 1000;
const T0: Micros = 1_700_000_000_000_000;
const OWNER_A: OwnerId = OwnerId(1);
const OWNER_B: OwnerId = OwnerId(2);

/// Decisions that do what the test says, and keep what they were told.
#[derive(Clone, Default)]
struct ScriptedDecider {
    events: Rc<RefCell<Vec<Event>>>,
    next_actions: Rc<RefCell<Vec<Action>>>,
}

impl Decide for ScriptedDecider {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.events.borrow_mut().extend(events.iter().cloned());
        actions.append(&mut self.next_actions.borrow_mut());
    }
}

fn settings() -> Value {
    json!({
        "allowed": {"connectTimeoutMs": 250.0, "idleCloseMs": 30000.0, "maxAttempts": 3, "mayCancel": true,
            "peers": false, "probes": false, "retryAfter": false, "maxRetryAfterMs": 3000.0},
        "classes": [
            {"aimMs": 600.0, "effect": "pure", "name": "web", "windowMs": 5000.0, "group": "all", "worth": 3.0},
            {"aimMs": 5000.0, "effect": "token", "name": "batch", "windowMs": 5000.0, "group": "zone", "worth": 9.0}],
        "domain": {"ack": "accepted", "admitCores": 1.5, "admitMemory": 1.5, "freeBy": "used", "listsFree": false,
            "kindByClass": [-1, -1], "kindCores": [30], "memoryByKind": [86.0], "spreadMost": [4, 2],
            "spreadOver": ["zone", "silent"], "startBonusS": [12.0, 8.0], "classPriority": [0, 1]},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.17, "coldMs": 15000.0, "fallMultiple": 4.0,
            "tipAfterMs": 3000.0},
        "ordinal": 0, "peersTotal": 3, "registryMode": "ask", "reporting": {"fields": [], "how": "silent"},
        "shapes": ["std"], "zone": 0, "zones": ["east", "west"]
    })
}

struct Harness {
    engine: Engine<ScriptedDecider>,
    decider: ScriptedDecider,
    now: Micros,
    cursor: u64,
}

impl Harness {
    /// An engine that knows host `a` and has heard owners `A` and `B` connect.
    fn new() -> Harness {
        Harness::with(&settings())
    }

    fn with(object: &Value) -> Harness {
        let (decisions, _) = decode_policy_settings(object).expect("sound settings");
        let script = ScriptedDecider::default();
        let terms = decode_platform_settings(object).expect("sound settings");
        let engine = Engine::new(terms, &decisions, script.clone());
        let mut rig = Harness {
            engine,
            decider: script,
            now: T0,
            cursor: 0,
        };
        rig.list("a", "127.0.0.1:1", "active", 0.0);
        rig.engine.owner_connected(T0, OWNER_A);
        rig.engine.owner_connected(T0, OWNER_B);
        rig.turn();
        rig.take_events();
        rig
    }

    fn list(&mut self, name: &str, address: &str, status: &str, since_ms: f64) {
        self.cursor += 1;
        let batch = json!({"cursor": self.cursor, "cmds": [{"cursor": self.cursor, "nodes": {"endpoints": [
            {"name": name, "address": address, "zone": "east", "type": "std", "group": 0, "status": status,
             "since_ms": since_ms}]}}]});
        let batch: CommandBatch =
            command_channel::decode(batch.to_string().as_bytes()).expect("sound");
        self.engine.apply_update(self.now, &batch);
    }

    /// One turn; what the engine wants done.
    fn turn(&mut self) -> Vec<Output> {
        self.engine.turn(self.now);
        self.engine.take_outputs()
    }

    /// Turns at each due time, up to so much later.
    fn advance(&mut self, span: Micros) -> Vec<Output> {
        let (end, mut all) = (self.now + span, Vec::new());
        while let Some(at) = self.engine.next_timeout().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            all.extend(self.turn());
        }
        self.now = end;
        all.extend(self.turn());
        all
    }

    fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.decider.events.borrow_mut())
    }

    fn perform(&mut self, action: Action) -> Vec<Output> {
        self.decider.next_actions.borrow_mut().push(action);
        // Decisions have a turn when something happens; a reminder does.
        self.engine.events.push(Event::TimerFired { label: 0 });
        self.turn()
    }

    fn owner_sends(&mut self, owner: OwnerId, says: FromOwner) -> Vec<Output> {
        self.engine.handle_owner_message(self.now, owner, Ok(says));
        self.turn()
    }

    /// An ask of class `web` becomes task `id`.
    fn request(&mut self, owner: OwnerId, sid: u64) -> TaskId {
        self.owner_sends(owner, FromOwner::Setup(Box::new(setup(sid))));
        let asked = self.take_events().into_iter().find_map(|e| match e {
            Event::PlacementRequested(task) => Some(task.id),
            _ => None,
        });
        asked.expect("it became an ask")
    }

    fn offer(&mut self, task: TaskId, machine: u32) -> Vec<Output> {
        self.perform(Action::Offer {
            task,
            machine: MachineId(machine),
            timeout: 300 * MS,
        })
    }

    /// An offer on a connection that is up, or a new one that comes up; the connection.
    fn offer_and_send(&mut self, task: TaskId, machine: u32) -> ConnectionId {
        let outputs = self.offer(task, machine);
        let up = outputs.iter().find_map(|o| match o {
            Output::SendToHost(link, bytes) if bytes[2] == 1 => Some(*link),
            _ => None,
        });
        if let Some(link) = up {
            return link;
        }
        let link = first_connect(&outputs);
        self.engine.connection_established(self.now, link);
        assert!(sends(&self.turn(), link, 1));
        link
    }

    /// A task that stands on host `a`.
    fn start_task(&mut self, sid: u64) -> (TaskId, ConnectionId) {
        let task = self.request(OWNER_A, sid);
        let link = self.offer_and_send(task, 0);
        let outputs = self.host_sends(link, FromHost::Ready(SetupId(sid), "t".into()));
        assert!(outputs.contains(&Output::SendToOwner(
            OWNER_A,
            ToOwner::Ready(SetupId(sid), "t".into())
        )));
        self.take_events();
        (task, link)
    }

    /// A host falls silent; then its old connection breaks and a new one is made: its process may be another one.
    fn fall_silent_and_reconnect(&mut self, link: ConnectionId) -> ConnectionId {
        let outputs = self.advance(1_700 * MS);
        self.engine
            .connection_lost(self.now, link, DisconnectReason::Broken);
        let up = last_connect(&outputs);
        self.engine.connection_established(self.now, up);
        up
    }

    /// So many times half a second in which a host passes tests and says nothing else.
    fn answer_probes(&mut self, link: ConnectionId, times: usize) {
        for _ in 0..times {
            self.advance(500 * MS);
            self.host_sends(link, FromHost::Probed(true));
        }
    }

    fn host_sends(&mut self, link: ConnectionId, says: FromHost) -> Vec<Output> {
        self.engine.handle_host_message(self.now, link, says);
        self.turn()
    }

    /// How the attempts told of ended.
    fn take_attempt_results(&mut self) -> Vec<(u32, AttemptOutcome, bool)> {
        let told = self.take_events().into_iter();
        told.filter_map(|e| match e {
            Event::AttemptFinished {
                attempt: id,
                result: end,
            } => Some((id.number, end.outcome, end.closes_task)),
            _ => None,
        })
        .collect()
    }
}

fn setup(sid: u64) -> Setup {
    Setup {
        id: SetupId(sid),
        class: "web".into(),
        answer_timeout_ms: Some(6000.0),
        task_name: "k".into(),
        idempotency_key: None,
        cores: 1.0,
        memory: 2.0,
        service: 9,
        running_on: None,
        is_resubmission: false,
        expected_duration_ms: None,
        description: "text".into(),
    }
}

fn first_connect(outputs: &[Output]) -> ConnectionId {
    let mut wanted = outputs.iter().filter_map(|o| match o {
        Output::Connect(link, _) => Some(*link),
        _ => None,
    });
    wanted.next().expect("a connection is wanted")
}

/// Whether a message of this type is sent on a connection.
fn sends(outputs: &[Output], link: ConnectionId, kind: u8) -> bool {
    outputs.iter().any(|o| is_sent(o, link, kind))
}

fn is_sent(output: &Output, link: ConnectionId, kind: u8) -> bool {
    let (Output::SendToHost(l, bytes) | Output::SendToHostImmediately(l, bytes)) = output else {
        return false;
    };
    *l == link && bytes[2] == kind
}

fn messages_to_owners(outputs: &[Output]) -> Vec<(OwnerId, ToOwner)> {
    let told = outputs.iter().filter_map(|o| match o {
        Output::SendToOwner(owner, message) => Some((*owner, message.clone())),
        _ => None,
    });
    told.collect()
}

/// Connections that were wanted, the last first.
fn last_connect(outputs: &[Output]) -> ConnectionId {
    let made = outputs.iter().rev().find_map(|o| match o {
        Output::Connect(link, _) => Some(*link),
        _ => None,
    });
    made.expect("a connection is wanted")
}
