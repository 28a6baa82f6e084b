//! Final answers to placement requests, and the cache from which repeated requests are answered.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use maplethread::{Micros, TaskId};
use serde::Serialize;

use crate::audit_log::RequestOutcome;

/// The final answer to a placement request. The API uses the names in the `rename` attributes.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum FinalAnswer {
    /// The actor is placed.
    Placed {
        #[serde(rename = "request")]
        request_id: Arc<str>,
        service: Arc<str>,
        actor: Arc<str>,
        host: Arc<str>,
        address: String,
        attempt: u32,
    },
    /// The actor is not placed, and repeating the request is safe.
    #[serde(rename = "refused")]
    Rejected {
        #[serde(rename = "request")]
        request_id: Arc<str>,
        reason: &'static str,
        #[serde(rename = "come_back_ms")]
        retry_after_ms: u64,
        attempts: u32,
    },
    /// The actor is not known to be placed; an attempt may have run.
    Failed {
        #[serde(rename = "request")]
        request_id: Arc<str>,
        unknown: String,
        attempts: u32,
    },
}

impl FinalAnswer {
    /// The same answer with another request id.
    pub fn for_request(&self, id: Arc<str>) -> FinalAnswer {
        let mut answer = self.clone();
        let (FinalAnswer::Placed { request_id, .. }
        | FinalAnswer::Rejected { request_id, .. }
        | FinalAnswer::Failed { request_id, .. }) = &mut answer;
        *request_id = id;
        answer
    }
}

impl From<&FinalAnswer> for RequestOutcome {
    fn from(answer: &FinalAnswer) -> RequestOutcome {
        match answer {
            FinalAnswer::Placed { host, .. } => RequestOutcome::Placed(host.clone()),
            FinalAnswer::Rejected {
                reason,
                retry_after_ms,
                ..
            } => RequestOutcome::Rejected(reason, *retry_after_ms),
            FinalAnswer::Failed { .. } => RequestOutcome::Failed,
        }
    }
}

/// The state of an idempotency key.
#[derive(Clone, Debug)]
pub(crate) enum IdempotencyRecord {
    /// The request has no answer yet.
    Pending(TaskId),
    /// The response to the request.
    Answered(Arc<[u8]>),
}

/// Answers by idempotency key, limited in time and number.
pub(crate) struct AnswerCache {
    /// Records with the time at which they expire; 0 while they are pending.
    by_key: BTreeMap<Arc<str>, (Micros, IdempotencyRecord)>,
    expiry_order: VecDeque<(Micros, Arc<str>)>,
    max_answers: usize,
    retention: Micros,
}

impl AnswerCache {
    pub fn new(max_answers: usize, retention: Micros) -> AnswerCache {
        AnswerCache {
            by_key: BTreeMap::new(),
            expiry_order: VecDeque::new(),
            max_answers,
            retention,
        }
    }

    pub fn get(&self, key: &str) -> Option<&IdempotencyRecord> {
        self.by_key.get(key).map(|(_, record)| record)
    }

    pub fn insert_pending(&mut self, key: &Arc<str>, task: TaskId) {
        self.by_key
            .insert(key.clone(), (0, IdempotencyRecord::Pending(task)));
    }

    pub fn insert_answer(&mut self, key: &Arc<str>, now: Micros, bytes: Arc<[u8]>) {
        let expires_at = now + self.retention;
        self.by_key.insert(
            key.clone(),
            (expires_at, IdempotencyRecord::Answered(bytes)),
        );
        self.expiry_order.push_back((expires_at, key.clone()));
        self.expire(now);
    }

    pub fn remove(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Removes expired answers, and the oldest ones beyond the limit.
    pub fn expire(&mut self, now: Micros) {
        while let Some((expires_at, key)) = self.expiry_order.front() {
            if *expires_at > now && self.expiry_order.len() <= self.max_answers {
                return;
            }
            // The key may have been removed and used again since.
            if self.by_key.get(key).is_some_and(|(at, _)| at == expires_at) {
                self.by_key.remove(key);
            }
            self.expiry_order.pop_front();
        }
    }
}
