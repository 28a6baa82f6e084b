//! Polls the fleet views of placers from their API, with one thread for each process, and records the time of each
//! response.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_placer::{Clock, get_json};
use serde_json::Value;

/// Interval between two polls of a placer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A view, as a placer reported it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When the response was read; Unix time, µs.
    pub at: u64,
    /// Digest of the view.
    pub digest: String,
    /// Names of members that are live in it, the placer itself included.
    pub live: Vec<String>,
}

/// A change of the fleet that a placer reported.
#[derive(Clone, Debug)]
pub struct ReportedChange {
    /// When it happened; Unix time, µs, by the placer's clock.
    pub at: u64,
    /// The change or the notice, as reported.
    pub event: Value,
}

/// Everything that was read, by placer number.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The views.
    pub samples: BTreeMap<usize, Vec<Sample>>,
    /// The changes.
    pub changes: BTreeMap<usize, Vec<ReportedChange>>,
}

/// The threads that poll the placers.
pub struct Observers {
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
    threads: Vec<(usize, Arc<AtomicBool>, JoinHandle<()>)>,
}

impl Observers {
    /// Creates the observers, without a thread.
    pub fn new() -> Observers {
        Observers {
            observations: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Starts to poll a placer's process, and stops polling an earlier process with the same number.
    pub fn follow(&mut self, number: usize, api: SocketAddr) {
        self.threads
            .iter()
            .filter(|t| t.0 == number)
            .for_each(|t| t.1.store(true, Ordering::Relaxed));
        let (observations, stop, is_replaced) = (
            self.observations.clone(),
            self.stop.clone(),
            Arc::new(AtomicBool::new(false)),
        );
        let was_replaced = is_replaced.clone();
        let thread = std::thread::spawn(move || {
            let clock = Clock::start();
            let mut after = 0;
            while !stop.load(Ordering::Relaxed) && !was_replaced.load(Ordering::Relaxed) {
                if let (Ok((200, view)), Ok((200, changes))) = (
                    get_json(api, "/v1/fleet"),
                    get_json(api, &format!("/v1/fleet?after={after}")),
                ) {
                    let at = clock.now();
                    let mut observations =
                        observations.lock().unwrap_or_else(PoisonError::into_inner);
                    observations
                        .samples
                        .entry(number)
                        .or_default()
                        .push(sample(at, &view));
                    for change in changes["changes"].as_array().into_iter().flatten() {
                        after = change["number"].as_u64().unwrap_or(after);
                        let at = change["at_ms"].as_u64().unwrap_or(0) * 1000;
                        let reported = change["change"].clone();
                        observations
                            .changes
                            .entry(number)
                            .or_default()
                            .push(ReportedChange {
                                at,
                                event: reported,
                            });
                    }
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        self.threads.push((number, is_replaced, thread));
    }

    /// Stops all threads and returns the observations.
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
