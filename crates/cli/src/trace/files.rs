//! Trace files of the command line: opened, gone through, created.

use std::fs::File;
use std::io::{self, BufReader, IsTerminal};
use std::path::Path;

use maplethread_trace::{Part, Reader};

use crate::error::{CommandError, ErrorContext};

/// A trace file that is read.
pub type TraceFile = Reader<BufReader<File>>;

/// Opens a trace file, and says on standard error if a newer program wrote it.
///
/// # Errors
///
/// The file can't be read, or is no trace of a version that this program reads.
pub fn open(file: &Path) -> Result<TraceFile, CommandError> {
    let opened = File::open(file).in_file(file)?;
    let trace = Reader::open(BufReader::new(opened)).in_file(file)?;
    if trace.is_newer_minor_version() {
        eprintln!(
            "{}: a newer program wrote it; records of kinds unknown here are passed over",
            file.display()
        );
    }
    Ok(trace)
}

/// Goes through all parts of a file, and shows the progress of a large one on a terminal.
///
/// # Errors
///
/// The file can't be read, or `part` failed.
pub fn for_each_part(
    file: &Path,
    trace: &mut TraceFile,
    mut part: impl FnMut(Part) -> Result<(), CommandError>,
) -> Result<(), CommandError> {
    let (length, _) = trace.progress();
    let is_shown = length > 64 << 20 && io::stderr().is_terminal();
    let (mut shown_percent, from) = (0, trace.progress().1);
    while let Some(next) = trace.next_part().in_file(file)? {
        part(next)?;
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

/// Creates a file that must not be there yet.
///
/// # Errors
///
/// It is there, or can't be written.
pub fn create_new(out: &Path) -> Result<File, CommandError> {
    File::create_new(out).in_file(out)
}
