//! A harness for a placer under test, with default settings and helpers for events and actions.
#![allow(dead_code, reason = "each test file uses a part")]

use maplethread::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        retry_safety,
        latency_objective: 600_000,
        priority_weight: 1.0,
        start_bonus_s: 10.0,
        priority: 0,
        machine_kind: None,
        spread_limit: None,
    }
}

pub fn settings(retry_safety: RetrySafety) -> Settings {
    Settings {
        replica_count: 1,
        replica_index: 0,
        zone: 0,
        classes: vec![class(retry_safety)],
        machine_kinds: vec![Resources::new(32.0, 96.0)],
        discovery: DiscoveryMode::Watch,
        acceptance_point: AcceptancePoint::Accepted,
        cpu_overcommit: 1.5,
        memory_overcommit: 1.5,
        endpoints_report_capacity: false,
        load_report_content: LoadReportContent::Nothing,
        limits: CallerLimits {
            max_attempts: 3,
            can_cancel: true,
            can_probe: false,
            can_message_peers: false,
            max_retry_after: None,
        },
        rules: Rules {
            max_poll_interval: 10 * SECOND,
            initial_capacity_share: 0.2,
            warm_up_duration: 15 * SECOND,
            overload_multiple: 4.0,
            overload_window: 3 * SECOND,
            warm_up_offers_per_window: 20.0,
        },
        costs: Costs::default(),
    }
}

pub fn machine(n: u32) -> MachineEntry {
    MachineEntry {
        machine: MachineId(n),
        stable_hash: u64::from(n).wrapping_mul(0x1234_5678_9abc_def1) ^ 0x55,
        zone: 0,
        cell: 0,
        kind: 0,
        state: MachineState::Ready,
        started_at: None,
        unallocated: None,
    }
}

pub fn task(n: u64, service: u64, deadline: Micros) -> Task {
    Task {
        id: TaskId(n),
        service: ServiceId(service),
        class: 0,
        requested: Resources::new(1.0, 2.0),
        expected_duration: None,
        deadline,
        is_resubmission: false,
    }
}

pub fn attempt_id(task: u64, number: u32) -> AttemptId {
    AttemptId {
        task: TaskId(task),
        number,
    }
}

pub fn finished(
    task: u64,
    number: u32,
    outcome: AttemptOutcome,
    reason: Option<FailureReason>,
) -> Event {
    let result = AttemptResult {
        outcome,
        reason,
        closes_task: false,
        load: None,
    };
    Event::AttemptFinished {
        attempt: attempt_id(task, number),
        result,
    }
}

pub struct Harness {
    pub placer: Placer,
    pub now: Micros,
}

impl Harness {
    /// Creates a placer with this many machines, from a full endpoint list at time 1 s.
    pub fn new(settings: Settings, machines: u32) -> Harness {
        let placer = Placer::new(settings, 11).expect("valid settings");
        let mut harness = Harness {
            placer,
            now: SECOND,
        };
        harness.update_endpoints(UpdateScope::Full, (0..machines).map(machine).collect());
        harness
    }

    pub fn update_endpoints(
        &mut self,
        scope: UpdateScope,
        machines: Vec<MachineEntry>,
    ) -> Vec<Action> {
        self.turn(&[Event::EndpointsUpdated { scope, machines }])
    }

    pub fn turn(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.placer.turn(self.now, events, &mut actions);
        actions
    }

    /// Runs a turn every 10 ms until `at`. In each turn the timers with these labels fire.
    pub fn advance_until(&mut self, at: Micros, labels: &[u64]) -> Vec<Action> {
        let mut all = Vec::new();
        let timers: Vec<Event> = labels
            .iter()
            .map(|&label| Event::TimerFired { label })
            .collect();
        while self.now < at {
            self.now += 10_000;
            all.extend(self.turn(&timers));
        }
        all
    }

    /// Requests a placement, and returns the machine that the task was offered to.
    pub fn request(&mut self, task: Task) -> Option<u32> {
        offered_machine(&self.turn(&[Event::PlacementRequested(task)]))
    }

    /// Requests a placement that is accepted and starts after `start_duration`; returns the machine.
    pub fn request_and_start(&mut self, task: Task, start_duration: Micros) -> u32 {
        let machine = self.request(task).expect("an offer");
        let id = attempt_id(task.id.0, 0);
        self.turn(&[Event::AttemptAccepted {
            attempt: id,
            elapsed: None,
        }]);
        self.now += start_duration;
        self.turn(&[Event::TaskReported {
            attempt: id,
            report: TaskReport::Started,
        }]);
        machine
    }
}

pub fn offered_machine(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Offer { machine, .. } => Some(machine.0),
        _ => None,
    })
}

/// The timeout of the first offer among the actions.
pub fn offer_timeout(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| match a {
        Action::Offer {
            timeout: timeout_us,
            ..
        } => Some(*timeout_us),
        _ => None,
    })
}

pub fn final_answers(actions: &[Action]) -> Vec<Action> {
    let is_final_answer = |a: &&Action| matches!(a, Action::Reject { .. } | Action::Fail(_));
    actions.iter().filter(is_final_answer).cloned().collect()
}
