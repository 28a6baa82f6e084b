//! Final answers, and those kept to be given again.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use maplethread::TaskId;
use serde::Serialize;

/// The one final answer to an ask.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Answer {
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

impl Answer {
    /// The same answer to another request.
    pub fn named(&self, id: Arc<str>) -> Answer {
        let mut named = self.clone();
        let (Answer::Placed { request, .. }
        | Answer::Refused { request, .. }
        | Answer::Failed { request, .. }) = &mut named;
        *request = id;
        named
    }
}

/// What an Idempotency-Key stands for.
#[derive(Clone, Debug)]
pub enum Known {
    /// An ask that has no answer yet.
    Asking(TaskId),
    /// Its answer, as bytes.
    Answered(Arc<[u8]>),
}

/// Answers by Idempotency-Key, for a stated time and up to a stated number.
pub struct Answers {
    by_key: BTreeMap<Arc<str>, (u64, Known)>,
    order: VecDeque<(u64, Arc<str>)>,
    most: usize,
    kept: u64,
}

impl Answers {
    pub fn new(most: usize, kept: u64) -> Answers {
        Answers {
            by_key: BTreeMap::new(),
            order: VecDeque::new(),
            most,
            kept,
        }
    }

    pub fn get(&self, key: &str) -> Option<&Known> {
        self.by_key.get(key).map(|(_, known)| known)
    }

    pub fn asking(&mut self, key: &Arc<str>, task: TaskId) {
        self.by_key.insert(key.clone(), (0, Known::Asking(task)));
    }

    pub fn answered(&mut self, key: &Arc<str>, now: u64, bytes: Arc<[u8]>) {
        let until = now + self.kept;
        self.by_key
            .insert(key.clone(), (until, Known::Answered(bytes)));
        self.order.push_back((until, key.clone()));
        self.expire(now);
    }

    pub fn forget(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    pub fn expire(&mut self, now: u64) {
        while let Some((until, key)) = self.order.front() {
            if *until > now && self.order.len() <= self.most {
                return;
            }
            // The key may have been asked anew since.
            if self.by_key.get(key).is_some_and(|(at, _)| at == until) {
                self.by_key.remove(key);
            }
            self.order.pop_front();
        }
    }
}
