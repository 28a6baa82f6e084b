//! The names of observations and frames in reports are stable.

use std::sync::Arc;

use maplethread_checker::{Observation, Observer, Outcome};
use maplethread_wire::frame::{DuplicatePolicy, Frame, NoteKind, Offer, Reason, ResourceAmounts};

use super::{EvidenceText, ReasonText};

const FREE: ResourceAmounts = ResourceAmounts {
    cores: 0.5,
    memory_gib: 1.0,
};

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn offer(duplicate_policy: DuplicatePolicy) -> Offer {
    Offer {
        attempt_id: 9,
        prior_attempts: 1,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request_id: "r".into(),
        requested: ResourceAmounts {
            cores: 1.5,
            memory_gib: 2.0,
        },
        priority: 3,
        duplicate_policy,
        expected_duration_ms: 7,
        answer_timeout_ms: 100,
    }
}

fn answered(outcome: Outcome) -> Observation {
    Observation::Answered {
        request: name("r"),
        outcome,
    }
}

fn text(observation: &Observation) -> String {
    format!("{:?}", EvidenceText(observation))
}

#[test]
fn prints_observations_under_stable_names() {
    let cases = [
        (
            Observation::HostStarted {
                host: name("h"),
                started_ms: 1,
            },
            r#"HostUp { host: "h", started_ms: 1 }"#,
        ),
        (
            Observation::HostStopped { host: name("h") },
            r#"HostDown { host: "h" }"#,
        ),
        (
            Observation::PlacerConnected {
                host: name("h"),
                connection: 2,
                placer: name("p"),
                generation: 3,
            },
            r#"Link { host: "h", link: 2, placer: "p", life: 3 }"#,
        ),
        (
            Observation::ConnectionLost {
                host: name("h"),
                connection: 2,
            },
            r#"LinkLost { host: "h", link: 2 }"#,
        ),
        (
            Observation::PlacementRequested {
                request: name("r"),
                placer: name("p"),
                class: name("c"),
                budget_us: 5,
            },
            r#"Asked { request: "r", placer: "p", class: "c", budget_us: 5 }"#,
        ),
        (
            answered(Outcome::Placed("h".into())),
            r#"Answered { request: "r", outcome: Placed("h") }"#,
        ),
        (
            answered(Outcome::Rejected("room".into())),
            r#"Answered { request: "r", outcome: Refused("room") }"#,
        ),
        (
            answered(Outcome::Failed),
            r#"Answered { request: "r", outcome: Failed }"#,
        ),
        (
            answered(Outcome::NotAccepted(503)),
            r#"Answered { request: "r", outcome: Turned(503) }"#,
        ),
        (
            Observation::ClientConnectionLost { request: name("r") },
            r#"Cut { request: "r" }"#,
        ),
        (
            Observation::ClientDisconnected { request: name("r") },
            r#"HungUp { request: "r" }"#,
        ),
        (
            Observation::InventoryReplaced {
                ready: vec![(name("h"), Some(1)), (name("g"), None)],
                gone: vec![name("i")],
            },
            r#"Inventory { ready: [("h", Some(1)), ("g", None)], gone: ["i"] }"#,
        ),
        (Observation::InventoryUnreadable, r#"InventoryUnreadable"#),
        (
            Observation::CatalogueAnswered {
                placer: name("p"),
                index: 4,
                consistent: true,
                body: [1u8, 2][..].into(),
            },
            r#"Catalogue { placer: "p", index: 4, consistent: true, body: [1, 2] }"#,
        ),
        (
            Observation::ReplicaIndexLocked {
                replica_index: name("0"),
                placer: name("p"),
            },
            r#"NumberLocked { number: "0", placer: "p" }"#,
        ),
        (
            Observation::ReplicaIndexReleased {
                replica_index: name("0"),
                lock_delay_us: 8,
            },
            r#"NumberFree { number: "0", after_us: 8 }"#,
        ),
        (
            Observation::CatalogueLeaderLost { duration_us: 9 },
            r#"NoLeader { for_us: 9 }"#,
        ),
        (
            Observation::PlacerStarted { placer: name("p") },
            r#"PlacerUp { placer: "p" }"#,
        ),
        (
            Observation::PlacerStopped { placer: name("p") },
            r#"PlacerDown { placer: "p" }"#,
        ),
        (
            Observation::PlacerPaused { placer: name("p") },
            r#"PlacerPaused { placer: "p" }"#,
        ),
        (
            Observation::PlacerResumed { placer: name("p") },
            r#"PlacerGoesOn { placer: "p" }"#,
        ),
        (
            Observation::ObserverDelayed {
                observer: Observer::Hosts,
                delayed_since_us: Some(6),
            },
            r#"ReadLate { reader: Hosts, since: Some(6) }"#,
        ),
        (
            Observation::ObserverDelayed {
                observer: Observer::Clients,
                delayed_since_us: None,
            },
            r#"ReadLate { reader: Clients, since: None }"#,
        ),
    ];
    for (observation, expected) in cases {
        assert_eq!(text(&observation), expected);
    }
}

#[test]
fn prints_frames_under_stable_names() {
    let cases = [
        (
            Frame::Hello {
                major: 1,
                minor: 1,
                name: "n".into(),
                started_ms: 4,
                max_offers: 6,
            },
            r#"Hello { major: 1, minor: 1, name: "n", started_ms: 4, most_offers: 6 }"#,
        ),
        (
            Frame::Offer(offer(DuplicatePolicy::IdempotencyKey(5))),
            r#"Offer(Offer { attempt: 9, number: 1, service: "s", actor: "a", class: "c", request: "r", asks: Load { cores: 1.5, memory: 2.0 }, priority: 3, copies: Keyed(5), life_ms: 7, wait_ms: 100 })"#,
        ),
        (
            Frame::Offer(offer(DuplicatePolicy::Idempotent)),
            r#"Offer(Offer { attempt: 9, number: 1, service: "s", actor: "a", class: "c", request: "r", asks: Load { cores: 1.5, memory: 2.0 }, priority: 3, copies: Safe, life_ms: 7, wait_ms: 100 })"#,
        ),
        (
            Frame::Offer(offer(DuplicatePolicy::NonIdempotent)),
            r#"Offer(Offer { attempt: 9, number: 1, service: "s", actor: "a", class: "c", request: "r", asks: Load { cores: 1.5, memory: 2.0 }, priority: 3, copies: Unsafe, life_ms: 7, wait_ms: 100 })"#,
        ),
        (Frame::Cancel(9), r#"Cancel(9)"#),
        (Frame::Stop(9), r#"Stop(9)"#),
        (Frame::Probe(2), r#"Probe(2)"#),
        (Frame::Ping(2), r#"Ping(2)"#),
        (Frame::Pong(2), r#"Pong(2)"#),
        (Frame::Accepted(9, 3), r#"Accepted(9, 3)"#),
        (
            Frame::Refused(9, Reason::QueueFull, Some(FREE)),
            r#"Refused(9, Line, Some(Load { cores: 0.5, memory: 1.0 }))"#,
        ),
        (
            Frame::Refused(9, Reason::Ineligible, None),
            r#"Refused(9, NotHere, None)"#,
        ),
        (Frame::Started(9, 4), r#"Started(9, 4)"#),
        (
            Frame::Ended(9, Reason::Completed, true, Some(FREE)),
            r#"Ended(9, Done, true, Some(Load { cores: 0.5, memory: 1.0 }))"#,
        ),
        (
            Frame::Ended(9, Reason::Preempted, true, None),
            r#"Ended(9, PushedOut, true, None)"#,
        ),
        (
            Frame::Note(9, NoteKind::ServiceShare, 0.25),
            r#"Note(9, Served, 0.25)"#,
        ),
        (
            Frame::Note(9, NoteKind::HostMemoryShare, 0.5),
            r#"Note(9, HostMemory, 0.5)"#,
        ),
        (
            Frame::Note(9, NoteKind::Cores, 1.0),
            r#"Note(9, Cores, 1.0)"#,
        ),
        (
            Frame::Note(9, NoteKind::Memory, 1.0),
            r#"Note(9, Memory, 1.0)"#,
        ),
        (
            Frame::Report(2, FREE),
            r#"Report(2, Load { cores: 0.5, memory: 1.0 })"#,
        ),
        (Frame::Drain, r#"Drain"#),
        (
            Frame::Held(offer(DuplicatePolicy::IdempotencyKey(5)), true),
            r#"Held(Offer { attempt: 9, number: 1, service: "s", actor: "a", class: "c", request: "r", asks: Load { cores: 1.5, memory: 2.0 }, priority: 3, copies: Keyed(5), life_ms: 7, wait_ms: 100 }, true)"#,
        ),
        (Frame::HeldEnd, r#"HeldEnd"#),
        (Frame::Bye("why".into()), r#"Bye("why")"#),
    ];
    for (frame, expected) in cases {
        let from_placer = Observation::FrameFromPlacer {
            host: name("h"),
            connection: 2,
            frame: frame.clone(),
        };
        let from_host = Observation::FrameFromHost {
            host: name("h"),
            connection: 2,
            frame,
        };
        assert_eq!(
            text(&from_placer),
            format!("FromPlacer {{ host: \"h\", link: 2, frame: {expected} }}")
        );
        assert_eq!(
            text(&from_host),
            format!("FromHost {{ host: \"h\", link: 2, frame: {expected} }}")
        );
    }
}

#[test]
fn prints_reasons_under_stable_names() {
    let cases = [
        (Reason::Unknown, "Unknown"),
        (Reason::Cores, "Cores"),
        (Reason::Memory, "Memory"),
        (Reason::QueueFull, "Line"),
        (Reason::Ineligible, "NotHere"),
        (Reason::Evicted, "Evicted"),
        (Reason::Preempted, "PushedOut"),
        (Reason::Drained, "SentAway"),
        (Reason::Completed, "Done"),
        (Reason::Stopped, "Stopped"),
        (Reason::Error, "Error"),
    ];
    for (reason, expected) in cases {
        assert_eq!(format!("{:?}", ReasonText(reason)), expected);
    }
}
