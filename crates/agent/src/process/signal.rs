//! Stopping the processes of a task.

use rustix::process::{Pid, Signal, kill_process_group};

use super::read_stat;
use crate::agent::{ProcessIdentity, StopMode};

/// Signals the process group of a task. Nothing is sent if the pid belongs to another process by now, unless it comes
/// to do so in the instant after this was checked.
pub fn signal_group(identity: ProcessIdentity, mode: StopMode) {
    let signal = match mode {
        StopMode::Graceful => Signal::TERM,
        StopMode::Forced => Signal::KILL,
    };
    // A leader that has ended and is not reaped still holds its pid, and others of its group may run.
    if let Some(pid) = Pid::from_raw(identity.pid as i32)
        && read_stat(identity.pid).is_some_and(|stat| stat.start_ticks == identity.start_ticks)
    {
        // A group that has just ended needs no signal.
        let _ = kill_process_group(pid, signal);
    }
}
