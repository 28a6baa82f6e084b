//! A host that is gone and comes back is the same host to the decider: what it was sent a moment ago still counts.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use maplethread::{Action, Event, MachineId, Micros};
use maplethread_config::{Doc, HostEntry, HostState, PlacerConfig};
use maplethread_engine::{Boot, Decide, Engine, Output};

const CONFIG: &str = include_str!("../../../config/placer.toml");
const NOW: u64 = 1_700_000_000_000_000;

/// Notes all machines that it is told of.
struct Noting(Rc<RefCell<BTreeSet<MachineId>>>);

impl Decide for Noting {
    fn turn(&mut self, _: Micros, events: &[Event], _: &mut Vec<Action>) {
        for event in events {
            if let Event::Listed { machines, .. } = event {
                self.0.borrow_mut().extend(machines.iter().map(|m| m.machine));
            }
        }
    }
}

fn entry(n: u16, state: HostState) -> HostEntry {
    HostEntry {
        name: format!("h{n}"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + n)),
        zone: "hall-a".to_owned(),
        cell: "c".to_owned(),
        kind: "std-16".to_owned(),
        state,
        started_ms: Some(NOW / 1000),
        unasked_cores: None,
        unasked_memory_gib: None,
    }
}

#[test]
fn a_host_keeps_its_number_over_its_absence_and_is_connected_to_anew() {
    let config = PlacerConfig::parse(Doc { file: "placer.toml", text: CONFIG }).expect("sound");
    let seen = Rc::new(RefCell::new(BTreeSet::new()));
    let boot = Boot { started_ms: NOW / 1000, seed: 1 };
    let mut engine = Engine::new(config, Noting(seen.clone()), boot, NOW);
    let mut now = NOW;
    for round in 0..5 {
        engine.hosts_changed(now, &[entry(1, HostState::Ready)]);
        engine.turn(now, false);
        let connects = engine.outputs().into_iter().filter_map(|o| match o {
            Output::Connect(id, _) => Some(id),
            _ => None,
        });
        let connects: Vec<_> = connects.collect();
        assert_eq!(connects.len(), 1, "round {round}: a connection is made at once");
        engine.host_closed(now + 1000, connects[0], 0);
        engine.hosts_changed(now + 2000, &[entry(1, HostState::Gone)]);
        engine.turn(now + 2000, false);
        engine.outputs();
        now += 10_000;
    }
    assert_eq!(seen.borrow().len(), 1, "one host, one number: {:?}", seen.borrow());
    // Another host has another number.
    engine.hosts_changed(now, &[entry(1, HostState::Ready), entry(2, HostState::Ready)]);
    let connects = engine.outputs().into_iter().filter(|o| matches!(o, Output::Connect(..))).count();
    assert_eq!(connects, 2);
}
