//! Starting the process of a task.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use maplethread_wire::frame::Offer;

use super::{MARKER_VARIABLE, marker_value, read_stat};
use crate::agent::ProcessIdentity;
use crate::config::PreparedProgram;
use crate::template::InvalidName;

/// Why a program could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No configured program matches the task.
    #[error("no configured program matches the task")]
    NoProgram,
    /// A name in the offer cannot be used as an argument.
    #[error(transparent)]
    InvalidArgument(#[from] InvalidName),
    /// The program or its output file could not be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The program was started, and then killed because its exit could not be watched.
    #[error("cannot watch for the exit of the process: {0}")]
    WatchFailed(#[source] io::Error),
}

/// Starts the program of a task. Its output is appended to [`output_path`] in `folder`.
///
/// # Errors
/// If a name in the offer cannot be used as an argument, or if the program or the output file cannot be opened.
pub fn spawn(
    program: &PreparedProgram,
    offer: &Offer,
    agent: &str,
    folder: &Path,
) -> Result<(Child, ProcessIdentity), StartError> {
    let settings = &program.program;
    let output = OpenOptions::new()
        .create(true)
        .append(true)
        .open(output_path(folder, offer.attempt_id))?;
    let inherited = settings
        .env
        .iter()
        .filter_map(|name| Some((name, std::env::var_os(name)?)));
    let child = Command::new(&settings.path)
        .args(program.render_args(offer)?)
        .env_clear()
        .envs(inherited)
        .envs(&settings.set)
        .env(MARKER_VARIABLE, marker_value(agent, offer.attempt_id))
        .current_dir(settings.folder.as_deref().unwrap_or(folder))
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .process_group(0)
        .spawn()?;
    let pid = child.id();
    // The pid cannot be reused before the child is reaped, and the child is reaped only by `wait`.
    let start_ticks = read_stat(pid).map_or(0, |stat| stat.start_ticks);
    Ok((child, ProcessIdentity { pid, start_ticks }))
}

/// The path of a task's output file.
pub fn output_path(folder: &Path, attempt: u64) -> PathBuf {
    folder.join(format!("{attempt:016x}.log"))
}
