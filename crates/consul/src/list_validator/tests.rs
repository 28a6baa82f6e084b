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
    .expect("a valid list")
}

/// Assesses a list of the hosts `names` when the hosts `previous` were known before.
fn assess_list(
    validator: &mut ListValidator,
    now: Micros,
    meta: ResponseMeta,
    consistent: bool,
    (names, dc): (&[&str], &str),
    previous: &[&str],
) -> Assessment {
    let listed = list(names, dc);
    let removed_count =
        ListDifferences::between(&list(previous, dc).entries, &listed.entries).removed_count;
    validator.assess(
        now,
        meta,
        consistent,
        &listed,
        HostLoss {
            known: previous.len(),
            missing: removed_count,
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
    let mut validator = ListValidator::new(Some("dc1".into()));
    assert_eq!(
        assess_list(&mut validator, 0, meta(50), false, (&ALL[..], "dc1"), &ALL),
        Assessment::Accept
    );
    assert!(matches!(
        assess_list(&mut validator, 1, meta(49), false, (&ALL[..], "dc1"), &ALL),
        Assessment::Reject(_)
    ));
    assert!(matches!(
        assess_list(&mut validator, 1, meta(60), false, (&ALL[..], "dc2"), &ALL),
        Assessment::Reject(_)
    ));
    assert!(matches!(
        assess_list(&mut validator, 1, meta(60), true, (&ALL[..], "dc2"), &ALL),
        Assessment::Reject(_)
    ));
    assert_eq!(
        assess_list(&mut validator, 2, meta(50), false, (&ALL[1..], "dc1"), &ALL),
        Assessment::Accept
    );
    // A cluster restored from a snapshot: a consistent read shows the lower index, which is the reference from then on.
    assert_eq!(
        assess_list(&mut validator, 3, meta(7), true, (&ALL[..], "dc1"), &ALL),
        Assessment::Accept
    );
    assert_eq!(
        assess_list(&mut validator, 4, meta(8), false, (&ALL[..], "dc1"), &ALL),
        Assessment::Accept
    );
    // Without a datacentre in the settings, the first list determines it.
    let mut validator = ListValidator::new(None);
    assert_eq!(
        assess_list(&mut validator, 0, meta(1), false, (&ALL[..], "dc9"), &ALL),
        Assessment::Accept
    );
    assert!(matches!(
        assess_list(&mut validator, 0, meta(2), false, (&ALL[..], "dc1"), &ALL),
        Assessment::Reject(_)
    ));
}

#[test]
fn confirms_large_loss_or_accepts_it_after_timeout() {
    for remaining in [&ALL[..0], &ALL[..2]] {
        let mut validator = ListValidator::new(None);
        assert_eq!(
            assess_list(
                &mut validator,
                100,
                meta(5),
                false,
                (remaining, "dc1"),
                &ALL
            ),
            Assessment::Confirm
        );
        assert_eq!(
            validator.confirmation_deadline(),
            Some(100 + CONFIRMATION_TIMEOUT)
        );
        // The same list again does not restart the timeout, after which the loss is accepted.
        assert_eq!(
            assess_list(
                &mut validator,
                200,
                meta(6),
                false,
                (remaining, "dc1"),
                &ALL
            ),
            Assessment::Confirm
        );
        assert_eq!(
            assess_list(
                &mut validator,
                100 + CONFIRMATION_TIMEOUT,
                meta(6),
                false,
                (remaining, "dc1"),
                &ALL
            ),
            Assessment::Accept
        );
        // A loss that a leader confirms is accepted at once.
        let mut validator = ListValidator::new(None);
        assert_eq!(
            assess_list(
                &mut validator,
                100,
                meta(5),
                false,
                (remaining, "dc1"),
                &ALL
            ),
            Assessment::Confirm
        );
        assert_eq!(
            assess_list(&mut validator, 101, meta(5), true, (remaining, "dc1"), &ALL),
            Assessment::Accept
        );
        assert_eq!(validator.confirmation_deadline(), None);
        // A consistent read from a server without a known leader does not confirm the loss.
        let mut validator = ListValidator::new(None);
        let none = ResponseMeta {
            known_leader: Some(false),
            ..meta(5)
        };
        assert!(matches!(
            assess_list(&mut validator, 1, none, true, (remaining, "dc1"), &ALL),
            Assessment::Reject(_)
        ));
    }
    // A small loss needs no confirmation.
    let mut validator = ListValidator::new(None);
    assert_eq!(
        assess_list(&mut validator, 0, meta(5), false, (&ALL[..4], "dc1"), &ALL),
        Assessment::Accept
    );
}
