//! Applies the simulator's lines to the placers batch by batch, and encodes their actions.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

use maplethread::Micros;
use maplethread_platform_settings::FieldError;
use serde_json::Value;

use crate::instances::{Instance, Instances};
use crate::wire::{self, Incoming};

/// The time and number of the current batch.
#[derive(Clone, Copy)]
struct Batch {
    now: Micros,
    number: u64,
}

/// The state of the adapter between two lines.
#[derive(Default)]
pub(crate) struct Adapter {
    instances: Instances,
    batch: Option<Batch>,
}

impl Adapter {
    /// Applies one line; returns the reply if the line ends a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the line cannot be decoded, names an unknown instance or roster, or is outside of a batch.
    pub(crate) fn apply_line(&mut self, text: &str) -> Result<Option<String>, FieldError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| FieldError::new("-", "-", format!("valid JSON ({e})")))?;
        let incoming = wire::decode(&value, &mut self.instances)?;
        let Some(batch) = self.batch else {
            return self.begin_batch(&incoming);
        };
        match incoming {
            Incoming::Turn { .. } => {
                let expected = "EOB before the next batch";
                return Err(FieldError::new("TURN", "-", expected.into()));
            }
            Incoming::EndOfBatch => {
                self.batch = None;
                return Ok(Some(self.run_batch(batch)));
            }
            Incoming::Launch {
                instance_id,
                seed,
                settings,
                capacity_reporting,
            } => {
                let instance = Instance::launch(seed, *settings, capacity_reporting);
                self.instances.by_id.insert(instance_id, instance);
            }
            Incoming::Killed { instance_id } => {
                self.instances.by_id.remove(&instance_id);
            }
            Incoming::Roster { id, rows } => {
                self.instances.rosters.insert(id, rows);
            }
            Incoming::Event { instance_id, event } => {
                self.instances.instance(instance_id)?.events.push(event)
            }
        }
        Ok(None)
    }

    fn begin_batch(&mut self, incoming: &Incoming) -> Result<Option<String>, FieldError> {
        let &Incoming::Turn { now, batch } = incoming else {
            let expected = "TURN before any other line";
            return Err(FieldError::new("-", "-", expected.into()));
        };
        self.batch = Some(Batch { now, number: batch });
        Ok(None)
    }

    pub(crate) fn is_within_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Runs a turn of each instance that has events, and returns the encoded actions of all.
    fn run_batch(&mut self, batch: Batch) -> String {
        let mut out = String::new();
        for (&instance_id, instance) in &mut self.instances.by_id {
            if let Some(fault) = instance.fault.take() {
                wire::encode_fault(&mut out, instance_id, &fault);
            }
            run_turn(instance_id, instance, batch.now, &mut out);
        }
        wire::encode_done(&mut out, batch.number);
        out
    }
}

/// Runs one turn of an instance. A placer that panics is reported as broken and gets no further turns; other instances
/// are not affected.
fn run_turn(instance_id: u32, instance: &mut Instance, now: Micros, out: &mut String) {
    let events = std::mem::take(&mut instance.events);
    let Some(placer) = instance.placer.as_mut().filter(|_| !events.is_empty()) else {
        return;
    };
    let mut actions = Vec::new();
    let turn = AssertUnwindSafe(|| placer.turn(now, &events, &mut actions));
    if let Err(panic) = catch_unwind(turn) {
        instance.placer = None;
        wire::encode_fault(out, instance_id, panic_message(panic.as_ref()));
        return;
    }
    for action in &actions {
        wire::encode(out, instance_id, action, &instance.hosts);
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned
        .or(panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
