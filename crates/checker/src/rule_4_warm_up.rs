//! Rule 4: a warming host gets no more offers in any window than its budget, and no more from one placer than its
//! share.

use crate::history::Observer;
use crate::state::{Checker, Name, PlacerAndHost, WarmUpOffer};

impl Checker<'_> {
    /// Checks an offer against the budget of its host, if the host is warming up.
    pub(crate) fn check_warm_up_budget(&mut self, placer: &Name, host: &Name) {
        let Some(&started_ms) = self.warm_up.started_ms.get(host) else {
            return;
        };
        if self.now >= started_ms * 1000 + self.parameters.warm_up_us {
            return;
        }
        let is_informed = self.was_informed_of_start(placer, host, started_ms);
        if is_informed && let Some(reason) = self.replica_indexes.missing_lease(self.now, placer) {
            let description = format!("cold host {host} got an offer from {placer}, {reason}");
            self.report_violation(4, description, vec![self.entry_index]);
        }
        let offer = WarmUpOffer {
            // The earliest arrival, because offers that were sent further apart than the window may be read closer
            // together.
            arrived: self.earliest_arrival(Observer::Hosts),
            placer: placer.clone(),
            is_informed,
            entry: self.entry_index,
        };
        let (now, window) = (self.now, self.parameters.overload_window_us);
        let offers = self.warm_up.offers.entry(host.clone()).or_default();
        offers.retain(|offer| offer.arrived + window >= now);
        offers.push_back(offer);
        self.check_offers_in_window(placer, host);
    }

    /// Whether a placer was informed of the present start of a host, by the host, the inventory or the catalogue.
    fn was_informed_of_start(&self, placer: &Name, host: &Name, started_ms: u64) -> bool {
        let key = PlacerAndHost {
            placer: placer.clone(),
            host: host.clone(),
        };
        self.warm_up.announced.contains(&key)
            || self.warm_up.listed_start_ms.get(host) == Some(&started_ms)
    }

    fn check_offers_in_window(&mut self, placer: &Name, host: &Name) {
        let Some(offers) = self.warm_up.offers.get(host) else {
            return;
        };
        let budget = self.parameters.max_warm_up_offers;
        let count = offers.len();
        let informed = offers.iter().filter(|offer| offer.is_informed).count();
        let own = offers
            .iter()
            .filter(|offer| offer.placer == *placer && offer.is_informed)
            .count() as f64;
        let share = (budget / f64::from(self.parameters.placer_count)).ceil();
        let evidence = offers.iter().map(|offer| offer.entry).collect();
        // Placers that were not informed of the start may exceed the budget, so it is a violation only if at least two
        // thirds of the offers came from informed placers.
        if count as f64 > budget && informed * 3 >= count * 2 {
            let description = format!(
                "cold host {host} got {count} offers in its window, its budget is {budget}"
            );
            self.report_violation(4, description, evidence);
        } else if own > share {
            let description = format!(
                "cold host {host} got {own} offers from {placer} alone, whose share is {share}"
            );
            self.report_violation(4, description, evidence);
        }
    }
}
