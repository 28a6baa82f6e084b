//! Offers to hosts that have just come up, by when they left: the decider counts them from when it decided.

use std::collections::BTreeMap;

use maplethread::Micros;

use crate::HostId;

/// One offer.
#[derive(Clone, Copy, Debug)]
struct Sent {
    decided: Micros,
    /// When it was surely written.
    left: Micros,
}

/// Offers to cold hosts that count in a window.
#[derive(Debug)]
pub(crate) struct ColdOffers {
    window: Micros,
    sent: BTreeMap<HostId, Vec<Sent>>,
    /// Hosts with offers of the present turn.
    fresh: Vec<HostId>,
}

impl ColdOffers {
    pub fn new(window: Micros) -> ColdOffers {
        ColdOffers {
            window,
            sent: BTreeMap::new(),
            fresh: Vec::new(),
        }
    }

    /// Whether an offer at `now` would meet one that left so late that its window is not over, while the decider holds
    /// that it is: the caller was slow, or paused, between a decision and its writing.
    pub fn meets_late_one(&self, host: HostId, now: Micros) -> bool {
        let sent = self.sent.get(&host).map(Vec::as_slice).unwrap_or_default();
        sent.iter()
            .any(|sent| sent.decided + self.window < now && sent.left + self.window >= now)
    }

    /// An offer is decided on.
    pub fn add(&mut self, host: HostId, now: Micros) {
        let sent = self.sent.entry(host).or_default();
        sent.retain(|sent| sent.left + self.window >= now);
        sent.push(Sent {
            decided: now,
            left: now,
        });
        self.fresh.push(host);
    }

    /// All offers so far are written.
    pub fn written(&mut self, at: Micros) {
        for host in std::mem::take(&mut self.fresh) {
            let last = self.sent.get_mut(&host).into_iter().flatten().rev();
            for sent in last.take_while(|sent| sent.left == sent.decided) {
                sent.left = sent.left.max(at);
            }
        }
        self.sent
            .retain(|_, sent| sent.iter().any(|sent| sent.left + self.window >= at));
    }
}
