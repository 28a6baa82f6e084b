//! The daemon's measurements for the status response, and the load that it announces to other members.

use maplethread_engine::Decide;
use serde_json::json;

use super::Daemon;
use crate::decision_times::DecisionTimes;
use crate::loop_time::LoopTime;

/// How often gauges are passed to the engine, µs.
const PUBLISH_INTERVAL_US: u64 = 250_000;

/// The daemon's measurements.
pub(super) struct Gauges {
    pub decision_times: DecisionTimes,
    pub loop_time: LoopTime,
    next_publish_at: u64,
}

impl Gauges {
    pub fn new() -> Gauges {
        Gauges {
            decision_times: DecisionTimes::new(),
            loop_time: LoopTime::default(),
            next_publish_at: 0,
        }
    }
}

impl<D: Decide> Daemon<D> {
    /// Passes the measurements to the engine for the status response and announces the load to other members, if due.
    pub(super) fn publish_gauges(&mut self, now: u64) {
        if now < self.gauges.next_publish_at {
            return;
        }
        self.gauges.next_publish_at = now + PUBLISH_INTERVAL_US;
        let mut gauges = json!({
            "decide_us": self.gauges.decision_times.to_json(),
            "spent_us": self.gauges.loop_time.to_json(),
        });
        if let Some(consul) = &self.consul {
            gauges["catalogue"] = json!(consul.source.report(now));
        }
        self.engine.set_gauges(gauges);
        if self.stop_deadline.is_some() {
            // During shutdown the member has already announced that it leaves.
            return;
        }
        if let Some(membership) = &mut self.membership {
            let load =
                self.engine.pending_requests() as f64 / self.config.api.max_pending_requests as f64;
            membership.announce(now, self.replica_index, load);
        }
    }
}
