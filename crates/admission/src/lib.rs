//! A host's decisions on what it is asked to run: take it or turn it down with a reason, whom to push out, what to
//! start next, whom to evict. No I/O, no clock: the caller tells the time and carries the verdicts out. Stand-in
//! hosts and agents that run real processes share it, so that both turn down the same asks.

use std::collections::{BTreeMap, VecDeque};

/// What a host admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Its cores and memory (GiB).
    pub cores: f64,
    /// Memory, GiB.
    pub memory: f64,
    /// Asks are taken while they stay within this multiple of the cores...
    pub over_cores: f64,
    /// ...and this of the memory.
    pub over_memory: f64,
    /// So many asks may wait to be looked at.
    pub line: usize,
    /// So many tasks start at once.
    pub starts: usize,
    /// So many programs are kept after their last task.
    pub kept: usize,
    /// A task of higher priority pushes out those of lower.
    pub push_out: bool,
}

/// What a second copy of a task does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copies {
    /// No harm, or it is the placer's business.
    Any,
    /// Only one copy of this key may stand in this group of hosts.
    One {
        /// The group.
        group: u64,
        /// The key.
        key: u64,
    },
}

/// A task as it is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The attempt.
    pub attempt: u64,
    /// Its program: tasks of one service share it.
    pub program: u64,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for, GiB.
    pub memory: f64,
    /// Its priority.
    pub priority: u32,
    /// What a second copy does.
    pub copies: Copies,
}

/// Why an ask is turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too few cores.
    Cores,
    /// Too little memory.
    Memory,
    /// Too many asks wait.
    Line,
    /// The host drains.
    Draining,
    /// A copy stands.
    CopyStands,
}

/// What becomes of an ask that was looked at.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Taken, after these were pushed out for it.
    Taken {
        /// Attempts of lower priority that have to go.
        push_out: Vec<u64>,
    },
    /// Turned down.
    Refused(Refusal),
}

/// The keys of which a copy stands, by group. Hosts of one group share one table.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    standing: BTreeMap<(u64, u64), u64>,
}

impl KeyTable {
    /// The attempt that stands for a key.
    pub fn standing(&self, group: u64, key: u64) -> Option<u64> {
        self.standing.get(&(group, key)).copied()
    }

    fn stand(&mut self, group: u64, key: u64, attempt: u64) {
        self.standing.insert((group, key), attempt);
    }

    fn fall(&mut self, group: u64, key: u64, attempt: u64) {
        if self.standing.get(&(group, key)) == Some(&attempt) {
            self.standing.remove(&(group, key));
        }
    }
}

/// How far a task that was taken has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a start.
    Waiting,
    /// It starts.
    Starting,
    /// It runs.
    Running,
}

struct Taken {
    ask: Ask,
    stage: Stage,
}

/// What a host has taken, and its verdicts on more.
pub struct Admission {
    policy: Policy,
    line: VecDeque<Ask>,
    taken: BTreeMap<u64, Taken>,
    waiting: VecDeque<u64>,
    starting: usize,
    /// Programs without a task, the one without for longest first.
    kept: VecDeque<u64>,
    draining: bool,
}

impl Admission {
    /// A host with nothing on it.
    pub fn new(policy: Policy) -> Admission {
        Admission {
            policy,
            line: VecDeque::new(),
            taken: BTreeMap::new(),
            waiting: VecDeque::new(),
            starting: 0,
            kept: VecDeque::new(),
            draining: false,
        }
    }

    /// The policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it drains.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Puts an ask in the line, to be looked at in turn.
    pub fn queue(&mut self, ask: Ask) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::Draining);
        }
        if self.line.len() >= self.policy.line {
            return Err(Refusal::Line);
        }
        self.line.push_back(ask);
        Ok(())
    }

    /// Asks that wait to be looked at.
    pub fn in_line(&self) -> usize {
        self.line.len()
    }

    /// What is asked for by all that was taken: cores and memory.
    pub fn asked(&self) -> (f64, f64) {
        self.taken
            .values()
            .fold((0.0, 0.0), |(c, m), t| (c + t.ask.cores, m + t.ask.memory))
    }

    /// Looks at the first ask in the line.
    pub fn look(&mut self, keys: &mut KeyTable) -> Option<(Ask, Verdict)> {
        let ask = self.line.pop_front()?;
        let verdict = self.judge(&ask, keys);
        if let Verdict::Taken { push_out } = &verdict {
            for &attempt in push_out {
                self.end(attempt, keys);
            }
            if let Copies::One { group, key } = ask.copies {
                keys.stand(group, key, ask.attempt);
            }
            self.taken.insert(
                ask.attempt,
                Taken {
                    ask: ask.clone(),
                    stage: Stage::Waiting,
                },
            );
            self.waiting.push_back(ask.attempt);
        }
        Some((ask, verdict))
    }

    fn judge(&self, ask: &Ask, keys: &KeyTable) -> Verdict {
        if self.draining {
            return Verdict::Refused(Refusal::Draining);
        }
        if let Copies::One { group, key } = ask.copies
            && keys.standing(group, key).is_some()
        {
            return Verdict::Refused(Refusal::CopyStands);
        }
        let limit = (
            self.policy.cores * self.policy.over_cores,
            self.policy.memory * self.policy.over_memory,
        );
        let (mut cores, mut memory) = self.asked();
        let fits = |cores: f64, memory: f64| {
            (
                cores + ask.cores <= limit.0 + 1e-9,
                memory + ask.memory <= limit.1 + 1e-9,
            )
        };
        let mut push_out = Vec::new();
        if self.policy.push_out && fits(cores, memory) != (true, true) {
            // The lowest priority goes first, and of those the largest, so that few have to go.
            let mut lower: Vec<&Taken> = self
                .taken
                .values()
                .filter(|t| t.ask.priority < ask.priority)
                .collect();
            lower.sort_by(|a, b| {
                let size = |t: &Taken| t.ask.cores / limit.0 + t.ask.memory / limit.1;
                a.ask
                    .priority
                    .cmp(&b.ask.priority)
                    .then(size(b).total_cmp(&size(a)))
            });
            for t in lower {
                if fits(cores, memory) == (true, true) {
                    break;
                }
                (cores, memory) = (cores - t.ask.cores, memory - t.ask.memory);
                push_out.push(t.ask.attempt);
            }
        }
        match fits(cores, memory) {
            (true, true) => Verdict::Taken { push_out },
            (false, _) => Verdict::Refused(Refusal::Cores),
            (_, false) => Verdict::Refused(Refusal::Memory),
        }
    }

    fn has(&self, program: u64) -> bool {
        self.taken
            .values()
            .any(|t| t.ask.program == program && t.stage == Stage::Running)
    }

    /// The next task to be started, if one may; with whether its program is there already.
    pub fn next_start(&mut self) -> Option<(u64, bool)> {
        if self.starting >= self.policy.starts {
            return None;
        }
        let attempt = self.waiting.pop_front()?;
        let program = self.taken.get(&attempt)?.ask.program;
        let there = self.has(program) || self.kept.contains(&program);
        self.starting += 1;
        if let Some(taken) = self.taken.get_mut(&attempt) {
            taken.stage = Stage::Starting;
        }
        Some((attempt, there))
    }

    /// Takes up a task that an earlier life of the host had taken, as it then stood.
    pub fn restore(&mut self, ask: Ask, stage: Stage, keys: &mut KeyTable) {
        if let Copies::One { group, key } = ask.copies {
            keys.stand(group, key, ask.attempt);
        }
        match stage {
            Stage::Waiting => self.waiting.push_back(ask.attempt),
            Stage::Starting => self.starting += 1,
            Stage::Running => {}
        }
        self.taken.insert(ask.attempt, Taken { ask, stage });
    }

    /// A task that was to start does not, and waits for a start again, before all others.
    pub fn put_back(&mut self, attempt: u64) {
        if let Some(taken) = self
            .taken
            .get_mut(&attempt)
            .filter(|t| t.stage == Stage::Starting)
        {
            taken.stage = Stage::Waiting;
            self.starting -= 1;
            self.waiting.push_front(attempt);
        }
    }

    /// A task that was starting runs.
    pub fn started(&mut self, attempt: u64) {
        if let Some(taken) = self
            .taken
            .get_mut(&attempt)
            .filter(|t| t.stage == Stage::Starting)
        {
            taken.stage = Stage::Running;
            self.starting -= 1;
            let program = taken.ask.program;
            self.kept.retain(|&p| p != program);
        }
    }

    /// A task has ended, or is not wanted any more, whatever its stage. Tells whether it was known, and its stage.
    pub fn end(&mut self, attempt: u64, keys: &mut KeyTable) -> Option<Stage> {
        if let Some(at) = self.line.iter().position(|a| a.attempt == attempt) {
            self.line.remove(at);
            return Some(Stage::Waiting);
        }
        let taken = self.taken.remove(&attempt)?;
        if let Copies::One { group, key } = taken.ask.copies {
            keys.fall(group, key, attempt);
        }
        match taken.stage {
            Stage::Waiting => self.waiting.retain(|&a| a != attempt),
            Stage::Starting => self.starting -= 1,
            Stage::Running => {
                let program = taken.ask.program;
                if !self.has(program) {
                    self.kept.retain(|&p| p != program);
                    self.kept.push_back(program);
                    while self.kept.len() > self.policy.kept {
                        self.kept.pop_front();
                    }
                }
            }
        }
        Some(taken.stage)
    }

    /// Whom to evict so that what is used comes below `limit`: the lowest priority first, then those furthest over
    /// what they asked for. `used` tells the memory that a task uses.
    pub fn evict(&self, limit: f64, used: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut sum: f64 = self.taken.keys().map(|&a| used(a)).sum();
        let mut all: Vec<(&Taken, f64)> = self
            .taken
            .values()
            .map(|t| (t, used(t.ask.attempt)))
            .collect();
        all.sort_by(|a, b| {
            let over = |x: &(&Taken, f64)| x.1 - x.0.ask.memory;
            a.0.ask
                .priority
                .cmp(&b.0.ask.priority)
                .then(over(b).total_cmp(&over(a)))
        });
        let mut out = Vec::new();
        for (taken, memory) in all {
            if sum < limit {
                break;
            }
            if memory > 0.0 {
                sum -= memory;
                out.push(taken.ask.attempt);
            }
        }
        out
    }

    /// What was taken, with its stage.
    pub fn taken(&self) -> impl Iterator<Item = (&Ask, Stage)> {
        self.taken.values().map(|t| (&t.ask, t.stage))
    }

    /// The programs that were kept are gone.
    pub fn flush(&mut self) {
        self.kept.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn policy() -> Policy {
        Policy {
            cores: 8.0,
            memory: 16.0,
            over_cores: 1.5,
            over_memory: 1.0,
            line: 3,
            starts: 1,
            kept: 1,
            push_out: true,
        }
    }

    fn ask(attempt: u64, cores: f64, priority: u32) -> Ask {
        Ask {
            attempt,
            program: attempt % 10,
            cores,
            memory: 1.0,
            priority,
            copies: Copies::Any,
        }
    }

    fn offer(host: &mut Admission, keys: &mut KeyTable, ask: Ask) -> Verdict {
        host.queue(ask).expect("room in the line");
        host.look(keys).expect("one in the line").1
    }

    #[test]
    fn refuses_with_the_reason() {
        let (mut host, mut keys) = (Admission::new(policy()), KeyTable::default());
        assert_eq!(
            offer(&mut host, &mut keys, ask(1, 12.0, 0)),
            Verdict::Taken { push_out: vec![] }
        );
        assert_eq!(
            offer(&mut host, &mut keys, ask(2, 0.5, 0)),
            Verdict::Refused(Refusal::Cores)
        );
        let large = Ask {
            memory: 16.0,
            ..ask(3, 0.0, 0)
        };
        assert_eq!(
            offer(&mut host, &mut keys, large),
            Verdict::Refused(Refusal::Memory)
        );
        for n in 4..7 {
            host.queue(ask(n, 0.0, 0)).expect("room in the line");
        }
        assert_eq!(host.queue(ask(7, 0.0, 0)), Err(Refusal::Line));
        host.drain();
        assert_eq!(host.queue(ask(8, 0.0, 0)), Err(Refusal::Draining));
        assert_eq!(
            host.look(&mut keys).map(|v| v.1),
            Some(Verdict::Refused(Refusal::Draining))
        );
    }

    #[test]
    fn pushes_out_only_lower_priorities_and_only_as_many_as_needed() {
        let (mut host, mut keys) = (Admission::new(policy()), KeyTable::default());
        for (n, cores) in [(1, 2.0), (2, 5.0), (3, 5.0)] {
            offer(&mut host, &mut keys, ask(n, cores, 0));
        }
        assert_eq!(
            offer(&mut host, &mut keys, ask(4, 4.0, 1)),
            Verdict::Taken { push_out: vec![2] }
        );
        assert_eq!(
            offer(&mut host, &mut keys, ask(5, 11.0, 1)),
            Verdict::Refused(Refusal::Cores)
        );
        assert_eq!(host.taken().count(), 3);
    }

    #[test]
    fn one_copy_of_a_key_stands_in_a_group() {
        let mut keys = KeyTable::default();
        let (mut a, mut b) = (Admission::new(policy()), Admission::new(policy()));
        let mut other = Admission::new(policy());
        let keyed = |n| Ask {
            copies: Copies::One { group: 7, key: 99 },
            ..ask(n, 1.0, 0)
        };
        let elsewhere = Ask {
            copies: Copies::One { group: 8, key: 99 },
            ..ask(3, 1.0, 0)
        };
        assert!(matches!(
            offer(&mut a, &mut keys, keyed(1)),
            Verdict::Taken { .. }
        ));
        assert_eq!(
            offer(&mut b, &mut keys, keyed(2)),
            Verdict::Refused(Refusal::CopyStands)
        );
        assert!(matches!(
            offer(&mut other, &mut keys, elsewhere),
            Verdict::Taken { .. }
        ));
        a.end(1, &mut keys);
        assert!(matches!(
            offer(&mut b, &mut keys, keyed(4)),
            Verdict::Taken { .. }
        ));
    }

    #[test]
    fn starts_a_few_at_once_and_keeps_programs() {
        let (mut host, mut keys) = (Admission::new(policy()), KeyTable::default());
        offer(&mut host, &mut keys, ask(1, 1.0, 0));
        offer(&mut host, &mut keys, ask(11, 1.0, 0));
        assert_eq!(host.next_start(), Some((1, false)));
        assert_eq!(host.next_start(), None);
        host.started(1);
        assert_eq!(host.next_start(), Some((11, true)), "the program runs here");
        host.started(11);
        host.end(1, &mut keys);
        host.end(11, &mut keys);
        offer(&mut host, &mut keys, ask(21, 1.0, 0));
        assert_eq!(host.next_start(), Some((21, true)), "the program is kept");
        host.started(21);
        host.end(21, &mut keys);
        offer(&mut host, &mut keys, ask(2, 1.0, 0));
        host.next_start();
        host.started(2);
        host.end(2, &mut keys);
        offer(&mut host, &mut keys, ask(31, 1.0, 0));
        assert_eq!(
            host.next_start(),
            Some((31, false)),
            "another took its place"
        );
    }

    #[test]
    fn what_was_taken_in_an_earlier_life_counts_and_a_start_can_be_put_back() {
        let (mut host, mut keys) = (Admission::new(policy()), KeyTable::default());
        let keyed = |attempt| Ask {
            copies: Copies::One { group: 1, key: 7 },
            ..ask(attempt, 4.0, 0)
        };
        host.restore(keyed(1), Stage::Running, &mut keys);
        host.restore(ask(2, 1.0, 0), Stage::Waiting, &mut keys);
        assert_eq!(host.asked().0, 5.0);
        assert_eq!(
            offer(&mut host, &mut keys, keyed(3)),
            Verdict::Refused(Refusal::CopyStands)
        );
        assert_eq!(host.next_start().map(|s| s.0), Some(2));
        assert_eq!(host.next_start(), None);
        host.put_back(2);
        assert_eq!(host.next_start().map(|s| s.0), Some(2), "it waits again");
        assert_eq!(host.end(2, &mut keys), Some(Stage::Starting));
        assert_eq!(host.end(1, &mut keys), Some(Stage::Running));
        assert_eq!(keys.standing(1, 7), None);
    }

    #[test]
    fn evicts_the_lowest_priority_then_the_furthest_over() {
        let (mut host, mut keys) = (Admission::new(policy()), KeyTable::default());
        for (n, priority) in [(1, 1), (2, 0), (3, 0)] {
            offer(&mut host, &mut keys, ask(n, 1.0, priority));
        }
        let used = |attempt| if attempt == 3 { 8.0 } else { 5.0 };
        assert_eq!(host.evict(16.0, used), vec![3]);
        assert_eq!(host.evict(6.0, used), vec![3, 2]);
        assert_eq!(host.evict(20.0, used), Vec::<u64>::new());
    }
}
