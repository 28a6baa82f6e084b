//! How long decisions take: from the last byte of an ask read to the first byte of its offer written.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// A histogram of decision times, µs, with three figures of precision.
pub struct DecideTime(Histogram<u64>);

impl DecideTime {
    pub fn new() -> DecideTime {
        // Bounds in range by construction; the fallback has the same precision.
        let wide = Histogram::new_with_bounds(1, 60_000_000, 3);
        DecideTime(wide.unwrap_or_else(|_| Histogram::new(3).expect("three figures are supported")))
    }

    pub fn record(&mut self, micros: u64) {
        self.0.saturating_record(micros);
    }

    /// Quantiles, and the counts themselves, so that those of several placers can be added up.
    pub fn json(&self) -> Value {
        let counts: Vec<(u64, u64)> =
            self.0.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value())).collect();
        json!({
            "decide_us": {
                "count": self.0.len(),
                "p50": self.0.value_at_quantile(0.5),
                "p99": self.0.value_at_quantile(0.99),
                "max": self.0.max(),
                "counts": counts,
            }
        })
    }
}
