//! A placer's settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use maplethread as mt;
use serde::{Deserialize, Serialize};

use crate::defaults as d;
use crate::error::{ConfigErrors, Document, parse_toml};
use crate::fleet::FleetSettings;
use crate::trace::TraceSettings;

/// A placer's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacerConfig {
    /// Who it is.
    #[serde(rename = "placer")]
    pub identity: Identity,
    /// The interface for runtimes.
    pub api: ApiSettings,
    /// The hosts and the connections to them.
    pub hosts: HostSettings,
    /// Consul as the source of hosts, in place of an inventory file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub consul: Option<ConsulSettings>,
    /// The placers' own view of their fleet; none without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
    /// Trace files of all that it sees and decides; none without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<TraceSettings>,
    /// What hosts admit and tell.
    #[serde(default)]
    #[serde(rename = "placing")]
    pub placement: PlacementSettings,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// What things cost.
    #[serde(default)]
    #[serde(rename = "prices")]
    pub costs: CostSettings,
    /// The kinds of hosts.
    #[serde(rename = "kind")]
    pub kinds: Vec<HostKind>,
    /// The classes of tasks.
    #[serde(rename = "class")]
    pub classes: Vec<TaskClass>,
}

/// Who a placer is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Its name, which outlives restarts: hosts know its tasks by it.
    pub name: String,
    /// Which of the placers it is, counted from 0.
    #[serde(rename = "number")]
    pub replica_index: u32,
    /// How many placers share the hosts.
    #[serde(rename = "placers")]
    pub replica_count: u32,
    /// Its zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Seed of its random numbers; drawn at the start where missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// The interface for runtimes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Api")]
pub struct ApiSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Client connections at a time; one more gets 503.
    #[serde(default = "d::max_clients")]
    pub max_clients: usize,
    /// Asks without an answer at a time; one more gets 503.
    #[serde(default = "d::max_asks")]
    #[serde(rename = "max_asks")]
    pub max_pending_requests: usize,
    /// Actors held at a time; an ask beyond gets 503.
    #[serde(default = "d::max_actors")]
    pub max_actors: usize,
    /// Bytes of a request's body; more gets 413.
    #[serde(default = "d::max_body")]
    pub max_body_bytes: usize,
    /// Bytes of answers that may wait for a client to read; beyond it is cut off.
    #[serde(default = "d::max_unread")]
    #[serde(rename = "max_unread_bytes")]
    pub max_unsent_bytes: usize,
    /// Requests in hand on one connection; further ones wait in the socket.
    #[serde(default = "d::max_pipelined")]
    pub max_pipelined: usize,
    /// A longer time budget is cut to this.
    #[serde(default = "d::max_budget")]
    pub max_budget_ms: u64,
    /// A request must be whole this long after its first byte.
    #[serde(default = "d::request_within")]
    #[serde(rename = "request_within_ms")]
    pub request_timeout_ms: u64,
    /// A connection without requests is closed after this.
    #[serde(default = "d::idle")]
    #[serde(rename = "idle_close_ms")]
    pub idle_timeout_ms: u64,
    /// An answer is given again to its Idempotency-Key for this long...
    #[serde(default = "d::answers_kept_ms")]
    #[serde(rename = "answers_kept_ms")]
    pub answer_retention_ms: u64,
    /// ...and so many are kept; beyond it the oldest go first.
    #[serde(default = "d::answers_kept")]
    #[serde(rename = "answers_kept")]
    pub max_kept_answers: usize,
    /// Life-cycle events kept for followers.
    #[serde(default = "d::events_kept")]
    #[serde(rename = "events_kept")]
    pub max_kept_events: usize,
    /// After an attempt of a keyed or unsafe actor that may have run, the actor is not taken again for this long.
    #[serde(default = "d::settle")]
    #[serde(rename = "settle_ms")]
    pub resubmission_hold_ms: u64,
    /// After the word to stop, asks in hand get this long to be answered.
    #[serde(default = "d::stop_within")]
    #[serde(rename = "stop_within_ms")]
    pub shutdown_grace_ms: u64,
}

/// The hosts and the connections to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Hosts")]
pub struct HostSettings {
    /// The inventory file; relative to the settings file. Not with `[consul]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inventory: Option<PathBuf>,
    /// Hosts listed at a time; a longer inventory is refused.
    #[serde(default = "d::max_hosts")]
    pub max_hosts: usize,
    /// A connection must be made and greeted within this.
    #[serde(default = "d::connect_within")]
    #[serde(rename = "connect_within_ms")]
    pub connect_timeout_ms: u64,
    /// The first wait before a new try to connect; it doubles...
    #[serde(default = "d::reconnect_first")]
    #[serde(rename = "reconnect_first_ms")]
    pub min_reconnect_delay_ms: u64,
    /// ...up to this, and each is drawn between half and the whole.
    #[serde(default = "d::reconnect_most")]
    #[serde(rename = "reconnect_most_ms")]
    pub max_reconnect_delay_ms: u64,
    /// A host with attempts or tasks of this placer is pinged this often, unless it is heard anyway...
    #[serde(default = "d::ping_every")]
    #[serde(rename = "ping_every_ms")]
    pub ping_interval_ms: u64,
    /// ...and cut off when it is silent for so long.
    #[serde(default = "d::silent_after")]
    #[serde(rename = "silent_after_ms")]
    pub silence_timeout_ms: u64,
    /// Pings a second to all other hosts together, so that each of them is pinged the less often the more they are...
    #[serde(default = "d::max_idle_pings_per_s")]
    pub max_idle_pings_per_s: u32,
    /// ...but at least this often.
    #[serde(default = "d::max_idle_ping_interval")]
    pub max_idle_ping_interval_ms: u64,
    /// Tasks of a host without a connection for this long are told as lost.
    #[serde(default = "d::lost_after")]
    #[serde(rename = "lost_after_ms")]
    pub loss_timeout_ms: u64,
    /// Bytes that may wait to be written to a host; offers beyond are not sent.
    #[serde(default = "d::max_unwritten")]
    pub max_unwritten_bytes: usize,
}

/// Consul as the source of hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Consul")]
pub struct ConsulSettings {
    /// Servers or agents that speak the HTTP API; one after the other is tried.
    pub servers: Vec<SocketAddr>,
    /// The service under which hosts are registered.
    #[serde(default = "d::host_service")]
    pub service: String,
    /// The datacentre; answers of another one are not taken. Where missing, that of the first answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub datacentre: Option<String>,
    /// A file with the ACL token, relative to the settings file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_file: Option<PathBuf>,
    /// How consistent reads are.
    #[serde(default)]
    #[serde(rename = "reads")]
    pub consistency: ReadConsistency,
    /// A filter expression for the hosts' entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub filter: Option<String>,
    /// Between reads of the whole list, wait for its index alone to move.
    #[serde(default = "d::enabled")]
    pub watch: bool,
    /// A blocking query waits so long for news; at most half of `rules.ask_within_ms`.
    #[serde(default = "d::wait")]
    #[serde(rename = "wait_ms")]
    pub max_wait_ms: u64,
    /// The members of the gossip pool are read this often.
    #[serde(default = "d::members_every")]
    #[serde(rename = "members_every_ms")]
    pub member_read_interval_ms: u64,
    /// A longer answer is refused.
    #[serde(default = "d::max_answer")]
    #[serde(rename = "max_answer_bytes")]
    pub max_response_bytes: usize,
    /// How good news after repeated changes is held back.
    #[serde(default)]
    pub damping: DampingMode,
    /// The placers' own membership.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<SlotLeaseSettings>,
}

/// How consistent reads are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Reads")]
pub enum ReadConsistency {
    /// By the leader.
    #[default]
    Default,
    /// By any server.
    Stale,
    /// By a leader that verified itself.
    Consistent,
}

/// How good news after repeated changes is held back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Damping")]
pub enum DampingMode {
    /// By a penalty that decays.
    Penalty,
    /// Not at all.
    #[default]
    Off,
    /// Always for three seconds; for comparison.
    Hold,
}

/// The placers' own membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Membership")]
pub struct SlotLeaseSettings {
    /// The service under which placers register.
    #[serde(default = "d::placer_service")]
    pub service: String,
    /// Keys of the slots lie under this prefix; `placer.placers` is their number.
    #[serde(default = "d::slots_prefix")]
    #[serde(rename = "prefix")]
    pub key_prefix: String,
    /// TTL of the session and of the check, at least 10 s as Consul has it.
    #[serde(default = "d::ttl")]
    pub ttl_ms: u64,
    /// Nobody takes the slot of a lost session for so long.
    #[serde(default = "d::lock_delay")]
    pub lock_delay_ms: u64,
}

/// What hosts admit and tell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Placing")]
pub struct PlacementSettings {
    /// When an actor counts as placed.
    #[serde(default)]
    #[serde(rename = "placed_when")]
    pub acceptance_point: AcceptancePoint,
    /// Attempts for one ask.
    #[serde(default = "d::max_attempts")]
    pub max_attempts: u32,
    /// Hosts admit while asks stay within this multiple of their cores.
    #[serde(default = "d::one_by_default")]
    pub admit_cores: f64,
    /// The same for memory.
    #[serde(default = "d::one_by_default")]
    pub admit_memory: f64,
    /// What the load that comes with answers tells.
    #[serde(default)]
    pub load_report: LoadReport,
    /// The inventory tells what nobody asked for.
    #[serde(default)]
    #[serde(rename = "inventory_tells_room")]
    pub inventory_reports_unallocated: bool,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        let (placed_when, load_report) = (AcceptancePoint::default(), LoadReport::default());
        let inventory_tells_room = false;
        PlacementSettings {
            acceptance_point: placed_when,
            max_attempts: 3,
            admit_cores: 1.0,
            admit_memory: 1.0,
            load_report,
            inventory_reports_unallocated: inventory_tells_room,
        }
    }
}

/// When an actor counts as placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum PlacedWhen")]
pub enum AcceptancePoint {
    /// Once a host has accepted it.
    #[default]
    Accepted,
    /// Once it runs.
    Running,
}

/// What the load that comes with answers tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReport {
    /// Nothing of use.
    #[default]
    Silent,
    /// Cores and memory that nobody asked for.
    #[serde(rename = "unasked")]
    Unallocated,
    /// Cores and memory not in use.
    Unused,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Rules")]
pub struct RuleSettings {
    /// Silence towards discovery for this long counts as being told.
    #[serde(default = "d::ask_within")]
    #[serde(rename = "ask_within_ms")]
    pub max_poll_interval_ms: u64,
    /// The least share of its pace that a host has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// A host is warm after this.
    #[serde(rename = "cold_for_ms")]
    pub warm_up_duration_ms: u64,
    /// A cold host falls over when sent this many times what it can do...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ...for this long.
    #[serde(rename = "fall_window_ms")]
    pub overload_window_ms: u64,
    /// Offers in that time, from all placers, that a cold host always bears.
    #[serde(rename = "fresh_offers")]
    pub warm_up_offers: f64,
}

/// What things cost, in shares of the whole worth.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Prices")]
pub struct CostSettings {
    /// One refused offer for every task.
    #[serde(default)]
    #[serde(rename = "refused")]
    pub rejection: f64,
    /// Every task in another zone than its placer's.
    #[serde(default)]
    pub cross_zone: f64,
    /// As many hosts in use as there are, beyond those needed.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub hosts_in_use: f64,
    /// One move for every task.
    #[serde(default)]
    #[serde(rename = "moves")]
    pub migration: f64,
}

/// A kind of host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Kind")]
pub struct HostKind {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory_gib: f64,
}

/// What a second start does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Effect")]
pub enum RetrySafety {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// The hosts of a group let one copy stand.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// It must never happen.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A set of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Group")]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A place over which a service is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Place")]
pub enum TopologyLevel {
    /// One host.
    Host,
    /// One cell.
    Cell,
    /// One zone.
    Zone,
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Class")]
pub struct TaskClass {
    /// Its name.
    pub name: String,
    /// What a second start does.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// For keyed ones: where copies are recognised...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// ...and how long, from the first send on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "window_ms")]
    pub deduplication_window_ms: Option<u64>,
    /// A start within this earns all it can.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Worth of a second at mean size.
    #[serde(default = "d::one_by_default")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    #[serde(default)]
    pub start_bonus_s: f64,
    /// Higher ones push out lower ones.
    #[serde(default)]
    pub priority: u32,
    /// The only kind of host that takes it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Where tasks of one service are limited...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_over")]
    pub spread_level: Option<TopologyLevel>,
    /// ...to so many of one placer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_most")]
    pub max_per_domain: Option<u32>,
}

const MICROS_PER_MS: u64 = 1000;

impl PlacerConfig {
    /// Parses and checks a settings file; all that is wrong is told at once.
    pub fn parse(doc: Document<'_>) -> Result<PlacerConfig, ConfigErrors> {
        let config: PlacerConfig = parse_toml(doc)?;
        config.validate(doc)?;
        Ok(config)
    }

    /// Writes it as TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }

    /// The module's settings.
    pub fn policy_settings(&self) -> mt::Settings {
        let index = |zone: &String| {
            self.identity
                .zones
                .iter()
                .position(|z| z == zone)
                .unwrap_or(0) as u32
        };
        let class = |c: &TaskClass| mt::Class {
            retry_safety: match c.retry_safety {
                RetrySafety::Idempotent => mt::RetrySafety::Idempotent,
                RetrySafety::NonIdempotent => mt::RetrySafety::NonIdempotent,
                RetrySafety::IdempotencyKey => mt::RetrySafety::IdempotencyKey {
                    scope: match c.deduplication_scope {
                        Some(DeduplicationScope::Zone) => mt::DeduplicationScope::Zone,
                        Some(DeduplicationScope::Cell) => mt::DeduplicationScope::Cell,
                        _ => mt::DeduplicationScope::All,
                    },
                    window: c.deduplication_window_ms.unwrap_or(0) * MICROS_PER_MS,
                },
            },
            latency_objective: c.latency_objective_ms * MICROS_PER_MS,
            priority_weight: c.priority_weight,
            start_bonus_s: c.start_bonus_s,
            priority: c.priority,
            machine_kind: c
                .kind
                .as_ref()
                .and_then(|kind| self.kinds.iter().position(|k| &k.name == kind)),
            spread_limit: c
                .spread_level
                .zip(c.max_per_domain)
                .map(|(level, max_tasks)| mt::SpreadLimit {
                    level: match level {
                        TopologyLevel::Host => mt::TopologyLevel::Machine,
                        TopologyLevel::Cell => mt::TopologyLevel::Cell,
                        TopologyLevel::Zone => mt::TopologyLevel::Zone,
                    },
                    max_tasks,
                }),
        };
        mt::Settings {
            replica_count: self.identity.replica_count,
            replica_index: self.identity.replica_index,
            zone: index(&self.identity.zone),
            classes: self.classes.iter().map(class).collect(),
            kinds: self
                .kinds
                .iter()
                .map(|k| mt::Resources::new(k.cores, k.memory_gib))
                .collect(),
            discovery: mt::DiscoveryMode::Watch,
            acceptance_point: match self.placement.acceptance_point {
                AcceptancePoint::Accepted => mt::AcceptancePoint::Accepted,
                AcceptancePoint::Running => mt::AcceptancePoint::Running,
            },
            admit_cores: self.placement.admit_cores,
            admit_memory: self.placement.admit_memory,
            endpoints_report_capacity: self.placement.inventory_reports_unallocated,
            load_report: match self.placement.load_report {
                LoadReport::Silent => mt::LoadReport::Silent,
                LoadReport::Unallocated => mt::LoadReport::Unallocated,
                LoadReport::Unused => mt::LoadReport::Unused,
            },
            limits: mt::Limits {
                max_attempts: self.placement.max_attempts,
                can_cancel: true,
                can_probe: true,
                can_message_peers: false,
                max_retry_after: Some(60_000 * MICROS_PER_MS),
            },
            rules: mt::Rules {
                max_poll_interval: self.rules.max_poll_interval_ms * MICROS_PER_MS,
                initial_capacity_share: self.rules.initial_capacity_share,
                warm_up_duration: self.rules.warm_up_duration_ms * MICROS_PER_MS,
                overload_multiple: self.rules.overload_multiple,
                overload_window: self.rules.overload_window_ms * MICROS_PER_MS,
                warm_up_offers: self.rules.warm_up_offers,
            },
            costs: mt::Costs {
                rejection: self.costs.rejection,
                cross_zone: self.costs.cross_zone,
                fleet: self.costs.hosts_in_use,
                migration: self.costs.migration,
            },
        }
    }
}
