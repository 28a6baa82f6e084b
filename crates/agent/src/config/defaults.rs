//! Default values of optional settings.

pub(super) fn stop_grace_ms() -> u64 {
    5000
}

pub(super) fn max_output_kib() -> u64 {
    1024
}

pub(super) fn measure_interval_ms() -> u64 {
    2000
}

/// No overcommit: the sum of requests is limited to the host's capacity.
pub(super) fn overcommit() -> f64 {
    1.0
}

pub(super) fn max_queue_length() -> usize {
    64
}

pub(super) fn max_concurrent_starts() -> usize {
    4
}
