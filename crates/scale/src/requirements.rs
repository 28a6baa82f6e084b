//! Estimates the resources that a point needs, before it is started.

use maplethread_capacity::PointSettings;
use rustix::process::{Resource, getrlimit};

use crate::error::ScaleError;
use crate::machine::memory_kib;

/// Descriptors of a process other than its connections.
const BASE_DESCRIPTORS: u64 = 256;
/// Memory of a placer without hosts and tasks, and for each host and task, KiB; upper estimates.
const PLACER_KIB: u64 = 16 << 10;
const PLACER_HOST_KIB: u64 = 32;
const PLACER_TASK_KIB: u64 = 4;
/// Memory for each connection (in the kernel and in the buffers of both processes), each hollow host and each of its tasks,
/// KiB.
const CONNECTION_KIB: u64 = 24;
const HOST_KIB: u64 = 16;
const TASK_KIB: u64 = 4;

/// Returns an error if the machine is too small for a point.
pub(crate) fn check_machine(point: &PointSettings) -> Result<(), ScaleError> {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let needed = needed_descriptors(point);
    if needed > limit {
        return Err(ScaleError::InsufficientResources {
            what: "open descriptors of one process",
            needed,
            available: limit,
            remedy: "raise the limit (ulimit -n) or sweep fewer workers or placers",
        });
    }
    let (needed, available) = (needed_memory_kib(point), memory_kib("MemTotal:") / 2);
    if needed > available {
        return Err(ScaleError::InsufficientResources {
            what: "memory, KiB",
            needed,
            available,
            remedy: "a sweep may use half of the memory; sweep fewer workers, placers or tasks",
        });
    }
    Ok(())
}

/// Descriptors of the process with the hollow hosts and placers, which needs more than any other.
fn needed_descriptors(point: &PointSettings) -> u64 {
    let (workers, placers) = (u64::from(point.workers), u64::from(point.placers));
    let hollow = u64::from(point.hollow_placers);
    let listeners = workers;
    let host_ends = workers * (placers + hollow);
    let hollow_placer_ends = workers * hollow;
    listeners + host_ends + hollow_placer_ends + BASE_DESCRIPTORS
}

fn needed_memory_kib(point: &PointSettings) -> u64 {
    let (workers, placers) = (u64::from(point.workers), u64::from(point.placers));
    let tasks = u64::from(point.tasks);
    let connections = workers * (placers + 2 * u64::from(point.hollow_placers));
    let placer_kib = placers * (PLACER_KIB + workers * PLACER_HOST_KIB) + tasks * PLACER_TASK_KIB;
    placer_kib + workers * HOST_KIB + tasks * TASK_KIB + connections * CONNECTION_KIB
}
