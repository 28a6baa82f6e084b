//! When a placer that was told to end does so. Free of I/O.

use maplethread::Micros;

/// After SIGTERM, connections and requests keep coming for so long.
const STILL_COMES: Micros = 800_000;
/// After SIGTERM, everything has its answer by then: SIGKILL comes 3.7 s after SIGTERM at the earliest.
pub(crate) const ANSWERED_BY: Micros = 3_200_000;
/// Then there is so much time more to write the answers.
const WRITTEN_BY: Micros = ANSWERED_BY + 200_000;

/// The earliest end of a placer that was told to end at `told`.
pub(crate) fn earliest(told: Micros) -> Micros {
    told + STILL_COMES
}

/// Whether it ends now: nothing more comes, no ask is `owed` an answer and all is `written`, or time is up. Tasks that
/// stand are no reason to stay: they run on, and the next start is handed them, sooner if this one ends sooner.
pub(crate) fn over(told: Micros, now: Micros, owed: usize, written: bool) -> bool {
    now >= told + WRITTEN_BY || (now >= earliest(told) && owed == 0 && written)
}

#[cfg(test)]
mod tests {
    use super::*;

    const TOLD: Micros = 50_000_000;

    #[test]
    fn it_stays_while_asks_may_come_or_are_owed_an_answer_and_no_longer() {
        assert!(!over(TOLD, TOLD + STILL_COMES - 1, 0, true), "requests still come");
        assert!(over(TOLD, TOLD + STILL_COMES, 0, true), "nothing is owed");
        assert!(!over(TOLD, TOLD + ANSWERED_BY, 1, true), "an answer is owed");
        assert!(!over(TOLD, TOLD + ANSWERED_BY, 0, false), "an answer is not written");
        assert!(over(TOLD, TOLD + WRITTEN_BY, 1, false), "time is up");
    }
}
