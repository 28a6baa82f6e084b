//! The folder of the trace files: their names, and the ceiling on the disk that a placer's files use.

use std::fs::DirEntry;
use std::path::PathBuf;
use std::time::SystemTime;

use maplethread_config::TraceSettings;
use maplethread_trace::Header;

/// The end of a trace file's name.
const EXTENSION: &str = ".mtrace";
/// So many characters of the placer's name are kept in the names of its files.
const MAX_NAME_CHARS: usize = 100;

/// The folder as one run of one placer uses it.
pub(super) struct TraceFolder {
    path: PathBuf,
    /// The start of the names of this placer's files, of whichever run.
    prefix: String,
    started_ms: u64,
    /// What the files may use before a new one is begun.
    max_bytes: u64,
}

/// A trace file of this placer. The order is that of age.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OldFile {
    modified: SystemTime,
    path: PathBuf,
    bytes: u64,
}

impl TraceFolder {
    pub fn new(settings: &TraceSettings, header: &Header) -> TraceFolder {
        TraceFolder {
            path: settings.folder.clone(),
            prefix: format!("trace-{}-", file_name_of(&header.placer)),
            started_ms: header.started_ms,
            max_bytes: (settings.max_total_mib - settings.rotate_mib) << 20,
        }
    }

    /// The path of one of this run's files.
    pub fn file_path(&self, part: u32) -> PathBuf {
        let (prefix, run) = (&self.prefix, self.started_ms);
        self.path
            .join(format!("{prefix}{run}-{part:05}{EXTENSION}"))
    }

    /// Removes this placer's oldest files until a whole new one fits under the ceiling.
    pub fn remove_oldest_files(&self) {
        let Ok(entries) = std::fs::read_dir(&self.path) else {
            return;
        };
        let mut files: Vec<OldFile> = entries
            .filter_map(|entry| self.own_file(&entry.ok()?))
            .collect();
        files.sort();
        let mut used: u64 = files.iter().map(|file| file.bytes).sum();
        for file in files {
            if used <= self.max_bytes {
                break;
            }
            if std::fs::remove_file(&file.path).is_ok() {
                tracing::info!(file = %file.path.display(), "old trace file removed");
                used -= file.bytes;
            }
        }
    }

    /// The file of an entry, if it is one of this placer's trace files.
    fn own_file(&self, entry: &DirEntry) -> Option<OldFile> {
        let name = entry.file_name().into_string().ok()?;
        let run_and_part = name.strip_prefix(&self.prefix)?.strip_suffix(EXTENSION)?;
        let (run, part) = run_and_part.split_once('-')?;
        if !is_number(run) || !is_number(part) {
            return None;
        }
        let metadata = entry.metadata().ok()?;
        Some(OldFile {
            modified: metadata.modified().ok()?,
            path: entry.path(),
            bytes: metadata.len(),
        })
    }
}

fn is_number(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// A placer's name as a file may be called.
fn file_name_of(placer: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    placer
        .chars()
        .map(|c| if is_plain(c) { c } else { '_' })
        .take(MAX_NAME_CHARS)
        .collect()
}
