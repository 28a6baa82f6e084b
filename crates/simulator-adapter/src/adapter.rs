//! Applies the simulator's lines to the placers, batch by batch, and collects their actions.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

use maplethread::Micros;
use maplethread_platform_settings::FieldError;
use serde_json::Value;

use crate::instances::{Instance, Instances};
use crate::wire::{self, Incoming};

/// A batch that has begun: its time and its number.
#[derive(Clone, Copy)]
struct Batch {
    now: Micros,
    number: u64,
}

/// The adapter between two lines.
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
    /// The line cannot be read, names an unknown instance or roster, or stands outside of a batch.
    pub(crate) fn apply_line(&mut self, text: &str) -> Result<Option<String>, FieldError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|e| FieldError::new("-", "-", format!("JSON ({e})")))?;
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
                who,
                seed,
                settings,
                reports,
            } => {
                let instance = Instance::launch(seed, *settings, reports);
                self.instances.by_number.insert(who, instance);
            }
            Incoming::Killed { who } => {
                self.instances.by_number.remove(&who);
            }
            Incoming::Roster { id, rows } => {
                self.instances.rosters.insert(id, rows);
            }
            Incoming::Event { who, event } => self.instances.instance(who)?.events.push(event),
        }
        Ok(None)
    }

    fn begin_batch(&mut self, incoming: &Incoming) -> Result<Option<String>, FieldError> {
        let &Incoming::Turn { now, batch } = incoming else {
            let expected = "TURN ahead of any other line";
            return Err(FieldError::new("-", "-", expected.into()));
        };
        self.batch = Some(Batch { now, number: batch });
        Ok(None)
    }

    pub(crate) fn is_within_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Runs a turn of each instance that has events, and writes the actions of all.
    fn run_batch(&mut self, batch: Batch) -> String {
        let mut out = String::new();
        for (&who, instance) in &mut self.instances.by_number {
            if let Some(fault) = instance.fault.take() {
                wire::encode_fault(&mut out, who, &fault);
            }
            run_turn(who, instance, batch.now, &mut out);
        }
        wire::encode_done(&mut out, batch.number);
        out
    }
}

/// Runs one turn. A placer that panics is reported as broken and runs no more; the others are not affected.
fn run_turn(who: u32, instance: &mut Instance, now: Micros, out: &mut String) {
    let events = std::mem::take(&mut instance.events);
    let Some(placer) = instance.placer.as_mut().filter(|_| !events.is_empty()) else {
        return;
    };
    let mut actions = Vec::new();
    let turn = AssertUnwindSafe(|| placer.turn(now, &events, &mut actions));
    if let Err(panic) = catch_unwind(turn) {
        instance.placer = None;
        wire::encode_fault(out, who, panic_message(panic.as_ref()));
        return;
    }
    for action in &actions {
        wire::encode(out, who, action, &instance.hosts);
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned
        .or(panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
