//! Offers to hosts that are warming up, with the time at which they were written. The decider counts offers from the
//! time of its decision, which may be much earlier.

use std::collections::BTreeMap;

use maplethread::Micros;

use crate::ids::HostId;

/// One offer.
#[derive(Clone, Copy, Debug)]
struct SentOffer {
    decided_at: Micros,
    /// A time at which the offer had certainly been written; until that is recorded, the time of the decision.
    written_at: Micros,
}

/// Offers to hosts that are warming up, kept while they are within the window of the offer limit.
#[derive(Debug)]
pub(crate) struct WarmUpOffers {
    window: Micros,
    sent: BTreeMap<HostId, Vec<SentOffer>>,
    /// Hosts with offers that may not have been written yet.
    unwritten: Vec<HostId>,
}

impl WarmUpOffers {
    pub fn new(window: Micros) -> WarmUpOffers {
        WarmUpOffers {
            window,
            sent: BTreeMap::new(),
            unwritten: Vec::new(),
        }
    }

    /// Whether an offer at `now` would fall into the window of an earlier offer that was written late, although for the
    /// decider that window is over. This happens if the caller is slow or pauses between a decision and the writing.
    pub fn overlaps_late_offer(&self, host: HostId, now: Micros) -> bool {
        let sent = self.sent.get(&host).map(Vec::as_slice).unwrap_or_default();
        sent.iter()
            .any(|sent| sent.decided_at + self.window < now && sent.written_at + self.window >= now)
    }

    /// Records an offer at the time of its decision.
    pub fn record(&mut self, host: HostId, now: Micros) {
        let sent = self.sent.entry(host).or_default();
        sent.retain(|sent| sent.written_at + self.window >= now);
        sent.push(SentOffer {
            decided_at: now,
            written_at: now,
        });
        self.unwritten.push(host);
    }

    /// Records that all offers so far had been written at `at`.
    pub fn mark_written(&mut self, at: Micros) {
        for host in std::mem::take(&mut self.unwritten) {
            let last = self.sent.get_mut(&host).into_iter().flatten().rev();
            for sent in last.take_while(|sent| sent.written_at == sent.decided_at) {
                sent.written_at = sent.written_at.max(at);
            }
        }
        self.sent
            .retain(|_, sent| sent.iter().any(|sent| sent.written_at + self.window >= at));
    }
}
