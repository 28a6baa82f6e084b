//! Losses as JSON, and as text.

use std::collections::BTreeMap;

use maplethread::Micros;
use serde_json::{Value, json};

use super::{ClassLosses, LossCollector};

/// Losses, counted.
pub struct LossReport(pub(super) LossCollector);

/// Names with their times, the longest first.
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

    /// All as one object; times in seconds.
    pub fn to_json(&self) -> Value {
        let in_seconds = |phases: &BTreeMap<String, Micros>| -> BTreeMap<String, f64> {
            phases
                .iter()
                .map(|(phase, &time)| (phase.clone(), to_seconds(time)))
                .collect()
        };
        let class = |c: &ClassLosses| {
            let q = |q: f64| c.first_start_times.value_at_quantile(q) as f64 / 1000.0;
            let gaps: BTreeMap<&String, Value> = c
                .outages
                .iter()
                .map(|(began, (n, phases))| {
                    (began, json!({"count": n, "seconds": in_seconds(phases)}))
                })
                .collect();
            let value = json!({
                "actors": c.actors, "never_started": c.never_started, "wanted_s": to_seconds(c.required_time), "gaps": gaps,
                "first_start_ms": {"p50": q(0.5), "p90": q(0.9), "p99": q(0.99), "max": q(1.0)},
            });
            (c.name.clone(), value)
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

    /// All for a person.
    pub fn to_text(&self) -> String {
        use std::fmt::Write;
        let mut out = String::new();
        for c in self.0.classes.iter().filter(|c| c.actors > 0) {
            let lost: Micros = c
                .outages
                .values()
                .flat_map(|(_, phases)| phases.values())
                .sum();
            let share = |time: Micros| 100.0 * time as f64 / c.required_time.max(1) as f64;
            let q = |q: f64| c.first_start_times.value_at_quantile(q) as f64 / 1000.0;
            let _ = writeln!(
                out,
                "{}: {} actors wanted for {:.0} s, not running {:.1}% of it; {} never started; first start p50 {:.0} ms, \
                 p90 {:.0} ms, p99 {:.0} ms",
                c.name,
                c.actors,
                to_seconds(c.required_time),
                share(lost),
                c.never_started,
                q(0.5),
                q(0.9),
                q(0.99)
            );
            let whole = |(began, (_, phases)): (&String, &(u64, BTreeMap<String, Micros>))| {
                (began.clone(), phases.values().sum())
            };
            for (began, time) in sorted_by_time(c.outages.iter().map(whole)) {
                let (n, phases) = &c.outages[&began];
                let _ = writeln!(out, "  {:.2}% in {n} gaps after {began}:", share(time));
                for (phase, time) in sorted_by_time(phases.iter().map(|(p, &t)| (p, t)))
                    .into_iter()
                    .take(5)
                {
                    let _ = writeln!(out, "    {:.2}% {phase}", share(time));
                }
            }
        }
        for (name, phases) in self.hosts_by_lost_time().into_iter().take(5) {
            let phases: Vec<String> = sorted_by_time(phases.iter().map(|(p, &t)| (p, t)))
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
