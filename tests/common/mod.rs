//! A placer on a desk: settings, events and shorthand for what it does.
#![allow(dead_code, reason = "each test file uses a part")]

use maplethread::*;

pub const S: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        aim: 600_000,
        worth: 1.0,
        start_bonus_s: 10.0,
        priority: 0,
        kind: None,
        spread: None,
    }
}

pub fn settings(effect: Effect) -> Settings {
    Settings {
        placers: 1,
        number: 0,
        zone: 0,
        classes: vec![class(effect)],
        kinds: vec![Room::new(32.0, 96.0)],
        discovery: Discovery::Push,
        seated: SeatedWhen::Accepted,
        admit_cores: 1.5,
        admit_memory: 1.5,
        view: false,
        report: LoadReport::Silent,
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            probes: false,
            peers: false,
            come_back: None,
        },
        rules: Rules {
            ask_within: 10 * S,
            cold_from: 0.2,
            cold_for: 15 * S,
            fall_multiple: 4.0,
            fall_window: 3 * S,
            fresh_offers: 20.0,
        },
        prices: Prices::default(),
    }
}

pub fn machine(n: u32) -> Listing {
    Listing {
        machine: MachineId(n),
        label: u64::from(n).wrapping_mul(0x1234_5678_9abc_def1) ^ 0x55,
        zone: 0,
        cell: 0,
        kind: 0,
        state: MachineState::Ready,
        started: None,
        unasked: None,
    }
}

pub fn task(n: u64, service: u64, give_up_at: Micros) -> Task {
    Task {
        id: TaskId(n),
        service: ServiceId(service),
        class: 0,
        asks: Room::new(1.0, 2.0),
        life: None,
        give_up_at,
        again: false,
    }
}

pub fn id(task: u64, number: u32) -> AttemptId {
    AttemptId {
        task: TaskId(task),
        number,
    }
}

pub fn end(task: u64, number: u32, ending: Ending, why: Option<Why>) -> Event {
    let end = End {
        ending,
        why,
        closed: false,
        load: None,
    };
    Event::Ended(id(task, number), end)
}

pub struct Desk {
    pub placer: Placer,
    pub now: Micros,
}

impl Desk {
    /// A placer that has heard of so many machines, in a full list at time 1 s.
    pub fn new(settings: Settings, machines: u32) -> Desk {
        let placer = Placer::new(settings, 11).expect("sound settings");
        let mut desk = Desk { placer, now: S };
        desk.list(Scope::Full, (0..machines).map(machine).collect());
        desk
    }

    pub fn list(&mut self, scope: Scope, machines: Vec<Listing>) -> Vec<Action> {
        self.turn(&[Event::Listed { scope, machines }])
    }

    pub fn turn(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.placer.turn(self.now, events, &mut actions);
        actions
    }

    /// Turns without news until `at`, every 10 ms, waking the placer as it asked for.
    pub fn wait(&mut self, at: Micros, labels: &[u64]) -> Vec<Action> {
        let mut all = Vec::new();
        let wake: Vec<Event> = labels.iter().map(|&label| Event::Woken(label)).collect();
        while self.now < at {
            self.now += 10_000;
            all.extend(self.turn(&wake));
        }
        all
    }

    /// Asks, and returns where the task was offered.
    pub fn ask(&mut self, task: Task) -> Option<u32> {
        offer(&self.turn(&[Event::Asked(task)]))
    }

    /// Asks, has the offer accepted and started after `took`; returns the machine.
    pub fn start(&mut self, task: Task, took: Micros) -> u32 {
        let machine = self.ask(task).expect("an offer");
        let id = id(task.id.0, 0);
        self.turn(&[Event::Seated(id, None)]);
        self.now += took;
        self.turn(&[Event::Noted(id, Note::Started)]);
        machine
    }
}

pub fn offer(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Offer(_, machine, _) => Some(machine.0),
        _ => None,
    })
}

/// How long the first offer's answer is waited for.
pub fn time_out(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| match a {
        Action::Offer(_, _, time_out) => Some(*time_out),
        _ => None,
    })
}

pub fn answers(actions: &[Action]) -> Vec<Action> {
    let answer = |a: &&Action| matches!(a, Action::Refuse(..) | Action::Fail(_));
    actions.iter().filter(answer).cloned().collect()
}
