//! What a node agent does, without I/O: frames of placers, ends of processes and timers in, a list of [`Do`] out.
//!
//! The list is carried out in two steps. First everything to be kept is made durable, in one commit; then the rest is
//! done in its order. So an acceptance leaves only after it is durable, and a program is started only after the intent
//! to start it is. If the commit fails nothing of the rest is done, and [`Agent::unkept`] takes the turn back.
//!
//! A task's fate goes accepted, starting, running, ended. After a kill at any instruction:
//!
//! - *accepted* never started, for starting is kept before the start: it is started now;
//! - *starting* may have a process or not: it is looked for by the marker in its environment, and if there is none the
//!   task may have run, and is ended so;
//! - *running* has a process with this pid and start time, or has ended while nobody looked;
//! - *ended* is told to its placer at the next greeting.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{
    Admission, Ask, Copies as AskCopies, KeyTable, Policy, Refusal, Stage, Verdict,
};
use maplethread_wire::frame::{Copies, Frame, Load, NoteKind, Offer, Reason};

/// Ends that no placer has heard of yet; beyond it the oldest attempt is forgotten, and its placer finds it missing.
const MOST_UNTOLD: usize = 1 << 16;

/// A store that failed is tried again after this, µs.
const TRY_STORE: u64 = 1_000_000;

/// A process that can't be mistaken for a later one of the same pid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its pid, which is its process group's too.
    pub pid: u32,
    /// When it started, in the kernel's ticks since boot.
    pub born: u64,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Taken, not started.
    Accepted,
    /// About to be started: from here on it may have run.
    Starting,
    /// It runs as this process.
    Running(Identity),
    /// It has ended; with whether it ever ran, or may have.
    Ended(Reason, bool),
}

/// What is kept of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// Whose it is.
    pub placer: Arc<str>,
    /// What was offered.
    pub offer: Offer,
    /// How far it has come.
    pub fate: Fate,
}

/// What is to be done later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Later {
    /// A task that was asked to end is ended by force.
    Force(u64),
    /// The store is tried again.
    TryStore,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Keep this of an attempt.
    Keep(u64, Kept),
    /// Keep nothing of it any more.
    Forget(u64),
    /// Keep that the host drains.
    KeepDrain,
    /// Send a frame to a placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Start an attempt's program, and tell by [`Agent::spawned`].
    Spawn(u64),
    /// Ask a process group to end, or make it.
    Kill(Identity, bool),
    /// Call [`Agent::due`] after so many µs.
    After(u64, Later),
}

struct Task {
    kept: Kept,
    /// When its offer was read, µs; 0 for one of an earlier life.
    read: u64,
    /// It was asked to end, and this is what its end will be told as.
    stopping: Option<Reason>,
}

/// What a recovered task's process was found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It runs.
    Alive(Identity),
    /// There is none.
    Gone,
}

/// The agent of one host.
pub struct Agent {
    name: Arc<str>,
    started_ms: u64,
    stop_grace: u64,
    admission: Admission,
    keys: KeyTable,
    tasks: BTreeMap<u64, Task>,
    /// Ends that their placers have not heard of.
    untold: BTreeMap<u64, Kept>,
    /// Ends that were told just now.
    told: Vec<u64>,
    /// The store takes nothing.
    closed: bool,
    /// Attempts that may still be in the store and have no place there.
    doubtful: Vec<u64>,
    now: u64,
}

impl Agent {
    /// An agent that holds nothing; `stop_grace` µs after it was asked to, a task is made to end.
    pub fn new(name: &str, started_ms: u64, policy: Policy, stop_grace: u64) -> Agent {
        Agent {
            name: name.into(),
            started_ms,
            stop_grace,
            admission: Admission::new(policy),
            keys: KeyTable::default(),
            tasks: BTreeMap::new(),
            untold: BTreeMap::new(),
            told: Vec::new(),
            closed: false,
            doubtful: Vec::new(),
            now: 0,
        }
    }

    /// Takes up what an earlier life kept; `found` tells of the process of each that may have one.
    pub fn recover(
        &mut self,
        now: u64,
        drains: bool,
        kept: Vec<(u64, Kept)>,
        found: impl Fn(u64, &Kept) -> Found,
        out: &mut Vec<Do>,
    ) {
        self.now = now;
        for (attempt, mut kept) in kept {
            let stage = match kept.fate {
                Fate::Ended(..) => {
                    self.untold.insert(attempt, kept);
                    continue;
                }
                Fate::Accepted => Stage::Waiting,
                Fate::Starting | Fate::Running(_) => match found(attempt, &kept) {
                    Found::Alive(identity) => {
                        kept.fate = Fate::Running(identity);
                        out.push(Do::Keep(attempt, kept.clone()));
                        Stage::Running
                    }
                    Found::Gone => {
                        // How it ended, nobody saw; a start that was cut off may have run.
                        let reason = match kept.fate {
                            Fate::Starting => Reason::Error,
                            _ => Reason::Unknown,
                        };
                        kept.fate = Fate::Ended(reason, true);
                        out.push(Do::Keep(attempt, kept.clone()));
                        self.untold.insert(attempt, kept);
                        continue;
                    }
                },
            };
            self.admission
                .restore(ask(&kept.offer), stage, &mut self.keys);
            self.tasks.insert(
                attempt,
                Task {
                    kept,
                    read: 0,
                    stopping: None,
                },
            );
        }
        if drains {
            self.admission.drain();
        }
        self.start_more(out);
    }

    /// What was offered as an attempt.
    pub fn offer(&self, attempt: u64) -> Option<&Offer> {
        self.tasks.get(&attempt).map(|t| &t.kept.offer)
    }

    /// All that is held, with its process if it has one.
    pub fn running(&self) -> impl Iterator<Item = (u64, Identity)> {
        self.tasks
            .iter()
            .filter_map(|(&attempt, t)| match t.kept.fate {
                Fate::Running(identity) => Some((attempt, identity)),
                _ => None,
            })
    }

    fn load(&self) -> Load {
        let (cores, memory) = self.admission.asked();
        let policy = self.admission.policy();
        Load {
            cores: policy.cores - cores,
            memory: policy.memory - memory,
        }
    }

    /// A placer has greeted: who this is, the ends that it has not heard of, and all that is held of it. A placer of
    /// minor version 0 takes ends after that only, with [`Agent::tell`], and has taken those tasks for lost by then.
    pub fn greeted(&mut self, placer: &Arc<str>, minor: u16, out: &mut Vec<Do>) {
        let send = |frame| Do::Send(placer.clone(), frame);
        out.push(send(Frame::Hello {
            major: maplethread_wire::frame::MAJOR,
            minor: maplethread_wire::frame::MINOR,
            name: self.name.to_string(),
            started_ms: self.started_ms,
            most_offers: self.admission.policy().line as u32,
        }));
        if minor >= 1 {
            self.tell(|connected| *connected == **placer, out);
        }
        for task in self.tasks.values().filter(|t| t.kept.placer == *placer) {
            let runs = matches!(task.kept.fate, Fate::Running(_));
            out.push(send(Frame::Held(task.kept.offer.clone(), runs)));
        }
        out.push(send(Frame::HeldEnd));
        if self.admission.draining() {
            out.push(send(Frame::Drain));
        }
    }

    /// A frame of a placer that has greeted.
    pub fn frame(&mut self, now: u64, placer: &Arc<str>, frame: Frame, out: &mut Vec<Do>) {
        self.now = self.now.max(now);
        match frame {
            Frame::Offer(offer) => self.offered(placer, offer, out),
            Frame::Cancel(attempt) | Frame::Stop(attempt)
                if self
                    .tasks
                    .get(&attempt)
                    .is_some_and(|t| t.kept.placer == *placer) =>
            {
                self.stop(attempt, Reason::Stopped, out);
            }
            Frame::Probe(nonce) => {
                out.push(Do::Send(placer.clone(), Frame::Report(nonce, self.load())))
            }
            Frame::Ping(nonce) => out.push(Do::Send(placer.clone(), Frame::Pong(nonce))),
            _ => {}
        }
    }

    fn offered(&mut self, placer: &Arc<str>, offer: Offer, out: &mut Vec<Do>) {
        let attempt = offer.attempt;
        if self.tasks.contains_key(&attempt) || self.untold.contains_key(&attempt) {
            // Attempt numbers are used once; a second one is a placer's error and starts nothing.
            tracing::warn!(%placer, attempt, "an attempt was offered twice");
            return;
        }
        let refuse =
            |reason, load| Do::Send(placer.clone(), Frame::Refused(attempt, reason, Some(load)));
        if self.closed {
            out.push(refuse(Reason::NotHere, self.load()));
            return;
        }
        if let Err(refusal) = self.admission.queue(ask(&offer)) {
            out.push(refuse(reason(refusal), self.load()));
            return;
        }
        let task = Task {
            kept: Kept {
                placer: placer.clone(),
                offer,
                fate: Fate::Accepted,
            },
            read: self.now,
            stopping: None,
        };
        self.tasks.insert(attempt, task);
        while let Some((ask, verdict)) = self.admission.look(&mut self.keys) {
            self.verdict(ask.attempt, verdict, out);
        }
        self.start_more(out);
    }

    fn verdict(&mut self, attempt: u64, verdict: Verdict, out: &mut Vec<Do>) {
        match verdict {
            Verdict::Refused(refusal) => {
                if let Some(task) = self.tasks.remove(&attempt) {
                    let refused = Frame::Refused(attempt, reason(refusal), Some(self.load()));
                    out.push(Do::Send(task.kept.placer, refused));
                }
            }
            Verdict::Taken { push_out } => {
                // Their room is another's already.
                push_out
                    .into_iter()
                    .for_each(|gone| self.stop(gone, Reason::PushedOut, out));
                let Some(task) = self.tasks.get(&attempt) else {
                    return;
                };
                out.push(Do::Keep(attempt, task.kept.clone()));
                let took = self.took(task);
                out.push(Do::Send(
                    task.kept.placer.clone(),
                    Frame::Accepted(attempt, took),
                ));
            }
        }
    }

    fn took(&self, task: &Task) -> u32 {
        if task.read == 0 {
            0
        } else {
            (self.now.saturating_sub(task.read) / 1000) as u32
        }
    }

    fn start_more(&mut self, out: &mut Vec<Do>) {
        while let Some((attempt, _)) = self.admission.next_start() {
            let Some(task) = self.tasks.get_mut(&attempt) else {
                continue;
            };
            task.kept.fate = Fate::Starting;
            out.push(Do::Keep(attempt, task.kept.clone()));
            out.push(Do::Spawn(attempt));
        }
    }

    /// A program was started, or could not be.
    pub fn spawned(
        &mut self,
        now: u64,
        attempt: u64,
        process: Result<Identity, Reason>,
        out: &mut Vec<Do>,
    ) {
        self.now = self.now.max(now);
        match process {
            Ok(identity) => {
                self.admission.started(attempt);
                let Some(task) = self.tasks.get_mut(&attempt) else {
                    return;
                };
                task.kept.fate = Fate::Running(identity);
                out.push(Do::Keep(attempt, task.kept.clone()));
                let task = &self.tasks[&attempt];
                out.push(Do::Send(
                    task.kept.placer.clone(),
                    Frame::Started(attempt, self.took(task)),
                ));
                if let Some(reason) = task.stopping {
                    self.stop(attempt, reason, out);
                }
            }
            Err(reason) => self.ended(attempt, reason, false, out),
        }
        self.start_more(out);
    }

    /// A process has ended; `well` tells whether it said that all went well, if that is known.
    pub fn exited(&mut self, now: u64, attempt: u64, well: Option<bool>, out: &mut Vec<Do>) {
        self.now = self.now.max(now);
        let stopping = self.tasks.get(&attempt).and_then(|t| t.stopping);
        let reason = stopping.unwrap_or(match well {
            Some(true) => Reason::Done,
            Some(false) => Reason::Error,
            None => Reason::Unknown,
        });
        self.ended(attempt, reason, true, out);
        self.start_more(out);
    }

    fn ended(&mut self, attempt: u64, reason: Reason, ran: bool, out: &mut Vec<Do>) {
        self.admission.end(attempt, &mut self.keys);
        let Some(mut task) = self.tasks.remove(&attempt) else {
            return;
        };
        task.kept.fate = Fate::Ended(reason, ran);
        out.push(Do::Keep(attempt, task.kept.clone()));
        self.untold.insert(attempt, task.kept);
        while self.untold.len() > MOST_UNTOLD
            && let Some((oldest, _)) = self.untold.pop_first()
        {
            out.push(Do::Forget(oldest));
        }
    }

    /// Tells ends to the placers that are connected, and forgets in the next turn those told in this one: an end is in
    /// the store until it has left.
    pub fn tell(&mut self, connected: impl Fn(&str) -> bool, out: &mut Vec<Do>) {
        out.extend(self.told.drain(..).map(Do::Forget));
        let heard: Vec<u64> = self
            .untold
            .iter()
            .filter(|(_, k)| connected(&k.placer))
            .map(|(&attempt, _)| attempt)
            .collect();
        for attempt in heard {
            let Some(kept) = self.untold.remove(&attempt) else {
                continue;
            };
            if let Fate::Ended(reason, ran) = kept.fate {
                let ended = Frame::Ended(attempt, reason, ran, Some(self.load()));
                out.push(Do::Send(kept.placer, ended));
            }
            self.told.push(attempt);
        }
    }

    /// A task is to end, and to be told so.
    fn stop(&mut self, attempt: u64, reason: Reason, out: &mut Vec<Do>) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        match task.kept.fate {
            // Its process is being made: it is asked to end as soon as there is one.
            Fate::Starting => task.stopping = Some(reason),
            Fate::Running(identity) => {
                task.stopping = Some(reason);
                out.push(Do::Kill(identity, false));
                out.push(Do::After(self.stop_grace, Later::Force(attempt)));
            }
            Fate::Accepted | Fate::Ended(..) => {
                self.ended(attempt, reason, false, out);
                self.start_more(out);
            }
        }
    }

    /// Something falls due.
    pub fn due(&mut self, now: u64, later: Later, out: &mut Vec<Do>) {
        self.now = self.now.max(now);
        match later {
            Later::Force(attempt) => {
                if let Some(Task {
                    kept:
                        Kept {
                            fate: Fate::Running(identity),
                            ..
                        },
                    stopping: Some(_),
                    ..
                }) = self.tasks.get(&attempt)
                {
                    out.push(Do::Kill(*identity, true));
                }
            }
            Later::TryStore => {
                self.closed = false;
                out.extend(self.doubtful.drain(..).map(Do::Forget));
                self.start_more(out);
            }
        }
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self, placers: impl Iterator<Item = Arc<str>>, out: &mut Vec<Do>) {
        if !self.admission.draining() {
            self.admission.drain();
            out.push(Do::KeepDrain);
            out.extend(placers.map(|placer| Do::Send(placer, Frame::Drain)));
        }
    }

    /// What was to be kept in a turn could not be, and nothing of the turn was told or begun. Whether an acceptance is in
    /// the store all the same is not known, and a later life might start it: so it is answered that it may have run, and
    /// forgotten once the store takes it. Starts wait. All else is told as it is: a later life that reads the older
    /// fate finds the process, or finds it gone. Nothing new is taken until the store is tried again.
    pub fn unkept(&mut self, turn: &[Do], out: &mut Vec<Do>) {
        for what in turn {
            match what {
                Do::Keep(..) | Do::KeepDrain => {}
                Do::Forget(attempt) => self.doubtful.push(*attempt),
                Do::Send(placer, Frame::Accepted(attempt, _)) => {
                    self.admission.end(*attempt, &mut self.keys);
                    self.tasks.remove(attempt);
                    self.doubtful.push(*attempt);
                    let ended = Frame::Ended(*attempt, Reason::Error, true, Some(self.load()));
                    out.push(Do::Send(placer.clone(), ended));
                }
                Do::Spawn(attempt) => {
                    if let Some(task) = self.tasks.get_mut(attempt) {
                        task.kept.fate = Fate::Accepted;
                        self.admission.put_back(*attempt);
                    }
                }
                other => out.push(other.clone()),
            }
        }
        if !std::mem::replace(&mut self.closed, true) {
            out.push(Do::After(TRY_STORE, Later::TryStore));
        }
    }

    /// Notes of what a task's processes use.
    pub fn used(&self, attempt: u64, cores: f64, memory_gib: f64, out: &mut Vec<Do>) {
        let Some(task) = self.tasks.get(&attempt) else {
            return;
        };
        let note = |kind, x| Do::Send(task.kept.placer.clone(), Frame::Note(attempt, kind, x));
        out.push(note(NoteKind::Cores, cores));
        out.push(note(NoteKind::Memory, memory_gib));
    }
}

fn ask(offer: &Offer) -> Ask {
    let copies = match offer.copies {
        Copies::Keyed(key) => AskCopies::One { group: 0, key },
        Copies::Safe | Copies::Unsafe => AskCopies::Any,
    };
    Ask {
        attempt: offer.attempt,
        program: offer.service.bytes().fold(7, |h: u64, b| {
            h.wrapping_mul(131).wrapping_add(u64::from(b))
        }),
        cores: offer.asks.cores,
        memory: offer.asks.memory,
        priority: offer.priority,
        copies,
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
