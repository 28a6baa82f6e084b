//! One stand-in host, without I/O: admission by the shared module, and simulated work. Cores, memory and service
//! are simulated figures, as the users' pages describe them; frames and their times are real.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{
    Admission, Ask, Copies as AskCopies, KeyTable, Policy, Refusal, Stage, Verdict,
};
use maplethread_wire::frame::{Copies, Frame, Load, NoteKind, Offer, Reason};

use crate::scenario::Scenario;
use crate::world::{Dice, World};

/// What goes wrong with a host just now.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// It reads and never answers.
    pub silent: bool,
    /// Share of the starts that fail at once.
    pub errors: f64,
    /// Share of one class's asks that fail (true) or stay unanswered (false).
    pub class: Option<(String, f64, bool)>,
    /// Share of the answers that are lost.
    pub answers_lost: f64,
    /// Share of the cores that another program takes.
    pub neighbour: f64,
    /// Looking at an ask takes so many times as long; 0 for as long as ever.
    pub slow: f64,
    /// Share of one class's new tasks that use three times the cores and twice the memory that they would.
    pub heavy: Option<(String, f64)>,
    /// Share of the services all of whose tasks use twice the cores that they asked for.
    pub hot: f64,
    /// The programs that were kept are gone.
    pub programs_lost: bool,
}

/// What a host has to do later.
#[derive(Clone, Copy, Debug)]
pub enum Later {
    /// Look at the next ask.
    Look,
    /// A start is done.
    Started(u64),
    /// A task's life is over.
    Over(u64),
}

/// What a host wants done.
pub enum Do {
    /// Send a frame to this placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Call back after so long, µs.
    After(u64, Later),
    /// It has fallen over and stays down.
    FallOver,
}

struct Task {
    offer: Offer,
    placer: Arc<str>,
    read: u64,
    /// What it uses once it runs, and its memory after growing.
    cores: f64,
    memory: f64,
    runs_since: Option<u64>,
    noted: u64,
}

/// What a task uses while so large a share of the services is hot: all hosts see the same ones so.
fn cores_of(task: &Task, hot: f64) -> f64 {
    let place = task
        .offer
        .service
        .bytes()
        .fold(11, |h: u32, b| h.wrapping_mul(16_777_619) ^ u32::from(b));
    let is_hot = f64::from(place % 1000) < hot * 1000.0;
    if is_hot {
        task.cores.max(2.0 * task.offer.asks.cores)
    } else {
        task.cores
    }
}

/// The kind of a host and where it stands.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: Arc<str>,
    pub zone: String,
    pub cell: String,
    pub cores: f64,
    pub memory: f64,
    pub speed: f64,
}

/// A host's process.
pub struct Host {
    pub spec: Spec,
    pub started: u64,
    faults: Faults,
    scenario: Arc<Scenario>,
    world: World,
    admission: Admission,
    tasks: BTreeMap<u64, Task>,
    /// Asks in the line, by attempt.
    asked: BTreeMap<u64, Task>,
    looking: bool,
    dice: Dice,
    /// Offers while it is cold.
    offers: Vec<u64>,
    worst_told: BTreeMap<Arc<str>, u64>,
    /// When it last measured all that runs, where it measures together.
    measured: u64,
}

/// What runs is measured, and told to its placers, this often, µs.
const MEASURE_EVERY: u64 = 2_000_000;
/// Over this share of memory all tasks slow down, and placers are told.
const TIGHT: f64 = 0.92;

impl Host {
    pub fn new(
        spec: Spec,
        scenario: Arc<Scenario>,
        world: World,
        mut dice: Dice,
        cold: bool,
    ) -> Host {
        let fleet = &scenario.fleet;
        let policy = Policy {
            cores: spec.cores,
            memory: spec.memory,
            over_cores: fleet.over_cores,
            over_memory: fleet.over_memory,
            line: fleet.line,
            starts: fleet.starts,
            kept: fleet.kept,
            push_out: fleet.push_out,
        };
        // A host that is up when the day begins started long ago.
        let now = world.clock.now();
        let started = if cold { now } else { now - 3_600_000_000 } / 1000 * 1000;
        // Hosts don't measure in step with each other.
        let ago = if fleet.measures_together {
            dice.between([0.0, MEASURE_EVERY as f64]) as u64
        } else {
            0
        };
        Host {
            spec,
            started,
            faults: Faults::default(),
            admission: Admission::new(policy),
            scenario,
            world,
            tasks: BTreeMap::new(),
            asked: BTreeMap::new(),
            looking: false,
            dice,
            offers: Vec::new(),
            worst_told: BTreeMap::new(),
            measured: now - ago,
        }
    }

    /// A new process in its place, cold.
    pub fn restart(&mut self) {
        self.die();
        let cold = self.dice.seed();
        *self = Host::new(
            self.spec.clone(),
            self.scenario.clone(),
            self.world.clone(),
            Dice::new(cold, 5),
            true,
        );
    }

    /// All that ran is lost.
    pub fn die(&mut self) {
        for task in self.tasks.values().filter(|t| t.runs_since.is_some()) {
            self.world.ledger().ends(&task.offer.actor);
        }
        self.tasks.clear();
        self.asked.clear();
    }

    /// What ails it from now on.
    pub fn ail(&mut self, faults: Faults) {
        if faults.programs_lost && !self.faults.programs_lost {
            self.admission.flush();
        }
        self.faults = faults;
    }

    /// Whether it reads and never answers.
    pub fn silent(&self) -> bool {
        self.faults.silent
    }

    /// Lets go of keys that it let stand.
    pub fn forget_keys(&mut self, keys: &mut KeyTable) {
        for attempt in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.admission.end(attempt, keys);
        }
    }

    pub fn draining(&self) -> bool {
        self.admission.draining()
    }

    pub fn drain(&mut self) {
        self.admission.drain();
    }

    /// What it holds of a placer.
    pub fn held(&self, placer: &str) -> Vec<Frame> {
        let own = self.tasks.values().filter(|t| *t.placer == *placer);
        own.map(|t| Frame::Held(t.offer.clone(), t.runs_since.is_some()))
            .collect()
    }

    /// Its pace, less while it is cold.
    fn pace(&self, now: u64) -> f64 {
        let rules = &self.scenario.rules;
        let age = (now - self.started.min(now)) as f64 / 1000.0 / rules.cold_for_ms as f64;
        (rules.cold_from + (1.0 - rules.cold_from) * age).min(1.0)
            * (1.0 - self.faults.neighbour)
            * self.spec.speed
    }

    fn load(&self) -> Option<Load> {
        let (cores, memory) = self.admission.asked();
        Some(Load {
            cores: self.spec.cores - cores,
            memory: self.spec.memory - memory,
        })
    }

    /// Answers of attempts may be lost on the way; other frames are not.
    fn answer(&mut self, placer: &Arc<str>, frame: Frame, out: &mut Vec<Do>) {
        if !self.faults.silent && !self.dice.chance(self.faults.answers_lost) {
            out.push(Do::Send(placer.clone(), frame));
        }
    }

    /// A frame from a placer that has greeted.
    pub fn frame(
        &mut self,
        now: u64,
        placer: &Arc<str>,
        frame: Frame,
        keys: &mut KeyTable,
        out: &mut Vec<Do>,
    ) {
        match frame {
            Frame::Offer(offer) => self.offer(now, placer, offer, out),
            Frame::Cancel(attempt) | Frame::Stop(attempt) => {
                let mine = |t: &Task| *t.placer == **placer;
                if self.tasks.get(&attempt).is_some_and(mine)
                    || self.asked.get(&attempt).is_some_and(mine)
                {
                    let ran = self.finish(attempt, keys);
                    let ended = Frame::Ended(attempt, Reason::Stopped, ran, self.load());
                    self.answer(placer, ended, out);
                    self.start_more(now, out);
                }
            }
            Frame::Probe(nonce) if !self.faults.silent => {
                let load = self.load().unwrap_or_default();
                out.push(Do::Send(placer.clone(), Frame::Report(nonce, load)));
            }
            Frame::Ping(nonce) if !self.faults.silent => {
                out.push(Do::Send(placer.clone(), Frame::Pong(nonce)))
            }
            _ => {}
        }
    }

    fn offer(&mut self, now: u64, placer: &Arc<str>, offer: Offer, out: &mut Vec<Do>) {
        if self.falls_over(now) {
            out.push(Do::FallOver);
            return;
        }
        if self.faults.silent {
            return;
        }
        let attempt = offer.attempt;
        if self.dice.chance(self.faults.errors) {
            let ran = self.dice.chance(0.5);
            self.answer(placer, Frame::Ended(attempt, Reason::Error, ran, None), out);
            return;
        }
        if let Some((class, share, errors)) = self.faults.class.clone()
            && class == offer.class
            && self.dice.chance(share)
        {
            if errors {
                self.answer(
                    placer,
                    Frame::Ended(attempt, Reason::Error, false, None),
                    out,
                );
            }
            return;
        }
        let copies = match offer.copies {
            Copies::Keyed(key) => AskCopies::One {
                group: self.group(&offer.class),
                key,
            },
            Copies::Safe | Copies::Unsafe => AskCopies::Any,
        };
        let ask = Ask {
            attempt,
            program: offer.service.bytes().fold(7, |h: u64, b| {
                h.wrapping_mul(131).wrapping_add(u64::from(b))
            }),
            cores: offer.asks.cores,
            memory: offer.asks.memory,
            priority: offer.priority,
            copies,
        };
        match self.admission.queue(ask) {
            Err(refusal) => {
                let refused = Frame::Refused(attempt, reason(refusal), self.load());
                self.answer(placer, refused, out);
            }
            Ok(()) => {
                let uses = self
                    .scenario
                    .class
                    .iter()
                    .find(|c| c.rules.name == offer.class)
                    .map_or([1.0; 2], |c| c.uses);
                let swing = self.dice.between([0.6, 1.4]);
                let heavy = match self.faults.heavy.clone() {
                    Some((class, share)) if class == offer.class && self.dice.chance(share) => {
                        [3.0, 2.0]
                    }
                    _ => [1.0, 1.0],
                };
                let memory = offer.asks.memory * uses[1] * self.dice.between([0.8, 1.2]);
                let task = Task {
                    cores: (offer.asks.cores * uses[0] * swing * heavy[0]).max(0.0),
                    memory: (memory * heavy[1]).max(0.0),
                    offer,
                    placer: placer.clone(),
                    read: now,
                    runs_since: None,
                    noted: now,
                };
                self.asked.insert(attempt, task);
                self.look_later(out);
            }
        }
    }

    /// Hosts that know each other's keys of a class.
    fn group(&self, class: &str) -> u64 {
        use maplethread_config::Group;
        let rules = self.scenario.class.iter().find(|c| c.rules.name == class);
        let place = match rules.and_then(|c| c.rules.group) {
            Some(Group::Zone) => self.spec.zone.clone(),
            Some(Group::Cell) => format!("{}/{}", self.spec.zone, self.spec.cell),
            _ => String::new(),
        };
        place.bytes().fold(11, |h: u64, b| {
            h.wrapping_mul(131).wrapping_add(u64::from(b))
        })
    }

    /// A cold host that is sent too much falls over.
    fn falls_over(&mut self, now: u64) -> bool {
        let rules = &self.scenario.rules;
        if now >= self.started + rules.cold_for_ms * 1000 {
            self.offers.clear();
            return false;
        }
        let window = rules.fall_window_ms * 1000;
        self.offers.retain(|&at| at + window >= now);
        self.offers.push(now);
        let work = self.scenario.class.first().map_or(100.0, |c| c.work_ms) * 1000.0;
        let can = self.pace(now) * self.scenario.fleet.starts as f64 * window as f64 / work;
        self.offers.len() as f64 > rules.fresh_offers.max(rules.fall_multiple * can)
    }

    fn look_later(&mut self, out: &mut Vec<Do>) {
        if !self.looking && self.admission.in_line() > 0 {
            self.looking = true;
            let ms = self.dice.between(self.scenario.fleet.admit_ms) * self.faults.slow.max(1.0);
            out.push(Do::After((ms * 1000.0) as u64, Later::Look));
        }
    }

    /// Something falls due.
    pub fn due(&mut self, now: u64, later: Later, keys: &mut KeyTable, out: &mut Vec<Do>) {
        match later {
            Later::Look => {
                self.looking = false;
                if let Some((ask, verdict)) = self.admission.look(keys) {
                    self.verdict(now, ask, verdict, out);
                }
                self.look_later(out);
                self.start_more(now, out);
            }
            Later::Started(attempt) => {
                self.admission.started(attempt);
                let Some(task) = self.tasks.get_mut(&attempt) else {
                    return;
                };
                task.runs_since = Some(now);
                let took = ((now - task.read) / 1000) as u32;
                let (placer, life) = (task.placer.clone(), task.offer.life_ms * 1000);
                self.world.ledger().starts(&task.offer.actor, now);
                self.answer(&placer, Frame::Started(attempt, took), out);
                if life > 0 {
                    out.push(Do::After(life, Later::Over(attempt)));
                }
                self.start_more(now, out);
            }
            Later::Over(attempt) => self.over(now, attempt, Reason::Done, keys, out),
        }
    }

    fn verdict(&mut self, now: u64, ask: Ask, verdict: Verdict, out: &mut Vec<Do>) {
        let Some(task) = self.asked.remove(&ask.attempt) else {
            return;
        };
        let placer = task.placer.clone();
        match verdict {
            Verdict::Refused(refusal) => {
                let refused = Frame::Refused(ask.attempt, reason(refusal), self.load());
                self.answer(&placer, refused, out);
            }
            Verdict::Taken { push_out } => {
                for attempt in push_out {
                    if let Some(gone) = self.tasks.remove(&attempt) {
                        self.gone(&gone, attempt, Reason::PushedOut, out);
                    }
                }
                let took = ((now - task.read) / 1000) as u32;
                self.tasks.insert(ask.attempt, task);
                self.answer(&placer, Frame::Accepted(ask.attempt, took), out);
            }
        }
    }

    fn gone(&mut self, task: &Task, attempt: u64, why: Reason, out: &mut Vec<Do>) {
        let ran = task.runs_since.is_some();
        if ran {
            self.world.ledger().ends(&task.offer.actor);
        }
        // Losing a task is not an answer that gets lost on its way: the next greeting tells it at the latest.
        if !self.faults.silent {
            out.push(Do::Send(
                task.placer.clone(),
                Frame::Ended(attempt, why, ran, self.load()),
            ));
        }
    }

    fn over(
        &mut self,
        now: u64,
        attempt: u64,
        why: Reason,
        keys: &mut KeyTable,
        out: &mut Vec<Do>,
    ) {
        self.admission.end(attempt, keys);
        if let Some(task) = self.tasks.remove(&attempt) {
            self.gone(&task, attempt, why, out);
        }
        self.start_more(now, out);
    }

    /// Takes a task away without a word; whether it ever ran.
    fn finish(&mut self, attempt: u64, keys: &mut KeyTable) -> bool {
        let stage = self.admission.end(attempt, keys);
        self.asked.remove(&attempt);
        if let Some(task) = self.tasks.remove(&attempt)
            && task.runs_since.is_some()
        {
            self.world.ledger().ends(&task.offer.actor);
        }
        !matches!(stage, Some(Stage::Waiting) | None)
    }

    fn start_more(&mut self, now: u64, out: &mut Vec<Do>) {
        while let Some((attempt, there)) = self.admission.next_start() {
            let class = self
                .tasks
                .get(&attempt)
                .map(|t| t.offer.class.clone())
                .unwrap_or_default();
            let class = self.scenario.class.iter().find(|c| c.rules.name == class);
            let work = class.map_or(50.0, |c| c.work_ms)
                * if there {
                    1.0
                } else {
                    self.scenario.fleet.setup
                };
            let took = work * self.dice.between([0.7, 1.3]) / self.pace(now).max(0.02);
            out.push(Do::After((took * 1000.0) as u64, Later::Started(attempt)));
        }
    }

    /// Whether it holds tasks, so that a span of service matters.
    pub fn busy(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Serves what runs for a span, tells placers how it fares, and evicts when memory runs out.
    pub fn serve(&mut self, from: u64, now: u64, keys: &mut KeyTable, out: &mut Vec<Do>) {
        let grows = 4_000_000.0;
        let memory_of = |t: &Task| {
            let part = t
                .runs_since
                .map_or(0.3, |s| ((now - s.min(now)) as f64 / grows).clamp(0.3, 1.0));
            t.memory * part
        };
        let memory: f64 = self.tasks.values().map(memory_of).sum();
        if memory > self.spec.memory {
            let used = |a: u64| self.tasks.get(&a).map_or(0.0, memory_of);
            for attempt in self.admission.evict(self.spec.memory * TIGHT, used) {
                self.over(now, attempt, Reason::Evicted, keys, out);
            }
        }
        let cores = self.spec.cores * (1.0 - self.faults.neighbour) * self.spec.speed;
        let share = memory / self.spec.memory;
        let slow = if share > TIGHT {
            1.0 - 0.7 * ((share - TIGHT) / (1.0 - TIGHT)).min(1.0)
        } else {
            1.0
        };
        let running: Vec<(u32, f64)> = self
            .tasks
            .values()
            .filter(|t| t.runs_since.is_some())
            .map(|t| (t.offer.priority, cores_of(t, self.faults.hot)))
            .collect();
        let starting: f64 = self
            .admission
            .taken()
            .filter(|t| t.1 == Stage::Starting)
            .map(|_| 0.5)
            .sum();
        let together = self.scenario.fleet.measures_together;
        let periods = now.saturating_sub(self.measured) / MEASURE_EVERY;
        let (measures, measured) = (together && periods > 0, self.measured);
        if measures {
            self.measured += periods * MEASURE_EVERY;
        }
        let mut worst: BTreeMap<Arc<str>, (u64, f64)> = BTreeMap::new();
        let mut notes = Vec::new();
        for (&attempt, task) in &mut self.tasks {
            let Some(since) = task.runs_since else {
                continue;
            };
            let class = self
                .scenario
                .class
                .iter()
                .find(|c| c.rules.name == task.offer.class);
            let (calm, fade) = class.map_or((1.0, 1.0), |c| (c.calm, c.fade));
            let own = task.offer.priority;
            let busy: f64 = running
                .iter()
                .map(|&(p, c)| if p >= own { c } else { 0.4 * c })
                .sum::<f64>()
                + starting;
            let busy = busy / cores.max(0.1);
            let served = (1.0 - (busy - calm) / fade.max(1e-6)).clamp(0.0, 1.0) * slow;
            self.world
                .ledger()
                .serve(&task.offer.actor, from.max(since), now, served);
            if served < 0.95 {
                let entry = worst
                    .entry(task.placer.clone())
                    .or_insert((attempt, served));
                if served < entry.1 {
                    *entry = (attempt, served);
                }
            }
            let due = if together {
                measures && since <= measured
            } else {
                task.noted + MEASURE_EVERY <= now
            };
            if due {
                task.noted = now;
                notes.push((
                    task.placer.clone(),
                    Frame::Note(attempt, NoteKind::Cores, cores_of(task, self.faults.hot)),
                ));
                notes.push((
                    task.placer.clone(),
                    Frame::Note(attempt, NoteKind::Memory, memory_of(task)),
                ));
            }
        }
        let mut tight = Vec::new();
        if share > 0.85 {
            for (&attempt, task) in &self.tasks {
                if task.runs_since.is_some() && !worst.contains_key(&task.placer) {
                    worst.insert(task.placer.clone(), (attempt, 1.0));
                }
            }
        }
        for (placer, (attempt, served)) in worst {
            let told = self.worst_told.entry(placer.clone()).or_default();
            if *told + 1_000_000 > now {
                continue;
            }
            *told = now;
            if served < 0.95 {
                notes.push((
                    placer.clone(),
                    Frame::Note(attempt, NoteKind::Served, served),
                ));
            }
            if share > 0.85 {
                tight.push((placer, Frame::Note(attempt, NoteKind::HostMemory, share)));
            }
        }
        if !self.faults.silent {
            out.extend(
                notes
                    .into_iter()
                    .chain(tight)
                    .map(|(placer, frame)| Do::Send(placer, frame)),
            );
        }
    }
}

fn reason(refusal: Refusal) -> Reason {
    match refusal {
        Refusal::Cores => Reason::Cores,
        Refusal::Memory => Reason::Memory,
        Refusal::Line => Reason::Line,
        Refusal::Draining | Refusal::CopyStands => Reason::NotHere,
    }
}
