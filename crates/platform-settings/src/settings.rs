//! Decoding of the settings object, which a placer gets at its start. Keys that are not used are ignored.

use maplethread::{
    AcceptancePoint, Class, Costs, DeduplicationScope, DiscoveryMode, Limits, LoadReport, Micros,
    Resources, RetrySafety, Rules, Settings, SpreadLimit, TopologyLevel,
};
use serde_json::Value;

use crate::node::Node;
use crate::{FieldError, micros};

/// Where a placer learns the capacity of machines.
#[derive(Clone, Copy, Debug)]
pub struct CapacityReporting {
    /// From the entries of endpoint lists.
    pub in_endpoint_lists: bool,
    /// From load reports.
    pub in_load_reports: bool,
}

/// Decodes the part of the settings object that the decisions use.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_policy_settings(
    settings: &Value,
) -> Result<(Settings, CapacityReporting), FieldError> {
    let root = Node::root(settings);
    let load_report = decode_load_report(root)?;
    let settings = Settings {
        replica_count: root.integer("peersTotal")?,
        replica_index: root.integer("ordinal")?,
        zone: root.integer("zone")?,
        classes: (0..root.array("classes")?.len())
            .map(|index| decode_class(root, index))
            .collect::<Result<_, _>>()?,
        kinds: (0..root.array("domain.kindCores")?.len())
            .map(|index| decode_machine_kind(root, index))
            .collect::<Result<_, _>>()?,
        discovery: root.one_of(
            "registryMode",
            "push or ask",
            &[("push", DiscoveryMode::Watch), ("ask", DiscoveryMode::Poll)],
        )?,
        acceptance_point: root.one_of(
            "domain.ack",
            "accepted or running",
            &[
                ("accepted", AcceptancePoint::Accepted),
                ("running", AcceptancePoint::Running),
            ],
        )?,
        cpu_overcommit: root.number("domain.admitCores")?,
        memory_overcommit: root.number("domain.admitMemory")?,
        endpoints_report_capacity: root.bool("domain.listsFree")?,
        load_report,
        limits: decode_limits(root)?,
        rules: decode_rules(root)?,
        costs: decode_costs(root)?,
    };
    let reporting = CapacityReporting {
        in_endpoint_lists: settings.endpoints_report_capacity,
        in_load_reports: load_report != LoadReport::Silent,
    };
    Ok((settings, reporting))
}

fn decode_limits(root: Node) -> Result<Limits, FieldError> {
    Ok(Limits {
        max_attempts: root.integer("allowed.maxAttempts")?,
        can_cancel: root.bool("allowed.mayCancel")?,
        can_probe: root.bool("allowed.probes")?,
        can_message_peers: root.bool("allowed.peers")?,
        max_retry_after: match root.bool("allowed.retryAfter")? {
            true => Some(root.duration("allowed.maxRetryAfterMs")?),
            false => None,
        },
    })
}

fn decode_rules(root: Node) -> Result<Rules, FieldError> {
    Ok(Rules {
        max_poll_interval: root.duration("invariants.askWithinMs")?,
        initial_capacity_share: root.number("invariants.coldFrom")?,
        warm_up_duration: root.duration("invariants.coldMs")?,
        overload_multiple: root.number("invariants.fallMultiple")?,
        overload_window: root.duration("invariants.tipAfterMs")?,
        warm_up_offers: root.number_or("domain.freshOffers", 0.0)?,
    })
}

fn decode_costs(root: Node) -> Result<Costs, FieldError> {
    Ok(Costs {
        rejection: root.number_or("domain.noPrice", 0.0)?,
        cross_zone: root.number_or("fees.crossZone", 0.0)?,
        machines_in_use: root.number_or("fees.fleet", 0.0)?,
        migration: root.number_or("fees.moves", 0.0)?,
    })
}

fn decode_load_report(root: Node) -> Result<LoadReport, FieldError> {
    let fields = root.array("reporting.fields")?;
    let has_field = |name: &str| fields.iter().any(|field| field.as_str() == Some(name));
    let has_cores_and_memory = has_field("x0") && has_field("x1");
    if root.string("reporting.how")? == "silent" || !has_cores_and_memory {
        return Ok(LoadReport::Silent);
    }
    root.one_of(
        "domain.freeBy",
        "asked or used",
        &[
            ("asked", LoadReport::Unallocated),
            ("used", LoadReport::Unused),
        ],
    )
}

fn decode_class(root: Node, index: usize) -> Result<Class, FieldError> {
    let class = Node::root(&root.array("classes")?[index]);
    let retry_safety = decode_retry_safety(class)?;
    let spread_level = decode_spread_level(root, index)?;
    let max_tasks = root.number_at("domain.spreadMost", index)?;
    let machine_kind = root.number_at("domain.kindByClass", index)?;
    Ok(Class {
        retry_safety,
        latency_objective: class.duration("aimMs")?,
        priority_weight: class.number("worth")?,
        start_bonus_s: root.number_at("domain.startBonusS", index)?,
        priority: root.number_at("domain.classPriority", index)? as u32,
        machine_kind: (machine_kind >= 0.0).then_some(machine_kind as usize),
        spread_limit: spread_level.map(|level| SpreadLimit {
            level,
            max_tasks: max_tasks as u32,
        }),
    })
}

fn decode_retry_safety(class: Node) -> Result<RetrySafety, FieldError> {
    match class.string("effect")? {
        "pure" => Ok(RetrySafety::Idempotent),
        "side_effect" => Ok(RetrySafety::NonIdempotent),
        "token" => Ok(RetrySafety::IdempotencyKey {
            scope: decode_deduplication_scope(class)?,
            window: class.duration("windowMs")?,
        }),
        _ => Err(Node::error("classes.effect", "pure, token or side_effect")),
    }
}

fn decode_deduplication_scope(class: Node) -> Result<DeduplicationScope, FieldError> {
    match class.string("group")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        _ => Err(Node::error("classes.group", "all, zone or cell")),
    }
}

/// The level at which tasks of a service of this class are spread; none where the class sets no limit.
fn decode_spread_level(root: Node, class: usize) -> Result<Option<TopologyLevel>, FieldError> {
    let level = root
        .array("domain.spreadOver")?
        .get(class)
        .and_then(Value::as_str);
    match level {
        Some("silent") => Ok(None),
        Some("machine") => Ok(Some(TopologyLevel::Machine)),
        Some("cell") => Ok(Some(TopologyLevel::Cell)),
        Some("zone") => Ok(Some(TopologyLevel::Zone)),
        _ => Err(Node::error("domain.spreadOver", "a place for each class")),
    }
}

fn decode_machine_kind(root: Node, index: usize) -> Result<Resources, FieldError> {
    Ok(Resources {
        cores: root.number_at("domain.kindCores", index)?,
        memory: root.number_at("domain.memoryByKind", index)?,
    })
}

/// The part of the settings object that the service itself uses, besides the decisions' part.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The names of the classes of tasks.
    pub class_names: Vec<String>,
    /// The names of the zones.
    pub zone_names: Vec<String>,
    /// The names of the kinds of machines.
    pub machine_kind_names: Vec<String>,
    /// A connection that is not established after this time has failed, in microseconds.
    pub connect_timeout: Micros,
    /// Hosts close connections that were idle for this long, in microseconds.
    pub idle_timeout: Micros,
    /// The longest time that an owner of any class waits for an answer, in microseconds.
    pub max_deadline: Micros,
    /// Whether health checks of connections are charged for.
    pub are_probes_charged: bool,
}

/// Decodes the part of the settings object that the service itself uses.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_platform_settings(settings: &Value) -> Result<PlatformSettings, FieldError> {
    let root = Node::root(settings);
    let max_deadline_ms = root
        .array("classes")?
        .iter()
        .map(|class| Node::root(class).number_or("giveUpMs", f64::INFINITY))
        .try_fold(0.0, |longest: f64, deadline| {
            deadline.map(|deadline| longest.max(deadline))
        })?;
    Ok(PlatformSettings {
        max_deadline: micros(max_deadline_ms),
        are_probes_charged: root.bool("allowed.probes")?
            && root.number_or("fees.probe", 0.0)? > 0.0,
        class_names: root.strings("classes", |class| class.get("name")?.as_str())?,
        zone_names: root.strings("zones", Value::as_str)?,
        machine_kind_names: root.strings("shapes", Value::as_str)?,
        connect_timeout: root.positive_duration("allowed.connectTimeoutMs")?,
        idle_timeout: root.positive_duration("allowed.idleCloseMs")?,
    })
}
