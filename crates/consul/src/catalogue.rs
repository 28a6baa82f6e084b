//! From catalogue entries to hosts: what each status means, and plain errors for entries that can't be used.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use maplethread_config::{HostEntry, HostState};
use serde::Deserialize;

use crate::json_rows::{RowReader, Rows};

/// The status of a check, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckStatus {
    /// All is well.
    Passing,
    /// It works, but something is to be looked at.
    Warning,
    /// It does not work.
    Critical,
    /// Operators have put it aside.
    Maintenance,
}

impl CheckStatus {
    /// What it means for placing.
    pub fn host_state(self) -> HostState {
        match self {
            CheckStatus::Passing | CheckStatus::Warning => HostState::Ready,
            CheckStatus::Critical | CheckStatus::Maintenance => HostState::Draining,
        }
    }
}

/// The status of an agent in the gossip pool (`/v1/agent/members`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It is there, or nothing is known.
    Alive,
    /// It is about to leave.
    Leaving,
    /// It has left.
    Left,
    /// It was not reached.
    Failed,
}

impl MemberStatus {
    /// By Serf's number.
    pub fn from_serf_status(number: i64) -> MemberStatus {
        match number {
            2 => MemberStatus::Leaving,
            3 => MemberStatus::Left,
            4 => MemberStatus::Failed,
            _ => MemberStatus::Alive,
        }
    }

    /// What it means for placing. It is only ever bad news: an agent that is alive says nothing of the host's process.
    /// The host of a failed or departed agent may still run what it runs, so it drains until it is deregistered.
    pub fn host_state(self) -> HostState {
        match self {
            MemberStatus::Alive => HostState::Ready,
            MemberStatus::Leaving | MemberStatus::Left | MemberStatus::Failed => {
                HostState::Draining
            }
        }
    }
}

/// A host as the catalogue has it.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogueEntry {
    /// The host; its state is that of its checks.
    pub host: HostEntry,
    /// The node that it runs on.
    pub node: String,
    /// The worst of its checks.
    pub status: CheckStatus,
}

/// An entry that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("entry {position} ({name:?}): {reason}")]
pub struct InvalidEntry {
    /// Its place in the answer, counted from 0.
    pub position: usize,
    /// Its service id, as far as it can be read.
    pub name: String,
    /// What is wrong.
    pub reason: String,
}

/// Hosts by name. An entry that stands as it did in the last answer is the same one.
pub type EntriesByHost = BTreeMap<String, Arc<CatalogueEntry>>;

/// What an answer holds.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// Hosts by name.
    pub entries: EntriesByHost,
    /// What could not be used.
    pub invalid_entries: Vec<InvalidEntry>,
    /// The datacentres that entries name.
    pub datacentres: BTreeSet<String>,
}

/// What hosts may be: the names that the placer's settings know.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds.
    pub kinds: Vec<String>,
    /// The most entries taken of one answer.
    pub max_entries: usize,
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
const MAX_TEXT_LENGTH: usize = 200;
/// Bad entries that are told one by one.
const MAX_INVALID_ENTRIES: usize = 100;
/// A start later than this is a mistake (the year 2100, Unix time in ms).
const MAX_START_MS: u64 = 4_102_444_800_000;

/// What a row of an answer came to.
#[derive(Debug)]
pub struct ParsedRow {
    datacentre: String,
    /// The entry, or its service id, as far as it can be read, and what is wrong.
    entry: Result<Arc<CatalogueEntry>, (String, String)>,
}

/// The rows of the last answer.
pub type HostRows = Rows<Arc<ParsedRow>>;

/// The body of `/v1/health/service/:name` on its way in.
#[derive(Debug)]
pub struct HostListReader {
    rows: RowReader<Arc<ParsedRow>>,
    list: HostList,
}

impl HostListReader {
    /// Begins to read an answer; rows that stand as they did in the last one are not parsed again.
    pub fn new(body: Vec<u8>, last: HostRows, known: &KnownNames) -> HostListReader {
        HostListReader {
            rows: RowReader::new(body, last, known.max_entries),
            list: HostList::default(),
        }
    }

    /// Reads on for as much work as is left, and tells whether that was all. An error means that the body as a whole
    /// is no list.
    pub fn step(&mut self, work: &mut usize, known: &KnownNames) -> Result<bool, String> {
        let listed = &mut self.list;
        self.rows.step(
            work,
            |raw| Arc::new(parse_row(raw, known)),
            |number, row| listed.add(number, row),
        )
    }

    /// What the answer holds, and its rows for the next one to be compared with. Of an answer that was no list, the
    /// rows are those of the one before.
    pub fn finish(self) -> (HostList, HostRows) {
        (self.list, self.rows.into_rows())
    }
}

/// Reads the body of `/v1/health/service/:name` at once.
pub fn read_host_list(body: &[u8], known: &KnownNames) -> Result<HostList, String> {
    let mut listing = HostListReader::new(body.to_vec(), HostRows::default(), known);
    let mut work = usize::MAX;
    while !listing.step(&mut work, known)? {}
    Ok(listing.finish().0)
}

impl HostList {
    fn add(&mut self, number: usize, row: &ParsedRow) {
        if !row.datacentre.is_empty()
            && self.datacentres.len() < 16
            && !self.datacentres.contains(&row.datacentre)
        {
            self.datacentres.insert(row.datacentre.clone());
        }
        let (name, why) = match &row.entry {
            Ok(entry) => match self.entries.get_mut(&entry.host.name) {
                Some(other) => {
                    // Two say that they are this host. Neither can be told to be right, so it gets nothing new.
                    let why = format!("its id stands on {} already", other.node);
                    let other = Arc::make_mut(other);
                    other.status = CheckStatus::Critical;
                    other.host.state = HostState::Draining;
                    (&entry.host.name, why)
                }
                None => {
                    self.entries.insert(entry.host.name.clone(), entry.clone());
                    return;
                }
            },
            Err((name, why)) => (name, why.clone()),
        };
        if self.invalid_entries.len() < MAX_INVALID_ENTRIES {
            self.invalid_entries.push(InvalidEntry {
                position: number,
                name: name.clone(),
                reason: why,
            });
        }
    }
}

fn parse_row(raw: &str, known: &KnownNames) -> ParsedRow {
    let mut datacentre = String::new();
    let entry = serde_json::from_str::<RawEntry>(raw)
        .map_err(|e| e.to_string())
        .and_then(|entry| {
            datacentre.clone_from(&entry.node.datacenter);
            parse_host(entry, known)
        });
    let short = |text: &str| text.chars().take(MAX_TEXT_LENGTH).collect();
    let entry = entry.map(Arc::new).map_err(|why| {
        let name =
            serde_json::from_str::<NameOnly>(raw).map_or_else(|_| "?".to_owned(), |n| n.service.id);
        (short(&name), short(&why))
    });
    ParsedRow {
        datacentre: short(&datacentre),
        entry,
    }
}

/// How a list differs from one before, host by host.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListDifferences {
    /// Hosts that are gone, or changed and now get nothing new.
    pub degraded: Vec<String>,
    /// Others that are new or changed.
    pub other: Vec<String>,
    /// How many are gone.
    pub removed_count: usize,
}

impl ListDifferences {
    /// Walks through both lists.
    pub fn between(before: &EntriesByHost, after: &EntriesByHost) -> ListDifferences {
        let same = |a: &Arc<CatalogueEntry>, b: &Arc<CatalogueEntry>| Arc::ptr_eq(a, b) || a == b;
        let (mut before, mut after) = (before.iter().peekable(), after.iter().peekable());
        let mut found = ListDifferences::default();
        loop {
            let order = match (before.peek(), after.peek()) {
                (Some(a), Some(b)) => a.0.cmp(b.0),
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (None, None) => return found,
            };
            let old = if order == Ordering::Greater {
                None
            } else {
                before.next()
            };
            let new = if order == Ordering::Less {
                None
            } else {
                after.next()
            };
            match (old, new) {
                (Some((_, a)), Some((_, b))) if same(a, b) => {}
                (_, Some((name, new))) if new.host.state == HostState::Ready => {
                    found.other.push(name.clone());
                }
                (_, Some((name, _))) => found.degraded.push(name.clone()),
                (Some((name, _)), None) => {
                    found.degraded.push(name.clone());
                    found.removed_count += 1;
                }
                (None, None) => {}
            }
        }
    }

    /// Whether the lists say the same.
    pub fn is_empty(&self) -> bool {
        self.degraded.is_empty() && self.other.is_empty()
    }
}

fn parse_host(raw: RawEntry, known: &KnownNames) -> Result<CatalogueEntry, String> {
    let named = |what: &str, text: &str| {
        let fine = !text.is_empty()
            && text.len() <= MAX_TEXT_LENGTH
            && !text.chars().any(char::is_control);
        if fine {
            Ok(())
        } else {
            Err(format!(
                "{what}: 1 to {MAX_TEXT_LENGTH} bytes without control characters"
            ))
        }
    };
    named("Service.ID", &raw.service.id)?;
    named("Node.Node", &raw.node.node)?;
    // The service's own metadata first, then the node's.
    let meta = |key: &str| {
        let of =
            |m: &Option<BTreeMap<String, String>>| m.as_ref().and_then(|m| m.get(key)).cloned();
        of(&raw.service.meta).or_else(|| of(&raw.node.meta))
    };
    let needed = |key: &str| {
        let value =
            meta(key).ok_or_else(|| format!("no metadata `{key}`, of the service or its node"))?;
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
            let ms = text
                .parse::<u64>()
                .ok()
                .filter(|&ms| ms > 0 && ms < MAX_START_MS);
            Some(ms.ok_or_else(|| "started_ms: not a time in ms since 1970".to_owned())?)
        }
    };
    let ip = if raw.service.address.is_empty() {
        &raw.node.address
    } else {
        &raw.service.address
    };
    let ip: IpAddr = ip
        .parse()
        .map_err(|_| "address: not an IP address".to_owned())?;
    let port = u16::try_from(raw.service.port).ok().filter(|&p| p > 0);
    let port = port.ok_or_else(|| format!("port {}: out of range", raw.service.port))?;
    let status = worst_status(&raw.checks);
    let host = HostEntry {
        name: raw.service.id,
        address: SocketAddr::new(ip, port),
        zone,
        cell,
        kind,
        state: status.host_state(),
        started_ms,
        unallocated_cores: None,
        unallocated_memory_gib: None,
    };
    Ok(CatalogueEntry {
        host,
        node: raw.node.node,
        status,
    })
}

/// The worst of node-level and service-level checks, as Consul merges them. A status that is not known is taken for
/// critical.
fn worst_status(checks: &[RawCheck]) -> CheckStatus {
    let of = |check: &RawCheck| match check.status.as_str() {
        "passing" => CheckStatus::Passing,
        "warning" => CheckStatus::Warning,
        _ if check.check_id == "_node_maintenance"
            || check.check_id.starts_with("_service_maintenance:") =>
        {
            CheckStatus::Maintenance
        }
        _ => CheckStatus::Critical,
    };
    checks.iter().map(of).max().unwrap_or(CheckStatus::Passing)
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawMember {
    name: String,
    status: i64,
}

/// The rows of the last list of members: those that are not alive.
pub type MemberRows = Rows<Option<Arc<(String, MemberStatus)>>>;

/// The body of `/v1/agent/members` on its way in.
#[derive(Debug)]
pub struct MemberListReader {
    rows: RowReader<Option<Arc<(String, MemberStatus)>>>,
    members: BTreeMap<String, MemberStatus>,
}

impl MemberListReader {
    /// Begins to read an answer of at most so many members.
    pub fn new(body: Vec<u8>, last: MemberRows, most: usize) -> MemberListReader {
        MemberListReader {
            rows: RowReader::new(body, last, most),
            members: BTreeMap::new(),
        }
    }

    /// Reads on for as much work as is left, and tells whether that was all.
    pub fn step(&mut self, work: &mut usize) -> Result<bool, String> {
        let parse = |raw: &str| {
            let member = serde_json::from_str::<RawMember>(raw).ok()?;
            let state = MemberStatus::from_serf_status(member.status);
            (state != MemberStatus::Alive).then(|| Arc::new((member.name, state)))
        };
        let members = &mut self.members;
        self.rows.step(work, parse, |_, row| {
            if let Some(row) = row {
                members.insert(row.0.clone(), row.1);
            }
        })
    }

    /// Nodes that are not alive, and the rows for the next answer to be compared with.
    pub fn finish(self) -> (BTreeMap<String, MemberStatus>, MemberRows) {
        (self.members, self.rows.into_rows())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known() -> KnownNames {
        KnownNames {
            zones: vec!["a".into()],
            kinds: vec!["std".into()],
            max_entries: 100,
        }
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
    fn maps_check_and_member_statuses_to_host_states() {
        let cases = [
            (vec![], CheckStatus::Passing, HostState::Ready),
            (
                vec![("serfHealth", "passing"), ("service:x", "warning")],
                CheckStatus::Warning,
                HostState::Ready,
            ),
            (
                vec![("serfHealth", "critical"), ("service:x", "passing")],
                CheckStatus::Critical,
                HostState::Draining,
            ),
            (
                vec![("_node_maintenance", "critical")],
                CheckStatus::Maintenance,
                HostState::Draining,
            ),
            (
                vec![("_service_maintenance:x", "critical"), ("a", "critical")],
                CheckStatus::Maintenance,
                HostState::Draining,
            ),
            (
                vec![("a", "unheard-of")],
                CheckStatus::Critical,
                HostState::Draining,
            ),
        ];
        for (checks, status, state) in cases {
            let checks: Vec<String> = checks.iter().map(|(id, s)| check(id, s)).collect();
            let body = format!("[{}]", entry("h", &checks.join(",")));
            let listed = read_host_list(body.as_bytes(), &known()).expect("a list");
            assert_eq!(
                (listed.entries["h"].status, listed.entries["h"].host.state),
                (status, state)
            );
        }
        assert_eq!(
            MemberStatus::from_serf_status(1).host_state(),
            HostState::Ready
        );
        for number in 2..=4 {
            assert_eq!(
                MemberStatus::from_serf_status(number).host_state(),
                HostState::Draining
            );
        }
    }

    #[test]
    fn keeps_valid_entries_when_another_is_invalid() {
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
            match read_host_list(body.as_bytes(), &known()) {
                Ok(listed) => {
                    assert_eq!(listed.entries.len(), 1, "{}", &bad[..bad.len().min(300)]);
                    assert_eq!(listed.invalid_entries.len(), 1);
                    assert!(listed.invalid_entries[0].to_string().len() < 600);
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
        assert_eq!(
            read_host_list(body.as_bytes(), &known())
                .expect("a list")
                .entries
                .len(),
            1
        );
    }

    #[test]
    fn drains_host_whose_id_is_registered_twice() {
        let body = format!(
            "[{},{}]",
            entry("h", ""),
            entry("h", "").replace("node-h", "node-2")
        );
        let listed = read_host_list(body.as_bytes(), &known()).expect("a list");
        assert_eq!(listed.entries["h"].host.state, HostState::Draining);
        assert_eq!(
            listed.invalid_entries[0].reason,
            "its id stands on node-h already"
        );
    }

    #[test]
    fn differences_name_added_changed_and_removed_hosts() {
        let list = |rows: &[String]| {
            read_host_list(format!("[{}]", rows.join(",")).as_bytes(), &known()).expect("a list")
        };
        let old = list(&[
            entry("a", ""),
            entry("b", ""),
            entry("c", ""),
            entry("d", ""),
        ]);
        let new = list(&[
            entry("b", ""),
            entry("c", &check("x", "critical")),
            entry("d", ""),
            entry("e", ""),
        ]);
        let differences = ListDifferences::between(&old.entries, &new.entries);
        assert_eq!(
            (&differences.degraded[..], &differences.other[..]),
            (&["a", "c"].map(String::from)[..], &["e".into()][..])
        );
        assert_eq!(differences.removed_count, 1);
        let back = ListDifferences::between(&new.entries, &old.entries);
        assert_eq!(
            (&back.degraded[..], &back.other[..]),
            (&["e".into()][..], &["a", "c"].map(String::from)[..])
        );
        assert!(ListDifferences::between(&old.entries, &old.entries).is_empty());
    }

    #[test]
    fn rejects_body_that_is_not_a_list() {
        for body in ["", "{}", "[", "\u{0}", "[1,]", "null"] {
            assert!(read_host_list(body.as_bytes(), &known()).is_err(), "{body}");
        }
        let many = format!("[{}1]", "1,".repeat(100));
        assert!(
            read_host_list(many.as_bytes(), &known())
                .expect_err("too many")
                .contains("more than 100 entries")
        );
        let members =
            br#"[{"Name":"n1","Status":1},{"Name":"n2","Status":4},{"Name":3},{"Name":"n3","Status":3}]"#;
        let mut reading = MemberListReader::new(members.to_vec(), MemberRows::default(), 10);
        while !reading.step(&mut 1).expect("a list") {}
        let (members, _) = reading.finish();
        assert_eq!(
            members.into_iter().collect::<Vec<_>>(),
            [
                ("n2".into(), MemberStatus::Failed),
                ("n3".into(), MemberStatus::Left)
            ]
        );
    }
}
