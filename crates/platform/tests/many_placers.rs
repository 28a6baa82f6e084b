//! Many placers, the engine with the unchanged module, on one fleet under simulated time: seeded, no sockets. Each
//! placer is slow, and writes what a turn wants to its connections in any order, but for what has to be written first.

mod support;

use maplethread::Micros;
use support::{Fault, MS, S, World};

#[test]
fn a_cut_zone_keeps_its_tasks_and_no_request_has_two_attempts_out() {
    for seed in 0..6 {
        let mut world = World::new(seed, 6, 48);
        world.load(S, 12 * S, 150);
        world.fault(4 * S, Fault::Cut(1));
        world.fault(9 * S, Fault::Heal(1));
        world.run(16 * S);
        let seen = world.verdict();
        assert!(seen.asked > 1_000 && seen.placed * 10 > seen.asked * 9, "seed {seed}: {seen:?}");
        assert_eq!(seen.released_running, 0, "seed {seed}: tasks on the far side of a cut run on: {seen:?}");
    }
}

#[test]
fn a_zone_whose_processes_die_has_its_tasks_released_at_once() {
    for seed in 0..4 {
        let mut world = World::new(seed, 6, 48);
        world.load(S, 9 * S, 150);
        world.fault(4 * S, Fault::Die(1));
        world.fault(8 * S, Fault::Return(1));
        world.list_late(2 * S);
        world.run(14 * S);
        let seen = world.verdict();
        assert!(seen.lost > 50 && seen.latest_release < 2 * S, "seed {seed}: {seen:?}");
    }
}

#[test]
fn a_zone_that_vanishes_and_returns_anew_before_the_list_says_so_is_found_out_in_time() {
    for seed in 0..4 {
        let mut world = World::new(seed, 6, 48);
        world.load(S, 12 * S, 100);
        world.fault(4 * S, Fault::Vanish(1));
        world.fault(9 * S, Fault::Return(1));
        world.list_late(6 * S);
        world.run(20 * S);
        let seen = world.verdict();
        let most: Micros = 8 * S + 50 * MS;
        assert!(seen.lost > 50 && seen.latest_release <= most, "seed {seed}: {seen:?}");
    }
}

#[test]
fn placers_that_start_together_from_nothing_serve_and_keep_the_rules() {
    for seed in 0..4 {
        let mut world = World::new(seed, 10, 40);
        world.load(S, 10 * S, 200);
        for placer in 0..7 {
            world.fault(4 * S, Fault::Kill(placer));
        }
        world.run(14 * S);
        let seen = world.verdict();
        assert!(seen.placed * 10 > seen.asked * 9, "seed {seed}: {seen:?}");
    }
}
