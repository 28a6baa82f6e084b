//! Conversion of a placer's settings to those of the decision module.

use maplethread as mt;

use crate::class::{DeduplicationScope, RetrySafety, TaskClass, TopologyLevel};
use crate::placer::{AcceptancePoint, LoadReport, PlacerConfig};

const MICROS_PER_MS: u64 = 1000;

impl PlacerConfig {
    /// Converts to the settings of the decision module, whose durations are in microseconds.
    pub fn policy_settings(&self) -> mt::Settings {
        let index = |zone: &String| {
            self.identity
                .zones
                .iter()
                .position(|z| z == zone)
                .unwrap_or(0) as u32
        };
        let class = |c: &TaskClass| mt::Class {
            retry_safety: match c.retry_safety {
                RetrySafety::Idempotent => mt::RetrySafety::Idempotent,
                RetrySafety::NonIdempotent => mt::RetrySafety::NonIdempotent,
                RetrySafety::IdempotencyKey => mt::RetrySafety::IdempotencyKey {
                    scope: match c.deduplication_scope {
                        Some(DeduplicationScope::Zone) => mt::DeduplicationScope::Zone,
                        Some(DeduplicationScope::Cell) => mt::DeduplicationScope::Cell,
                        _ => mt::DeduplicationScope::All,
                    },
                    window: c.deduplication_window_ms.unwrap_or(0) * MICROS_PER_MS,
                },
            },
            latency_objective: c.latency_objective_ms * MICROS_PER_MS,
            priority_weight: c.priority_weight,
            start_bonus_s: c.start_bonus_s,
            priority: c.priority,
            machine_kind: c
                .kind
                .as_ref()
                .and_then(|kind| self.kinds.iter().position(|k| &k.name == kind)),
            spread_limit: c
                .spread_level
                .zip(c.max_per_domain)
                .map(|(level, max_tasks)| mt::SpreadLimit {
                    level: match level {
                        TopologyLevel::Host => mt::TopologyLevel::Machine,
                        TopologyLevel::Cell => mt::TopologyLevel::Cell,
                        TopologyLevel::Zone => mt::TopologyLevel::Zone,
                    },
                    max_tasks,
                }),
        };
        mt::Settings {
            replica_count: self.identity.replica_count,
            replica_index: self.identity.replica_index,
            zone: index(&self.identity.zone),
            classes: self.classes.iter().map(class).collect(),
            machine_kinds: self
                .kinds
                .iter()
                .map(|k| mt::Resources::new(k.cores, k.memory_gib))
                .collect(),
            discovery: mt::DiscoveryMode::Watch,
            acceptance_point: match self.placement.acceptance_point {
                AcceptancePoint::Accepted => mt::AcceptancePoint::Accepted,
                AcceptancePoint::Running => mt::AcceptancePoint::Running,
            },
            cpu_overcommit: self.placement.admit_cores,
            memory_overcommit: self.placement.admit_memory,
            endpoints_report_capacity: self.placement.inventory_reports_unallocated,
            load_report_content: match self.placement.load_report {
                LoadReport::Nothing => mt::LoadReportContent::Nothing,
                LoadReport::Unallocated => mt::LoadReportContent::UnallocatedResources,
                LoadReport::Unused => mt::LoadReportContent::UnusedResources,
            },
            limits: mt::CallerLimits {
                max_attempts: self.placement.max_attempts,
                can_cancel: true,
                can_probe: true,
                can_message_peers: false,
                max_retry_after: Some(60_000 * MICROS_PER_MS),
            },
            rules: mt::Rules {
                max_poll_interval: self.rules.max_poll_interval_ms * MICROS_PER_MS,
                initial_capacity_share: self.rules.initial_capacity_share,
                warm_up_duration: self.rules.warm_up_duration_ms * MICROS_PER_MS,
                overload_multiple: self.rules.overload_multiple,
                overload_window: self.rules.overload_window_ms * MICROS_PER_MS,
                warm_up_offers_per_window: self.rules.warm_up_offers,
            },
            costs: mt::Costs {
                rejection: self.costs.rejection,
                cross_zone: self.costs.cross_zone,
                machines_in_use: self.costs.hosts_in_use,
                migration: self.costs.migration,
            },
        }
    }
}
