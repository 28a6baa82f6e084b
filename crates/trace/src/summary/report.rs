//! A summary as JSON, and as text.

use std::collections::BTreeMap;

use hdrhistogram::iterators::IterationValue;
use serde_json::{Value, json};

use super::Summary;

impl Summary {
    /// The summary as one object. Times are in the units their names tell.
    pub fn to_json(&self) -> Value {
        let q = |q: f64| self.place_times.value_at_quantile(q) as f64 / 1000.0;
        let classes: BTreeMap<&str, Value> = self
            .classes
            .iter()
            .map(|(name, c)| {
                let answered: u64 = c.outcomes.values().sum();
                let each = c.attempts as f64 / answered.max(1) as f64;
                let value = json!({
                    "asked": c.requests, "outcomes": c.outcomes, "refused_for": c.rejection_reasons, "attempts_each": each,
                });
                (name.as_str(), value)
            })
            .collect();
        let hosts: BTreeMap<String, Value> = self
            .hosts
            .iter()
            .map(|(n, h)| {
                let name = self.host_names.get(n).cloned().unwrap_or_else(|| format!("#{n}"));
                let value = json!({
                    "offers": h.offers, "seated": h.accepted, "ended": h.attempts_by_outcome, "drains": h.drains,
                    "offers_after_drain": h.offers_after_drain, "latest_after_drain_ms": h.latest_offer_after_drain / 1000,
                    "refused_from_s": h.rejections, "cold_offers": h.warm_up_offers, "cold_most_in_window": h.max_warm_up_offers,
                });
                (name, value)
            })
            .collect();
        let seconds: Vec<Value> = self
            .seconds
            .iter()
            .map(|s| {
                json!([
                    s.requests, s.placed, s.rejected, s.failed, s.offers, s.drains
                ])
            })
            .collect();
        let upper_ms = |bar: &IterationValue<u64>| bar.value_iterated_to() as f64 / 1000.0;
        let bars: Vec<Value> = self
            .place_times
            .iter_log(1000, 2.0)
            .map(|bar| json!([upper_ms(&bar), bar.count_since_last_iteration()]))
            .collect();
        let cold_budget = self.rules.map(|(rules, placers)| {
            json!({
                "offers_of_all_placers": rules.warm_up_offers, "window_ms": rules.overload_window / 1000,
                "cold_for_ms": rules.warm_up_duration / 1000, "placers": placers,
            })
        });
        json!({
            "seconds": self.end.saturating_sub(self.begin.unwrap_or(self.end)) as f64 / 1e6,
            "records": self.records, "turns": self.turns,
            "lost": {"turns": self.lost_in_gaps.0, "records": self.lost_in_gaps.1, "octets": self.damaged_bytes, "unknown": self.unknown_records},
            "classes": classes, "hosts": hosts, "held_for": self.blocked, "unanswered": self.open_requests.len(),
            "ask_to_placed_ms": {"p50": q(0.5), "p99": q(0.99), "max": q(1.0)},
            "ask_to_placed_histogram": {"columns": ["up_to_ms", "asks"], "rows": bars},
            "cold_budget": cold_budget,
            "worst_10_s": self.worst_ten_seconds().map(|(at, share)| json!({"from_s": at, "placed_share": share})),
            "by_second": {"columns": ["asked", "placed", "refused", "failed", "offers", "drains"], "rows": seconds},
        })
    }

    /// The summary for a person.
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
            let list = |counts: Vec<(String, u64)>| {
                counts
                    .iter()
                    .map(|(k, n)| format!("{k} {n}"))
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let outcomes = list(
                class
                    .outcomes
                    .iter()
                    .map(|(k, n)| ((*k).to_owned(), *n))
                    .collect(),
            );
            let reasons = list(
                class
                    .rejection_reasons
                    .iter()
                    .map(|(k, n)| (k.clone(), *n))
                    .collect(),
            );
            let _ = write!(out, "{name}: asked {}; {outcomes}", class.requests);
            let _ = if reasons.is_empty() {
                writeln!(out)
            } else {
                writeln!(out, "; refused for {reasons}")
            };
        }
        let ms = &json["ask_to_placed_ms"];
        let _ = writeln!(
            out,
            "ask to placed: p50 {} ms, p99 {} ms, max {} ms",
            ms["p50"], ms["p99"], ms["max"]
        );
        if let Some((at, share)) = self.worst_ten_seconds() {
            let _ = writeln!(
                out,
                "worst ten seconds: from {at} s, {:.1}% of answers were placed",
                share * 100.0
            );
        }
        let mut worst: Vec<(&u32, u64)> = self
            .hosts
            .iter()
            .map(|(n, h)| (n, h.offers.saturating_sub(h.accepted)))
            .collect();
        worst.sort_by_key(|&(n, lost)| (std::cmp::Reverse(lost), *n));
        for (n, lost) in worst.into_iter().take(5).filter(|&(_, lost)| lost > 0) {
            let host = &self.hosts[n];
            let name = self
                .host_names
                .get(n)
                .cloned()
                .unwrap_or_else(|| format!("#{n}"));
            let ended: Vec<String> = host
                .attempts_by_outcome
                .iter()
                .map(|(why, n)| format!("{why} {n}"))
                .collect();
            let _ = writeln!(
                out,
                "{name}: {} offers, {lost} not seated; ended: {}",
                host.offers,
                ended.join(", ")
            );
        }
        if let Some((rules, placers)) = self.rules {
            let cold: u64 = self.hosts.values().map(|h| h.warm_up_offers).sum();
            let most = self
                .hosts
                .values()
                .map(|h| h.max_warm_up_offers)
                .max()
                .unwrap_or(0);
            let _ = writeln!(
                out,
                "cold hosts: {cold} offers, at most {most} to one in {:.1} s, of {} for all {placers} placers",
                rules.overload_window as f64 / 1e6,
                rules.warm_up_offers
            );
        }
        let drains: u64 = self.hosts.values().map(|h| h.drains).sum();
        let after: u64 = self.hosts.values().map(|h| h.offers_after_drain).sum();
        let latest = self
            .hosts
            .values()
            .map(|h| h.latest_offer_after_drain)
            .max()
            .unwrap_or(0);
        let _ = writeln!(
            out,
            "drains {drains}; offers after one {after}, the latest {} ms after",
            latest / 1000
        );
        out
    }
}
