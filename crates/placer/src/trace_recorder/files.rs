//! Trace files: rotation and handling of write failures. When a file can't be written, placement continues; lost
//! records are counted, and a gap record in the next file gives their number and the reason.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use maplethread::Micros;
use maplethread_config::TraceSettings;
use maplethread_trace::{Header, Record, TimedRecord, TraceError, Writer};

use super::folder::TraceFolder;
use super::records::RecordedNames;
use crate::trace_queue::{Loss, TraceBuffer};

/// How often buffered records are written as a block.
pub(super) const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Time between a failure and the attempt to open the next file.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The destination of a trace file's bytes.
pub(super) trait TraceSink: Write + Send {
    /// Waits until all data is on the disk.
    fn sync(&self) -> io::Result<()>;
}

impl TraceSink for File {
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Why records were lost; its text is written to the gap record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossReason {
    QueueFull,
    WriteFailed,
    FileRemoved,
}

impl std::fmt::Display for LossReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LossReason::QueueFull => "the writer could not keep up",
            LossReason::WriteFailed => "the file could not be written",
            LossReason::FileRemoved => "the file was removed",
        })
    }
}

/// Records lost since the last gap record was written.
#[derive(Clone, Copy, Debug)]
struct Gap {
    loss: Loss,
    reason: LossReason,
}

impl Gap {
    fn record(&self) -> Record {
        Record::Gap {
            turns: self.loss.turns,
            records: self.loss.records,
            reason: self.reason.to_string(),
        }
    }
}

/// The trace file that is being written.
struct OpenFile {
    writer: Writer<Box<dyn TraceSink>>,
    path: PathBuf,
    opened_at: Instant,
}

/// The trace files of one run. `open_file` creates the file at a path.
pub(super) struct TraceFiles<O> {
    open_file: O,
    folder: TraceFolder,
    settings: TraceSettings,
    header: Header,
    current: Option<OpenFile>,
    pub(super) flushed_at: Instant,
    /// No file is opened before this time.
    pub(super) retry_at: Instant,
    /// Whether a failure was logged since the last file was opened.
    is_failure_reported: bool,
    gap: Option<Gap>,
    names: RecordedNames,
    /// The time of the last item.
    last_item_at: Micros,
}

impl<O: FnMut(&Path) -> io::Result<Box<dyn TraceSink>>> TraceFiles<O> {
    pub fn new(settings: TraceSettings, header: Header, open_file: O) -> TraceFiles<O> {
        let now = Instant::now();
        TraceFiles {
            open_file,
            folder: TraceFolder::new(&settings, &header),
            settings,
            header,
            current: None,
            flushed_at: now,
            retry_at: now,
            is_failure_reported: false,
            gap: None,
            names: RecordedNames::default(),
            last_item_at: 0,
        }
    }

    /// Writes queued items, and closes the file if it is due for rotation.
    pub fn write(&mut self, buffer: TraceBuffer) {
        for timed in buffer.items {
            let at = timed.at;
            self.last_item_at = at;
            for record in self.names.take_records(at, timed.item) {
                self.push(TimedRecord { at, record });
            }
        }
        if !buffer.lost.is_empty() {
            self.record_loss(buffer.lost, LossReason::QueueFull);
        }
        if buffer.is_stopping {
            self.push(TimedRecord {
                at: self.last_item_at,
                record: Record::Stopped,
            });
        }
        let now = Instant::now();
        if self.flushed_at + FLUSH_INTERVAL <= now {
            self.flushed_at = now;
            self.flush();
            self.check_file_exists();
        }
        if self.is_rotation_due(now) {
            self.close();
        }
    }

    fn is_rotation_due(&self, now: Instant) -> bool {
        self.current.as_ref().is_some_and(|file| {
            let max_age = Duration::from_secs(self.settings.rotate_s);
            file.writer.totals().bytes_written >= self.settings.rotate_mib << 20
                || file.opened_at + max_age <= now
        })
    }

    fn push(&mut self, timed: TimedRecord) {
        let loss = Loss {
            turns: u64::from(matches!(timed.record, Record::Turn(_))),
            records: 1,
        };
        if !self.ensure_open(timed.at) {
            self.record_loss(loss, LossReason::WriteFailed);
            return;
        }
        let Some(file) = &mut self.current else {
            return;
        };
        let gap = self.gap.map(|gap| TimedRecord {
            at: timed.at,
            record: gap.record(),
        });
        let result = gap
            .iter()
            .chain([&timed])
            .try_for_each(|record| file.writer.push(record));
        match result {
            Ok(()) => self.gap = None,
            Err(error) => self.handle_write_failure(&error, loss),
        }
    }

    fn flush(&mut self) {
        let result = match &mut self.current {
            Some(file) => file.writer.flush(),
            None => Ok(()),
        };
        if let Err(error) = result {
            self.handle_write_failure(&error, Loss::default());
        }
    }

    fn record_loss(&mut self, loss: Loss, reason: LossReason) {
        let mut total = self.gap.map_or(Loss::default(), |gap| gap.loss);
        total += loss;
        if !total.is_empty() {
            self.gap = Some(Gap {
                loss: total,
                reason,
            });
        }
    }

    /// Abandons the current file; another one is opened later. `loss` is what was not written, apart from the records
    /// of the unfinished block.
    fn handle_write_failure(&mut self, error: &TraceError, mut loss: Loss) {
        if !std::mem::replace(&mut self.is_failure_reported, true) {
            tracing::error!(folder = %self.settings.folder.display(), %error, "cannot write the trace; placement continues");
        }
        if let Some(file) = self.current.take() {
            let (turns, records) = file.writer.unflushed();
            loss += Loss { turns, records };
        }
        self.record_loss(loss, LossReason::WriteFailed);
        self.retry_at = Instant::now() + RETRY_DELAY;
    }

    /// Opens a file if none is open. Returns whether one is open now.
    fn ensure_open(&mut self, at: Micros) -> bool {
        if self.current.is_some() {
            return true;
        }
        if Instant::now() < self.retry_at {
            return false;
        }
        self.folder.remove_oldest_files();
        match self.create_next_file(at) {
            Ok(file) => {
                self.current = Some(file);
                self.header.part += 1;
                if std::mem::take(&mut self.is_failure_reported) {
                    tracing::info!(folder = %self.settings.folder.display(), "trace recording resumed");
                }
                true
            }
            Err(error) => {
                self.handle_write_failure(&error, Loss::default());
                false
            }
        }
    }

    fn create_next_file(&mut self, at: Micros) -> Result<OpenFile, TraceError> {
        let opened_at = Instant::now();
        std::fs::create_dir_all(&self.settings.folder)?;
        let path = self.folder.file_path(self.header.part);
        let sink = match (self.open_file)(&path) {
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                self.header.part += 1;
                return Err(error.into());
            }
            result => result?,
        };
        let mut writer = Writer::new(sink, &self.header)?;
        for name in self.names.begin_file(at) {
            writer.register_name(&name);
        }
        Ok(OpenFile {
            writer,
            path,
            opened_at,
        })
    }

    /// Abandons a file that was removed while it was open: its records are lost, and the next ones go to a new file.
    fn check_file_exists(&mut self) {
        let Some(file) = self.current.take_if(|file| !file.path.exists()) else {
            return;
        };
        tracing::warn!(file = %file.path.display(), "trace file was removed while being written");
        let totals = file.writer.totals();
        let loss = Loss {
            turns: totals.turns,
            records: totals.records,
        };
        self.record_loss(loss, LossReason::FileRemoved);
    }

    /// Closes the file. The next record opens another one.
    pub fn close(&mut self) {
        let Some(mut file) = self.current.take() else {
            return;
        };
        let result = file
            .writer
            .finish()
            .and_then(|_| Ok(file.writer.get_ref().sync()?));
        if let Err(error) = result {
            tracing::error!(%error, "closing the trace file failed; it is readable up to its last complete block");
        }
    }
}
