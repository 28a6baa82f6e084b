//! Writes trace files on a thread of its own. A block is written about once a second, and a file is synced when it is
//! closed; so a killed placer loses a second at most, a machine that fails what its kernel had not written.

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
use maplethread_trace::{Header, module_hash};

use crate::trace_queue::TraceQueue;
use files::{TraceFiles, TraceSink};

/// How often the queue is emptied.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// The writing side of a recording. Dropped, it writes what is queued and closes the file.
pub(crate) struct Recorder {
    queue: Arc<TraceQueue>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Begins to record, if the settings want it. `is_replayable` tells whether the module decides, with this seed.
    ///
    /// # Errors
    /// When the system has no thread left.
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
            module: module_hash(),
            placer: config.identity.name.clone(),
            started_ms,
            seed,
            settings: is_replayable.then(|| config.policy_settings()),
            classes: config.classes.iter().map(|c| c.name.clone()).collect(),
            part: 0,
            changed: Vec::new(),
            sources: Vec::new(),
        };
        let queue = Arc::new(TraceQueue::new(settings.max_queued_records));
        let to_write = queue.clone();
        let run =
            move || write_until_stopped(TraceFiles::new(settings, header, create_file), &to_write);
        let thread = std::thread::Builder::new()
            .name("trace".to_owned())
            .spawn(run)?;
        Ok(Some(Recorder {
            queue,
            thread: Some(thread),
        }))
    }

    /// Where the deciding thread puts what is to be recorded.
    pub fn queue(&self) -> Arc<TraceQueue> {
        self.queue.clone()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue.stop();
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            // If the writer has panicked, there is nothing left to write to.
            let _ = thread.join();
        }
    }
}

/// Creates a trace file. Another run's files are never written to.
fn create_file(path: &Path) -> io::Result<Box<dyn TraceSink>> {
    let file = OpenOptions::new().write(true).create_new(true).open(path)?;
    Ok(Box::new(file))
}

/// The writer's thread.
fn write_until_stopped(
    mut files: TraceFiles<impl FnMut(&Path) -> io::Result<Box<dyn TraceSink>>>,
    queue: &TraceQueue,
) {
    loop {
        let buffer = queue.take();
        let is_stopping = buffer.is_stopping;
        files.write(buffer);
        if is_stopping {
            // What came between the last look and the order to stop is in it.
            files.close();
            return;
        }
        std::thread::park_timeout(DRAIN_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
