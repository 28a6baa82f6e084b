//! Who is on an owner's connection. The protocol identifies neither owners nor connections, and other clients, some of them
//! faulty, use the same listener. So whether a connection may get the release of a task that was requested on another one is
//! inferred from what was received on it.

use std::net::IpAddr;

/// How much a connection may be taken for one of a task's owner, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum OwnerLikelihood {
    /// It gets no releases of tasks that were requested on other connections.
    Unlikely,
    /// It gets releases if no connection is more likely.
    Possible,
    /// All evidence short of a running task points to an owner.
    Probable,
    /// A task of this connection runs, or ran, on a host.
    Verified,
}

impl OwnerLikelihood {
    /// All degrees, in ascending order.
    pub(super) const ALL: [OwnerLikelihood; 4] = [
        OwnerLikelihood::Unlikely,
        OwnerLikelihood::Possible,
        OwnerLikelihood::Probable,
        OwnerLikelihood::Verified,
    ];
}

/// What was received on an owner's connection, as far as it shows who is on it.
#[derive(Debug)]
pub(super) struct OwnerEvidence {
    /// The remote address of the connection.
    address: IpAddr,
    /// It has passed its first health check shortly after the end of an owner's connection from the same address.
    replaces_owner: bool,
    /// A host accepted a task that was requested on this connection, or confirmed one that was handed over on it.
    has_running_task: bool,
    /// It has handed over a task on a host that is listed. The names of hosts are not known to all clients.
    has_handed_over_task: bool,
    /// It has passed a health check.
    has_probed: bool,
    /// It has waited for the answer to a request.
    has_awaited_answer: bool,
    /// It has cancelled a request.
    has_cancelled_request: bool,
    /// It has sent a message that is invalid.
    has_sent_invalid_message: bool,
}

impl OwnerEvidence {
    /// A connection from this address on which nothing was received.
    pub(super) fn new(address: IpAddr) -> OwnerEvidence {
        OwnerEvidence {
            address,
            replaces_owner: false,
            has_running_task: false,
            has_handed_over_task: false,
            has_probed: false,
            has_awaited_answer: false,
            has_cancelled_request: false,
            has_sent_invalid_message: false,
        }
    }

    /// The remote address of the connection.
    pub(super) fn address(&self) -> IpAddr {
        self.address
    }

    /// Records that a host runs a task of this connection.
    pub(super) fn record_running_task(&mut self) {
        self.has_running_task = true;
    }

    /// Records the handover of a task on a host that is listed. Returns whether that is new evidence.
    pub(super) fn record_handover(&mut self) -> bool {
        !std::mem::replace(&mut self.has_handed_over_task, true)
    }

    /// Records a health check. Returns whether that is new evidence.
    pub(super) fn record_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.has_probed, true)
    }

    /// Whether it has passed a health check.
    pub(super) fn has_probed(&self) -> bool {
        self.has_probed
    }

    /// Records that the connection takes the place of an owner's from the same address that has ended.
    pub(super) fn record_replacement(&mut self) {
        self.replaces_owner = true;
    }

    /// Whether the connection takes the place of one of an owner with this address.
    pub(super) fn replaces_owner_at(&self, address: IpAddr) -> bool {
        self.replaces_owner && self.address == address
    }

    /// Records the final answer to a request that was not cancelled. Returns whether that is new evidence.
    pub(super) fn record_answer(&mut self) -> bool {
        !std::mem::replace(&mut self.has_awaited_answer, true)
    }

    /// Records the cancellation of a request.
    pub(super) fn record_cancellation(&mut self) {
        self.has_cancelled_request = true;
    }

    /// Records a message that is invalid.
    pub(super) fn record_invalid_message(&mut self) {
        self.has_sent_invalid_message = true;
    }

    /// Whether a task of this connection runs, or ran, on a host.
    pub(super) fn is_verified(&self) -> bool {
        self.has_running_task
    }

    /// Whether the owner has only cancelled its requests, so that nothing was sent to it.
    pub(super) fn has_only_cancelled(&self) -> bool {
        let has_other_evidence = self.has_probed || self.has_awaited_answer || self.is_in_use();
        self.has_cancelled_request && !has_other_evidence
    }

    /// Whether the connection is that of a usual client: a task of it runs, or it has handed one over.
    pub(super) fn is_in_use(&self) -> bool {
        self.has_running_task || self.has_handed_over_task
    }

    /// How much the connection may be taken for an owner's, whatever the address.
    pub(super) fn own_likelihood(&self) -> OwnerLikelihood {
        let is_faulty = self.has_sent_invalid_message || self.has_cancelled_request;
        if self.has_running_task {
            OwnerLikelihood::Verified
        } else if !is_faulty && (self.has_probed || self.has_awaited_answer) {
            OwnerLikelihood::Probable
        } else {
            OwnerLikelihood::Unlikely
        }
    }

    /// How much the connection may be taken for one of the owner with the address `owner_address`.
    pub(super) fn likelihood(&self, owner_address: IpAddr) -> OwnerLikelihood {
        if self.has_running_task {
            return OwnerLikelihood::Verified;
        }
        let only_cancels_requests = self.has_cancelled_request && !self.has_awaited_answer;
        if self.has_sent_invalid_message || only_cancels_requests {
            return OwnerLikelihood::Unlikely;
        }
        let indications = usize::from(self.has_probed)
            + usize::from(self.has_awaited_answer)
            + usize::from(self.address == owner_address)
            + 2 * usize::from(self.has_handed_over_task);
        match indications {
            0 | 1 => OwnerLikelihood::Unlikely,
            2 => OwnerLikelihood::Possible,
            _ => OwnerLikelihood::Probable,
        }
    }
}
