//! Processes of tasks: started, watched by a `pidfd`, and measured.

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
/// Usage is never divided by a shorter time than this, seconds.
const MIN_MEASURED_SECONDS: f64 = 1e-3;

/// A process whose end is awaited.
pub(super) struct WatchedProcess {
    attempt: u64,
    identity: ProcessIdentity,
    /// Readable once the process has ended.
    pidfd: OwnedFd,
    /// Nothing for a process that an earlier process of the agent started.
    child: Option<Child>,
}

impl Shell {
    /// Watches the processes that run, and kills all other processes with the marker of this agent: they were left
    /// behind by tasks that have ended.
    pub(super) fn adopt_processes(
        &mut self,
        marked: &BTreeMap<u64, Vec<ProcessIdentity>>,
        turn: &mut Vec<Action>,
    ) {
        let adopted: BTreeMap<u64, ProcessIdentity> = self.agent.running_processes().collect();
        let left_behind = marked
            .iter()
            .filter(|(attempt, _)| !adopted.contains_key(attempt));
        for &identity in left_behind.flat_map(|(_, identities)| identities) {
            process::signal_group(identity, StopMode::Forced);
        }
        tracing::info!(adopted = adopted.len(), "tasks recovered");
        for (attempt, identity) in adopted {
            if let Err(error) = self.watch_process(attempt, identity, None) {
                // It has ended since it was looked for.
                tracing::info!(attempt, %error, "process of recovered task is gone");
                let now_us = self.now_us();
                self.agent.handle_process_exit(now_us, attempt, None, turn);
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
        // The descriptor stands for the expected process only if that is still alive after it was opened.
        if child.is_none() && !process::is_alive(identity) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let token = self.take_token();
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

    pub(super) fn start_process(&mut self, attempt: u64, next_turn: &mut Vec<Action>) {
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
            tracing::warn!(attempt, %error, "start failed");
            Reason::Error
        });
        self.agent
            .handle_start_result(now_us, attempt, result, next_turn);
    }

    /// Watches a process that was just started; one whose end can't be watched is killed.
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
                Err(StartError::NotWatchable(error))
            }
        }
    }

    pub(super) fn handle_process_exit(&mut self, token: u64, turn: &mut Vec<Action>) {
        let Some(mut watched) = self.watched.remove(&token) else {
            return;
        };
        // A descriptor that the poller has lost needs no removal.
        let _ = self.poller.deregister(&watched.pidfd);
        // The rest of its group ends with it; until it is reaped, the id of the group is its own.
        process::signal_group(watched.identity, StopMode::Forced);
        let is_success = watched
            .child
            .as_mut()
            .and_then(|child| child.wait().ok())
            .map(|status| status.success());
        self.previous_cpu_ticks.remove(&watched.attempt);
        let now_us = self.now_us();
        self.agent
            .handle_process_exit(now_us, watched.attempt, is_success, turn);
    }

    /// Reports the usage of each task since the last measurement, `interval_us` ago.
    pub(super) fn report_usage(&mut self, interval_us: u64, turn: &mut Vec<Action>) {
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
                self.agent.report_usage(attempt, cores, memory_gib, turn);
            }
        }
    }

    /// Moves the output of a task aside once it is too long. Tasks append, so what they write next begins the file anew.
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
