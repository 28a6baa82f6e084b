//! The mechanism on its ordinary path.

mod common;
use common::*;
use maplethread::*;

/// Decisions made by tasks that are turned away at once, so that exploration is rare afterwards.
fn settle(desk: &mut Desk) {
    for n in 10_000..10_600 {
        desk.ask(task(n, n, desk.now + S));
        desk.turn(&[Event::ClientDisconnected(TaskId(n)), end(n, 0, AttemptOutcome::Cancelled, None)]);
    }
    desk.now += 10 * S;
}

/// How often each machine of three gets one of `n` tasks that leave again at once.
fn shares(desk: &mut Desk, n: u64, service: impl Fn(u64) -> u64) -> [u64; 3] {
    let mut got = [0; 3];
    for i in 0..n {
        let machine = desk
            .ask(task(i, service(i), desk.now + S))
            .expect("an offer");
        got[machine as usize] += 1;
        desk.turn(&[Event::ClientDisconnected(TaskId(i)), end(i, 0, AttemptOutcome::Cancelled, None)]);
        desk.now += 20 * S;
    }
    got
}

#[test]
fn the_least_share_is_chosen() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
    settle(&mut desk);
    for (n, machine) in [(1, 0), (2, 0), (3, 1)] {
        let mut large = task(n, 500 + n, 0);
        large.requested = Resources::new(8.0, 16.0);
        desk.turn(&[Event::TaskAdopted(large, MachineId(machine))]);
    }
    let got = shares(&mut desk, 200, |i| 1_000 + i);
    assert!(got[2] >= 195, "{got:?}");
}

#[test]
fn an_emptier_machine_draws_no_start_from_one_with_the_program_while_that_is_easy() {
    // Machine 0 holds the program and so many cores of 32; the others are empty, one of them the service's home.
    let at_the_program = |cores: f64| {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
        settle(&mut desk);
        let large = Task {
            requested: Resources::new(cores, 1.0),
            ..task(1, 500, 0)
        };
        desk.turn(&[Event::TaskAdopted(large, MachineId(0))]);
        let mut got = 0;
        for service in 0..100 {
            let small = Task {
                requested: Resources::new(0.1, 0.1),
                ..task(2_000 + service, 1_000 + service, 0)
            };
            desk.turn(&[Event::TaskAdopted(small, MachineId(0))]);
            let machine = desk
                .ask(task(3_000 + service, 1_000 + service, desk.now + S))
                .expect("an offer");
            got += u64::from(machine == 0);
            for n in [2_000 + service, 3_000 + service] {
                desk.turn(&[Event::ClientDisconnected(TaskId(n)), end(n, 0, AttemptOutcome::Cancelled, None)]);
            }
        }
        got
    };
    assert!(at_the_program(9.0) >= 95, "{}", at_the_program(9.0));
    assert!(at_the_program(24.0) <= 80, "{}", at_the_program(24.0));
}

#[test]
fn a_quick_machine_outweighs_a_larger_share() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
    settle(&mut desk);
    // Machine 0 starts the service in 0.2 s, machine 1 in 2 s; both hold the program.
    let (mut n, mut seen) = (1, [0, 0]);
    while seen.iter().any(|&s| s < 8) {
        let machine = desk.ask(task(n, 7, desk.now + 9 * S)).expect("an offer") as usize;
        desk.turn(&[Event::AttemptAccepted(id(n, 0), None)]);
        desk.now += if machine == 0 { 200_000 } else { 2 * S };
        desk.turn(&[Event::TaskReported(id(n, 0), TaskReport::Started)]);
        seen[machine] += 1;
        n += 1;
        assert!(n < 2_000, "{seen:?}");
    }
    assert!(seen[0] > 2 * seen[1], "{seen:?}");
}

/// Puts a small task of the service on each machine, so that its level is the same on all.
fn held_everywhere(desk: &mut Desk, service: u64, machines: u32) {
    for n in 0..machines {
        let small = Task {
            requested: Resources::new(0.01, 0.01),
            ..task(90_000 + u64::from(n), service, 0)
        };
        desk.turn(&[Event::TaskAdopted(small, MachineId(n))]);
    }
}

#[test]
fn near_ties_are_drawn_at_random() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
    settle(&mut desk);
    // No start was ever sampled, so all rates are one and all shares alike.
    let got = shares(&mut desk, 300, |i| 1_000 + i);
    assert!(got.iter().all(|&g| g > 60), "{got:?}");
}

#[test]
fn early_decisions_explore_and_later_ones_hardly_do() {
    let explored = |skip: bool| {
        let mut away = 0;
        for seed in 0..60 {
            let placer = Placer::new(settings(RetrySafety::Idempotent), seed).expect("sound settings");
            let mut desk = Desk { placer, now: S };
            desk.list(UpdateScope::Full, (0..3).map(machine).collect());
            if skip {
                settle(&mut desk);
            }
            let mut large = task(1, 1, 0);
            large.requested = Resources::new(16.0, 32.0);
            desk.turn(&[
                Event::TaskAdopted(large, MachineId(0)),
                Event::TaskAdopted(
                    Task {
                        id: TaskId(2),
                        ..large
                    },
                    MachineId(1),
                ),
            ]);
            away += u32::from(desk.ask(task(3, 3, desk.now + S)) != Some(2));
        }
        away
    };
    assert!(explored(false) > 25, "the first decision is a uniform draw");
    assert!(explored(true) < 5, "later ones hardly are");
}

#[test]
fn exploration_and_ties_obey_the_filters() {
    for seed in 0..50 {
        let placer = Placer::new(settings(RetrySafety::Idempotent), seed).expect("sound settings");
        let mut desk = Desk { placer, now: S };
        let state = |n: u32| {
            if n == 3 {
                MachineState::Ready
            } else {
                MachineState::Draining
            }
        };
        desk.list(
            UpdateScope::Full,
            (0..6)
                .map(|n| MachineEntry {
                    state: state(n),
                    ..machine(n)
                })
                .collect(),
        );
        assert_eq!(desk.ask(task(1, 1, 9 * S)), Some(3));
    }
}

#[test]
fn an_unreported_machine_takes_the_mean_of_the_others() {
    let mut view = settings(RetrySafety::Idempotent);
    view.view = true;
    let mut desk = Desk::new(view, 0);
    let unasked = |n| match n {
        0 => Some(Resources::new(28.0, 84.0)),
        1 => Some(Resources::new(4.0, 12.0)),
        _ => None,
    };
    desk.list(
        UpdateScope::Full,
        (0..3)
            .map(|n| MachineEntry {
                unallocated: unasked(n),
                ..machine(n)
            })
            .collect(),
    );
    settle(&mut desk);
    held_everywhere(&mut desk, 7, 3);
    let got = shares(&mut desk, 200, |_| 7);
    assert!(got[0] >= 190, "the emptiest that is known: {got:?}");
}

#[test]
fn own_binds_count_until_the_view_shows_them() {
    let mut view = settings(RetrySafety::Idempotent);
    view.view = true;
    let mut desk = Desk::new(view, 0);
    let free = Some(Resources::new(32.0, 96.0));
    desk.list(
        UpdateScope::Full,
        (0..2)
            .map(|n| MachineEntry {
                unallocated: free,
                ..machine(n)
            })
            .collect(),
    );
    settle(&mut desk);
    held_everywhere(&mut desk, 7, 2);
    let mut got = [0; 2];
    for n in 1..=20 {
        got[desk.ask(task(n, 7, desk.now + S)).expect("an offer") as usize] += 1;
    }
    assert!(
        got.iter().all(|&g| (8..=12).contains(&g)),
        "a stale view must not draw a herd: {got:?}"
    );
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 5);
        let mut all = Vec::new();
        for n in 0..300u64 {
            desk.now += 7_000;
            all.extend(desk.turn(&[Event::PlacementRequested(task(n, n % 9, desk.now + S))]));
            all.extend(desk.turn(&[
                Event::AttemptAccepted(id(n, 0), None),
                Event::TaskReported(id(n, 0), TaskReport::Started),
            ]));
            if n % 3 == 0 {
                all.extend(desk.turn(&[end(n, 0, AttemptOutcome::Completed, None)]));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn late_repeated_and_unknown_events_are_ignored() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 1);
    let unknown = [
        Event::AttemptAccepted(id(5, 0), None),
        Event::TaskReported(id(5, 0), TaskReport::Started),
        Event::TaskReported(id(5, 3), TaskReport::Served(0.1)),
        end(5, 0, AttemptOutcome::Completed, None),
        Event::ClientDisconnected(TaskId(5)),
        Event::TimerFired(77),
        Event::Probed {
            machine: MachineId(99),
            ok: true,
            load: None,
        },
        Event::PeerMessage {
            from: 3,
            bytes: vec![1],
        },
        Event::DiscoveryUnavailable,
        Event::TaskAdopted(
            Task {
                class: 9,
                ..task(6, 6, 0)
            },
            MachineId(0),
        ),
    ];
    assert!(desk.turn(&unknown).is_empty());
    let refused = desk.turn(&[Event::PlacementRequested(Task {
        class: 9,
        ..task(7, 7, 9 * S)
    })]);
    assert_eq!(answers(&refused), [Action::Reject(TaskId(7), None)]);
    // Time that seems to run back is taken for standing still.
    desk.now = 0;
    desk.ask(task(8, 8, 9 * S));
    assert!(
        desk.turn(&[end(8, 0, AttemptOutcome::Completed, None), end(8, 0, AttemptOutcome::Completed, None)])
            .len()
            < 3
    );
}

#[test]
fn settings_that_make_no_sense_are_refused() {
    let error = |change: fn(&mut Settings)| {
        let mut settings = settings(RetrySafety::Idempotent);
        change(&mut settings);
        Placer::new(settings, 1).err()
    };
    assert_eq!(error(|_| {}), None);
    assert_eq!(
        error(|s| s.classes.clear()),
        Some(SettingsError::Empty("classes"))
    );
    assert_eq!(
        error(|s| s.kinds.clear()),
        Some(SettingsError::Empty("kinds"))
    );
    assert_eq!(
        error(|s| s.classes[0].kind = Some(4)),
        Some(SettingsError::UnknownKind(4))
    );
    let bad: [fn(&mut Settings); 5] = [
        |s| s.admit_cores = f64::NAN,
        |s| s.rules.overload_multiple = f64::INFINITY,
        |s| s.replica_count = 0,
        |s| s.replica_index = s.replica_count,
        |s| s.kinds[0].memory = 0.0,
    ];
    for change in bad {
        assert!(matches!(error(change), Some(SettingsError::OutOfRange(_))));
    }
}
