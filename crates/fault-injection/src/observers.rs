//! What placers show of their fleet, read from their API by a thread for each process, with the time of each answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_placer::{Clock, get_json};
use serde_json::Value;

/// A placer is asked this often.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A view, as a placer showed it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When the answer was read; Unix time, µs.
    pub at: u64,
    /// The digest.
    pub digest: String,
    /// Names of members that are live in it, the placer itself included.
    pub live: Vec<String>,
}

/// A change that a placer told.
#[derive(Clone, Debug)]
pub struct ReportedChange {
    /// When; Unix time, µs, by the placer's clock.
    pub at: u64,
    /// The change or the notice, as it was told.
    pub event: Value,
}

/// All that was read, by the placer's number.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Views.
    pub samples: BTreeMap<usize, Vec<Sample>>,
    /// Changes.
    pub changes: BTreeMap<usize, Vec<ReportedChange>>,
}

/// Threads that read.
pub struct Observers {
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
    threads: Vec<(usize, Arc<AtomicBool>, JoinHandle<()>)>,
}

impl Observers {
    /// None yet.
    pub fn new() -> Observers {
        Observers {
            observations: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Reads this process's view from now on, in place of an earlier one of the same number.
    pub fn follow(&mut self, number: usize, api: SocketAddr) {
        self.threads
            .iter()
            .filter(|t| t.0 == number)
            .for_each(|t| t.1.store(true, Ordering::Relaxed));
        let (seen, stop, over) = (
            self.observations.clone(),
            self.stop.clone(),
            Arc::new(AtomicBool::new(false)),
        );
        let mine = over.clone();
        let thread = std::thread::spawn(move || {
            let clock = Clock::start();
            let mut after = 0;
            while !stop.load(Ordering::Relaxed) && !mine.load(Ordering::Relaxed) {
                if let (Ok((200, view)), Ok((200, news))) = (
                    get_json(api, "/v1/fleet"),
                    get_json(api, &format!("/v1/fleet?after={after}")),
                ) {
                    let at = clock.now();
                    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                    seen.samples
                        .entry(number)
                        .or_default()
                        .push(sample(at, &view));
                    for change in news["changes"].as_array().into_iter().flatten() {
                        after = change["number"].as_u64().unwrap_or(after);
                        let at = change["at_ms"].as_u64().unwrap_or(0) * 1000;
                        let what = change["change"].clone();
                        seen.changes
                            .entry(number)
                            .or_default()
                            .push(ReportedChange { at, event: what });
                    }
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        self.threads.push((number, over, thread));
    }

    /// Ends all, and gives what was read.
    pub fn finish(self) -> Observations {
        self.stop.store(true, Ordering::Relaxed);
        for (_, _, thread) in self.threads {
            let _ = thread.join();
        }
        std::mem::take(
            &mut *self
                .observations
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

impl Default for Observers {
    fn default() -> Self {
        Observers::new()
    }
}

fn sample(at: u64, view: &Value) -> Sample {
    let text = |v: &Value| v.as_str().unwrap_or("?").to_owned();
    let live = |m: &&Value| matches!(m["state"].as_str(), Some("alive" | "suspect"));
    let members = view["members"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(live);
    let mut names: Vec<String> = members.map(|m| text(&m["name"])).collect();
    names.push(text(&view["name"]));
    names.sort();
    Sample {
        at,
        digest: text(&view["digest"]),
        live: names,
    }
}
