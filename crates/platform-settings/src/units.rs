//! Conversion from the platform's time unit, milliseconds.

use maplethread::Micros;

/// Converts milliseconds to microseconds, rounded to the nearest; negative times become zero.
pub fn micros_from_ms(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}
