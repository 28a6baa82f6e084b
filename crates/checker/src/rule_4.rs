//! Rule 4: a cold host gets no more than the placer's part of its budget, in any window.

use crate::judge::{Judge, Name};
use crate::record::Observer;

impl Judge<'_> {
    pub(crate) fn rule_4(&mut self, placer: &Name, host: &Name) {
        let Some(&start) = self.started.get(host) else {
            return;
        };
        let (at, number) = (self.at, self.number);
        if at >= start * 1000 + self.figures.cold_for {
            return;
        }
        // Told by the host itself over this connection, or by the inventory.
        let told = self
            .told_start
            .contains_key(&(placer.clone(), host.clone()))
            || self.listed_start.get(host) == Some(&start);
        if told {
            self.number_needed(placer, host);
        }
        // Offers further apart than the window when they were sent may be read closer together.
        let (arrived, window) = (
            self.earliest_arrival(Observer::Hosts),
            self.figures.fall_window,
        );
        let fresh = self.figures.warm_up_offers;
        let offers = self.cold_offers.entry(host.clone()).or_default();
        offers.retain(|o| o.0 + window >= at);
        offers.push_back((arrived, placer.clone(), told, number));
        let knowing = offers.iter().filter(|o| o.2).count();
        let own = offers.iter().filter(|o| o.1 == *placer && o.2).count() as f64;
        let part = (fresh / f64::from(self.figures.placer_count)).ceil();
        let shown: Vec<usize> = offers.iter().map(|o| o.3).collect();
        if offers.len() as f64 > fresh && knowing * 3 >= offers.len() * 2 {
            let what = format!(
                "cold {host} was offered {} tasks in its window, it bears {fresh}",
                offers.len()
            );
            self.broken(4, what, shown);
        } else if own > part {
            let what = format!(
                "cold {host} was offered {own} tasks by {placer} alone, whose part is {part}"
            );
            self.broken(4, what, shown);
        }
    }
}
