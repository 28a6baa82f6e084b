//! Validation of a placer's settings. Each error names the key, the given value and the allowed values.

use std::fmt::Display;
use std::net::SocketAddr;

use crate::class::{RetrySafety, TaskClass};
use crate::consul::ConsulSettings;
use crate::error::{ConfigErrors, Document};
use crate::fleet::FleetSettings;
use crate::placer::PlacerConfig;
use crate::trace::TraceSettings;

/// Collects the errors of a settings file.
struct ErrorCollector<'a> {
    doc: Document<'a>,
    errors: ConfigErrors,
}

impl ErrorCollector<'_> {
    /// Adds an error unless `is_valid`.
    fn check(&mut self, is_valid: bool, key: &str, message: impl Into<String>) {
        if !is_valid {
            self.errors.0.push(self.doc.error(key, message));
        }
    }

    /// Adds an error that names the given value, unless `is_valid`.
    fn check_value(
        &mut self,
        is_valid: bool,
        key: &str,
        given: impl Display,
        allowed: impl Display,
    ) {
        self.check(is_valid, key, format!("got {given}, expected {allowed}"));
    }

    fn check_min(&mut self, key: &str, given: u64, min: u64) {
        self.check_value(given >= min, key, given, format_args!("at least {min}"));
    }

    fn check_positive(&mut self, key: &str, given: f64) {
        self.check_value(
            given.is_finite() && given > 0.0,
            key,
            given,
            "a number above 0",
        );
    }

    fn check_not_negative(&mut self, key: &str, given: f64) {
        self.check_value(
            given.is_finite() && given >= 0.0,
            key,
            given,
            "a number of at least 0",
        );
    }
}

impl PlacerConfig {
    pub(crate) fn validate(&self, doc: Document<'_>) -> Result<(), ConfigErrors> {
        let mut collector = ErrorCollector {
            doc,
            errors: ConfigErrors(Vec::new()),
        };
        self.check_identity(&mut collector);
        self.check_limits(&mut collector);
        if let Some(trace) = &self.trace {
            trace.validate(&mut collector);
        }
        if let Some(consul) = &self.consul {
            consul.validate(self.rules.max_poll_interval_ms, &mut collector);
        }
        if let Some(fleet) = &self.fleet {
            let name = &self.identity.name;
            collector.check_value(
                name.len() <= 64,
                "placer.name",
                format_args!("`{name}`"),
                "a name of at most 64 bytes, as [fleet] is set",
            );
            let zone = &self.identity.zone;
            let allowed = "a zone of 1 to 32 bytes, as [fleet] is set";
            collector.check_value(
                (1..=32).contains(&zone.len()),
                "placer.zone",
                format_args!("`{zone}`"),
                allowed,
            );
            fleet.validate(&mut collector);
        }
        self.check_numbers(&mut collector);
        self.check_kinds(&mut collector);
        collector.check(!self.classes.is_empty(), "class", "expected at least one");
        for (i, class) in self.classes.iter().enumerate() {
            self.check_class(i, class, &mut collector);
        }
        if collector.errors.0.is_empty() {
            // The checks above cover what the decision module rejects; this is the module's own validation.
            let result = self.policy_settings().validate();
            collector.check(
                result.is_ok(),
                "",
                result.err().map(|e| e.to_string()).unwrap_or_default(),
            );
        }
        if collector.errors.0.is_empty() {
            Ok(())
        } else {
            Err(collector.errors)
        }
    }

    fn check_identity(&self, collector: &mut ErrorCollector<'_>) {
        let identity = &self.identity;
        let is_valid_name = !identity.name.is_empty() && identity.name.len() <= 200;
        collector.check_value(
            is_valid_name,
            "placer.name",
            format_args!("`{}`", identity.name),
            "a name of 1 to 200 bytes",
        );
        collector.check_min("placer.placers", identity.replica_count.into(), 1);
        let is_below_count = identity.replica_index < identity.replica_count;
        collector.check_value(
            is_below_count,
            "placer.number",
            identity.replica_index,
            "a number below placer.placers",
        );
        collector.check(
            !identity.zones.is_empty(),
            "placer.zones",
            "expected at least one",
        );
        let is_known = identity.zones.contains(&identity.zone);
        collector.check_value(
            is_known,
            "placer.zone",
            format_args!("`{}`", identity.zone),
            "one of placer.zones",
        );
    }

    fn check_limits(&self, collector: &mut ErrorCollector<'_>) {
        let (api, hosts) = (&self.api, &self.hosts);
        let is_loopback = api.listen.ip().is_loopback();
        collector.check_value(
            is_loopback,
            "api.listen",
            api.listen,
            "a loopback address, as connections are not encrypted",
        );
        let minimums: [(&str, u64, u64); 17] = [
            ("api.max_clients", api.max_clients as u64, 1),
            ("api.max_asks", api.max_pending_requests as u64, 1),
            ("api.max_actors", api.max_actors as u64, 1),
            ("api.max_body_bytes", api.max_body_bytes as u64, 256),
            ("api.max_unread_bytes", api.max_unsent_bytes as u64, 4096),
            ("api.max_pipelined", api.max_pipelined as u64, 1),
            ("api.max_budget_ms", api.max_budget_ms, 20),
            ("api.request_within_ms", api.request_timeout_ms, 10),
            ("api.idle_close_ms", api.idle_timeout_ms, 10),
            ("api.events_kept", api.max_kept_events as u64, 1),
            ("hosts.max_hosts", hosts.max_hosts as u64, 1),
            ("hosts.connect_within_ms", hosts.connect_timeout_ms, 1),
            ("hosts.reconnect_first_ms", hosts.min_reconnect_delay_ms, 1),
            ("hosts.ping_every_ms", hosts.ping_interval_ms, 10),
            (
                "hosts.max_idle_pings_per_s",
                hosts.max_idle_pings_per_s.into(),
                1,
            ),
            (
                "hosts.max_unwritten_bytes",
                hosts.max_unwritten_bytes as u64,
                4096,
            ),
            (
                "placing.max_attempts",
                self.placement.max_attempts.into(),
                1,
            ),
        ];
        for (key, value, min) in minimums {
            collector.check_min(key, value, min);
        }
        let is_not_below_first = hosts.max_reconnect_delay_ms >= hosts.min_reconnect_delay_ms;
        let max_delay = hosts.max_reconnect_delay_ms;
        collector.check_value(
            is_not_below_first,
            "hosts.reconnect_most_ms",
            max_delay,
            "at least hosts.reconnect_first_ms",
        );
        let is_above_ping_interval = hosts.silence_timeout_ms > hosts.ping_interval_ms;
        collector.check_value(
            is_above_ping_interval,
            "hosts.silent_after_ms",
            hosts.silence_timeout_ms,
            "a time above hosts.ping_every_ms",
        );
        let interval = hosts.max_idle_ping_interval_ms;
        let allowed = "a time above hosts.ping_every_ms";
        collector.check_value(
            interval > hosts.ping_interval_ms,
            "hosts.max_idle_ping_interval_ms",
            interval,
            allowed,
        );
        let has_one_source = hosts.inventory.is_some() != self.consul.is_some();
        collector.check(
            has_one_source,
            "hosts.inventory",
            "expected either this or [consul] as the source of hosts",
        );
    }

    fn check_numbers(&self, collector: &mut ErrorCollector<'_>) {
        let (rules, prices, placing) = (&self.rules, &self.costs, &self.placement);
        collector.check_positive("placing.admit_cores", placing.admit_cores);
        collector.check_positive("placing.admit_memory", placing.admit_memory);
        collector.check_not_negative("rules.cold_from", rules.initial_capacity_share);
        collector.check_positive("rules.fall_multiple", rules.overload_multiple);
        collector.check_not_negative("rules.fresh_offers", rules.warm_up_offers);
        collector.check_not_negative("prices.refused", prices.rejection);
        collector.check_not_negative("prices.cross_zone", prices.cross_zone);
        collector.check_not_negative("prices.fleet", prices.hosts_in_use);
        collector.check_not_negative("prices.moves", prices.migration);
    }

    fn check_kinds(&self, collector: &mut ErrorCollector<'_>) {
        collector.check(!self.kinds.is_empty(), "kind", "expected at least one");
        for (i, kind) in self.kinds.iter().enumerate() {
            let is_duplicate = self.kinds[..i].iter().any(|k| k.name == kind.name);
            collector.check(
                !is_duplicate,
                &format!("kind[{i}].name"),
                format!("`{}` is defined twice", kind.name),
            );
            collector.check_positive(&format!("kind[{i}].cores"), kind.cores);
            collector.check_positive(&format!("kind[{i}].memory_gib"), kind.memory_gib);
        }
    }

    fn check_class(&self, i: usize, class: &TaskClass, collector: &mut ErrorCollector<'_>) {
        let key = |field: &str| format!("class[{i}].{field}");
        let is_duplicate = self.classes[..i].iter().any(|c| c.name == class.name);
        collector.check(
            !is_duplicate,
            &key("name"),
            format!("`{}` is defined twice", class.name),
        );
        let is_keyed = class.retry_safety == RetrySafety::IdempotencyKey;
        let requirement = "required for keyed classes, and allowed only for them";
        collector.check(
            class.deduplication_scope.is_some() == is_keyed,
            &key("group"),
            requirement,
        );
        collector.check(
            class.deduplication_window_ms.is_some() == is_keyed,
            &key("window_ms"),
            requirement,
        );
        collector.check_min(&key("aim_ms"), class.latency_objective_ms, 1);
        collector.check_not_negative(&key("worth"), class.priority_weight);
        collector.check_not_negative(&key("start_bonus_s"), class.start_bonus_s);
        let is_consistent = class.spread_level.is_some() == class.max_per_domain.is_some();
        collector.check(
            is_consistent,
            &key("spread_most"),
            "spread_over and spread_most must be set together",
        );
        collector.check_min(
            &key("spread_most"),
            class.max_per_domain.unwrap_or(1).into(),
            1,
        );
        if let Some(kind) = &class.kind {
            let is_known = self.kinds.iter().any(|k| &k.name == kind);
            collector.check(is_known, &key("kind"), format!("unknown kind `{kind}`"));
        }
    }
}

impl FleetSettings {
    fn validate(&self, collector: &mut ErrorCollector<'_>) {
        let is_valid_name = !self.name.is_empty() && self.name.len() <= 64;
        collector.check_value(
            is_valid_name,
            "fleet.name",
            format_args!("`{}`", self.name),
            "a name of 1 to 64 bytes",
        );
        collector.check(
            !self.key_file.as_os_str().is_empty(),
            "fleet.key_file",
            "expected a file",
        );
        let is_reachable = |a: &SocketAddr| !a.ip().is_unspecified() && a.port() > 0;
        match self.advertise {
            Some(to) => {
                collector.check_value(
                    is_reachable(&to),
                    "fleet.advertise",
                    to,
                    "an address and port that other members can send to",
                );
            }
            None => {
                let is_unspecified = self.listen.ip().is_unspecified();
                collector.check_value(
                    !is_unspecified,
                    "fleet.listen",
                    self.listen,
                    "a specific address, or fleet.advertise set as well",
                );
            }
        }
        for seed in self.seeds.iter().filter(|s| !is_reachable(s)) {
            collector.check_value(
                false,
                "fleet.seeds",
                seed,
                "addresses and ports that this member can send to",
            );
        }
        let seed_count = self.seeds.len();
        collector.check_value(
            seed_count <= 32,
            "fleet.seeds",
            format_args!("{seed_count} seeds"),
            "at most 32",
        );
        collector.check_min("fleet.probe_every_ms", self.probe_interval_ms, 20);
        let is_in_range = (1..self.probe_interval_ms).contains(&self.probe_timeout_ms);
        let allowed = "1 to less than fleet.probe_every_ms";
        collector.check_value(
            is_in_range,
            "fleet.probe_within_ms",
            self.probe_timeout_ms,
            allowed,
        );
        collector.check_value(
            (1..=16).contains(&self.indirect_probes),
            "fleet.helpers",
            self.indirect_probes,
            "1 to 16",
        );
        collector.check_value(
            (1..=100).contains(&self.suspicion_multiplier),
            "fleet.suspicion",
            self.suspicion_multiplier,
            "1 to 100",
        );
        collector.check_min("fleet.gossip_every_ms", self.gossip_interval_ms, 10);
        collector.check_min("fleet.sync_every_ms", self.sync_interval_ms, 50);
        collector.check_min("fleet.seek_every_ms", self.discovery_interval_ms, 50);
        // With a shorter time, a response of an earlier generation could be replayed after that generation is removed.
        collector.check_min("fleet.forget_after_s", self.retention_s, 15);
        collector.check_value(
            (2..=16_384).contains(&self.max_members),
            "fleet.max_members",
            self.max_members,
            "2 to 16384",
        );
    }
}

impl TraceSettings {
    fn validate(&self, collector: &mut ErrorCollector<'_>) {
        collector.check(
            !self.folder.as_os_str().is_empty(),
            "trace.folder",
            "expected a folder",
        );
        collector.check_min("trace.rotate_mib", self.rotate_mib, 1);
        collector.check_min("trace.rotate_s", self.rotate_s, 1);
        let allowed = "at least trace.rotate_mib";
        collector.check_value(
            self.max_total_mib >= self.rotate_mib,
            "trace.keep_mib",
            self.max_total_mib,
            allowed,
        );
        collector.check_min("trace.queue_records", self.max_queued_records as u64, 64);
    }
}

impl ConsulSettings {
    fn validate(&self, ask_within_ms: u64, collector: &mut ErrorCollector<'_>) {
        collector.check(
            !self.servers.is_empty(),
            "consul.servers",
            "expected at least one",
        );
        for server in self.servers.iter().filter(|s| !s.ip().is_loopback()) {
            let allowed = "loopback addresses, as connections are not encrypted";
            collector.check_value(false, "consul.servers", server, allowed);
        }
        collector.check(
            !self.service.is_empty(),
            "consul.service",
            "expected a name",
        );
        let is_in_range = self.max_wait_ms >= 1 && self.max_wait_ms <= ask_within_ms / 2;
        let allowed = format!(
            "1 to half of rules.ask_within_ms, which is {}",
            ask_within_ms / 2
        );
        collector.check_value(is_in_range, "consul.wait_ms", self.max_wait_ms, allowed);
        collector.check_min("consul.members_every_ms", self.member_read_interval_ms, 100);
        collector.check_min(
            "consul.max_answer_bytes",
            self.max_response_bytes as u64,
            1024,
        );
        if let Some(m) = &self.membership {
            collector.check_min("consul.membership.ttl_ms", m.ttl_ms, 1_000);
            collector.check(
                !m.key_prefix.is_empty(),
                "consul.membership.prefix",
                "expected a key prefix",
            );
        }
    }
}

#[cfg(test)]
mod tests;
