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

impl PlacerConfig {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file at once, each with its line and key.
    pub fn parse(doc: Document<'_>) -> Result<PlacerConfig, ConfigErrors> {
        let config: PlacerConfig = parse_toml(doc)?;
        config.validate(doc)?;
        Ok(config)
    }

    /// Writes the settings as TOML, with every key.
    ///
    /// # Errors
    ///
    /// A value that TOML can't hold.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
