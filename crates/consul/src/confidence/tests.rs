//! Which lists are accepted, confirmed or rejected.

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
    trust.assess(
        now,
        meta,
        consistent,
        &listed,
        HostLoss {
            known: had.len(),
            missing: gone,
        },
    )
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
