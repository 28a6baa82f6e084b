//! Final answers, and those kept to be given again.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use maplethread::TaskId;
use serde::Serialize;

/// The one final answer to an ask.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum FinalAnswer {
    /// The actor is placed.
    Placed {
        request: Arc<str>,
        service: Arc<str>,
        actor: Arc<str>,
        host: Arc<str>,
        address: String,
        attempt: u32,
    },
    /// It is not, and asking again does no harm.
    Refused {
        request: Arc<str>,
        reason: &'static str,
        come_back_ms: u64,
        attempts: u32,
    },
    /// It is not, as far as is known; an attempt may have run.
    Failed {
        request: Arc<str>,
        unknown: String,
        attempts: u32,
    },
}

impl FinalAnswer {
    /// The same answer to another request.
    pub fn for_request(&self, id: Arc<str>) -> FinalAnswer {
        let mut named = self.clone();
        let (FinalAnswer::Placed { request, .. }
        | FinalAnswer::Refused { request, .. }
        | FinalAnswer::Failed { request, .. }) = &mut named;
        *request = id;
        named
    }
}

/// What an Idempotency-Key stands for.
#[derive(Clone, Debug)]
pub enum IdempotencyRecord {
    /// An ask that has no answer yet.
    Pending(TaskId),
    /// Its answer, as bytes.
    Answered(Arc<[u8]>),
}

/// Answers by Idempotency-Key, for a stated time and up to a stated number.
pub struct AnswerCache {
    by_key: BTreeMap<Arc<str>, (u64, IdempotencyRecord)>,
    expiry_order: VecDeque<(u64, Arc<str>)>,
    max_answers: usize,
    retention: u64,
}

impl AnswerCache {
    pub fn new(max_answers: usize, retention: u64) -> AnswerCache {
        AnswerCache {
            by_key: BTreeMap::new(),
            expiry_order: VecDeque::new(),
            max_answers,
            retention,
        }
    }

    pub fn get(&self, key: &str) -> Option<&IdempotencyRecord> {
        self.by_key.get(key).map(|(_, known)| known)
    }

    pub fn insert_pending(&mut self, key: &Arc<str>, task: TaskId) {
        self.by_key
            .insert(key.clone(), (0, IdempotencyRecord::Pending(task)));
    }

    pub fn insert_answer(&mut self, key: &Arc<str>, now: u64, bytes: Arc<[u8]>) {
        let until = now + self.retention;
        self.by_key
            .insert(key.clone(), (until, IdempotencyRecord::Answered(bytes)));
        self.expiry_order.push_back((until, key.clone()));
        self.expire(now);
    }

    pub fn forget(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    pub fn expire(&mut self, now: u64) {
        while let Some((until, key)) = self.expiry_order.front() {
            if *until > now && self.expiry_order.len() <= self.max_answers {
                return;
            }
            // The key may have been asked anew since.
            if self.by_key.get(key).is_some_and(|(at, _)| at == until) {
                self.by_key.remove(key);
            }
            self.expiry_order.pop_front();
        }
    }
}
