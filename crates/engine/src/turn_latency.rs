//! Measures how late the engine's turns run, and detects overload.

use maplethread::Micros;

/// The engine answers a request itself if it has no answer this long before its deadline, in µs. Deciders that keep
/// rule 1 answer earlier.
pub(crate) const DEADLINE_ANSWER_MARGIN: Micros = 5_000;
/// A turn that runs at least this late is a late turn, µs.
const LATE_TURN_THRESHOLD: Micros = 100_000;
/// Late turns over at least this time are an overload, µs; over a shorter time they are a burst or a pause.
const OVERLOAD_AFTER: Micros = 250_000;
/// Maximum lateness that is recorded, µs. A longer delay is a pause of the process, which does not predict the lateness
/// of the next turn.
const MAX_LATENESS: Micros = 250_000;
/// Minimum time between when an answer is due and its deadline, µs: any turn may take that long.
const MIN_ANSWER_MARGIN: Micros = 50_000;
/// How long the lateness of a turn sets the answer margin, µs. Late turns further apart than this are not part of the
/// same overload.
const LATENESS_WINDOW: Micros = 500_000;

/// Under overload a request is rejected if its budget is less than this multiple of the margin by which its answer is
/// due before the deadline. A request with a larger budget can wait for a later turn.
const MIN_BUDGET_MARGIN_RATIO: Micros = 8;

/// Measures how late turns run.
#[derive(Debug, Default)]
pub(crate) struct TurnLatency {
    /// The largest recent lateness, and the time until which it counts.
    max_recent_lateness: Micros,
    lateness_valid_until: Micros,
    /// How long the caller was busy with the last turn, until the next turn is recorded.
    last_busy_time: Micros,
    /// The first and the last of the recent late turns.
    late_turns: Option<(Micros, Micros)>,
}

impl TurnLatency {
    /// Records how long the caller was busy with the last turn: reading for it, deciding, and writing.
    pub fn record_round(&mut self, duration: Micros) {
        self.last_busy_time = duration;
    }

    /// Records a turn that begins at `now`, `late_by` after the earliest timer or request that it handles was due.
    pub fn record_turn(&mut self, now: Micros, late_by: Micros) {
        let late_by = late_by
            .max(std::mem::take(&mut self.last_busy_time))
            .min(MAX_LATENESS);
        if late_by >= self.max_recent_lateness || self.lateness_valid_until <= now {
            (self.max_recent_lateness, self.lateness_valid_until) =
                (late_by, now + LATENESS_WINDOW);
        }
        self.late_turns = self
            .late_turns
            .filter(|(_, last)| last + LATENESS_WINDOW > now);
        if late_by >= LATE_TURN_THRESHOLD {
            let first = self.late_turns.map_or(now, |(first, _)| first);
            self.late_turns = Some((first, now));
        }
    }

    /// How long before a deadline its answer is due: three times the recent lateness, because the next turn may be as
    /// late, writing its answers may take as long, and turns may be getting longer.
    pub fn answer_margin(&self) -> Micros {
        (3 * self.max_recent_lateness).max(MIN_ANSWER_MARGIN)
    }

    /// Whether a request with this budget is to be rejected because of an overload.
    pub fn should_reject(&self, now: Micros, budget: Micros) -> bool {
        self.is_overloaded(now) && self.answer_margin() > budget / MIN_BUDGET_MARGIN_RATIO
    }

    /// Whether turns have been late for at least [`OVERLOAD_AFTER`] and still are.
    fn is_overloaded(&self, now: Micros) -> bool {
        self.late_turns.is_some_and(|(first, last)| {
            first + OVERLOAD_AFTER <= last && last + LATENESS_WINDOW > now
        })
    }
}
