//! The settings object of a launch, in the library's terms. Keys that are not used are skipped.

use maplethread::{
    AcceptancePoint, Class, Costs, DeduplicationScope, DiscoveryMode, Limits, LoadReport, Micros,
    Resources, RetrySafety, Rules, Settings, SpreadLimit, TopologyLevel,
};
use serde_json::Value;

use crate::field_error::{FieldError, micros};

/// Which of an instance's numbers carry room.
#[derive(Clone, Copy)]
pub struct CapacityReporting {
    /// Lists do.
    pub in_endpoint_lists: bool,
    /// Load reports do.
    pub in_load_reports: bool,
}

/// A part of the settings, found by a path such as `domain.ack`.
#[derive(Clone, Copy)]
struct Node<'a>(&'a Value);

impl<'a> Node<'a> {
    fn find(self, path: &str) -> Option<&'a Value> {
        path.split('.')
            .try_fold(self.0, |value, key| value.get(key))
            .filter(|v| !v.is_null())
    }

    fn require<T>(
        self,
        path: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        self.find(path)
            .and_then(read)
            .ok_or_else(|| FieldError::new("LAUNCH", path, expected.into()))
    }

    fn number(self, path: &str) -> Result<f64, FieldError> {
        self.require(path, "a number", Value::as_f64)
    }

    fn number_or(self, path: &str, absent: f64) -> Result<f64, FieldError> {
        self.find(path).map_or(Ok(absent), |_| self.number(path))
    }

    fn duration(self, path: &str) -> Result<Micros, FieldError> {
        self.number(path).map(micros)
    }

    fn integer(self, path: &str) -> Result<u32, FieldError> {
        self.require(path, "a small whole number", |v| {
            v.as_u64().and_then(|n| u32::try_from(n).ok())
        })
    }

    fn bool(self, path: &str) -> Result<bool, FieldError> {
        self.require(path, "true or false", Value::as_bool)
    }

    fn string(self, path: &str) -> Result<&'a str, FieldError> {
        self.require(path, "text", Value::as_str)
    }

    fn array(self, path: &str) -> Result<&'a [Value], FieldError> {
        self.require(path, "an array", |v| v.as_array().map(Vec::as_slice))
    }

    /// The `index`th of a list that has one value for each class or kind.
    fn number_at(self, path: &str, index: usize) -> Result<f64, FieldError> {
        let value = self.array(path)?.get(index).and_then(Value::as_f64);
        value.ok_or_else(|| {
            FieldError::new("LAUNCH", path, "a number for each class or kind".into())
        })
    }
}

/// Reads the settings object; the error names the first key that is missing or wrong.
pub fn decode_policy_settings(info: &Value) -> Result<(Settings, CapacityReporting), FieldError> {
    let at = Node(info);
    let report = decode_load_report(at)?;
    let settings = Settings {
        replica_count: at.integer("peersTotal")?,
        replica_index: at.integer("ordinal")?,
        zone: at.integer("zone")?,
        classes: (0..at.array("classes")?.len())
            .map(|i| decode_class(at, i))
            .collect::<Result<_, _>>()?,
        kinds: (0..at.array("domain.kindCores")?.len())
            .map(|i| decode_machine_kind(at, i))
            .collect::<Result<_, _>>()?,
        discovery: match at.string("registryMode")? {
            "push" => DiscoveryMode::Watch,
            "ask" => DiscoveryMode::Poll,
            _ => {
                return Err(FieldError::new(
                    "LAUNCH",
                    "registryMode",
                    "push or ask".into(),
                ));
            }
        },
        acceptance_point: match at.string("domain.ack")? {
            "accepted" => AcceptancePoint::Accepted,
            "running" => AcceptancePoint::Running,
            _ => {
                return Err(FieldError::new(
                    "LAUNCH",
                    "domain.ack",
                    "accepted or running".into(),
                ));
            }
        },
        admit_cores: at.number("domain.admitCores")?,
        admit_memory: at.number("domain.admitMemory")?,
        endpoints_report_capacity: at.bool("domain.listsFree")?,
        load_report: report,
        limits: Limits {
            max_attempts: at.integer("allowed.maxAttempts")?,
            can_cancel: at.bool("allowed.mayCancel")?,
            can_probe: at.bool("allowed.probes")?,
            can_message_peers: at.bool("allowed.peers")?,
            max_retry_after: match at.bool("allowed.retryAfter")? {
                true => Some(at.duration("allowed.maxRetryAfterMs")?),
                false => None,
            },
        },
        rules: Rules {
            max_poll_interval: at.duration("invariants.askWithinMs")?,
            initial_capacity_share: at.number("invariants.coldFrom")?,
            warm_up_duration: at.duration("invariants.coldMs")?,
            overload_multiple: at.number("invariants.fallMultiple")?,
            overload_window: at.duration("invariants.tipAfterMs")?,
            warm_up_offers: at.number_or("domain.freshOffers", 0.0)?,
        },
        costs: Costs {
            rejection: at.number_or("domain.noPrice", 0.0)?,
            cross_zone: at.number_or("fees.crossZone", 0.0)?,
            fleet: at.number_or("fees.fleet", 0.0)?,
            migration: at.number_or("fees.moves", 0.0)?,
        },
    };
    let reports = CapacityReporting {
        in_endpoint_lists: settings.endpoints_report_capacity,
        in_load_reports: report != LoadReport::Silent,
    };
    Ok((settings, reports))
}

/// What the settings object says of the platform, besides the decisions' part.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The names of the classes.
    pub class_names: Vec<String>,
    /// The names of the zones.
    pub zone_names: Vec<String>,
    /// The names of the kinds of machines.
    pub machine_kind_names: Vec<String>,
    /// A connection that is not up after this has failed.
    pub connect_timeout: Micros,
    /// Hosts close connections that were idle for this long.
    pub idle_timeout: Micros,
    /// The longest that owners of any class wait for an answer.
    pub max_deadline: Micros,
    /// Tests of connections are paid for.
    pub are_probes_charged: bool,
}

/// Reads those; the error names the first key that is missing or wrong.
pub fn decode_platform_settings(info: &Value) -> Result<PlatformSettings, FieldError> {
    let at = Node(info);
    let texts = |path: &str, key: &str| -> Result<Vec<String>, FieldError> {
        let name = |v: &Value| {
            if key.is_empty() {
                v.as_str()
            } else {
                v.get(key)?.as_str()
            }
            .map(str::to_owned)
        };
        at.require(path, "names", |v| v.as_array()?.iter().map(name).collect())
    };
    let span = |path: &str| {
        at.require(path, "milliseconds, above 0", |v| {
            v.as_f64().filter(|&ms| ms > 0.0)
        })
        .map(micros)
    };
    let classes = at.array("classes")?;
    let deadlines = classes
        .iter()
        .map(|class| Node(class).number_or("giveUpMs", f64::INFINITY));
    let longest = deadlines
        .collect::<Result<Vec<f64>, _>>()?
        .into_iter()
        .fold(0.0, f64::max);
    Ok(PlatformSettings {
        max_deadline: micros(longest),
        are_probes_charged: at.bool("allowed.probes")? && at.number_or("fees.probe", 0.0)? > 0.0,
        class_names: texts("classes", "name")?,
        zone_names: texts("zones", "")?,
        machine_kind_names: texts("shapes", "")?,
        connect_timeout: span("allowed.connectTimeoutMs")?,
        idle_timeout: span("allowed.idleCloseMs")?,
    })
}

fn decode_load_report(at: Node) -> Result<LoadReport, FieldError> {
    let fields = at.array("reporting.fields")?;
    let both = ["x0", "x1"]
        .iter()
        .all(|name| fields.iter().any(|f| f.as_str() == Some(name)));
    if at.string("reporting.how")? == "silent" || !both {
        return Ok(LoadReport::Silent);
    }
    match at.string("domain.freeBy")? {
        "asked" => Ok(LoadReport::Unallocated),
        "used" => Ok(LoadReport::Unused),
        _ => Err(FieldError::new(
            "LAUNCH",
            "domain.freeBy",
            "asked or used".into(),
        )),
    }
}

fn decode_class(at: Node, index: usize) -> Result<Class, FieldError> {
    let own = Node(&at.array("classes")?[index]);
    let effect = match own.string("effect")? {
        "pure" => RetrySafety::Idempotent,
        "side_effect" => RetrySafety::NonIdempotent,
        "token" => RetrySafety::IdempotencyKey {
            scope: match own.string("group")? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                _ => {
                    return Err(FieldError::new(
                        "LAUNCH",
                        "classes.group",
                        "all, zone or cell".into(),
                    ));
                }
            },
            window: own.duration("windowMs")?,
        },
        _ => {
            return Err(FieldError::new(
                "LAUNCH",
                "classes.effect",
                "pure, token or side_effect".into(),
            ));
        }
    };
    let over = at
        .array("domain.spreadOver")?
        .get(index)
        .and_then(Value::as_str);
    let place = match over {
        Some("silent") => None,
        Some("machine") => Some(TopologyLevel::Machine),
        Some("cell") => Some(TopologyLevel::Cell),
        Some("zone") => Some(TopologyLevel::Zone),
        _ => {
            return Err(FieldError::new(
                "LAUNCH",
                "domain.spreadOver",
                "a place for each class".into(),
            ));
        }
    };
    let most = at.number_at("domain.spreadMost", index)?;
    let kind = at.number_at("domain.kindByClass", index)?;
    Ok(Class {
        retry_safety: effect,
        latency_objective: own.duration("aimMs")?,
        priority_weight: own.number("worth")?,
        start_bonus_s: at.number_at("domain.startBonusS", index)?,
        priority: at.number_at("domain.classPriority", index)? as u32,
        machine_kind: (kind >= 0.0).then_some(kind as usize),
        spread_limit: place.map(|level| SpreadLimit {
            level,
            max_tasks: most as u32,
        }),
    })
}

fn decode_machine_kind(at: Node, index: usize) -> Result<Resources, FieldError> {
    Ok(Resources {
        cores: at.number_at("domain.kindCores", index)?,
        memory: at.number_at("domain.memoryByKind", index)?,
    })
}
