//! A decider that draws hosts at random: the baseline that the module is compared with, behind the same seam. It
//! keeps the five rules by guards of its own, and each of them can be taken away, so that the judge can be shown a
//! placer that breaks it. Each move that a guard would have forbidden is told to the log, so that a day can tell a rogue
//! that had no occasion from one that the judge missed. It is a baseline only.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use maplethread::{
    Action, AttemptId, AttemptOutcome, DeduplicationScope, Event, MachineEntry, MachineId,
    MachineState, Micros, RetrySafety, ServiceId, Settings, SpreadLimit, Task, TaskId,
    TopologyLevel, UpdateScope,
};
use maplethread_engine::Decide;

use crate::seeded_rng::SeededRng;

/// Final answers are given this long before the deadline.
const ANSWER_MARGIN_US: Micros = 15_000;
/// What waits for a host is looked at this often.
const BLOCKED_RETRY_US: Micros = 100_000;
const TICK_LABEL: u64 = 0;
/// A rogue that keeps quiet around pauses takes this for one.
const PAUSE_THRESHOLD_US: Micros = 300_000;
/// The `rogue` that breaks no rule.
const NO_MUTATION: u8 = 0;
/// Log line of a rogue for each of its moves that its own guard forbids.
pub(crate) const RULE_VIOLATION_LOG: &str = "a move against the rule, on purpose";

struct PendingTask {
    task: Task,
    attempts: u32,
    in_flight: bool,
    possibly_started: Option<(Micros, MachineId)>,
    /// Machines that refused it; at most as many as attempts.
    rejected_by: Vec<MachineId>,
}

/// Random choice among the hosts that the rules allow.
pub struct RandomChoice {
    settings: Settings,
    rng: SeededRng,
    now: Micros,
    machines: BTreeMap<MachineId, MachineEntry>,
    disconnected: BTreeSet<MachineId>,
    has_replica_index: bool,
    recent_offers: BTreeMap<MachineId, VecDeque<Micros>>,
    /// Attempts and running tasks, by service and machine.
    placements: BTreeMap<ServiceId, BTreeMap<MachineId, u32>>,
    pending: BTreeMap<TaskId, PendingTask>,
    attempts: BTreeMap<AttemptId, (Task, MachineId, Micros)>,
    ready: VecDeque<TaskId>,
    blocked: VecDeque<TaskId>,
    is_tick_set: bool,
    mutant: u8,
    request_count: u64,
}

impl RandomChoice {
    /// Keeps all rules but the one named by `rogue` (1 to 5; 6 for rule 1 around pauses only; 0 for none).
    pub fn new(settings: Settings, seed: u64, mutant: u8) -> RandomChoice {
        RandomChoice {
            settings,
            rng: SeededRng::new(seed, 77),
            now: 0,
            machines: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            has_replica_index: true,
            recent_offers: BTreeMap::new(),
            placements: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            ready: VecDeque::new(),
            blocked: VecDeque::new(),
            is_tick_set: false,
            mutant,
            request_count: 0,
        }
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, machines } => {
                if *scope != UpdateScope::Delta {
                    self.machines.clear();
                }
                self.machines
                    .extend(machines.iter().map(|m| (m.machine, *m)));
            }
            Event::ConnectionChanged {
                machine,
                is_connected: up,
            } => {
                if *up {
                    self.disconnected.remove(machine);
                } else {
                    self.disconnected.insert(*machine);
                }
            }
            Event::ReplicaIndexChanged(number) => self.has_replica_index = number.is_some(),
            Event::PlacementRequested(task) => {
                self.request_count += 1;
                if self.mutant == 1 && self.request_count.is_multiple_of(7) {
                    self.log_violation();
                    return;
                }
                let open = PendingTask {
                    task: *task,
                    attempts: 0,
                    in_flight: false,
                    possibly_started: None,
                    rejected_by: Vec::new(),
                };
                self.pending.insert(task.id, open);
                let last = task.deadline.saturating_sub(ANSWER_MARGIN_US);
                actions.push(Action::SetTimer {
                    after: last.saturating_sub(self.now),
                    label: task.id.0 + 1,
                });
                self.ready.push_back(task.id);
            }
            Event::TaskAdopted { task, machine } => {
                self.record_attempt(
                    AttemptId {
                        task: task.id,
                        number: 0,
                    },
                    *task,
                    *machine,
                );
            }
            Event::AttemptAccepted { attempt: id, .. } => drop(self.pending.remove(&id.task)),
            Event::AttemptFinished {
                attempt: id,
                result: end,
            } => {
                let Some((task, machine, sent)) = self.attempts.remove(id) else {
                    return;
                };
                let there = self
                    .placements
                    .get_mut(&task.service)
                    .and_then(|there| there.get_mut(&machine));
                there.into_iter().for_each(|count| *count -= 1);
                let Some(open) = self.pending.get_mut(&id.task) else {
                    return;
                };
                open.in_flight = false;
                if !matches!(
                    end.outcome,
                    AttemptOutcome::Rejected
                        | AttemptOutcome::ConnectFailed
                        | AttemptOutcome::NeverSent
                ) {
                    open.possibly_started = open.possibly_started.or(Some((sent, machine)));
                }
                // What refused a moment ago is likely to do so again.
                if end.outcome == AttemptOutcome::Rejected {
                    open.rejected_by.push(machine);
                    self.blocked.push_back(id.task)
                } else {
                    self.ready.push_back(id.task)
                }
            }
            Event::ClientDisconnected(task) => drop(self.pending.remove(task)),
            Event::TimerFired { label: TICK_LABEL } => self.is_tick_set = false,
            Event::TimerFired { label } => {
                let id = TaskId(label - 1);
                if self
                    .pending
                    .get(&id)
                    .is_some_and(|o| o.task.deadline <= self.now + ANSWER_MARGIN_US)
                {
                    self.send_final_answer(id, actions);
                }
            }
            _ => {}
        }
    }

    fn record_attempt(&mut self, id: AttemptId, task: Task, machine: MachineId) {
        if self
            .attempts
            .insert(id, (task, machine, self.now))
            .is_none()
        {
            *self
                .placements
                .entry(task.service)
                .or_default()
                .entry(machine)
                .or_default() += 1;
        }
    }

    fn send_final_answer(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.remove(&id) else {
            return;
        };
        let harmless = match self.settings.classes[open.task.class].retry_safety {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => !open.in_flight && open.possibly_started.is_none(),
        };
        actions.push(if harmless {
            Action::Reject {
                task: id,
                retry_after: None,
            }
        } else {
            Action::Fail(id)
        });
    }

    fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&id) else {
            return;
        };
        let task = open.task;
        let class = &self.settings.classes[task.class];
        if open.in_flight || task.deadline <= self.now + ANSWER_MARGIN_US {
            return;
        }
        if !self.may_repeat(open, self.mutant) || open.attempts >= self.settings.limits.max_attempts
        {
            self.send_final_answer(id, actions);
            return;
        }
        let allowed: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| self.is_allowed(m, open, self.mutant))
            .map(|m| m.machine)
            .collect();
        if allowed.is_empty() {
            self.blocked.push_back(id);
            return;
        }
        let machine = match self.mutant {
            // Cold hosts first.
            4 if allowed.iter().any(|id| self.is_warming_up(id)) => {
                let cold: Vec<MachineId> = allowed
                    .iter()
                    .copied()
                    .filter(|id| self.is_warming_up(id))
                    .collect();
                cold[self.rng.index_below(cold.len())]
            }
            // Where most of the service is, of those that may take it: one place is full as soon as can be.
            5 => {
                let willing: Vec<MachineId> = allowed
                    .iter()
                    .copied()
                    .filter(|id| !open.rejected_by.contains(id))
                    .collect();
                let from = if willing.is_empty() {
                    &allowed
                } else {
                    &willing
                };
                let crowded = self.most_loaded(from, class.spread_limit, task.service);
                crowded[self.rng.index_below(crowded.len())]
            }
            _ => allowed[self.rng.index_below(allowed.len())],
        };
        if !self.is_allowed_by_all_rules(machine, open) {
            self.log_violation();
        }
        let number = open.attempts;
        // Giving up before a host can have answered makes for attempts that may have run.
        let patience = if self.mutant == 2 {
            3_000
        } else {
            class.latency_objective
        };
        let wait = patience.min(task.deadline - self.now);
        actions.push(Action::Offer {
            task: id,
            machine,
            timeout: wait,
        });
        self.record_attempt(AttemptId { task: id, number }, task, machine);
        if let Some(open) = self.pending.get_mut(&id) {
            (open.attempts, open.in_flight) = (number + 1, true);
        }
        let sends = self.recent_offers.entry(machine).or_default();
        sends.push_back(self.now);
        let window = self.settings.rules.overload_window;
        while sends.front().is_some_and(|&at| at + window < self.now) {
            sends.pop_front();
        }
    }

    fn log_violation(&self) {
        tracing::info!(rogue = self.mutant, "{RULE_VIOLATION_LOG}");
    }

    /// Whether all guards allow an offer of this task to this machine.
    fn is_allowed_by_all_rules(&self, machine: MachineId, open: &PendingTask) -> bool {
        let allowed = self
            .machines
            .get(&machine)
            .is_some_and(|m| self.is_allowed(m, open, NO_MUTATION));
        allowed && self.may_repeat(open, NO_MUTATION)
    }

    /// The machines in whose place most of the service is.
    fn most_loaded(
        &self,
        machines: &[MachineId],
        spread: Option<SpreadLimit>,
        service: ServiceId,
    ) -> Vec<MachineId> {
        let count = |machine: &MachineId| {
            let listing = self.machines.get(machine);
            spread
                .zip(listing)
                .map_or(0, |(limit, at)| self.task_count(limit.level, at, service))
        };
        let counts: Vec<u32> = machines.iter().map(count).collect();
        let most = counts.iter().copied().max().unwrap_or(0);
        machines
            .iter()
            .zip(&counts)
            .filter(|(_, count)| **count == most)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether what may have run may be sent once more, for one that breaks the rule `rogue`.
    fn may_repeat(&self, open: &PendingTask, rogue: u8) -> bool {
        match (
            open.possibly_started,
            self.settings.classes[open.task.class].retry_safety,
        ) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some((sent, _)), RetrySafety::IdempotencyKey { window, .. }) => {
                self.now + ANSWER_MARGIN_US < sent + window || rogue == 2
            }
            (Some(_), RetrySafety::NonIdempotent) => rogue == 2,
        }
    }

    /// Whether the guards of the host allow an offer, for one that breaks the rule `rogue`.
    fn is_allowed(&self, machine: &MachineEntry, open: &PendingTask, rogue: u8) -> bool {
        let class = &self.settings.classes[open.task.class];
        let state = machine.state == MachineState::Ready || rogue == 3;
        let state = state && !self.disconnected.contains(&machine.machine);
        if !state || class.machine_kind.is_some_and(|kind| kind != machine.kind) {
            return false;
        }
        if let (Some((_, first)), RetrySafety::IdempotencyKey { scope: group, .. }, true) =
            (open.possibly_started, class.retry_safety, rogue != 2)
        {
            let first = self.machines.get(&first);
            let same = match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.is_some_and(|f| f.zone == machine.zone),
                DeduplicationScope::Cell => first.is_some_and(|f| f.cell == machine.cell),
            };
            if !same {
                return false;
            }
        }
        let spread = class.spread_limit.filter(|_| rogue != 5);
        if spread.is_some_and(|limit| {
            self.task_count(limit.level, machine, open.task.service) >= limit.max_tasks
        }) {
            return false;
        }
        let rules = &self.settings.rules;
        if self.is_warming_up(&machine.machine) && rogue != 4 {
            let part =
                (rules.warm_up_offers * 0.9 / f64::from(self.settings.replica_count)) as usize;
            let sends = self.recent_offers.get(&machine.machine);
            let lately = sends.map_or(0, |s| {
                s.iter()
                    .filter(|&&at| at + rules.overload_window >= self.now)
                    .count()
            });
            return lately < part && self.has_replica_index;
        }
        true
    }

    fn is_warming_up(&self, id: &MachineId) -> bool {
        let started = self.machines.get(id).and_then(|m| m.started_at);
        started.is_some_and(|start| start + self.settings.rules.warm_up_duration > self.now)
    }

    fn task_count(&self, place: TopologyLevel, at: &MachineEntry, service: ServiceId) -> u32 {
        let there = |id: &MachineId| {
            self.machines.get(id).is_some_and(|m| match place {
                TopologyLevel::Machine => m.machine == at.machine,
                TopologyLevel::Cell => m.cell == at.cell,
                TopologyLevel::Zone => m.zone == at.zone,
            })
        };
        let held = self.placements.get(&service).into_iter().flatten();
        held.map(|(id, count)| if there(id) { *count } else { 0 })
            .sum()
    }
}

impl Decide for RandomChoice {
    fn allows_deadline_answers(&self) -> bool {
        !matches!(self.mutant, 1 | 6)
    }

    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let quiet = self.mutant == 6 && now > self.now + PAUSE_THRESHOLD_US;
        self.now = self.now.max(now);
        for event in events {
            self.handle_event(event, actions);
        }
        if quiet {
            // What was open when it stood still, and what came meanwhile, is kept quiet about.
            self.pending.values().for_each(|_| self.log_violation());
            self.pending.clear();
        }
        if !self.is_tick_set {
            self.ready.extend(self.blocked.drain(..));
        }
        while let Some(id) = self.ready.pop_front() {
            self.place(id, actions);
        }
        // One that takes long times without a turn for pauses needs turns all the time.
        if (self.mutant == 6 || !self.blocked.is_empty()) && !self.is_tick_set {
            self.is_tick_set = true;
            actions.push(Action::SetTimer {
                after: BLOCKED_RETRY_US,
                label: TICK_LABEL,
            });
        }
    }
}
