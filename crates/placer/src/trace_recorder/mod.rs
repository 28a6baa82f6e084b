//! Writes trace files on a separate thread. A block is written about once a second, and a file is synced when it is
//! closed. A killed placer therefore loses at most a second of records; a machine that fails also loses what its kernel
//! had not written to disk.

mod files;
mod folder;
mod records;

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use maplethread_config::PlacerConfig;
use maplethread_trace::{Header, policy_hash};

use crate::trace_queue::TraceQueue;
use files::{TraceFiles, TraceSink};

/// How often the queue is emptied.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// The writing side of trace recording. Dropping it writes the queued items and closes the file.
pub(crate) struct Recorder {
    queue: Arc<TraceQueue>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts recording if the settings have a `[trace]` section. `is_replayable` says whether the placement policy
    /// makes the decisions, so that they can be replayed from the seed and the settings in the trace.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        config: &PlacerConfig,
        seed: u64,
        started_ms: u64,
        is_replayable: bool,
    ) -> io::Result<Option<Recorder>> {
        let Some(settings) = config.trace.clone() else {
            return Ok(None);
        };
        let header = Header {
            writer: concat!("maplethread ", env!("CARGO_PKG_VERSION")).to_owned(),
            policy_hash: policy_hash(),
            placer: config.identity.name.clone(),
            started_ms,
            seed,
            settings: is_replayable.then(|| config.policy_settings()),
            classes: config.classes.iter().map(|c| c.name.clone()).collect(),
            part: 0,
            operations: Vec::new(),
            sources: Vec::new(),
        };
        let queue = Arc::new(TraceQueue::new(settings.max_queued_records));
        let writer_queue = queue.clone();
        let run = move || {
            write_until_stopped(
                TraceFiles::new(settings, header, create_file),
                &writer_queue,
            )
        };
        let thread = std::thread::Builder::new()
            .name("trace".to_owned())
            .spawn(run)?;
        Ok(Some(Recorder {
            queue,
            thread: Some(thread),
        }))
    }

    /// The queue for items to be recorded.
    pub fn queue(&self) -> Arc<TraceQueue> {
        self.queue.clone()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue.stop();
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            // If the writer thread has panicked, nothing more can be written.
            let _ = thread.join();
        }
    }
}

/// Creates a trace file. Existing files are never overwritten.
fn create_file(path: &Path) -> io::Result<Box<dyn TraceSink>> {
    let file = OpenOptions::new().write(true).create_new(true).open(path)?;
    Ok(Box::new(file))
}

/// Writes queued items until the queue is stopped; runs on the writer thread.
fn write_until_stopped(
    mut files: TraceFiles<impl FnMut(&Path) -> io::Result<Box<dyn TraceSink>>>,
    queue: &TraceQueue,
) {
    loop {
        let buffer = queue.take();
        let is_stopping = buffer.is_stopping;
        files.write(buffer);
        if is_stopping {
            // The buffer contains everything that was pushed before the stop.
            files.close();
            return;
        }
        std::thread::park_timeout(DRAIN_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
