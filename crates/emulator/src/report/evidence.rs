//! History entries as reports print them: in the format of `Debug`, with fixed names that do not follow renames of the
//! types. People and scripts search reports for these names.

use std::fmt;

use maplethread_checker::{Observation, Observer, Outcome};
use maplethread_wire::frame::{DuplicatePolicy, Frame, NoteKind, Offer, Reason, ResourceAmounts};

#[cfg(test)]
mod tests;

/// An observation as reports print it.
pub(super) struct EvidenceText<'a>(pub(super) &'a Observation);

impl fmt::Debug for EvidenceText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Observation::HostStarted { .. }
            | Observation::HostStopped { .. }
            | Observation::PlacerConnected { .. }
            | Observation::ConnectionLost { .. }
            | Observation::FrameFromPlacer { .. }
            | Observation::FrameFromHost { .. } => fmt_host_traffic(self.0, f),
            Observation::PlacementRequested { .. }
            | Observation::Answered { .. }
            | Observation::ClientConnectionLost { .. }
            | Observation::ClientDisconnected { .. } => fmt_client_traffic(self.0, f),
            Observation::InventoryReplaced { .. }
            | Observation::InventoryUnreadable
            | Observation::CatalogueAnswered { .. }
            | Observation::ReplicaIndexLocked { .. }
            | Observation::ReplicaIndexReleased { .. }
            | Observation::CatalogueLeaderLost { .. } => fmt_discovery(self.0, f),
            Observation::PlacerStarted { placer } => fmt_placer("PlacerUp", placer, f),
            Observation::PlacerStopped { placer } => fmt_placer("PlacerDown", placer, f),
            Observation::PlacerPaused { placer } => fmt_placer("PlacerPaused", placer, f),
            Observation::PlacerResumed { placer } => fmt_placer("PlacerGoesOn", placer, f),
            Observation::ObserverDelayed {
                observer,
                delayed_since_us: since,
            } => f
                .debug_struct("ReadLate")
                .field("reader", &ObserverText(*observer))
                .field("since", since)
                .finish(),
        }
    }
}

fn fmt_placer(name: &str, placer: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct(name).field("placer", &placer).finish()
}

fn fmt_host_traffic(observation: &Observation, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match observation {
        Observation::HostStarted { host, started_ms } => f
            .debug_struct("HostUp")
            .field("host", host)
            .field("started_ms", started_ms)
            .finish(),
        Observation::HostStopped { host } => {
            f.debug_struct("HostDown").field("host", host).finish()
        }
        Observation::PlacerConnected {
            host,
            connection,
            placer,
            generation: incarnation,
        } => f
            .debug_struct("Link")
            .field("host", host)
            .field("link", connection)
            .field("placer", placer)
            .field("life", incarnation)
            .finish(),
        Observation::ConnectionLost { host, connection } => f
            .debug_struct("LinkLost")
            .field("host", host)
            .field("link", connection)
            .finish(),
        Observation::FrameFromPlacer {
            host,
            connection,
            frame,
        } => fmt_frame("FromPlacer", host, *connection, frame, f),
        Observation::FrameFromHost {
            host,
            connection,
            frame,
        } => fmt_frame("FromHost", host, *connection, frame, f),
        _ => Err(fmt::Error),
    }
}

fn fmt_frame(
    name: &str,
    host: &str,
    connection: u64,
    frame: &Frame,
    f: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    f.debug_struct(name)
        .field("host", &host)
        .field("link", &connection)
        .field("frame", &FrameText(frame))
        .finish()
}

fn fmt_client_traffic(observation: &Observation, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match observation {
        Observation::PlacementRequested {
            request,
            placer,
            class,
            budget_us,
        } => f
            .debug_struct("Asked")
            .field("request", request)
            .field("placer", placer)
            .field("class", class)
            .field("budget_us", budget_us)
            .finish(),
        Observation::Answered { request, outcome } => f
            .debug_struct("Answered")
            .field("request", request)
            .field("outcome", &OutcomeText(outcome))
            .finish(),
        Observation::ClientConnectionLost { request } => {
            f.debug_struct("Cut").field("request", request).finish()
        }
        Observation::ClientDisconnected { request } => {
            f.debug_struct("HungUp").field("request", request).finish()
        }
        _ => Err(fmt::Error),
    }
}

fn fmt_discovery(observation: &Observation, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match observation {
        Observation::InventoryReplaced { ready, gone } => f
            .debug_struct("Inventory")
            .field("ready", ready)
            .field("gone", gone)
            .finish(),
        Observation::InventoryUnreadable => f.write_str("InventoryUnreadable"),
        Observation::CatalogueAnswered {
            placer,
            index,
            consistent,
            body,
        } => f
            .debug_struct("Catalogue")
            .field("placer", placer)
            .field("index", index)
            .field("consistent", consistent)
            .field("body", body)
            .finish(),
        Observation::ReplicaIndexLocked {
            replica_index,
            placer,
        } => f
            .debug_struct("NumberLocked")
            .field("number", replica_index)
            .field("placer", placer)
            .finish(),
        Observation::ReplicaIndexReleased {
            replica_index,
            lock_delay_us: after_us,
        } => f
            .debug_struct("NumberFree")
            .field("number", replica_index)
            .field("after_us", after_us)
            .finish(),
        Observation::CatalogueLeaderLost {
            duration_us: for_us,
        } => f.debug_struct("NoLeader").field("for_us", for_us).finish(),
        _ => Err(fmt::Error),
    }
}

struct ObserverText(Observer);

impl fmt::Debug for ObserverText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Observer::Hosts => "Hosts",
            Observer::Clients => "Clients",
        })
    }
}

struct OutcomeText<'a>(&'a Outcome);

impl fmt::Debug for OutcomeText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Outcome::Placed(host) => f.debug_tuple("Placed").field(host).finish(),
            Outcome::Rejected(reason) => f.debug_tuple("Refused").field(reason).finish(),
            Outcome::Failed => f.write_str("Failed"),
            Outcome::NotAccepted(status) => f.debug_tuple("Turned").field(status).finish(),
        }
    }
}

struct FrameText<'a>(&'a Frame);

impl fmt::Debug for FrameText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Frame::Hello {
                major,
                minor,
                name,
                started_ms,
                max_offers,
            } => f
                .debug_struct("Hello")
                .field("major", major)
                .field("minor", minor)
                .field("name", name)
                .field("started_ms", started_ms)
                .field("most_offers", max_offers)
                .finish(),
            Frame::Offer(offer) => f.debug_tuple("Offer").field(&OfferText(offer)).finish(),
            Frame::Cancel(attempt) => f.debug_tuple("Cancel").field(attempt).finish(),
            Frame::Stop(attempt) => f.debug_tuple("Stop").field(attempt).finish(),
            Frame::Probe(nonce) => f.debug_tuple("Probe").field(nonce).finish(),
            Frame::Ping(nonce) => f.debug_tuple("Ping").field(nonce).finish(),
            Frame::Pong(nonce) => f.debug_tuple("Pong").field(nonce).finish(),
            Frame::Accepted(attempt, after_ms) => f
                .debug_tuple("Accepted")
                .field(attempt)
                .field(after_ms)
                .finish(),
            Frame::Refused(attempt, reason, free) => f
                .debug_tuple("Refused")
                .field(attempt)
                .field(&ReasonText(*reason))
                .field(&free.as_ref().map(ResourcesText))
                .finish(),
            Frame::Started(attempt, after_ms) => f
                .debug_tuple("Started")
                .field(attempt)
                .field(after_ms)
                .finish(),
            Frame::Ended(attempt, reason, ran, free) => f
                .debug_tuple("Ended")
                .field(attempt)
                .field(&ReasonText(*reason))
                .field(ran)
                .field(&free.as_ref().map(ResourcesText))
                .finish(),
            Frame::Note(attempt, kind, value) => f
                .debug_tuple("Note")
                .field(attempt)
                .field(&NoteKindText(*kind))
                .field(value)
                .finish(),
            Frame::Report(nonce, free) => f
                .debug_tuple("Report")
                .field(nonce)
                .field(&ResourcesText(free))
                .finish(),
            Frame::Drain => f.write_str("Drain"),
            Frame::Held(offer, is_running) => f
                .debug_tuple("Held")
                .field(&OfferText(offer))
                .field(is_running)
                .finish(),
            Frame::HeldEnd => f.write_str("HeldEnd"),
            Frame::Bye(reason) => f.debug_tuple("Bye").field(reason).finish(),
        }
    }
}

struct OfferText<'a>(&'a Offer);

impl fmt::Debug for OfferText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let offer = self.0;
        f.debug_struct("Offer")
            .field("attempt", &offer.attempt_id)
            .field("number", &offer.prior_attempts)
            .field("service", &offer.service)
            .field("actor", &offer.actor)
            .field("class", &offer.class)
            .field("request", &offer.request_id)
            .field("asks", &ResourcesText(&offer.requested))
            .field("priority", &offer.priority)
            .field("copies", &DuplicatePolicyText(offer.duplicate_policy))
            .field("life_ms", &offer.expected_duration_ms)
            .field("wait_ms", &offer.answer_timeout_ms)
            .finish()
    }
}

struct ResourcesText<'a>(&'a ResourceAmounts);

impl fmt::Debug for ResourcesText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Load")
            .field("cores", &self.0.cores)
            .field("memory", &self.0.memory_gib)
            .finish()
    }
}

struct DuplicatePolicyText(DuplicatePolicy);

impl fmt::Debug for DuplicatePolicyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            DuplicatePolicy::Idempotent => f.write_str("Safe"),
            DuplicatePolicy::IdempotencyKey(key) => f.debug_tuple("Keyed").field(key).finish(),
            DuplicatePolicy::NonIdempotent => f.write_str("Unsafe"),
        }
    }
}

struct ReasonText(Reason);

impl fmt::Debug for ReasonText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Reason::Unknown => "Unknown",
            Reason::Cores => "Cores",
            Reason::Memory => "Memory",
            Reason::QueueFull => "Line",
            Reason::Ineligible => "NotHere",
            Reason::Evicted => "Evicted",
            Reason::Preempted => "PushedOut",
            Reason::Drained => "SentAway",
            Reason::Completed => "Done",
            Reason::Stopped => "Stopped",
            Reason::Error => "Error",
        })
    }
}

struct NoteKindText(NoteKind);

impl fmt::Debug for NoteKindText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            NoteKind::Cores => "Cores",
            NoteKind::Memory => "Memory",
            NoteKind::ServiceShare => "Served",
            NoteKind::HostMemoryShare => "HostMemory",
        })
    }
}
