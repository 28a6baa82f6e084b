//! Decision times: from reading the last byte of a request to writing the first byte of its offer.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Longer decision times are recorded as this value, µs.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Precision of recorded times, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of decision times, µs.
pub(crate) struct DecisionTimes(Histogram<u64>);

impl DecisionTimes {
    pub fn new() -> DecisionTimes {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        DecisionTimes(histogram.expect("histogram bounds and precision are valid"))
    }

    /// Records the duration of one decision, µs.
    pub fn record(&mut self, micros: u64) {
        self.0.saturating_record(micros);
    }

    /// Quantiles, and the counts per value so that the histograms of several placers can be merged.
    pub fn to_json(&self) -> Value {
        let counts: Vec<(u64, u64)> = self
            .0
            .iter_recorded()
            .map(|v| (v.value_iterated_to(), v.count_at_value()))
            .collect();
        json!({
            "count": self.0.len(),
            "p50": self.0.value_at_quantile(0.5),
            "p99": self.0.value_at_quantile(0.99),
            "max": self.0.max(),
            "counts": counts,
        })
    }
}

#[cfg(test)]
mod tests;
