//! Pauses at every point of a round.

use super::{MAX_READ_DURATION_US, MIN_STALL_US, StallDetector, Wait};

/// A pause as by SIGSTOP, µs.
const PAUSE_US: u64 = 4_000_000;
/// One step of a round takes so long, µs.
const STEP_US: u64 = 10;
/// A timer is due so long after a wait began, µs.
const TIMER_US: u64 = 200_000;

/// The steps of a round between which the process may stand still; each begins with the last look at the clock of the
/// one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// From the look at the clock before the wait to its end.
    Wait,
    /// From the end of the wait to the look that finds nothing to read.
    Read,
    /// From that look to the look at the clock for the decision.
    FinishReading,
    /// From the look at the clock for the decision until all is written.
    DecideAndWrite,
}

const STEPS: [Step; 4] = [
    Step::Wait,
    Step::Read,
    Step::FinishReading,
    Step::DecideAndWrite,
];

/// A decision as the loop makes it.
#[derive(Debug)]
struct Decision {
    at: u64,
    /// Everything that came before this was read for it.
    read_up_to: u64,
    is_stalled: bool,
}

/// Plays rounds of the loop in which nothing but a timer falls due, with one pause.
struct Rounds {
    now: u64,
    stalls: StallDetector,
}

impl Rounds {
    fn new() -> Rounds {
        let now = 1_000_000;
        Rounds {
            now,
            stalls: StallDetector::new(now),
        }
    }

    /// Plays one round; the process stands still for `pause_us` within the step `paused_in`.
    fn play(&mut self, paused_in: Option<Step>, pause_us: u64) -> Decision {
        let pass = |now: &mut u64, step| {
            *now += STEP_US;
            if paused_in == Some(step) {
                *now += pause_us;
            }
        };
        let started_at = self.now;
        let deadline = Some(started_at + TIMER_US);
        // The wait ends with its timer, or with the pause if that is later.
        self.now += TIMER_US;
        if paused_in == Some(Step::Wait) {
            self.now = self.now.max(started_at + pause_us);
        }
        let wakeup = self.stalls.wake_up(
            Wait {
                started_at,
                deadline,
            },
            self.now,
        );
        pass(&mut self.now, Step::Read);
        let read_up_to = self.now;
        self.stalls.record_drained(read_up_to);
        pass(&mut self.now, Step::FinishReading);
        let at = self.now;
        let is_stalled = wakeup.is_stalled_by(at);
        pass(&mut self.now, Step::DecideAndWrite);
        Decision {
            at,
            read_up_to,
            is_stalled,
        }
    }
}

#[test]
fn no_decision_takes_the_process_own_pause_for_silence_wherever_it_was_paused() {
    for step in STEPS {
        let mut rounds = Rounds::new();
        rounds.play(None, 0);
        for paused_in in [Some(step), None, None] {
            let decision = rounds.play(paused_in, PAUSE_US);
            // Whoever spoke during a pause was heard before the decision, or the decision knows of the pause.
            let unread_us = decision.at - decision.read_up_to;
            assert!(
                decision.is_stalled || unread_us < PAUSE_US / 2,
                "{step:?}: {decision:?}"
            );
        }
    }
}

#[test]
fn reports_a_pause_at_any_step_in_that_round_or_the_next_and_then_no_more() {
    for step in STEPS {
        let mut rounds = Rounds::new();
        assert!(!rounds.play(None, 0).is_stalled);
        let reported: Vec<bool> = [Some(step), None, None, None]
            .map(|paused_in| rounds.play(paused_in, PAUSE_US).is_stalled)
            .into();
        let expected: &[bool] = match step {
            Step::Wait | Step::Read => &[true, false, false, false],
            // What was read last was read before the pause.
            Step::FinishReading => &[true, true, false, false],
            Step::DecideAndWrite => &[false, true, false, false],
        };
        assert_eq!(reported, expected, "{step:?}");
    }
}

#[test]
fn a_round_on_a_busy_machine_is_no_pause() {
    for step in STEPS {
        let mut rounds = Rounds::new();
        rounds.play(None, 0);
        for paused_in in [Some(step), None] {
            let decision = rounds.play(paused_in, MIN_STALL_US - 3 * STEP_US);
            assert!(!decision.is_stalled, "{step:?}: {decision:?}");
        }
    }
}

#[test]
fn reading_may_take_its_time_without_being_a_pause() {
    let stalls = StallDetector::new(0);
    let wait = Wait {
        started_at: 10,
        deadline: None,
    };
    let wakeup = stalls.wake_up(wait, 20);
    assert!(!wakeup.is_stalled_by(20 + MAX_READ_DURATION_US + MIN_STALL_US));
    assert!(wakeup.is_stalled_by(21 + MAX_READ_DURATION_US + MIN_STALL_US));
}

#[test]
fn a_long_wait_without_a_deadline_is_no_pause() {
    let stalls = StallDetector::new(0);
    let wait = Wait {
        started_at: 10,
        deadline: None,
    };
    let wakeup = stalls.wake_up(wait, PAUSE_US);
    assert!(!wakeup.is_stalled);
    assert_eq!((wakeup.unread_since, wakeup.unread_ms()), (PAUSE_US, 0));
}

#[test]
fn unread_bytes_count_from_the_last_time_at_which_none_were_left() {
    let stalls = StallDetector::new(1_000);
    let overslept = stalls.wake_up(
        Wait {
            started_at: 2_000,
            deadline: Some(3_000),
        },
        PAUSE_US,
    );
    assert!(overslept.is_stalled);
    assert_eq!(overslept.unread_since, 2_000);
    let paused_while_writing = stalls.wake_up(
        Wait {
            started_at: PAUSE_US,
            deadline: Some(PAUSE_US + TIMER_US),
        },
        PAUSE_US + 5,
    );
    assert!(paused_while_writing.is_stalled);
    assert_eq!(paused_while_writing.unread_since, 1_000);
    assert_eq!(paused_while_writing.unread_ms(), 3_999);
}
