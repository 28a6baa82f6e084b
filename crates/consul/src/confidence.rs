//! Which answers of the catalogue to believe.
//!
//! Three things must not pass for news: an answer of a server that lags, a list that lost much at once because a
//! server has just restarted, and a list of another datacentre. The first is known by its index, the last by what
//! its entries say. A loss of half the hosts is asked for again in the consistent mode, which only a leader that
//! verified itself answers; where that answer does not come within [`CONFIRM_WITHIN`], the loss counts, since it may
//! be true (rule 3 wins). What an unconfirmed answer says of hosts that it does list counts at once if it is bad.

use crate::Micros;
use crate::catalogue::HostList;
use crate::query::ResponseMeta;

/// A loss waits so long to be confirmed, well within any grace of rule 3.
pub const CONFIRMATION_TIMEOUT: Micros = 500_000;
/// A list with fewer than this share of the hosts that were listed is confirmed first...
const MIN_REMAINING_SHARE: f64 = 0.5;
/// ...if at least so many are missing.
const MIN_LOST_HOSTS: usize = 3;

/// What to do with an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// It counts as a whole.
    Accept,
    /// It counts for what it lists, if that is bad news; the rest waits for a confirming read.
    Confirm,
    /// It does not count, for this reason.
    Reject(&'static str),
}

/// Counts and knowledge on which beliefs rest.
#[derive(Debug, Default)]
pub struct Confidence {
    datacentre: Option<String>,
    /// The highest index of an answer that was taken.
    highest_index: u64,
    /// When a loss began to wait.
    unconfirmed_since: Option<Micros>,
}

impl Confidence {
    /// Trusts answers of this datacentre, or of any that first answers.
    pub fn new(datacentre: Option<String>) -> Confidence {
        Confidence {
            datacentre,
            highest_index: 0,
            unconfirmed_since: None,
        }
    }

    /// The highest index taken.
    pub fn highest_index(&self) -> u64 {
        self.highest_index
    }

    /// When a waiting loss counts at the latest.
    pub fn confirmation_deadline(&self) -> Option<Micros> {
        self.unconfirmed_since
            .map(|since| since + CONFIRMATION_TIMEOUT)
    }

    /// Judges an answer; `consistent` tells that it was read in that mode. Of `had` hosts before, so many are `gone`.
    pub fn assess(
        &mut self,
        now: Micros,
        meta: ResponseMeta,
        consistent: bool,
        listed: &HostList,
        had: usize,
        gone: usize,
    ) -> Assessment {
        if let Some(own) = &self.datacentre
            && listed.datacentres.iter().any(|dc| dc != own)
        {
            return Assessment::Reject("it is of another datacentre");
        }
        if consistent && meta.known_leader == Some(false) {
            return Assessment::Reject("a consistent read without a leader");
        }
        if meta.index < self.highest_index && !consistent {
            return Assessment::Reject("its server lags");
        }
        if self.datacentre.is_none() {
            self.datacentre = listed.datacentres.first().cloned();
        }
        let much =
            gone >= MIN_LOST_HOSTS && ((had - gone) as f64) < MIN_REMAINING_SHARE * had as f64;
        let overdue = self.confirmation_deadline().is_some_and(|due| due <= now);
        if much && !consistent && !overdue {
            self.unconfirmed_since.get_or_insert(now);
            return Assessment::Confirm;
        }
        self.unconfirmed_since = None;
        // Read consistently the index may have gone back: a cluster restored from a snapshot.
        self.highest_index = if consistent {
            meta.index
        } else {
            self.highest_index.max(meta.index)
        };
        Assessment::Accept
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::catalogue::{KnownNames, ListDifferences, read_host_list};

    fn list(names: &[&str], dc: &str) -> HostList {
        let entry = |n: &&str| {
            format!(
                r#"{{"Node":{{"Node":"{n}","Address":"127.0.0.1","Datacenter":"{dc}"}},
                "Service":{{"ID":"{n}","Port":1,"Meta":{{"zone":"a","cell":"c","kind":"k"}}}},"Checks":[]}}"#
            )
        };
        let body = format!(
            "[{}]",
            names.iter().map(entry).collect::<Vec<_>>().join(",")
        );
        read_host_list(
            body.as_bytes(),
            &KnownNames {
                zones: vec!["a".into()],
                kinds: vec!["k".into()],
                max_entries: 99,
            },
        )
        .expect("a list")
    }

    /// Judges a list of these hosts, by one that had others.
    fn assess_list(
        trust: &mut Confidence,
        now: Micros,
        meta: ResponseMeta,
        consistent: bool,
        (names, dc): (&[&str], &str),
        had: &[&str],
    ) -> Assessment {
        let listed = list(names, dc);
        let gone = ListDifferences::between(&list(had, dc).entries, &listed.entries).removed_count;
        trust.assess(now, meta, consistent, &listed, had.len(), gone)
    }

    fn meta(index: u64) -> ResponseMeta {
        ResponseMeta {
            index,
            known_leader: Some(true),
            last_contact_ms: 0,
        }
    }

    const ALL: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

    #[test]
    fn rejects_lagging_servers_and_other_datacentres() {
        let mut trust = Confidence::new(Some("dc1".into()));
        assert_eq!(
            assess_list(&mut trust, 0, meta(50), false, (&ALL[..], "dc1"), &ALL),
            Assessment::Accept
        );
        assert!(matches!(
            assess_list(&mut trust, 1, meta(49), false, (&ALL[..], "dc1"), &ALL),
            Assessment::Reject(_)
        ));
        assert!(matches!(
            assess_list(&mut trust, 1, meta(60), false, (&ALL[..], "dc2"), &ALL),
            Assessment::Reject(_)
        ));
        assert!(matches!(
            assess_list(&mut trust, 1, meta(60), true, (&ALL[..], "dc2"), &ALL),
            Assessment::Reject(_)
        ));
        assert_eq!(
            assess_list(&mut trust, 2, meta(50), false, (&ALL[1..], "dc1"), &ALL),
            Assessment::Accept
        );
        // A cluster restored from a snapshot: its leader says so, and from then on its indexes count.
        assert_eq!(
            assess_list(&mut trust, 3, meta(7), true, (&ALL[..], "dc1"), &ALL),
            Assessment::Accept
        );
        assert_eq!(
            assess_list(&mut trust, 4, meta(8), false, (&ALL[..], "dc1"), &ALL),
            Assessment::Accept
        );
        // Without a name in the settings the first answer gives it.
        let mut trust = Confidence::new(None);
        assert_eq!(
            assess_list(&mut trust, 0, meta(1), false, (&ALL[..], "dc9"), &ALL),
            Assessment::Accept
        );
        assert!(matches!(
            assess_list(&mut trust, 0, meta(2), false, (&ALL[..], "dc1"), &ALL),
            Assessment::Reject(_)
        ));
    }

    #[test]
    fn confirms_large_loss_or_accepts_it_after_timeout() {
        for less in [&ALL[..0], &ALL[..2]] {
            let mut trust = Confidence::new(None);
            assert_eq!(
                assess_list(&mut trust, 100, meta(5), false, (less, "dc1"), &ALL),
                Assessment::Confirm
            );
            assert_eq!(
                trust.confirmation_deadline(),
                Some(100 + CONFIRMATION_TIMEOUT)
            );
            // The same again does not begin the wait anew, and when it is over the loss counts.
            assert_eq!(
                assess_list(&mut trust, 200, meta(6), false, (less, "dc1"), &ALL),
                Assessment::Confirm
            );
            assert_eq!(
                assess_list(
                    &mut trust,
                    100 + CONFIRMATION_TIMEOUT,
                    meta(6),
                    false,
                    (less, "dc1"),
                    &ALL
                ),
                Assessment::Accept
            );
            // Confirmed by a leader it counts at once.
            let mut trust = Confidence::new(None);
            assert_eq!(
                assess_list(&mut trust, 100, meta(5), false, (less, "dc1"), &ALL),
                Assessment::Confirm
            );
            assert_eq!(
                assess_list(&mut trust, 101, meta(5), true, (less, "dc1"), &ALL),
                Assessment::Accept
            );
            assert_eq!(trust.confirmation_deadline(), None);
            // A consistent answer without a leader confirms nothing.
            let mut trust = Confidence::new(None);
            let none = ResponseMeta {
                known_leader: Some(false),
                ..meta(5)
            };
            assert!(matches!(
                assess_list(&mut trust, 1, none, true, (less, "dc1"), &ALL),
                Assessment::Reject(_)
            ));
        }
        // Few lost hosts are plain news.
        let mut trust = Confidence::new(None);
        assert_eq!(
            assess_list(&mut trust, 0, meta(5), false, (&ALL[..4], "dc1"), &ALL),
            Assessment::Accept
        );
    }
}
