//! What a placer's settings have to be: each fault with its key, what was given and what is allowed.

use std::fmt::Display;
use std::net::SocketAddr;

use crate::error::{ConfigErrors, Document};
use crate::fleet::FleetSettings;
use crate::placer::{ConsulSettings, PlacerConfig, RetrySafety, TaskClass};
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
    fn given(&mut self, fine: bool, key: &str, given: impl Display, allowed: impl Display) {
        self.check(fine, key, format!("{given} is given; {allowed}"));
    }

    fn least(&mut self, key: &str, given: u64, least: u64) {
        self.given(given >= least, key, given, format_args!("at least {least}"));
    }

    fn positive(&mut self, key: &str, given: f64) {
        self.given(given.is_finite() && given > 0.0, key, given, "above 0");
    }

    fn not_negative(&mut self, key: &str, given: f64) {
        self.given(given.is_finite() && given >= 0.0, key, given, "0 or above");
    }
}

impl PlacerConfig {
    pub(crate) fn check(&self, doc: Document<'_>) -> Result<(), ConfigErrors> {
        let mut faults = FaultCollector {
            doc,
            errors: ConfigErrors(Vec::new()),
        };
        self.identity(&mut faults);
        self.limits(&mut faults);
        if let Some(trace) = &self.trace {
            trace.faults(&mut faults);
        }
        if let Some(consul) = &self.consul {
            consul.faults(self.rules.ask_within_ms, &mut faults);
        }
        if let Some(fleet) = &self.fleet {
            let name = &self.identity.name;
            faults.given(
                name.len() <= 64,
                "placer.name",
                format_args!("`{name}`"),
                "with [fleet] a name has at most 64 bytes",
            );
            let zone = &self.identity.zone;
            let allowed = "with [fleet] a zone has 1 to 32 bytes";
            faults.given(
                (1..=32).contains(&zone.len()),
                "placer.zone",
                format_args!("`{zone}`"),
                allowed,
            );
            fleet.faults(&mut faults);
        }
        self.figures(&mut faults);
        self.kinds(&mut faults);
        faults.check(!self.classes.is_empty(), "class", "at least one is needed");
        for (i, class) in self.classes.iter().enumerate() {
            self.class(i, class, &mut faults);
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

    fn identity(&self, faults: &mut FaultCollector<'_>) {
        let who = &self.identity;
        let named = !who.name.is_empty() && who.name.len() <= 200;
        faults.given(
            named,
            "placer.name",
            format_args!("`{}`", who.name),
            "a name has 1 to 200 bytes",
        );
        faults.least("placer.placers", who.replica_count.into(), 1);
        let below = who.replica_index < who.replica_count;
        faults.given(
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
        faults.given(
            known,
            "placer.zone",
            format_args!("`{}`", who.zone),
            "one of placer.zones",
        );
    }

    fn limits(&self, faults: &mut FaultCollector<'_>) {
        let (api, hosts) = (&self.api, &self.hosts);
        let loopback = api.listen.ip().is_loopback();
        faults.given(
            loopback,
            "api.listen",
            api.listen,
            "a loopback address, as plain text is spoken on loopback addresses only",
        );
        let least: [(&str, u64, u64); 17] = [
            ("api.max_clients", api.max_clients as u64, 1),
            ("api.max_asks", api.max_asks as u64, 1),
            ("api.max_actors", api.max_actors as u64, 1),
            ("api.max_body_bytes", api.max_body_bytes as u64, 256),
            ("api.max_unread_bytes", api.max_unread_bytes as u64, 4096),
            ("api.max_pipelined", api.max_pipelined as u64, 1),
            ("api.max_budget_ms", api.max_budget_ms, 20),
            ("api.request_within_ms", api.request_within_ms, 10),
            ("api.idle_close_ms", api.idle_close_ms, 10),
            ("api.events_kept", api.events_kept as u64, 1),
            ("hosts.max_hosts", hosts.max_hosts as u64, 1),
            ("hosts.connect_within_ms", hosts.connect_within_ms, 1),
            ("hosts.reconnect_first_ms", hosts.reconnect_first_ms, 1),
            ("hosts.ping_every_ms", hosts.ping_every_ms, 10),
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
            ("placing.max_attempts", self.placing.max_attempts.into(), 1),
        ];
        for (key, value, floor) in least {
            faults.least(key, value, floor);
        }
        let rising = hosts.reconnect_most_ms >= hosts.reconnect_first_ms;
        let most = hosts.reconnect_most_ms;
        faults.given(
            rising,
            "hosts.reconnect_most_ms",
            most,
            "at least hosts.reconnect_first_ms",
        );
        let longer = hosts.silent_after_ms > hosts.ping_every_ms;
        faults.given(
            longer,
            "hosts.silent_after_ms",
            hosts.silent_after_ms,
            "above hosts.ping_every_ms",
        );
        let interval = hosts.max_idle_ping_interval_ms;
        let allowed = "above hosts.ping_every_ms";
        faults.given(
            interval > hosts.ping_every_ms,
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

    fn figures(&self, faults: &mut FaultCollector<'_>) {
        let (rules, prices, placing) = (&self.rules, &self.prices, &self.placing);
        faults.positive("placing.admit_cores", placing.admit_cores);
        faults.positive("placing.admit_memory", placing.admit_memory);
        faults.not_negative("rules.cold_from", rules.initial_capacity_share);
        faults.positive("rules.fall_multiple", rules.overload_multiple);
        faults.not_negative("rules.fresh_offers", rules.warm_up_offers);
        faults.not_negative("prices.refused", prices.refused);
        faults.not_negative("prices.cross_zone", prices.cross_zone);
        faults.not_negative("prices.fleet", prices.fleet);
        faults.not_negative("prices.moves", prices.moves);
    }

    fn kinds(&self, faults: &mut FaultCollector<'_>) {
        faults.check(!self.kinds.is_empty(), "kind", "at least one is needed");
        for (i, kind) in self.kinds.iter().enumerate() {
            let twice = self.kinds[..i].iter().any(|k| k.name == kind.name);
            faults.check(
                !twice,
                &format!("kind[{i}].name"),
                format!("`{}` stands twice", kind.name),
            );
            faults.positive(&format!("kind[{i}].cores"), kind.cores);
            faults.positive(&format!("kind[{i}].memory_gib"), kind.memory_gib);
        }
    }

    fn class(&self, i: usize, class: &TaskClass, faults: &mut FaultCollector<'_>) {
        let key = |field: &str| format!("class[{i}].{field}");
        let twice = self.classes[..i].iter().any(|c| c.name == class.name);
        faults.check(
            !twice,
            &key("name"),
            format!("`{}` stands twice", class.name),
        );
        let keyed = class.retry_safety == RetrySafety::Keyed;
        let belongs = "belongs to keyed classes, and to all of them";
        faults.check(class.group.is_some() == keyed, &key("group"), belongs);
        faults.check(
            class.window_ms.is_some() == keyed,
            &key("window_ms"),
            belongs,
        );
        faults.least(&key("aim_ms"), class.latency_objective_ms, 1);
        faults.not_negative(&key("worth"), class.worth);
        faults.not_negative(&key("start_bonus_s"), class.start_bonus_s);
        let both = class.spread_over.is_some() == class.spread_most.is_some();
        faults.check(
            both,
            &key("spread_most"),
            "spread_over and spread_most belong together",
        );
        faults.least(
            &key("spread_most"),
            class.spread_most.unwrap_or(1).into(),
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
        faults.given(
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
                faults.given(
                    reached(&to),
                    "fleet.advertise",
                    to,
                    "an address and port that others can send to",
                );
            }
            None => {
                let any = self.listen.ip().is_unspecified();
                faults.given(
                    !any,
                    "fleet.listen",
                    self.listen,
                    "one address, or fleet.advertise beside it",
                );
            }
        }
        for seed in self.seeds.iter().filter(|s| !reached(s)) {
            faults.given(
                false,
                "fleet.seeds",
                seed,
                "addresses and ports that can be sent to",
            );
        }
        let many = self.seeds.len();
        faults.given(
            many <= 32,
            "fleet.seeds",
            format_args!("{many} seeds"),
            "at most 32",
        );
        faults.least("fleet.probe_every_ms", self.probe_every_ms, 20);
        let within = (1..self.probe_every_ms).contains(&self.probe_within_ms);
        let allowed = "1 to less than fleet.probe_every_ms";
        faults.given(
            within,
            "fleet.probe_within_ms",
            self.probe_within_ms,
            allowed,
        );
        faults.given(
            (1..=16).contains(&self.helpers),
            "fleet.helpers",
            self.helpers,
            "1 to 16",
        );
        faults.given(
            (1..=100).contains(&self.suspicion),
            "fleet.suspicion",
            self.suspicion,
            "1 to 100",
        );
        faults.least("fleet.gossip_every_ms", self.gossip_every_ms, 10);
        faults.least("fleet.sync_every_ms", self.sync_every_ms, 50);
        faults.least("fleet.seek_every_ms", self.seek_every_ms, 50);
        // Shorter, an answer of a life that is over could be sent again after it is forgotten.
        faults.least("fleet.forget_after_s", self.forget_after_s, 15);
        faults.given(
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
        faults.least("trace.rotate_mib", self.rotate_mib, 1);
        faults.least("trace.rotate_s", self.rotate_s, 1);
        let allowed = "at least trace.rotate_mib";
        faults.given(
            self.keep_mib >= self.rotate_mib,
            "trace.keep_mib",
            self.keep_mib,
            allowed,
        );
        faults.least("trace.queue_records", self.queue_records as u64, 64);
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
            faults.given(false, "consul.servers", server, allowed);
        }
        faults.check(
            !self.service.is_empty(),
            "consul.service",
            "a name is needed",
        );
        let within = self.wait_ms >= 1 && self.wait_ms <= ask_within_ms / 2;
        let allowed = format!(
            "1 to half of rules.ask_within_ms, which is {}",
            ask_within_ms / 2
        );
        faults.given(within, "consul.wait_ms", self.wait_ms, allowed);
        faults.least("consul.members_every_ms", self.members_every_ms, 100);
        faults.least(
            "consul.max_answer_bytes",
            self.max_answer_bytes as u64,
            1024,
        );
        if let Some(m) = &self.membership {
            faults.least("consul.membership.ttl_ms", m.ttl_ms, 1_000);
            faults.check(
                !m.prefix.is_empty(),
                "consul.membership.prefix",
                "a key's prefix is needed",
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FAULTY: &str = include_str!("../../../config/placer.toml");

    #[test]
    fn all_faults_are_told_at_once_with_line_key_what_was_given_and_what_is_allowed() {
        let sound = PlacerConfig::parse(Document {
            file: "placer.toml",
            text: FAULTY,
        });
        let text = sound
            .expect("the settings to try are sound")
            .to_toml()
            .expect("TOML");
        let with = |key: &str, value: &str| {
            let line = text
                .lines()
                .position(|l| l.starts_with(&format!("{key} = ")))
                .expect("the key stands");
            let swapped: Vec<String> = text
                .lines()
                .enumerate()
                .map(|(n, l)| {
                    if n == line {
                        format!("{key} = {value}")
                    } else {
                        l.to_owned()
                    }
                })
                .collect();
            (line + 1, swapped.join("\n"))
        };
        let one = |key: &str, value: &str| {
            let (line, text) = with(key, value);
            let faults = PlacerConfig::parse(Document {
                file: "f",
                text: &text,
            })
            .expect_err("a fault");
            (line, faults)
        };
        for (key, value, full, allowed) in [
            (
                "fall_multiple",
                "-4.0",
                "rules.fall_multiple",
                "-4 is given; above 0",
            ),
            (
                "fresh_offers",
                "-1.0",
                "rules.fresh_offers",
                "-1 is given; 0 or above",
            ),
            (
                "cold_from",
                "nan",
                "rules.cold_from",
                "NaN is given; 0 or above",
            ),
            (
                "admit_cores",
                "0.0",
                "placing.admit_cores",
                "0 is given; above 0",
            ),
            (
                "max_attempts",
                "0",
                "placing.max_attempts",
                "0 is given; at least 1",
            ),
            (
                "cross_zone",
                "-0.5",
                "prices.cross_zone",
                "-0.5 is given; 0 or above",
            ),
            (
                "max_clients",
                "0",
                "api.max_clients",
                "0 is given; at least 1",
            ),
        ] {
            let (line, faults) = one(key, value);
            assert_eq!(faults.0.len(), 1, "{faults}");
            let fault = &faults.0[0];
            assert_eq!(
                (fault.line, fault.key.as_str(), fault.message.as_str()),
                (Some(line), full, allowed)
            );
        }
        // Two faults, two lines of complaint.
        let (_, text) = with("fall_multiple", "-4.0");
        let text = text
            .replace("max_clients = ", "max_clients = 0 # ")
            .replace("fresh_offers = ", "fresh_offers = -");
        let faults = PlacerConfig::parse(Document {
            file: "f",
            text: &text,
        })
        .expect_err("faults");
        assert_eq!(faults.0.len(), 3, "{faults}");
        assert_eq!(faults.to_string().lines().count(), 3);
    }
}
