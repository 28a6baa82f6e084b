//! Opens, reads and creates the trace files that are given on the command line.

use std::fs::File;
use std::io::{self, BufReader, IsTerminal};
use std::path::Path;

use maplethread_trace::{FilePart, Reader};

use crate::error::{CommandError, ErrorContext};

/// A reader of a trace file.
pub type TraceFile = Reader<BufReader<File>>;

/// Opens a trace file, with a warning on standard error if it has a newer minor format version.
///
/// # Errors
///
/// Returns an error if the file can't be read, or is not a trace of a supported version.
pub fn open(file: &Path) -> Result<TraceFile, CommandError> {
    let opened = File::open(file).in_file(file)?;
    let trace = Reader::open(BufReader::new(opened)).in_file(file)?;
    if trace.is_newer_minor_version() {
        eprintln!(
            "{}: written in a newer format version; records of unknown kinds are skipped",
            file.display()
        );
    }
    Ok(trace)
}

/// Calls `visit` for each part of a file; on a terminal, shows the progress of a large file.
///
/// # Errors
///
/// Returns an error if the file can't be read, or `visit` failed.
pub fn for_each_part(
    file: &Path,
    trace: &mut TraceFile,
    mut visit: impl FnMut(FilePart) -> Result<(), CommandError>,
) -> Result<(), CommandError> {
    let (length, _) = trace.progress();
    let is_shown = length > 64 << 20 && io::stderr().is_terminal();
    let (mut shown_percent, from) = (0, trace.progress().1);
    while let Some(part) = trace.next_part().in_file(file)? {
        visit(part)?;
        let percent = (trace.progress().1 - from) * 100 / length.max(1);
        if is_shown && percent > shown_percent {
            shown_percent = percent;
            eprint!("\r{percent:3}% ");
        }
    }
    if is_shown {
        eprintln!();
    }
    Ok(())
}

/// Creates a file that must not exist yet.
///
/// # Errors
///
/// Returns an error if the file exists, or can't be created.
pub fn create_new(out: &Path) -> Result<File, CommandError> {
    File::create_new(out).in_file(out)
}
