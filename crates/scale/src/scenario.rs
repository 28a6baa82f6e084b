//! The scenario of the emulated hosts in a sweep: one kind of host with ample capacity and one class of tasks, so that the
//! placers and not the hosts limit the measured size.

use maplethread_config::AcceptancePoint;
use maplethread_emulator::scenario::{Class, Demand, Fleet, HostKindShare, Rules, Scenario};
use maplethread_emulator::settings::unconstrained_class;

/// Hosts in a rack, which fail together in the fault `rack_dies`.
pub(crate) const RACK_SIZE: usize = 40;
/// Number of zones; the fault `zone_dies` stops the hosts of one, a quarter of all.
pub(crate) const ZONE_COUNT: usize = 4;

/// The scenario of a fleet with these numbers of hosts and placers.
pub(crate) fn scenario(workers: usize, placers: u32) -> Scenario {
    Scenario {
        name: "scale".to_owned(),
        duration_s: 1.0,
        placers,
        replica_indexes: None,
        fleet: fleet(workers),
        rules: rules(),
        demand: Demand {
            load: vec![[0.0, 0.0]],
            retry_after_ms: [1000.0, 1000.0],
            unknown_outcome_retry_ms: 1000,
            failover_delay_ms: 1000,
        },
        kinds: vec![HostKindShare {
            name: "std".to_owned(),
            cores: 64.0,
            memory_gib: 512.0,
            share: 1.0,
        }],
        classes: vec![class()],
        faults: Vec::new(),
    }
}

fn fleet(hosts: usize) -> Fleet {
    Fleet {
        hosts,
        zones: (0..ZONE_COUNT).map(|zone| format!("zone-{zone}")).collect(),
        hosts_per_cell: RACK_SIZE,
        acceptance_point: AcceptancePoint::Accepted,
        cpu_overcommit: 1.0,
        memory_overcommit: 1.0,
        admission_ms: [1.0, 1.0],
        max_queued: 256,
        max_concurrent_starts: 16,
        cold_start_factor: 1.0,
        max_kept_programs: 16,
        preempts: false,
        inventory_delay_ms: 1000,
        measures_together: true,
    }
}

fn rules() -> Rules {
    Rules {
        drain_grace_ms: 2000,
        initial_capacity_share: 0.2,
        warm_up_ms: 5000,
        overload_multiple: 4.0,
        overload_window_ms: 2000,
        warm_up_offers: 20.0,
    }
}

fn class() -> Class {
    Class {
        placer_class: unconstrained_class(),
        share: 1.0,
        shapes: vec![[0.5, 1.0]],
        used_share: [0.5, 0.5],
        mean_duration_s: 5.0,
        start_duration_ms: 50.0,
        deadline_ms: 10_000,
        late_start_share: 0.2,
        contention_onset: 1.0,
        contention_range: 1.0,
        service_count: 500,
    }
}
