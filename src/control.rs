//! All decisions of a placer, with their tables and tuned values.
//! Settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is Blind GB-PANDAS with one queue a server (paper, 2.1 and 3): a running mean of
//! 1/T for each (service, machine), the least workload over rate, a decaying share of uniform draws.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::interface::*;

/// Exploration: decision t is a uniform draw with probability 1/t^C (paper, 3). The largest C allowed:
/// a draw that is not needed costs a slow start, and pairs are also sampled by near-ties and retries.
const EXPLORE_C: f64 = 1.0;
/// Machines scoring within this factor of the least are drawn at random.
const NEAR_TIE: f64 = 1.1;
/// A pair's mean counts as this many samples more of its class's mean at the same level: pairs are
/// sampled seldom, and one odd start would else rule a pair for long.
const PRIOR: f64 = 2.0;
/// A machine keeps a program at least about this long after its last task.
const KEPT_FOR: Micros = 8_000_000;
/// A start is never taken to be quicker than this share of its class's aim: being quicker still earns
/// nothing, so it must not outweigh workload (a class with a long aim would pile up on one machine).
const QUICK_ENOUGH: f64 = 0.25;
/// Answers are given this long before the owner gives up, so that a late turn still meets the deadline.
const ANSWER_MARGIN: Micros = 12_000;
/// A held task, for which no machine is allowed now, is looked at again after this.
const HOLD: Micros = 40_000;
/// So many held tasks are looked at together: what a placer's share of a core bears at any backlog.
const HELD_AT_ONCE: usize = 64;
/// Where machines answer an offer at once, an answer later than this is taken for none.
const ACCEPT_PATIENCE: Micros = 1_000_000;
/// What listings say is about this old when it comes: own binds of that time are added to it.
const VIEW_LAG: Micros = 3_000_000;
/// The same for load reports that come with answers.
const REPORT_LAG: Micros = 700_000;
/// A machine is avoided this long after its first failure, twice that after the next and so on.
const AVOID_FIRST: Micros = 500_000;
/// At most so many doublings: a machine that has come back is found within eight seconds.
const AVOID_DOUBLINGS: f64 = 4.0;
/// After a refusal for want of room, tasks as large are not offered there for this long.
const FULL_FOR: Micros = 1_000_000;
/// After a refusal because of its line or state, nothing is offered there for this long.
const LINE_FOR: Micros = 150_000;
/// A machine is comfortable while what its tasks are likely to use stays under this share of it.
const COMFORT: f64 = 0.85;
/// A task served under this share, or memory in use over the other, tells of a crowded machine...
const SERVED_POORLY: f64 = 0.92;
const MEMORY_TIGHT: f64 = 0.9;
/// ...which is passed over for this long, whatever crowds it: own tasks, others', or another program.
const CROWDED_FOR: Micros = 1_500_000;
/// Weight of the newest note in the mean share of their asks that own tasks use.
const USE_WEIGHT: f64 = 0.02;
/// A failed call to discovery is repeated after this, well within any `ask_within`.
const ASK_AGAIN: Micros = 300_000;
/// Share of the own part of a cold machine's budget that is spent, for offers that arrive bunched.
const COLD_SHARE: f64 = 0.9;
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
}

/// How near a machine is to a service's program (the paper's locality levels, 2.1): whether this
/// placer has, or had not long ago, a task of the service there. A start elsewhere first loads it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    Local,
    Remote,
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
}

/// A task that is owed its final answer.
#[derive(Clone, Copy)]
struct Open {
    task: Task,
    attempts: u32,
    out: bool,
    /// Send and machine of the first attempt that may have run.
    may_run: Option<(Micros, MachineId)>,
}

/// What is known of a machine.
struct Machine {
    listing: Listing,
    size: Kind,
    /// What all placers' tasks asked for there, and when that was so.
    asked: Option<(Room, Micros)>,
    /// What this placer's attempts and tasks ask for.
    own: Room,
    /// Own changes, to be added to what is seen late.
    changes: VecDeque<(Micros, Room)>,
    /// Sends of the last budget window.
    sends: VecDeque<Micros>,
    strikes: f64,
    avoid_until: Micros,
    /// Offers there that have no answer yet.
    unanswered: u32,
    full: Option<(Room, Micros)>,
    crowded_until: Micros,
}

impl Machine {
    fn new(listing: Listing, size: Kind) -> Machine {
        let (changes, sends) = (VecDeque::new(), VecDeque::new());
        let (own, asked, full) = (Room::default(), None, None);
        let (strikes, avoid_until, unanswered, crowded_until) = (0.0, 0, 0, 0);
        #[rustfmt::skip]
        let new = Machine {
            listing, size, asked, own, changes, sends, strikes, avoid_until, unanswered, full, crowded_until,
        };
        new
    }

    fn change(&mut self, now: Micros, asks: Room, sign: f64) {
        let change = Room {
            cores: sign * asks.cores,
            memory: sign * asks.memory,
        };
        self.own = plus(self.own, change);
        self.changes.push_back((now, change));
        while self
            .changes
            .front()
            .is_some_and(|&(at, _)| at + 2 * VIEW_LAG < now)
        {
            self.changes.pop_front();
        }
    }

    fn see(&mut self, unasked: Room, as_of: Micros) {
        if self.asked.is_none_or(|(_, before)| before <= as_of) {
            let (cores, memory) = (
                self.size.cores - unasked.cores,
                self.size.memory - unasked.memory,
            );
            self.asked = Some((Room { cores, memory }, as_of));
        }
    }

    /// What is asked for there now: as seen, with own changes since.
    fn asked_now(&self) -> Option<Room> {
        let (seen, as_of) = self.asked?;
        let since = self.changes.iter().filter(|&&(at, _)| at > as_of);
        Some(since.fold(seen, |sum, &(_, change)| plus(sum, change)))
    }

    fn strike(&mut self, now: Micros) {
        let doublings = self.strikes.min(AVOID_DOUBLINGS);
        self.strikes = doublings + 1.0;
        self.avoid_until = now + (AVOID_FIRST as f64 * doublings.exp2()) as Micros;
    }
}

fn plus(a: Room, b: Room) -> Room {
    Room {
        cores: a.cores + b.cores,
        memory: a.memory + b.memory,
    }
}

/// Decides for one placer. Nothing is shared between placers.
pub struct Placer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    decisions: u64,
    machines: BTreeMap<MachineId, Machine>,
    rates: BTreeMap<(ServiceId, MachineId, Level), Rate>,
    pools: BTreeMap<(usize, Level), Rate>,
    open: BTreeMap<TaskId, Open>,
    attempts: BTreeMap<(TaskId, u32), Attempt>,
    /// Own attempts without an outcome, by service and machine, and the end of the latest.
    held: BTreeMap<ServiceId, BTreeMap<MachineId, (u32, Micros)>>,
    /// Tasks to be offered somewhere now, and those for which nothing was allowed, looked at in turn.
    waiting: VecDeque<TaskId>,
    on_hold: VecDeque<TaskId>,
    /// Share of what they ask for that own tasks use.
    used: Room,
    started_up: bool,
    relisten_at: Option<Micros>,
    tick_at: Option<Micros>,
}

impl Placer {
    /// A placer that knows nothing but its settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Placer, SettingsError> {
        check(&settings)?;
        Ok(Placer {
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
            used: Room {
                cores: 1.0,
                memory: 1.0,
            },
            started_up: false,
            relisten_at: None,
            tick_at: None,
        })
    }

    /// Takes in what has happened by `now` and adds to `actions` what is to be done.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.started_up {
            self.started_up = true;
            // Rule 3: where discovery must be asked, it is from the first turn on.
            if self.settings.discovery == Discovery::Ask {
                actions.push(Action::Listen(true));
            }
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
        self.remind(actions);
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed { scope, machines } => self.listed(*scope, machines),
            Event::ListUnavailable => {
                if self.settings.discovery == Discovery::Ask && self.relisten_at.is_none() {
                    self.relisten_at = Some(self.now + ASK_AGAIN);
                }
            }
            Event::Asked(task) => {
                if task.class >= self.settings.classes.len() {
                    actions.push(Action::Refuse {
                        task: task.id,
                        come_back: None,
                    });
                    return;
                }
                let open = Open {
                    task: *task,
                    attempts: 0,
                    out: false,
                    may_run: None,
                };
                if self.open.insert(task.id, open).is_none() {
                    let last = task.give_up_at.saturating_sub(ANSWER_MARGIN);
                    let after = last.saturating_sub(self.now);
                    actions.push(Action::Wake {
                        after,
                        label: task.id.0 + 1,
                    });
                }
                self.waiting.push_back(task.id);
            }
            Event::Running { task, machine } => {
                if task.class < self.settings.classes.len() {
                    let sent = self.now;
                    let (task, machine) = (*task, *machine);
                    let attempt = Attempt {
                        task,
                        machine,
                        level: Level::Local,
                        sent,
                        seated: true,
                        started: true,
                    };
                    if self.attempts.insert((task.id, 0), attempt).is_none() {
                        self.bind(machine, &task, true);
                    }
                }
            }
            Event::Seated { task, attempt } => {
                self.open.remove(task);
                if let Some(attempt) = self.attempts.get_mut(&(*task, *attempt)) {
                    attempt.seated = true;
                    if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                        machine.unanswered = machine.unanswered.saturating_sub(1);
                    }
                }
                if self.settings.seated == SeatedWhen::Running {
                    self.started(*task, *attempt);
                }
            }
            Event::Noted {
                task,
                attempt,
                note: Note::Started,
            } => self.started(*task, *attempt),
            Event::Noted {
                task,
                attempt,
                note,
            } => self.noted((*task, *attempt), *note),
            Event::Ended {
                task,
                attempt,
                ending,
                why,
                closed,
                load,
            } => {
                self.ended((*task, *attempt), *ending, *why, *closed, *load, actions);
            }
            Event::HungUp(task) => drop(self.open.remove(task)),
            Event::Woken(TICK) => self.tick_at = None,
            Event::Woken(label) => {
                let id = TaskId(label - 1);
                let due = |o: &&Open| o.task.give_up_at <= self.now + ANSWER_MARGIN;
                if self.open.get(&id).filter(due).is_some() {
                    self.answer(id, actions);
                }
            }
            Event::Probed { machine, load, .. } => self.report(*machine, *load),
            Event::Told { .. } => {}
        }
    }

    /// Rule 3: news of drains and removals acts at once; a machine absent from a full list is gone.
    fn listed(&mut self, scope: Scope, listings: &[Listing]) {
        if scope != Scope::Changes {
            let named: BTreeSet<MachineId> = listings.iter().map(|l| l.machine).collect();
            for (id, machine) in &mut self.machines {
                if !named.contains(id) {
                    machine.listing.state = MachineState::Gone;
                }
            }
        }
        for listing in listings {
            let Some(&size) = self.settings.kinds.get(listing.kind) else {
                continue;
            };
            let machine = self.machines.entry(listing.machine);
            let machine = machine.or_insert_with(|| Machine::new(*listing, size));
            if machine.listing.started != listing.started {
                // A new process: what was learned of the old one's health says nothing of it.
                machine.strikes = 0.0;
                machine.avoid_until = 0;
                machine.full = None;
            }
            machine.listing = *listing;
            if let (true, Some(unasked)) = (self.settings.view, listing.unasked) {
                machine.see(unasked, self.now.saturating_sub(VIEW_LAG));
            }
        }
        // Tasks that ran before the list named their machines.
        for machine in self.machines.values_mut() {
            machine.own = Room::default();
        }
        for attempt in self.attempts.values() {
            if let Some(machine) = self.machines.get_mut(&attempt.machine) {
                machine.own = plus(machine.own, attempt.task.asks);
            }
        }
    }

    fn report(&mut self, machine: MachineId, load: Option<Room>) {
        if let (LoadReport::Unasked, Some(load)) = (self.settings.report, load) {
            let as_of = self.now.saturating_sub(REPORT_LAG);
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.see(load, as_of);
            }
        }
    }

    /// Counts an attempt in, or out once it has its outcome.
    fn bind(&mut self, id: MachineId, task: &Task, comes: bool) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.change(self.now, task.asks, if comes { 1.0 } else { -1.0 });
        }
        let there = self.held.entry(task.service).or_default();
        let (count, last) = there.entry(id).or_default();
        *count = if comes {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        *last = self.now;
    }

    fn level(&self, id: MachineId, service: ServiceId) -> Level {
        match self.held.get(&service).and_then(|there| there.get(&id)) {
            Some(&(count, last)) if count > 0 || last + KEPT_FOR > self.now => Level::Local,
            _ => Level::Remote,
        }
    }

    /// What own tasks say of themselves and of their machine.
    fn noted(&mut self, key: (TaskId, u32), note: Note) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let asks = attempt.task.asks;
        let crowded = match note {
            Note::CoresUsed(x) if asks.cores > 0.0 => {
                self.used.cores += USE_WEIGHT * (x / asks.cores - self.used.cores);
                false
            }
            Note::MemoryUsed(x) if asks.memory > 0.0 => {
                self.used.memory += USE_WEIGHT * (x / asks.memory - self.used.memory);
                false
            }
            Note::Served(x) => x < SERVED_POORLY,
            Note::MachineMemory(x) => x > MEMORY_TIGHT,
            _ => false,
        };
        if let Some(machine) = self.machines.get_mut(&attempt.machine).filter(|_| crowded) {
            machine.crowded_until = self.now + CROWDED_FOR;
        }
    }

    /// T runs from the offer to the start; failed attempts never get here and give no sample.
    fn started(&mut self, task: TaskId, attempt: u32) {
        let Some(attempt) = self
            .attempts
            .get_mut(&(task, attempt))
            .filter(|a| !a.started)
        else {
            return;
        };
        attempt.started = true;
        let aim = self.settings.classes[attempt.task.class].aim as f64;
        let took = ((self.now - attempt.sent) as f64)
            .max(aim * QUICK_ENOUGH)
            .max(1.0);
        let pair = (attempt.task.service, attempt.machine, attempt.level);
        self.rates.entry(pair).or_default().sample(took);
        self.pools
            .entry((attempt.task.class, attempt.level))
            .or_default()
            .sample(took);
        if let Some(machine) = self.machines.get_mut(&attempt.machine) {
            machine.strikes = (machine.strikes / 2.0).floor();
        }
    }

    fn ended(
        &mut self,
        key: (TaskId, u32),
        ending: Ending,
        why: Option<Why>,
        closed: bool,
        load: Option<Room>,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.bind(attempt.machine, &attempt.task, false);
        self.report(attempt.machine, load);
        self.judge(&attempt, ending, why);
        if closed || attempt.seated {
            self.open.remove(&key.0);
        }
        let Some(open) = self.open.get_mut(&key.0) else {
            return;
        };
        open.out = false;
        let never_ran = matches!(
            ending,
            Ending::Refused | Ending::Unreachable | Ending::NotSent
        );
        if !never_ran && open.may_run.is_none() {
            open.may_run = Some((attempt.sent, attempt.machine));
        }
        if ending == Ending::NotSent || self.now + ANSWER_MARGIN >= open.task.give_up_at {
            self.answer(key.0, actions);
        } else {
            self.waiting.push_back(key.0);
        }
    }

    /// What an ending says of the machine.
    fn judge(&mut self, attempt: &Attempt, ending: Ending, why: Option<Why>) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&attempt.machine) else {
            return;
        };
        if !attempt.seated {
            machine.unanswered = machine.unanswered.saturating_sub(1);
        }
        match (ending, why) {
            (Ending::Refused, Some(Why::Cores | Why::Memory)) => {
                machine.full = Some((attempt.task.asks, now + FULL_FOR));
            }
            (Ending::Refused, _) => machine.avoid_until = machine.avoid_until.max(now + LINE_FOR),
            // Failing fast gives no sample, so the rate would stay good and draw ever more binds:
            // the machine is avoided, and then tried with one offer at a time.
            (Ending::Error | Ending::Unreachable, _) | (Ending::Reset, None) => machine.strike(now),
            (Ending::TimedOut, _) if !attempt.seated => machine.strike(now),
            (Ending::Done, _) => machine.full = None,
            _ => {}
        }
    }

    /// Offers a task to the machine that the mechanism picks, or holds it.
    fn place(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).copied() else {
            return;
        };
        if open.out || open.task.give_up_at <= self.now + ANSWER_MARGIN {
            return;
        }
        let effect = self.settings.classes[open.task.class].effect;
        // Rule 2: what may have run is sent again only as its class allows.
        let again = match (open.may_run, effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(_), Effect::Unsafe) => false,
            (Some((sent, _)), Effect::Keyed { window, .. }) => {
                self.now + ANSWER_MARGIN < sent + window
            }
        };
        if !again || open.attempts >= self.settings.limits.max_attempts {
            self.answer(id, actions);
            return;
        }
        let Some(machine) = self.pick(&open) else {
            return;
        };
        let left = open.task.give_up_at - self.now;
        let time_out = self.patience(&open.task, left);
        actions.push(Action::Offer {
            task: id,
            machine,
            time_out,
        });
        let level = self.level(machine, open.task.service);
        let (task, sent) = (open.task, self.now);
        let attempt = Attempt {
            task,
            machine,
            level,
            sent,
            seated: false,
            started: false,
        };
        self.attempts.insert((id, open.attempts), attempt);
        if let Some(open) = self.open.get_mut(&id) {
            open.attempts += 1;
            open.out = true;
        }
        self.bind(machine, &open.task, true);
        let window = self.settings.rules.fall_window;
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.unanswered += 1;
            machine.sends.push_back(self.now);
            while machine
                .sends
                .front()
                .is_some_and(|&at| at + window < self.now)
            {
                machine.sends.pop_front();
            }
        }
    }

    /// How long an attempt may stay without its answer. Where a second start does harm: to the end.
    fn patience(&self, task: &Task, left: Micros) -> Micros {
        let class = &self.settings.classes[task.class];
        let prompt = match self.settings.seated {
            SeatedWhen::Accepted => ACCEPT_PATIENCE.min(class.aim),
            SeatedWhen::Running if class.effect == Effect::Safe => left / 2,
            SeatedWhen::Running => left,
        };
        match class.effect {
            Effect::Unsafe => left,
            Effect::Keyed { .. } | Effect::Safe => prompt,
        }
        .clamp(1_000, left)
    }

    /// The mechanism: filters, then the least workload over rate, or a uniform draw among the allowed.
    fn pick(&mut self, open: &Open) -> Option<MachineId> {
        let mut allowed: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| self.may_get(m, open))
            .map(|(&id, _)| id)
            .collect();
        allowed.retain(|id| {
            let machine = &self.machines[id];
            self.healthy(machine) && self.has_room(machine, &open.task)
        });
        if allowed.is_empty() {
            return None;
        }
        let mean = self.mean_asked();
        let calm = |id: &MachineId| {
            let machine = &self.machines[id];
            machine.crowded_until <= self.now
                && self.likely_use(machine, &open.task, mean) <= COMFORT
        };
        let comfortable: Vec<MachineId> = allowed.iter().copied().filter(calm).collect();
        if !comfortable.is_empty() {
            allowed = comfortable;
        }
        self.decisions += 1;
        if self.chance() < (self.decisions as f64).powf(-EXPLORE_C) {
            return Some(allowed[self.draw(allowed.len())]);
        }
        let scores: Vec<f64> = allowed
            .iter()
            .map(|id| self.score(*id, &open.task, mean))
            .collect();
        let least = scores.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<MachineId> = allowed
            .iter()
            .zip(&scores)
            .filter(|&(_, &score)| score <= least * NEAR_TIE)
            .map(|(&id, _)| id)
            .collect();
        Some(near[self.draw(near.len())])
    }

    /// What the rules, the task's kind and its earlier attempts allow.
    fn may_get(&self, machine: &Machine, open: &Open) -> bool {
        let class = &self.settings.classes[open.task.class];
        if machine.listing.state != MachineState::Ready
            || class.kind.is_some_and(|kind| kind != machine.listing.kind)
        {
            return false;
        }
        // Rule 2: repeats of a key that may have run stay with the machines that know it.
        if let (Some((_, first)), Effect::Keyed { group, .. }) = (open.may_run, class.effect) {
            let first = self.machines.get(&first).map(|m| m.listing);
            let same = match group {
                Group::All => true,
                Group::Zone => first.is_some_and(|f| f.zone == machine.listing.zone),
                Group::Cell => first.is_some_and(|f| f.cell == machine.listing.cell),
            };
            if !same {
                return false;
            }
        }
        // Rule 5: attempts and running tasks of the service in one place.
        if let Some((place, most)) = class.spread
            && self.held_in(place, &machine.listing, open.task.service) >= most
        {
            return false;
        }
        // Rule 4: own part of what a cold machine always bears, in every window.
        let rules = &self.settings.rules;
        let cold = machine
            .listing
            .started
            .is_some_and(|at| at + rules.cold_for > self.now);
        let own = (rules.fresh_offers * COLD_SHARE / f64::from(self.settings.placers))
            .floor()
            .max(1.0);
        let sent = machine
            .sends
            .iter()
            .filter(|&&at| at + rules.fall_window >= self.now)
            .count();
        !cold || (sent as f64) < own
    }

    fn held_in(&self, place: Place, at: &Listing, service: ServiceId) -> u32 {
        let there = |id: &MachineId| {
            self.machines.get(id).is_some_and(|m| match place {
                Place::Machine => m.listing.machine == at.machine,
                Place::Cell => m.listing.cell == at.cell,
                Place::Zone => m.listing.zone == at.zone,
            })
        };
        let held = self.held.get(&service).into_iter().flatten();
        held.filter(|(id, _)| there(id))
            .map(|(_, (count, _))| count)
            .sum()
    }

    fn healthy(&self, machine: &Machine) -> bool {
        machine.avoid_until <= self.now && (machine.strikes < 1.0 || machine.unanswered == 0)
    }

    fn has_room(&self, machine: &Machine, task: &Task) -> bool {
        let as_large = |r: Room| task.asks.cores >= r.cores || task.asks.memory >= r.memory;
        if machine
            .full
            .is_some_and(|(room, until)| until > self.now && as_large(room))
        {
            return false;
        }
        let with = plus(machine.asked_now().unwrap_or(machine.own), task.asks);
        with.cores <= self.settings.admit_cores * machine.size.cores
            && with.memory <= self.settings.admit_memory * machine.size.memory
    }

    /// Mean over the ready machines that are reported, or of own binds where none is.
    fn mean_asked(&self) -> Room {
        let ready = || {
            self.machines
                .values()
                .filter(|m| m.listing.state == MachineState::Ready)
        };
        let part = |m: &Machine, r: Room| Room {
            cores: r.cores / m.size.cores,
            memory: r.memory / m.size.memory,
        };
        let mut parts: Vec<Room> = ready()
            .filter_map(|m| Some(part(m, m.asked_now()?)))
            .collect();
        if parts.is_empty() {
            parts = ready().map(|m| part(m, m.own)).collect();
        }
        let sum = parts.iter().fold(Room::default(), |sum, &p| plus(sum, p));
        let n = parts.len().max(1) as f64;
        Room {
            cores: sum.cores / n,
            memory: sum.memory / n,
        }
    }

    /// Shares asked for: as seen, with own binds since; the mean for an unreported machine. Where nothing
    /// is ever reported own binds, and the mean of them for each other placer.
    fn asked_shares(&self, machine: &Machine, task: &Task, mean: Room) -> Room {
        let blind = !self.settings.view && self.settings.report != LoadReport::Unasked;
        let asked = plus(machine.asked_now().unwrap_or(machine.own), task.asks);
        let size = machine.size;
        let shares = Room {
            cores: asked.cores / size.cores,
            memory: asked.memory / size.memory,
        };
        let times = match (machine.asked, blind) {
            (Some(_), _) => 0.0,
            (None, true) => f64::from(self.settings.placers - 1),
            (None, false) => 1.0,
        };
        plus(
            shares,
            Room {
                cores: times * mean.cores,
                memory: times * mean.memory,
            },
        )
    }

    /// The larger share of the machine that its tasks are likely to use, with this one.
    fn likely_use(&self, machine: &Machine, task: &Task, mean: Room) -> f64 {
        let shares = self.asked_shares(machine, task, mean);
        (shares.cores * self.used.cores).max(shares.memory * self.used.memory)
    }

    /// W over rate. W is the larger share asked for.
    fn score(&self, id: MachineId, task: &Task, mean: Room) -> f64 {
        let shares = self.asked_shares(&self.machines[&id], task, mean);
        shares.cores.max(shares.memory).max(0.0) / self.rate(id, task)
    }

    /// The pair's rate at its present level, drawn towards its class's at that level, or one.
    fn rate(&self, id: MachineId, task: &Task) -> f64 {
        let level = self.level(id, task.service);
        let pool = self
            .pools
            .get(&(task.class, level))
            .map_or(1.0, |pool| pool.mean);
        let pair = self
            .rates
            .get(&(task.service, id, level))
            .copied()
            .unwrap_or_default();
        (pair.n * pair.mean + PRIOR * pool) / (pair.n + PRIOR)
    }

    /// Rule 1: the one final answer. Rule 2: a refusal promises that nothing ran or will.
    fn answer(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).copied() else {
            return;
        };
        self.open.remove(&id);
        let effect = self.settings.classes[open.task.class].effect;
        let harmless = match effect {
            Effect::Safe
            | Effect::Keyed {
                group: Group::All, ..
            } => true,
            Effect::Keyed { .. } | Effect::Unsafe => !open.out && open.may_run.is_none(),
        };
        if open.out && effect == Effect::Safe && self.settings.limits.cancel {
            actions.push(Action::Cancel {
                task: id,
                attempt: open.attempts - 1,
            });
        }
        if harmless {
            actions.push(Action::Refuse {
                task: id,
                come_back: None,
            });
        } else {
            actions.push(Action::Fail(id));
        }
    }

    /// One general reminder: for held tasks and for discovery.
    fn remind(&mut self, actions: &mut Vec<Action>) {
        let hold = (!self.on_hold.is_empty()).then_some(self.now + HOLD);
        let Some(next) = hold.into_iter().chain(self.relisten_at).min() else {
            return;
        };
        if self.tick_at.is_none_or(|at| at > next) {
            self.tick_at = Some(next);
            actions.push(Action::Wake {
                after: next.saturating_sub(self.now),
                label: TICK,
            });
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

fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::Empty("classes"));
    }
    if settings.kinds.is_empty() {
        return Err(SettingsError::Empty("kinds"));
    }
    let (rules, prices) = (&settings.rules, &settings.prices);
    let mut figures = vec![
        ("placers", f64::from(settings.placers), 1.0),
        ("attempts", f64::from(settings.limits.max_attempts), 1.0),
        ("admitted cores", settings.admit_cores, f64::MIN_POSITIVE),
        ("admitted memory", settings.admit_memory, f64::MIN_POSITIVE),
        ("fall multiple", rules.fall_multiple, f64::MIN_POSITIVE),
        ("cold share", rules.cold_from, 0.0),
        ("fresh offers", rules.fresh_offers, 0.0),
        ("price of a refusal", prices.refused, 0.0),
        ("price of crossing zones", prices.cross_zone, 0.0),
        ("price of machines", prices.fleet, 0.0),
        ("price of a move", prices.moves, 0.0),
    ];
    for kind in &settings.kinds {
        figures.push(("cores of a kind", kind.cores, f64::MIN_POSITIVE));
        figures.push(("memory of a kind", kind.memory, f64::MIN_POSITIVE));
    }
    for class in &settings.classes {
        figures.push(("worth", class.worth, 0.0));
        figures.push(("start bonus", class.start_bonus_s, 0.0));
        if let Some(kind) = class.kind.filter(|&kind| kind >= settings.kinds.len()) {
            return Err(SettingsError::UnknownKind(kind));
        }
    }
    match figures
        .iter()
        .find(|&&(_, x, least)| !x.is_finite() || x < least)
    {
        Some(&(name, ..)) => Err(SettingsError::OutOfRange(name)),
        None => Ok(()),
    }
}
