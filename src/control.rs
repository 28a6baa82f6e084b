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
const EXPLORE_C: f64 = 1.0;
/// Machines scoring within this factor of the least are drawn at random.
const NEAR_TIE: f64 = 1.1;
/// A pair's mean counts as this many samples more of its class's mean at the same level: pairs are
/// sampled seldom, and one odd start would else rule a pair for long.
const PRIOR: f64 = 2.0;
/// So many machines that rank first are looked at for comfort.
const CANDIDATES: usize = 4;
/// A class's mean rate at a level counts as this many samples more of what is presumed at first...
const PRESUMED: f64 = 4.0;
/// ...near the program a start as quick as counts, elsewhere one that takes so many times the aim.
const REMOTE_TAKES: f64 = 2.0;
/// ...and on the next in rank for home between them: where all placers see home filling, some go there.
const NEXT_TAKES: f64 = 0.57;
/// A machine keeps a program at least about this long after its last task.
const KEPT_FOR: Micros = 8_000_000;
/// A start is never taken to be quicker than this share of its class's aim: being quicker still earns
/// nothing, so it must not outweigh workload (a class with a long aim would pile up on one machine).
const QUICK_ENOUGH: f64 = 0.25;
/// A placer that takes in an answer this late has stood still; less is the pace of its turns.
const STALLED: Micros = 50_000;
/// Answers are given this long before the owner gives up, so that a late turn still meets the deadline.
const ANSWER_MARGIN: Micros = 12_000;
/// A held task, for which no machine is allowed now, is looked at again after this.
const HOLD: Micros = 200_000;
/// So many held tasks are looked at together: what a placer's share of a core bears at any backlog.
const HELD_AT_ONCE: usize = 64;
/// An answer is waited for as long as answers lately took, and this many mean deviations more...
const DEVIATIONS: f64 = 5.0;
/// ...where the newest weighs this much, and at least this share of the aim.
const ANSWER_WEIGHT: f64 = 0.1;
const LEAST_WAIT: f64 = 0.5;
/// Unsampled, an answer is waited for as long as the aim. Each further attempt of a task waits so many times
/// as long: where answers are slow everywhere, giving up makes copies that nobody counts.
const STRETCH: f64 = 2.0;
/// Where answers come with the start, a start may queue behind others: waits are so many times as long.
const QUEUED: f64 = 4.0;
/// What listings say is taken to be this old when it comes: own binds of that time are added to it.
const VIEW_LAG: Micros = 800_000;
/// The same for load reports that come with answers.
const REPORT_LAG: Micros = 700_000;
/// A machine is avoided this long after its first failure, twice that after the next and so on.
const AVOID_FIRST: Micros = 3_000_000;
/// At most so many doublings: a machine that has come back is found within twelve seconds.
const AVOID_DOUBLINGS: f64 = 2.0;
/// After a refusal for want of room, tasks as large are not offered there for this long.
const FULL_FOR: Micros = 1_000_000;
/// Refusals on end double those times, up to so often.
const MOST_REFUSALS: i32 = 3;
/// After a refusal because of its line or state, nothing is offered there for this long.
const LINE_FOR: Micros = 150_000;
/// A machine is comfortable while what its tasks are likely to use stays under this share of it.
const COMFORT: f64 = 0.85;
/// While less than this of a machine with the program is likely to be used, its load delays nobody, and an
/// emptier machine without it must not draw starts away: that one counts as fuller, by more than a near tie.
const EASY: f64 = 0.45;
/// A task served under this share, or memory in use over the other, tells of a crowded machine...
const SERVED_POORLY: f64 = 0.92;
const MEMORY_TIGHT: f64 = 0.9;
/// ...which is passed over for this long, whatever crowds it: own tasks, others', or another program.
const CROWDED_FOR: Micros = 1_500_000;
/// A task that others can't push out, and that is served under this share for so long, is moved.
const STARVED: f64 = 0.5;
const STARVED_FOR: Micros = 2_000_000;
/// Weight of the newest note in the mean share of their asks that own tasks use.
const USE_WEIGHT: f64 = 0.02;
/// Where machines in use are priced, so many are used that they are filled to this share.
const FLEET_FILL: f64 = 0.7;
/// A machine in another zone scores worse by so many times the price of crossing.
const CROSSING: f64 = 10.0;
/// A task that comes again has no timely start to lose, and comes with thousands where machines are lost.
/// It yields to tasks that come for the first time, for at most so long and half the time it has...
const YIELD: Micros = 1_000_000;
/// ...while so many accepted starts for each ready machine, over all placers, are under way.
const STARTS_AT_ONCE: f64 = 3.0;
/// A failed call to discovery is repeated after this, well within any `ask_within`.
const ASK_AGAIN: Micros = 300_000;
/// Share of the own part of a cold machine's budget that is spent, for offers that arrive bunched.
const COLD_SHARE: f64 = 0.9;
/// Machines that are gone and services without tasks are forgotten after this.
const FORGET: Micros = 600_000_000;
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
fn mix(x: u64) -> u64 {
    let mixed = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
}

/// A machine's rank for a service, alike at every placer; large machines rank first more often. The least
/// of those looked at is its home, the second the next.
fn rank(service: ServiceId, machine: &Machine) -> f64 {
    let drawn = (mix(service.0 ^ machine.listing.label) >> 11) as f64 + 1.0;
    (53.0 * std::f64::consts::LN_2 - drawn.ln()) / machine.size.cores
}

/// Keeps the machines that `likes` likes, if there are any.
fn prefer(allowed: &mut Vec<&Machine>, likes: impl Fn(&Machine) -> bool) {
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
    seated: bool,
    started: bool,
    /// It is accepted, and counts among the starts under way.
    in_line: bool,
    /// Since when it is served poorly.
    starved: Option<Micros>,
}

/// A task that is owed its final answer.
#[derive(Clone, Copy)]
struct Open {
    task: Task,
    attempts: u32,
    out: bool,
    /// Send and machine of the first attempt that may have run.
    may_run: Option<(Micros, MachineId)>,
    /// The machine that answered its first error, and whether another one did too.
    erred: Option<(MachineId, bool)>,
    /// While it is held: what for.
    lack: Option<Lack>,
    /// Until when first starts go before it.
    yields_until: Option<Micros>,
}

/// How a machine has lately served a class.
#[derive(Clone, Copy, Default)]
struct Health {
    strikes: f64,
    struck: Micros,
    avoid_until: Micros,
    /// Offers there that have no answer yet.
    unanswered: u32,
    /// When one was cut off or not answered in time, with none taken since.
    cut_off: Option<Micros>,
}

impl Health {
    fn strike(&mut self, now: Micros) {
        let doublings = self.strikes.min(AVOID_DOUBLINGS);
        (self.strikes, self.struck) = (doublings + 1.0, now);
        self.avoid_until = now + (AVOID_FIRST as f64 * doublings.exp2()) as Micros;
    }

    /// Guards against machines that look sick for a broken connection, or a spoilt or lost answer: the first
    /// offer so ended counts until the machine shows a sign of life, a second one on end as any failure.
    fn cut_off(&mut self, now: Micros) {
        match self.cut_off {
            Some(before) if before < now => self.strike(now),
            _ => self.cut_off = Some(now),
        }
    }

    fn acquit(&mut self) {
        self.strikes = (self.strikes - 1.0).max(0.0);
        self.avoid_until = if self.strikes < 1.0 {
            0
        } else {
            self.avoid_until
        };
    }

    fn answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }
}

/// What is known of a machine.
struct Machine {
    listing: Listing,
    size: Room,
    /// The caller has no connection to it: an offer would fail at once, and use up an attempt.
    unlinked: bool,
    /// What all placers' tasks asked for there, and when that was so.
    asked: Option<(Room, Micros)>,
    /// What this placer's attempts and tasks ask for, and its latest changes.
    own: Room,
    changes: VecDeque<(Micros, Room, f64)>,
    /// Sends of the last budget window.
    sends: VecDeque<Micros>,
    /// By class, and when it last showed that it lives.
    health: Vec<Health>,
    lives: Micros,
    full: Option<(Room, Micros)>,
    /// Refusals since it last took a task.
    refusals: i32,
    crowded_until: Micros,
    touched: Micros,
}

impl Machine {
    fn new(listing: Listing, size: Room, classes: usize, touched: Micros) -> Machine {
        Machine {
            listing,
            size,
            touched,
            unlinked: false,
            asked: None,
            own: Room::default(),
            changes: VecDeque::new(),
            sends: VecDeque::new(),
            health: vec![Health::default(); classes],
            lives: 0,
            full: None,
            refusals: 0,
            crowded_until: 0,
        }
    }

    fn ready(&self) -> bool {
        self.listing.state == MachineState::Ready
    }

    fn change(&mut self, now: Micros, asks: Room, sign: f64) {
        self.touched = now;
        self.own = self.own.plus(asks, sign);
        self.changes.retain(|change| change.0 + 2 * VIEW_LAG >= now);
        self.changes.push_back((now, asks, sign));
    }

    fn see(&mut self, unasked: Room, as_of: Micros) {
        if self.asked.is_none_or(|(_, before)| before <= as_of) {
            self.asked = Some((self.size.plus(unasked, -1.0), as_of));
        }
    }

    /// What is asked for there now: as seen, with own changes since.
    fn asked_now(&self) -> Option<Room> {
        let (seen, as_of) = self.asked?;
        let since = self.changes.iter().filter(|change| change.0 > as_of);
        Some(since.fold(seen, |sum, &(_, asks, sign)| sum.plus(asks, sign)))
    }

    fn known(&self) -> Room {
        self.asked_now().unwrap_or(self.own)
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
    rates: BTreeMap<(ServiceId, MachineId, Level), Rate>,
    pools: BTreeMap<(usize, Level), Rate>,
    open: BTreeMap<TaskId, Open>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Own attempts without an outcome, by service and machine, and the latest change.
    held: BTreeMap<ServiceId, BTreeMap<MachineId, (u32, Micros)>>,
    /// Tasks to be offered somewhere now, and those for which nothing was allowed, looked at in turn.
    waiting: VecDeque<TaskId>,
    on_hold: VecDeque<TaskId>,
    /// Tasks that came again and yield to first starts until then, and own starts under way.
    yielding: BTreeSet<(Micros, TaskId)>,
    starts: u32,
    /// Share of what they ask for that own tasks use.
    used: Room,
    /// Mean time to an answer, and its mean deviation, by class and level.
    waits: BTreeMap<(usize, Level), (f64, f64)>,
    started_up: bool,
    /// Nothing goes to cold machines up to this time.
    quiet_until: Micros,
    relisten_at: Option<Micros>,
    tick_at: Option<Micros>,
}

impl Placer {
    /// A placer that knows nothing but its settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Placer, SettingsError> {
        settings.check()?;
        Ok(Placer {
            number: Some(settings.number),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            decisions: 0,
            machines: BTreeMap::new(),
            rates: BTreeMap::new(),
            pools: BTreeMap::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: BTreeMap::new(),
            waiting: VecDeque::new(),
            on_hold: VecDeque::new(),
            yielding: BTreeSet::new(),
            starts: 0,
            used: Room::new(1.0, 1.0),
            waits: BTreeMap::new(),
            started_up: false,
            quiet_until: 0,
            relisten_at: None,
            tick_at: None,
        })
    }

    /// Takes in what has happened by `now` and adds to `actions` what is to be done.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // Rule 3: where discovery must be asked, it is from the first turn on.
        if !self.started_up && self.settings.discovery == Discovery::Ask {
            actions.push(Action::Listen(true));
        }
        if !std::mem::replace(&mut self.started_up, true) {
            self.keep_quiet();
        }
        for event in events {
            self.take(event, actions);
        }
        if self.relisten_at.is_some_and(|at| at <= self.now) {
            self.relisten_at = None;
            actions.push(Action::Listen(true));
        }
        if self.tick_at.is_none() {
            let some = self.on_hold.len().min(HELD_AT_ONCE);
            self.waiting.extend(self.on_hold.drain(..some));
        }
        while let Some(id) = self.waiting.pop_front() {
            self.place(id, actions);
        }
        self.let_go(actions);
        self.remind(actions);
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed { scope, machines } => self.listed(*scope, machines),
            // Guards against attempts spent in one instant on machines known to be out of reach: the
            // task is held instead, as where no machine has room.
            Event::Linked(machine, up) => {
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.unlinked = !up;
                }
            }
            Event::Numbered(number) => {
                if number.is_some() && *number != self.number {
                    self.keep_quiet();
                }
                self.number = *number;
            }
            Event::ListUnavailable if self.settings.discovery == Discovery::Ask => {
                self.relisten_at = self.relisten_at.or(Some(self.now + ASK_AGAIN));
            }
            Event::Asked(task) if task.class >= self.settings.classes.len() => {
                actions.push(Action::Refuse(task.id, None));
            }
            Event::Asked(task) => {
                let (attempts, out, may_run, erred, lack) = (0, false, None, None, None);
                let half = task.give_up_at.saturating_sub(self.now) / 2;
                let yields_until = task.again.then_some(self.now + YIELD.min(half));
                let open = Open {
                    task: *task,
                    attempts,
                    out,
                    may_run,
                    erred,
                    lack,
                    yields_until,
                };
                self.open.entry(task.id).or_insert(open);
                let last = task.give_up_at.saturating_sub(ANSWER_MARGIN);
                actions.push(Action::Wake(last.saturating_sub(self.now), task.id.0 + 1));
                self.waiting.push_back(task.id);
            }
            Event::Running(task, machine) if task.class < self.settings.classes.len() => {
                self.bind(
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
            Event::Seated(id, elapsed) => self.seated(id, *elapsed),
            Event::Noted(id, Note::Started) => self.started(id),
            Event::Noted(id, note) => self.noted(id, *note, actions),
            Event::Ended(id, end) => self.ended(*id, *end, actions),
            Event::HungUp(task) => drop(self.open.remove(task)),
            Event::Woken(TICK) => self.tick_at = None,
            Event::Woken(label) => {
                let id = TaskId(label - 1);
                if self.open.get(&id).is_some_and(|o| self.too_late(&o.task)) {
                    self.answer(id, actions);
                }
            }
            Event::Probed { machine, load, .. } => self.report(*machine, *load),
            Event::Told { .. } | Event::ListUnavailable | Event::Running(..) => {}
        }
    }

    /// Rule 4, over a restart: guards against spending this number's part of a cold machine's window
    /// twice. What an earlier life, or the number's last holder, sent is not known here; once a whole
    /// window has gone by, none of it counts any more.
    fn keep_quiet(&mut self) {
        self.quiet_until = self.now + self.settings.rules.fall_window;
    }

    fn too_late(&self, task: &Task) -> bool {
        task.give_up_at <= self.now + ANSWER_MARGIN
    }

    /// Rule 3: news of drains and removals acts at once; a machine absent from a full list is gone.
    fn listed(&mut self, scope: Scope, listings: &[Listing]) {
        if scope != Scope::Changes {
            self.machines
                .values_mut()
                .for_each(|m| m.listing.state = MachineState::Gone);
        }
        let mut new = scope != Scope::Changes;
        for listing in listings {
            let Some(&size) = self.settings.kinds.get(listing.kind) else {
                continue;
            };
            new |= !self.machines.contains_key(&listing.machine);
            let machine = self.machines.entry(listing.machine);
            let machine = machine.or_insert_with(|| {
                Machine::new(*listing, size, self.settings.classes.len(), self.now)
            });
            if machine.listing.started != listing.started {
                // A new process: what was learned of the old one's health says nothing of it.
                machine.health.fill(Health::default());
                machine.full = None;
            }
            (machine.listing, machine.touched) = (*listing, self.now);
            if let (true, Some(unasked)) = (self.settings.view, listing.unasked) {
                machine.see(unasked, self.now.saturating_sub(VIEW_LAG));
            }
        }
        let fresh = |at: Micros| at + FORGET > self.now;
        self.machines
            .retain(|_, m| m.listing.state != MachineState::Gone || fresh(m.touched));
        self.held
            .retain(|_, there| there.values().any(|&(count, at)| count > 0 || fresh(at)));
        let held = &self.held;
        self.rates
            .retain(|(service, ..), _| held.contains_key(service));
        // Tasks may run where no list had named the machine yet. All attempts are gone through only for
        // a machine that is new: a storm of changes would else cost milliseconds each.
        if !new {
            return;
        }
        self.machines
            .values_mut()
            .for_each(|m| m.own = Room::default());
        for attempt in self.attempts.values() {
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.own = machine.own.plus(attempt.task.asks, 1.0);
            }
        }
    }

    fn report(&mut self, machine: MachineId, load: Option<Room>) {
        if let (LoadReport::Unasked, Some(load)) = (self.settings.report, load)
            && let Some(machine) = self.machines.get_mut(&machine)
        {
            machine.see(load, self.now.saturating_sub(REPORT_LAG));
        }
    }

    /// Counts an attempt in: an offer, or a task that runs already.
    fn bind(&mut self, id: AttemptId, task: Task, machine: MachineId, level: Level, runs: bool) {
        let (sent, seated, started) = (self.now, runs, runs);
        let attempt = Attempt {
            task,
            machine,
            level,
            sent,
            seated,
            started,
            in_line: false,
            starved: None,
        };
        if self.attempts.insert(id, attempt).is_none() {
            self.count(machine, &task, 1.0, self.now);
        }
    }

    /// An attempt is no start under way any more: it runs, or is over.
    fn leave_line(&mut self, id: &AttemptId) {
        let attempt = self.attempts.get_mut(id);
        self.starts -= u32::from(attempt.is_some_and(|a| std::mem::take(&mut a.in_line)));
    }

    fn count(&mut self, id: MachineId, task: &Task, sign: f64, at: Micros) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.change(self.now, task.asks, sign);
        }
        let (count, last) = self
            .held
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
        let there = self.held.get(&service).and_then(|there| there.get(&id));
        let since = self
            .machines
            .get(&id)
            .and_then(|m| m.listing.started)
            .unwrap_or(0);
        there.is_some_and(|&(count, last)| count > 0 || last + KEPT_FOR > self.now && last >= since)
    }

    /// What own tasks say of themselves and of their machine.
    fn noted(&mut self, id: &AttemptId, note: Note, actions: &mut Vec<Action>) {
        // The note of its start may have been lost: what uses something runs.
        self.leave_line(id);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let (task, on, asks) = (attempt.task, attempt.machine, attempt.task.asks);
        let (mut crowded, mut starves) = (false, false);
        match note {
            Note::CoresUsed(x) if asks.cores > 0.0 => {
                self.used.cores += USE_WEIGHT * (x / asks.cores - self.used.cores);
            }
            Note::MemoryUsed(x) if asks.memory > 0.0 => {
                self.used.memory += USE_WEIGHT * (x / asks.memory - self.used.memory);
            }
            Note::Served(x) => {
                crowded = x < SERVED_POORLY;
                // Guards against a rare and large task that earns nothing for all its life where it landed.
                let starved = x < STARVED && self.settings.classes[attempt.task.class].priority > 0;
                let since = *attempt.starved.get_or_insert(self.now);
                attempt.starved = starved.then_some(since);
                starves = starved && since + STARVED_FOR <= self.now;
            }
            Note::MachineMemory(x) => crowded = x > MEMORY_TIGHT,
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(&on) {
            machine.lives = self.now;
            if crowded {
                machine.crowded_until = self.now + CROWDED_FOR;
            }
        }
        if starves && self.has_comfort(&task) {
            actions.push(Action::Move(id.task));
        }
    }

    /// Whether some machine looks comfortable for the task.
    fn has_comfort(&self, task: &Task) -> bool {
        let mean = self.mean_asked();
        self.machines
            .values()
            .any(|m| m.ready() && self.comfortable(m, task, mean))
    }

    fn comfortable(&self, machine: &Machine, task: &Task, mean: Room) -> bool {
        machine.crowded_until <= self.now && self.likely_used(machine, task, mean) <= COMFORT
    }

    /// The machine's answer: how long it took, and that the machine lives.
    fn seated(&mut self, id: &AttemptId, elapsed: Option<Micros>) {
        self.open.remove(&id.task);
        if let Some(attempt) = self.attempts.get_mut(id) {
            let joins = !attempt.started && !attempt.in_line;
            attempt.in_line |= joins;
            self.starts += u32::from(joins);
            attempt.seated = true;
            // A placer that stood still reckons the machine's time, not its own silence.
            let since = self.now - attempt.sent;
            let late = elapsed.map(|took| since.saturating_sub(took));
            let late = late.filter(|&late| late > STALLED).unwrap_or(0);
            attempt.sent += late;
            let (attempt, took) = (*attempt, (since - late) as f64);
            let wait = self
                .waits
                .entry(self.wait_key(attempt.task.class, attempt.level));
            let (mean, deviation) = wait.or_insert((took, took));
            *deviation += ANSWER_WEIGHT * ((took - *mean).abs() - *deviation);
            *mean += ANSWER_WEIGHT * (took - *mean);
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.refusals = 0;
                machine.health[attempt.task.class].answered();
                machine.health[attempt.task.class].cut_off = None;
                machine.lives = self.now;
            }
        }
        if self.settings.seated == SeatedWhen::Running {
            self.started(id);
        }
    }

    /// T runs from the offer to the start; failed attempts never get here and give no sample.
    fn started(&mut self, id: &AttemptId) {
        self.leave_line(id);
        let Some(attempt) = self.attempts.get_mut(id).filter(|a| !a.started) else {
            return;
        };
        attempt.started = true;
        let aim = self.settings.classes[attempt.task.class].aim as f64;
        let took = (self.now - attempt.sent) as f64;
        let took = took.max(aim * QUICK_ENOUGH).max(1.0);
        let pair = (attempt.task.service, attempt.machine, attempt.level);
        self.rates.entry(pair).or_default().sample(took);
        let pool = (attempt.task.class, attempt.level);
        self.pools.entry(pool).or_default().sample(took);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            let health = &mut machine.health[attempt.task.class];
            health.strikes = (health.strikes / 2.0).floor();
            machine.lives = self.now;
        }
    }

    fn ended(&mut self, id: AttemptId, end: End, actions: &mut Vec<Action>) {
        self.leave_line(&id);
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        // What was cut may have been so long ago, with its process.
        let cut = attempt.seated && end.ending == Ending::Reset && end.why.is_none();
        self.count(
            attempt.machine,
            &attempt.task,
            -1.0,
            if cut { attempt.sent } else { self.now },
        );
        self.report(attempt.machine, end.load);
        let odd_task = end.ending == Ending::Error && self.errs_everywhere(&attempt);
        self.judge(&attempt, end, odd_task);
        if end.closed || attempt.seated {
            self.open.remove(&id.task);
        }
        let Some(open) = self.open.get_mut(&id.task) else {
            return;
        };
        open.out = false;
        if !matches!(
            end.ending,
            Ending::Refused | Ending::Unreachable | Ending::NotSent
        ) {
            open.may_run = open.may_run.or(Some((attempt.sent, attempt.machine)));
        }
        if end.ending == Ending::NotSent || self.too_late(&attempt.task) {
            self.answer(id.task, actions);
        } else if end.ending == Ending::Refused && id.number > 0 {
            self.on_hold.push_back(id.task);
        } else {
            self.waiting.push_back(id.task);
        }
    }

    /// Guards against tasks that no machine can use, which would make every machine look sick in turn: an
    /// error of a second machine tells of the task, and what the first one's cost that machine is taken back.
    fn errs_everywhere(&mut self, attempt: &Attempt) -> bool {
        let Some(open) = self.open.get_mut(&attempt.task.id) else {
            return false;
        };
        let (first, known) = *open.erred.get_or_insert((attempt.machine, false));
        if first == attempt.machine {
            return known;
        }
        open.erred = Some((first, true));
        if let Some(machine) = self.machines.get_mut(&first).filter(|_| !known) {
            machine.health[attempt.task.class].acquit();
        }
        true
    }

    /// What an ending says of the machine.
    fn judge(&mut self, attempt: &Attempt, end: End, odd_task: bool) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&attempt.machine) else {
            return;
        };
        let health = &mut machine.health[attempt.task.class];
        if !attempt.seated {
            health.answered();
        }
        if matches!(end.ending, Ending::Done | Ending::Refused) {
            machine.lives = now;
        }
        match (end.ending, end.why) {
            (Ending::Refused, why) => {
                // Lists are late, and all placers see the same room: each refusal on end doubles the
                // time, and from the third on smaller tasks are kept away too.
                let room = matches!(why, Some(Why::Cores | Why::Memory));
                let base = if room { FULL_FOR } else { LINE_FOR };
                let sized = room && machine.refusals < 2;
                let asks = if sized {
                    attempt.task.asks
                } else {
                    Room::default()
                };
                machine.full = Some((asks, now + (base << machine.refusals)));
                machine.refusals = (machine.refusals + 1).min(MOST_REFUSALS);
            }
            // Failing fast gives no sample, so the rate would stay good and draw ever more binds:
            // the machine is avoided, and then tried with one offer at a time.
            (Ending::Error, _) if odd_task => {}
            (Ending::Reset, None) => health.cut_off(now),
            (Ending::Error | Ending::Unreachable, _) => health.strike(now),
            (Ending::TimedOut, _) if !attempt.seated => health.cut_off(now),
            (Ending::Done, _) => machine.full = None,
            _ => {}
        }
    }

    /// Offers a task to the machine that the mechanism picks, or holds it.
    fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).copied() else {
            return;
        };
        if open.out || self.too_late(&open.task) {
            return;
        }
        // Rule 2: what may have run is sent again only as its class allows. The time-out ends with the
        // window: guards against an offer that waits for its connection and leaves after it.
        let until = match (open.may_run, self.settings.classes[open.task.class].effect) {
            (None, _) | (_, Effect::Safe) => open.task.give_up_at,
            (Some(_), Effect::Unsafe) => 0,
            (Some((sent, _)), Effect::Keyed { window, .. }) => {
                (sent + window).min(open.task.give_up_at)
            }
        };
        if until <= self.now + ANSWER_MARGIN || open.attempts >= self.settings.limits.max_attempts {
            self.answer(id, actions);
            return;
        }
        if let Some(until) = open.yields_until.filter(|&until| until > self.now)
            && self.starts >= self.starts_at_once()
        {
            self.yielding.insert((until, id));
            return;
        }
        let (machine, level) = match self.pick(&open) {
            Ok(found) => found,
            Err(lack) => {
                self.hold(id, lack, actions);
                return;
            }
        };
        let time_out = self.patience(&open, level, until - self.now);
        actions.push(Action::Offer(id, machine, time_out));
        self.bind(
            AttemptId {
                task: id,
                number: open.attempts,
            },
            open.task,
            machine,
            level,
            false,
        );
        if let Some(open) = self.open.get_mut(&id) {
            (open.attempts, open.out, open.lack) = (open.attempts + 1, true, None);
        }
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.health[open.task.class].unanswered += 1;
            machine
                .sends
                .retain(|at| at + self.settings.rules.fall_window >= self.now);
            machine.sends.push_back(self.now);
        }
    }

    /// This placer's part of the starts under way beyond which tasks that come again yield.
    fn starts_at_once(&self) -> u32 {
        let ready = self
            .machines
            .values()
            .filter(|m| m.ready() && !m.unlinked)
            .count();
        ((STARTS_AT_ONCE * ready as f64 / f64::from(self.settings.placers)) as u32).max(1)
    }

    /// Places yielding tasks as starts under way become fewer, or once they have yielded for long enough.
    fn let_go(&mut self, actions: &mut Vec<Action>) {
        if self.yielding.is_empty() {
            return;
        }
        let most = self.starts_at_once();
        for _ in 0..HELD_AT_ONCE {
            let next = self
                .yielding
                .first()
                .filter(|(until, _)| self.starts < most || *until <= self.now);
            let Some(&(until, id)) = next else {
                break;
            };
            self.yielding.remove(&(until, id));
            self.place(id, actions);
        }
    }

    /// Keeps a task for later, and tells what it waits for when that changes. What no machine can ever
    /// take is answered at once.
    fn hold(&mut self, id: TaskId, lack: Lack, actions: &mut Vec<Action>) {
        if let Some(open) = self.open.get_mut(&id)
            && open.lack.replace(lack) != Some(lack)
        {
            actions.push(Action::Held(id, lack));
        }
        if lack == Lack::Size {
            self.answer(id, actions);
        } else {
            self.on_hold.push_back(id);
        }
    }

    /// How long an attempt may stay without its answer: what answers take, by class and level where they
    /// come with the start. Silence is then known soon, and what must not run twice is given back to its
    /// owner, who learns whether it runs. Harm: where answers are slow or lost, copies.
    fn patience(&self, open: &Open, level: Level, left: Micros) -> Micros {
        // Where answers come before the start, all classes' are alike, and the shortest aim counts.
        let classes = &self.settings.classes;
        let (aim, queued) = match self.settings.seated {
            SeatedWhen::Running => (classes[open.task.class].aim, QUEUED),
            SeatedWhen::Accepted => (classes.iter().map(|c| c.aim).min().unwrap_or(1), 1.0),
        };
        let aim = aim as f64;
        let wait = self
            .waits
            .get(&self.wait_key(open.task.class, level))
            .copied();
        let (mean, deviation) = wait.unwrap_or((0.0, aim / DEVIATIONS));
        let usual = (mean + DEVIATIONS * deviation).max(aim * LEAST_WAIT);
        ((usual * queued * STRETCH.powf(f64::from(open.attempts))) as Micros).clamp(1, left)
    }

    fn wait_key(&self, class: usize, level: Level) -> (usize, Level) {
        match self.settings.seated {
            SeatedWhen::Running => (class, level),
            SeatedWhen::Accepted => (0, Level::Local),
        }
    }

    /// The mechanism: filters, then the least workload over rate, or a uniform draw among the allowed.
    fn pick(&mut self, open: &Open) -> Result<(MachineId, Level), Lack> {
        let task = &open.task;
        let full = self.full_places(task);
        let (mut allowed, mut nearest): (Vec<&Machine>, _) = (Vec::new(), Lack::Ready);
        for machine in self.machines.values() {
            match self.lacks(machine, open, &full) {
                None => allowed.push(machine),
                Some(lack) => nearest = nearest.max(lack),
            }
        }
        if allowed.is_empty() {
            return Err(if self.fits_a_kind(task) {
                nearest
            } else {
                Lack::Size
            });
        }
        prefer(&mut allowed, |m| self.healthy(m, task.class));
        let mean = self.mean_asked();
        // Least share would spread tasks over more machines than needed: where that is priced, those
        // beyond the working set are left to empty.
        if self.settings.prices.fleet > 0.0 {
            let set = self.working_set();
            prefer(&mut allowed, |m| set.contains(&m.listing.machine));
        }
        // All placers see the same few comfortable machines and would swarm to them, so a service looks for
        // comfort only among those that it ranks first, and where it is held. What pushes others out is rare
        // and large, and one on a crowded machine costs many tasks: it looks everywhere.
        let there = self
            .held
            .get(&task.service)
            .into_iter()
            .flatten()
            .map(|(id, _)| *id);
        let locals: Vec<MachineId> = there
            .filter(|&id| self.is_local(id, task.service))
            .collect();
        let local = |m: &Machine| locals.binary_search(&m.listing.machine).is_ok();
        let by_rank = |a: &(f64, &Machine), b: &(f64, &Machine)| a.0.total_cmp(&b.0);
        let mut ranked: Vec<_> = allowed
            .into_iter()
            .map(|m| (rank(task.service, m), m))
            .collect();
        if self.settings.classes[task.class].priority == 0 && ranked.len() > CANDIDATES {
            ranked.select_nth_unstable_by(CANDIDATES - 1, by_rank);
            let rest = ranked.split_off(CANDIDATES);
            ranked.extend(rest.into_iter().filter(|r| local(r.1)));
        }
        ranked.sort_by(by_rank);
        let mut allowed: Vec<&Machine> = ranked.into_iter().map(|r| r.1).collect();
        prefer(&mut allowed, |m| self.comfortable(m, task, mean));
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
        let local = weighed.iter().filter(|l| l.1 == Level::Local && l.2 < EASY);
        let easy = local.map(|l| l.2).fold(0.0, f64::max) * NEAR_TIE * NEAR_TIE;
        let score = |&(machine, level, load): &(&Machine, Level, f64)| {
            let (id, away) = (
                machine.listing.machine,
                machine.listing.zone != self.settings.zone,
            );
            let crossing = if away {
                1.0 + CROSSING * self.settings.prices.cross_zone
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
        if self.chance()
            >= (self.decisions as f64 * f64::from(self.settings.placers)).powf(-EXPLORE_C)
        {
            let least = scores.iter().map(|s| s.0).fold(f64::INFINITY, f64::min);
            scores.retain(|s| s.0 <= least * NEAR_TIE);
        }
        let (_, id, level) = scores[self.draw(scores.len())];
        Ok((id, level))
    }

    /// The fullest ready machines that together hold what is likely used, filled up to `FLEET_FILL`.
    fn working_set(&self) -> BTreeSet<MachineId> {
        let part = |m: &Machine| m.known().of(m.size).scaled(self.used).larger();
        let ready = self.machines.values().filter(|m| m.ready());
        let mut ready: Vec<(f64, &Machine)> = ready.map(|m| (part(m), m)).collect();
        ready.sort_by(|a, b| b.0.total_cmp(&a.0));
        let used: f64 = ready.iter().map(|(part, m)| part * m.size.cores).sum();
        let mut held = 0.0;
        let needed = ready.iter().take_while(|(_, m)| {
            held += m.size.cores;
            held - m.size.cores < used / FLEET_FILL
        });
        needed.map(|(_, m)| m.listing.machine).collect()
    }

    /// What keeps a machine from the task, if anything: the rules, its kind, earlier attempts, room.
    /// Looked at in this order, so the largest over all machines tells what stopped the nearest one.
    fn lacks(&self, machine: &Machine, open: &Open, full: &[u32]) -> Option<Lack> {
        let class = &self.settings.classes[open.task.class];
        let (at, rules) = (&machine.listing, &self.settings.rules);
        if !machine.ready() || class.kind.is_some_and(|kind| kind != at.kind) {
            return Some(Lack::Ready);
        }
        if machine.unlinked {
            return Some(Lack::Link);
        }
        // Rule 2: repeats of a key that may have run stay with the machines that know it.
        if let (Some((_, first)), Effect::Keyed { group, .. }) = (open.may_run, class.effect) {
            let first = self.machines.get(&first).map(|m| m.listing);
            let same = match group {
                Group::All => true,
                Group::Zone => first.is_some_and(|f| f.zone == at.zone),
                Group::Cell => first.is_some_and(|f| f.cell == at.cell),
            };
            if !same {
                return Some(Lack::Group);
            }
        }
        // Rule 5: attempts and running tasks of the service in one place.
        if class
            .spread
            .is_some_and(|(place, most)| most == 0 || full.contains(&at.place(place)))
        {
            return Some(Lack::Spread);
        }
        let room = (!self.has_room(machine, &open.task)).then_some(Lack::Room);
        // Rule 4: own part of what a cold machine always bears, in every window, refused offers too. Where
        // placers outnumber those offers, each start opens the machine to only so many placers, which all
        // of them draw alike from its label and start: whenever each was told, no window holds more.
        let Some(start) = at
            .started
            .filter(|&start| start + rules.cold_for > self.now)
        else {
            return room;
        };
        // Guards against two placers spending one part: whose number is lost sends nothing to cold machines.
        let Some(number) = self.number.filter(|_| self.quiet_until < self.now) else {
            return Some(Lack::Cold);
        };
        let (offers, placers) = (
            (rules.fresh_offers * COLD_SHARE) as u64,
            u64::from(self.settings.placers),
        );
        let turn = (u64::from(number) + mix(at.label ^ start) % placers) % placers;
        let own = offers / placers + u64::from(turn < offers % placers);
        let sent = machine
            .sends
            .iter()
            .filter(|&&at| at + rules.fall_window >= self.now)
            .count();
        if (sent as u64) < own {
            room
        } else {
            Some(Lack::Cold)
        }
    }

    /// Whether some kind of machine, empty, could take the task.
    fn fits_a_kind(&self, task: &Task) -> bool {
        let class = &self.settings.classes[task.class];
        self.settings.kinds.iter().enumerate().any(|(kind, &size)| {
            let asks = task.asks.of(size);
            class.kind.is_none_or(|k| k == kind)
                && asks.cores <= self.settings.admit_cores
                && asks.memory <= self.settings.admit_memory
        })
    }

    /// Places that hold as many attempts and running tasks of the service as its class may have in one.
    fn full_places(&self, task: &Task) -> Vec<u32> {
        let Some((place, most)) = self.settings.classes[task.class].spread else {
            return Vec::new();
        };
        let mut held = BTreeMap::new();
        for (id, (count, _)) in self.held.get(&task.service).into_iter().flatten() {
            if let Some(machine) = self.machines.get(id) {
                *held.entry(machine.listing.place(place)).or_insert(0) += count;
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
        let silent_since = |at: Micros| at > machine.lives && at + AVOID_FIRST > self.now;
        let dead = |h: &Health| {
            h.avoid_until > self.now && h.struck > machine.lives
                || h.cut_off.is_some_and(silent_since)
        };
        own.avoid_until <= self.now
            && (own.strikes < 1.0 || own.unanswered == 0)
            && !machine.health.iter().any(dead)
    }

    fn has_room(&self, machine: &Machine, task: &Task) -> bool {
        let as_large = |r: Room| task.asks.cores >= r.cores || task.asks.memory >= r.memory;
        let full = machine
            .full
            .is_some_and(|(r, until)| until > self.now && as_large(r));
        let with = machine.known().plus(task.asks, 1.0).of(machine.size);
        !full
            && with.cores <= self.settings.admit_cores
            && with.memory <= self.settings.admit_memory
    }

    /// Mean shares of the ready machines that are reported, or of own binds where none is.
    fn mean_asked(&self) -> Room {
        let ready = || self.machines.values().filter(|m| m.ready());
        let mut shares: Vec<Room> = ready()
            .filter_map(|m| Some(m.asked_now()?.of(m.size)))
            .collect();
        if shares.is_empty() {
            shares = ready().map(|m| m.own.of(m.size)).collect();
        }
        let part = 1.0 / shares.len().max(1) as f64;
        shares
            .iter()
            .fold(Room::default(), |sum, &share| sum.plus(share, part))
    }

    /// The share of the machine that is likely in use with the task: the workload that a score weighs.
    fn likely_used(&self, machine: &Machine, task: &Task, mean: Room) -> f64 {
        self.asked(machine, task, mean).scaled(self.used).larger()
    }

    /// Shares asked for, with the task: as seen, with own binds since; the mean for an unreported machine.
    /// Where nothing is ever reported own binds, and the mean of them for each other placer.
    fn asked(&self, machine: &Machine, task: &Task, mean: Room) -> Room {
        let blind = !self.settings.view && self.settings.report != LoadReport::Unasked;
        let times = match (machine.asked, blind) {
            (Some(_), _) => 0.0,
            (None, true) => f64::from(self.settings.placers - 1),
            (None, false) => 1.0,
        };
        machine
            .known()
            .plus(task.asks, 1.0)
            .of(machine.size)
            .plus(mean, times)
    }

    /// The pair's rate at its present level, drawn towards its class's at that level, and that to what is
    /// presumed: a placer sees few starts, and the first at a new home are slow ones.
    fn rate(&self, id: MachineId, task: &Task, level: Level) -> f64 {
        let aim = self.settings.classes[task.class].aim as f64;
        let takes = match level {
            Level::Local | Level::Home => QUICK_ENOUGH,
            Level::Next => NEXT_TAKES,
            Level::Remote => REMOTE_TAKES,
        };
        let pool = self
            .pools
            .get(&(task.class, level))
            .copied()
            .unwrap_or_default();
        let pool = pool.towards(1e6 / (aim * takes).max(1.0), PRESUMED);
        let pair = self
            .rates
            .get(&(task.service, id, level))
            .copied()
            .unwrap_or_default();
        pair.towards(pool, PRIOR)
    }

    /// Rule 1: the one final answer. Rule 2: a refusal promises that nothing ran or will.
    fn answer(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let effect = self.settings.classes[open.task.class].effect;
        let harmless = match effect {
            Effect::Safe
            | Effect::Keyed {
                group: Group::All, ..
            } => true,
            Effect::Keyed { .. } | Effect::Unsafe => !open.out && open.may_run.is_none(),
        };
        if open.out && effect == Effect::Safe && self.settings.limits.cancel {
            actions.push(Action::Cancel(AttemptId {
                task: id,
                number: open.attempts - 1,
            }));
        }
        actions.push(if harmless {
            Action::Refuse(id, self.come_back(&open))
        } else {
            Action::Fail(id)
        });
    }

    /// When to ask again after being held in vain: what it waited for takes about so long to change. Drawn
    /// apart for each task, so that those refused together do not come back together.
    fn come_back(&self, open: &Open) -> Option<Micros> {
        let most = self.settings.limits.come_back?;
        let about = match open.lack {
            Some(Lack::Size) => return Some(most),
            Some(Lack::Cold) => self.settings.rules.fall_window,
            // Never held, but its attempts are used up: those that were full stay so for about as long.
            None | Some(_) => FULL_FOR,
        };
        Some((about / 2 + mix(open.task.id.0) % about.max(1)).min(most))
    }

    /// One general reminder: for held tasks and for discovery.
    fn remind(&mut self, actions: &mut Vec<Action>) {
        let holds = !self.on_hold.is_empty() || !self.yielding.is_empty();
        let hold = holds.then_some(self.now + HOLD);
        let Some(next) = hold.into_iter().chain(self.relisten_at).min() else {
            return;
        };
        if self.tick_at.is_none_or(|at| at > next) {
            self.tick_at = Some(next);
            actions.push(Action::Wake(next.saturating_sub(self.now), TICK));
        }
    }

    /// A number in 0..1.
    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `n`.
    fn draw(&mut self, n: usize) -> usize {
        ((self.chance() * n as f64) as usize).min(n.saturating_sub(1))
    }
}
