//! What counts where a setting is left out.

pub(crate) fn enabled() -> bool {
    true
}
pub(crate) fn fleet_name() -> String {
    "maplethread".to_owned()
}
pub(crate) fn probe_every() -> u64 {
    1000
}
pub(crate) fn probe_within() -> u64 {
    300
}
pub(crate) fn helpers() -> usize {
    3
}
pub(crate) fn suspicion() -> u32 {
    5
}
pub(crate) fn gossip_every() -> u64 {
    200
}
pub(crate) fn sync_every() -> u64 {
    2000
}
pub(crate) fn seek_every() -> u64 {
    5000
}
pub(crate) fn forget_after() -> u64 {
    600
}
pub(crate) fn max_members() -> usize {
    4096
}
pub(crate) fn one_by_default() -> f64 {
    1.0
}
pub(crate) fn max_clients() -> usize {
    10_000
}
pub(crate) fn max_asks() -> usize {
    20_000
}
pub(crate) fn max_actors() -> usize {
    200_000
}
pub(crate) fn max_body() -> usize {
    16 << 10
}
pub(crate) fn max_unread() -> usize {
    1 << 20
}
pub(crate) fn max_pipelined() -> usize {
    32
}
pub(crate) fn max_budget() -> u64 {
    600_000
}
pub(crate) fn request_within() -> u64 {
    10_000
}
pub(crate) fn idle() -> u64 {
    60_000
}
pub(crate) fn answers_kept_ms() -> u64 {
    30_000
}
pub(crate) fn answers_kept() -> usize {
    50_000
}
pub(crate) fn events_kept() -> usize {
    50_000
}
pub(crate) fn settle() -> u64 {
    3_000
}
pub(crate) fn stop_within() -> u64 {
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
pub(crate) fn slots_prefix() -> String {
    "maplethread/slots".to_owned()
}
pub(crate) fn wait() -> u64 {
    5_000
}
pub(crate) fn members_every() -> u64 {
    2_000
}
pub(crate) fn max_answer() -> usize {
    32 << 20
}
pub(crate) fn ttl() -> u64 {
    10_000
}
pub(crate) fn lock_delay() -> u64 {
    5_000
}
pub(crate) fn connect_within() -> u64 {
    1_000
}
pub(crate) fn reconnect_first() -> u64 {
    100
}
pub(crate) fn reconnect_most() -> u64 {
    2_000
}
pub(crate) fn ping_every() -> u64 {
    1_000
}
pub(crate) fn silent_after() -> u64 {
    3_000
}
/// A ping, its answer and the last acknowledgement are 174 bytes with their TCP/IP headers: 7 kB/s of the 12 KB/s that a
/// placer at rest may use. See docs/liveness.md.
pub(crate) fn max_idle_pings_per_s() -> u32 {
    40
}
/// Well below the four to six minutes after which load balancers and firewalls forget a silent connection.
pub(crate) fn max_idle_ping_interval() -> u64 {
    90_000
}
pub(crate) fn lost_after() -> u64 {
    5_000
}
pub(crate) fn max_unwritten() -> usize {
    256 << 10
}
pub(crate) fn max_attempts() -> u32 {
    3
}
pub(crate) fn ask_within() -> u64 {
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
