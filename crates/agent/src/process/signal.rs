//! Signals to the processes of a task.

use rustix::process::{Pid, Signal, kill_process_group};

use super::read_stat;
use crate::agent::{ProcessIdentity, StopMode};

/// Signals the process group of a task, unless its pid has been reused by another process. A race condition
/// remains: the pid can be reused between the check and the signal.
pub fn signal_group(identity: ProcessIdentity, mode: StopMode) {
    let signal = match mode {
        StopMode::Graceful => Signal::TERM,
        StopMode::Forced => Signal::KILL,
    };
    // A zombie leader is signalled too: it still holds its pid, and other processes of the group may be running.
    if let Some(pid) = Pid::from_raw(identity.pid as i32)
        && read_stat(identity.pid).is_some_and(|stat| stat.start_ticks == identity.start_ticks)
    {
        // An error means that the group has just exited, so no signal is needed.
        let _ = kill_process_group(pid, signal);
    }
}
