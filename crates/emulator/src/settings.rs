//! Derived from a scenario: settings of placers, the inventory, and the checker's parameters.

use std::net::SocketAddr;
use std::path::Path;

use maplethread_checker::{
    ClassRule, Deduplication, DeduplicationScope, Location, RuleParameters, SpreadLimit,
    TopologyLevel,
};
use maplethread_config::{
    self as config, ApiSettings, ConsulSettings, CostSettings, DampingMode, HostEntry,
    HostSettings, HostState, Identity, Inventory, PlacementSettings, PlacerConfig, ReadConsistency,
    RuleSettings as PlacerRules, SlotLeaseSettings, TaskClass, TraceSettings,
};

use crate::owners::ANSWER_SLACK_US;
use crate::scenario::Scenario;

/// A placer that resumes from a pause at least this long before a deadline must still answer, µs.
const RESUME_GRACE_US: u64 = 500_000;

/// The name of the host of this number.
pub fn host_name(number: usize) -> String {
    format!("host-{number:02}")
}

/// The name of the placer of this number.
pub fn placer_name(number: usize) -> String {
    format!("placer-{number}")
}

/// Trace settings that keep the whole trace of a run.
pub(crate) fn trace(folder: std::path::PathBuf) -> TraceSettings {
    TraceSettings {
        folder,
        rotate_mib: 256,
        rotate_s: 86_400,
        max_total_mib: 16 << 10,
        max_queued_records: 1 << 18,
    }
}

/// Settings of the placer of this number. `servers` are those of its catalogue, if it reads one.
pub fn placer(
    s: &Scenario,
    number: usize,
    seed: u64,
    servers: Option<(&[SocketAddr], DampingMode)>,
) -> PlacerConfig {
    let zones = &s.fleet.zones;
    PlacerConfig {
        identity: Identity {
            name: placer_name(number),
            // Ignored where replica indexes are leased in the catalogue.
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
            acceptance_point: s.fleet.acceptance_point,
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
        classes: s.classes.iter().map(|c| c.placer_class.clone()).collect(),
    }
}

/// The parameters of the rules, as the checker takes them.
pub(crate) fn rule_parameters(scenario: &Scenario) -> RuleParameters {
    let location = |number: usize| {
        let (zone, cell) = scenario.location_of(number);
        Location {
            host: host_name(number).into(),
            zone: zone.into(),
            cell: cell.into(),
        }
    };
    let rules = &scenario.rules;
    RuleParameters {
        classes: scenario
            .classes
            .iter()
            .map(|c| class_rule(&c.placer_class))
            .collect(),
        hosts: (0..scenario.fleet.hosts).map(location).collect(),
        placer_count: scenario.replica_index_count(),
        drain_grace_us: rules.drain_grace_ms * 1000,
        warm_up_us: rules.warm_up_ms * 1000,
        overload_window_us: rules.overload_window_ms * 1000,
        max_warm_up_offers: rules.warm_up_offers,
        connection_loss_timeout_us: hosts("").loss_timeout_ms * 1000,
        resume_grace_us: RESUME_GRACE_US,
        timing_slack_us: ANSWER_SLACK_US,
    }
}

fn class_rule(class: &TaskClass) -> ClassRule {
    let deduplication = class.deduplication_scope.zip(class.deduplication_window_ms);
    let spread = class.spread_level.zip(class.max_per_domain);
    ClassRule {
        name: class.name.clone(),
        deduplication: deduplication.map(|(scope, window_ms)| Deduplication {
            scope: match scope {
                config::DeduplicationScope::All => DeduplicationScope::All,
                config::DeduplicationScope::Zone => DeduplicationScope::Zone,
                config::DeduplicationScope::Cell => DeduplicationScope::Cell,
            },
            window_us: window_ms * 1000,
        }),
        spread_limit: spread.map(|(level, max_tasks)| SpreadLimit {
            level: match level {
                config::TopologyLevel::Host => TopologyLevel::Host,
                config::TopologyLevel::Cell => TopologyLevel::Cell,
                config::TopologyLevel::Zone => TopologyLevel::Zone,
            },
            max_tasks,
        }),
    }
}

/// The inventory of hosts with these addresses and this listed state and start time.
pub fn inventory(
    scenario: &Scenario,
    addresses: &[SocketAddr],
    listed: &[(HostState, Option<u64>)],
) -> Inventory {
    let entry = |number: usize| {
        let (zone, cell) = scenario.location_of(number);
        let (state, started_ms) = listed[number];
        HostEntry {
            name: host_name(number),
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

/// A class of idempotent tasks that may run on any kind of host, without a spread limit.
pub fn unconstrained_class() -> TaskClass {
    TaskClass {
        name: "web-api".to_owned(),
        retry_safety: config::RetrySafety::Idempotent,
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

/// Catalogue settings of a placer that reads its hosts from these servers.
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
