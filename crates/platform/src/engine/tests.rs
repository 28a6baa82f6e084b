//! The engine through its hard cases, with decisions written down by each test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use maplethread::*;
use maplethread_platform_settings::{decode_policy_settings, terms};
use maplethread_platform_wire::channel::{self, Batch};
use maplethread_platform_wire::host::{FromHost, Told};
use maplethread_platform_wire::owner::{Fault, FromOwner, SetUp};
use serde_json::{Value, json};

use super::*;

mod asks;
mod crossings;
mod hosts;
mod lists;
mod owners;

const MS: Micros = 1000;
const T0: Micros = 1_700_000_000_000_000;
const A: OwnerId = OwnerId(1);
const B: OwnerId = OwnerId(2);

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
        let terms = terms(object).expect("sound settings");
        let engine = Engine::new(terms, &decisions, script.clone());
        let mut rig = Harness {
            engine,
            decider: script,
            now: T0,
            cursor: 0,
        };
        rig.list("a", "127.0.0.1:1", "active", 0.0);
        rig.engine.owner_opened(T0, A);
        rig.engine.owner_opened(T0, B);
        rig.turn();
        rig.take_events();
        rig
    }

    fn list(&mut self, name: &str, address: &str, status: &str, since_ms: f64) {
        self.cursor += 1;
        let batch = json!({"cursor": self.cursor, "cmds": [{"cursor": self.cursor, "nodes": {"endpoints": [
            {"name": name, "address": address, "zone": "east", "type": "std", "group": 0, "status": status,
             "since_ms": since_ms}]}}]});
        let batch: Batch = channel::read(batch.to_string().as_bytes()).expect("sound");
        self.engine.apply_update(self.now, &batch);
    }

    /// One turn; what the engine wants done.
    fn turn(&mut self) -> Vec<Output> {
        self.engine.turn(self.now);
        self.engine.outputs()
    }

    /// Turns at each due time, up to so much later.
    fn pass(&mut self, span: Micros) -> Vec<Output> {
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

    fn act(&mut self, action: Action) -> Vec<Output> {
        self.decider.next_actions.borrow_mut().push(action);
        // Decisions have a turn when something happens; a reminder does.
        self.engine.events.push(Event::TimerFired { label: 0 });
        self.turn()
    }

    fn says(&mut self, owner: OwnerId, says: FromOwner) -> Vec<Output> {
        self.engine.owner_says(self.now, owner, Ok(says));
        self.turn()
    }

    /// An ask of class `web` becomes task `id`.
    fn ask(&mut self, owner: OwnerId, sid: u64) -> TaskId {
        self.says(owner, FromOwner::SetUp(Box::new(set_up(sid))));
        let asked = self.take_events().into_iter().find_map(|e| match e {
            Event::PlacementRequested(task) => Some(task.id),
            _ => None,
        });
        asked.expect("it became an ask")
    }

    fn offer(&mut self, task: TaskId, machine: u32) -> Vec<Output> {
        self.act(Action::Offer {
            task,
            machine: MachineId(machine),
            timeout: 300 * MS,
        })
    }

    /// An offer on a connection that is up, or a new one that comes up; the connection.
    fn offered(&mut self, task: TaskId, machine: u32) -> LinkId {
        let outputs = self.offer(task, machine);
        let up = outputs.iter().find_map(|o| match o {
            Output::ToHost(link, bytes) if bytes[2] == 1 => Some(*link),
            _ => None,
        });
        if let Some(link) = up {
            return link;
        }
        let link = connect(&outputs);
        self.engine.link_up(self.now, link);
        assert!(sends(&self.turn(), link, 1));
        link
    }

    /// A task that stands on host `a`.
    fn stand(&mut self, sid: u64) -> (TaskId, LinkId) {
        let task = self.ask(A, sid);
        let link = self.offered(task, 0);
        let outputs = self.host(link, FromHost::Ready(Sid(sid), "t".into()));
        assert!(outputs.contains(&Output::ToOwner(A, ToOwner::Ready(Sid(sid), "t".into()))));
        self.take_events();
        (task, link)
    }

    /// A host falls silent; then its old connection breaks and a new one is made: its process may be another one.
    fn comes_back(&mut self, link: LinkId) -> LinkId {
        let outputs = self.pass(1_700 * MS);
        self.engine.link_lost(self.now, link, Loss::Broken);
        let up = last_connect(&outputs);
        self.engine.link_up(self.now, up);
        up
    }

    /// So many times half a second in which a host passes tests and says nothing else.
    fn passes_tests(&mut self, link: LinkId, times: usize) {
        for _ in 0..times {
            self.pass(500 * MS);
            self.host(link, FromHost::Probed(true));
        }
    }

    fn host(&mut self, link: LinkId, says: FromHost) -> Vec<Output> {
        self.engine.host_says(self.now, link, says);
        self.turn()
    }

    /// How the attempts told of ended.
    fn endings(&mut self) -> Vec<(u32, AttemptOutcome, bool)> {
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

fn set_up(sid: u64) -> SetUp {
    SetUp {
        sid: Sid(sid),
        class: "web".into(),
        left_ms: Some(6000.0),
        key: "k".into(),
        idem: None,
        cores: 1.0,
        memory: 2.0,
        service: 9,
        at: None,
        again: false,
        life_ms: None,
        text: "text".into(),
    }
}

fn connect(outputs: &[Output]) -> LinkId {
    let mut wanted = outputs.iter().filter_map(|o| match o {
        Output::Connect(link, _) => Some(*link),
        _ => None,
    });
    wanted.next().expect("a connection is wanted")
}

/// Whether a message of this type is sent on a connection.
fn sends(outputs: &[Output], link: LinkId, kind: u8) -> bool {
    outputs.iter().any(|o| is_sent(o, link, kind))
}

fn is_sent(output: &Output, link: LinkId, kind: u8) -> bool {
    let (Output::ToHost(l, bytes) | Output::SendToHostImmediately(l, bytes)) = output else {
        return false;
    };
    *l == link && bytes[2] == kind
}

fn to_owners(outputs: &[Output]) -> Vec<(OwnerId, ToOwner)> {
    let told = outputs.iter().filter_map(|o| match o {
        Output::ToOwner(owner, message) => Some((*owner, message.clone())),
        _ => None,
    });
    told.collect()
}

/// Connections that were wanted, the last first.
fn last_connect(outputs: &[Output]) -> LinkId {
    let made = outputs.iter().rev().find_map(|o| match o {
        Output::Connect(link, _) => Some(*link),
        _ => None,
    });
    made.expect("a connection is wanted")
}
