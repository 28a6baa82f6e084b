//! The members of the gossip pool: the body of `/v1/agent/members`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

use super::{ListFormat, ListReader, MemberStatus};
use crate::json_rows::Rows;

/// Nodes whose agent is not alive, with the agent's status.
pub type UnhealthyMembers = BTreeMap<String, MemberStatus>;

/// The rows of the previous list of members: name and status of those that are not alive.
pub type MemberRows = Rows<Option<Arc<(String, MemberStatus)>>>;

/// Reads a list of members in steps.
pub type MemberListReader = ListReader<MemberFormat>;

/// The format of a list of members. Entries that can't be parsed count as members that are alive.
#[derive(Clone, Copy, Debug)]
pub struct MemberFormat;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawMember {
    name: String,
    status: i64,
}

impl ListFormat for MemberFormat {
    type Row = Option<Arc<(String, MemberStatus)>>;
    type List = UnhealthyMembers;

    fn parse(&self, raw: &str) -> Self::Row {
        let member = serde_json::from_str::<RawMember>(raw).ok()?;
        let status = MemberStatus::from_serf_status(member.status);
        (status != MemberStatus::Alive).then(|| Arc::new((member.name, status)))
    }

    fn add(list: &mut UnhealthyMembers, _position: usize, row: &Self::Row) {
        if let Some(member) = row {
            let (name, status) = &**member;
            list.insert(name.clone(), *status);
        }
    }
}
