//! A placer's settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::class::{HostKind, TaskClass};
use crate::consul::ConsulSettings;
use crate::defaults as d;
use crate::error::{ConfigErrors, Document, parse_toml};
use crate::fleet::FleetSettings;
use crate::trace::TraceSettings;

/// A placer's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacerConfig {
    /// The placer's identity.
    #[serde(rename = "placer")]
    pub identity: Identity,
    /// The API for clients.
    pub api: ApiSettings,
    /// The hosts and the connections to them.
    pub hosts: HostSettings,
    /// Consul as the source of hosts, in place of an inventory file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub consul: Option<ConsulSettings>,
    /// The placers' membership protocol; off if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetSettings>,
    /// Trace files of all events and decisions; none if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<TraceSettings>,
    /// Admission of tasks by hosts, and the load that hosts report.
    #[serde(default)]
    #[serde(rename = "placing")]
    pub placement: PlacementSettings,
    /// Parameters of the placement rules.
    pub rules: RuleSettings,
    /// Costs that placement takes into account.
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

/// A placer's identity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Its name, the same after a restart: hosts identify its tasks by it.
    pub name: String,
    /// Its index among the placers, counted from 0.
    #[serde(rename = "number")]
    pub replica_index: u32,
    /// Number of placers that share the hosts.
    #[serde(rename = "placers")]
    pub replica_count: u32,
    /// Its zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Seed of its random numbers; chosen at startup if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

/// The API for clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Api")]
pub struct ApiSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of client connections; further ones get 503.
    #[serde(default = "d::max_clients")]
    pub max_clients: usize,
    /// Maximum number of placement requests without an answer; further ones get 503.
    #[serde(default = "d::max_pending_requests")]
    #[serde(rename = "max_asks")]
    pub max_pending_requests: usize,
    /// Maximum number of actors; requests for further ones get 503.
    #[serde(default = "d::max_actors")]
    pub max_actors: usize,
    /// Maximum size of a request's body; larger ones get 413.
    #[serde(default = "d::max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum size of answers that a client has not read yet; a client above it is disconnected.
    #[serde(default = "d::max_unsent_bytes")]
    #[serde(rename = "max_unread_bytes")]
    pub max_unsent_bytes: usize,
    /// Maximum number of requests in progress on one connection; further ones wait in the socket.
    #[serde(default = "d::max_pipelined")]
    pub max_pipelined: usize,
    /// Maximum time budget of a request; a longer one is reduced to it.
    #[serde(default = "d::max_budget_ms")]
    pub max_budget_ms: u64,
    /// A request must be complete this long after its first byte.
    #[serde(default = "d::request_timeout_ms")]
    #[serde(rename = "request_within_ms")]
    pub request_timeout_ms: u64,
    /// A connection without requests is closed after this time.
    #[serde(default = "d::idle_timeout_ms")]
    #[serde(rename = "idle_close_ms")]
    pub idle_timeout_ms: u64,
    /// How long an answer is kept, ms, to be repeated for requests with the same Idempotency-Key.
    #[serde(default = "d::answer_retention_ms")]
    #[serde(rename = "answers_kept_ms")]
    pub answer_retention_ms: u64,
    /// Maximum number of answers that are kept for their Idempotency-Key; above it, the oldest are removed.
    #[serde(default = "d::max_kept_answers")]
    #[serde(rename = "answers_kept")]
    pub max_kept_answers: usize,
    /// Number of life-cycle events that are kept for clients that follow them.
    #[serde(default = "d::max_kept_events")]
    #[serde(rename = "events_kept")]
    pub max_kept_events: usize,
    /// If an abandoned attempt of a keyed or unsafe actor may still start, new requests for the actor are rejected for
    /// this long, ms.
    #[serde(default = "d::resubmission_hold_ms")]
    #[serde(rename = "settle_ms")]
    pub resubmission_hold_ms: u64,
    /// During shutdown, pending requests have this long to be answered.
    #[serde(default = "d::shutdown_grace_ms")]
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
    /// Maximum number of hosts; a longer inventory is rejected.
    #[serde(default = "d::max_hosts")]
    pub max_hosts: usize,
    /// Timeout for establishing a connection, up to the greeting.
    #[serde(default = "d::connect_timeout_ms")]
    #[serde(rename = "connect_within_ms")]
    pub connect_timeout_ms: u64,
    /// The delay before the first new attempt to connect, ms. It doubles with each failure, up to `reconnect_most_ms`.
    #[serde(default = "d::min_reconnect_delay_ms")]
    #[serde(rename = "reconnect_first_ms")]
    pub min_reconnect_delay_ms: u64,
    /// Maximum delay before a new attempt to connect, ms. Each delay is drawn at random between half of the doubled
    /// delay and the whole.
    #[serde(default = "d::max_reconnect_delay_ms")]
    #[serde(rename = "reconnect_most_ms")]
    pub max_reconnect_delay_ms: u64,
    /// Interval between pings of a host with attempts or tasks of this placer, ms. No ping is sent if the host has sent
    /// another message within the interval.
    #[serde(default = "d::ping_interval_ms")]
    #[serde(rename = "ping_every_ms")]
    pub ping_interval_ms: u64,
    /// Time without a message from such a host after which it is disconnected, ms.
    #[serde(default = "d::silence_timeout_ms")]
    #[serde(rename = "silent_after_ms")]
    pub silence_timeout_ms: u64,
    /// Maximum number of pings per second to all other hosts together: the ping interval of each grows with their
    /// number.
    #[serde(default = "d::max_idle_pings_per_s")]
    pub max_idle_pings_per_s: u32,
    /// Maximum ping interval of such a host, ms. If there are too many hosts for it, the rate of pings is exceeded.
    #[serde(default = "d::max_idle_ping_interval_ms")]
    pub max_idle_ping_interval_ms: u64,
    /// Tasks of a host without a connection for this long are reported as lost.
    #[serde(default = "d::loss_timeout_ms")]
    #[serde(rename = "lost_after_ms")]
    pub loss_timeout_ms: u64,
    /// Maximum number of bytes waiting to be written to a host; no offers are sent above it.
    #[serde(default = "d::max_unwritten_bytes")]
    pub max_unwritten_bytes: usize,
}

/// Admission of tasks by hosts, and the load that hosts report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Placing")]
pub struct PlacementSettings {
    /// When an actor counts as placed.
    #[serde(default)]
    #[serde(rename = "placed_when")]
    pub acceptance_point: AcceptancePoint,
    /// Maximum number of attempts per request.
    #[serde(default = "d::max_attempts")]
    pub max_attempts: u32,
    /// The maximum of the cores that a host's tasks request together, as a multiple of its cores.
    #[serde(default = "d::one")]
    pub admit_cores: f64,
    /// The maximum of the memory that a host's tasks request together, as a multiple of its memory.
    #[serde(default = "d::one")]
    pub admit_memory: f64,
    /// The meaning of the load that hosts report with their answers.
    #[serde(default)]
    pub load_report: LoadReport,
    /// Whether the inventory reports unallocated resources.
    #[serde(default)]
    #[serde(rename = "inventory_tells_room")]
    pub inventory_reports_unallocated: bool,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        let (acceptance_point, load_report) = (AcceptancePoint::default(), LoadReport::default());
        let inventory_reports_unallocated = false;
        PlacementSettings {
            acceptance_point,
            max_attempts: 3,
            admit_cores: 1.0,
            admit_memory: 1.0,
            load_report,
            inventory_reports_unallocated,
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

/// The meaning of the load that hosts report with their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReport {
    /// It has no usable meaning.
    #[default]
    #[serde(rename = "silent")]
    Nothing,
    /// Cores and memory that are not allocated to tasks.
    #[serde(rename = "unasked")]
    Unallocated,
    /// Cores and memory that are not in use.
    Unused,
}

/// Parameters of the placement rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Rules")]
pub struct RuleSettings {
    /// Time since its last poll of discovery after which a placer counts as notified of changes of hosts, ms.
    #[serde(default = "d::max_poll_interval_ms")]
    #[serde(rename = "ask_within_ms")]
    pub max_poll_interval_ms: u64,
    /// Share of its capacity that a host has right after its start, at the least.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time after its start until a host has warmed up.
    #[serde(rename = "cold_for_ms")]
    pub warm_up_duration_ms: u64,
    /// Multiple of the offers that a cold host can handle by which it is overloaded, within `fall_window_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Window in which offers to a cold host are counted, ms.
    #[serde(rename = "fall_window_ms")]
    pub overload_window_ms: u64,
    /// Number of offers within that window, from all placers together, that a cold host can always handle.
    #[serde(rename = "fresh_offers")]
    pub warm_up_offers: f64,
}

/// Costs that placement takes into account, as shares of the value of all tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Prices")]
pub struct CostSettings {
    /// Cost of one rejected offer per task.
    #[serde(default)]
    #[serde(rename = "refused")]
    pub rejection: f64,
    /// Cost of running every task in another zone than its placer's.
    #[serde(default)]
    pub cross_zone: f64,
    /// Cost of using all hosts, beyond those needed.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub hosts_in_use: f64,
    /// Cost of one migration per task.
    #[serde(default)]
    #[serde(rename = "moves")]
    pub migration: f64,
}

impl PlacerConfig {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// All errors of the file, each with its line and key.
    pub fn parse(doc: Document<'_>) -> Result<PlacerConfig, ConfigErrors> {
        let config: PlacerConfig = parse_toml(doc)?;
        config.validate(doc)?;
        Ok(config)
    }

    /// Writes the settings as TOML, with every key.
    ///
    /// # Errors
    ///
    /// If a value can't be represented in TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
