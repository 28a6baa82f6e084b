//! `trace diff`: compares two traces record by record.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::{FilePart, Record, TimedRecord};
use serde_json::json;

use super::files::{TraceFile, open};
use crate::error::{CommandError, ErrorContext};

/// Iterates over the records of a file, name records excepted.
struct Records {
    file: PathBuf,
    trace: TraceFile,
    block: std::vec::IntoIter<TimedRecord>,
}

impl Records {
    fn next(&mut self) -> Result<Option<TimedRecord>, CommandError> {
        loop {
            // Each block repeats the names that it uses, so name records depend on where blocks begin.
            let is_name =
                |r: &TimedRecord| matches!(r.record, Record::Host { .. } | Record::Service { .. });
            if let Some(record) = self.block.find(|r| !is_name(r)) {
                return Ok(Some(record));
            }
            match self.trace.next_part().in_file(&self.file)? {
                Some(FilePart::Block { records, .. }) => self.block = records.into_iter(),
                Some(FilePart::Damaged { .. }) => {}
                None => return Ok(None),
            }
        }
    }
}

/// Compares two traces record by record.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub fn diff(a: &Path, b: &Path) -> Result<ExitCode, CommandError> {
    let records = |file: &Path| -> Result<Records, CommandError> {
        Ok(Records {
            file: file.to_owned(),
            trace: open(file)?,
            block: Vec::new().into_iter(),
        })
    };
    let (mut a, mut b) = (records(a)?, records(b)?);
    let mut equal_records = 0u64;
    loop {
        match (a.next()?, b.next()?) {
            (None, None) => {
                println!("{equal_records} records, no difference");
                return Ok(ExitCode::SUCCESS);
            }
            (x, y) if x == y => equal_records += 1,
            (x, y) => {
                let shown = |r: Option<TimedRecord>| {
                    r.map_or_else(|| "the end".to_owned(), |r| json!(r).to_string())
                };
                println!(
                    "record {equal_records} differs\n  {}\n  {}",
                    shown(x),
                    shown(y)
                );
                return Ok(ExitCode::from(1));
            }
        }
    }
}
