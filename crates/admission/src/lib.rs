//! A host's decisions on what it is asked to run: take it or turn it down with a reason, whom to push out, what to
//! start next, whom to evict. No I/O, no clock: the caller tells the time and carries the verdicts out. Stand-in
//! hosts and agents that run real processes share it, so that both turn down the same asks.

use std::collections::{BTreeMap, VecDeque};

/// What a host admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Its cores and memory (GiB).
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
    /// Asks are taken while they stay within this multiple of the cores...
    pub cpu_overcommit: f64,
    /// ...and this of the memory.
    pub memory_overcommit: f64,
    /// So many asks may wait to be looked at.
    pub max_queue_length: usize,
    /// So many tasks start at once.
    pub max_concurrent_starts: usize,
    /// So many programs are kept after their last task.
    pub max_warm_programs: usize,
    /// A task of higher priority pushes out those of lower.
    pub allows_preemption: bool,
}

/// What a second copy of a task does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deduplication {
    /// No harm, or it is the placer's business.
    Disabled,
    /// Only one copy of this key may stand in this group of hosts.
    OnePerKey {
        /// The group.
        group: u64,
        /// The key.
        key: u64,
    },
}

/// A task as it is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRequest {
    /// The attempt.
    pub attempt_id: u64,
    /// Its program: tasks of one service share it.
    pub program_id: u64,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for, GiB.
    pub memory_gib: f64,
    /// Its priority.
    pub priority: u32,
    /// What a second copy does.
    pub deduplication: Deduplication,
}

/// Why an ask is turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Too few cores.
    InsufficientCores,
    /// Too little memory.
    InsufficientMemory,
    /// Too many asks wait.
    QueueFull,
    /// The host drains.
    Draining,
    /// A copy stands.
    DuplicateKey,
}

/// What becomes of an ask that was looked at.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Taken, after these were pushed out for it.
    Admitted {
        /// Attempts of lower priority that have to go.
        preempted: Vec<u64>,
    },
    /// Turned down.
    Rejected(RejectionReason),
}

/// The keys of which a copy stands, by group. Hosts of one group share one table.
#[derive(Clone, Debug, Default)]
pub struct DeduplicationTable {
    holders: BTreeMap<(u64, u64), u64>,
}

impl DeduplicationTable {
    /// The attempt that stands for a key.
    pub fn holder(&self, group: u64, key: u64) -> Option<u64> {
        self.holders.get(&(group, key)).copied()
    }

    fn claim(&mut self, group: u64, key: u64, attempt: u64) {
        self.holders.insert((group, key), attempt);
    }

    fn release(&mut self, group: u64, key: u64, attempt: u64) {
        if self.holders.get(&(group, key)) == Some(&attempt) {
            self.holders.remove(&(group, key));
        }
    }
}

/// How far a task that was taken has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStage {
    /// It waits for a start.
    Waiting,
    /// It starts.
    Starting,
    /// It runs.
    Running,
}

struct AdmittedTask {
    request: TaskRequest,
    stage: TaskStage,
}

/// What a host has taken, and its verdicts on more.
pub struct Admission {
    policy: AdmissionPolicy,
    queue: VecDeque<TaskRequest>,
    admitted: BTreeMap<u64, AdmittedTask>,
    waiting_for_start: VecDeque<u64>,
    starting_count: usize,
    /// Programs without a task, the one without for longest first.
    warm_programs: VecDeque<u64>,
    is_draining: bool,
}

impl Admission {
    /// A host with nothing on it.
    pub fn new(policy: AdmissionPolicy) -> Admission {
        Admission {
            policy,
            queue: VecDeque::new(),
            admitted: BTreeMap::new(),
            waiting_for_start: VecDeque::new(),
            starting_count: 0,
            warm_programs: VecDeque::new(),
            is_draining: false,
        }
    }

    /// The policy.
    pub fn policy(&self) -> &AdmissionPolicy {
        &self.policy
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Puts an ask in the line, to be looked at in turn.
    pub fn enqueue(&mut self, ask: TaskRequest) -> Result<(), RejectionReason> {
        if self.is_draining {
            return Err(RejectionReason::Draining);
        }
        if self.queue.len() >= self.policy.max_queue_length {
            return Err(RejectionReason::QueueFull);
        }
        self.queue.push_back(ask);
        Ok(())
    }

    /// Asks that wait to be looked at.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// What is asked for by all that was taken: cores and memory.
    pub fn requested(&self) -> (f64, f64) {
        self.admitted.values().fold((0.0, 0.0), |(c, m), t| {
            (c + t.request.cores, m + t.request.memory_gib)
        })
    }

    /// Looks at the first ask in the line.
    pub fn decide_next(
        &mut self,
        keys: &mut DeduplicationTable,
    ) -> Option<(TaskRequest, AdmissionDecision)> {
        let ask = self.queue.pop_front()?;
        let verdict = self.decide(&ask, keys);
        if let AdmissionDecision::Admitted {
            preempted: push_out,
        } = &verdict
        {
            for &attempt in push_out {
                self.remove(attempt, keys);
            }
            if let Deduplication::OnePerKey { group, key } = ask.deduplication {
                keys.claim(group, key, ask.attempt_id);
            }
            self.admitted.insert(
                ask.attempt_id,
                AdmittedTask {
                    request: ask.clone(),
                    stage: TaskStage::Waiting,
                },
            );
            self.waiting_for_start.push_back(ask.attempt_id);
        }
        Some((ask, verdict))
    }

    fn decide(&self, ask: &TaskRequest, keys: &DeduplicationTable) -> AdmissionDecision {
        if self.is_draining {
            return AdmissionDecision::Rejected(RejectionReason::Draining);
        }
        if let Deduplication::OnePerKey { group, key } = ask.deduplication
            && keys.holder(group, key).is_some()
        {
            return AdmissionDecision::Rejected(RejectionReason::DuplicateKey);
        }
        let limit = (
            self.policy.cores * self.policy.cpu_overcommit,
            self.policy.memory_gib * self.policy.memory_overcommit,
        );
        let (mut cores, mut memory) = self.requested();
        let fits = |cores: f64, memory: f64| {
            (
                cores + ask.cores <= limit.0 + 1e-9,
                memory + ask.memory_gib <= limit.1 + 1e-9,
            )
        };
        let mut push_out = Vec::new();
        if self.policy.allows_preemption && fits(cores, memory) != (true, true) {
            // The lowest priority goes first, and of those the largest, so that few have to go.
            let mut lower: Vec<&AdmittedTask> = self
                .admitted
                .values()
                .filter(|t| t.request.priority < ask.priority)
                .collect();
            lower.sort_by(|a, b| {
                let size =
                    |t: &AdmittedTask| t.request.cores / limit.0 + t.request.memory_gib / limit.1;
                a.request
                    .priority
                    .cmp(&b.request.priority)
                    .then(size(b).total_cmp(&size(a)))
            });
            for t in lower {
                if fits(cores, memory) == (true, true) {
                    break;
                }
                (cores, memory) = (cores - t.request.cores, memory - t.request.memory_gib);
                push_out.push(t.request.attempt_id);
            }
        }
        match fits(cores, memory) {
            (true, true) => AdmissionDecision::Admitted {
                preempted: push_out,
            },
            (false, _) => AdmissionDecision::Rejected(RejectionReason::InsufficientCores),
            (_, false) => AdmissionDecision::Rejected(RejectionReason::InsufficientMemory),
        }
    }

    fn is_program_running(&self, program: u64) -> bool {
        self.admitted
            .values()
            .any(|t| t.request.program_id == program && t.stage == TaskStage::Running)
    }

    /// The next task to be started, if one may; with whether its program is there already.
    pub fn next_start(&mut self) -> Option<(u64, bool)> {
        if self.starting_count >= self.policy.max_concurrent_starts {
            return None;
        }
        let attempt = self.waiting_for_start.pop_front()?;
        let program = self.admitted.get(&attempt)?.request.program_id;
        let there = self.is_program_running(program) || self.warm_programs.contains(&program);
        self.starting_count += 1;
        if let Some(taken) = self.admitted.get_mut(&attempt) {
            taken.stage = TaskStage::Starting;
        }
        Some((attempt, there))
    }

    /// Takes up a task that an earlier life of the host had taken, as it then stood.
    pub fn restore(&mut self, ask: TaskRequest, stage: TaskStage, keys: &mut DeduplicationTable) {
        if let Deduplication::OnePerKey { group, key } = ask.deduplication {
            keys.claim(group, key, ask.attempt_id);
        }
        match stage {
            TaskStage::Waiting => self.waiting_for_start.push_back(ask.attempt_id),
            TaskStage::Starting => self.starting_count += 1,
            TaskStage::Running => {}
        }
        self.admitted.insert(
            ask.attempt_id,
            AdmittedTask {
                request: ask,
                stage,
            },
        );
    }

    /// A task that was to start does not, and waits for a start again, before all others.
    pub fn requeue_start(&mut self, attempt: u64) {
        if let Some(taken) = self
            .admitted
            .get_mut(&attempt)
            .filter(|t| t.stage == TaskStage::Starting)
        {
            taken.stage = TaskStage::Waiting;
            self.starting_count -= 1;
            self.waiting_for_start.push_front(attempt);
        }
    }

    /// A task that was starting runs.
    pub fn mark_running(&mut self, attempt: u64) {
        if let Some(taken) = self
            .admitted
            .get_mut(&attempt)
            .filter(|t| t.stage == TaskStage::Starting)
        {
            taken.stage = TaskStage::Running;
            self.starting_count -= 1;
            let program = taken.request.program_id;
            self.warm_programs.retain(|&p| p != program);
        }
    }

    /// A task has ended, or is not wanted any more, whatever its stage. Tells whether it was known, and its stage.
    pub fn remove(&mut self, attempt: u64, keys: &mut DeduplicationTable) -> Option<TaskStage> {
        if let Some(at) = self.queue.iter().position(|a| a.attempt_id == attempt) {
            self.queue.remove(at);
            return Some(TaskStage::Waiting);
        }
        let taken = self.admitted.remove(&attempt)?;
        if let Deduplication::OnePerKey { group, key } = taken.request.deduplication {
            keys.release(group, key, attempt);
        }
        match taken.stage {
            TaskStage::Waiting => self.waiting_for_start.retain(|&a| a != attempt),
            TaskStage::Starting => self.starting_count -= 1,
            TaskStage::Running => {
                let program = taken.request.program_id;
                if !self.is_program_running(program) {
                    self.warm_programs.retain(|&p| p != program);
                    self.warm_programs.push_back(program);
                    while self.warm_programs.len() > self.policy.max_warm_programs {
                        self.warm_programs.pop_front();
                    }
                }
            }
        }
        Some(taken.stage)
    }

    /// Whom to evict so that what is used comes below `limit`: the lowest priority first, then those furthest over
    /// what they asked for. `used` tells the memory that a task uses.
    pub fn select_evictions(&self, limit: f64, used: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut sum: f64 = self.admitted.keys().map(|&a| used(a)).sum();
        let mut all: Vec<(&AdmittedTask, f64)> = self
            .admitted
            .values()
            .map(|t| (t, used(t.request.attempt_id)))
            .collect();
        all.sort_by(|a, b| {
            let over = |x: &(&AdmittedTask, f64)| x.1 - x.0.request.memory_gib;
            a.0.request
                .priority
                .cmp(&b.0.request.priority)
                .then(over(b).total_cmp(&over(a)))
        });
        let mut out = Vec::new();
        for (taken, memory) in all {
            if sum < limit {
                break;
            }
            if memory > 0.0 {
                sum -= memory;
                out.push(taken.request.attempt_id);
            }
        }
        out
    }

    /// What was taken, with its stage.
    pub fn admitted_tasks(&self) -> impl Iterator<Item = (&TaskRequest, TaskStage)> {
        self.admitted.values().map(|t| (&t.request, t.stage))
    }

    /// The programs that were kept are gone.
    pub fn forget_warm_programs(&mut self) {
        self.warm_programs.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn policy() -> AdmissionPolicy {
        AdmissionPolicy {
            cores: 8.0,
            memory_gib: 16.0,
            cpu_overcommit: 1.5,
            memory_overcommit: 1.0,
            max_queue_length: 3,
            max_concurrent_starts: 1,
            max_warm_programs: 1,
            allows_preemption: true,
        }
    }

    fn ask(attempt: u64, cores: f64, priority: u32) -> TaskRequest {
        TaskRequest {
            attempt_id: attempt,
            program_id: attempt % 10,
            cores,
            memory_gib: 1.0,
            priority,
            deduplication: Deduplication::Disabled,
        }
    }

    fn enqueue_and_decide(
        host: &mut Admission,
        keys: &mut DeduplicationTable,
        ask: TaskRequest,
    ) -> AdmissionDecision {
        host.enqueue(ask).expect("room in the line");
        host.decide_next(keys).expect("one in the line").1
    }

    #[test]
    fn rejects_with_the_reason_that_applies() {
        let (mut host, mut keys) = (Admission::new(policy()), DeduplicationTable::default());
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, ask(1, 12.0, 0)),
            AdmissionDecision::Admitted { preempted: vec![] }
        );
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, ask(2, 0.5, 0)),
            AdmissionDecision::Rejected(RejectionReason::InsufficientCores)
        );
        let large = TaskRequest {
            memory_gib: 16.0,
            ..ask(3, 0.0, 0)
        };
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, large),
            AdmissionDecision::Rejected(RejectionReason::InsufficientMemory)
        );
        for n in 4..7 {
            host.enqueue(ask(n, 0.0, 0)).expect("room in the line");
        }
        assert_eq!(
            host.enqueue(ask(7, 0.0, 0)),
            Err(RejectionReason::QueueFull)
        );
        host.drain();
        assert_eq!(host.enqueue(ask(8, 0.0, 0)), Err(RejectionReason::Draining));
        assert_eq!(
            host.decide_next(&mut keys).map(|v| v.1),
            Some(AdmissionDecision::Rejected(RejectionReason::Draining))
        );
    }

    #[test]
    fn preempts_only_lower_priorities_and_only_as_many_as_needed() {
        let (mut host, mut keys) = (Admission::new(policy()), DeduplicationTable::default());
        for (n, cores) in [(1, 2.0), (2, 5.0), (3, 5.0)] {
            enqueue_and_decide(&mut host, &mut keys, ask(n, cores, 0));
        }
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, ask(4, 4.0, 1)),
            AdmissionDecision::Admitted { preempted: vec![2] }
        );
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, ask(5, 11.0, 1)),
            AdmissionDecision::Rejected(RejectionReason::InsufficientCores)
        );
        assert_eq!(host.admitted_tasks().count(), 3);
    }

    #[test]
    fn rejects_second_task_with_same_key_in_a_group() {
        let mut keys = DeduplicationTable::default();
        let (mut a, mut b) = (Admission::new(policy()), Admission::new(policy()));
        let mut other = Admission::new(policy());
        let keyed = |n| TaskRequest {
            deduplication: Deduplication::OnePerKey { group: 7, key: 99 },
            ..ask(n, 1.0, 0)
        };
        let elsewhere = TaskRequest {
            deduplication: Deduplication::OnePerKey { group: 8, key: 99 },
            ..ask(3, 1.0, 0)
        };
        assert!(matches!(
            enqueue_and_decide(&mut a, &mut keys, keyed(1)),
            AdmissionDecision::Admitted { .. }
        ));
        assert_eq!(
            enqueue_and_decide(&mut b, &mut keys, keyed(2)),
            AdmissionDecision::Rejected(RejectionReason::DuplicateKey)
        );
        assert!(matches!(
            enqueue_and_decide(&mut other, &mut keys, elsewhere),
            AdmissionDecision::Admitted { .. }
        ));
        a.remove(1, &mut keys);
        assert!(matches!(
            enqueue_and_decide(&mut b, &mut keys, keyed(4)),
            AdmissionDecision::Admitted { .. }
        ));
    }

    #[test]
    fn limits_concurrent_starts_and_remembers_warm_programs() {
        let (mut host, mut keys) = (Admission::new(policy()), DeduplicationTable::default());
        enqueue_and_decide(&mut host, &mut keys, ask(1, 1.0, 0));
        enqueue_and_decide(&mut host, &mut keys, ask(11, 1.0, 0));
        assert_eq!(host.next_start(), Some((1, false)));
        assert_eq!(host.next_start(), None);
        host.mark_running(1);
        assert_eq!(host.next_start(), Some((11, true)), "the program runs here");
        host.mark_running(11);
        host.remove(1, &mut keys);
        host.remove(11, &mut keys);
        enqueue_and_decide(&mut host, &mut keys, ask(21, 1.0, 0));
        assert_eq!(host.next_start(), Some((21, true)), "the program is kept");
        host.mark_running(21);
        host.remove(21, &mut keys);
        enqueue_and_decide(&mut host, &mut keys, ask(2, 1.0, 0));
        host.next_start();
        host.mark_running(2);
        host.remove(2, &mut keys);
        enqueue_and_decide(&mut host, &mut keys, ask(31, 1.0, 0));
        assert_eq!(
            host.next_start(),
            Some((31, false)),
            "another took its place"
        );
    }

    #[test]
    fn counts_restored_tasks_and_restarts_a_requeued_start() {
        let (mut host, mut keys) = (Admission::new(policy()), DeduplicationTable::default());
        let keyed = |attempt| TaskRequest {
            deduplication: Deduplication::OnePerKey { group: 1, key: 7 },
            ..ask(attempt, 4.0, 0)
        };
        host.restore(keyed(1), TaskStage::Running, &mut keys);
        host.restore(ask(2, 1.0, 0), TaskStage::Waiting, &mut keys);
        assert_eq!(host.requested().0, 5.0);
        assert_eq!(
            enqueue_and_decide(&mut host, &mut keys, keyed(3)),
            AdmissionDecision::Rejected(RejectionReason::DuplicateKey)
        );
        assert_eq!(host.next_start().map(|s| s.0), Some(2));
        assert_eq!(host.next_start(), None);
        host.requeue_start(2);
        assert_eq!(host.next_start().map(|s| s.0), Some(2), "it waits again");
        assert_eq!(host.remove(2, &mut keys), Some(TaskStage::Starting));
        assert_eq!(host.remove(1, &mut keys), Some(TaskStage::Running));
        assert_eq!(keys.holder(1, 7), None);
    }

    #[test]
    fn evicts_lowest_priority_first_then_largest_excess_over_request() {
        let (mut host, mut keys) = (Admission::new(policy()), DeduplicationTable::default());
        for (n, priority) in [(1, 1), (2, 0), (3, 0)] {
            enqueue_and_decide(&mut host, &mut keys, ask(n, 1.0, priority));
        }
        let used = |attempt| if attempt == 3 { 8.0 } else { 5.0 };
        assert_eq!(host.select_evictions(16.0, used), vec![3]);
        assert_eq!(host.select_evictions(6.0, used), vec![3, 2]);
        assert_eq!(host.select_evictions(20.0, used), Vec::<u64>::new());
    }
}
