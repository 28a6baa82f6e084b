//! Formats a summary as JSON and as text.

use std::collections::BTreeMap;

use hdrhistogram::iterators::IterationValue;
use serde_json::{Value, json};

use super::Summary;

impl Summary {
    /// The summary as a JSON object. The names of times end in their units.
    pub fn to_json(&self) -> Value {
        let quantile_ms =
            |quantile: f64| self.placement_times.value_at_quantile(quantile) as f64 / 1000.0;
        let classes: BTreeMap<&str, Value> = self
            .classes
            .iter()
            .map(|(name, counts)| {
                let answered: u64 = counts.outcomes.values().sum();
                let attempts_per_answer = counts.attempts as f64 / answered.max(1) as f64;
                let value = json!({
                    "asked": counts.requests, "outcomes": counts.outcomes, "refused_for": counts.rejection_reasons, "attempts_each": attempts_per_answer,
                });
                (name.as_str(), value)
            })
            .collect();
        let hosts: BTreeMap<String, Value> = self
            .hosts
            .iter()
            .map(|(n, host)| {
                let name = self.host_names.get(n).cloned().unwrap_or_else(|| format!("#{n}"));
                let value = json!({
                    "offers": host.offers, "seated": host.accepted, "ended": host.attempts_by_outcome, "drains": host.drains,
                    "offers_after_drain": host.offers_after_drain, "latest_after_drain_ms": host.latest_offer_after_drain_us / 1000,
                    "refused_from_s": host.rejections, "cold_offers": host.warm_up_offers, "cold_most_in_window": host.max_warm_up_offers,
                });
                (name, value)
            })
            .collect();
        let seconds: Vec<Value> = self
            .seconds
            .iter()
            .map(|second| {
                json!([
                    second.requests,
                    second.placed,
                    second.rejected,
                    second.failed,
                    second.offers,
                    second.drains
                ])
            })
            .collect();
        let upper_ms = |bin: &IterationValue<u64>| bin.value_iterated_to() as f64 / 1000.0;
        let bins: Vec<Value> = self
            .placement_times
            .iter_log(1000, 2.0)
            .map(|bin| json!([upper_ms(&bin), bin.count_since_last_iteration()]))
            .collect();
        let cold_budget = self.rules.map(|(rules, placers)| {
            json!({
                "offers_of_all_placers": rules.warm_up_offers_per_window, "window_ms": rules.overload_window / 1000,
                "cold_for_ms": rules.warm_up_duration / 1000, "placers": placers,
            })
        });
        json!({
            "seconds": self.end.saturating_sub(self.begin.unwrap_or(self.end)) as f64 / 1e6,
            "records": self.records, "turns": self.turns,
            "lost": {"turns": self.lost_in_gaps.0, "records": self.lost_in_gaps.1, "octets": self.damaged_bytes, "unknown": self.unknown_records},
            "classes": classes, "hosts": hosts, "held_for": self.blocked, "unanswered": self.open_requests.len(),
            "ask_to_placed_ms": {"p50": quantile_ms(0.5), "p99": quantile_ms(0.99), "max": quantile_ms(1.0)},
            "ask_to_placed_histogram": {"columns": ["up_to_ms", "asks"], "rows": bins},
            "cold_budget": cold_budget,
            "worst_10_s": self.worst_ten_seconds().map(|(at, share)| json!({"from_s": at, "placed_share": share})),
            "by_second": {"columns": ["asked", "placed", "refused", "failed", "offers", "drains"], "rows": seconds},
        })
    }

    /// The summary as text for operators.
    pub fn to_text(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        let json = self.to_json();
        let _ = writeln!(
            out,
            "{:.1} s, {} turns, {} records; lost: {} turns, {} octets",
            json["seconds"].as_f64().unwrap_or(0.0),
            self.turns,
            self.records,
            self.lost_in_gaps.0,
            self.damaged_bytes
        );
        for (name, class) in &self.classes {
            let format_counts = |counts: Vec<(String, u64)>| {
                counts
                    .iter()
                    .map(|(name, n)| format!("{name} {n}"))
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let outcomes = format_counts(
                class
                    .outcomes
                    .iter()
                    .map(|(name, n)| ((*name).to_owned(), *n))
                    .collect(),
            );
            let reasons = format_counts(
                class
                    .rejection_reasons
                    .iter()
                    .map(|(name, n)| (name.clone(), *n))
                    .collect(),
            );
            let _ = write!(out, "{name}: asked {}; {outcomes}", class.requests);
            let _ = if reasons.is_empty() {
                writeln!(out)
            } else {
                writeln!(out, "; refused for {reasons}")
            };
        }
        let placement_times = &json["ask_to_placed_ms"];
        let _ = writeln!(
            out,
            "ask to placed: p50 {} ms, p99 {} ms, max {} ms",
            placement_times["p50"], placement_times["p99"], placement_times["max"]
        );
        if let Some((at, share)) = self.worst_ten_seconds() {
            let _ = writeln!(
                out,
                "worst ten seconds: from {at} s, {:.1}% of answers were placed",
                share * 100.0
            );
        }
        let mut worst_hosts: Vec<(&u32, u64)> = self
            .hosts
            .iter()
            .map(|(n, host)| (n, host.offers.saturating_sub(host.accepted)))
            .collect();
        worst_hosts.sort_by_key(|&(n, not_accepted)| (std::cmp::Reverse(not_accepted), *n));
        for (n, not_accepted) in worst_hosts
            .into_iter()
            .take(5)
            .filter(|&(_, not_accepted)| not_accepted > 0)
        {
            let host = &self.hosts[n];
            let name = self
                .host_names
                .get(n)
                .cloned()
                .unwrap_or_else(|| format!("#{n}"));
            let ended: Vec<String> = host
                .attempts_by_outcome
                .iter()
                .map(|(outcome, n)| format!("{outcome} {n}"))
                .collect();
            let _ = writeln!(
                out,
                "{name}: {} offers, {not_accepted} not seated; ended: {}",
                host.offers,
                ended.join(", ")
            );
        }
        if let Some((rules, placers)) = self.rules {
            let warm_up_offers: u64 = self.hosts.values().map(|host| host.warm_up_offers).sum();
            let max_in_window = self
                .hosts
                .values()
                .map(|host| host.max_warm_up_offers)
                .max()
                .unwrap_or(0);
            let _ = writeln!(
                out,
                "cold hosts: {warm_up_offers} offers, at most {max_in_window} to one in {:.1} s, of {} for all {placers} placers",
                rules.overload_window as f64 / 1e6,
                rules.warm_up_offers_per_window
            );
        }
        let drains: u64 = self.hosts.values().map(|host| host.drains).sum();
        let offers_after_drain: u64 = self
            .hosts
            .values()
            .map(|host| host.offers_after_drain)
            .sum();
        let latest_after_drain = self
            .hosts
            .values()
            .map(|host| host.latest_offer_after_drain_us)
            .max()
            .unwrap_or(0);
        let _ = writeln!(
            out,
            "drains {drains}; offers after one {offers_after_drain}, the latest {} ms after",
            latest_after_drain / 1000
        );
        out
    }
}
