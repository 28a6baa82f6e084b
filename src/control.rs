//! All decisions of a placer, with their tables and tuned values.
//! Settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is Blind GB-PANDAS with one queue a server (paper, 2.1 and 3): a running mean of
//! 1/T for each (service, machine), the least workload over rate, a decaying share of uniform draws.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::interface::*;

/// Exploration: decision t is a uniform draw with probability 1/t^C (paper, 3), where t counts the decisions
/// of all placers as this one's times their number: the paper's one router sees them all. The largest C
/// allowed: a draw not needed costs a slow start, and pairs are also sampled by near-ties and retries.
const EXPLORATION_EXPONENT: f64 = 1.0;
/// Machines scoring within this factor of the least are drawn at random.
const NEAR_TIE_FACTOR: f64 = 1.1;
/// A pair's mean counts as this many samples more of its class's mean at the same level: pairs are
/// sampled seldom, and one odd start would else rule a pair for long.
const PRIOR_SAMPLES: f64 = 2.0;
/// So many machines that rank first are looked at for comfort.
const MAX_CANDIDATES: usize = 4;
/// A class's mean rate at a level counts as this many samples more of what is presumed at first...
const PRESUMED: f64 = 4.0;
/// ...near the program a start as quick as counts, elsewhere one that takes so many times the aim.
const REMOTE_TAKES: f64 = 2.0;
/// ...and on the next in rank for home between them: where all placers see home filling, some go there.
const NEXT_TAKES: f64 = 0.57;
/// A machine keeps a program at least about this long after its last task.
const PROGRAM_RETENTION: Micros = 8_000_000;
/// A start is never taken to be quicker than this share of its class's aim: being quicker still earns
/// nothing, so it must not outweigh workload (a class with a long aim would pile up on one machine).
const MIN_START_SHARE: f64 = 0.25;
/// A placer that takes in an answer this late has stood still; less is the pace of its turns.
const MIN_STALL: Micros = 50_000;
/// Answers are given this long before the owner gives up, so that a late turn still meets the deadline.
const ANSWER_MARGIN: Micros = 12_000;
/// A held task, for which no machine is allowed now, is looked at again after this.
const BLOCKED_RETRY_INTERVAL: Micros = 200_000;
/// So many held tasks are looked at together: what a placer's share of a core bears at any backlog.
const MAX_BLOCKED_PER_TURN: usize = 64;
/// An answer is waited for as long as answers lately took, and this many mean deviations more...
const DEVIATIONS: f64 = 5.0;
/// ...where the newest weighs this much, and at least this share of the aim.
const ANSWER_WEIGHT: f64 = 0.1;
const MIN_TIMEOUT_SHARE: f64 = 0.5;
/// Unsampled, an answer is waited for as long as the aim. Each further attempt of a task waits so many times
/// as long: where answers are slow everywhere, giving up makes copies that nobody counts.
const TIMEOUT_BACKOFF: f64 = 2.0;
/// Where answers come with the start, a start may queue behind others: waits are so many times as long.
const QUEUED: f64 = 4.0;
/// What listings say is taken to be this old when it comes: own binds of that time are added to it.
const VIEW_LAG: Micros = 800_000;
/// The same for load reports that come with answers.
const REPORT_LAG: Micros = 700_000;
/// A machine is avoided this long after its first failure, twice that after the next and so on.
const BASE_EJECTION: Micros = 3_000_000;
/// At most so many doublings: a machine that has come back is found within twelve seconds.
const MAX_EJECTION_DOUBLINGS: f64 = 2.0;
/// After a refusal for want of room, tasks as large are not offered there for this long.
const CAPACITY_BACKOFF: Micros = 1_000_000;
/// Refusals on end double those times, up to so often.
const MAX_BACKOFF_DOUBLINGS: i32 = 3;
/// After a refusal because of its line or state, nothing is offered there for this long.
const QUEUE_BACKOFF: Micros = 150_000;
/// A machine is comfortable while what its tasks are likely to use stays under this share of it.
const HEADROOM_LIMIT: f64 = 0.85;
/// While less than this of a machine with the program is likely to be used, its load delays nobody, and an
/// emptier machine without it must not draw starts away: that one counts as fuller, by more than a near tie.
const LOW_UTILIZATION: f64 = 0.45;
/// A task served under this share, or memory in use over the other, tells of a crowded machine...
const CONTENTION_SERVICE_SHARE: f64 = 0.92;
const CONTENTION_MEMORY_SHARE: f64 = 0.9;
/// ...which is passed over for this long, whatever crowds it: own tasks, others', or another program.
const CONTENTION_DURATION: Micros = 1_500_000;
/// A task that others can't push out, and that is served under this share for so long, is moved.
const UNDERSERVED_SHARE: f64 = 0.5;
const MIGRATION_DELAY: Micros = 2_000_000;
/// Weight of the newest note in the mean share of their asks that own tasks use.
const USE_WEIGHT: f64 = 0.02;
/// Where machines in use are priced, so many are used that they are filled to this share.
const TARGET_UTILIZATION: f64 = 0.7;
/// A machine in another zone scores worse by so many times the price of crossing.
const CROSS_ZONE_FACTOR: f64 = 10.0;
/// A task that comes again has no timely start to lose, and comes with thousands where machines are lost.
/// It yields to tasks that come for the first time, for at most so long and half the time it has...
const MAX_DEFERRAL: Micros = 1_000_000;
/// ...while so many accepted starts for each ready machine, over all placers, are under way.
const MAX_STARTS_PER_MACHINE: f64 = 3.0;
/// A failed call to discovery is repeated after this, well within any `ask_within`.
const DISCOVERY_RETRY_INTERVAL: Micros = 300_000;
/// Share of the own part of a cold machine's budget that is spent, for offers that arrive bunched.
const COLD_SHARE: f64 = 0.9;
/// Machines that are gone and services without tasks are forgotten after this.
const RETENTION: Micros = 600_000_000;
/// Label of the general reminder; a task's own is its number plus one.
const TICK: u64 = 0;

/// A running mean of 1/T, in starts a second (paper, eq. 6).
#[derive(Clone, Copy, Default)]
struct Rate {
    n: f64,
    mean: f64,
}

impl Rate {
    fn sample(&mut self, took: f64) {
        self.n += 1.0;
        let inverse = 1e6 / took;
        self.mean += (inverse - self.mean) / self.n;
    }

    /// The mean with so many samples of `other` more.
    fn towards(&self, other: f64, samples: f64) -> f64 {
        (self.n * self.mean + samples * other) / (self.n + samples)
    }
}

/// How near a machine is to a service's program (the paper's locality levels, 2.1): whether this
/// placer has, or had not long ago, a task of the service there. A start elsewhere first loads it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    Local,
    /// Other placers start the service there too, by the same ranking, if they can.
    Home,
    /// Where they start it when that one is fuller or not comfortable.
    Next,
    Remote,
}

/// Spreads the bits of a number, alike at every placer.
fn mix_bits(x: u64) -> u64 {
    let mixed = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
}

/// A machine's rank for a service, alike at every placer; large machines rank first more often. The least
/// of those looked at is its home, the second the next.
fn rendezvous_score(service: ServiceId, machine: &Machine) -> f64 {
    let drawn = (mix_bits(service.0 ^ machine.entry.stable_hash) >> 11) as f64 + 1.0;
    (53.0 * std::f64::consts::LN_2 - drawn.ln()) / machine.size.cores
}

/// Keeps the machines that `likes` likes, if there are any.
fn keep_preferred(allowed: &mut Vec<&Machine>, likes: impl Fn(&Machine) -> bool) {
    if allowed.iter().any(|m| likes(m)) {
        allowed.retain(|m| likes(m));
    }
}

/// An attempt without an outcome.
#[derive(Clone, Copy)]
struct Attempt {
    task: Task,
    machine: MachineId,
    level: Level,
    sent: Micros,
    accepted: bool,
    started: bool,
    /// It is accepted, and counts among the starts under way.
    is_starting: bool,
    /// Since when it is served poorly.
    underserved_since: Option<Micros>,
}

/// A task that is owed its final answer.
#[derive(Clone, Copy)]
struct PendingTask {
    task: Task,
    attempts: u32,
    in_flight: bool,
    /// Send and machine of the first attempt that may have run.
    possibly_started: Option<(Micros, MachineId)>,
    /// The machine that answered its first error, and whether another one did too.
    first_error: Option<(MachineId, bool)>,
    /// While it is held: what for.
    block_reason: Option<BlockReason>,
    /// Until when first starts go before it.
    deferred_until: Option<Micros>,
}

/// How a machine has lately served a class.
#[derive(Clone, Copy, Default)]
struct OutlierState {
    failure_count: f64,
    last_failure: Micros,
    ejected_until: Micros,
    /// Offers there that have no answer yet.
    unanswered: u32,
    /// When one was cut off or not answered in time, with none taken since.
    unanswered_since: Option<Micros>,
}

impl OutlierState {
    fn record_failure(&mut self, now: Micros) {
        let doublings = self.failure_count.min(MAX_EJECTION_DOUBLINGS);
        (self.failure_count, self.last_failure) = (doublings + 1.0, now);
        self.ejected_until = now + (BASE_EJECTION as f64 * doublings.exp2()) as Micros;
    }

    /// Guards against machines that look sick for a broken connection, or a spoilt or lost answer: the first
    /// offer so ended counts until the machine shows a sign of life, a second one on end as any failure.
    fn cut_off(&mut self, now: Micros) {
        match self.unanswered_since {
            Some(before) if before < now => self.record_failure(now),
            _ => self.unanswered_since = Some(now),
        }
    }

    fn forgive_failure(&mut self) {
        self.failure_count = (self.failure_count - 1.0).max(0.0);
        self.ejected_until = if self.failure_count < 1.0 {
            0
        } else {
            self.ejected_until
        };
    }

    fn answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }
}

/// What is known of a machine.
struct Machine {
    entry: MachineEntry,
    size: Resources,
    /// The caller has no connection to it: an offer would fail at once, and use up an attempt.
    unlinked: bool,
    /// What all placers' tasks asked for there, and when that was so.
    allocated: Option<(Resources, Micros)>,
    /// What this placer's attempts and tasks ask for, and its latest changes.
    own_allocation: Resources,
    recent_changes: VecDeque<(Micros, Resources, f64)>,
    /// Sends of the last budget window.
    recent_offers: VecDeque<Micros>,
    /// By class, and when it last showed that it lives.
    health: Vec<OutlierState>,
    last_seen_alive: Micros,
    capacity_backoff: Option<(Resources, Micros)>,
    /// Refusals since it last took a task.
    consecutive_rejections: i32,
    contended_until: Micros,
    last_changed: Micros,
}

impl Machine {
    fn new(entry: MachineEntry, size: Resources, classes: usize, last_changed: Micros) -> Machine {
        Machine {
            entry,
            size,
            last_changed,
            unlinked: false,
            allocated: None,
            own_allocation: Resources::default(),
            recent_changes: VecDeque::new(),
            recent_offers: VecDeque::new(),
            health: vec![OutlierState::default(); classes],
            last_seen_alive: 0,
            capacity_backoff: None,
            consecutive_rejections: 0,
            contended_until: 0,
        }
    }

    fn ready(&self) -> bool {
        self.entry.state == MachineState::Ready
    }

    fn change(&mut self, now: Micros, asks: Resources, sign: f64) {
        self.last_changed = now;
        self.own_allocation = self.own_allocation.plus(asks, sign);
        self.recent_changes.retain(|change| change.0 + 2 * VIEW_LAG >= now);
        self.recent_changes.push_back((now, asks, sign));
    }

    fn see(&mut self, unasked: Resources, as_of: Micros) {
        if self.allocated.is_none_or(|(_, before)| before <= as_of) {
            self.allocated = Some((self.size.plus(unasked, -1.0), as_of));
        }
    }

    /// What is asked for there now: as seen, with own changes since.
    fn asked_now(&self) -> Option<Resources> {
        let (seen, as_of) = self.allocated?;
        let since = self.recent_changes.iter().filter(|change| change.0 > as_of);
        Some(since.fold(seen, |sum, &(_, asks, sign)| sum.plus(asks, sign)))
    }

    fn known(&self) -> Resources {
        self.asked_now().unwrap_or(self.own_allocation)
    }
}

/// Decides for one placer. Nothing is shared between placers.
pub struct Placer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    /// Which of the placers this one is; nothing while its number is lost.
    number: Option<u32>,
    decisions: u64,
    machines: BTreeMap<MachineId, Machine>,
    pair_rates: BTreeMap<(ServiceId, MachineId, Level), Rate>,
    class_rates: BTreeMap<(usize, Level), Rate>,
    pending: BTreeMap<TaskId, PendingTask>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Own attempts without an outcome, by service and machine, and the latest change.
    placements: BTreeMap<ServiceId, BTreeMap<MachineId, (u32, Micros)>>,
    /// Tasks to be offered somewhere now, and those for which nothing was allowed, looked at in turn.
    waiting: VecDeque<TaskId>,
    blocked: VecDeque<TaskId>,
    /// Tasks that came again and yield to first starts until then, and own starts under way.
    deferred: BTreeSet<(Micros, TaskId)>,
    starts_in_progress: u32,
    /// Share of what they ask for that own tasks use.
    usage_share: Resources,
    /// Mean time to an answer, and its mean deviation, by class and level.
    answer_times: BTreeMap<(usize, Level), (f64, f64)>,
    started_up: bool,
    /// Nothing goes to cold machines up to this time.
    slow_start_paused_until: Micros,
    relisten_at: Option<Micros>,
    tick_at: Option<Micros>,
}

impl Placer {
    /// A placer that knows nothing but its settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Placer, SettingsError> {
        settings.check()?;
        Ok(Placer {
            number: Some(settings.replica_index),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            decisions: 0,
            machines: BTreeMap::new(),
            pair_rates: BTreeMap::new(),
            class_rates: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            placements: BTreeMap::new(),
            waiting: VecDeque::new(),
            blocked: VecDeque::new(),
            deferred: BTreeSet::new(),
            starts_in_progress: 0,
            usage_share: Resources::new(1.0, 1.0),
            answer_times: BTreeMap::new(),
            started_up: false,
            slow_start_paused_until: 0,
            relisten_at: None,
            tick_at: None,
        })
    }

    /// Takes in what has happened by `now` and adds to `actions` what is to be done.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // Rule 3: where discovery must be asked, it is from the first turn on.
        if !self.started_up && self.settings.discovery == DiscoveryMode::Poll {
            actions.push(Action::WatchEndpoints(true));
        }
        if !std::mem::replace(&mut self.started_up, true) {
            self.pause_slow_start();
        }
        for event in events {
            self.handle_event(event, actions);
        }
        if self.relisten_at.is_some_and(|at| at <= self.now) {
            self.relisten_at = None;
            actions.push(Action::WatchEndpoints(true));
        }
        if self.tick_at.is_none() {
            let some = self.blocked.len().min(MAX_BLOCKED_PER_TURN);
            self.waiting.extend(self.blocked.drain(..some));
        }
        while let Some(id) = self.waiting.pop_front() {
            self.place(id, actions);
        }
        self.release_deferred(actions);
        self.schedule_tick(actions);
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, machines } => self.apply_endpoints(*scope, machines),
            // Guards against attempts spent in one instant on machines known to be out of reach: the
            // task is held instead, as where no machine has room.
            Event::ConnectionChanged(machine, up) => {
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.unlinked = !up;
                }
            }
            Event::ReplicaIndexChanged(number) => {
                if number.is_some() && *number != self.number {
                    self.pause_slow_start();
                }
                self.number = *number;
            }
            Event::DiscoveryUnavailable if self.settings.discovery == DiscoveryMode::Poll => {
                self.relisten_at = self.relisten_at.or(Some(self.now + DISCOVERY_RETRY_INTERVAL));
            }
            Event::PlacementRequested(task) if task.class >= self.settings.classes.len() => {
                actions.push(Action::Reject(task.id, None));
            }
            Event::PlacementRequested(task) => {
                let (attempts, out, may_run, erred, lack) = (0, false, None, None, None);
                let half = task.deadline.saturating_sub(self.now) / 2;
                let yields_until = task.is_resubmission.then_some(self.now + MAX_DEFERRAL.min(half));
                let open = PendingTask {
                    task: *task,
                    attempts,
                    in_flight: out,
                    possibly_started: may_run,
                    first_error: erred,
                    block_reason: lack,
                    deferred_until: yields_until,
                };
                self.pending.entry(task.id).or_insert(open);
                let last = task.deadline.saturating_sub(ANSWER_MARGIN);
                actions.push(Action::SetTimer(last.saturating_sub(self.now), task.id.0 + 1));
                self.waiting.push_back(task.id);
            }
            Event::TaskAdopted(task, machine) if task.class < self.settings.classes.len() => {
                self.track_attempt(
                    AttemptId {
                        task: task.id,
                        number: 0,
                    },
                    *task,
                    *machine,
                    Level::Local,
                    true,
                );
            }
            Event::AttemptAccepted(id, elapsed) => self.handle_accepted(id, *elapsed),
            Event::TaskReported(id, TaskReport::Started) => self.started(id),
            Event::TaskReported(id, note) => self.handle_task_report(id, *note, actions),
            Event::AttemptFinished(id, end) => self.handle_finished(*id, *end, actions),
            Event::ClientDisconnected(task) => drop(self.pending.remove(task)),
            Event::TimerFired(TICK) => self.tick_at = None,
            Event::TimerFired(label) => {
                let id = TaskId(label - 1);
                if self.pending.get(&id).is_some_and(|o| self.is_past_answer_deadline(&o.task)) {
                    self.send_final_answer(id, actions);
                }
            }
            Event::Probed { machine, load, .. } => self.record_load_report(*machine, *load),
            Event::PeerMessage { .. } | Event::DiscoveryUnavailable | Event::TaskAdopted(..) => {}
        }
    }

    /// Rule 4, over a restart: guards against spending this number's part of a cold machine's window
    /// twice. What an earlier life, or the number's last holder, sent is not known here; once a whole
    /// window has gone by, none of it counts any more.
    fn pause_slow_start(&mut self) {
        self.slow_start_paused_until = self.now + self.settings.rules.overload_window;
    }

    fn is_past_answer_deadline(&self, task: &Task) -> bool {
        task.deadline <= self.now + ANSWER_MARGIN
    }

    /// Rule 3: news of drains and removals acts at once; a machine absent from a full list is gone.
    fn apply_endpoints(&mut self, scope: UpdateScope, listings: &[MachineEntry]) {
        if scope != UpdateScope::Delta {
            self.machines
                .values_mut()
                .for_each(|m| m.entry.state = MachineState::Gone);
        }
        let mut new = scope != UpdateScope::Delta;
        for listing in listings {
            let Some(&size) = self.settings.kinds.get(listing.kind) else {
                continue;
            };
            new |= !self.machines.contains_key(&listing.machine);
            let machine = self.machines.entry(listing.machine);
            let machine = machine.or_insert_with(|| {
                Machine::new(*listing, size, self.settings.classes.len(), self.now)
            });
            if machine.entry.started != listing.started {
                // A new process: what was learned of the old one's health says nothing of it.
                machine.health.fill(OutlierState::default());
                machine.capacity_backoff = None;
            }
            (machine.entry, machine.last_changed) = (*listing, self.now);
            if let (true, Some(unasked)) = (self.settings.view, listing.unallocated) {
                machine.see(unasked, self.now.saturating_sub(VIEW_LAG));
            }
        }
        let fresh = |at: Micros| at + RETENTION > self.now;
        self.machines
            .retain(|_, m| m.entry.state != MachineState::Gone || fresh(m.last_changed));
        self.placements
            .retain(|_, there| there.values().any(|&(count, at)| count > 0 || fresh(at)));
        let held = &self.placements;
        self.pair_rates
            .retain(|(service, ..), _| held.contains_key(service));
        // Tasks may run where no list had named the machine yet. All attempts are gone through only for
        // a machine that is new: a storm of changes would else cost milliseconds each.
        if !new {
            return;
        }
        self.machines
            .values_mut()
            .for_each(|m| m.own_allocation = Resources::default());
        for attempt in self.attempts.values() {
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.own_allocation = machine.own_allocation.plus(attempt.task.requested, 1.0);
            }
        }
    }

    fn record_load_report(&mut self, machine: MachineId, load: Option<Resources>) {
        if let (LoadReport::Unallocated, Some(load)) = (self.settings.report, load)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.see(load, self.now.saturating_sub(REPORT_LAG));
        }
    }

    /// Counts an attempt in: an offer, or a task that runs already.
    fn track_attempt(&mut self, id: AttemptId, task: Task, machine: MachineId, level: Level, runs: bool) {
        let (sent, seated, handle_started) = (self.now, runs, runs);
        let attempt = Attempt {
            task,
            machine,
            level,
            sent,
            accepted: seated,
            started: handle_started,
            is_starting: false,
            underserved_since: None,
        };
        if self.attempts.insert(id, attempt).is_none() {
            self.count_placement(machine, &task, 1.0, self.now);
        }
    }

    /// An attempt is no start under way any more: it runs, or is over.
    fn finish_start(&mut self, id: &AttemptId) {
        let attempt = self.attempts.get_mut(id);
        self.starts_in_progress -= u32::from(attempt.is_some_and(|a| std::mem::take(&mut a.is_starting)));
    }

    fn count_placement(&mut self, id: MachineId, task: &Task, sign: f64, at: Micros) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.change(self.now, task.requested, sign);
        }
        let (count, last) = self
            .placements
            .entry(task.service)
            .or_default()
            .entry(id)
            .or_default();
        *count = if sign > 0.0 {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        *last = at.max(*last);
    }

    /// Guards against programs looked for in a process that was started anew since.
    fn is_local(&self, id: MachineId, service: ServiceId) -> bool {
        let there = self.placements.get(&service).and_then(|there| there.get(&id));
        let since = self
            .machines
            .get(&id)
            .and_then(|m| m.entry.started)
            .unwrap_or(0);
        there.is_some_and(|&(count, last)| count > 0 || last + PROGRAM_RETENTION > self.now && last >= since)
    }

    /// What own tasks say of themselves and of their machine.
    fn handle_task_report(&mut self, id: &AttemptId, note: TaskReport, actions: &mut Vec<Action>) {
        // The note of its start may have been lost: what uses something runs.
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let (task, on, asks) = (attempt.task, attempt.machine, attempt.task.requested);
        let (mut crowded, mut starves) = (false, false);
        match note {
            TaskReport::CoresUsed(x) if asks.cores > 0.0 => {
                self.usage_share.cores += USE_WEIGHT * (x / asks.cores - self.usage_share.cores);
            }
            TaskReport::MemoryUsed(x) if asks.memory > 0.0 => {
                self.usage_share.memory += USE_WEIGHT * (x / asks.memory - self.usage_share.memory);
            }
            TaskReport::Served(x) => {
                crowded = x < CONTENTION_SERVICE_SHARE;
                // Guards against a rare and large task that earns nothing for all its life where it landed.
                let starved = x < UNDERSERVED_SHARE && self.settings.classes[attempt.task.class].priority > 0;
                let since = *attempt.underserved_since.get_or_insert(self.now);
                attempt.underserved_since = starved.then_some(since);
                starves = starved && since + MIGRATION_DELAY <= self.now;
            }
            TaskReport::MachineMemory(x) => crowded = x > CONTENTION_MEMORY_SHARE,
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(&on) {
            machine.last_seen_alive = self.now;
            if crowded {
                machine.contended_until = self.now + CONTENTION_DURATION;
            }
        }
        if starves && self.has_machine_with_headroom(&task) {
            actions.push(Action::Migrate(id.task));
        }
    }

    /// Whether some machine looks comfortable for the task.
    fn has_machine_with_headroom(&self, task: &Task) -> bool {
        let mean = self.mean_allocation();
        self.machines
            .values()
            .any(|m| m.ready() && self.has_headroom(m, task, mean))
    }

    fn has_headroom(&self, machine: &Machine, task: &Task, mean: Resources) -> bool {
        machine.contended_until <= self.now && self.likely_used(machine, task, mean) <= HEADROOM_LIMIT
    }

    /// The machine's answer: how long it took, and that the machine lives.
    fn handle_accepted(&mut self, id: &AttemptId, elapsed: Option<Micros>) {
        self.pending.remove(&id.task);
        if let Some(attempt) = self.attempts.get_mut(id) {
            let joins = !attempt.started && !attempt.is_starting;
            attempt.is_starting |= joins;
            self.starts_in_progress += u32::from(joins);
            attempt.accepted = true;
            // A placer that stood still reckons the machine's time, not its own silence.
            let since = self.now - attempt.sent;
            let late = elapsed.map(|took| since.saturating_sub(took));
            let late = late.filter(|&late| late > MIN_STALL).unwrap_or(0);
            attempt.sent += late;
            let (attempt, took) = (*attempt, (since - late) as f64);
            let wait = self
                .answer_times
                .entry(self.answer_time_key(attempt.task.class, attempt.level));
            let (mean, deviation) = wait.or_insert((took, took));
            *deviation += ANSWER_WEIGHT * ((took - *mean).abs() - *deviation);
            *mean += ANSWER_WEIGHT * (took - *mean);
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.consecutive_rejections = 0;
                machine.health[attempt.task.class].answered();
                machine.health[attempt.task.class].unanswered_since = None;
                machine.last_seen_alive = self.now;
            }
        }
        if self.settings.acceptance_point == AcceptancePoint::Running {
            self.started(id);
        }
    }

    /// T runs from the offer to the start; failed attempts never get here and give no sample.
    fn started(&mut self, id: &AttemptId) {
        self.finish_start(id);
        let Some(attempt) = self.attempts.get_mut(id).filter(|a| !a.started) else {
            return;
        };
        attempt.started = true;
        let aim = self.settings.classes[attempt.task.class].latency_objective as f64;
        let took = (self.now - attempt.sent) as f64;
        let took = took.max(aim * MIN_START_SHARE).max(1.0);
        let pair = (attempt.task.service, attempt.machine, attempt.level);
        self.pair_rates.entry(pair).or_default().sample(took);
        let pool = (attempt.task.class, attempt.level);
        self.class_rates.entry(pool).or_default().sample(took);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            let health = &mut machine.health[attempt.task.class];
            health.failure_count = (health.failure_count / 2.0).floor();
            machine.last_seen_alive = self.now;
        }
    }

    fn handle_finished(&mut self, id: AttemptId, end: AttemptResult, actions: &mut Vec<Action>) {
        self.finish_start(&id);
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        // What was cut may have been so long ago, with its process.
        let cut = attempt.accepted && end.outcome == AttemptOutcome::Disconnected && end.reason.is_none();
        self.count_placement(
            attempt.machine,
            &attempt.task,
            -1.0,
            if cut { attempt.sent } else { self.now },
        );
        self.record_load_report(attempt.machine, end.load);
        let odd_task = end.outcome == AttemptOutcome::Error && self.fails_on_every_machine(&attempt);
        self.record_outcome(&attempt, end, odd_task);
        if end.closed || attempt.accepted {
            self.pending.remove(&id.task);
        }
        let Some(open) = self.pending.get_mut(&id.task) else {
            return;
        };
        open.in_flight = false;
        if !matches!(
            end.outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        ) {
            open.possibly_started = open.possibly_started.or(Some((attempt.sent, attempt.machine)));
        }
        if end.outcome == AttemptOutcome::NeverSent || self.is_past_answer_deadline(&attempt.task) {
            self.send_final_answer(id.task, actions);
        } else if end.outcome == AttemptOutcome::Rejected && id.number > 0 {
            self.blocked.push_back(id.task);
        } else {
            self.waiting.push_back(id.task);
        }
    }

    /// Guards against tasks that no machine can use, which would make every machine look sick in turn: an
    /// error of a second machine tells of the task, and what the first one's cost that machine is taken back.
    fn fails_on_every_machine(&mut self, attempt: &Attempt) -> bool {
        let Some(open) = self.pending.get_mut(&attempt.task.id) else {
            return false;
        };
        let (first, known) = *open.first_error.get_or_insert((attempt.machine, false));
        if first == attempt.machine {
            return known;
        }
        open.first_error = Some((first, true));
        if let Some(machine) = self.machines.get_mut(&first).filter(|_| !known) {
            machine.health[attempt.task.class].forgive_failure();
        }
        true
    }

    /// What an ending says of the machine.
    fn record_outcome(&mut self, attempt: &Attempt, end: AttemptResult, odd_task: bool) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&attempt.machine) else {
            return;
        };
        let health = &mut machine.health[attempt.task.class];
        if !attempt.accepted {
            health.answered();
        }
        if matches!(end.outcome, AttemptOutcome::Completed | AttemptOutcome::Rejected) {
            machine.last_seen_alive = now;
        }
        match (end.outcome, end.reason) {
            (AttemptOutcome::Rejected, why) => {
                // Lists are late, and all placers see the same room: each refusal on end doubles the
                // time, and from the third on smaller tasks are kept away too.
                let room = matches!(why, Some(FailureReason::Cores | FailureReason::Memory));
                let base = if room { CAPACITY_BACKOFF } else { QUEUE_BACKOFF };
                let sized = room && machine.consecutive_rejections < 2;
                let asks = if sized {
                    attempt.task.requested
                } else {
                    Resources::default()
                };
                machine.capacity_backoff = Some((asks, now + (base << machine.consecutive_rejections)));
                machine.consecutive_rejections = (machine.consecutive_rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
            }
            // Failing fast gives no sample, so the rate would stay good and draw ever more binds:
            // the machine is avoided, and then tried with one offer at a time.
            (AttemptOutcome::Error, _) if odd_task => {}
            (AttemptOutcome::Disconnected, None) => health.cut_off(now),
            (AttemptOutcome::Error | AttemptOutcome::ConnectFailed, _) => health.record_failure(now),
            (AttemptOutcome::TimedOut, _) if !attempt.accepted => health.cut_off(now),
            (AttemptOutcome::Completed, _) => machine.capacity_backoff = None,
            _ => {}
        }
    }

    /// Offers a task to the machine that the mechanism picks, or holds it.
    fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&id).copied() else {
            return;
        };
        if open.in_flight || self.is_past_answer_deadline(&open.task) {
            return;
        }
        // Rule 2: what may have run is sent again only as its class allows. The time-out ends with the
        // window: guards against an offer that waits for its connection and leaves after it.
        let until = match (open.possibly_started, self.settings.classes[open.task.class].retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => open.task.deadline,
            (Some(_), RetrySafety::NonIdempotent) => 0,
            (Some((sent, _)), RetrySafety::IdempotencyKey { window, .. }) => {
                (sent + window).min(open.task.deadline)
            }
        };
        if until <= self.now + ANSWER_MARGIN || open.attempts >= self.settings.limits.max_attempts {
            self.send_final_answer(id, actions);
            return;
        }
        if let Some(until) = open.deferred_until.filter(|&until| until > self.now)
            && self.starts_in_progress >= self.max_starts_in_progress()
        {
            self.deferred.insert((until, id));
            return;
        }
        let (machine, level) = match self.select_machine(&open) {
            Ok(found) => found,
            Err(lack) => {
                self.block(id, lack, actions);
                return;
            }
        };
        let time_out = self.attempt_timeout(&open, level, until - self.now);
        actions.push(Action::Offer(id, machine, time_out));
        self.track_attempt(
            AttemptId {
                task: id,
                number: open.attempts,
            },
            open.task,
            machine,
            level,
            false,
        );
        if let Some(open) = self.pending.get_mut(&id) {
            (open.attempts, open.in_flight, open.block_reason) = (open.attempts + 1, true, None);
        }
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.health[open.task.class].unanswered += 1;
            machine
                .recent_offers
                .retain(|at| at + self.settings.rules.overload_window >= self.now);
            machine.recent_offers.push_back(self.now);
        }
    }

    /// This placer's part of the starts under way beyond which tasks that come again yield.
    fn max_starts_in_progress(&self) -> u32 {
        let ready = self
            .machines
            .values()
            .filter(|m| m.ready() && !m.unlinked)
            .count();
        ((MAX_STARTS_PER_MACHINE * ready as f64 / f64::from(self.settings.replica_count)) as u32).max(1)
    }

    /// Places yielding tasks as starts under way become fewer, or once they have yielded for long enough.
    fn release_deferred(&mut self, actions: &mut Vec<Action>) {
        if self.deferred.is_empty() {
            return;
        }
        let most = self.max_starts_in_progress();
        for _ in 0..MAX_BLOCKED_PER_TURN {
            let next = self
                .deferred
                .first()
                .filter(|(until, _)| self.starts_in_progress < most || *until <= self.now);
            let Some(&(until, id)) = next else {
                break;
            };
            self.deferred.remove(&(until, id));
            self.place(id, actions);
        }
    }

    /// Keeps a task for later, and tells what it waits for when that changes. What no machine can ever
    /// take is answered at once.
    fn block(&mut self, id: TaskId, lack: BlockReason, actions: &mut Vec<Action>) {
        if let Some(open) = self.pending.get_mut(&id)
            && open.block_reason.replace(lack) != Some(lack)
        {
            actions.push(Action::Blocked(id, lack));
        }
        if lack == BlockReason::NoKindFits {
            self.send_final_answer(id, actions);
        } else {
            self.blocked.push_back(id);
        }
    }

    /// How long an attempt may stay without its answer: what answers take, by class and level where they
    /// come with the start. Silence is then known soon, and what must not run twice is given back to its
    /// owner, who learns whether it runs. Harm: where answers are slow or lost, copies.
    fn attempt_timeout(&self, open: &PendingTask, level: Level, left: Micros) -> Micros {
        // Where answers come before the start, all classes' are alike, and the shortest aim counts.
        let classes = &self.settings.classes;
        let (aim, queued) = match self.settings.acceptance_point {
            AcceptancePoint::Running => (classes[open.task.class].latency_objective, QUEUED),
            AcceptancePoint::Accepted => (classes.iter().map(|c| c.latency_objective).min().unwrap_or(1), 1.0),
        };
        let aim = aim as f64;
        let wait = self
            .answer_times
            .get(&self.answer_time_key(open.task.class, level))
            .copied();
        let (mean, deviation) = wait.unwrap_or((0.0, aim / DEVIATIONS));
        let usual = (mean + DEVIATIONS * deviation).max(aim * MIN_TIMEOUT_SHARE);
        ((usual * queued * TIMEOUT_BACKOFF.powf(f64::from(open.attempts))) as Micros).clamp(1, left)
    }

    fn answer_time_key(&self, class: usize, level: Level) -> (usize, Level) {
        match self.settings.acceptance_point {
            AcceptancePoint::Running => (class, level),
            AcceptancePoint::Accepted => (0, Level::Local),
        }
    }

    /// The mechanism: filters, then the least workload over rate, or a uniform draw among the allowed.
    fn select_machine(&mut self, open: &PendingTask) -> Result<(MachineId, Level), BlockReason> {
        let task = &open.task;
        let full = self.saturated_domains(task);
        let (mut allowed, mut nearest): (Vec<&Machine>, _) = (Vec::new(), BlockReason::NoReadyMachine);
        for machine in self.machines.values() {
            match self.find_block_reason(machine, open, &full) {
                None => allowed.push(machine),
                Some(lack) => nearest = nearest.max(lack),
            }
        }
        if allowed.is_empty() {
            return Err(if self.fits_any_kind(task) {
                nearest
            } else {
                BlockReason::NoKindFits
            });
        }
        keep_preferred(&mut allowed, |m| self.healthy(m, task.class));
        let mean = self.mean_allocation();
        // Least share would spread tasks over more machines than needed: where that is priced, those
        // beyond the working set are left to empty.
        if self.settings.costs.fleet > 0.0 {
            let set = self.working_set();
            keep_preferred(&mut allowed, |m| set.contains(&m.entry.machine));
        }
        // All placers see the same few comfortable machines and would swarm to them, so a service looks for
        // comfort only among those that it ranks first, and where it is held. What pushes others out is rare
        // and large, and one on a crowded machine costs many tasks: it looks everywhere.
        let there = self
            .placements
            .get(&task.service)
            .into_iter()
            .flatten()
            .map(|(id, _)| *id);
        let locals: Vec<MachineId> = there
            .filter(|&id| self.is_local(id, task.service))
            .collect();
        let local = |m: &Machine| locals.binary_search(&m.entry.machine).is_ok();
        let by_rank = |a: &(f64, &Machine), b: &(f64, &Machine)| a.0.total_cmp(&b.0);
        let mut ranked: Vec<_> = allowed
            .into_iter()
            .map(|m| (rendezvous_score(task.service, m), m))
            .collect();
        if self.settings.classes[task.class].priority == 0 && ranked.len() > MAX_CANDIDATES {
            ranked.select_nth_unstable_by(MAX_CANDIDATES - 1, by_rank);
            let rest = ranked.split_off(MAX_CANDIDATES);
            ranked.extend(rest.into_iter().filter(|r| local(r.1)));
        }
        ranked.sort_by(by_rank);
        let mut allowed: Vec<&Machine> = ranked.into_iter().map(|r| r.1).collect();
        keep_preferred(&mut allowed, |m| self.has_headroom(m, task, mean));
        let level = |place: usize, m: &Machine| match place {
            _ if local(m) => Level::Local,
            0 => Level::Home,
            1 => Level::Next,
            _ => Level::Remote,
        };
        let places = allowed.iter().enumerate();
        let weighed: Vec<_> = places
            .map(|(n, &m)| (m, level(n, m), self.likely_used(m, task, mean)))
            .collect();
        let local = weighed.iter().filter(|l| l.1 == Level::Local && l.2 < LOW_UTILIZATION);
        let easy = local.map(|l| l.2).fold(0.0, f64::max) * NEAR_TIE_FACTOR * NEAR_TIE_FACTOR;
        let score = |&(machine, level, load): &(&Machine, Level, f64)| {
            let (id, away) = (
                machine.entry.machine,
                machine.entry.zone != self.settings.zone,
            );
            let crossing = if away {
                1.0 + CROSS_ZONE_FACTOR * self.settings.costs.cross_zone
            } else {
                1.0
            };
            let least = if level == Level::Local { 0.0 } else { easy };
            (
                crossing * load.max(least) / self.rate(id, task, level),
                id,
                level,
            )
        };
        let mut scores: Vec<(f64, MachineId, Level)> = weighed.iter().map(score).collect();
        self.decisions += 1;
        if self.uniform()
            >= (self.decisions as f64 * f64::from(self.settings.replica_count)).powf(-EXPLORATION_EXPONENT)
        {
            let least = scores.iter().map(|s| s.0).fold(f64::INFINITY, f64::min);
            scores.retain(|s| s.0 <= least * NEAR_TIE_FACTOR);
        }
        let (_, id, level) = scores[self.uniform_index(scores.len())];
        Ok((id, level))
    }

    /// The fullest ready machines that together hold what is likely used, filled up to `FLEET_FILL`.
    fn working_set(&self) -> BTreeSet<MachineId> {
        let part = |m: &Machine| m.known().of(m.size).scaled(self.usage_share).larger();
        let ready = self.machines.values().filter(|m| m.ready());
        let mut ready: Vec<(f64, &Machine)> = ready.map(|m| (part(m), m)).collect();
        ready.sort_by(|a, b| b.0.total_cmp(&a.0));
        let used: f64 = ready.iter().map(|(part, m)| part * m.size.cores).sum();
        let mut held = 0.0;
        let needed = ready.iter().take_while(|(_, m)| {
            held += m.size.cores;
            held - m.size.cores < used / TARGET_UTILIZATION
        });
        needed.map(|(_, m)| m.entry.machine).collect()
    }

    /// What keeps a machine from the task, if anything: the rules, its kind, earlier attempts, room.
    /// Looked at in this order, so the largest over all machines tells what stopped the nearest one.
    fn find_block_reason(&self, machine: &Machine, open: &PendingTask, full: &[u32]) -> Option<BlockReason> {
        let class = &self.settings.classes[open.task.class];
        let (at, rules) = (&machine.entry, &self.settings.rules);
        if !machine.ready() || class.kind.is_some_and(|kind| kind != at.kind) {
            return Some(BlockReason::NoReadyMachine);
        }
        if machine.unlinked {
            return Some(BlockReason::NotConnected);
        }
        // Rule 2: repeats of a key that may have run stay with the machines that know it.
        if let (Some((_, first)), RetrySafety::IdempotencyKey { group, .. }) = (open.possibly_started, class.retry_safety) {
            let first = self.machines.get(&first).map(|m| m.entry);
            let same = match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.is_some_and(|f| f.zone == at.zone),
                DeduplicationScope::Cell => first.is_some_and(|f| f.cell == at.cell),
            };
            if !same {
                return Some(BlockReason::OutsideDeduplicationScope);
            }
        }
        // Rule 5: attempts and running tasks of the service in one place.
        if class
            .spread_limit
            .is_some_and(|(place, most)| most == 0 || full.contains(&at.domain(place)))
        {
            return Some(BlockReason::SpreadLimit);
        }
        let room = (!self.has_capacity(machine, &open.task)).then_some(BlockReason::NoCapacity);
        // Rule 4: own part of what a cold machine always bears, in every window, refused offers too. Where
        // placers outnumber those offers, each start opens the machine to only so many placers, which all
        // of them draw alike from its label and start: whenever each was told, no window holds more.
        let Some(start) = at
            .started
            .filter(|&start| start + rules.warm_up_duration > self.now)
        else {
            return room;
        };
        // Guards against two placers spending one part: whose number is lost sends nothing to cold machines.
        let Some(number) = self.number.filter(|_| self.slow_start_paused_until < self.now) else {
            return Some(BlockReason::WarmUpBudget);
        };
        let (offers, placers) = (
            (rules.warm_up_offers * COLD_SHARE) as u64,
            u64::from(self.settings.replica_count),
        );
        let turn = (u64::from(number) + mix_bits(at.stable_hash ^ start) % placers) % placers;
        let own = offers / placers + u64::from(turn < offers % placers);
        let sent = machine
            .recent_offers
            .iter()
            .filter(|&&at| at + rules.overload_window >= self.now)
            .count();
        if (sent as u64) < own {
            room
        } else {
            Some(BlockReason::WarmUpBudget)
        }
    }

    /// Whether some kind of machine, empty, could take the task.
    fn fits_any_kind(&self, task: &Task) -> bool {
        let class = &self.settings.classes[task.class];
        self.settings.kinds.iter().enumerate().any(|(kind, &size)| {
            let asks = task.requested.of(size);
            class.kind.is_none_or(|k| k == kind)
                && asks.cores <= self.settings.admit_cores
                && asks.memory <= self.settings.admit_memory
        })
    }

    /// Places that hold as many attempts and running tasks of the service as its class may have in one.
    fn saturated_domains(&self, task: &Task) -> Vec<u32> {
        let Some((place, most)) = self.settings.classes[task.class].spread_limit else {
            return Vec::new();
        };
        let mut held = BTreeMap::new();
        for (id, (count, _)) in self.placements.get(&task.service).into_iter().flatten() {
            if let Some(machine) = self.machines.get(id) {
                *held.entry(machine.entry.domain(place)).or_insert(0) += count;
            }
        }
        held.into_iter()
            .filter(|&(_, count)| count >= most)
            .map(|(place, _)| place)
            .collect()
    }

    /// A class's own failures count until its own starts make them good, others' only while the machine
    /// shows no sign of life: it may fail or leave unanswered one class and serve the rest.
    fn healthy(&self, machine: &Machine, class: usize) -> bool {
        let own = &machine.health[class];
        let silent_since = |at: Micros| at > machine.last_seen_alive && at + BASE_EJECTION > self.now;
        let dead = |h: &OutlierState| {
            h.ejected_until > self.now && h.last_failure > machine.last_seen_alive
                || h.unanswered_since.is_some_and(silent_since)
        };
        own.ejected_until <= self.now
            && (own.failure_count < 1.0 || own.unanswered == 0)
            && !machine.health.iter().any(dead)
    }

    fn has_capacity(&self, machine: &Machine, task: &Task) -> bool {
        let as_large = |r: Resources| task.requested.cores >= r.cores || task.requested.memory >= r.memory;
        let full = machine
            .capacity_backoff
            .is_some_and(|(r, until)| until > self.now && as_large(r));
        let with = machine.known().plus(task.requested, 1.0).of(machine.size);
        !full
            && with.cores <= self.settings.admit_cores
            && with.memory <= self.settings.admit_memory
    }

    /// Mean shares of the ready machines that are reported, or of own binds where none is.
    fn mean_allocation(&self) -> Resources {
        let ready = || self.machines.values().filter(|m| m.ready());
        let mut shares: Vec<Resources> = ready()
            .filter_map(|m| Some(m.asked_now()?.of(m.size)))
            .collect();
        if shares.is_empty() {
            shares = ready().map(|m| m.own_allocation.of(m.size)).collect();
        }
        let part = 1.0 / shares.len().max(1) as f64;
        shares
            .iter()
            .fold(Resources::default(), |sum, &share| sum.plus(share, part))
    }

    /// The share of the machine that is likely in use with the task: the workload that a score weighs.
    fn likely_used(&self, machine: &Machine, task: &Task, mean: Resources) -> f64 {
        self.allocation_with(machine, task, mean).scaled(self.usage_share).larger()
    }

    /// Shares asked for, with the task: as seen, with own binds since; the mean for an unreported machine.
    /// Where nothing is ever reported own binds, and the mean of them for each other placer.
    fn allocation_with(&self, machine: &Machine, task: &Task, mean: Resources) -> Resources {
        let blind = !self.settings.view && self.settings.report != LoadReport::Unallocated;
        let times = match (machine.allocated, blind) {
            (Some(_), _) => 0.0,
            (None, true) => f64::from(self.settings.replica_count - 1),
            (None, false) => 1.0,
        };
        machine
            .known()
            .plus(task.requested, 1.0)
            .of(machine.size)
            .plus(mean, times)
    }

    /// The pair's rate at its present level, drawn towards its class's at that level, and that to what is
    /// presumed: a placer sees few starts, and the first at a new home are slow ones.
    fn rate(&self, id: MachineId, task: &Task, level: Level) -> f64 {
        let aim = self.settings.classes[task.class].latency_objective as f64;
        let takes = match level {
            Level::Local | Level::Home => MIN_START_SHARE,
            Level::Next => NEXT_TAKES,
            Level::Remote => REMOTE_TAKES,
        };
        let pool = self
            .class_rates
            .get(&(task.class, level))
            .copied()
            .unwrap_or_default();
        let pool = pool.towards(1e6 / (aim * takes).max(1.0), PRESUMED);
        let pair = self
            .pair_rates
            .get(&(task.service, id, level))
            .copied()
            .unwrap_or_default();
        pair.towards(pool, PRIOR_SAMPLES)
    }

    /// Rule 1: the one final answer. Rule 2: a refusal promises that nothing ran or will.
    fn send_final_answer(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.remove(&id) else {
            return;
        };
        let effect = self.settings.classes[open.task.class].retry_safety;
        let harmless = match effect {
            RetrySafety::Idempotent
            | RetrySafety::IdempotencyKey {
                group: DeduplicationScope::All, ..
            } => true,
            RetrySafety::IdempotencyKey { .. } | RetrySafety::NonIdempotent => !open.in_flight && open.possibly_started.is_none(),
        };
        if open.in_flight && effect == RetrySafety::Idempotent && self.settings.limits.cancel {
            actions.push(Action::Cancel(AttemptId {
                task: id,
                number: open.attempts - 1,
            }));
        }
        actions.push(if harmless {
            Action::Reject(id, self.retry_after(&open))
        } else {
            Action::Fail(id)
        });
    }

    /// When to ask again after being held in vain: what it waited for takes about so long to change. Drawn
    /// apart for each task, so that those refused together do not come back together.
    fn retry_after(&self, open: &PendingTask) -> Option<Micros> {
        let most = self.settings.limits.max_retry_after?;
        let about = match open.block_reason {
            Some(BlockReason::NoKindFits) => return Some(most),
            Some(BlockReason::WarmUpBudget) => self.settings.rules.overload_window,
            // Never held, but its attempts are used up: those that were full stay so for about as long.
            None | Some(_) => CAPACITY_BACKOFF,
        };
        Some((about / 2 + mix_bits(open.task.id.0) % about.max(1)).min(most))
    }

    /// One general reminder: for held tasks and for discovery.
    fn schedule_tick(&mut self, actions: &mut Vec<Action>) {
        let holds = !self.blocked.is_empty() || !self.deferred.is_empty();
        let hold = holds.then_some(self.now + BLOCKED_RETRY_INTERVAL);
        let Some(next) = hold.into_iter().chain(self.relisten_at).min() else {
            return;
        };
        if self.tick_at.is_none_or(|at| at > next) {
            self.tick_at = Some(next);
            actions.push(Action::SetTimer(next.saturating_sub(self.now), TICK));
        }
    }

    /// A number in 0..1.
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `n`.
    fn uniform_index(&mut self, n: usize) -> usize {
        ((self.uniform() * n as f64) as usize).min(n.saturating_sub(1))
    }
}
