//! The tools for trace files. All go through a file block by block, in memory that does not grow with it.

mod anonymise;
mod copy;
mod cut;
mod diff;
mod files;
mod inspect;
mod replay;
mod reports;
mod timeline;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;

pub use files::open;

use crate::error::CommandError;

/// What can be done with trace files.
#[derive(Subcommand)]
pub enum TraceCommand {
    /// Tell what a file is: placer, run, module, times, blocks, and whether it was finished
    Info {
        /// The trace file
        file: PathBuf,
    },
    /// Print the records as JSON lines
    Cat {
        /// The trace files, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Copy a part to a new file: by time, service, host, request or outcome
    Cut(cut::CutArgs),
    /// Sum up: outcomes by class and reason, times, hosts, drains, the worst ten seconds
    Summary {
        /// The trace files of a run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
        /// Also draw what happened second by second, as SVG
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    /// Tell what kept tasks from running while they were wanted: by class, cause, what took the time, and hosts
    Losses {
        /// The merged trace, or the files of one run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Read every block, and tell what is damaged; exit code 1 if anything is
    Verify {
        /// The trace file
        file: PathBuf,
    },
    /// Copy all sound blocks to a new file with an index; a gap stands where something was damaged
    Repair {
        /// The damaged file
        file: PathBuf,
        /// The new file, which must not be there yet
        out: PathBuf,
    },
    /// Feed the trace to a fresh module and compare every action; exit code 1 at a difference
    Replay {
        /// The trace files of one run, in order, from its first part on
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Go on though the module's text is not the one that decided, and tell what it would do instead
        #[arg(long)]
        build_differs: bool,
        /// What if: with the settings of this placer's file in place of the recorded ones
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Make one trace of several: parts of a run, runs, placers whose clocks differ, merged ones
    Merge {
        /// The new file, which must not be there yet
        out: PathBuf,
        /// The trace files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Copy with all names, ids, keys and free text replaced by keyed hashes, and look for any of them in the copy
    Anonymise(anonymise::AnonymiseArgs),
    /// Compare two traces record by record; exit code 1 at a difference
    Diff {
        /// One
        a: PathBuf,
        /// The other
        b: PathBuf,
    },
}

/// Runs a command on trace files.
///
/// # Errors
///
/// What is wrong with a file or an option.
pub fn run(command: &TraceCommand) -> Result<ExitCode, CommandError> {
    match command {
        TraceCommand::Info { file } => inspect::info(file),
        TraceCommand::Cat { files } => inspect::cat(files),
        TraceCommand::Cut(args) => cut::cut(args),
        TraceCommand::Summary { files, json, svg } => {
            reports::summary(files, *json, svg.as_deref())
        }
        TraceCommand::Losses { files, json } => reports::losses(files, *json),
        TraceCommand::Verify { file } => inspect::verify(file),
        TraceCommand::Repair { file, out } => copy::repair(file, out),
        TraceCommand::Replay {
            files,
            build_differs,
            settings,
        } => replay::replay(files, *build_differs, settings.as_deref()),
        TraceCommand::Merge { out, files } => copy::merge(out, files),
        TraceCommand::Anonymise(args) => anonymise::anonymise(args),
        TraceCommand::Diff { a, b } => diff::diff(a, b),
    }
}
