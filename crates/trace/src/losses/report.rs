//! Formats losses as JSON and as text.

use std::collections::BTreeMap;

use maplethread::Micros;
use serde_json::{Value, json};

use super::{ClassLosses, LossCollector};

/// The losses of a trace.
pub struct LossReport(pub(super) LossCollector);

/// Sorts keys by descending time.
fn sorted_by_time<K: Clone + Ord>(times: impl Iterator<Item = (K, Micros)>) -> Vec<(K, Micros)> {
    let mut all: Vec<(K, Micros)> = times.collect();
    all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    all
}

fn to_seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

impl LossReport {
    fn hosts_by_lost_time(&self) -> Vec<(String, &BTreeMap<String, Micros>)> {
        let all = sorted_by_time(
            self.0
                .host_phase_times
                .iter()
                .map(|(&n, phases)| (n, phases.values().sum())),
        );
        let name = |n: &u32| {
            self.0
                .host_names
                .get(n)
                .cloned()
                .unwrap_or_else(|| format!("#{n}"))
        };
        all.into_iter()
            .map(|(n, _)| (name(&n), &self.0.host_phase_times[&n]))
            .collect()
    }

    /// The losses as a JSON object; times are in seconds unless the name states another unit.
    pub fn to_json(&self) -> Value {
        let in_seconds = |phases: &BTreeMap<String, Micros>| -> BTreeMap<String, f64> {
            phases
                .iter()
                .map(|(phase, &time)| (phase.clone(), to_seconds(time)))
                .collect()
        };
        let class = |losses: &ClassLosses| {
            let quantile_ms = |quantile: f64| {
                losses.first_start_times.value_at_quantile(quantile) as f64 / 1000.0
            };
            let outages: BTreeMap<&String, Value> = losses
                .outages
                .iter()
                .map(|(cause, (n, phases))| {
                    (cause, json!({"count": n, "seconds": in_seconds(phases)}))
                })
                .collect();
            let value = json!({
                "actors": losses.actors, "never_started": losses.never_started, "wanted_s": to_seconds(losses.required_time), "gaps": outages,
                "first_start_ms": {"p50": quantile_ms(0.5), "p90": quantile_ms(0.9), "p99": quantile_ms(0.99), "max": quantile_ms(1.0)},
            });
            (losses.name.clone(), value)
        };
        let hosts: BTreeMap<String, Value> = self
            .hosts_by_lost_time()
            .into_iter()
            .map(|(name, phases)| (name, json!(in_seconds(phases))))
            .collect();
        json!({
            "classes": self.0.classes.iter().map(class).collect::<BTreeMap<String, Value>>(),
            "hosts": hosts, "not_followed": self.0.untracked_actors,
        })
    }

    /// The losses as text for operators.
    pub fn to_text(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        for losses in self.0.classes.iter().filter(|losses| losses.actors > 0) {
            let outage_time: Micros = losses
                .outages
                .values()
                .flat_map(|(_, phases)| phases.values())
                .sum();
            let percentage =
                |time: Micros| 100.0 * time as f64 / losses.required_time.max(1) as f64;
            let quantile_ms = |quantile: f64| {
                losses.first_start_times.value_at_quantile(quantile) as f64 / 1000.0
            };
            let _ = writeln!(
                out,
                "{}: {} actors wanted for {:.0} s, not running {:.1}% of it; {} never started; first start p50 {:.0} ms, \
                 p90 {:.0} ms, p99 {:.0} ms",
                losses.name,
                losses.actors,
                to_seconds(losses.required_time),
                percentage(outage_time),
                losses.never_started,
                quantile_ms(0.5),
                quantile_ms(0.9),
                quantile_ms(0.99)
            );
            let total_time = |(cause, (_, phases)): (&String, &(u64, BTreeMap<String, Micros>))| {
                (cause.clone(), phases.values().sum())
            };
            for (cause, time) in sorted_by_time(losses.outages.iter().map(total_time)) {
                let (n, phases) = &losses.outages[&cause];
                let _ = writeln!(out, "  {:.2}% in {n} gaps after {cause}:", percentage(time));
                for (phase, time) in
                    sorted_by_time(phases.iter().map(|(phase, &time)| (phase, time)))
                        .into_iter()
                        .take(5)
                {
                    let _ = writeln!(out, "    {:.2}% {phase}", percentage(time));
                }
            }
        }
        for (name, phases) in self.hosts_by_lost_time().into_iter().take(5) {
            let phases: Vec<String> =
                sorted_by_time(phases.iter().map(|(phase, &time)| (phase, time)))
                    .into_iter()
                    .take(3)
                    .map(|(phase, time)| format!("{phase} {:.1} s", to_seconds(time)))
                    .collect();
            let _ = writeln!(out, "{name}: {}", phases.join(", "));
        }
        if self.0.untracked_actors > 0 {
            let _ = writeln!(
                out,
                "{} actors more were not followed",
                self.0.untracked_actors
            );
        }
        out
    }
}
