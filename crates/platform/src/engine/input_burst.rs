//! Bursts of input on an owner's connection. What a client sends before it closes the connection is received before its end
//! is, so the requests in a burst wait until the input has paused: until then the client may have left already.

use maplethread::Micros;

/// The time over which received bytes are counted.
const WINDOW: Micros = 100_000;
/// More bytes than this in a window are a burst. Usual owners send a few requests in that time.
const MAX_WINDOW_BYTES: usize = 8 << 10;
/// How long the input may be no burst until one is over. The end of a connection follows its last bytes sooner.
const PAUSE: Micros = 5_000;
/// A burst of more bytes than this may not fit the receive window. Its sender then waits for window updates.
const MAX_WINDOWED_BYTES: usize = 128 << 10;
/// How long the input may be no burst until such a burst is over. It is longer than the retransmission timeout that a sender
/// may have to wait for.
const LONG_PAUSE: Micros = 250_000;

/// The recent input of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InputBurst {
    window_started_at: Micros,
    window_bytes: usize,
    is_burst: bool,
    /// The bytes of the current burst and its first window.
    burst_bytes: usize,
    /// When the last input of a burst was received.
    last_burst_input: Micros,
}

impl InputBurst {
    /// Records received bytes, and whether more can be read. Returns whether the connection is in a burst.
    pub(super) fn record(&mut self, now: Micros, bytes: usize, has_more: bool) -> bool {
        if self.window_started_at + WINDOW <= now {
            self.window_started_at = now;
            self.window_bytes = 0;
            if !self.is_burst {
                self.burst_bytes = 0;
            }
        }
        self.window_bytes += bytes;
        self.burst_bytes += bytes;
        if has_more || self.window_bytes > MAX_WINDOW_BYTES {
            self.is_burst = true;
            self.last_burst_input = now;
        }
        self.is_burst
    }

    /// When the burst is over, unless more input of it is received. Usual input does not extend it.
    pub(super) fn ends_at(&self) -> Micros {
        let is_windowed = self.burst_bytes > MAX_WINDOWED_BYTES;
        self.last_burst_input + if is_windowed { LONG_PAUSE } else { PAUSE }
    }

    /// Records the end of a burst.
    pub(super) fn end(&mut self) {
        self.is_burst = false;
        self.burst_bytes = 0;
    }
}
