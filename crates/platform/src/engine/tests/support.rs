//! A harness for an engine with a scripted policy, and constructors of messages.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use maplethread::{Action, AttemptOutcome, Event, MachineId, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_settings::{decode_platform_settings, decode_policy_settings};
use maplethread_platform_wire::command_channel::{self, CommandBatch};
use maplethread_platform_wire::host::{FromHost, ReportCode};
use maplethread_platform_wire::owner::{FromOwner, Setup, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};
use serde_json::{Value, json};

use crate::engine::{ConnectionId, DisconnectReason, Engine, Output, OwnerConnectionEnd, OwnerId};

pub(super) const MS: Micros = 1000;
pub(super) const OWNER_A: OwnerId = OwnerId(1);
pub(super) const OWNER_B: OwnerId = OwnerId(2);
pub(super) const ADDRESS_A: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
pub(super) const ADDRESS_B: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
const START: Micros = 1_700_000_000_000_000;

/// Message types for hosts: the byte after the length field.
pub(super) mod kind {
    pub(crate) const OPEN: u8 = 1;
    pub(crate) const CLOSE: u8 = 12;
    pub(crate) const PROBE: u8 = 52;
}

/// A policy that returns the actions scripted by the test and records the events passed to it.
#[derive(Clone, Default)]
pub(super) struct ScriptedPolicy {
    pub(super) events: Rc<RefCell<Vec<Event>>>,
    pub(super) next_actions: Rc<RefCell<Vec<Action>>>,
}

impl Decide for ScriptedPolicy {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.events.borrow_mut().extend(events.iter().cloned());
        actions.append(&mut self.next_actions.borrow_mut());
    }
}

pub(super) fn settings() -> Value {
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

/// An engine under simulated time.
pub(super) struct Harness {
    pub(super) engine: Engine<ScriptedPolicy>,
    pub(super) policy: ScriptedPolicy,
    pub(super) now: Micros,
    cursor: u64,
}

impl Harness {
    /// An engine with host `a` listed and owners `A` and `B` connected.
    pub(super) fn new() -> Harness {
        Harness::with_settings(&settings())
    }

    pub(super) fn with_settings(settings: &Value) -> Harness {
        let (policy_settings, _) = decode_policy_settings(settings).expect("valid settings");
        let platform_settings = decode_platform_settings(settings).expect("valid settings");
        let policy = ScriptedPolicy::default();
        let engine = Engine::new(platform_settings, &policy_settings, policy.clone());
        let mut harness = Harness {
            engine,
            policy,
            now: START,
            cursor: 0,
        };
        harness.list_host("a", "127.0.0.1:1", "active", 0.0);
        harness.connect_owner(OWNER_A, ADDRESS_A);
        harness.connect_owner(OWNER_B, ADDRESS_B);
        harness.turn();
        harness.take_events();
        harness
    }

    /// Applies an update of the host list with one entry.
    pub(super) fn list_host(&mut self, name: &str, address: &str, status: &str, since_ms: f64) {
        self.cursor += 1;
        let batch = json!({"cursor": self.cursor, "cmds": [{"cursor": self.cursor, "nodes": {"endpoints": [
            {"name": name, "address": address, "zone": "east", "type": "std", "group": 0, "status": status,
             "since_ms": since_ms}]}}]});
        let batch: CommandBatch =
            command_channel::decode(batch.to_string().as_bytes()).expect("a valid batch");
        self.engine.apply_commands(self.now, &batch);
    }

    /// Performs one turn and returns its outputs.
    pub(super) fn turn(&mut self) -> Vec<Output> {
        self.engine.turn(self.now);
        self.engine.take_outputs()
    }

    /// Advances time, with a turn whenever one is due, and returns all outputs.
    pub(super) fn advance(&mut self, span: Micros) -> Vec<Output> {
        let end = self.now + span;
        let mut outputs = Vec::new();
        while let Some(at) = self.engine.next_timeout().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            outputs.extend(self.turn());
        }
        self.now = end;
        outputs.extend(self.turn());
        outputs
    }

    /// The events passed to the policy since the last call.
    pub(super) fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.policy.events.borrow_mut())
    }

    /// The results of the attempts that ended since the last call: number, outcome, and whether the task is closed.
    pub(super) fn take_attempt_results(&mut self) -> Vec<(u32, AttemptOutcome, bool)> {
        self.take_events()
            .into_iter()
            .filter_map(|event| match event {
                Event::AttemptFinished { attempt, result } => {
                    Some((attempt.number, result.outcome, result.closes_task))
                }
                _ => None,
            })
            .collect()
    }

    /// Performs an action of the policy in a turn and returns the outputs.
    pub(super) fn perform(&mut self, action: Action) -> Vec<Output> {
        self.policy.next_actions.borrow_mut().push(action);
        self.wake_policy();
        self.turn()
    }

    /// Scripts an offer of a task to a machine for the policy's next turn.
    pub(super) fn schedule_offer(&mut self, task: TaskId, machine: u32, timeout: Micros) {
        self.policy.next_actions.borrow_mut().push(Action::Offer {
            task,
            machine: MachineId(machine),
            timeout,
        });
    }

    /// Connects an owner from an address.
    pub(super) fn connect_owner(&mut self, owner: OwnerId, address: IpAddr) {
        self.engine.owner_connected(self.now, owner, address);
    }

    /// An owner closes its connection and has read everything.
    pub(super) fn disconnect_owner(&mut self, owner: OwnerId) {
        self.engine
            .owner_disconnected(self.now, owner, OwnerConnectionEnd::Orderly);
    }

    /// Ends the owner's side of a connection.
    pub(super) fn half_close_owner(&mut self, owner: OwnerId) {
        self.engine.owner_half_closed(owner);
    }

    /// Reports a connection to a host as established.
    pub(super) fn establish(&mut self, connection: ConnectionId) {
        self.engine.connection_established(self.now, connection);
    }

    /// Reports a connection to a host as lost.
    pub(super) fn lose_connection(&mut self, connection: ConnectionId, reason: DisconnectReason) {
        self.engine.connection_lost(self.now, connection, reason);
    }

    /// Queues an event, without which the policy gets no turn.
    pub(super) fn wake_policy(&mut self) {
        self.engine
            .policy_events
            .push(Event::TimerFired { label: 0 });
    }

    /// Handles a message from an owner in a turn and returns the outputs.
    pub(super) fn owner_sends(&mut self, owner: OwnerId, message: FromOwner) -> Vec<Output> {
        self.engine
            .handle_owner_message(self.now, owner, Ok(message));
        self.turn()
    }

    /// Handles a message from a host in a turn and returns the outputs.
    pub(super) fn host_sends(
        &mut self,
        connection: ConnectionId,
        message: FromHost,
    ) -> Vec<Output> {
        self.engine
            .handle_host_message(self.now, connection, message);
        self.turn()
    }

    /// Handles an owner's request of class `web` and returns the id of the task that is passed to the policy.
    pub(super) fn request(&mut self, owner: OwnerId, id: u64) -> TaskId {
        self.request_with_outputs(owner, setup(id)).0
    }

    /// Handles an owner's request and returns the id of the task that is passed to the policy, and the outputs.
    pub(super) fn request_with_outputs(
        &mut self,
        owner: OwnerId,
        setup: Setup,
    ) -> (TaskId, Vec<Output>) {
        let outputs = self.owner_sends(owner, request(setup));
        let requested = self
            .take_events()
            .into_iter()
            .find_map(|event| match event {
                Event::PlacementRequested(task) => Some(task.id),
                _ => None,
            });
        (requested.expect("an admitted request"), outputs)
    }

    /// Offers a task to a machine and returns the outputs.
    pub(super) fn offer(&mut self, task: TaskId, machine: u32) -> Vec<Output> {
        self.perform(Action::Offer {
            task,
            machine: MachineId(machine),
            timeout: 300 * MS,
        })
    }

    /// Offers a task and returns the connection on which the set-up was sent. A new connection is established.
    pub(super) fn offer_and_send(&mut self, task: TaskId, machine: u32) -> ConnectionId {
        let outputs = self.offer(task, machine);
        let sent_on = outputs.iter().find_map(|output| match output {
            Output::SendToHost(connection, bytes) if bytes[2] == kind::OPEN => Some(*connection),
            _ => None,
        });
        if let Some(connection) = sent_on {
            return connection;
        }
        let connection = first_connect(&outputs);
        self.establish(connection);
        assert!(sends(&self.turn(), connection, kind::OPEN));
        connection
    }

    /// Places a task of owner `A` on host `a`.
    pub(super) fn start_task(&mut self, id: u64) -> (TaskId, ConnectionId) {
        let task = self.request(OWNER_A, id);
        let connection = self.offer_and_send(task, 0);
        let outputs = self.host_sends(connection, host_ready(id, "t"));
        assert!(outputs.contains(&Output::SendToOwner(OWNER_A, ready(id, "t"))));
        self.take_events();
        (task, connection)
    }

    /// A host stops responding, then its old connection breaks and a new one is established, so that its process may have
    /// been replaced. Returns the new connection.
    pub(super) fn become_unreachable_and_reconnect(
        &mut self,
        connection: ConnectionId,
    ) -> ConnectionId {
        let outputs = self.advance(1_700 * MS);
        self.lose_connection(connection, DisconnectReason::Broken);
        let next = last_connect(&outputs);
        self.establish(next);
        next
    }

    /// The connection of an owner that is closed first, also one with running tasks if `includes_running` is set.
    pub(super) fn first_to_close(&self, includes_running: bool) -> Option<OwnerId> {
        let owners = self.engine.lowest_priority_owners(includes_running, 1);
        owners.first().copied()
    }

    /// Every 0.5 s, `times` times, a host answers a probe; it sends nothing else.
    pub(super) fn answer_probes(&mut self, connection: ConnectionId, times: usize) {
        for _ in 0..times {
            self.advance(500 * MS);
            self.host_sends(connection, FromHost::Probed { is_healthy: true });
        }
    }
}

pub(super) fn setup(id: u64) -> Setup {
    Setup {
        id: SetupId(id),
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

/// The set-up with which an owner hands over a running task.
pub(super) fn running_setup(id: u64, host: &str) -> Setup {
    Setup {
        running_on: Some(host.into()),
        answer_timeout_ms: None,
        ..setup(id)
    }
}

pub(super) fn request(setup: Setup) -> FromOwner {
    FromOwner::Setup(Box::new(setup))
}

pub(super) fn owner_close(id: u64, cause: Cause) -> FromOwner {
    let id = SetupId(id);
    FromOwner::Close { id, cause }
}

pub(super) fn host_ready(id: u64, description: &str) -> FromHost {
    FromHost::Ready {
        id: SetupId(id),
        description: description.into(),
    }
}

pub(super) fn host_close(id: u64, cause: Cause) -> FromHost {
    FromHost::Close {
        id: SetupId(id),
        cause,
        code: None,
    }
}

pub(super) fn host_close_with(id: u64, cause: Cause, code: ReportCode) -> FromHost {
    FromHost::Close {
        id: SetupId(id),
        cause,
        code: Some(code),
    }
}

pub(super) fn host_report(id: u64, code: ReportCode, value: f64) -> FromHost {
    let id = SetupId(id);
    FromHost::Report { id, code, value }
}

pub(super) fn ready(id: u64, description: &str) -> ToOwner {
    ToOwner::Ready {
        id: SetupId(id),
        description: description.into(),
    }
}

pub(super) fn close(id: u64, cause: Cause) -> ToOwner {
    let id = SetupId(id);
    ToOwner::Close { id, cause }
}

pub(super) fn relocate(id: u64) -> ToOwner {
    ToOwner::Relocate { id: SetupId(id) }
}

/// The connections that the outputs open, in order.
pub(super) fn connects(outputs: &[Output]) -> impl DoubleEndedIterator<Item = ConnectionId> + '_ {
    outputs.iter().filter_map(|output| match output {
        Output::Connect(connection, _) => Some(*connection),
        _ => None,
    })
}

pub(super) fn first_connect(outputs: &[Output]) -> ConnectionId {
    connects(outputs).next().expect("a connection is opened")
}

pub(super) fn last_connect(outputs: &[Output]) -> ConnectionId {
    connects(outputs)
        .next_back()
        .expect("a connection is opened")
}

/// Whether any output sends a message of this type on a connection.
pub(super) fn sends(outputs: &[Output], connection: ConnectionId, kind: u8) -> bool {
    outputs
        .iter()
        .any(|output| is_sent(output, connection, kind))
}

/// Whether the output sends a message of this type on a connection.
pub(super) fn is_sent(output: &Output, connection: ConnectionId, kind: u8) -> bool {
    let (Output::SendToHost(sent_on, bytes) | Output::SendToHostImmediately(sent_on, bytes)) =
        output
    else {
        return false;
    };
    *sent_on == connection && bytes[2] == kind
}

/// The messages to owners, in order.
pub(super) fn messages_to_owners(outputs: &[Output]) -> Vec<(OwnerId, ToOwner)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::SendToOwner(owner, message) => Some((*owner, message.clone())),
            _ => None,
        })
        .collect()
}
