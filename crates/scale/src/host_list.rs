//! Changes of the host list: one worker after the other is listed as draining, and then as ready again.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use maplethread_config::{HostState, Inventory};

use crate::error::ScaleError;
use crate::fleet::write_inventory;
use crate::interrupt::InterruptFlag;

/// The step from one changed worker to the next: a prime, so that successive changes affect workers far from each other.
const STRIDE: usize = 7;

/// Changes a host list at a constant rate.
pub(crate) struct ListChanges {
    pub(crate) path: PathBuf,
    pub(crate) inventory: Inventory,
    /// Changes per second.
    pub(crate) rate: f64,
    /// Duration of the changes, s.
    pub(crate) seconds: f64,
    pub(crate) interrupted: InterruptFlag,
}

impl ListChanges {
    /// Makes the changes on schedule, and lists all workers as ready at the end.
    pub(crate) fn run(mut self) -> Result<(), ScaleError> {
        let start = Instant::now();
        let changes = (self.rate * self.seconds) as usize;
        for n in 0..changes {
            self.interrupted
                .sleep_until(start + Duration::from_secs_f64(n as f64 / self.rate))?;
            let worker = n / 2 * STRIDE % self.inventory.hosts.len();
            let state = if n % 2 == 0 {
                HostState::Draining
            } else {
                HostState::Ready
            };
            self.inventory.hosts[worker].state = state;
            write_inventory(&self.path, &self.inventory)?;
        }
        self.inventory
            .hosts
            .iter_mut()
            .for_each(|host| host.state = HostState::Ready);
        write_inventory(&self.path, &self.inventory)
    }
}
