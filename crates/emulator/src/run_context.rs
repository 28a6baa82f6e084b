//! What the threads of a run share: the clock, the recorded history and the accounting of service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use maplethread_checker::{HistoryEntry, Observation};
use maplethread_placer::Clock;

use crate::service_accounting::ServiceAccounting;

/// Shared by all threads of a run.
#[derive(Clone)]
pub struct RunContext {
    /// The clock of the history: Unix time, µs.
    pub clock: Clock,
    /// `None` if nothing is recorded.
    history: Option<Arc<Mutex<Vec<HistoryEntry>>>>,
    accounting: Arc<Mutex<ServiceAccounting>>,
}

impl RunContext {
    /// A context with an empty history, for this number of task classes.
    pub fn new(class_count: usize) -> RunContext {
        let clock = Clock::start();
        let accounting = ServiceAccounting::new(clock.now(), class_count);
        RunContext {
            clock,
            history: Some(Arc::default()),
            accounting: Arc::new(Mutex::new(accounting)),
        }
    }

    /// A context that records nothing, for hosts that run until their process ends.
    pub fn without_history(class_count: usize) -> RunContext {
        RunContext {
            history: None,
            ..RunContext::new(class_count)
        }
    }

    /// Records an observation. The clock is read under the lock, so that the history is in order of time.
    pub fn record(&self, observation: Observation) {
        let Some(history) = &self.history else { return };
        let mut history = lock(history);
        history.push(HistoryEntry {
            at_us: self.clock.now(),
            observation,
        });
    }

    /// Takes the history and starts a new one.
    pub fn take_history(&self) -> Vec<HistoryEntry> {
        self.history
            .as_ref()
            .map(|history| std::mem::take(&mut *lock(history)))
            .unwrap_or_default()
    }

    /// The accounting of service.
    pub fn service_accounting(&self) -> MutexGuard<'_, ServiceAccounting> {
        lock(&self.accounting)
    }
}

/// Locks even after a panic of a thread that held the lock, so that the history stays readable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
