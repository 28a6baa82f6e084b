//! Counts the messages between placers and hosts, by kind and direction, and models their bytes on the wire.
//!
//! Model of the wire:
//! - The frames of one read or one write share a segment; its header of [`HEADER_BYTES`] bytes (IPv4, TCP with the
//!   timestamp option) is divided among them.
//! - A segment that is answered with data on the same connection within 40 ms is acknowledged by that data.
//!   Otherwise a separate acknowledgement of [`HEADER_BYTES`] bytes is sent, one for all segments of a direction within
//!   that time. It is attributed to the last message of the segment, and counted when the next segment of the
//!   connection is seen or the connection ends.
//! - Setting up a connection takes SYN, SYN-ACK and ACK, and closing it two FINs, of which the second acknowledges the
//!   first, and an ACK.
//! - There is no packet loss and no retransmission, and segments longer than the MTU count once. Attempts to connect to
//!   a host that is down are not observed and not counted.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use maplethread_capacity::{Direction, MessageCount, MessageKind};
use maplethread_wire::frame::Frame;

/// Bytes of the IPv4 and TCP headers of a segment with timestamps.
pub const HEADER_BYTES: u64 = 52;
/// Bytes of a segment that opens a connection, with its options.
const SYN_BYTES: u64 = 60;
/// Data sent within this time after a segment acknowledges it, µs: the delayed acknowledgement of Linux.
const DELAYED_ACK_US: u64 = 40_000;

/// The kind and size of a frame, for counting.
#[derive(Clone, Copy, Debug)]
pub struct CountedFrame {
    /// Its kind.
    pub kind: MessageKind,
    /// Its bytes.
    pub bytes: u64,
}

/// The kind under which a frame is counted.
pub fn message_kind(frame: &Frame) -> MessageKind {
    match frame {
        Frame::Hello { .. } => MessageKind::Hello,
        Frame::Offer(_) => MessageKind::Offer,
        Frame::Cancel(_) => MessageKind::Cancel,
        Frame::Stop(_) => MessageKind::Stop,
        Frame::Probe(_) => MessageKind::Probe,
        Frame::Ping(_) => MessageKind::Ping,
        Frame::Pong(_) => MessageKind::Pong,
        Frame::Accepted(..) => MessageKind::Accepted,
        Frame::Refused(..) => MessageKind::Refused,
        Frame::Started(..) => MessageKind::Started,
        Frame::Ended(..) => MessageKind::Ended,
        Frame::Note(..) => MessageKind::Note,
        Frame::Report(..) => MessageKind::Report,
        Frame::Drain => MessageKind::Drain,
        Frame::Held(..) => MessageKind::Held,
        Frame::HeldEnd => MessageKind::HeldEnd,
        Frame::Bye(_) => MessageKind::Bye,
    }
}

/// Counts messages; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounter {
    counts: Arc<Mutex<Traffic>>,
}

/// Messages by kind and direction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    by_kind: BTreeMap<(MessageKind, Direction), Sums>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sums {
    count: u64,
    payload_bytes: u64,
    wire_bytes: u64,
}

/// A segment that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct Unacknowledged {
    at: u64,
    last_kind: MessageKind,
    direction: Direction,
}

/// The state that the counter keeps for a connection.
#[derive(Debug, Default)]
pub struct ConnectionTraffic {
    unacknowledged: Option<Unacknowledged>,
    opened: bool,
}

impl TrafficCounter {
    /// The counts so far.
    pub fn snapshot(&self) -> Traffic {
        self.counts().clone()
    }

    /// Counts the set-up of a connection; only the first call for a connection counts.
    pub fn opened(&self, connection: &mut ConnectionTraffic) {
        if std::mem::replace(&mut connection.opened, true) {
            return;
        }
        let mut counts = self.counts();
        counts.add(
            MessageKind::Connection,
            Direction::FromPlacer,
            1,
            0,
            SYN_BYTES + HEADER_BYTES,
        );
        counts.add(
            MessageKind::Connection,
            Direction::ToPlacer,
            1,
            0,
            SYN_BYTES,
        );
    }

    /// Counts the end of a connection, in order or by a reset.
    pub fn closed(&self, connection: &mut ConnectionTraffic, reset: bool) {
        self.opened(connection);
        let mut counts = self.counts();
        if let Some(segment) = connection.unacknowledged.take() {
            counts.add_separate_acknowledgement(segment);
        }
        let from_placer = if reset { 0 } else { 2 * HEADER_BYTES };
        counts.add(
            MessageKind::Connection,
            Direction::FromPlacer,
            0,
            0,
            from_placer,
        );
        counts.add(
            MessageKind::Connection,
            Direction::ToPlacer,
            0,
            0,
            HEADER_BYTES,
        );
    }

    /// Counts a segment with these frames, read or written at a time in µs.
    pub fn segment(
        &self,
        connection: &mut ConnectionTraffic,
        now: u64,
        direction: Direction,
        frames: &[CountedFrame],
    ) {
        let Some(last) = frames.last() else { return };
        self.opened(connection);
        let mut counts = self.counts();
        if let Some(earlier) = connection.unacknowledged.take()
            && now > earlier.at + DELAYED_ACK_US
        {
            counts.add_separate_acknowledgement(earlier);
        }
        let header_share = HEADER_BYTES / frames.len() as u64;
        let header_remainder = HEADER_BYTES % frames.len() as u64;
        for frame in frames {
            counts.add(
                frame.kind,
                direction,
                1,
                frame.bytes,
                frame.bytes + header_share,
            );
        }
        counts.add(last.kind, direction, 0, 0, header_remainder);
        connection.unacknowledged = Some(Unacknowledged {
            at: now,
            last_kind: last.kind,
            direction,
        });
    }

    fn counts(&self) -> MutexGuard<'_, Traffic> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Traffic {
    fn add(
        &mut self,
        kind: MessageKind,
        direction: Direction,
        count: u64,
        payload: u64,
        wire: u64,
    ) {
        let sums = self.by_kind.entry((kind, direction)).or_default();
        sums.count += count;
        sums.payload_bytes += payload;
        sums.wire_bytes += wire;
    }

    /// Counts an acknowledgement that carries no data. It travels against the segment's direction, but is counted with
    /// the message that caused it.
    fn add_separate_acknowledgement(&mut self, segment: Unacknowledged) {
        self.add(segment.last_kind, segment.direction, 0, 0, HEADER_BYTES);
    }

    /// The messages counted since an earlier snapshot, without kinds that did not occur.
    pub fn since(&self, earlier: &Traffic) -> Vec<MessageCount> {
        let counts = self.by_kind.iter().map(|(&(kind, direction), sums)| {
            let before = earlier
                .by_kind
                .get(&(kind, direction))
                .copied()
                .unwrap_or_default();
            MessageCount {
                kind,
                direction,
                count: sums.count - before.count,
                payload_bytes: sums.payload_bytes - before.payload_bytes,
                wire_bytes: sums.wire_bytes - before.wire_bytes,
            }
        });
        counts.filter(|c| c.count > 0 || c.wire_bytes > 0).collect()
    }

    /// Number of messages of a kind so far, in both directions.
    pub fn count(&self, kind: MessageKind) -> u64 {
        self.by_kind
            .iter()
            .filter(|((k, _), _)| *k == kind)
            .map(|(_, sums)| sums.count)
            .sum()
    }
}
