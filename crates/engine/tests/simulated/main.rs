//! The engine with the placement policy under a simulated clock and network. Hosts accept and reject offers, become
//! unresponsive, lose connections and restart, and clients send requests and disconnect, all derived from one seed.
//! Checks that every request gets one answer, that the engine keeps no state of finished requests, and that equal seeds
//! give equal output bytes.

mod simulation;

use simulation::Simulation;

#[test]
fn every_request_gets_one_answer_and_no_state_is_left_over() {
    let mut placed = 0;
    for seed in 0..12 {
        let mut sim = Simulation::new(seed);
        sim.run(6);
        for (id, client) in &sim.clients {
            let expected = usize::from(!client.has_disconnected && !client.is_closed);
            let actual = client.answers.len();
            assert!(
                actual == expected
                    || (actual <= 1 && (client.has_disconnected || client.is_closed)),
                "seed {seed}, {id:?}: {actual} answers"
            );
            placed += client
                .answers
                .iter()
                .filter(|a| a.contains("\"placed\""))
                .count();
        }
        sim.run_until_settled();
        let status = sim.status();
        for empty in ["\"open_asks\":0", "\"attempts\":0", "\"actors\":0"] {
            assert!(status.contains(empty), "seed {seed}: {status}");
        }
        let counters = sim.engine.counters();
        assert_eq!(
            counters.requests,
            counters.placed + counters.rejected + counters.failed + counters.disconnected,
            "seed {seed}"
        );
    }
    assert!(
        placed > 500,
        "only {placed} requests were answered with a placement"
    );
}

#[test]
fn equal_seeds_produce_equal_bytes() {
    let trace = |seed| {
        let mut sim = Simulation::new(seed);
        sim.run(3);
        sim.trace.finalize()
    };
    assert_eq!(trace(3), trace(3));
    assert_ne!(trace(3), trace(4));
}
