//! Frames to hosts, within the limit of unwritten bytes.

use maplethread_wire::frame::{self, Frame};

use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::ConnectionState;
use crate::ids::HostId;
use crate::output::Output;

/// Capacity that suffices for nearly every frame.
const TYPICAL_FRAME_BYTES: usize = 160;

/// How a frame is handled if too many bytes to its host are unwritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The frame is not sent. Neither is it sent before the host has listed the tasks that it holds.
    BestEffort,
    /// The frame must not be lost: its limit is twice as high, and beyond that the connection is dropped, which ends
    /// the attempts that depend on it.
    Required,
}

impl<D: Decide> Engine<D> {
    /// Queues a frame for a host. Returns the position in the connection's byte stream at which it ends, or `None` if
    /// it is not sent.
    pub(crate) fn send_frame(
        &mut self,
        id: HostId,
        frame: &Frame,
        delivery: Delivery,
    ) -> Option<u64> {
        let host = self.hosts.get_mut(&id)?;
        let limit = self.config.hosts.max_unwritten_bytes as u64;
        let (is_open, max_unwritten) = match delivery {
            Delivery::BestEffort => (host.connection == ConnectionState::Up, limit),
            Delivery::Required => (host.connection != ConnectionState::Down, 2 * limit),
        };
        if !is_open {
            return None;
        }
        if host.queued_bytes - host.written_bytes > max_unwritten {
            if delivery == Delivery::Required {
                tracing::warn!(host = %host.name, "too many unwritten bytes; connection dropped");
                self.disconnect_host(id);
            }
            return None;
        }
        let mut bytes = Vec::with_capacity(TYPICAL_FRAME_BYTES);
        frame::encode(frame, &mut bytes);
        host.queued_bytes += bytes.len() as u64;
        let end = host.queued_bytes;
        self.outputs.push(Output::ToHost(id, bytes));
        Some(end)
    }
}
