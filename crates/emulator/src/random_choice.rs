//! A decider that chooses hosts at random: the baseline for the policy, behind the same interface, and not meant for
//! production. It keeps the five rules by guards of its own. Each guard can be disabled (a mutant), to test that the
//! checker detects the violations. Each action that a disabled guard would have prevented is logged, so that a mutant
//! without an opportunity can be told from one that the checker missed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use maplethread::{
    Action, AttemptId, AttemptOutcome, DeduplicationScope, Event, MachineEntry, MachineId,
    MachineState, Micros, RetrySafety, ServiceId, Settings, SpreadLimit, TICK_TIMER_LABEL, Task,
    TaskId, TopologyLevel, UpdateScope,
};
use maplethread_engine::Decide;

use crate::seeded_rng::SeededRng;

/// Final answers are given this long before the deadline, µs.
const ANSWER_MARGIN_US: Micros = 15_000;
/// Blocked tasks are retried this often, µs.
const BLOCKED_RETRY_US: Micros = 100_000;
/// Mutant 6 takes a longer time than this between two turns for a pause, µs.
const PAUSE_THRESHOLD_US: Micros = 300_000;
/// The number of the decider that violates no rule.
const NO_MUTATION: u8 = 0;
/// Log line of a mutant for each of its actions that the disabled guard would have prevented.
pub(crate) const RULE_VIOLATION_LOG: &str = "deliberate violation of a placement rule";

struct PendingTask {
    task: Task,
    attempts: u32,
    in_flight: bool,
    possibly_started: Option<(Micros, MachineId)>,
    /// Machines that rejected it; at most as many as attempts.
    rejected_by: Vec<MachineId>,
}

/// A decider that chooses at random among the machines that the rules allow.
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
    /// A decider that keeps all rules except the one given by `mutant` (1 to 5; 6 for rule 1 around pauses only; 0 for
    /// none).
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
                is_connected,
            } => {
                if *is_connected {
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
                let pending = PendingTask {
                    task: *task,
                    attempts: 0,
                    in_flight: false,
                    possibly_started: None,
                    rejected_by: Vec::new(),
                };
                self.pending.insert(task.id, pending);
                let answer_at = task.deadline.saturating_sub(ANSWER_MARGIN_US);
                actions.push(Action::SetTimer {
                    after: answer_at.saturating_sub(self.now),
                    label: task.id.timer_label(),
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
                result,
            } => {
                let Some((task, machine, sent)) = self.attempts.remove(id) else {
                    return;
                };
                let count = self
                    .placements
                    .get_mut(&task.service)
                    .and_then(|by_machine| by_machine.get_mut(&machine));
                count.into_iter().for_each(|count| *count -= 1);
                let Some(pending) = self.pending.get_mut(&id.task) else {
                    return;
                };
                pending.in_flight = false;
                if !matches!(
                    result.outcome,
                    AttemptOutcome::Rejected
                        | AttemptOutcome::ConnectFailed
                        | AttemptOutcome::NeverSent
                ) {
                    pending.possibly_started = pending.possibly_started.or(Some((sent, machine)));
                }
                // A machine that has just rejected a task is likely to reject it again, so the task waits for the next
                // retry.
                if result.outcome == AttemptOutcome::Rejected {
                    pending.rejected_by.push(machine);
                    self.blocked.push_back(id.task)
                } else {
                    self.ready.push_back(id.task)
                }
            }
            Event::ClientDisconnected(task) => drop(self.pending.remove(task)),
            Event::TimerFired { label } => {
                let Some(id) = TaskId::from_timer_label(*label) else {
                    self.is_tick_set = false;
                    return;
                };
                if self
                    .pending
                    .get(&id)
                    .is_some_and(|pending| pending.task.deadline <= self.now + ANSWER_MARGIN_US)
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
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let is_safe_to_reject = match self.settings.classes[pending.task.class].retry_safety {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => !pending.in_flight && pending.possibly_started.is_none(),
        };
        actions.push(if is_safe_to_reject {
            Action::Reject {
                task: id,
                retry_after: None,
            }
        } else {
            Action::Fail(id)
        });
    }

    fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let task = pending.task;
        let class = &self.settings.classes[task.class];
        if pending.in_flight || task.deadline <= self.now + ANSWER_MARGIN_US {
            return;
        }
        if !self.may_repeat(pending, self.mutant)
            || pending.attempts >= self.settings.limits.max_attempts
        {
            self.send_final_answer(id, actions);
            return;
        }
        let allowed: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| self.is_allowed(m, pending, self.mutant))
            .map(|m| m.machine)
            .collect();
        if allowed.is_empty() {
            self.blocked.push_back(id);
            return;
        }
        let machine = match self.mutant {
            // Mutant 4 prefers machines that warm up.
            4 if allowed.iter().any(|id| self.is_warming_up(id)) => {
                let cold: Vec<MachineId> = allowed
                    .iter()
                    .copied()
                    .filter(|id| self.is_warming_up(id))
                    .collect();
                cold[self.rng.index_below(cold.len())]
            }
            // Mutant 5 prefers the domain with most tasks of the service, to exceed its limit as soon as possible.
            // Machines that rejected the task are avoided.
            5 => {
                let not_rejecting: Vec<MachineId> = allowed
                    .iter()
                    .copied()
                    .filter(|id| !pending.rejected_by.contains(id))
                    .collect();
                let candidates = if not_rejecting.is_empty() {
                    &allowed
                } else {
                    &not_rejecting
                };
                let most_loaded = self.most_loaded(candidates, class.spread_limit, task.service);
                most_loaded[self.rng.index_below(most_loaded.len())]
            }
            _ => allowed[self.rng.index_below(allowed.len())],
        };
        if !self.is_allowed_by_all_rules(machine, pending) {
            self.log_violation();
        }
        let number = pending.attempts;
        // Mutant 2 gives up before a host can answer, so that attempts may have started their task.
        let answer_timeout = if self.mutant == 2 {
            3_000
        } else {
            class.latency_objective
        };
        let timeout = answer_timeout.min(task.deadline - self.now);
        actions.push(Action::Offer {
            task: id,
            machine,
            timeout,
        });
        self.record_attempt(AttemptId { task: id, number }, task, machine);
        if let Some(pending) = self.pending.get_mut(&id) {
            (pending.attempts, pending.in_flight) = (number + 1, true);
        }
        let offers = self.recent_offers.entry(machine).or_default();
        offers.push_back(self.now);
        let window = self.settings.rules.overload_window;
        while offers.front().is_some_and(|&at| at + window < self.now) {
            offers.pop_front();
        }
    }

    fn log_violation(&self) {
        tracing::info!(rogue = self.mutant, "{RULE_VIOLATION_LOG}");
    }

    /// Whether all guards, none of them disabled, allow an offer of this task to this machine.
    fn is_allowed_by_all_rules(&self, machine: MachineId, pending: &PendingTask) -> bool {
        let allowed = self
            .machines
            .get(&machine)
            .is_some_and(|m| self.is_allowed(m, pending, NO_MUTATION));
        allowed && self.may_repeat(pending, NO_MUTATION)
    }

    /// The machines in the domains that hold most tasks of a service.
    fn most_loaded(
        &self,
        machines: &[MachineId],
        spread: Option<SpreadLimit>,
        service: ServiceId,
    ) -> Vec<MachineId> {
        let count = |machine: &MachineId| {
            let entry = self.machines.get(machine);
            spread.zip(entry).map_or(0, |(limit, entry)| {
                self.task_count(limit.level, entry, service)
            })
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

    /// Whether a task that may have started may be offered again, with the guard of rule `mutant` disabled.
    fn may_repeat(&self, pending: &PendingTask, mutant: u8) -> bool {
        match (
            pending.possibly_started,
            self.settings.classes[pending.task.class].retry_safety,
        ) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some((sent, _)), RetrySafety::IdempotencyKey { window, .. }) => {
                self.now + ANSWER_MARGIN_US < sent + window || mutant == 2
            }
            (Some(_), RetrySafety::NonIdempotent) => mutant == 2,
        }
    }

    /// Whether the guards allow an offer to a machine, with the guard of rule `mutant` disabled.
    fn is_allowed(&self, machine: &MachineEntry, pending: &PendingTask, mutant: u8) -> bool {
        let class = &self.settings.classes[pending.task.class];
        let is_available = machine.state == MachineState::Ready || mutant == 3;
        let is_available = is_available && !self.disconnected.contains(&machine.machine);
        if !is_available || class.machine_kind.is_some_and(|kind| kind != machine.kind) {
            return false;
        }
        if let (Some((_, first)), RetrySafety::IdempotencyKey { scope, .. }, true) =
            (pending.possibly_started, class.retry_safety, mutant != 2)
        {
            let first = self.machines.get(&first);
            let is_in_scope = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.is_some_and(|f| f.zone == machine.zone),
                DeduplicationScope::Cell => first.is_some_and(|f| f.cell == machine.cell),
            };
            if !is_in_scope {
                return false;
            }
        }
        let spread = class.spread_limit.filter(|_| mutant != 5);
        if spread.is_some_and(|limit| {
            self.task_count(limit.level, machine, pending.task.service) >= limit.max_tasks
        }) {
            return false;
        }
        let rules = &self.settings.rules;
        if self.is_warming_up(&machine.machine) && mutant != 4 {
            let budget = (rules.warm_up_offers_per_window * 0.9
                / f64::from(self.settings.replica_count)) as usize;
            let offers = self.recent_offers.get(&machine.machine);
            let recent = offers.map_or(0, |times| {
                times
                    .iter()
                    .filter(|&&at| at + rules.overload_window >= self.now)
                    .count()
            });
            return recent < budget && self.has_replica_index;
        }
        true
    }

    fn is_warming_up(&self, id: &MachineId) -> bool {
        let started = self.machines.get(id).and_then(|m| m.started_at);
        started.is_some_and(|start| start + self.settings.rules.warm_up_duration > self.now)
    }

    fn task_count(&self, level: TopologyLevel, entry: &MachineEntry, service: ServiceId) -> u32 {
        let is_in_domain = |id: &MachineId| {
            self.machines.get(id).is_some_and(|m| match level {
                TopologyLevel::Machine => m.machine == entry.machine,
                TopologyLevel::Cell => m.cell == entry.cell,
                TopologyLevel::Zone => m.zone == entry.zone,
            })
        };
        let placements = self.placements.get(&service).into_iter().flatten();
        placements
            .map(|(id, count)| if is_in_domain(id) { *count } else { 0 })
            .sum()
    }
}

impl Decide for RandomChoice {
    fn allows_deadline_answers(&self) -> bool {
        !matches!(self.mutant, 1 | 6)
    }

    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let is_after_pause = self.mutant == 6 && now > self.now + PAUSE_THRESHOLD_US;
        self.now = self.now.max(now);
        for event in events {
            self.handle_event(event, actions);
        }
        if is_after_pause {
            // Requests that were pending at the pause or arrived during it are dropped without an answer.
            self.pending.values().for_each(|_| self.log_violation());
            self.pending.clear();
        }
        if !self.is_tick_set {
            self.ready.extend(self.blocked.drain(..));
        }
        while let Some(id) = self.ready.pop_front() {
            self.place(id, actions);
        }
        // Mutant 6 recognises pauses by long times between turns, so it needs turns continuously.
        if (self.mutant == 6 || !self.blocked.is_empty()) && !self.is_tick_set {
            self.is_tick_set = true;
            actions.push(Action::SetTimer {
                after: BLOCKED_RETRY_US,
                label: TICK_TIMER_LABEL,
            });
        }
    }
}
