//! Detection of stalls at every step of a round.

use super::{MAX_READ_DURATION_US, MIN_STALL_US, StallDetector, Wait};

/// A pause as caused by SIGSTOP, µs.
const PAUSE_US: u64 = 4_000_000;
/// Duration of one step of a round, µs.
const STEP_US: u64 = 10;
/// Time from the start of a wait to its timer, µs.
const TIMER_DELAY_US: u64 = 200_000;

/// The steps of a round in which the process may be paused; each begins with the last clock reading of the step before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// From the clock reading before the wait to its end.
    Wait,
    /// From the end of the wait to the poll that finds nothing to read.
    Read,
    /// From that poll to the clock reading for the decision.
    FinishReading,
    /// From the clock reading for the decision until everything is written.
    DecideAndWrite,
}

const STEPS: [Step; 4] = [
    Step::Wait,
    Step::Read,
    Step::FinishReading,
    Step::DecideAndWrite,
];

/// A decision of the event loop.
#[derive(Debug)]
struct Decision {
    at: u64,
    /// Input that arrived before this time was read before the decision.
    read_up_to: u64,
    is_stalled: bool,
}

/// Simulates rounds of the event loop in which only a timer is due.
struct SimulatedLoop {
    now: u64,
    stalls: StallDetector,
}

impl SimulatedLoop {
    fn new() -> SimulatedLoop {
        let now = 1_000_000;
        SimulatedLoop {
            now,
            stalls: StallDetector::new(now),
        }
    }

    /// Simulates one round in which the process is paused for `pause_us` within the step `paused_in`.
    fn run_round(&mut self, paused_in: Option<Step>, pause_us: u64) -> Decision {
        let advance = |now: &mut u64, step| {
            *now += STEP_US;
            if paused_in == Some(step) {
                *now += pause_us;
            }
        };
        let started_at = self.now;
        let deadline = Some(started_at + TIMER_DELAY_US);
        // The wait ends with its timer, or with the pause if that ends later.
        self.now += TIMER_DELAY_US;
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
        advance(&mut self.now, Step::Read);
        let read_up_to = self.now;
        self.stalls.record_drained(read_up_to);
        advance(&mut self.now, Step::FinishReading);
        let at = self.now;
        let is_stalled = wakeup.is_stalled_by(at);
        advance(&mut self.now, Step::DecideAndWrite);
        Decision {
            at,
            read_up_to,
            is_stalled,
        }
    }
}

#[test]
fn decision_after_a_pause_has_read_all_input_or_is_marked_as_stalled() {
    for step in STEPS {
        let mut event_loop = SimulatedLoop::new();
        event_loop.run_round(None, 0);
        for paused_in in [Some(step), None, None] {
            let decision = event_loop.run_round(paused_in, PAUSE_US);
            // Input that arrived during a pause was read before the decision, or the decision is marked as stalled.
            let unread_us = decision.at - decision.read_up_to;
            assert!(
                decision.is_stalled || unread_us < PAUSE_US / 2,
                "{step:?}: {decision:?}"
            );
        }
    }
}

#[test]
fn reports_a_pause_at_any_step_in_its_round_or_the_next_and_not_again() {
    for step in STEPS {
        let mut event_loop = SimulatedLoop::new();
        assert!(!event_loop.run_round(None, 0).is_stalled);
        let reported: Vec<bool> = [Some(step), None, None, None]
            .map(|paused_in| event_loop.run_round(paused_in, PAUSE_US).is_stalled)
            .into();
        let expected: &[bool] = match step {
            Step::Wait | Step::Read => &[true, false, false, false],
            // The last read was before the pause, so the next round follows a stall as well.
            Step::FinishReading => &[true, true, false, false],
            Step::DecideAndWrite => &[false, true, false, false],
        };
        assert_eq!(reported, expected, "{step:?}");
    }
}

#[test]
fn pause_shorter_than_the_minimum_is_not_a_stall() {
    for step in STEPS {
        let mut event_loop = SimulatedLoop::new();
        event_loop.run_round(None, 0);
        for paused_in in [Some(step), None] {
            let decision = event_loop.run_round(paused_in, MIN_STALL_US - 3 * STEP_US);
            assert!(!decision.is_stalled, "{step:?}: {decision:?}");
        }
    }
}

#[test]
fn reading_for_the_allowed_time_is_not_a_stall() {
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
fn long_wait_without_a_deadline_is_not_a_stall() {
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
fn unread_time_starts_when_nothing_was_left_to_read() {
    let stalls = StallDetector::new(1_000);
    let ended_late = stalls.wake_up(
        Wait {
            started_at: 2_000,
            deadline: Some(3_000),
        },
        PAUSE_US,
    );
    assert!(ended_late.is_stalled);
    assert_eq!(ended_late.unread_since, 2_000);
    let paused_while_writing = stalls.wake_up(
        Wait {
            started_at: PAUSE_US,
            deadline: Some(PAUSE_US + TIMER_DELAY_US),
        },
        PAUSE_US + 5,
    );
    assert!(paused_while_writing.is_stalled);
    assert_eq!(paused_while_writing.unread_since, 1_000);
    assert_eq!(paused_while_writing.unread_ms(), 3_999);
}
