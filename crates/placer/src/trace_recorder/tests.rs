//! Rotation of trace files, write failures and gaps.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use maplethread::{Action, Event, Micros, ServiceId, TaskId};
use maplethread_config::TraceSettings;
use maplethread_engine::{ActorKey, AuditEntry};
use maplethread_trace::{FilePart, Header, Reader, Record, Turn, policy_hash};

use super::create_file;
use super::files::{FLUSH_INTERVAL, TraceFiles, TraceSink};
use crate::trace_queue::{TraceBuffer, TraceItem, TraceQueue};

fn settings(folder: &Path) -> TraceSettings {
    TraceSettings {
        folder: folder.to_owned(),
        rotate_mib: 1,
        rotate_s: 3600,
        max_total_mib: 3,
        max_queued_records: 1 << 20,
    }
}

fn header() -> Header {
    Header {
        writer: "test".into(),
        policy_hash: policy_hash(),
        placer: "p/0".into(),
        started_ms: 17,
        seed: 1,
        settings: None,
        classes: vec!["web".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    }
}

/// A turn that is identified by its time.
fn numbered_turn(n: u64) -> (Micros, TraceItem) {
    let turn = Turn {
        now: n,
        events: vec![Event::TimerFired { label: n }],
        actions: Vec::new(),
    };
    (n, TraceItem::Turn(turn))
}

fn buffer_of(items: impl IntoIterator<Item = (Micros, TraceItem)>) -> TraceBuffer {
    let queue = TraceQueue::new(1 << 20);
    for (at, item) in items {
        queue.push(at, item);
    }
    queue.take()
}

/// A buffer that ends the recording.
fn last_buffer_of(items: impl IntoIterator<Item = (Micros, TraceItem)>) -> TraceBuffer {
    let mut buffer = buffer_of(items);
    buffer.is_stopping = true;
    buffer
}

/// The contents of a folder's trace files, in the order of their names.
#[derive(Debug, Default)]
struct TraceContents {
    /// The times of all turns.
    turns: Vec<u64>,
    /// The number of lost turns and the reason of each gap.
    gaps: Vec<(u64, String)>,
}

fn read_traces(folder: &Path) -> TraceContents {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder can be read")
        .map(|e| e.expect("the folder entry can be read").path())
        .collect();
    paths.sort();
    let mut found = TraceContents::default();
    for path in paths {
        let Ok(mut reader) = Reader::open(File::open(path).expect("the file can be opened")) else {
            continue;
        };
        while let Some(part) = reader.next_part().expect("the trace can be read") {
            let FilePart::Block { records, .. } = part else {
                continue;
            };
            for r in records {
                match r.record {
                    Record::Turn(turn) => found.turns.push(turn.now),
                    Record::Gap { turns, reason, .. } => found.gaps.push((turns, reason)),
                    _ => {}
                }
            }
        }
    }
    found
}

/// Text that can hardly be compressed and differs for each number.
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
fn rotates_by_size_and_removes_the_oldest_files() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::write(folder.path().join("trace-p_0-x.mtrace"), vec![0; 9 << 20])
        .expect("the unrelated file is written");
    let mut files = TraceFiles::new(settings(folder.path()), header(), create_file);
    for round in 0..30 {
        // Log lines that can't be compressed, about 300 KiB per round.
        let items = (0..5000).map(|n| {
            let turn = Turn {
                now: round,
                events: Vec::new(),
                actions: vec![Action::Log(incompressible_text(round * 10_000 + n))],
            };
            (n, TraceItem::Turn(turn))
        });
        files.write(buffer_of(items));
    }
    files.write(last_buffer_of([]));
    files.close();
    let sizes: Vec<(String, u64)> = std::fs::read_dir(folder.path())
        .expect("the folder can be read")
        .map(|e| e.expect("the folder entry can be read"))
        .map(|e| {
            (
                e.file_name().into_string().expect("the name is UTF-8"),
                e.metadata().expect("the metadata can be read").len(),
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
        "unrelated files are not removed"
    );
    assert!(
        !sizes
            .iter()
            .any(|(name, _)| name.ends_with("-00000.mtrace")),
        "the oldest file is removed"
    );
}

/// Whether the simulated disk of [`FillableDiskFile`] is full.
static IS_DISK_FULL: AtomicBool = AtomicBool::new(false);

/// A file on a simulated disk that can be made full.
struct FillableDiskFile(File);

impl Write for FillableDiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if IS_DISK_FULL.load(Ordering::Relaxed) {
            // As on a real disk, a part of the bytes is still written.
            self.0.write_all(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl TraceSink for FillableDiskFile {
    fn sync(&self) -> io::Result<()> {
        self.0.sync_data()
    }
}

#[test]
fn records_a_gap_with_counts_when_the_disk_is_full() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let open = |path: &Path| -> io::Result<Box<dyn TraceSink>> {
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        Ok(Box::new(FillableDiskFile(file)))
    };
    let mut files = TraceFiles::new(settings(folder.path()), header(), open);
    let make_flush_due = |files: &mut TraceFiles<_>| {
        files.flushed_at = Instant::now() - FLUSH_INTERVAL;
    };
    make_flush_due(&mut files);
    files.write(buffer_of((0..10).map(numbered_turn)));
    IS_DISK_FULL.store(true, Ordering::Relaxed);
    make_flush_due(&mut files);
    files.write(buffer_of((10..20).map(numbered_turn)));
    files.write(buffer_of((20..30).map(numbered_turn)));
    IS_DISK_FULL.store(false, Ordering::Relaxed);
    files.retry_at = Instant::now();
    files.write(last_buffer_of((30..40).map(numbered_turn)));
    files.close();
    let TraceContents { turns, gaps } = read_traces(folder.path());
    assert_eq!(turns, (0..10).chain(30..40).collect::<Vec<u64>>());
    assert_eq!(gaps, [(20, "the file could not be written".to_owned())]);
}

#[test]
fn retries_when_the_folder_cannot_be_created_or_is_removed() {
    let parent = tempfile::tempdir().expect("a temporary folder");
    let folder = parent.path().join("traces");
    // A file has the path of the folder, so the folder can't be created.
    std::fs::write(&folder, "x").expect("the file is written");
    let mut files = TraceFiles::new(settings(&folder), header(), create_file);
    files.write(buffer_of((0..10).map(numbered_turn)));
    std::fs::remove_file(&folder).expect("the file is removed");
    files.retry_at = Instant::now();
    files.write(buffer_of((10..20).map(numbered_turn)));
    // The folder is removed while a file in it is being written.
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    files.flushed_at = Instant::now() - FLUSH_INTERVAL;
    files.write(buffer_of((20..30).map(numbered_turn)));
    files.write(last_buffer_of((30..40).map(numbered_turn)));
    files.close();
    let TraceContents { turns, gaps } = read_traces(&folder);
    assert_eq!(turns, (30..40).collect::<Vec<u64>>());
    // The gap record of the first failure was in the removed file and is lost with it.
    assert_eq!(gaps, [(20, "the file was removed".to_owned())]);
}

#[test]
fn records_a_gap_when_the_queue_overflows() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut files = TraceFiles::new(settings(folder.path()), header(), create_file);
    let queue = TraceQueue::new(16);
    for n in 0..20 {
        let (at, item) = numbered_turn(n);
        queue.push(at, item);
    }
    files.write(queue.take());
    let accepted = AuditEntry::RequestAccepted {
        task: TaskId(1),
        service: ServiceId(5),
        key: ActorKey::new("s", "a"),
        class: 0,
        request_id: "r".into(),
        idempotency_key: None,
    };
    queue.push(30, TraceItem::AuditEntry(accepted));
    queue.stop();
    files.write(queue.take());
    files.close();
    let TraceContents { turns, gaps } = read_traces(folder.path());
    assert_eq!(turns, (0..8).collect::<Vec<u64>>());
    assert_eq!(gaps, [(12, "the writer could not keep up".to_owned())]);
}
