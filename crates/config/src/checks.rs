//! What a placer's settings have to be: each fault with its key, what was given and what is allowed.

use std::fmt::Display;
use std::net::SocketAddr;

use crate::class::{RetrySafety, TaskClass};
use crate::consul::ConsulSettings;
use crate::error::{ConfigErrors, Document};
use crate::fleet::FleetSettings;
use crate::placer::PlacerConfig;
use crate::trace::TraceSettings;

/// Collects faults.
struct FaultCollector<'a> {
    doc: Document<'a>,
    errors: ConfigErrors,
}

impl FaultCollector<'_> {
    /// A fault unless `fine`.
    fn check(&mut self, fine: bool, key: &str, message: impl Into<String>) {
        if !fine {
            self.errors.0.push(self.doc.error(key, message));
        }
    }

    /// A fault that names what was given, unless `fine`.
    fn check_value(&mut self, fine: bool, key: &str, given: impl Display, allowed: impl Display) {
        self.check(fine, key, format!("{given} is given; {allowed}"));
    }

    fn check_min(&mut self, key: &str, given: u64, least: u64) {
        self.check_value(given >= least, key, given, format_args!("at least {least}"));
    }

    fn check_positive(&mut self, key: &str, given: f64) {
        self.check_value(given.is_finite() && given > 0.0, key, given, "above 0");
    }

    fn check_not_negative(&mut self, key: &str, given: f64) {
        self.check_value(given.is_finite() && given >= 0.0, key, given, "0 or above");
    }
}

impl PlacerConfig {
    pub(crate) fn validate(&self, doc: Document<'_>) -> Result<(), ConfigErrors> {
        let mut faults = FaultCollector {
            doc,
            errors: ConfigErrors(Vec::new()),
        };
        self.check_identity(&mut faults);
        self.check_limits(&mut faults);
        if let Some(trace) = &self.trace {
            trace.faults(&mut faults);
        }
        if let Some(consul) = &self.consul {
            consul.faults(self.rules.max_poll_interval_ms, &mut faults);
        }
        if let Some(fleet) = &self.fleet {
            let name = &self.identity.name;
            faults.check_value(
                name.len() <= 64,
                "placer.name",
                format_args!("`{name}`"),
                "with [fleet] a name has at most 64 bytes",
            );
            let zone = &self.identity.zone;
            let allowed = "with [fleet] a zone has 1 to 32 bytes";
            faults.check_value(
                (1..=32).contains(&zone.len()),
                "placer.zone",
                format_args!("`{zone}`"),
                allowed,
            );
            fleet.faults(&mut faults);
        }
        self.check_numbers(&mut faults);
        self.check_kinds(&mut faults);
        faults.check(!self.classes.is_empty(), "class", "at least one is needed");
        for (i, class) in self.classes.iter().enumerate() {
            self.check_class(i, class, &mut faults);
        }
        if faults.errors.0.is_empty() {
            // What the module would refuse has been found above; this is its own word on it.
            let sound = self.policy_settings().validate();
            faults.check(
                sound.is_ok(),
                "",
                sound.err().map(|e| e.to_string()).unwrap_or_default(),
            );
        }
        if faults.errors.0.is_empty() {
            Ok(())
        } else {
            Err(faults.errors)
        }
    }

    fn check_identity(&self, faults: &mut FaultCollector<'_>) {
        let who = &self.identity;
        let named = !who.name.is_empty() && who.name.len() <= 200;
        faults.check_value(
            named,
            "placer.name",
            format_args!("`{}`", who.name),
            "a name has 1 to 200 bytes",
        );
        faults.check_min("placer.placers", who.replica_count.into(), 1);
        let below = who.replica_index < who.replica_count;
        faults.check_value(
            below,
            "placer.number",
            who.replica_index,
            "below placer.placers",
        );
        faults.check(
            !who.zones.is_empty(),
            "placer.zones",
            "at least one is needed",
        );
        let known = who.zones.contains(&who.zone);
        faults.check_value(
            known,
            "placer.zone",
            format_args!("`{}`", who.zone),
            "one of placer.zones",
        );
    }

    fn check_limits(&self, faults: &mut FaultCollector<'_>) {
        let (api, hosts) = (&self.api, &self.hosts);
        let loopback = api.listen.ip().is_loopback();
        faults.check_value(
            loopback,
            "api.listen",
            api.listen,
            "a loopback address, as plain text is spoken on loopback addresses only",
        );
        let least: [(&str, u64, u64); 17] = [
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
        for (key, value, floor) in least {
            faults.check_min(key, value, floor);
        }
        let rising = hosts.max_reconnect_delay_ms >= hosts.min_reconnect_delay_ms;
        let most = hosts.max_reconnect_delay_ms;
        faults.check_value(
            rising,
            "hosts.reconnect_most_ms",
            most,
            "at least hosts.reconnect_first_ms",
        );
        let longer = hosts.silence_timeout_ms > hosts.ping_interval_ms;
        faults.check_value(
            longer,
            "hosts.silent_after_ms",
            hosts.silence_timeout_ms,
            "above hosts.ping_every_ms",
        );
        let interval = hosts.max_idle_ping_interval_ms;
        let allowed = "above hosts.ping_every_ms";
        faults.check_value(
            interval > hosts.ping_interval_ms,
            "hosts.max_idle_ping_interval_ms",
            interval,
            allowed,
        );
        let one = hosts.inventory.is_some() != self.consul.is_some();
        faults.check(
            one,
            "hosts.inventory",
            "either this or [consul] tells of the hosts",
        );
    }

    fn check_numbers(&self, faults: &mut FaultCollector<'_>) {
        let (rules, prices, placing) = (&self.rules, &self.costs, &self.placement);
        faults.check_positive("placing.admit_cores", placing.admit_cores);
        faults.check_positive("placing.admit_memory", placing.admit_memory);
        faults.check_not_negative("rules.cold_from", rules.initial_capacity_share);
        faults.check_positive("rules.fall_multiple", rules.overload_multiple);
        faults.check_not_negative("rules.fresh_offers", rules.warm_up_offers);
        faults.check_not_negative("prices.refused", prices.rejection);
        faults.check_not_negative("prices.cross_zone", prices.cross_zone);
        faults.check_not_negative("prices.fleet", prices.hosts_in_use);
        faults.check_not_negative("prices.moves", prices.migration);
    }

    fn check_kinds(&self, faults: &mut FaultCollector<'_>) {
        faults.check(!self.kinds.is_empty(), "kind", "at least one is needed");
        for (i, kind) in self.kinds.iter().enumerate() {
            let twice = self.kinds[..i].iter().any(|k| k.name == kind.name);
            faults.check(
                !twice,
                &format!("kind[{i}].name"),
                format!("`{}` stands twice", kind.name),
            );
            faults.check_positive(&format!("kind[{i}].cores"), kind.cores);
            faults.check_positive(&format!("kind[{i}].memory_gib"), kind.memory_gib);
        }
    }

    fn check_class(&self, i: usize, class: &TaskClass, faults: &mut FaultCollector<'_>) {
        let key = |field: &str| format!("class[{i}].{field}");
        let twice = self.classes[..i].iter().any(|c| c.name == class.name);
        faults.check(
            !twice,
            &key("name"),
            format!("`{}` stands twice", class.name),
        );
        let keyed = class.retry_safety == RetrySafety::IdempotencyKey;
        let belongs = "belongs to keyed classes, and to all of them";
        faults.check(
            class.deduplication_scope.is_some() == keyed,
            &key("group"),
            belongs,
        );
        faults.check(
            class.deduplication_window_ms.is_some() == keyed,
            &key("window_ms"),
            belongs,
        );
        faults.check_min(&key("aim_ms"), class.latency_objective_ms, 1);
        faults.check_not_negative(&key("worth"), class.priority_weight);
        faults.check_not_negative(&key("start_bonus_s"), class.start_bonus_s);
        let both = class.spread_level.is_some() == class.max_per_domain.is_some();
        faults.check(
            both,
            &key("spread_most"),
            "spread_over and spread_most belong together",
        );
        faults.check_min(
            &key("spread_most"),
            class.max_per_domain.unwrap_or(1).into(),
            1,
        );
        if let Some(kind) = &class.kind {
            let known = self.kinds.iter().any(|k| &k.name == kind);
            faults.check(known, &key("kind"), format!("unknown kind `{kind}`"));
        }
    }
}

impl FleetSettings {
    fn faults(&self, faults: &mut FaultCollector<'_>) {
        let named = !self.name.is_empty() && self.name.len() <= 64;
        faults.check_value(
            named,
            "fleet.name",
            format_args!("`{}`", self.name),
            "a name has 1 to 64 bytes",
        );
        faults.check(
            !self.key_file.as_os_str().is_empty(),
            "fleet.key_file",
            "a file is needed",
        );
        let reached = |a: &SocketAddr| !a.ip().is_unspecified() && a.port() > 0;
        match self.advertise {
            Some(to) => {
                faults.check_value(
                    reached(&to),
                    "fleet.advertise",
                    to,
                    "an address and port that others can send to",
                );
            }
            None => {
                let any = self.listen.ip().is_unspecified();
                faults.check_value(
                    !any,
                    "fleet.listen",
                    self.listen,
                    "one address, or fleet.advertise beside it",
                );
            }
        }
        for seed in self.seeds.iter().filter(|s| !reached(s)) {
            faults.check_value(
                false,
                "fleet.seeds",
                seed,
                "addresses and ports that can be sent to",
            );
        }
        let many = self.seeds.len();
        faults.check_value(
            many <= 32,
            "fleet.seeds",
            format_args!("{many} seeds"),
            "at most 32",
        );
        faults.check_min("fleet.probe_every_ms", self.probe_interval_ms, 20);
        let within = (1..self.probe_interval_ms).contains(&self.probe_timeout_ms);
        let allowed = "1 to less than fleet.probe_every_ms";
        faults.check_value(
            within,
            "fleet.probe_within_ms",
            self.probe_timeout_ms,
            allowed,
        );
        faults.check_value(
            (1..=16).contains(&self.indirect_probes),
            "fleet.helpers",
            self.indirect_probes,
            "1 to 16",
        );
        faults.check_value(
            (1..=100).contains(&self.suspicion_multiplier),
            "fleet.suspicion",
            self.suspicion_multiplier,
            "1 to 100",
        );
        faults.check_min("fleet.gossip_every_ms", self.gossip_interval_ms, 10);
        faults.check_min("fleet.sync_every_ms", self.sync_interval_ms, 50);
        faults.check_min("fleet.seek_every_ms", self.discovery_interval_ms, 50);
        // Shorter, an answer of a life that is over could be sent again after it is forgotten.
        faults.check_min("fleet.forget_after_s", self.retention_s, 15);
        faults.check_value(
            (2..=16_384).contains(&self.max_members),
            "fleet.max_members",
            self.max_members,
            "2 to 16384",
        );
    }
}

impl TraceSettings {
    fn faults(&self, faults: &mut FaultCollector<'_>) {
        faults.check(
            !self.folder.as_os_str().is_empty(),
            "trace.folder",
            "a folder is needed",
        );
        faults.check_min("trace.rotate_mib", self.rotate_mib, 1);
        faults.check_min("trace.rotate_s", self.rotate_s, 1);
        let allowed = "at least trace.rotate_mib";
        faults.check_value(
            self.max_total_mib >= self.rotate_mib,
            "trace.keep_mib",
            self.max_total_mib,
            allowed,
        );
        faults.check_min("trace.queue_records", self.max_queued_records as u64, 64);
    }
}

impl ConsulSettings {
    fn faults(&self, ask_within_ms: u64, faults: &mut FaultCollector<'_>) {
        faults.check(
            !self.servers.is_empty(),
            "consul.servers",
            "at least one is needed",
        );
        for server in self.servers.iter().filter(|s| !s.ip().is_loopback()) {
            let allowed = "loopback addresses, as plain text is spoken on these only";
            faults.check_value(false, "consul.servers", server, allowed);
        }
        faults.check(
            !self.service.is_empty(),
            "consul.service",
            "a name is needed",
        );
        let within = self.max_wait_ms >= 1 && self.max_wait_ms <= ask_within_ms / 2;
        let allowed = format!(
            "1 to half of rules.ask_within_ms, which is {}",
            ask_within_ms / 2
        );
        faults.check_value(within, "consul.wait_ms", self.max_wait_ms, allowed);
        faults.check_min("consul.members_every_ms", self.member_read_interval_ms, 100);
        faults.check_min(
            "consul.max_answer_bytes",
            self.max_response_bytes as u64,
            1024,
        );
        if let Some(m) = &self.membership {
            faults.check_min("consul.membership.ttl_ms", m.ttl_ms, 1_000);
            faults.check(
                !m.key_prefix.is_empty(),
                "consul.membership.prefix",
                "a key's prefix is needed",
            );
        }
    }
}

#[cfg(test)]
mod tests;
