//! Writes trace files on a thread of its own: rotation, the ceiling on the disk used, and what happens when the disk
//! does not take what it is given. A block is written about once a second, and a file is synced when it is closed; so
//! a killed placer loses a second at most, a machine that fails what its kernel had not written.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use maplethread::Micros;
use maplethread_config::{PlacerConfig, TraceSettings};
use maplethread_engine::{AuditEntry, RequestOutcome};
use maplethread_trace::{Header, Outcome, Record, TimedRecord, TraceError, Writer, module_hash};

use crate::trace_queue::{TraceBuffer, TraceItem, TraceQueue};

/// How often the queue is emptied.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// How often what is written so far is made a block.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// After a failure the next file is tried so much later.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The writing side, joined when dropped.
pub(crate) struct Recorder {
    queue: Arc<TraceQueue>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Begins to record, if the settings want it: the module's seed, when the process started, and whether the module
    /// decides.
    pub fn start(
        config: &PlacerConfig,
        seed: u64,
        started_ms: u64,
        module: bool,
    ) -> io::Result<Option<Recorder>> {
        let Some(trace) = &config.trace else {
            return Ok(None);
        };
        let header = Header {
            writer: concat!("maplethread ", env!("CARGO_PKG_VERSION")).to_owned(),
            module: module_hash(),
            placer: config.identity.name.clone(),
            started_ms,
            seed,
            settings: module.then(|| config.policy_settings()),
            classes: config.classes.iter().map(|c| c.name.clone()).collect(),
            part: 0,
            changed: Vec::new(),
            sources: Vec::new(),
        };
        let queue = Arc::new(TraceQueue::new(trace.queue_records));
        let (waiting, settings) = (queue.clone(), trace.clone());
        // Another run's files are never written to.
        let open = |path: &Path| -> io::Result<Box<dyn TraceSink>> {
            Ok(Box::new(
                OpenOptions::new().write(true).create_new(true).open(path)?,
            ))
        };
        let run = move || TraceFiles::new(settings, header, open).run(&waiting);
        let thread = std::thread::Builder::new()
            .name("trace".to_owned())
            .spawn(run)?;
        Ok(Some(Recorder {
            queue,
            thread: Some(thread),
        }))
    }

    /// Where the deciding thread puts what is to be kept.
    pub fn queue(&self) -> Arc<TraceQueue> {
        self.queue.clone()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue.stop();
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}

/// Where a trace file goes.
trait TraceSink: Write + Send {
    /// Waits until all of it is on the disk.
    fn sync(&self) -> io::Result<()>;
}

impl TraceSink for File {
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

struct TraceFiles<O> {
    open_file: O,
    settings: TraceSettings,
    header: Header,
    writer: Option<Writer<Box<dyn TraceSink>>>,
    path: PathBuf,
    opened_at: Instant,
    flushed_at: Instant,
    /// Not tried before.
    retry_at: Instant,
    is_failure_reported: bool,
    /// Turns and records lost since the last gap was written, and why.
    lost: (u64, u64),
    lost_reason: &'static str,
    /// Hosts by name, and the names of services, as they were last told.
    hosts: BTreeMap<String, u32>,
    host_records: Vec<TimedRecord>,
    named_services: BTreeSet<u64>,
    /// The time of the last record.
    last_record_at: Micros,
}

impl<O: FnMut(&Path) -> io::Result<Box<dyn TraceSink>>> TraceFiles<O> {
    fn new(settings: TraceSettings, header: Header, open_file: O) -> TraceFiles<O> {
        let now = Instant::now();
        TraceFiles {
            open_file,
            settings,
            header,
            writer: None,
            path: PathBuf::new(),
            opened_at: now,
            flushed_at: now,
            retry_at: now,
            is_failure_reported: false,
            lost: (0, 0),
            lost_reason: "",
            hosts: BTreeMap::new(),
            host_records: Vec::new(),
            named_services: BTreeSet::new(),
            last_record_at: 0,
        }
    }

    fn run(mut self, queue: &TraceQueue) {
        loop {
            let waiting = queue.take();
            let stop = waiting.is_stopping;
            self.write(waiting, stop);
            if stop {
                // What came in between the last look and the word to stop is in it.
                self.close();
                return;
            }
            std::thread::park_timeout(DRAIN_INTERVAL);
        }
    }

    fn write(&mut self, waiting: TraceBuffer, stop: bool) {
        for (at, item) in waiting.items {
            self.last_record_at = at;
            for record in self.to_records(item) {
                self.push(TimedRecord { at, record });
            }
        }
        if waiting.lost.1 > 0 {
            self.record_loss(waiting.lost, "the writer could not keep up");
        }
        if stop {
            self.push(TimedRecord {
                at: self.last_record_at,
                record: Record::Stopped,
            });
        }
        let now = Instant::now();
        if self.flushed_at + FLUSH_INTERVAL <= now {
            self.flushed_at = now;
            let result = self.writer.as_mut().map_or(Ok(()), Writer::flush);
            self.check_write(result, (0, 0));
            self.check_file_exists();
        }
        let full = self
            .writer
            .as_ref()
            .is_some_and(|w| w.totals().bytes_written >= self.settings.rotate_mib << 20);
        if self.writer.is_some()
            && (full || self.opened_at + Duration::from_secs(self.settings.rotate_s) <= now)
        {
            self.close();
        }
    }

    fn to_records(&mut self, item: TraceItem) -> Vec<Record> {
        let service = |n: u64, name: &str| Record::Service {
            service: n,
            name: name.to_owned(),
        };
        match item {
            TraceItem::Turn(turn) => vec![Record::Turn(turn)],
            TraceItem::AuditEntry(AuditEntry::Host {
                machine,
                name,
                topology: [zone, cell, kind],
            }) => {
                self.hosts.insert(name.to_string(), machine);
                let record = Record::Host {
                    machine,
                    name: name.to_string(),
                    zone: zone.to_string(),
                    cell: cell.to_string(),
                    kind: kind.to_string(),
                };
                self.host_records.push(TimedRecord {
                    at: 0,
                    record: record.clone(),
                });
                vec![record]
            }
            TraceItem::AuditEntry(AuditEntry::Service(number, name)) => {
                if self.named_services.insert(number.0) {
                    vec![service(number.0, &name)]
                } else {
                    Vec::new()
                }
            }
            TraceItem::AuditEntry(AuditEntry::RequestAccepted {
                task,
                service: number,
                key,
                class,
                request_id: request,
                idempotency_key: idempotency,
            }) => {
                let mut records = Vec::with_capacity(2);
                if self.named_services.insert(number.0) {
                    records.push(service(number.0, &key.0));
                }
                records.push(Record::RequestReceived {
                    task: task.0,
                    service: number.0,
                    actor: key.1.to_string(),
                    class: class as u32,
                    request_id: request.to_string(),
                    idempotency_key: idempotency.map(|k| k.to_string()),
                    received_at: 0,
                });
                records
            }
            TraceItem::AuditEntry(AuditEntry::RequestFinished {
                task,
                outcome: ending,
                attempts,
                elapsed,
            }) => {
                let outcome = match ending {
                    RequestOutcome::Placed(host) => Outcome::Placed {
                        host: self.hosts.get(&*host).copied().unwrap_or(u32::MAX),
                    },
                    RequestOutcome::Rejected(reason, come_back_ms) => Outcome::Rejected {
                        reason: reason.to_owned(),
                        retry_after_ms: come_back_ms,
                    },
                    RequestOutcome::Failed => Outcome::Failed,
                    RequestOutcome::ClientDisconnected => Outcome::ClientDisconnected,
                };
                vec![Record::Answered {
                    task: task.0,
                    outcome,
                    attempts,
                    elapsed,
                }]
            }
        }
    }

    fn push(&mut self, mut stamped: TimedRecord) {
        if let Record::RequestReceived {
            received_at: read, ..
        } = &mut stamped.record
        {
            *read = stamped.at;
        }
        let cost = (u64::from(matches!(stamped.record, Record::Turn(_))), 1);
        if !self.ensure_open(stamped.at) {
            self.record_loss(cost, "the file could not be written");
            return;
        }
        let Some(writer) = &mut self.writer else {
            return;
        };
        let gap = self.lost.1 > 0;
        let (turns, records) = self.lost;
        let why = self.lost_reason.to_owned();
        let result = if gap {
            let gap = TimedRecord {
                at: stamped.at,
                record: Record::Gap {
                    turns,
                    records,
                    reason: why,
                },
            };
            writer.push(&gap).and_then(|()| writer.push(&stamped))
        } else {
            writer.push(&stamped)
        };
        if self.check_write(result, cost) && gap {
            self.lost = (0, 0);
        }
    }

    fn record_loss(&mut self, lost: (u64, u64), why: &'static str) {
        self.lost = (self.lost.0 + lost.0, self.lost.1 + lost.1);
        self.lost_reason = why;
    }

    /// Whether a write went well; else the file is left as it is, and another one is tried later.
    fn check_write(&mut self, result: Result<(), TraceError>, cost: (u64, u64)) -> bool {
        let Err(e) = result else { return true };
        if !std::mem::replace(&mut self.is_failure_reported, true) {
            tracing::error!(folder = %self.settings.folder.display(), error = %e, "trace can't be written; placing goes on");
        }
        // What the open block held is lost with it.
        let block = self.writer.take().map_or((0, 0), |w| w.unflushed());
        self.record_loss(
            (cost.0 + block.0, cost.1 + block.1),
            "the file could not be written",
        );
        self.retry_at = Instant::now() + RETRY_DELAY;
        false
    }

    /// Whether a file is open to write to.
    fn ensure_open(&mut self, at: Micros) -> bool {
        if self.writer.is_some() {
            return true;
        }
        let now = Instant::now();
        if now < self.retry_at {
            return false;
        }
        self.remove_oldest_files();
        let result = self.create_next_file(at);
        self.opened_at = now;
        match result {
            Ok(writer) => {
                self.writer = Some(writer);
                self.header.part += 1;
                if std::mem::take(&mut self.is_failure_reported) {
                    tracing::info!(folder = %self.settings.folder.display(), "trace is written again");
                }
                true
            }
            Err(e) => self.check_write(Err(e), (0, 0)),
        }
    }

    /// A file that somebody has removed is no place to go on in: what it held is lost, and the next one is begun.
    fn check_file_exists(&mut self) {
        let Some(writer) = &self.writer else { return };
        if !self.path.exists() {
            let held = (writer.totals().turns, writer.totals().records);
            tracing::warn!(file = %self.path.display(), "trace file removed while it was written");
            self.writer = None;
            self.record_loss(held, "the file was removed");
        }
    }

    fn create_next_file(&mut self, at: Micros) -> Result<Writer<Box<dyn TraceSink>>, TraceError> {
        std::fs::create_dir_all(&self.settings.folder)?;
        self.path = self.file_path(self.header.part);
        let file = (self.open_file)(&self.path);
        let file = match file {
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                self.header.part += 1;
                return Err(e.into());
            }
            file => file?,
        };
        let mut writer = Writer::new(file, &self.header)?;
        for name in &self.host_records {
            writer.register_name(&TimedRecord {
                at,
                record: name.record.clone(),
            });
        }
        // Services are said again as they are asked for.
        self.named_services.clear();
        Ok(writer)
    }

    fn file_path(&self, part: u32) -> PathBuf {
        let name = format!(
            "{}-{}-{part:05}.mtrace",
            self.file_stem(),
            self.header.started_ms
        );
        self.settings.folder.join(name)
    }

    /// The placer's name as a file may be called.
    fn file_stem(&self) -> String {
        let plain = |c: char| {
            if c.is_ascii_alphanumeric() || "-_.".contains(c) {
                c
            } else {
                '_'
            }
        };
        let name: String = self.header.placer.chars().map(plain).take(100).collect();
        format!("trace-{name}")
    }

    fn close(&mut self) {
        let Some(mut writer) = self.writer.take() else {
            return;
        };
        let result = writer.finish().and_then(|_| Ok(writer.get_ref().sync()?));
        if let Err(e) = result {
            tracing::error!(error = %e, "trace file not closed; it can be read up to its last whole block");
        }
    }

    /// Removes this placer's oldest files until a whole new one fits under the ceiling.
    fn remove_oldest_files(&self) {
        let Ok(entries) = std::fs::read_dir(&self.settings.folder) else {
            return;
        };
        let stem = format!("{}-", self.file_stem());
        let mut files: Vec<(std::time::SystemTime, PathBuf, u64)> = entries
            .filter_map(|e| {
                let e = e.ok()?;
                let name = e.file_name().into_string().ok()?;
                let meta = e.metadata().ok()?;
                let own = name.strip_prefix(&stem)?.strip_suffix(".mtrace")?;
                let (run, part) = own.split_once('-')?;
                let number = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
                (number(run) && number(part)).then_some((
                    meta.modified().ok()?,
                    e.path(),
                    meta.len(),
                ))
            })
            .collect();
        files.sort();
        let mut used: u64 = files.iter().map(|f| f.2).sum();
        let most = (self.settings.keep_mib - self.settings.rotate_mib) << 20;
        for (_, path, octets) in files {
            if used <= most {
                break;
            }
            if std::fs::remove_file(&path).is_ok() {
                tracing::info!(file = %path.display(), "old trace file removed");
                used -= octets;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplethread::{Event, ServiceId, TaskId};
    use maplethread_trace::{Part, Reader, Turn};
    use std::sync::atomic::{AtomicBool, Ordering};

    fn settings(folder: &Path) -> TraceSettings {
        TraceSettings {
            folder: folder.to_owned(),
            rotate_mib: 1,
            rotate_s: 3600,
            keep_mib: 3,
            queue_records: 1 << 20,
        }
    }

    fn header() -> Header {
        Header {
            writer: "test".into(),
            module: module_hash(),
            placer: "p/0".into(),
            started_ms: 17,
            seed: 1,
            settings: None,
            classes: vec!["web".into()],
            part: 0,
            changed: Vec::new(),
            sources: Vec::new(),
        }
    }

    fn turn(n: u64) -> (Micros, TraceItem) {
        (
            n,
            TraceItem::Turn(Turn {
                now: n,
                events: vec![Event::TimerFired { label: n }],
                actions: Vec::new(),
            }),
        )
    }

    fn buffer_of(items: Vec<(Micros, TraceItem)>) -> TraceBuffer {
        let queue = TraceQueue::new(1 << 20);
        items
            .into_iter()
            .for_each(|(at, item)| queue.push(at, item));
        queue.take()
    }

    /// The labels of all turns in a folder's files, in order, and what gaps tell: turns, and why.
    fn read_back(folder: &Path) -> (Vec<u64>, Vec<(u64, String)>) {
        let mut paths: Vec<PathBuf> = std::fs::read_dir(folder)
            .expect("a folder")
            .map(|e| e.expect("an entry").path())
            .collect();
        paths.sort();
        let (mut turns, mut gaps) = (Vec::new(), Vec::new());
        for path in paths {
            let Ok(mut reader) = Reader::open(File::open(path).expect("a file")) else {
                continue;
            };
            while let Some(part) = reader.next_part().expect("no fault") {
                let Part::Block { records, .. } = part else {
                    continue;
                };
                for r in records {
                    match r.record {
                        Record::Turn(turn) => turns.push(turn.now),
                        Record::Gap {
                            turns, reason: why, ..
                        } => gaps.push((turns, why)),
                        _ => {}
                    }
                }
            }
        }
        (turns, gaps)
    }

    fn create_file(path: &Path) -> io::Result<Box<dyn TraceSink>> {
        Ok(Box::new(
            OpenOptions::new().write(true).create_new(true).open(path)?,
        ))
    }

    #[test]
    fn rotates_by_size_and_removes_the_oldest_files() {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("trace-p_0-x.mtrace"), vec![0; 9 << 20])
            .expect("a file of others");
        let mut files = TraceFiles::new(settings(folder.path()), header(), create_file);
        for round in 0..30 {
            // Logs that can't be packed, some 300 KiB a round.
            let noise = |n: u64| incompressible_text(round * 10_000 + n);
            let log = |n| maplethread::Action::Log(noise(n));
            let items = (0..5000).map(|n| {
                (
                    n,
                    TraceItem::Turn(Turn {
                        now: round,
                        events: Vec::new(),
                        actions: vec![log(n)],
                    }),
                )
            });
            files.write(buffer_of(items.collect()), false);
        }
        files.write(buffer_of(Vec::new()), true);
        files.close();
        let sizes: Vec<(String, u64)> = std::fs::read_dir(folder.path())
            .expect("a folder")
            .map(|e| e.expect("an entry"))
            .map(|e| {
                (
                    e.file_name().into_string().expect("a name"),
                    e.metadata().expect("data").len(),
                )
            })
            .filter(|(name, _)| name.starts_with("trace-p_0-17-"))
            .collect();
        let all: u64 = sizes.iter().map(|s| s.1).sum();
        assert!(
            (2..=4).contains(&sizes.len()) && all <= 4 << 20,
            "{sizes:?}"
        );
        assert!(
            folder.path().join("trace-p_0-x.mtrace").exists(),
            "files of others are left alone"
        );
        assert!(
            !sizes
                .iter()
                .any(|(name, _)| name.ends_with("-00000.mtrace")),
            "the first is gone"
        );
    }

    fn incompressible_text(n: u64) -> String {
        use std::hash::{DefaultHasher, Hash, Hasher};
        (0..8)
            .map(|i| {
                let mut hasher = DefaultHasher::new();
                (n, i).hash(&mut hasher);
                format!("{:x}", hasher.finish())
            })
            .collect()
    }

    #[test]
    fn records_a_gap_with_counts_when_the_disk_is_full() {
        static FULL: AtomicBool = AtomicBool::new(false);
        struct Disk(File);
        impl Write for Disk {
            fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
                if FULL.load(Ordering::Relaxed) {
                    // Half of it fits, as on a real disk.
                    self.0.write_all(&bytes[..bytes.len() / 2])?;
                    return Err(io::ErrorKind::StorageFull.into());
                }
                self.0.write(bytes)
            }

            fn flush(&mut self) -> io::Result<()> {
                self.0.flush()
            }
        }
        impl TraceSink for Disk {
            fn sync(&self) -> io::Result<()> {
                self.0.sync_data()
            }
        }
        let folder = tempfile::tempdir().expect("a folder");
        let open = |path: &Path| -> io::Result<Box<dyn TraceSink>> {
            Ok(Box::new(Disk(
                OpenOptions::new().write(true).create_new(true).open(path)?,
            )))
        };
        let mut files = TraceFiles::new(settings(folder.path()), header(), open);
        let late = |files: &mut TraceFiles<_>| files.flushed_at = Instant::now() - FLUSH_INTERVAL;
        late(&mut files);
        files.write(buffer_of((0..10).map(turn).collect()), false);
        FULL.store(true, Ordering::Relaxed);
        late(&mut files);
        files.write(buffer_of((10..20).map(turn).collect()), false);
        files.write(buffer_of((20..30).map(turn).collect()), false);
        FULL.store(false, Ordering::Relaxed);
        files.retry_at = Instant::now();
        files.write(buffer_of((30..40).map(turn).collect()), true);
        files.close();
        let (turns, gaps) = read_back(folder.path());
        assert_eq!(turns, (0..10).chain(30..40).collect::<Vec<u64>>());
        assert_eq!(gaps, [(20, "the file could not be written".to_owned())]);
    }

    #[test]
    fn retries_when_the_folder_is_unwritable_or_removed() {
        let place = tempfile::tempdir().expect("a folder");
        let folder = place.path().join("traces");
        // A file stands where the folder should be.
        std::fs::write(&folder, "x").expect("a file");
        let mut files = TraceFiles::new(settings(&folder), header(), create_file);
        files.write(buffer_of((0..10).map(turn).collect()), false);
        std::fs::remove_file(&folder).expect("gone");
        files.retry_at = Instant::now();
        files.write(buffer_of((10..20).map(turn).collect()), false);
        // The folder vanishes while it is written to.
        std::fs::remove_dir_all(&folder).expect("gone");
        files.flushed_at = Instant::now() - FLUSH_INTERVAL;
        files.write(buffer_of((20..30).map(turn).collect()), false);
        files.write(buffer_of((30..40).map(turn).collect()), true);
        files.close();
        let (turns, gaps) = read_back(&folder);
        assert_eq!(turns, (30..40).collect::<Vec<u64>>());
        // What the vanished file told of its own gap is lost with it.
        assert_eq!(gaps, [(20, "the file was removed".to_owned())]);
    }

    #[test]
    fn records_a_gap_when_the_queue_overflows() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut files = TraceFiles::new(settings(folder.path()), header(), create_file);
        let queue = TraceQueue::new(16);
        for n in 0..20 {
            let (at, item) = turn(n);
            queue.push(at, item);
        }
        files.write(queue.take(), false);
        let asked = AuditEntry::RequestAccepted {
            task: TaskId(1),
            service: ServiceId(5),
            key: ("s".into(), "a".into()),
            class: 0,
            request_id: "r".into(),
            idempotency_key: None,
        };
        queue.push(30, TraceItem::AuditEntry(asked));
        files.write(queue.take(), true);
        files.close();
        let (turns, gaps) = read_back(folder.path());
        assert_eq!(turns, (0..8).collect::<Vec<u64>>());
        assert_eq!(gaps, [(12, "the writer could not keep up".to_owned())]);
    }
}
