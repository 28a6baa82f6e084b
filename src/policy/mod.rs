//! The placement policy: all decisions of a placer, with its state and constants.
//!
//! [`Placer::turn`] applies a batch of events and then offers the queued tasks to machines. Each module implements one
//! part of the policy: [`selection`] chooses among the machines that [`feasibility`] allows, by the rates of
//! [`service_rate`] and the utilization of [`load`]; [`placing`] and [`attempts`] take a task from its request to its
//! final answer ([`answers`]); [`slow_start`], [`outlier`], [`answer_times`], [`restart_throttle`] and [`migration`]
//! limit the effect of failing hosts, stale endpoint lists and restarting placers. `docs/design.md` gives the reason
//! for each departure from the paper.
//!
//! Comments refer by number to these five rules, which must hold even if machines, discovery or placers fail:
//!
//! 1. Every request gets exactly one final answer before its deadline.
//! 2. A task that may have run is sent again only as the retry safety of its class allows.
//! 3. A machine that is draining or gone gets no new offers.
//! 4. A machine that is warming up gets no more offers than its budget in any window.
//! 5. A service stays within its spread limit.

mod answer_times;
mod answers;
mod attempts;
mod endpoints;
mod feasibility;
mod load;
mod machine;
mod migration;
mod outlier;
mod placements;
mod placing;
mod random;
mod restart_throttle;
mod selection;
mod service_rate;
mod slow_start;

use std::collections::{BTreeMap, VecDeque};

use self::answer_times::AnswerTimes;
use self::answers::ANSWER_MARGIN;
use self::attempts::{Attempt, PendingTask};
use self::endpoints::DiscoverySubscription;
use self::load::UsageShare;
use self::machine::Machine;
use self::placements::Placements;
use self::random::UniformRng;
use self::restart_throttle::{RestartThrottle, deferral_deadline};
use self::service_rate::ServiceRates;
use self::slow_start::SlowStart;
use crate::interface::{
    Action, AttemptId, DiscoveryMode, Event, MachineId, Micros, Settings, SettingsError,
    TICK_TIMER_LABEL, Task, TaskId, TaskReport,
};

/// After this time a blocked task, for which no machine was feasible, is tried again.
const BLOCKED_RETRY_INTERVAL: Micros = 200_000;
/// The maximum number of blocked tasks that are tried again in one turn. It keeps the CPU time of a turn within the
/// placer's share of a core, however many tasks are blocked.
const MAX_BLOCKED_PER_TURN: usize = 64;

/// The placement policy of one placer, with its state. Placers share no state, even if they share the machines.
pub struct Placer {
    settings: Settings,
    random: UniformRng,
    now: Micros,
    /// The number of times that a machine has been selected.
    decision_count: u64,
    discovery: DiscoverySubscription,
    machines: BTreeMap<MachineId, Machine>,
    slow_start: SlowStart,
    service_rates: ServiceRates,
    answer_times: AnswerTimes,
    usage_share: UsageShare,
    pending: BTreeMap<TaskId, PendingTask>,
    attempts: BTreeMap<AttemptId, Attempt>,
    placements: Placements,
    /// Tasks to offer in this turn.
    offer_queue: VecDeque<TaskId>,
    /// Tasks for which no machine was feasible, in the order in which they are tried again.
    blocked: VecDeque<TaskId>,
    restart_throttle: RestartThrottle,
    tick_at: Option<Micros>,
}

impl Placer {
    /// Creates a placer without machines and tasks. Equal seeds and events give equal actions.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Placer, SettingsError> {
        settings.validate()?;
        Ok(Placer {
            slow_start: SlowStart::new(settings.replica_index),
            answer_times: AnswerTimes::new(settings.acceptance_point),
            settings,
            random: UniformRng::new(seed),
            now: 0,
            decision_count: 0,
            discovery: DiscoverySubscription::default(),
            machines: BTreeMap::new(),
            service_rates: ServiceRates::default(),
            usage_share: UsageShare::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            placements: Placements::default(),
            offer_queue: VecDeque::new(),
            blocked: VecDeque::new(),
            restart_throttle: RestartThrottle::default(),
            tick_at: None,
        })
    }

    /// Applies the events up to `now` (µs) and appends to `actions` what the caller must do, in order. All events of
    /// the turn are applied before any offer is made.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // Rule 3: a placer that polls discovery subscribes in its first turn, so that it receives drains and removals.
        if self.discovery.start(self.settings.discovery, actions) {
            self.pause_slow_start();
        }
        for event in events {
            self.handle_event(event, actions);
        }
        self.discovery.retry_if_due(self.now, actions);
        // If a tick is scheduled, blocked tasks wait for it.
        if self.tick_at.is_none() {
            let count = self.blocked.len().min(MAX_BLOCKED_PER_TURN);
            self.offer_queue.extend(self.blocked.drain(..count));
        }
        while let Some(task) = self.offer_queue.pop_front() {
            self.place(task, actions);
        }
        self.release_deferred(actions);
        self.remove_obsolete();
        self.schedule_tick(actions);
    }

    /// Removes queued tasks that need no answer any more, once they are the larger part. Clients can cancel requests much
    /// faster than blocked tasks are tried again.
    fn remove_obsolete(&mut self) {
        let pending = &self.pending;
        let max_queued = 2 * pending.len() + MAX_BLOCKED_PER_TURN;
        if self.blocked.len() > max_queued {
            self.blocked.retain(|task| pending.contains_key(task));
        }
        if self.restart_throttle.deferred_count() > max_queued {
            self.restart_throttle
                .retain(|task| pending.contains_key(&task));
        }
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, machines } => self.apply_endpoints(*scope, machines),
            Event::ConnectionChanged {
                machine,
                is_connected,
            } => self.set_connected(*machine, *is_connected),
            Event::ReplicaIndexChanged(index) => {
                let window = self.settings.rules.overload_window;
                self.slow_start.set_replica_index(*index, self.now, window);
            }
            Event::DiscoveryUnavailable => {
                if self.settings.discovery == DiscoveryMode::Poll {
                    self.discovery.schedule_retry(self.now);
                }
            }
            Event::PlacementRequested(task) => self.handle_request(*task, actions),
            Event::TaskAdopted { task, machine } => self.adopt(*task, *machine),
            Event::AttemptAccepted { attempt, elapsed } => self.handle_accepted(attempt, *elapsed),
            Event::TaskReported { attempt, report } => {
                self.confirm_adopted(attempt);
                match report {
                    TaskReport::Started => self.handle_started(attempt),
                    report => self.handle_task_report(attempt, *report, actions),
                }
            }
            Event::AttemptFinished { attempt, result } => {
                self.handle_finished(*attempt, *result, actions);
            }
            Event::ClientDisconnected(task) => {
                self.pending.remove(task);
            }
            Event::TimerFired { label } => self.handle_timer(*label, actions),
            Event::ProbeFinished { machine, load, .. } => self.record_load_report(*machine, *load),
            Event::PeerMessage { .. } => {}
        }
    }

    fn handle_request(&mut self, task: Task, actions: &mut Vec<Action>) {
        if task.class >= self.settings.classes.len() {
            actions.push(Action::Reject {
                task: task.id,
                retry_after: None,
            });
            return;
        }
        let pending = PendingTask::new(task, deferral_deadline(&task, self.now));
        self.pending.entry(task.id).or_insert(pending);
        let answer_at = task.deadline.saturating_sub(ANSWER_MARGIN);
        actions.push(Action::SetTimer {
            after: answer_at.saturating_sub(self.now),
            label: task.id.timer_label(),
        });
        self.offer_queue.push_back(task.id);
    }

    /// Takes over a task that is already running.
    fn adopt(&mut self, task: Task, machine: MachineId) {
        if task.class < self.settings.classes.len() {
            let attempt = AttemptId {
                task: task.id,
                number: 0,
            };
            self.track_attempt(attempt, Attempt::running(task, machine, self.now));
        }
    }

    fn handle_timer(&mut self, label: u64, actions: &mut Vec<Action>) {
        let Some(id) = TaskId::from_timer_label(label) else {
            self.tick_at = None;
            return;
        };
        let pending = self.pending.get(&id);
        if pending.is_some_and(|pending| self.is_past_answer_deadline(&pending.task)) {
            self.send_final_answer(id, actions);
        }
    }

    /// Rule 4 across a restart of the placer: machines that are warming up get no offers for one window.
    fn pause_slow_start(&mut self) {
        let window = self.settings.rules.overload_window;
        self.slow_start.pause(self.now, window);
    }

    /// Sets the tick timer for blocked and deferred tasks and for discovery retries.
    fn schedule_tick(&mut self, actions: &mut Vec<Action>) {
        let has_tasks = !self.blocked.is_empty() || self.restart_throttle.has_deferred();
        let retry_tasks_at = has_tasks.then_some(self.now + BLOCKED_RETRY_INTERVAL);
        let next = retry_tasks_at
            .into_iter()
            .chain(self.discovery.retry_at)
            .min();
        let Some(next) = next else {
            return;
        };
        if self.tick_at.is_none_or(|at| at > next) {
            self.tick_at = Some(next);
            actions.push(Action::SetTimer {
                after: next.saturating_sub(self.now),
                label: TICK_TIMER_LABEL,
            });
        }
    }
}
