//! Task processes: starting them, watching them with a `pidfd`, and measuring their usage.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::os::fd::OwnedFd;
use std::process::Child;

use maplethread_wire::frame::Reason;
use rustix::process::{Pid, PidfdFlags, pidfd_open};

use super::Shell;
use crate::agent::{Action, ProcessIdentity, StopMode};
use crate::config::find_program;
use crate::process::{self, StartError};

const BYTES_PER_GIB: f64 = (1u64 << 30) as f64;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Lower bound of the interval by which usage is divided, so that the division by a very short one gives no huge usage.
const MIN_MEASURED_SECONDS: f64 = 1e-3;

/// A process whose exit is watched.
pub(super) struct WatchedProcess {
    attempt: u64,
    identity: ProcessIdentity,
    /// Becomes readable when the process exits.
    pidfd: OwnedFd,
    /// `None` for a process that was started by an earlier agent process.
    child: Option<Child>,
}

impl Shell {
    /// Watches the processes of running tasks, and kills all other processes with the marker of this agent, which belong
    /// to tasks that have ended.
    pub(super) fn adopt_processes(
        &mut self,
        marked: &BTreeMap<u64, Vec<ProcessIdentity>>,
        actions: &mut Vec<Action>,
    ) {
        let adopted: BTreeMap<u64, ProcessIdentity> = self.agent.running_processes().collect();
        let orphaned = marked
            .iter()
            .filter(|(attempt, _)| !adopted.contains_key(attempt));
        for &identity in orphaned.flat_map(|(_, identities)| identities) {
            process::signal_group(identity, StopMode::Forced);
        }
        tracing::info!(adopted = adopted.len(), "tasks recovered");
        for (attempt, identity) in adopted {
            if let Err(error) = self.watch_process(attempt, identity, None) {
                // The process has exited since it was looked up.
                tracing::info!(attempt, %error, "process of a recovered task has exited");
                let now_us = self.now_us();
                self.agent
                    .handle_process_exit(now_us, attempt, None, actions);
            }
        }
    }

    fn watch_process(
        &mut self,
        attempt: u64,
        identity: ProcessIdentity,
        child: Option<Child>,
    ) -> io::Result<()> {
        let pid = Pid::from_raw(identity.pid as i32).ok_or(io::ErrorKind::NotFound)?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty())?;
        // The pid may have been reused before `pidfd_open`: the descriptor refers to the expected process only if that
        // process is still alive now.
        if child.is_none() && !process::is_alive(identity) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let token = self.allocate_token();
        self.poller.register(&pidfd, token, false)?;
        let watched = WatchedProcess {
            attempt,
            identity,
            pidfd,
            child,
        };
        self.watched.insert(token, watched);
        Ok(())
    }

    pub(super) fn start_process(&mut self, attempt: u64, next_actions: &mut Vec<Action>) {
        let Some(offer) = self.agent.offer(attempt) else {
            return;
        };
        let spawned = find_program(&self.programs, offer)
            .ok_or(StartError::NoProgram)
            .and_then(|program| {
                process::spawn(program, offer, &self.config.name, &self.output_folder)
            });
        let now_us = self.now_us();
        let started =
            spawned.and_then(|(child, identity)| self.watch_started(attempt, identity, child));
        let result = started.map_err(|error| {
            match error {
                StartError::WatchFailed(_) => tracing::error!(attempt, %error, "task start failed"),
                _ => tracing::warn!(attempt, %error, "task start failed"),
            }
            Reason::Error
        });
        self.agent
            .handle_start_result(now_us, attempt, result, next_actions);
    }

    /// Watches a process that was just started, and kills the process if that fails.
    fn watch_started(
        &mut self,
        attempt: u64,
        identity: ProcessIdentity,
        child: Child,
    ) -> Result<ProcessIdentity, StartError> {
        match self.watch_process(attempt, identity, Some(child)) {
            Ok(()) => Ok(identity),
            Err(error) => {
                process::signal_group(identity, StopMode::Forced);
                Err(StartError::WatchFailed(error))
            }
        }
    }

    pub(super) fn handle_process_exit(&mut self, token: u64, actions: &mut Vec<Action>) {
        let Some(mut watched) = self.watched.remove(&token) else {
            return;
        };
        // An error means that the poller no longer has the descriptor.
        let _ = self.poller.deregister(&watched.pidfd);
        // Kills the rest of the process group. The group id cannot be reused before the child is reaped below.
        process::signal_group(watched.identity, StopMode::Forced);
        let is_success = watched
            .child
            .as_mut()
            .and_then(|child| child.wait().ok())
            .map(|status| status.success());
        self.previous_cpu_ticks.remove(&watched.attempt);
        let now_us = self.now_us();
        self.agent
            .handle_process_exit(now_us, watched.attempt, is_success, actions);
    }

    /// Reports the usage of each running task since the last measurement, which was `interval_us` ago.
    pub(super) fn report_usage(&mut self, interval_us: u64, actions: &mut Vec<Action>) {
        let groups = process::measure_groups();
        let seconds_per_tick = 1.0 / process::ticks_per_second().max(1) as f64;
        let interval = (interval_us as f64 / MICROSECONDS_PER_SECOND).max(MIN_MEASURED_SECONDS);
        let running: Vec<(u64, ProcessIdentity)> = self.agent.running_processes().collect();
        for (attempt, identity) in running {
            self.rotate_output(attempt);
            let Some(usage) = groups.get(&identity.pid) else {
                continue;
            };
            let previous = self.previous_cpu_ticks.insert(attempt, usage.cpu_ticks);
            if let Some(previous) = previous {
                let ticks = usage.cpu_ticks.saturating_sub(previous);
                let cores = ticks as f64 * seconds_per_tick / interval;
                let memory_gib = usage.resident_bytes as f64 / BYTES_PER_GIB;
                self.agent.report_usage(attempt, cores, memory_gib, actions);
            }
        }
    }

    /// Rotates the output file of a task once it exceeds the maximum size. Tasks open the file in append mode, so after
    /// the truncation they continue at its start.
    fn rotate_output(&self, attempt: u64) {
        let file = process::output_path(&self.output_folder, attempt);
        let max_bytes = self.config.max_output_kib << 10;
        if !std::fs::metadata(&file).is_ok_and(|metadata| metadata.len() > max_bytes) {
            return;
        }
        let rotated = std::fs::copy(&file, file.with_extension("log.1"))
            .and_then(|_| OpenOptions::new().write(true).open(&file)?.set_len(0));
        if let Err(error) = rotated {
            tracing::warn!(file = %file.display(), %error, "output rotation failed");
        }
    }
}
