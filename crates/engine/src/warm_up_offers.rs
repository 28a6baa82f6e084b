//! Offers to hosts that are warming up, by when they were written; the decider counts them from when it decided.

use std::collections::BTreeMap;

use maplethread::Micros;

use crate::ids::HostId;

/// One offer.
#[derive(Clone, Copy, Debug)]
struct SentOffer {
    decided_at: Micros,
    /// When it was certainly written.
    written_at: Micros,
}

/// Offers to hosts that are warming up, as long as they count in the window of the limit.
#[derive(Debug)]
pub(crate) struct WarmUpOffers {
    window: Micros,
    sent: BTreeMap<HostId, Vec<SentOffer>>,
    /// Hosts with offers that may not be written yet.
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

    /// Whether an offer at `now` would fall into the window of one that was written late, while for the decider that
    /// window is over: the caller was slow or paused between a decision and its writing.
    pub fn overlaps_late_offer(&self, host: HostId, now: Micros) -> bool {
        let sent = self.sent.get(&host).map(Vec::as_slice).unwrap_or_default();
        sent.iter()
            .any(|sent| sent.decided_at + self.window < now && sent.written_at + self.window >= now)
    }

    /// Records an offer that is decided on.
    pub fn record(&mut self, host: HostId, now: Micros) {
        let sent = self.sent.entry(host).or_default();
        sent.retain(|sent| sent.written_at + self.window >= now);
        sent.push(SentOffer {
            decided_at: now,
            written_at: now,
        });
        self.unwritten.push(host);
    }

    /// Records that all offers so far are written.
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
