//! Parsing of Consul's lists of services and members, and the host states that follow from them.

mod differences;
mod entry;
mod host_list;
mod list_reader;
mod members;
mod status;

pub use differences::ListDifferences;
pub use entry::{CatalogueEntry, KnownNames};
pub use host_list::{
    EntriesByHost, HostList, HostListReader, HostRows, InvalidEntry, ParsedRow, read_host_list,
};
pub use list_reader::{ListFormat, ListReader};
pub use members::{MemberFormat, MemberListReader, MemberRows, UnhealthyMembers};
pub use status::{CheckStatus, MemberStatus};

#[cfg(test)]
mod tests;
