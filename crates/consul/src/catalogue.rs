//! From catalogue entries to hosts: what each status means, and plain errors for entries that can't be used.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use maplethread_config::{HostEntry, HostState};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The status of a check, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// All is well.
    Passing,
    /// It works, but something is to be looked at.
    Warning,
    /// It does not work.
    Critical,
    /// Operators have put it aside.
    Maintenance,
}

impl Status {
    /// What it means for placing.
    pub fn state(self) -> HostState {
        match self {
            Status::Passing | Status::Warning => HostState::Ready,
            Status::Critical | Status::Maintenance => HostState::Draining,
        }
    }
}

/// The status of an agent in the gossip pool (`/v1/agent/members`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// It is there, or nothing is known.
    Alive,
    /// It is about to leave.
    Leaving,
    /// It has left.
    Left,
    /// It was not reached.
    Failed,
}

impl Member {
    /// By Serf's number.
    pub fn from_number(number: i64) -> Member {
        match number {
            2 => Member::Leaving,
            3 => Member::Left,
            4 => Member::Failed,
            _ => Member::Alive,
        }
    }

    /// What it means for placing. It is only ever bad news: an agent that is alive says nothing of the host's process.
    /// The host of a failed or departed agent may still run what it runs, so it drains until it is deregistered.
    pub fn state(self) -> HostState {
        match self {
            Member::Alive => HostState::Ready,
            Member::Leaving | Member::Left | Member::Failed => HostState::Draining,
        }
    }
}

/// A host as the catalogue has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The host; its state is that of its checks.
    pub host: HostEntry,
    /// The node that it runs on.
    pub node: String,
    /// The worst of its checks.
    pub status: Status,
}

/// An entry that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {number} ({name:?}): {why}")]
pub struct BadEntry {
    /// Its place in the answer, counted from 0.
    pub number: usize,
    /// Its service id, as far as it can be read.
    pub name: String,
    /// What is wrong.
    pub why: String,
}

/// What an answer holds.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// Hosts by name.
    pub entries: BTreeMap<String, Entry>,
    /// What could not be used.
    pub bad: Vec<BadEntry>,
    /// The datacentres that entries name.
    pub datacentres: BTreeSet<String>,
}

/// What hosts may be: the names that the placer's settings know.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds.
    pub kinds: Vec<String>,
    /// The most entries taken of one answer.
    pub most: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawEntry {
    node: RawNode,
    service: RawService,
    #[serde(default)]
    checks: Vec<RawCheck>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawNode {
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    datacenter: String,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: i64,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawCheck {
    #[serde(rename = "CheckID", default)]
    check_id: String,
    #[serde(default)]
    status: String,
}

/// An entry's name where the rest of it can't be read.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NameOnly {
    service: IdOnly,
}

#[derive(Deserialize)]
struct IdOnly {
    #[serde(rename = "ID")]
    id: String,
}

/// The longest name or metadata value that is taken in.
const MOST_TEXT: usize = 200;
/// Bad entries that are told one by one.
const MOST_BAD: usize = 100;
/// A start later than this is a mistake (the year 2100, Unix time in ms).
const LATEST_START: u64 = 4_102_444_800_000;

/// Reads the body of `/v1/health/service/:name`. An error means that the body as a whole is no list.
pub fn read(body: &[u8], known: &Known) -> Result<Listed, String> {
    let raw: Vec<&RawValue> =
        serde_json::from_slice(body).map_err(|e| format!("not a list of entries: {e}"))?;
    if raw.len() > known.most {
        return Err(format!("{} entries, {} are taken at most", raw.len(), known.most));
    }
    let mut listed = Listed::default();
    for (number, raw) in raw.iter().enumerate() {
        let result = serde_json::from_str::<RawEntry>(raw.get())
            .map_err(|e| e.to_string())
            .and_then(|entry| host(entry, known, &mut listed.datacentres));
        let why = match result {
            Ok(entry) if listed.entries.contains_key(&entry.host.name) => {
                let other = &listed.entries[&entry.host.name];
                // Two say that they are this host. Neither can be told to be right, so the name gets nothing new.
                let why = format!("its id stands on {} already", other.node);
                if let Some(other) = listed.entries.get_mut(&entry.host.name) {
                    other.status = Status::Critical;
                    other.host.state = HostState::Draining;
                }
                why
            }
            Ok(entry) => {
                listed.entries.insert(entry.host.name.clone(), entry);
                continue;
            }
            Err(why) => why,
        };
        if listed.bad.len() < MOST_BAD {
            let name =
                serde_json::from_str::<NameOnly>(raw.get()).map_or_else(|_| "?".to_owned(), |n| n.service.id);
            let name = name.chars().take(MOST_TEXT).collect();
            listed.bad.push(BadEntry { number, name, why: why.chars().take(MOST_TEXT).collect() });
        }
    }
    Ok(listed)
}

fn host(raw: RawEntry, known: &Known, datacentres: &mut BTreeSet<String>) -> Result<Entry, String> {
    if !raw.node.datacenter.is_empty() && datacentres.len() < 16 {
        datacentres.insert(raw.node.datacenter.clone());
    }
    let named = |what: &str, text: &str| {
        let fine = !text.is_empty() && text.len() <= MOST_TEXT && !text.chars().any(char::is_control);
        if fine { Ok(()) } else { Err(format!("{what}: 1 to {MOST_TEXT} bytes without control characters")) }
    };
    named("Service.ID", &raw.service.id)?;
    named("Node.Node", &raw.node.node)?;
    // The service's own metadata first, then the node's.
    let meta = |key: &str| {
        let of = |m: &Option<BTreeMap<String, String>>| m.as_ref().and_then(|m| m.get(key)).cloned();
        of(&raw.service.meta).or_else(|| of(&raw.node.meta))
    };
    let needed = |key: &str| {
        let value = meta(key).ok_or_else(|| format!("no metadata `{key}`, of the service or its node"))?;
        named(key, &value)?;
        Ok::<String, String>(value)
    };
    let (zone, cell, kind) = (needed("zone")?, needed("cell")?, needed("kind")?);
    if !known.zones.contains(&zone) {
        return Err(format!("zone `{zone}` is not in the placer's settings"));
    }
    if !known.kinds.contains(&kind) {
        return Err(format!("kind `{kind}` is not in the placer's settings"));
    }
    let started_ms = match meta("started_ms") {
        None => None,
        Some(text) => {
            let ms = text.parse::<u64>().ok().filter(|&ms| ms > 0 && ms < LATEST_START);
            Some(ms.ok_or_else(|| "started_ms: not a time in ms since 1970".to_owned())?)
        }
    };
    let ip = if raw.service.address.is_empty() { &raw.node.address } else { &raw.service.address };
    let ip: IpAddr = ip.parse().map_err(|_| "address: not an IP address".to_owned())?;
    let port = u16::try_from(raw.service.port).ok().filter(|&p| p > 0);
    let port = port.ok_or_else(|| format!("port {}: out of range", raw.service.port))?;
    let status = worst(&raw.checks);
    let host = HostEntry {
        name: raw.service.id,
        address: SocketAddr::new(ip, port),
        zone,
        cell,
        kind,
        state: status.state(),
        started_ms,
        unasked_cores: None,
        unasked_memory_gib: None,
    };
    Ok(Entry { host, node: raw.node.node, status })
}

/// The worst of node-level and service-level checks, as Consul merges them. A status that is not known is taken for
/// critical.
fn worst(checks: &[RawCheck]) -> Status {
    let of = |check: &RawCheck| match check.status.as_str() {
        "passing" => Status::Passing,
        "warning" => Status::Warning,
        _ if check.check_id == "_node_maintenance" || check.check_id.starts_with("_service_maintenance:") => {
            Status::Maintenance
        }
        _ => Status::Critical,
    };
    checks.iter().map(of).max().unwrap_or(Status::Passing)
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawMember {
    name: String,
    status: i64,
}

/// Reads the body of `/v1/agent/members`: nodes that are not alive.
pub fn read_members(body: &[u8], most: usize) -> Result<BTreeMap<String, Member>, String> {
    let raw: Vec<&RawValue> =
        serde_json::from_slice(body).map_err(|e| format!("not a list of members: {e}"))?;
    if raw.len() > most {
        return Err(format!("{} members, {most} are taken at most", raw.len()));
    }
    let read = raw.iter().filter_map(|r| serde_json::from_str::<RawMember>(r.get()).ok());
    let members = read.map(|m| (m.name, Member::from_number(m.status)));
    Ok(members.filter(|(_, member)| *member != Member::Alive).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known() -> Known {
        Known { zones: vec!["a".into()], kinds: vec!["std".into()], most: 100 }
    }

    fn entry(id: &str, checks: &str) -> String {
        format!(
            r#"{{"Node":{{"ID":"x","Node":"node-{id}","Address":"127.0.0.1","Datacenter":"dc1","Meta":{{"zone":"a"}}}},
            "Service":{{"ID":"{id}","Service":"host","Port":7000,"Meta":{{"cell":"c","kind":"std","started_ms":"1700000000000"}}}},
            "Checks":[{checks}]}}"#
        )
    }

    fn check(id: &str, status: &str) -> String {
        format!(r#"{{"Node":"n","CheckID":"{id}","Name":"x","Status":"{status}","ServiceID":""}}"#)
    }

    #[test]
    fn statuses_mean_what_the_table_says() {
        let cases = [
            (vec![], Status::Passing, HostState::Ready),
            (vec![("serfHealth", "passing"), ("service:x", "warning")], Status::Warning, HostState::Ready),
            (
                vec![("serfHealth", "critical"), ("service:x", "passing")],
                Status::Critical,
                HostState::Draining,
            ),
            (vec![("_node_maintenance", "critical")], Status::Maintenance, HostState::Draining),
            (
                vec![("_service_maintenance:x", "critical"), ("a", "critical")],
                Status::Maintenance,
                HostState::Draining,
            ),
            (vec![("a", "unheard-of")], Status::Critical, HostState::Draining),
        ];
        for (checks, status, state) in cases {
            let checks: Vec<String> = checks.iter().map(|(id, s)| check(id, s)).collect();
            let body = format!("[{}]", entry("h", &checks.join(",")));
            let listed = read(body.as_bytes(), &known()).expect("a list");
            assert_eq!((listed.entries["h"].status, listed.entries["h"].host.state), (status, state));
        }
        assert_eq!(Member::from_number(1).state(), HostState::Ready);
        for number in 2..=4 {
            assert_eq!(Member::from_number(number).state(), HostState::Draining);
        }
    }

    #[test]
    fn one_bad_entry_never_loses_the_rest() {
        let good = entry("good", "");
        let long = "x".repeat(1 << 20);
        let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
        let bad = [
            entry("no-zone", "").replace(r#""zone":"a""#, ""),
            entry("zone", "").replace(r#""zone":"a""#, r#""zone":"z""#),
            entry("kind", "").replace(r#""kind":"std""#, r#""kind":7"#),
            entry("port", "").replace("7000", "700000"),
            entry("port", "").replace("7000", "1e400"),
            entry("port", "").replace("7000", "-1"),
            entry("port", "").replace(":7000", ":\"7000\""),
            entry("start", "").replace("1700000000000", "99999999999999999999"),
            entry("ip", "").replace("127.0.0.1", "host.example"),
            entry("long", "").replace(r#""cell":"c""#, &format!(r#""cell":"{long}""#)),
            entry("", ""),
            entry("ctl", "").replace("ctl", "a\\u0000b"),
            deep.clone(),
            "null".to_owned(),
            "17".to_owned(),
            entry("checks", &deep),
        ];
        for bad in &bad {
            let body = format!("[{bad},{good}]");
            match read(body.as_bytes(), &known()) {
                Ok(listed) => {
                    assert_eq!(listed.entries.len(), 1, "{}", &bad[..bad.len().min(300)]);
                    assert_eq!(listed.bad.len(), 1);
                    assert!(listed.bad[0].to_string().len() < 600);
                }
                // Nesting beyond what the parser bears spoils the list, which is then not taken at all.
                Err(e) => assert!(e.contains("recursion"), "{e}"),
            }
        }
        // Other metadata, however large, is passed over.
        let body = format!(
            "[{}]",
            entry("h", "").replace(r#""cell":"c""#, &format!(r#""cell":"c","note":"{long}""#))
        );
        assert_eq!(read(body.as_bytes(), &known()).expect("a list").entries.len(), 1);
    }

    #[test]
    fn a_name_that_two_claim_gets_nothing_new() {
        let body = format!("[{},{}]", entry("h", ""), entry("h", "").replace("node-h", "node-2"));
        let listed = read(body.as_bytes(), &known()).expect("a list");
        assert_eq!(listed.entries["h"].host.state, HostState::Draining);
        assert_eq!(listed.bad[0].why, "its id stands on node-h already");
    }

    #[test]
    fn bodies_that_are_no_list_are_refused() {
        for body in ["", "{}", "[", "\u{0}", "[1,]", "null"] {
            assert!(read(body.as_bytes(), &known()).is_err(), "{body}");
        }
        let many = format!("[{}1]", "1,".repeat(100));
        assert!(read(many.as_bytes(), &known()).expect_err("too many").contains("101 entries"));
        let members =
            br#"[{"Name":"n1","Status":1},{"Name":"n2","Status":4},{"Name":3},{"Name":"n3","Status":3}]"#;
        let members = read_members(members, 10).expect("a list");
        assert_eq!(
            members.into_iter().collect::<Vec<_>>(),
            [("n2".into(), Member::Failed), ("n3".into(), Member::Left)]
        );
    }
}
