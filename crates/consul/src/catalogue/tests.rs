//! Statuses, invalid entries, differences between lists, and bodies that are not lists.

use maplethread_config::HostState;

use super::*;

fn known_names() -> KnownNames {
    KnownNames {
        zones: vec!["a".into()],
        kinds: vec!["std".into()],
        max_entries: 100,
    }
}

fn entry(id: &str, checks: &str) -> String {
    format!(
        r#"{{"Node":{{"ID":"x","Node":"node-{id}","Address":"127.0.0.1","Datacenter":"dc1","Meta":{{"zone":"a"}}}},
            "Service":{{"ID":"{id}","Service":"host","Port":7000,"Meta":{{"cell":"c","kind":"std","started_ms":"1700000000000"}}}},
            "Checks":[{checks}]}}"#
    )
}

fn check(id: &str, status: &str) -> String {
    format!(r#"{{"Node":"n","CheckID":"{id}","Name":"x","Status":"{status}","ServiceID":""}}"#)
}

#[test]
fn maps_check_and_member_statuses_to_host_states() {
    let cases = [
        (vec![], CheckStatus::Passing, HostState::Ready),
        (
            vec![("serfHealth", "passing"), ("service:x", "warning")],
            CheckStatus::Warning,
            HostState::Ready,
        ),
        (
            vec![("serfHealth", "critical"), ("service:x", "passing")],
            CheckStatus::Critical,
            HostState::Draining,
        ),
        (
            vec![("_node_maintenance", "critical")],
            CheckStatus::Maintenance,
            HostState::Draining,
        ),
        (
            vec![("_service_maintenance:x", "critical"), ("a", "critical")],
            CheckStatus::Maintenance,
            HostState::Draining,
        ),
        (
            vec![("a", "unknown-status")],
            CheckStatus::Critical,
            HostState::Draining,
        ),
    ];
    for (checks, status, state) in cases {
        let checks: Vec<String> = checks.iter().map(|(id, s)| check(id, s)).collect();
        let body = format!("[{}]", entry("h", &checks.join(",")));
        let listed = read_host_list(body.as_bytes(), &known_names()).expect("a valid list");
        assert_eq!(
            (listed.entries["h"].status, listed.entries["h"].host.state),
            (status, state)
        );
    }
    assert_eq!(
        MemberStatus::from_serf_status(1).host_state(),
        HostState::Ready
    );
    for number in 2..=4 {
        assert_eq!(
            MemberStatus::from_serf_status(number).host_state(),
            HostState::Draining
        );
    }
}

#[test]
fn keeps_valid_entries_when_another_is_invalid() {
    let good = entry("good", "");
    let long = "x".repeat(1 << 20);
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let bad = [
        entry("no-zone", "").replace(r#""zone":"a""#, ""),
        entry("zone", "").replace(r#""zone":"a""#, r#""zone":"z""#),
        entry("kind", "").replace(r#""kind":"std""#, r#""kind":7"#),
        entry("port", "").replace("7000", "700000"),
        entry("port", "").replace("7000", "1e400"),
        entry("port", "").replace("7000", "-1"),
        entry("port", "").replace(":7000", ":\"7000\""),
        entry("start", "").replace("1700000000000", "99999999999999999999"),
        entry("ip", "").replace("127.0.0.1", "host.example"),
        entry("long", "").replace(r#""cell":"c""#, &format!(r#""cell":"{long}""#)),
        entry("", ""),
        entry("ctl", "").replace("ctl", "a\\u0000b"),
        deep.clone(),
        "null".to_owned(),
        "17".to_owned(),
        entry("checks", &deep),
    ];
    for bad in &bad {
        let body = format!("[{bad},{good}]");
        match read_host_list(body.as_bytes(), &known_names()) {
            Ok(listed) => {
                assert_eq!(listed.entries.len(), 1, "{}", &bad[..bad.len().min(300)]);
                assert_eq!(listed.invalid_entries.len(), 1);
                assert!(listed.invalid_entries[0].to_string().len() < 600);
            }
            // Nesting beyond the parser's limit invalidates the whole list.
            Err(e) => assert!(e.to_string().contains("recursion"), "{e}"),
        }
    }
    // Metadata under keys that the placer does not use is ignored, even if it is longer than `MAX_TEXT_LENGTH`.
    let body = format!(
        "[{}]",
        entry("h", "").replace(r#""cell":"c""#, &format!(r#""cell":"c","note":"{long}""#))
    );
    assert_eq!(
        read_host_list(body.as_bytes(), &known_names())
            .expect("a valid list")
            .entries
            .len(),
        1
    );
}

#[test]
fn drains_host_whose_id_is_registered_twice() {
    let body = format!(
        "[{},{}]",
        entry("h", ""),
        entry("h", "").replace("node-h", "node-2")
    );
    let listed = read_host_list(body.as_bytes(), &known_names()).expect("a valid list");
    assert_eq!(listed.entries["h"].host.state, HostState::Draining);
    assert_eq!(
        listed.invalid_entries[0].reason,
        "its id is already registered on node-h"
    );
}

#[test]
fn differences_contain_added_changed_and_removed_hosts() {
    let list = |rows: &[String]| {
        read_host_list(format!("[{}]", rows.join(",")).as_bytes(), &known_names())
            .expect("a valid list")
    };
    let old = list(&[
        entry("a", ""),
        entry("b", ""),
        entry("c", ""),
        entry("d", ""),
    ]);
    let new = list(&[
        entry("b", ""),
        entry("c", &check("x", "critical")),
        entry("d", ""),
        entry("e", ""),
    ]);
    let differences = ListDifferences::between(&old.entries, &new.entries);
    assert_eq!(
        (&differences.degraded[..], &differences.other[..]),
        (&["a", "c"].map(String::from)[..], &["e".into()][..])
    );
    assert_eq!(differences.removed_count, 1);
    let back = ListDifferences::between(&new.entries, &old.entries);
    assert_eq!(
        (&back.degraded[..], &back.other[..]),
        (&["e".into()][..], &["a", "c"].map(String::from)[..])
    );
    assert!(ListDifferences::between(&old.entries, &old.entries).is_empty());
}

#[test]
fn rejects_body_that_is_not_a_list() {
    for body in ["", "{}", "[", "\u{0}", "[1,]", "null"] {
        assert!(
            read_host_list(body.as_bytes(), &known_names()).is_err(),
            "{body}"
        );
    }
    let many = format!("[{}1]", "1,".repeat(100));
    assert!(
        read_host_list(many.as_bytes(), &known_names())
            .expect_err("the list has too many entries")
            .to_string()
            .contains("more than 100 entries")
    );
    let members =
            br#"[{"Name":"n1","Status":1},{"Name":"n2","Status":4},{"Name":3},{"Name":"n3","Status":3}]"#;
    let mut reader = MemberListReader::new(members.to_vec(), MemberRows::default(), 10);
    while !reader.step(&mut 1, &MemberFormat).expect("a valid list") {}
    let (members, _) = reader.finish();
    assert_eq!(
        members.into_iter().collect::<Vec<_>>(),
        [
            ("n2".into(), MemberStatus::Failed),
            ("n3".into(), MemberStatus::Left)
        ]
    );
}
