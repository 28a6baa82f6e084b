//! One test for each failure found, by its symptom.

mod common;
use common::*;
use maplethread::*;

/// How many of `n` asks, `every` apart, go to machine 0 of `desk`; what comes of them is up to `react`.
fn drawn(desk: &mut Desk, n: u64, every: Micros, react: impl Fn(u64, u32) -> Vec<Event>) -> u64 {
    let mut to_zero = 0;
    for i in 0..n {
        desk.now += every;
        let machine = desk.ask(task(i, 100 + i, desk.now + S)).expect("an offer");
        to_zero += u64::from(machine == 0);
        let mut events = react(i, machine);
        events.push(Event::ClientDisconnected(TaskId(i)));
        desk.turn(&events);
    }
    to_zero
}

fn well(i: u64) -> Vec<Event> {
    let start = Event::TaskReported(id(i, 0), TaskReport::Started);
    vec![
        Event::AttemptAccepted(id(i, 0), None),
        start,
        end(i, 0, AttemptOutcome::Completed, None),
    ]
}

#[test]
fn a_machine_that_fails_fast_does_not_draw_ever_more() {
    for ending in [
        AttemptOutcome::Error,
        AttemptOutcome::Disconnected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::TimedOut,
    ] {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
        let to_zero = drawn(&mut desk, 300, 40_000, |i, machine| match machine {
            0 => vec![end(i, 0, ending, None)],
            _ => well(i),
        });
        assert!(to_zero <= 12, "{ending:?}: {to_zero} of 300");
        // It is tried again, and used once it works.
        desk.now += 10 * S;
        let mut works = 0;
        for i in 1_000..1_100u64 {
            desk.now += 40_000;
            works += u64::from(desk.ask(task(i, i, desk.now + S)) == Some(0));
            desk.turn(&well(i));
        }
        assert!(works > 10, "{ending:?}: {works} of 100 once it is well");
    }
}

#[test]
fn tasks_that_every_machine_answers_with_an_error_make_none_look_sick() {
    // Some clients ask for what no machine can use: each such task goes round, and others must not suffer for it.
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
    let mut to = [0; 3];
    for i in 0..200u64 {
        desk.now += 20_000;
        let odd = 1_000 + i;
        let first = desk.ask(task(odd, odd, desk.now + S)).expect("an offer");
        let second = offer(&desk.turn(&[end(odd, 0, AttemptOutcome::Error, None)])).expect("another offer");
        assert_ne!(
            first, second,
            "the first error counts until another machine errs too"
        );
        desk.turn(&[end(odd, 1, AttemptOutcome::Error, None)]);
        desk.turn(&[end(odd, 2, AttemptOutcome::Error, None)]);
        let machine = desk.ask(task(i, 100 + i, desk.now + S)).expect("an offer");
        to[machine as usize] += 1;
        desk.turn(&well(i));
    }
    assert!(to.iter().all(|&n| n > 30), "{to:?} of 200");
}

#[test]
fn an_answer_cut_off_or_lost_now_and_then_does_not_bar_a_machine_that_lives() {
    // Connections break and answers are spoilt or lost on any machine; what stands there goes on telling of itself.
    let to_zero = |ending: AttemptOutcome, every: u64| {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
        let mut standing = 1_000;
        while desk.start(task(standing, standing, desk.now + S), 100_000) != 0 {
            standing += 1;
        }
        let (mut offers, mut to_zero) = (0, 0);
        for i in 0..300u64 {
            desk.now += 40_000;
            desk.turn(&[Event::TaskReported(id(standing, 0), TaskReport::Served(1.0))]);
            let machine = desk.ask(task(i, 100 + i, desk.now + S)).expect("an offer");
            offers += u64::from(machine == 0);
            to_zero += u64::from(machine == 0);
            desk.now += 1_000;
            let spoilt = machine == 0 && offers % every == 0;
            let mut events = if spoilt {
                vec![end(i, 0, ending, None)]
            } else {
                well(i)
            };
            events.push(Event::ClientDisconnected(TaskId(i)));
            desk.turn(&events);
        }
        to_zero
    };
    for ending in [AttemptOutcome::Disconnected, AttemptOutcome::TimedOut] {
        assert!(
            to_zero(ending, 5) > 50,
            "{ending:?}, one in five: {}",
            to_zero(ending, 5)
        );
        assert!(
            to_zero(ending, 1) < 15,
            "{ending:?}, each one: {}",
            to_zero(ending, 1)
        );
    }
}

#[test]
fn a_machine_that_errs_is_not_acquitted_by_tasks_that_run_elsewhere() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
    let mut to_zero = 0;
    for i in 0..200u64 {
        desk.now += 20_000;
        let mut machine = desk.ask(task(i, 100 + i, desk.now + S)).expect("an offer");
        let mut number = 0;
        while machine == 0 {
            to_zero += 1;
            machine =
                offer(&desk.turn(&[end(i, number, AttemptOutcome::Error, None)])).expect("another offer");
            number += 1;
        }
        let start = Event::TaskReported(id(i, number), TaskReport::Started);
        desk.turn(&[
            Event::AttemptAccepted(id(i, number), None),
            start,
            end(i, number, AttemptOutcome::Completed, None),
        ]);
    }
    assert!(to_zero <= 6, "{to_zero}");
}

#[test]
fn a_task_that_would_push_others_out_looks_for_comfort_on_all_machines() {
    let to_empty = |priority: u32| {
        let mut settings = settings(RetrySafety::Idempotent);
        settings.classes.push(Class {
            priority,
            ..class(RetrySafety::Idempotent)
        });
        let mut desk = Desk::new(settings, 12);
        let running = |n: u64| Task {
            requested: Resources::new(12.0, 24.0),
            ..task(n, n, 0)
        };
        let full: Vec<Event> = (1..12)
            .map(|n| Event::TaskAdopted(running(n), MachineId(n as u32)))
            .collect();
        desk.turn(&full);
        let large = |n: u64| Task {
            class: 1,
            requested: Resources::new(22.0, 40.0),
            ..task(n, n, 10 * S)
        };
        let ask = |n: u64| {
            let machine = desk.ask(large(n));
            desk.turn(&[end(n, 0, AttemptOutcome::Completed, None), Event::ClientDisconnected(TaskId(n))]);
            machine
        };
        (100..160).map(ask).filter(|m| *m == Some(0)).count()
    };
    assert!(to_empty(1) > 50, "{} of 60", to_empty(1));
    assert!(
        to_empty(0) < 40,
        "what pushes nobody out stays near home: {} of 60",
        to_empty(0)
    );
}

#[test]
fn a_task_that_starves_where_others_cannot_be_pushed_out_is_moved_once_there_is_a_better_place() {
    // Notes once a second on a task on machine 0; whether it is moved. Machine 1 holds a task that tells of it.
    let moved = |priority: u32, served: &[f64], other: f64| {
        let mut settings = settings(RetrySafety::Idempotent);
        settings.classes.push(Class {
            priority,
            ..class(RetrySafety::Idempotent)
        });
        let mut desk = Desk::new(settings, 2);
        let large = Task {
            class: 1,
            requested: Resources::new(8.0, 16.0),
            ..task(7, 7, 0)
        };
        desk.turn(&[
            Event::TaskAdopted(large, MachineId(0)),
            Event::TaskAdopted(task(8, 8, 0), MachineId(1)),
        ]);
        let mut all = Vec::new();
        for &x in served {
            desk.now += S;
            let notes = [
                Event::TaskReported(id(8, 0), TaskReport::Served(other)),
                Event::TaskReported(id(7, 0), TaskReport::Served(x)),
            ];
            all.extend(desk.turn(&notes));
        }
        all.contains(&Action::Migrate(TaskId(7)))
    };
    assert!(moved(1, &[0.1, 0.0, 0.2], 1.0));
    assert!(!moved(1, &[0.1, 0.0], 1.0), "not at the first sign");
    assert!(!moved(1, &[0.1, 0.9, 0.1, 0.1], 1.0), "it had recovered");
    assert!(
        !moved(0, &[0.1, 0.0, 0.2, 0.1], 1.0),
        "small ones by the hundred stay where they are"
    );
    assert!(!moved(1, &[0.1, 0.0, 0.2, 0.1], 0.5), "nowhere better");
}

#[test]
fn a_new_process_starts_with_a_clean_record() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 1);
    for i in 0..6 {
        desk.ask(task(i, i, desk.now + S));
        desk.turn(&[end(i, 0, AttemptOutcome::Error, None), Event::ClientDisconnected(TaskId(i))]);
    }
    let mut two = vec![machine(0), machine(1)];
    two[0].started = Some(desk.now);
    desk.list(UpdateScope::Full, two);
    let to_zero = drawn(&mut desk, 60, 200_000, |i, _| well(i));
    assert!(to_zero > 10, "{to_zero} of 60");
}

#[test]
fn when_no_machine_looks_healthy_the_fault_is_taken_to_be_elsewhere() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
    for i in 0..8 {
        desk.ask(task(i, i, desk.now + S));
        desk.turn(&[Event::ClientDisconnected(TaskId(i)), end(i, 0, AttemptOutcome::TimedOut, None)]);
    }
    assert!(
        desk.ask(task(100, 100, desk.now + S)).is_some(),
        "held for nothing"
    );
}

#[test]
fn patience_grows_with_each_attempt_of_a_task_and_of_no_other() {
    // Slow answers everywhere must not make copy after copy; one silent class must not slow the others.
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 4);
    let give_up_at = desk.now + 60 * S;
    let mut wait = |event| time_out(&desk.turn(&[event])).expect("an offer");
    let first = wait(Event::PlacementRequested(task(1, 1, give_up_at)));
    assert!(first < 4 * S, "{first}");
    let second = wait(end(1, 0, AttemptOutcome::TimedOut, None));
    assert!(second > first + first / 2, "{first} then {second}");
    assert_eq!(wait(Event::PlacementRequested(task(2, 2, give_up_at))), first);
}

#[test]
fn a_full_machine_is_passed_over_for_tasks_as_large_but_not_for_smaller_ones() {
    let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 1);
    let large = Task {
        requested: Resources::new(8.0, 8.0),
        ..task(1, 1, 9 * S)
    };
    assert_eq!(desk.ask(large), Some(0));
    let again = desk.turn(&[end(1, 0, AttemptOutcome::Rejected, Some(FailureReason::Cores))]);
    assert_eq!(offer(&again), None, "not at once");
    assert_eq!(
        desk.ask(task(2, 2, 9 * S)),
        Some(0),
        "a smaller one may fit"
    );
    let later = desk.wait(desk.now + 2 * S, &[0]);
    assert_eq!(offer(&later), Some(0), "it is tried again");
}

#[test]
fn refusals_on_end_keep_offers_away_ever_longer_until_one_is_taken() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 1);
    let mut offered = 0;
    for n in 0..1_000u64 {
        desk.now += 20_000;
        if desk.ask(task(n, n, desk.now + S)).is_some() {
            offered += 1;
            let refused = end(n, 0, AttemptOutcome::Rejected, Some(FailureReason::QueueFull));
            desk.turn(&[Event::ClientDisconnected(TaskId(n)), refused]);
        }
    }
    assert!((10..30).contains(&offered), "{offered} offers in 20 s");
    desk.now += 2 * S;
    assert_eq!(desk.ask(task(5_000, 1, desk.now + S)), Some(0));
    desk.turn(&well(5_000));
    assert_eq!(
        desk.ask(task(5_001, 1, desk.now + S)),
        Some(0),
        "taken: all is well"
    );
}

#[test]
fn machines_whose_tasks_are_served_poorly_are_passed_over_for_a_while() {
    for note in [TaskReport::Served(0.5), TaskReport::MachineMemory(0.97)] {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
        desk.turn(&[Event::TaskAdopted(task(900, 900, 0), MachineId(0))]);
        let react = |i: u64, _| [well(i), vec![Event::TaskReported(id(900, 0), note)]].concat();
        desk.turn(&[Event::TaskReported(id(900, 0), note)]);
        assert_eq!(drawn(&mut desk, 50, 100_000, react), 0, "{note:?}");
        // Once no more is heard of it, and the other holds more, it is used again.
        desk.now += 3 * S;
        let large = Task {
            requested: Resources::new(16.0, 16.0),
            ..task(901, 901, 0)
        };
        desk.turn(&[Event::TaskAdopted(large, MachineId(1))]);
        assert!(
            drawn(&mut desk, 50, 100_000, |i, _| well(i)) > 40,
            "{note:?}"
        );
    }
}

#[test]
fn a_process_started_anew_holds_no_program() {
    // Ten services have tasks on machine 0, which is lost with them and comes back, or is not lost.
    let back_there = |lost: bool| {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 4);
        desk.now += 20 * S;
        let small = |n| Task {
            requested: Resources::new(0.1, 0.1),
            ..task(n, n, 0)
        };
        let tasks: Vec<Event> = (0..10)
            .map(|n| Event::TaskAdopted(small(n), MachineId(0)))
            .collect();
        desk.turn(&tasks);
        desk.now += S;
        if lost {
            let listing = MachineEntry {
                started: Some(desk.now),
                ..machine(0)
            };
            desk.now += 100_000;
            desk.list(UpdateScope::Delta, vec![listing]);
        }
        let ending = if lost { AttemptOutcome::Disconnected } else { AttemptOutcome::Completed };
        desk.turn(&(0..10).map(|n| end(n, 0, ending, None)).collect::<Vec<_>>());
        // Another task there tells that the machine lives.
        desk.turn(&[
            Event::TaskAdopted(small(50), MachineId(0)),
            Event::TaskReported(id(50, 0), TaskReport::Served(1.0)),
        ]);
        let again = (0..10).map(|n| {
            desk.ask(Task {
                id: TaskId(100 + n),
                deadline: desk.now + S,
                ..small(n)
            })
        });
        again.filter(|machine| *machine == Some(0)).count()
    };
    assert!(back_there(false) >= 9, "{}", back_there(false));
    assert!(back_there(true) <= 6, "{}", back_there(true));
}

#[test]
fn a_service_stays_where_its_program_is_held() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 4);
    // A small task of each service runs on one machine; starts elsewhere take ten times as long.
    for service in 0..20u64 {
        let small = Task {
            requested: Resources::new(0.1, 0.1),
            ..task(5_000 + service, service, 0)
        };
        desk.turn(&[Event::TaskAdopted(small, MachineId((service % 4) as u32))]);
    }
    let mut local = 0;
    for n in 0..600u64 {
        let machine = desk
            .ask(task(n, n % 20, desk.now + 9 * S))
            .expect("an offer");
        let held = u64::from(machine) == n % 4;
        local += u64::from(held && n >= 400);
        desk.now += if held { 100_000 } else { S };
        desk.turn(&well(n));
        desk.now += 9 * S;
    }
    assert!(local > 150, "{local} of 200; chance gives a quarter");
}

#[test]
fn where_machines_in_use_are_priced_no_more_are_used_than_needed() {
    let used = |fleet: f64| {
        let mut priced = settings(RetrySafety::Idempotent);
        (priced.view, priced.costs.fleet) = (true, fleet);
        let mut desk = Desk::new(priced, 0);
        let free = |n: u32| {
            Some(if n < 2 {
                Resources::new(24.0, 72.0)
            } else {
                Resources::new(32.0, 96.0)
            })
        };
        desk.list(
            UpdateScope::Full,
            (0..8)
                .map(|n| MachineEntry {
                    unallocated: free(n),
                    ..machine(n)
                })
                .collect(),
        );
        let mut used = [0; 8];
        for n in 0..300 {
            let machine = desk.ask(task(n, n, desk.now + S)).expect("an offer");
            used[machine as usize] += 1;
            desk.turn(&well(n));
        }
        used.iter().filter(|&&n| n > 0).count()
    };
    assert_eq!(used(0.2), 1);
    assert!(used(0.0) >= 6);
}

#[test]
fn once_answers_are_known_to_be_quick_silence_is_noticed_soon_whatever_the_effect() {
    // A machine that leaves one class unanswered would hold an unsafe task until its deadline; given back
    // early, its owner learns that it does not run and asks again.
    for effect in [RetrySafety::Idempotent, RetrySafety::NonIdempotent] {
        let mut desk = Desk::new(settings(effect), 3);
        for n in 0..30 {
            desk.ask(task(n, 1, desk.now + 9 * S)).expect("an offer");
            desk.now += 20_000;
            desk.turn(&[Event::AttemptAccepted(id(n, 0), None), end(n, 0, AttemptOutcome::Completed, None)]);
        }
        let actions = desk.turn(&[Event::PlacementRequested(task(99, 1, desk.now + 9 * S))]);
        let wait = time_out(&actions);
        assert!(
            wait.is_some_and(|wait| wait > 60_000 && wait < S),
            "{effect:?}: {wait:?}"
        );
    }
}

#[test]
fn placers_that_see_the_same_few_comfortable_machines_do_not_all_swarm_to_them() {
    let (mut swarmed, placers) = (0, 200);
    for number in 0..placers {
        let mut seen = settings(RetrySafety::Idempotent);
        (seen.view, seen.replica_count, seen.replica_index) = (true, placers, number);
        let placer = Placer::new(seen, u64::from(number)).expect("sound settings");
        let mut desk = Desk { placer, now: S };
        // Three of twenty have room to spare, the others are fuller than is comfortable.
        let unasked = |n: u32| {
            if n < 3 {
                Resources::new(8.0, 24.0)
            } else {
                Resources::new(3.0, 9.0)
            }
        };
        let listing = |n: u32| MachineEntry {
            unallocated: Some(unasked(n)),
            ..machine(n)
        };
        desk.list(UpdateScope::Full, (0..20).map(listing).collect());
        swarmed += u32::from(
            desk.ask(task(1, u64::from(number), 9 * S))
                .expect("an offer")
                < 3,
        );
    }
    assert!(swarmed < placers * 3 / 4, "{swarmed} of {placers}");
    assert!(
        swarmed > placers / 5,
        "comfort still counts: {swarmed} of {placers}"
    );
}

#[test]
fn a_class_that_fails_on_a_machine_leaves_it_and_finds_it_again_while_the_others_stay() {
    let mut two = settings(RetrySafety::Idempotent);
    two.classes.push(class(RetrySafety::Idempotent));
    let mut desk = Desk::new(two, 2);
    let of = |n: u64, class: usize| Task {
        class,
        ..task(n, n, 900 * S)
    };
    desk.turn(&[
        Event::TaskAdopted(of(9_999, 1), MachineId(0)),
        Event::TaskAdopted(of(9_998, 1), MachineId(1)),
    ]);
    // Class 0 fails on machine 0 until both homes are known; class 1 goes on being served there.
    let mut n = 0;
    let mut share = |desk: &mut Desk, class: usize, fails: bool| {
        let mut there = 0;
        for _ in 0..40 {
            n += 1;
            // A task that runs there goes on telling what it uses.
            desk.turn(&[Event::TaskReported(id(9_999, 0), TaskReport::CoresUsed(0.5))]);
            let at = desk.ask(of(n, class)).expect("an offer");
            there += u32::from(at == 0);
            if at == 0 && fails {
                desk.turn(&[
                    end(n, 0, AttemptOutcome::TimedOut, None),
                    Event::ClientDisconnected(TaskId(n)),
                    end(n, 1, AttemptOutcome::Disconnected, None),
                ]);
            } else {
                desk.turn(&[
                    Event::AttemptAccepted(id(n, 0), None),
                    Event::TaskReported(id(n, 0), TaskReport::Started),
                ]);
                desk.turn(&[end(n, 0, AttemptOutcome::Completed, None)]);
            }
            desk.now += 20_000;
        }
        there
    };
    assert!(share(&mut desk, 1, false) > 5);
    assert!(share(&mut desk, 0, true) < 5, "the failing class leaves");
    assert!(share(&mut desk, 1, false) > 5, "the other stays");
    assert!(
        share(&mut desk, 0, true) < 5,
        "whose success clears nothing"
    );
    desk.now += 60 * S;
    assert!(share(&mut desk, 0, false) > 5, "and finds it again");
}

#[test]
fn a_placer_that_stood_still_does_not_take_its_own_silence_for_the_machines() {
    // Answers that came while it stood still are taken in late; waits must follow what they took.
    let wait_after_stalls = |elapsed: Option<Micros>| {
        let mut desk = Desk::new(settings(RetrySafety::Idempotent), 3);
        for n in 0..30 {
            desk.ask(task(n, 1, desk.now + 9 * S)).expect("an offer");
            desk.now += 1_500_000;
            desk.turn(&[
                Event::AttemptAccepted(id(n, 0), elapsed),
                end(n, 0, AttemptOutcome::Completed, None),
            ]);
        }
        let actions = desk.turn(&[Event::PlacementRequested(task(99, 1, desk.now + 9 * S))]);
        time_out(&actions)
    };
    assert!(wait_after_stalls(None) > Some(S));
    assert!(wait_after_stalls(Some(20_000)).is_some_and(|wait| wait < S));
}

#[test]
fn what_came_while_it_stood_still_is_taken_in_before_any_offer() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
    let drained = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    desk.now += 2 * S;
    // The drain is last in the backlog, behind twenty asks.
    let mut backlog: Vec<Event> = (0..20)
        .map(|n| Event::PlacementRequested(task(n, n, desk.now + 5 * S)))
        .collect();
    backlog.push(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        machines: vec![drained],
    });
    let actions = desk.turn(&backlog);
    let offers = actions
        .iter()
        .filter(|a| matches!(a, Action::Offer(..)))
        .count();
    let to_other = actions
        .iter()
        .filter(|a| matches!(a, Action::Offer(_, MachineId(1), _)))
        .count();
    assert_eq!((offers, to_other), (20, 20));
}

#[test]
fn crossing_zones_is_weighed_by_its_price() {
    // The service runs on a machine of either zone, so nothing else tells them apart.
    let away = |price: f64| {
        let mut priced = settings(RetrySafety::Idempotent);
        priced.costs.cross_zone = price;
        let mut desk = Desk::new(priced, 0);
        desk.list(
            UpdateScope::Full,
            (0..2)
                .map(|n| MachineEntry {
                    zone: n,
                    ..machine(n)
                })
                .collect(),
        );
        desk.turn(&[
            Event::TaskAdopted(task(998, 1, 0), MachineId(0)),
            Event::TaskAdopted(task(999, 1, 0), MachineId(1)),
        ]);
        let mut away = 0;
        for n in 0..200 {
            away += desk.ask(task(n, 1, desk.now + S)).expect("an offer");
            desk.turn(&well(n));
        }
        away
    };
    assert!(away(0.05) < 20);
    assert!(away(0.0) > 60);
}

#[test]
fn a_restarted_placer_uses_its_old_list_and_believes_a_newer_one() {
    let mut asks = settings(RetrySafety::Idempotent);
    asks.discovery = DiscoveryMode::Poll;
    let placer = Placer::new(asks, 3).expect("sound settings");
    let mut desk = Desk { placer, now: S };
    desk.list(UpdateScope::Restored, vec![machine(0), machine(1)]);
    assert!(desk.ask(task(1, 1, desk.now + S)).is_some());
    let drained = MachineEntry {
        state: MachineState::Draining,
        ..machine(0)
    };
    desk.list(UpdateScope::Delta, vec![drained]);
    for n in 2..30 {
        assert_eq!(desk.ask(task(n, n, desk.now + S)), Some(1));
    }
}

#[test]
fn a_machine_without_connection_gets_no_offers_and_costs_no_attempts() {
    let mut desk = Desk::new(settings(RetrySafety::Idempotent), 2);
    desk.turn(&[
        Event::ConnectionChanged(MachineId(0), false),
        Event::ConnectionChanged(MachineId(1), false),
    ]);
    // Out of reach altogether: held, neither offered nor refused.
    let actions = desk.turn(&[Event::PlacementRequested(task(1, 5, desk.now + 10 * S))]);
    assert_eq!(offer(&actions), None);
    assert!(answers(&desk.wait(desk.now + S, &[0])).is_empty());
    // Back in reach: the one that is gets it, as its first attempt.
    desk.turn(&[Event::ConnectionChanged(MachineId(1), true)]);
    let actions = desk.wait(desk.now + S, &[0]);
    assert_eq!(offer(&actions), Some(1));
    // A loss of the connection takes effect in the turn in which it is told.
    let lost = [
        end(1, 0, AttemptOutcome::Disconnected, None),
        Event::ConnectionChanged(MachineId(1), false),
        Event::ConnectionChanged(MachineId(0), true),
    ];
    assert_eq!(offer(&desk.turn(&lost)), Some(0));
    // Out of reach until the deadline: refused in time.
    let mut desk = Desk::new(settings(RetrySafety::NonIdempotent), 1);
    desk.turn(&[Event::ConnectionChanged(MachineId(0), false)]);
    let give_up_at = desk.now + 2 * S;
    desk.turn(&[Event::PlacementRequested(task(1, 5, give_up_at))]);
    let actions = desk.wait(give_up_at, &[0, 2]);
    assert_eq!(answers(&actions), [Action::Reject(TaskId(1), None)]);
    assert_eq!(offer(&actions), None);
}

/// One of four placers before four machines, with its part of twelve accepted starts under way.
fn busy() -> (Desk, u64) {
    let mut own = settings(RetrySafety::Idempotent);
    own.replica_count = 4;
    let mut desk = Desk::new(own, 4);
    for n in 0..3 {
        desk.ask(task(n, n, 100 * S)).expect("an offer");
        desk.turn(&[Event::AttemptAccepted(id(n, 0), None)]);
    }
    (desk, 3)
}

fn again(n: u64, give_up_at: Micros) -> Task {
    Task {
        is_resubmission: true,
        ..task(n, n, give_up_at)
    }
}

#[test]
fn tasks_that_come_again_yield_to_first_starts() {
    let (mut desk, next) = busy();
    assert_eq!(
        desk.ask(again(next, 100 * S)),
        None,
        "its part of the starts is under way"
    );
    assert!(
        desk.ask(task(next + 1, 9, 100 * S)).is_some(),
        "a first start is not kept waiting"
    );
    assert_eq!(
        offer(&desk.turn(&[Event::AttemptAccepted(id(next + 1, 0), None)])),
        None
    );
    // Two of the four starts under way are done: the part is three, so one place is free.
    desk.now += 50_000;
    let started = |n| Event::TaskReported(id(n, 0), TaskReport::Started);
    assert_eq!(offer(&desk.turn(&[started(0)])), None);
    let offered = desk.turn(&[started(1)]);
    assert!(
        offered
            .iter()
            .any(|a| matches!(a, Action::Offer(t, ..) if t.0 == next)),
        "{offered:?}"
    );
    desk.turn(&[Event::AttemptAccepted(id(next, 0), None)]);
    assert!(
        desk.ask(again(next + 2, 100 * S)).is_none(),
        "that start counts too"
    );
}

#[test]
fn yielding_ends_where_starts_are_never_told_of() {
    let (mut desk, next) = busy();
    let from = desk.now;
    assert_eq!(desk.ask(again(next, from + 100 * S)), None);
    assert_eq!(desk.ask(again(next + 1, from + S)), None);
    // Half of its time is the most that a task waits so; a second for one with long to go.
    assert!(offer(&desk.wait(from + 400_000, &[0])).is_none());
    let early = desk.wait(from + 710_000, &[0]);
    assert!(
        early
            .iter()
            .any(|a| matches!(a, Action::Offer(t, ..) if t.0 == next + 1)),
        "{early:?}"
    );
    let late = desk.wait(from + 1_210_000, &[0]);
    assert!(
        late.iter()
            .any(|a| matches!(a, Action::Offer(t, ..) if t.0 == next)),
        "{late:?}"
    );
}

#[test]
fn attempts_that_end_or_use_something_are_no_starts_under_way() {
    let (mut desk, next) = busy();
    assert_eq!(desk.ask(again(next, 100 * S)), None);
    let used = desk.turn(&[Event::TaskReported(id(1, 0), TaskReport::CoresUsed(0.5))]);
    assert!(
        used.iter()
            .any(|a| matches!(a, Action::Offer(t, ..) if t.0 == next)),
        "{used:?}"
    );
    desk.turn(&[Event::AttemptAccepted(id(next, 0), None)]);
    assert_eq!(desk.ask(again(next + 1, 100 * S)), None);
    let ended = desk.turn(&[end(0, 0, AttemptOutcome::Disconnected, None)]);
    assert!(
        ended
            .iter()
            .any(|a| matches!(a, Action::Offer(t, ..) if t.0 == next + 1)),
        "{ended:?}"
    );
    // Said twice, or late, it counts once or not at all.
    let twice = [Event::AttemptAccepted(id(2, 0), None), Event::AttemptAccepted(id(2, 0), None)];
    desk.turn(&twice);
    desk.turn(&[
        Event::TaskReported(id(2, 0), TaskReport::Started),
        Event::AttemptAccepted(id(2, 0), None),
    ]);
    assert!(
        desk.ask(again(next + 2, 100 * S)).is_some(),
        "one start is under way, of a part of three"
    );
}

#[test]
fn a_yielding_task_that_is_not_wanted_any_more_is_forgotten() {
    let (mut desk, next) = busy();
    assert_eq!(desk.ask(again(next, 100 * S)), None);
    let its = |a: &Action| matches!(a, Action::Offer(t, ..) | Action::Reject(t, _) if t.0 == next);
    desk.turn(&[Event::ClientDisconnected(TaskId(next))]);
    let actions = desk.turn(&[Event::TaskReported(id(0, 0), TaskReport::Started)]);
    assert!(!actions.iter().any(its), "{actions:?}");
    let actions = desk.wait(110 * S, &[0, next + 1]);
    assert!(!actions.iter().any(its), "{actions:?}");
}
