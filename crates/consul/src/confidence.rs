//! Which lists of the catalogue to accept.
//!
//! Three things must not pass for news: a list of a server that lags, a list that lost much at once because a server
//! has just restarted, and a list of another datacentre. The first is known by its index, the last by what its
//! entries say. A loss of more than half the hosts is read again in the consistent mode, which only a leader that has
//! verified itself answers; if that answer does not come within [`CONFIRMATION_TIMEOUT`], the loss counts, since it
//! may be true (rule 3 of the placers wins). Hosts that an unconfirmed list names as not ready count as such at once.

use crate::Micros;
use crate::catalogue::HostList;
use crate::response::ResponseMeta;

/// How long a loss may wait to be confirmed: well within any grace of rule 3.
pub const CONFIRMATION_TIMEOUT: Micros = 500_000;
/// A list with a smaller share than this of the hosts known before has to be confirmed...
const MIN_REMAINING_SHARE: f64 = 0.5;
/// ...if at least so many are missing.
const MIN_LOST_HOSTS: usize = 3;

/// What to do with a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// It counts as a whole.
    Accept,
    /// It counts only where it names hosts that are not ready; the rest waits for a confirming read.
    Confirm,
    /// It does not count, for this reason.
    Reject(RejectionReason),
}

/// Why a list does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// Its entries name another datacentre.
    #[error("it is of another datacentre")]
    OtherDatacentre,
    /// It was read consistently, but its server knows no leader.
    #[error("a consistent read without a leader")]
    NoLeader,
    /// Its index is below that of a list that was accepted.
    #[error("its server lags")]
    Lagging,
}

/// What a list lacks of the hosts that were known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLoss {
    /// Hosts known before.
    pub known: usize,
    /// Those of them that the list does not name.
    pub missing: usize,
}

impl HostLoss {
    fn is_large(self) -> bool {
        let remaining = (self.known - self.missing) as f64;
        self.missing >= MIN_LOST_HOSTS && remaining < MIN_REMAINING_SHARE * self.known as f64
    }
}

/// Decides which lists count, by those that counted before.
#[derive(Debug, Default)]
pub struct Confidence {
    datacentre: Option<String>,
    /// The highest index of a list that was accepted.
    highest_index: u64,
    /// When a loss began to wait for its confirmation.
    unconfirmed_since: Option<Micros>,
}

impl Confidence {
    /// Accepts lists of this datacentre, or of that which the first list names.
    pub fn new(datacentre: Option<String>) -> Confidence {
        Confidence {
            datacentre,
            highest_index: 0,
            unconfirmed_since: None,
        }
    }

    /// The highest index of a list that was accepted.
    pub fn highest_index(&self) -> u64 {
        self.highest_index
    }

    /// When a loss that waits for its confirmation counts at the latest.
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
        // Read consistently, the index may have gone back: a cluster restored from a snapshot.
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
