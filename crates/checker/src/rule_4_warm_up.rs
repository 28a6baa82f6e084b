//! Rule 4: a cold host gets no more than the placer's part of its budget, in any window.

use crate::checker::{Checker, Name};
use crate::history::Observer;

impl Checker<'_> {
    pub(crate) fn check_warm_up_budget(&mut self, placer: &Name, host: &Name) {
        let Some(&start) = self.host_started_ms.get(host) else {
            return;
        };
        let (at, number) = (self.now, self.entry_index);
        if at >= start * 1000 + self.parameters.warm_up_us {
            return;
        }
        // Told by the host itself over this connection, or by the inventory.
        let told = self
            .start_announced
            .contains_key(&(placer.clone(), host.clone()))
            || self.listed_start_ms.get(host) == Some(&start);
        if told {
            self.check_replica_index_held(placer, host);
        }
        // Offers further apart than the window when they were sent may be read closer together.
        let (arrived, window) = (
            self.earliest_arrival(Observer::Hosts),
            self.parameters.overload_window_us,
        );
        let fresh = self.parameters.warm_up_offers;
        let offers = self.warm_up_offers.entry(host.clone()).or_default();
        offers.retain(|o| o.0 + window >= at);
        offers.push_back((arrived, placer.clone(), told, number));
        let knowing = offers.iter().filter(|o| o.2).count();
        let own = offers.iter().filter(|o| o.1 == *placer && o.2).count() as f64;
        let part = (fresh / f64::from(self.parameters.placer_count)).ceil();
        let shown: Vec<usize> = offers.iter().map(|o| o.3).collect();
        if offers.len() as f64 > fresh && knowing * 3 >= offers.len() * 2 {
            let what = format!(
                "cold {host} was offered {} tasks in its window, it bears {fresh}",
                offers.len()
            );
            self.report_violation(4, what, shown);
        } else if own > part {
            let what = format!(
                "cold {host} was offered {own} tasks by {placer} alone, whose part is {part}"
            );
            self.report_violation(4, what, shown);
        }
    }
}
