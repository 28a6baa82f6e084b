//! How late the engine's turns run, and whether that lasts long enough to be an overload.

use maplethread::Micros;

/// A request that has no answer this long before its deadline gets one from the engine, in µs. Deciders that keep rule 1
/// answer earlier.
pub(crate) const DEADLINE_ANSWER_MARGIN: Micros = 5_000;
/// A turn that runs later than this is a late turn, µs.
const LATE_TURN: Micros = 100_000;
/// Late turns over this time are an overload, µs; over a shorter time they are a burst or a pause.
const OVERLOAD_AFTER: Micros = 250_000;
/// Lateness beyond this is a pause of the process, which does not predict the next turn, µs.
const MAX_LATENESS: Micros = 250_000;
/// Answers are due at least this long before their deadlines, as any turn may take as long, µs.
const MIN_ANSWER_MARGIN: Micros = 50_000;
/// How long a late turn is remembered, µs: late turns further apart than this are no overload.
const LATENESS_MEMORY: Micros = 500_000;

/// Under overload a request is rejected if its budget is less than this multiple of the margin by which its answer is due
/// before the deadline. One that has more time waits for its turn.
const MIN_BUDGET_MARGIN_RATIO: Micros = 8;

/// Measures how late turns run.
#[derive(Debug, Default)]
pub(crate) struct TurnLatency {
    /// The largest recent lateness, and until when it is remembered.
    max_recent_lateness: Micros,
    remembered_until: Micros,
    /// How long the caller was busy with the last turn.
    last_round: Micros,
    /// The first and the last of the recent late turns.
    late_turns: Option<(Micros, Micros)>,
}

impl TurnLatency {
    /// Records how long the caller was busy with the last turn: reading for it, deciding, and writing.
    pub fn record_round(&mut self, span: Micros) {
        self.last_round = span;
    }

    /// Records a turn that begins at `now`, `late_by` after the earliest timer or request that waits for it.
    pub fn record_turn(&mut self, now: Micros, late_by: Micros) {
        let late_by = late_by
            .max(std::mem::take(&mut self.last_round))
            .min(MAX_LATENESS);
        if late_by >= self.max_recent_lateness || self.remembered_until <= now {
            (self.max_recent_lateness, self.remembered_until) = (late_by, now + LATENESS_MEMORY);
        }
        self.late_turns = self
            .late_turns
            .filter(|(_, last)| last + LATENESS_MEMORY > now);
        if late_by >= LATE_TURN {
            let first = self.late_turns.map_or(now, |(first, _)| first);
            self.late_turns = Some((first, now));
        }
    }

    /// How long before a deadline its answer is due: the next turn may be as late, writing its answers may take as long,
    /// and turns may be growing longer.
    pub fn answer_margin(&self) -> Micros {
        (3 * self.max_recent_lateness).max(MIN_ANSWER_MARGIN)
    }

    /// Whether a request with this budget is to be rejected: there is an overload, and the budget is too short for it.
    pub fn should_reject(&self, now: Micros, budget: Micros) -> bool {
        self.is_overloaded(now) && self.answer_margin() > budget / MIN_BUDGET_MARGIN_RATIO
    }

    /// Whether turns have been late for long and still are.
    fn is_overloaded(&self, now: Micros) -> bool {
        self.late_turns.is_some_and(|(first, last)| {
            first + OVERLOAD_AFTER <= last && last + LATENESS_MEMORY > now
        })
    }
}
