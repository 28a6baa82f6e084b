//! Defaults of settings that are left out.

pub(crate) fn enabled() -> bool {
    true
}
pub(crate) fn fleet_name() -> String {
    "maplethread".to_owned()
}
pub(crate) fn probe_interval_ms() -> u64 {
    1000
}
pub(crate) fn probe_timeout_ms() -> u64 {
    300
}
pub(crate) fn indirect_probes() -> usize {
    3
}
pub(crate) fn suspicion_multiplier() -> u32 {
    5
}
pub(crate) fn gossip_interval_ms() -> u64 {
    200
}
pub(crate) fn sync_interval_ms() -> u64 {
    2000
}
pub(crate) fn discovery_interval_ms() -> u64 {
    5000
}
pub(crate) fn retention_s() -> u64 {
    600
}
pub(crate) fn max_members() -> usize {
    4096
}
pub(crate) fn one() -> f64 {
    1.0
}
pub(crate) fn max_clients() -> usize {
    10_000
}
pub(crate) fn max_pending_requests() -> usize {
    20_000
}
pub(crate) fn max_actors() -> usize {
    200_000
}
pub(crate) fn max_body_bytes() -> usize {
    16 << 10
}
pub(crate) fn max_unsent_bytes() -> usize {
    1 << 20
}
pub(crate) fn max_pipelined() -> usize {
    32
}
pub(crate) fn max_budget_ms() -> u64 {
    600_000
}
pub(crate) fn request_timeout_ms() -> u64 {
    10_000
}
pub(crate) fn idle_timeout_ms() -> u64 {
    60_000
}
pub(crate) fn answer_retention_ms() -> u64 {
    30_000
}
pub(crate) fn max_kept_answers() -> usize {
    50_000
}
pub(crate) fn max_kept_events() -> usize {
    50_000
}
pub(crate) fn resubmission_hold_ms() -> u64 {
    3_000
}
pub(crate) fn shutdown_grace_ms() -> u64 {
    10_000
}
pub(crate) fn max_hosts() -> usize {
    8_192
}
pub(crate) fn host_service() -> String {
    "maplethread-host".to_owned()
}
pub(crate) fn placer_service() -> String {
    "maplethread-placer".to_owned()
}
pub(crate) fn slot_key_prefix() -> String {
    "maplethread/slots".to_owned()
}
pub(crate) fn max_wait_ms() -> u64 {
    5_000
}
pub(crate) fn member_read_interval_ms() -> u64 {
    2_000
}
pub(crate) fn max_response_bytes() -> usize {
    32 << 20
}
pub(crate) fn session_ttl_ms() -> u64 {
    10_000
}
pub(crate) fn lock_delay_ms() -> u64 {
    5_000
}
pub(crate) fn connect_timeout_ms() -> u64 {
    1_000
}
pub(crate) fn min_reconnect_delay_ms() -> u64 {
    100
}
pub(crate) fn max_reconnect_delay_ms() -> u64 {
    2_000
}
pub(crate) fn ping_interval_ms() -> u64 {
    1_000
}
pub(crate) fn silence_timeout_ms() -> u64 {
    3_000
}
/// A ping, its answer and the last acknowledgement are 174 bytes with their TCP/IP headers, so this rate takes 7 kB/s
/// of the 12 KB/s that an idle placer may use. See docs/liveness.md.
pub(crate) fn max_idle_pings_per_s() -> u32 {
    40
}
/// Well below four minutes: load balancers and firewalls drop idle connections after four to six minutes.
pub(crate) fn max_idle_ping_interval_ms() -> u64 {
    90_000
}
pub(crate) fn loss_timeout_ms() -> u64 {
    5_000
}
pub(crate) fn max_unwritten_bytes() -> usize {
    256 << 10
}
pub(crate) fn max_attempts() -> u32 {
    3
}
pub(crate) fn max_poll_interval_ms() -> u64 {
    10_000
}
pub(crate) fn rotate_mib() -> u64 {
    64
}
pub(crate) fn rotate_s() -> u64 {
    3600
}
pub(crate) fn keep_mib() -> u64 {
    1024
}
pub(crate) fn queue_records() -> usize {
    65_536
}
