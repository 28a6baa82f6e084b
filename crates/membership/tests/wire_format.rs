//! Compatibility of the datagram format with an earlier build. Each line of `recorded/join_and_leave.txt` is a datagram that
//! the earlier build sent: the step, the index of the sender, and the bytes. The second of two members joins the first one,
//! and leaves after three seconds.

use std::net::SocketAddr;

use maplethread_membership::{
    Facts, KeyRing, LocalMember, MemberName, MemberState, Micros, Output, Settings, Timing,
};

const RECORDED: &str = include_str!("recorded/join_and_leave.txt");
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const START: Micros = 1_790_000_000_000_000;
const STEP: Micros = 10_000;
const STEPS: u64 = 400;
const LEAVE_AT_STEP: u64 = 300;

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], member as u16 + 1))
}

fn start_member(member: usize) -> LocalMember {
    let text = |text: &str| {
        text.to_owned()
            .try_into()
            .expect("the text has a valid length")
    };
    let name = ["first", "second"][member].to_owned();
    let settings = Settings {
        name: MemberName::try_from(name).expect("a valid name"),
        advertised_address: address(member),
        generation: START / 1000 + u64::from(address(member).port()),
        facts: Facts {
            version: text("0.2.0"),
            zone: text("a"),
            started_ms: START / 1000,
            is_draining: false,
            replica_index: Some(1),
            load_percent: 25,
        },
        seeds: vec![address(0)],
        keys: KeyRing::parse(KEY, "fixture").expect("a valid key"),
        timing: Timing::default(),
    };
    LocalMember::new(settings, member as u64 + 1, START)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits"))
        .collect()
}

/// Runs two members over a lossless network, and returns each datagram that they send, in the recorded format.
fn run_two_members() -> Vec<String> {
    let mut members = [start_member(0), start_member(1)];
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let now = START + step * STEP;
        if step == LEAVE_AT_STEP {
            members[1].leave(now);
        }
        members.iter_mut().for_each(|member| member.tick(now));
        // Several rounds, so that responses and the responses to them arrive within the same step.
        for _ in 0..4 {
            for sender in 0..2 {
                let receiver = 1 - sender;
                for output in members[sender].take_outputs() {
                    let Output::Send(to, bytes) = output else {
                        continue;
                    };
                    sent.push(format!("{step} {sender} {}", to_hex(&bytes)));
                    if to == address(receiver) {
                        members[receiver].handle_datagram(now, &bytes);
                    }
                }
            }
        }
    }
    sent
}

#[test]
fn sends_same_datagrams_as_earlier_build() {
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert!(
        recorded.len() > 50,
        "only {} recorded datagrams",
        recorded.len()
    );
    assert_eq!(run_two_members(), recorded);
}

#[test]
fn accepts_datagrams_of_earlier_build() {
    let mut member = start_member(0);
    let (mut state_before_leave, mut count) = (None, 0);
    for line in RECORDED.lines() {
        let mut fields = line.split(' ');
        let step: u64 = fields
            .next()
            .and_then(|field| field.parse().ok())
            .expect("the line has a step");
        let sender = fields.next().expect("the line has a sender");
        let bytes = from_hex(fields.next().expect("the line has bytes"));
        if sender != "1" {
            continue;
        }
        if step < LEAVE_AT_STEP {
            state_before_leave = member.state_of("second");
        }
        let now = START + step * STEP;
        member.tick(now);
        member.handle_datagram(now, &bytes);
        count += 1;
    }
    assert_eq!(state_before_leave, Some(MemberState::Alive));
    assert_eq!(member.state_of("second"), Some(MemberState::Left));
    let view = member.view(START + STEPS * STEP);
    let rejected = view.counters.unknown_version
        + view.counters.unauthenticated
        + view.counters.malformed
        + view.counters.oversize
        + view.counters.stale
        + view.counters.rejected_by_swim;
    assert_eq!((view.counters.received, rejected), (count, 0));
    let facts = view.members[0]
        .facts
        .as_ref()
        .expect("the member published facts");
    assert_eq!((facts.replica_index, facts.load_percent), (Some(1), 25));
}
