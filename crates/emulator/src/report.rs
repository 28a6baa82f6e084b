//! The report of a run, as JSON and as text.

mod evidence;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use maplethread_checker::{HistoryEntry, Observation, Outcome, Verdict, Violation};
use maplethread_wire::frame::Frame;
use serde_json::{Value, json};

use evidence::EvidenceText;

use crate::mutant::MutantResult;
use crate::service_accounting::{ServiceLoss, ServiceShares};

/// Maximum number of violations of a rule that the JSON report shows with their evidence.
const MAX_SHOWN_PER_RULE: usize = 8;

/// The report of a run.
pub struct Report {
    /// The checker's verdict on the recorded history.
    pub verdict: Verdict,
    /// First requests of owners; their number is independent of the decider.
    pub first_requests: FirstRequests,
    /// Served shares of the value that was wanted.
    pub service: ServiceShares,
    /// The served share of each class.
    pub by_class: BTreeMap<String, f64>,
    /// Causes of the service that was lost.
    pub service_loss: ServiceLoss,
    /// Seconds for which second copies of tasks ran.
    pub duplicate_run_s: f64,
    /// Times from a request to the answer `placed`, as seen by owners, µs, sorted.
    pub placement_times_us: Vec<u64>,
    /// Times of decisions, µs, with their counts, from all placers that were up at the end.
    pub decision_times_us: BTreeMap<u64, u64>,
    /// Requests that were blocked, by reason, as counted by the processes of placers that were up at the end.
    pub blocked_by_reason: BTreeMap<String, u64>,
    /// Offers to a host in the second after its health came back: number of returns, mean and maximum number of offers.
    pub health_returns: (usize, f64, usize),
    /// The result of the mutant, if placers ran one.
    pub mutant: Option<MutantResult>,
    /// The recorded history, from which evidence of violations is printed.
    pub history: Vec<HistoryEntry>,
}

impl Report {
    /// Whether no rule was violated and no request was left unanswered.
    pub fn has_passed(&self) -> bool {
        self.verdict.violations.is_empty() && self.verdict.unanswered == 0
    }

    fn decision_quantile_us(&self, q: f64) -> u64 {
        let total: u64 = self.decision_times_us.values().sum();
        let mut remaining = (total as f64 * q).ceil() as u64;
        for (&value, &count) in &self.decision_times_us {
            if remaining <= count {
                return value;
            }
            remaining -= count;
        }
        self.decision_times_us.keys().last().copied().unwrap_or(0)
    }

    fn placement_quantile_ms(&self, q: f64) -> f64 {
        quantile_ms(&self.placement_times_us, q)
    }

    fn replica_index_wait_ms(&self, q: f64) -> f64 {
        quantile_ms(&self.verdict.replica_index_waits_us, q)
    }

    /// The report as a JSON object.
    pub fn json(&self) -> Value {
        let v = &self.verdict;
        let violations_by_rule: BTreeMap<String, u64> = v
            .violations_by_rule()
            .into_iter()
            .map(|(rule, count)| (rule.to_string(), count))
            .collect();
        json!({
            "asks": v.requests, "placed": v.placed, "refused": v.rejected, "failed": v.failed,
            "turned_away": v.not_accepted, "unanswered": v.unanswered, "excused": v.excused,
            "first_asks": self.first_requests.requests, "first_placed": self.first_requests.placed,
            "offers": v.offers, "refused_by": v.rejected_by_reason, "held_for": self.blocked_by_reason,
            "service": self.service.overall,
            "service_worst_10_s": self.service.worst_10_s,
            "service_worst_class": self.service.worst_class,
            "service_by_class": self.by_class,
            "service_lost": {
                "late_start": self.service_loss.late_start, "not_running": self.service_loss.not_running,
                "crowded": self.service_loss.contended,
            },
            "double_s": self.duplicate_run_s,
            "rogue": self.mutant.map(|m| json!({"number": m.number, "moves": m.violations_made, "caught": m.violations_found})),
            "broken": violations_by_rule,
            "broken_shown": self.first_violations().map(|violation| self.violation_json(violation)).collect::<Vec<_>>(),
            "numbers": {
                "taken": v.replica_index_waits_us.len(), "wait_ms": {
                    "p50": self.replica_index_wait_ms(0.5), "p99": self.replica_index_wait_ms(0.99), "max": self.replica_index_wait_ms(1.0),
                },
            },
            "returns": {"count": self.health_returns.0, "offers_mean": self.health_returns.1, "offers_most": self.health_returns.2},
            "place_ms": {
                "p50": self.placement_quantile_ms(0.5), "p99": self.placement_quantile_ms(0.99), "max": self.placement_quantile_ms(1.0),
            },
            "decide_us": { "p50": self.decision_quantile_us(0.5), "p99": self.decision_quantile_us(0.99) },
        })
    }

    /// The first violations of each rule, at most [`MAX_SHOWN_PER_RULE`] of each.
    fn first_violations(&self) -> impl Iterator<Item = &Violation> {
        let of_rule = |rule: u8| {
            self.verdict
                .violations
                .iter()
                .filter(move |violation| violation.rule == rule)
                .take(MAX_SHOWN_PER_RULE)
        };
        (1..=5).flat_map(of_rule)
    }

    fn violation_json(&self, violation: &Violation) -> Value {
        let start_us = self.history.first().map_or(0, |entry| entry.at_us);
        let entries: Vec<String> = violation
            .evidence
            .iter()
            .take(12)
            .filter_map(|&i| self.history.get(i))
            .map(|entry| {
                format!(
                    "{:.3} s {:?}",
                    (entry.at_us - start_us) as f64 / 1e6,
                    EvidenceText(&entry.observation)
                )
            })
            .collect();
        json!({"rule": violation.rule, "what": violation.description, "records": entries})
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let v = &self.verdict;
        let mut out = String::new();
        let share = |n: u64, total: u64| n as f64 / total.max(1) as f64 * 100.0;
        let first = &self.first_requests;
        let _ = writeln!(
            out,
            "{} asked for the first time, {:.1}% of them placed by that ask; {} asks came again",
            first.requests,
            share(first.placed, first.requests),
            v.requests - first.requests
        );
        let shares = |counts: &BTreeMap<String, u64>, total: u64| {
            let format_share =
                |(reason, &n): (&String, &u64)| format!("{reason} {:.1}%", share(n, total));
            let parts: Vec<String> = counts.iter().map(format_share).collect();
            if parts.is_empty() {
                "none".to_owned()
            } else {
                parts.join(", ")
            }
        };
        let _ = writeln!(
            out,
            "what bound, in shares of all asks: held for {}; refused by {}",
            shares(&self.blocked_by_reason, v.requests),
            shares(&v.rejected_by_reason, v.requests)
        );
        let s = &self.service;
        let _ = writeln!(
            out,
            "asks {}: placed {}, refused {}, failed {}, turned away {}; unanswered {}, excused {}",
            v.requests, v.placed, v.rejected, v.failed, v.not_accepted, v.unanswered, v.excused
        );
        let _ = writeln!(
            out,
            "service {:.3} of the worth asked for; worst ten seconds {:.3}, worst-served class {:.3} (simulated work)",
            s.overall, s.worst_10_s, s.worst_class
        );
        let lost = &self.service_loss;
        let _ = writeln!(
            out,
            "lost of it: {:.3} to starts later than their aim, {:.3} while not running, {:.3} to crowded hosts",
            lost.late_start, lost.not_running, lost.contended
        );
        let _ = writeln!(
            out,
            "ask to placed: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; decisions: p50 {} us, p99 {} us; {} offers",
            self.placement_quantile_ms(0.5),
            self.placement_quantile_ms(0.99),
            self.placement_quantile_ms(1.0),
            self.decision_quantile_us(0.5),
            self.decision_quantile_us(0.99),
            v.offers
        );
        if !v.replica_index_waits_us.is_empty() {
            let _ = writeln!(
                out,
                "{} numbers fell free; until one was taken: p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
                v.replica_index_waits_us.len(),
                self.replica_index_wait_ms(0.5),
                self.replica_index_wait_ms(0.99),
                self.replica_index_wait_ms(1.0)
            );
        }
        for violation in v.violations.iter().take(10) {
            let _ = writeln!(
                out,
                "rule {} broken: {}",
                violation.rule, violation.description
            );
            if let Some(records) = self.violation_json(violation)["records"].as_array() {
                for line in records.iter().filter_map(Value::as_str) {
                    let _ = writeln!(out, "    {line}");
                }
            }
        }
        if v.violations.len() > 10 {
            let _ = writeln!(out, "and {} more", v.violations.len() - 10);
        }
        let _ = if self.has_passed() {
            writeln!(
                out,
                "all five rules held, and every ask had exactly one answer"
            )
        } else {
            writeln!(
                out,
                "RULES BROKEN: {:?} (rule: times)",
                v.violations_by_rule()
            )
        };
        if let Some(mutant) = &self.mutant {
            let _ = writeln!(out, "{}", mutant.text());
        }
        out
    }
}

/// A quantile of sorted times in µs, converted to ms; 0 if there are none.
fn quantile_ms(sorted: &[u64], q: f64) -> f64 {
    let rank = ((sorted.len() as f64 * q).ceil() as usize).max(1) - 1;
    sorted
        .get(rank.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0) as f64
        / 1000.0
}

/// First requests of owners.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstRequests {
    /// Number of first requests.
    pub requests: u64,
    /// Number of them that were answered `placed`.
    pub placed: u64,
}

impl FirstRequests {
    /// Counts the first requests in a history: owners number their requests from 1.
    pub(crate) fn count(history: &[HistoryEntry]) -> FirstRequests {
        let mut first = FirstRequests::default();
        for entry in history {
            match &entry.observation {
                Observation::PlacementRequested { request, .. } if request.ends_with(".1") => {
                    first.requests += 1
                }
                Observation::Answered {
                    request,
                    outcome: Outcome::Placed(_),
                } if request.ends_with(".1") => {
                    first.placed += 1;
                }
                _ => {}
            }
        }
        first
    }
}

/// Offers to hosts in the second after each of these health returns: number of returns, mean and maximum number of
/// offers.
pub(crate) fn offers_after_health_return(
    history: &[HistoryEntry],
    returns: &[(u64, Arc<str>)],
) -> (usize, f64, usize) {
    let mut offers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for entry in history {
        if let Observation::FrameFromPlacer {
            host,
            frame: Frame::Offer(_),
            ..
        } = &entry.observation
        {
            offers.entry(host).or_default().push(entry.at_us);
        }
    }
    let counts: Vec<usize> = returns
        .iter()
        .map(|(returned_at, host)| {
            let offer_times = offers.get(&**host).map(Vec::as_slice).unwrap_or_default();
            offer_times
                .iter()
                .filter(|&&at| at >= *returned_at && at < returned_at + 1_000_000)
                .count()
        })
        .collect();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    (
        counts.len(),
        mean,
        counts.iter().copied().max().unwrap_or(0),
    )
}
