//! What a scenario means for the others: settings of placers, the inventory, and the judge's figures.

use std::net::SocketAddr;
use std::path::Path;

use maplethread_checker::{ClassRule, DeduplicationScope, Location, RuleParameters, TopologyLevel};
use maplethread_config::{
    ApiSettings, ConsulSettings, CostSettings, DampingMode, HostEntry, HostSettings, HostState,
    Identity, Inventory, PlacementSettings, PlacerConfig, ReadConsistency,
    RuleSettings as PlacerRules, SlotLeaseSettings, TraceSettings,
};

use crate::owners::ANSWER_SLACK_US;
use crate::scenario::Scenario;

/// Trace files of a day: all of it is kept.
pub(crate) fn trace(folder: std::path::PathBuf) -> TraceSettings {
    TraceSettings {
        folder,
        rotate_mib: 256,
        rotate_s: 86_400,
        keep_mib: 16 << 10,
        queue_records: 1 << 18,
    }
}

/// Settings of the placer of this number on a day. `servers` are those of its catalogue, if it reads one.
pub fn placer(
    s: &Scenario,
    number: usize,
    seed: u64,
    servers: Option<(&[SocketAddr], DampingMode)>,
) -> PlacerConfig {
    let zones = &s.fleet.zones;
    PlacerConfig {
        identity: Identity {
            name: format!("placer-{number}"),
            // Where numbers are leased this one counts for nothing.
            replica_index: number as u32 % s.replica_index_count(),
            replica_count: s.replica_index_count(),
            zone: zones[number % zones.len()].clone(),
            zones: zones.clone(),
            seed: Some(seed.wrapping_mul(1000) + number as u64),
        },
        api: api(),
        hosts: HostSettings {
            inventory: servers.is_none().then(|| "hosts.toml".into()),
            ..hosts("hosts.toml")
        },
        consul: servers.map(|(servers, damping)| {
            let membership = SlotLeaseSettings {
                service: "maplethread-placer".to_owned(),
                key_prefix: "maplethread/slots".to_owned(),
                ttl_ms: 2_000,
                lock_delay_ms: 1_000,
            };
            consul(servers.to_vec(), damping, Some(membership))
        }),
        placement: PlacementSettings {
            acceptance_point: s.fleet.placed_when,
            admit_cores: s.fleet.cpu_overcommit,
            admit_memory: s.fleet.memory_overcommit,
            ..PlacementSettings::default()
        },
        rules: PlacerRules {
            max_poll_interval_ms: 10_000,
            initial_capacity_share: s.rules.initial_capacity_share,
            warm_up_duration_ms: s.rules.warm_up_ms,
            overload_multiple: s.rules.overload_multiple,
            overload_window_ms: s.rules.overload_window_ms,
            warm_up_offers: s.rules.warm_up_offers,
        },
        costs: CostSettings::default(),
        fleet: None,
        trace: None,
        kinds: s.kinds.iter().map(|k| k.kind()).collect(),
        classes: s.classes.iter().map(|c| c.rules.clone()).collect(),
    }
}

/// Figures of the rules, as the judge takes them.
pub(crate) fn rule_parameters(s: &Scenario) -> RuleParameters {
    let class =
        |c: &crate::scenario::Class| {
            use maplethread_config as mc;
            ClassRule {
                name: c.rules.name.clone(),
                deduplication: c
                    .rules
                    .deduplication_scope
                    .zip(c.rules.deduplication_window_ms)
                    .map(|(group, ms)| {
                        let group = match group {
                            mc::DeduplicationScope::All => DeduplicationScope::All,
                            mc::DeduplicationScope::Zone => DeduplicationScope::Zone,
                            mc::DeduplicationScope::Cell => DeduplicationScope::Cell,
                        };
                        (group, ms * 1000)
                    }),
                spread_limit: c.rules.spread_level.zip(c.rules.max_per_domain).map(
                    |(place, most)| {
                        let place = match place {
                            mc::TopologyLevel::Host => TopologyLevel::Host,
                            mc::TopologyLevel::Cell => TopologyLevel::Cell,
                            mc::TopologyLevel::Zone => TopologyLevel::Zone,
                        };
                        (place, most)
                    },
                ),
            }
        };
    let host = |number: usize| {
        let (zone, cell) = s.location_of(number);
        Location {
            host: format!("host-{number:02}").into(),
            zone: zone.into(),
            cell: cell.into(),
        }
    };
    RuleParameters {
        classes: s.classes.iter().map(class).collect(),
        hosts: (0..s.fleet.hosts).map(host).collect(),
        placer_count: s.replica_index_count(),
        drain_grace_us: s.rules.drain_grace_ms * 1000,
        warm_up_us: s.rules.warm_up_ms * 1000,
        overload_window_us: s.rules.overload_window_ms * 1000,
        warm_up_offers: s.rules.warm_up_offers,
        lost_after_us: hosts("").loss_timeout_ms * 1000,
        resume_grace_us: 500_000,
        timing_slack_us: ANSWER_SLACK_US,
    }
}

/// The inventory, of hosts at these addresses and as listed.
pub fn inventory(
    scenario: &Scenario,
    addresses: &[SocketAddr],
    listed: &[(HostState, Option<u64>)],
) -> Inventory {
    let entry = |number: usize| {
        let (zone, cell) = scenario.location_of(number);
        let (state, started_ms) = listed[number];
        HostEntry {
            name: format!("host-{number:02}"),
            address: addresses[number],
            zone,
            cell,
            kind: scenario.kind_of(number).name.clone(),
            state,
            started_ms,
            unallocated_cores: None,
            unallocated_memory_gib: None,
        }
    };
    Inventory {
        hosts: (0..scenario.fleet.hosts).map(entry).collect(),
    }
}

/// A class of tasks that may be started twice, is wanted alike everywhere and has no limits.
pub fn plain_class() -> maplethread_config::TaskClass {
    maplethread_config::TaskClass {
        name: "web-api".to_owned(),
        retry_safety: maplethread_config::RetrySafety::Idempotent,
        deduplication_scope: None,
        deduplication_window_ms: None,
        latency_objective_ms: 600,
        priority_weight: 1.0,
        start_bonus_s: 10.0,
        priority: 0,
        kind: None,
        spread_level: None,
        max_per_domain: None,
    }
}

pub(crate) fn api() -> ApiSettings {
    ApiSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        max_clients: 10_000,
        max_pending_requests: 20_000,
        max_actors: 200_000,
        max_body_bytes: 16 << 10,
        max_unsent_bytes: 1 << 20,
        max_pipelined: 32,
        max_budget_ms: 600_000,
        request_timeout_ms: 10_000,
        idle_timeout_ms: 60_000,
        answer_retention_ms: 30_000,
        max_kept_answers: 50_000,
        max_kept_events: 50_000,
        resubmission_hold_ms: 3_000,
        shutdown_grace_ms: 10_000,
    }
}

pub(crate) fn hosts(inventory: impl AsRef<Path>) -> HostSettings {
    HostSettings {
        inventory: Some(inventory.as_ref().to_owned()),
        max_hosts: 8192,
        connect_timeout_ms: 1000,
        min_reconnect_delay_ms: 100,
        max_reconnect_delay_ms: 2000,
        ping_interval_ms: 1000,
        silence_timeout_ms: 3000,
        max_idle_pings_per_s: 40,
        max_idle_ping_interval_ms: 90_000,
        loss_timeout_ms: 5000,
        max_unwritten_bytes: 256 << 10,
    }
}

/// Settings of a placer that reads its hosts from these servers.
pub(crate) fn consul(
    servers: Vec<SocketAddr>,
    damping: DampingMode,
    membership: Option<SlotLeaseSettings>,
) -> ConsulSettings {
    ConsulSettings {
        servers,
        service: "maplethread-host".to_owned(),
        datacentre: Some("dc1".to_owned()),
        token_file: None,
        consistency: ReadConsistency::Stale,
        filter: None,
        watch: true,
        max_wait_ms: 2_000,
        member_read_interval_ms: 1_000,
        max_response_bytes: 32 << 20,
        damping,
        membership,
    }
}
