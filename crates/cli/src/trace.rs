//! The commands on trace files. Each reads a file block by block, so that its memory does not grow with the file.

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

/// Commands on trace files.
#[derive(Subcommand)]
pub enum TraceCommand {
    /// Print a file's placer, run, module, times and blocks, and whether it was finished
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
    /// Copy a selection to a new file: by time, service, host, request or outcome
    Cut(cut::CutArgs),
    /// Print a summary: outcomes by class and reason, times, hosts, drains, the worst ten seconds
    Summary {
        /// The trace files of a run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
        /// Also draw the events per second, as SVG
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    /// Print the time that wanted tasks did not run: by class, cause, phase and host
    Losses {
        /// The merged trace, or the files of one run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Read every block and print what is damaged; exit code 1 if anything is
    Verify {
        /// The trace file
        file: PathBuf,
    },
    /// Copy all sound blocks to a new file with an index; gap records take the place of damaged blocks
    Repair {
        /// The damaged file
        file: PathBuf,
        /// The new file, which must not exist yet
        out: PathBuf,
    },
    /// Replay the trace through the policy module and compare every action; exit code 1 on a difference
    Replay {
        /// The trace files of one run, in order, from the first part on
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Replay although the module differs from the one that made the trace, and print how its actions differ
        #[arg(long)]
        build_differs: bool,
        /// Replay with the settings of this placer settings file instead of the recorded ones
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Merge traces into one: parts of a run, several runs, placers with different clocks, merged traces
    Merge {
        /// The new file, which must not exist yet
        out: PathBuf,
        /// The trace files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Copy with all names, ids, keys and free text replaced by keyed hashes, and check that none is left in the copy
    Anonymise(anonymise::AnonymiseArgs),
    /// Compare two traces record by record; exit code 1 on a difference
    Diff {
        /// The first trace file
        a: PathBuf,
        /// The second trace file
        b: PathBuf,
    },
}

/// Runs a command on trace files.
///
/// # Errors
///
/// Returns an error if a file or an option is not valid.
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
