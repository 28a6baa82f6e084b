//! Whether the engine's turns keep up with what comes in: how late they run, and whether that lasts.

use maplethread::Micros;

/// A turn that runs later than this does not keep up.
const LATE_TURN: Micros = 100_000;
/// Turns that do not keep up for this long tell of an overload; for a shorter time, of a burst or a pause.
const OVERLOAD_AFTER: Micros = 250_000;
/// Lateness beyond this is a pause of the process, which says nothing of the next turn.
const MAX_LATENESS: Micros = 250_000;
/// Answers are due at least so long before their deadlines, however well turns keep up: a turn may take as long.
const MIN_ANSWER_MARGIN: Micros = 50_000;
/// How long a late turn is remembered: late turns further apart than this are no overload.
const LATENESS_MEMORY: Micros = 500_000;

/// Under overload an ask is turned away whose answer is due earlier than its deadline by more than this part of its
/// budget. One that has more time waits for its turn.
const MIN_BUDGET_MARGIN_RATIO: Micros = 8;

/// The pace of the turns.
#[derive(Debug, Default)]
pub(crate) struct TurnLatency {
    /// The largest lateness of late, and until when it is remembered.
    max_recent_lateness: Micros,
    remembered_until: Micros,
    /// How long the caller was busy with the last turn.
    last_round: Micros,
    /// The first and the last turn of an unbroken time in which turns did not keep up.
    late_turns: Option<(Micros, Micros)>,
}

impl TurnLatency {
    /// The caller was busy for so long with the last turn: reading for it, deciding, and writing.
    pub fn record_round(&mut self, span: Micros) {
        self.last_round = span;
    }

    /// A turn begins at `now`, so long after the earliest thing that waits for it was due.
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

    /// So long before a deadline its answer is due: the next turn may come as late as turns do, what it answers is
    /// written as much later, and turns may be growing longer.
    pub fn answer_margin(&self) -> Micros {
        (3 * self.max_recent_lateness).max(MIN_ANSWER_MARGIN)
    }

    /// Whether an ask with this budget is to be turned away: turns run late, and it has no time for that.
    pub fn should_reject(&self, now: Micros, budget: Micros) -> bool {
        self.is_overloaded(now) && self.answer_margin() > budget / MIN_BUDGET_MARGIN_RATIO
    }

    /// Whether more is taken in than the turns can bear.
    fn is_overloaded(&self, now: Micros) -> bool {
        self.late_turns.is_some_and(|(first, last)| {
            first + OVERLOAD_AFTER <= last && last + LATENESS_MEMORY > now
        })
    }
}
