//! Service accounting of tasks that are wanted beyond the end of the run.

use std::sync::Arc;

use super::{ServiceAccounting, TaskDemand};

const SECOND_US: u64 = 1_000_000;

#[test]
fn ignores_demand_after_end_of_run() {
    let mut accounting = ServiceAccounting::new(0, 2);
    // Both tasks are wanted for 120 s, in a run of 20 s; one runs from the beginning, the other from the middle.
    for (class, name, runs_from) in [(0, "a", 0), (1, "b", 10 * SECOND_US)] {
        let actor: Arc<str> = name.into();
        let wanted = TaskDemand {
            class,
            value_per_s: 1.0,
            from_us: 0,
            until_us: 120 * SECOND_US,
            objective_us: SECOND_US,
            start_bonus: 0.0,
            deadline_us: 2 * SECOND_US,
            late_start_bonus: 0.0,
        };
        accounting.add_demand(&actor, wanted);
        accounting.record_start(&actor, runs_from);
        for from in (runs_from..20 * SECOND_US).step_by(SECOND_US as usize / 2) {
            accounting.record_service(&actor, from, from + SECOND_US / 2, 1.0);
        }
    }
    let shares = accounting.service_by_class(20 * SECOND_US);
    assert!(
        shares[0] > 0.97 && (0.47..=0.5).contains(&shares[1]),
        "{shares:?}"
    );
    let service = accounting.service_shares(20 * SECOND_US);
    assert_eq!(service.worst_class, shares[1]);
    assert!((0.72..=0.75).contains(&service.overall), "{service:?}");
}
