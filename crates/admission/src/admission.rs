//! The state of admission on one host: requests in the queue, admitted tasks and warm programs.

use std::collections::{BTreeMap, VecDeque};

use maplethread_wire::frame::ResourceAmounts;

use crate::deduplication::DeduplicationTable;
use crate::policy::AdmissionPolicy;
use crate::request::{AdmissionDecision, RejectionReason, TaskRequest};

/// The stage of an admitted task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStage {
    /// The task waits to be started.
    Waiting,
    /// The task is being started.
    Starting,
    /// The task is running.
    Running,
}

impl TaskStage {
    /// Whether the task is running or may have run.
    pub fn is_possibly_started(self) -> bool {
        self != TaskStage::Waiting
    }
}

/// A task that is to be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextStart {
    /// The attempt.
    pub attempt_id: u64,
    /// Whether the task's program is already loaded on the host.
    pub is_program_warm: bool,
}

pub(crate) struct AdmittedTask {
    pub(crate) request: TaskRequest,
    stage: TaskStage,
}

/// The admission state of one host.
pub struct Admission {
    policy: AdmissionPolicy,
    /// Requests that are waiting for a decision.
    queue: VecDeque<TaskRequest>,
    /// Admitted tasks by attempt.
    admitted: BTreeMap<u64, AdmittedTask>,
    /// Attempts in [`TaskStage::Waiting`], in the order of their starts.
    waiting_for_start: VecDeque<u64>,
    /// Number of tasks in [`TaskStage::Starting`].
    starting_count: usize,
    /// Programs that have stayed loaded after their last task, in the order in which those tasks ended.
    warm_programs: VecDeque<u64>,
    is_draining: bool,
}

impl Admission {
    /// Creates the state of a host without tasks.
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

    /// The admission policy.
    pub fn policy(&self) -> &AdmissionPolicy {
        &self.policy
    }

    /// Rejects every request from now on. Admitted tasks stay.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Puts a request into the queue, from which [`Admission::decide_next`] takes it.
    ///
    /// # Errors
    /// [`RejectionReason::Draining`] or [`RejectionReason::QueueFull`].
    pub fn enqueue(&mut self, request: TaskRequest) -> Result<(), RejectionReason> {
        if self.is_draining {
            return Err(RejectionReason::Draining);
        }
        if self.queue.len() >= self.policy.max_queue_length {
            return Err(RejectionReason::QueueFull);
        }
        self.queue.push_back(request);
        Ok(())
    }

    /// Number of requests that are waiting for a decision.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// The total of the resources that admitted tasks request.
    pub fn requested(&self) -> ResourceAmounts {
        let tasks = self.admitted.values();
        tasks.fold(ResourceAmounts::default(), |sum, task| ResourceAmounts {
            cores: sum.cores + task.request.cores,
            memory_gib: sum.memory_gib + task.request.memory_gib,
        })
    }

    /// The resources of the host that no admitted task requests; negative where the host is overcommitted.
    pub fn unallocated(&self) -> ResourceAmounts {
        let requested = self.requested();
        ResourceAmounts {
            cores: self.policy.cores - requested.cores,
            memory_gib: self.policy.memory_gib - requested.memory_gib,
        }
    }

    /// Decides on the first request in the queue. Preempted tasks are removed from admission.
    pub fn decide_next(
        &mut self,
        deduplication: &mut DeduplicationTable,
    ) -> Option<(TaskRequest, AdmissionDecision)> {
        let request = self.queue.pop_front()?;
        let decision = match self.decide(&request, deduplication) {
            Ok(preempted) => {
                for &attempt_id in &preempted {
                    self.remove(attempt_id, deduplication);
                }
                self.restore(request.clone(), TaskStage::Waiting, deduplication);
                AdmissionDecision::Admitted { preempted }
            }
            Err(reason) => AdmissionDecision::Rejected(reason),
        };
        Some((request, decision))
    }

    /// Returns the attempts to preempt if a request can be admitted.
    fn decide(
        &self,
        request: &TaskRequest,
        deduplication: &DeduplicationTable,
    ) -> Result<Vec<u64>, RejectionReason> {
        if self.is_draining {
            return Err(RejectionReason::Draining);
        }
        if let Some(key) = request.deduplication_key
            && deduplication.holder(key).is_some()
        {
            return Err(RejectionReason::DuplicateKey);
        }
        self.select_preemptions(request)
    }

    /// Adds a task without deciding on it, for example one that an earlier process of the host had admitted.
    pub fn restore(
        &mut self,
        request: TaskRequest,
        stage: TaskStage,
        deduplication: &mut DeduplicationTable,
    ) {
        if let Some(key) = request.deduplication_key {
            deduplication.claim(key, request.attempt_id);
        }
        match stage {
            TaskStage::Waiting => self.waiting_for_start.push_back(request.attempt_id),
            TaskStage::Starting => self.starting_count += 1,
            TaskStage::Running => {}
        }
        self.admitted
            .insert(request.attempt_id, AdmittedTask { request, stage });
    }

    /// Takes the next task to start, unless none is waiting or too many are being started.
    pub fn next_start(&mut self) -> Option<NextStart> {
        if self.starting_count >= self.policy.max_concurrent_starts {
            return None;
        }
        let attempt_id = self.waiting_for_start.pop_front()?;
        let program_id = self.admitted.get(&attempt_id)?.request.program_id;
        let is_program_warm =
            self.is_program_running(program_id) || self.warm_programs.contains(&program_id);
        self.starting_count += 1;
        if let Some(task) = self.admitted.get_mut(&attempt_id) {
            task.stage = TaskStage::Starting;
        }
        Some(NextStart {
            attempt_id,
            is_program_warm,
        })
    }

    fn is_program_running(&self, program_id: u64) -> bool {
        self.admitted
            .values()
            .any(|task| task.request.program_id == program_id && task.stage == TaskStage::Running)
    }

    /// Puts a task that was taken by [`Admission::next_start`] but not started back to the front of the tasks that wait
    /// to be started.
    pub fn requeue_start(&mut self, attempt_id: u64) {
        if let Some(task) = self.starting_task(attempt_id) {
            task.stage = TaskStage::Waiting;
            self.starting_count -= 1;
            self.waiting_for_start.push_front(attempt_id);
        }
    }

    /// Records that the start of a task has succeeded.
    pub fn mark_running(&mut self, attempt_id: u64) {
        if let Some(task) = self.starting_task(attempt_id) {
            task.stage = TaskStage::Running;
            let program_id = task.request.program_id;
            self.starting_count -= 1;
            self.warm_programs.retain(|&id| id != program_id);
        }
    }

    fn starting_task(&mut self, attempt_id: u64) -> Option<&mut AdmittedTask> {
        self.admitted
            .get_mut(&attempt_id)
            .filter(|task| task.stage == TaskStage::Starting)
    }

    /// Removes a task that has ended or is to be stopped. Returns the stage that it had reached, or `None` if it was
    /// not held; a request still in the queue counts as [`TaskStage::Waiting`].
    pub fn remove(
        &mut self,
        attempt_id: u64,
        deduplication: &mut DeduplicationTable,
    ) -> Option<TaskStage> {
        if let Some(position) = self.queue.iter().position(|r| r.attempt_id == attempt_id) {
            self.queue.remove(position);
            return Some(TaskStage::Waiting);
        }
        let AdmittedTask { request, stage } = self.admitted.remove(&attempt_id)?;
        if let Some(key) = request.deduplication_key {
            deduplication.release(key, attempt_id);
        }
        match stage {
            TaskStage::Waiting => self.waiting_for_start.retain(|&id| id != attempt_id),
            TaskStage::Starting => self.starting_count -= 1,
            TaskStage::Running => self.keep_program_warm(request.program_id),
        }
        Some(stage)
    }

    /// Records that the program of an ended task stays loaded, unless another task is running it.
    fn keep_program_warm(&mut self, program_id: u64) {
        if self.is_program_running(program_id) {
            return;
        }
        self.warm_programs.retain(|&id| id != program_id);
        self.warm_programs.push_back(program_id);
        while self.warm_programs.len() > self.policy.max_warm_programs {
            self.warm_programs.pop_front();
        }
    }

    /// The admitted tasks with their stages, in the order of their attempt ids.
    pub fn admitted_tasks(&self) -> impl Iterator<Item = (&TaskRequest, TaskStage)> {
        self.admitted().map(|task| (&task.request, task.stage))
    }

    pub(crate) fn admitted(&self) -> impl Iterator<Item = &AdmittedTask> {
        self.admitted.values()
    }

    /// Records that the programs without a running task are not loaded any more.
    pub fn clear_warm_programs(&mut self) {
        self.warm_programs.clear();
    }
}
