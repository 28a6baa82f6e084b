//! Rule 3: nothing new to a host later than the grace after its placer was told that it drains or is gone.

use std::collections::BTreeSet;

use crate::checker::{Checker, Name};
use crate::history::Observer;

impl Checker<'_> {
    pub(crate) fn check_drained_host(&mut self, placer: &Name, host: &Name) {
        let (at, grace) = (self.now, self.parameters.drain_grace_us);
        let arrived = self.earliest_arrival(Observer::Hosts);
        let drained = self
            .drain_announced
            .get(&(placer.clone(), host.clone()))
            .copied();
        let listed = self
            .missing_from_inventory
            .get(host)
            .map(|&(told, shown)| (self.inventory_reached_placer_at(placer, told), shown));
        let catalogue = self
            .missing_from_catalogue
            .get(&(placer.clone(), host.clone()))
            .copied();
        for (told, shown) in drained.into_iter().chain(listed).chain(catalogue) {
            if arrived > told.saturating_add(grace) {
                let late = (at - told) / 1000;
                let what = format!(
                    "{placer} offered to {host} {late} ms after it was told that it takes nothing new"
                );
                self.report_violation(3, what, vec![shown, self.entry_index]);
                return;
            }
        }
    }

    /// What a catalogue's answer tells: a host with a critical check, or without an entry, takes nothing new. An
    /// answer older than another that was told is no news, unless a leader gave it that verified itself.
    pub(crate) fn apply_catalogue_answer(
        &mut self,
        placer: &Name,
        index: u64,
        consistent: bool,
        body: &[u8],
    ) {
        let highest = self
            .highest_catalogue_index
            .entry(placer.clone())
            .or_default();
        if index < *highest && !consistent {
            return;
        }
        let Ok(serde_json::Value::Array(entries)) = serde_json::from_slice(body) else {
            return;
        };
        if entries.iter().any(|e| e["Node"]["Datacenter"] != "dc1") {
            return;
        }
        *highest = if consistent {
            index
        } else {
            index.max(*highest)
        };
        let critical = |e: &serde_json::Value| {
            let checks = e["Checks"]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            checks.iter().any(|c| c["Status"] == "critical")
        };
        let mut ready = BTreeSet::new();
        for entry in entries.iter().filter(|e| !critical(e)) {
            let Some(name) = entry["Service"]["ID"].as_str() else {
                continue;
            };
            ready.insert(name.to_owned());
            let start = entry["Service"]["Meta"]["started_ms"]
                .as_str()
                .and_then(|s| s.parse().ok());
            if let (Some((host, _)), Some(start)) = (self.locations.get_key_value(name), start) {
                self.listed_start_ms.insert(host.clone(), start);
            }
        }
        let told = self.reached_placer_at(placer, self.now);
        for host in self.locations.keys() {
            let key = (placer.clone(), host.clone());
            if ready.contains(&**host) {
                self.missing_from_catalogue.remove(&key);
            } else {
                self.missing_from_catalogue
                    .entry(key)
                    .or_insert((told, self.entry_index));
            }
        }
    }
}
