//! The engine with the module under a simulated clock and network: hosts that accept, refuse, stay silent, lose
//! connections and restart, clients that send requests and disconnect, all from one seed. Equal seeds give equal bytes, every
//! request has one answer, and nothing is left over.

mod simulation;

use simulation::Simulation;

#[test]
fn every_request_gets_one_answer_and_no_state_is_left_over() {
    let mut placed = 0;
    for seed in 0..12 {
        let mut sim = Simulation::new(seed);
        sim.run(6);
        for (id, client) in &sim.clients {
            let wanted = usize::from(!client.has_disconnected && !client.is_closed);
            let got = client.answers.len();
            assert!(
                got == wanted || (got <= 1 && (client.has_disconnected || client.is_closed)),
                "seed {seed}, {id:?}: {got} answers"
            );
            placed += client
                .answers
                .iter()
                .filter(|a| a.contains("\"placed\""))
                .count();
        }
        sim.run_until_settled();
        let status = sim.status();
        for gone in ["\"open_asks\":0", "\"attempts\":0", "\"actors\":0"] {
            assert!(status.contains(gone), "seed {seed}: {status}");
        }
        let counters = sim.engine.counters();
        assert_eq!(
            counters.requests,
            counters.placed + counters.rejected + counters.failed + counters.disconnected,
            "seed {seed}"
        );
    }
    assert!(placed > 500, "only {placed} placed");
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
