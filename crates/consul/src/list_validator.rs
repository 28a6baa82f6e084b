//! Decides which lists of the catalogue to accept.
//!
//! Three kinds of lists must not be taken for changes: one from a server that lags, one that lacks many hosts because
//! its server has just restarted, and one of another datacentre. The first is recognised by its index, the last by the
//! datacentre that its entries name. A loss of more than half the hosts is read again in the consistent mode, which
//! only a leader that has verified itself answers. If that answer does not arrive within
//! [`CONFIRMATION_TIMEOUT`], the loss is accepted, since it may be real (rule 3 of the placers has precedence). Hosts
//! that an unconfirmed list names as not ready are treated as not ready at once.

use crate::Micros;
use crate::catalogue::HostList;
use crate::response::ResponseMeta;

/// How long a loss may wait for confirmation: well within any grace period of rule 3.
pub const CONFIRMATION_TIMEOUT: Micros = 500_000;
/// A list must be confirmed if it contains less than this share of the previously known hosts, and lacks at least
/// [`MIN_LOST_HOSTS`] of them.
const MIN_REMAINING_SHARE: f64 = 0.5;
/// Minimum number of missing hosts for which a list must be confirmed.
const MIN_LOST_HOSTS: usize = 3;

/// How to proceed with a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// Accept the whole list.
    Accept,
    /// Apply only the hosts that it names as not ready; the rest waits for a confirming read.
    Confirm,
    /// Reject the list for this reason.
    Reject(RejectionReason),
}

/// Why a list is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// Its entries name another datacentre.
    #[error("list is from another datacentre")]
    OtherDatacentre,
    /// It was read consistently, but its server has no known leader.
    #[error("consistent read from a server without a known leader")]
    NoLeader,
    /// Its index is below that of a list that was accepted.
    #[error("server lags behind an accepted list")]
    Lagging,
}

/// How many of the previously known hosts a list lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLoss {
    /// Number of previously known hosts.
    pub known: usize,
    /// Number of those that the list lacks.
    pub missing: usize,
}

impl HostLoss {
    fn is_large(self) -> bool {
        let remaining = (self.known - self.missing) as f64;
        self.missing >= MIN_LOST_HOSTS && remaining < MIN_REMAINING_SHARE * self.known as f64
    }
}

/// Decides which lists to accept, based on those accepted before.
#[derive(Debug, Default)]
pub struct ListValidator {
    datacentre: Option<String>,
    /// The highest index of a list that was accepted.
    highest_index: u64,
    /// Since when a loss has been waiting for confirmation.
    unconfirmed_since: Option<Micros>,
}

impl ListValidator {
    /// Accepts lists of this datacentre or, if none is given, of the one that the first list names.
    pub fn new(datacentre: Option<String>) -> ListValidator {
        ListValidator {
            datacentre,
            highest_index: 0,
            unconfirmed_since: None,
        }
    }

    /// The highest index of a list that was accepted.
    pub fn highest_index(&self) -> u64 {
        self.highest_index
    }

    /// When a loss that waits for confirmation is accepted at the latest.
    pub fn confirmation_deadline(&self) -> Option<Micros> {
        self.unconfirmed_since
            .map(|since| since + CONFIRMATION_TIMEOUT)
    }

    /// Assesses a list. `is_consistent` says whether it was read in the consistent mode.
    pub fn assess(
        &mut self,
        now: Micros,
        meta: ResponseMeta,
        is_consistent: bool,
        list: &HostList,
        loss: HostLoss,
    ) -> Assessment {
        if let Some(own) = &self.datacentre
            && list.datacentres.iter().any(|other| other != own)
        {
            return Assessment::Reject(RejectionReason::OtherDatacentre);
        }
        if is_consistent && meta.known_leader == Some(false) {
            return Assessment::Reject(RejectionReason::NoLeader);
        }
        if meta.index < self.highest_index && !is_consistent {
            return Assessment::Reject(RejectionReason::Lagging);
        }
        if self.datacentre.is_none() {
            self.datacentre = list.datacentres.first().cloned();
        }
        let is_overdue = self
            .confirmation_deadline()
            .is_some_and(|deadline| deadline <= now);
        if loss.is_large() && !is_consistent && !is_overdue {
            self.unconfirmed_since.get_or_insert(now);
            return Assessment::Confirm;
        }
        self.unconfirmed_since = None;
        // The index of a consistent read may be lower, if the cluster was restored from a snapshot.
        self.highest_index = if is_consistent {
            meta.index
        } else {
            self.highest_index.max(meta.index)
        };
        Assessment::Accept
    }
}

#[cfg(test)]
mod tests;
