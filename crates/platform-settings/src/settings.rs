//! Decoding of the settings object that a placer receives at its start. Unused keys are ignored.

use maplethread::{
    AcceptancePoint, CallerLimits, Class, Costs, DeduplicationScope, DiscoveryMode,
    LoadReportContent, Micros, Resources, RetrySafety, Rules, Settings, SpreadLimit, TopologyLevel,
};
use serde_json::Value;

use crate::settings_object::SettingsObject;
use crate::{FieldError, micros_from_ms};

/// Where the capacity of machines is reported.
#[derive(Clone, Copy, Debug)]
pub struct CapacityReporting {
    /// Whether endpoint lists contain the capacity.
    pub in_endpoint_lists: bool,
    /// Whether load reports contain the capacity.
    pub in_load_reports: bool,
}

/// Decodes the part of the settings object that the policy uses.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_policy_settings(
    settings: &Value,
) -> Result<(Settings, CapacityReporting), FieldError> {
    let root = SettingsObject::new(settings);
    let load_report = decode_load_report(root)?;
    let settings = Settings {
        replica_count: root.integer("peersTotal")?,
        replica_index: root.integer("ordinal")?,
        zone: root.integer("zone")?,
        classes: (0..root.array("classes")?.len())
            .map(|index| decode_class(root, index))
            .collect::<Result<_, _>>()?,
        machine_kinds: (0..root.array("domain.kindCores")?.len())
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
        load_report_content: load_report,
        limits: decode_limits(root)?,
        rules: decode_rules(root)?,
        costs: decode_costs(root)?,
    };
    let reporting = CapacityReporting {
        in_endpoint_lists: settings.endpoints_report_capacity,
        in_load_reports: load_report != LoadReportContent::Nothing,
    };
    Ok((settings, reporting))
}

fn decode_limits(root: SettingsObject) -> Result<CallerLimits, FieldError> {
    Ok(CallerLimits {
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

fn decode_rules(root: SettingsObject) -> Result<Rules, FieldError> {
    Ok(Rules {
        max_poll_interval: root.duration("invariants.askWithinMs")?,
        initial_capacity_share: root.number("invariants.coldFrom")?,
        warm_up_duration: root.duration("invariants.coldMs")?,
        overload_multiple: root.number("invariants.fallMultiple")?,
        overload_window: root.duration("invariants.tipAfterMs")?,
        warm_up_offers_per_window: root.number_or("domain.freshOffers", 0.0)?,
    })
}

fn decode_costs(root: SettingsObject) -> Result<Costs, FieldError> {
    Ok(Costs {
        rejection: root.number_or("domain.noPrice", 0.0)?,
        cross_zone: root.number_or("fees.crossZone", 0.0)?,
        machines_in_use: root.number_or("fees.fleet", 0.0)?,
        migration: root.number_or("fees.moves", 0.0)?,
    })
}

fn decode_load_report(root: SettingsObject) -> Result<LoadReportContent, FieldError> {
    let fields = root.array("reporting.fields")?;
    let has_field = |name: &str| fields.iter().any(|field| field.as_str() == Some(name));
    let has_cores_and_memory = has_field("x0") && has_field("x1");
    if root.string("reporting.how")? == "silent" || !has_cores_and_memory {
        return Ok(LoadReportContent::Nothing);
    }
    root.one_of(
        "domain.freeBy",
        "asked or used",
        &[
            ("asked", LoadReportContent::UnallocatedResources),
            ("used", LoadReportContent::UnusedResources),
        ],
    )
}

fn decode_class(root: SettingsObject, index: usize) -> Result<Class, FieldError> {
    let class = SettingsObject::new(&root.array("classes")?[index]);
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

fn decode_retry_safety(class: SettingsObject) -> Result<RetrySafety, FieldError> {
    match class.string("effect")? {
        "pure" => Ok(RetrySafety::Idempotent),
        "side_effect" => Ok(RetrySafety::NonIdempotent),
        "token" => Ok(RetrySafety::IdempotencyKey {
            scope: decode_deduplication_scope(class)?,
            window: class.duration("windowMs")?,
        }),
        _ => Err(SettingsObject::error(
            "classes.effect",
            "pure, token or side_effect",
        )),
    }
}

fn decode_deduplication_scope(class: SettingsObject) -> Result<DeduplicationScope, FieldError> {
    match class.string("group")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        _ => Err(SettingsObject::error("classes.group", "all, zone or cell")),
    }
}

/// The topology level of the spread limit of a class, or none if the class has no limit.
fn decode_spread_level(
    root: SettingsObject,
    class: usize,
) -> Result<Option<TopologyLevel>, FieldError> {
    let level = root
        .array("domain.spreadOver")?
        .get(class)
        .and_then(Value::as_str);
    match level {
        Some("silent") => Ok(None),
        Some("machine") => Ok(Some(TopologyLevel::Machine)),
        Some("cell") => Ok(Some(TopologyLevel::Cell)),
        Some("zone") => Ok(Some(TopologyLevel::Zone)),
        _ => Err(SettingsObject::error(
            "domain.spreadOver",
            "silent (no limit), machine, cell or zone for each class",
        )),
    }
}

fn decode_machine_kind(root: SettingsObject, index: usize) -> Result<Resources, FieldError> {
    Ok(Resources {
        cores: root.number_at("domain.kindCores", index)?,
        memory: root.number_at("domain.memoryByKind", index)?,
    })
}

/// The part of the settings object that the placer uses outside the policy.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The names of the task classes.
    pub class_names: Vec<String>,
    /// The names of the zones.
    pub zone_names: Vec<String>,
    /// The names of the machine types.
    pub machine_kind_names: Vec<String>,
    /// A connect that takes longer than this has failed.
    pub connect_timeout: Micros,
    /// Hosts close connections that were idle for this long.
    pub idle_timeout: Micros,
    /// The longest deadline of all classes: how long an owner waits for an answer at most.
    pub max_deadline: Micros,
    /// Whether the platform charges for health checks of connections.
    pub are_probes_charged: bool,
}

/// Decodes the part of the settings object that the placer uses outside the policy.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_platform_settings(settings: &Value) -> Result<PlatformSettings, FieldError> {
    let root = SettingsObject::new(settings);
    let max_deadline_ms = root
        .array("classes")?
        .iter()
        .map(|class| SettingsObject::new(class).number_or("giveUpMs", f64::INFINITY))
        .try_fold(0.0, |longest: f64, deadline_ms| {
            deadline_ms.map(|deadline_ms| longest.max(deadline_ms))
        })?;
    Ok(PlatformSettings {
        max_deadline: micros_from_ms(max_deadline_ms),
        are_probes_charged: root.bool("allowed.probes")?
            && root.number_or("fees.probe", 0.0)? > 0.0,
        class_names: root.strings("classes", |class| class.get("name")?.as_str())?,
        zone_names: root.strings("zones", Value::as_str)?,
        machine_kind_names: root.strings("shapes", Value::as_str)?,
        connect_timeout: root.positive_duration("allowed.connectTimeoutMs")?,
        idle_timeout: root.positive_duration("allowed.idleCloseMs")?,
    })
}
