//! The emulated catalogue of a run, whose answers and locks are recorded in the history.

use std::io;
use std::sync::Arc;

use maplethread_checker::Observation;
use maplethread_consul_emulator::{EmulatorSettings, LockEvent, Servers};

use crate::run_context::RunContext;

/// Number of servers of the catalogue.
const SERVER_COUNT: usize = 3;

/// Starts a catalogue that records its answers to placers, and which placer locks which replica index.
pub(super) fn start_catalogue(context: &RunContext, seed: u64) -> io::Result<Servers> {
    let recorder = context.clone();
    let record_answer = move |client: &str, index: u64, consistent: bool, body: &[u8]| {
        recorder.record(Observation::CatalogueAnswered {
            placer: placer_of(client),
            index,
            consistent,
            body: body.into(),
        });
    };
    let recorder = context.clone();
    let record_lock = move |event: LockEvent<'_>| {
        recorder.record(match event {
            LockEvent::Locked(key, client) => Observation::ReplicaIndexLocked {
                replica_index: replica_index_of(key),
                placer: placer_of(client),
            },
            LockEvent::Released(key, after_us) => Observation::ReplicaIndexReleased {
                replica_index: replica_index_of(key),
                lock_delay_us: after_us,
            },
        });
    };
    Servers::start(EmulatorSettings {
        seed,
        answer_observer: Some(Arc::new(record_answer)),
        lock_observer: Some(Arc::new(record_lock)),
        ..EmulatorSettings::new(SERVER_COUNT)
    })
}

/// The name of a placer in its User-Agent, such as `maplethread (placer-3)`.
fn placer_of(client: &str) -> Arc<str> {
    client.split(['(', ')']).nth(1).unwrap_or("").into()
}

/// The replica index of a lock key: the last part of the key's path.
fn replica_index_of(key: &str) -> Arc<str> {
    key.rsplit('/').next().unwrap_or("").into()
}
