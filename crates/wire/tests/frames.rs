//! The codec of the host protocol: round trips, limits, and extensions that a newer peer may send.

use maplethread_wire::frame::{
    DuplicatePolicy, Frame, FrameError, MAX_FRAME_BYTES, NoteKind, Offer, Reason, ResourceAmounts,
    decode, encode,
};
use proptest::prelude::*;

fn any_resources() -> impl Strategy<Value = ResourceAmounts> {
    (-1e6..1e6, -1e6..1e6).prop_map(|(cores, memory)| ResourceAmounts {
        cores,
        memory_gib: memory,
    })
}

fn any_offer() -> impl Strategy<Value = Offer> {
    let duplicate_policy = prop_oneof![
        Just(DuplicatePolicy::Idempotent),
        any::<u64>().prop_map(DuplicatePolicy::IdempotencyKey),
        Just(DuplicatePolicy::NonIdempotent)
    ];
    let texts = (".{0,20}", ".{0,20}", "[a-z-]{0,20}", "[!-~]{0,40}");
    let numbers = (
        any::<u64>(),
        any::<u32>(),
        any::<u32>(),
        any::<u64>(),
        any::<u32>(),
    );
    (texts, numbers, any_resources(), duplicate_policy).prop_map(
        |((service, actor, class, request_id), n, requested, duplicate_policy)| Offer {
            attempt_id: n.0,
            prior_attempts: n.1,
            service,
            actor,
            class,
            request_id,
            requested,
            priority: n.2,
            duplicate_policy,
            expected_duration_ms: n.3,
            answer_timeout_ms: n.4,
        },
    )
}

fn any_reason() -> impl Strategy<Value = Reason> {
    (0u8..=10).prop_map(Reason::from_byte)
}

fn any_frame() -> impl Strategy<Value = Frame> {
    let optional_resources = || proptest::option::of(any_resources());
    let kind = prop_oneof![
        Just(NoteKind::Cores),
        Just(NoteKind::Memory),
        Just(NoteKind::ServiceShare),
        Just(NoteKind::HostMemoryShare)
    ];
    prop_oneof![
        (
            any::<u16>(),
            any::<u16>(),
            ".{0,30}",
            any::<u64>(),
            any::<u32>()
        )
            .prop_map(
                |(major, minor, name, started_ms, max_offers)| Frame::Hello {
                    major,
                    minor,
                    name,
                    started_ms,
                    max_offers
                }
            ),
        any_offer().prop_map(Frame::Offer),
        any::<u64>().prop_map(Frame::Cancel),
        any::<u64>().prop_map(Frame::Stop),
        any::<u32>().prop_map(Frame::Probe),
        any::<u32>().prop_map(Frame::Ping),
        any::<u32>().prop_map(Frame::Pong),
        (any::<u64>(), any::<u32>()).prop_map(|(a, t)| Frame::Accepted(a, t)),
        (any::<u64>(), any_reason(), optional_resources())
            .prop_map(|(a, r, l)| Frame::Refused(a, r, l)),
        (any::<u64>(), any::<u32>()).prop_map(|(a, t)| Frame::Started(a, t)),
        (
            any::<u64>(),
            any_reason(),
            any::<bool>(),
            optional_resources()
        )
            .prop_map(|(a, r, ran, l)| Frame::Ended(a, r, ran, l)),
        (any::<u64>(), kind, -1e9..1e9).prop_map(|(a, k, x)| Frame::Note(a, k, x)),
        (any::<u32>(), any_resources()).prop_map(|(n, l)| Frame::Report(n, l)),
        Just(Frame::Drain),
        (any_offer(), any::<bool>()).prop_map(|(o, runs)| Frame::Held(o, runs)),
        Just(Frame::HeldEnd),
        ".{0,40}".prop_map(Frame::Bye),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decodes_what_it_encodes(frames in proptest::collection::vec(any_frame(), 1..6)) {
        let mut bytes = Vec::new();
        frames.iter().for_each(|frame| encode(frame, &mut bytes));
        let (mut decoded, mut position) = (Vec::new(), 0);
        // Bytes are added one by one: no frame is decoded before all of it has been received.
        for end in 0..=bytes.len() {
            while let (Some(frame), used_bytes) = decode(&bytes[position..end]).expect("valid frames") {
                decoded.push(frame);
                position += used_bytes;
            }
        }
        prop_assert_eq!(position, bytes.len());
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut position = 0;
        while let Ok((Some(_), used_bytes)) = decode(&bytes[position..]) {
            prop_assert!(used_bytes > 0 && position + used_bytes <= bytes.len());
            position += used_bytes;
        }
    }

    /// A newer minor version may add fields at the end and frames of types that are not known here.
    #[test]
    fn skips_unknown_frames_and_trailing_fields(frame in any_frame(), extra in proptest::collection::vec(any::<u8>(), 0..20), kind in 18u8..=255) {
        let mut bytes = Vec::new();
        let unknown = [&[kind][..], &extra].concat();
        bytes.extend_from_slice(&(unknown.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&unknown);
        let start = bytes.len();
        encode(&frame, &mut bytes);
        bytes.extend_from_slice(&extra);
        let length = (bytes.len() - start - 4) as u32;
        bytes[start..start + 4].copy_from_slice(&length.to_le_bytes());
        prop_assert_eq!(decode(&bytes), Ok((Some(frame), bytes.len())));
    }

    /// A truncated frame is an error, and is not decoded as another frame.
    #[test]
    fn rejects_truncated_frames(frame in any_frame(), removed in 0usize..30) {
        let mut bytes = Vec::new();
        encode(&frame, &mut bytes);
        let encoded_length = bytes.len();
        if encoded_length == 5 {
            return Ok(());
        }
        bytes.truncate(encoded_length - 1 - removed % (encoded_length - 5));
        let length = (bytes.len() - 4) as u32;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        prop_assert!(decode(&bytes).is_err(), "{:?}", decode(&bytes));
    }
}

#[test]
fn rejects_malformed_frames() {
    assert_eq!(decode(&[0, 0, 0, 0]), Err(FrameError::Empty));
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    assert_eq!(
        decode(&too_long),
        Err(FrameError::TooLong(MAX_FRAME_BYTES + 1))
    );
    // The first four bytes of an HTTP request, read as a length, are too large.
    assert!(matches!(
        decode(b"GET / HTTP/1.1\r\n"),
        Err(FrameError::TooLong(_))
    ));
    let mut hello = Vec::new();
    let frame = Frame::Hello {
        major: 1,
        minor: 0,
        name: "h".into(),
        started_ms: 1,
        max_offers: 0,
    };
    encode(&frame, &mut hello);
    hello[5] ^= 1;
    assert_eq!(decode(&hello), Err(FrameError::NotHostProtocol));
    let mut note = Vec::new();
    encode(&Frame::Note(1, NoteKind::ServiceShare, 0.5), &mut note);
    let position = note.len() - 8;
    note[position..].copy_from_slice(&f64::NAN.to_le_bytes());
    assert_eq!(decode(&note), Err(FrameError::InvalidValue(12)));
    note[13] = 99;
    note[position..].copy_from_slice(&1f64.to_le_bytes());
    assert_eq!(
        decode(&note),
        Ok((None, note.len())),
        "a note of an unknown kind is skipped"
    );
}
