//! Long lists are read and published over many ticks. Hosts whose state got worse are published first, and no change is
//! lost.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use maplethread_config::{Document, HostState, PlacerConfig};
use maplethread_consul::{ConsulSource, Output, Update};
use maplethread_wire::http::{Limits, Message, MessageReader, ReadResult, Role};

const HOSTS: usize = 3000;

fn source_from_test_settings() -> ConsulSource {
    let text = "[placer]\nname = \"p\"\nnumber = 0\nplacers = 1\nzone = \"a\"\nzones = [\"a\"]\n[api]\nlisten = \"127.0.0.1:0\"\n\
         [hosts]\n[consul]\nservers = [\"127.0.0.1:8500\"]\nwatch = false\n[rules]\ncold_from = 0.2\ncold_for_ms = 1\n\
         fall_multiple = 4.0\nfall_window_ms = 1\nfresh_offers = 1.0\n[[kind]]\nname = \"std\"\ncores = 1.0\n\
         memory_gib = 1.0\n[[class]]\nname = \"c\"\neffect = \"safe\"\naim_ms = 1\n";
    let config = PlacerConfig::parse(Document { file: "test", text }).expect("valid settings");
    let consul = config.consul.clone().expect("a `[consul]` section");
    ConsulSource::new(&config, &consul, None, 1)
}

/// A health list of `hosts`, of which those selected by `critical` have a critical check.
fn health_body(hosts: impl Iterator<Item = usize>, critical: impl Fn(usize) -> bool) -> String {
    let mut body = String::from("[");
    for n in hosts {
        let comma = if body.len() > 1 { "," } else { "" };
        let status = if critical(n) { "critical" } else { "passing" };
        write!(
            body,
            r#"{comma}{{"Node":{{"Node":"node-{n}","Address":"127.0.0.1","Datacenter":"dc1"}},"Service":{{"ID":"host-{n:04}",
            "Port":7000,"Meta":{{"zone":"a","cell":"c","kind":"std"}}}},"Checks":[{{"CheckID":"c","Status":"{status}"}}]}}"#
        )
        .expect("writing to a string succeeds");
    }
    body + "]"
}

fn health_response(body: &str, index: u64) -> Message {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let limits = Limits {
        max_body_bytes: 64 << 20,
        ..Limits::default()
    };
    match MessageReader::new(Role::Responses, limits)
        .read((head + body).as_bytes())
        .expect("valid HTTP")
        .0
    {
        ReadResult::Message(message) => message,
        found => panic!("{found:?}"),
    }
}

/// Answers the list query in flight, and returns the updates of each tick until all are published.
fn answer_health_query(
    source: &mut ConsulSource,
    now: u64,
    body: &str,
    index: u64,
) -> Vec<Vec<(String, HostState)>> {
    source.tick(now);
    let lists = |source: &mut ConsulSource| {
        let calls = source
            .take_outputs()
            .into_iter()
            .map(|Output::Call { call, request, .. }| (call, request));
        calls
            .filter(|(_, request)| request.starts_with(b"GET /v1/health"))
            .collect::<Vec<_>>()
    };
    let [(call, _)] = &lists(source)[..] else {
        panic!("expected one list query")
    };
    source.handle_response(now, *call, health_response(body, index));
    let mut ticks = Vec::new();
    while source.has_pending_work() {
        assert_eq!(
            source.next_timeout(now),
            Some(now),
            "pending work is due at once"
        );
        source.tick(now);
        assert!(
            lists(source).is_empty(),
            "no list query while the response is being read"
        );
        let hosts = source
            .take_updates()
            .into_iter()
            .flat_map(|update| match update {
                Update::Hosts(hosts) => hosts,
                Update::Slot(slot) => panic!("{slot:?}"),
            });
        ticks.push(hosts.map(|h| (h.name, h.state)).collect());
    }
    ticks
}

#[test]
fn reads_long_list_over_many_ticks_and_publishes_degraded_hosts_first() {
    let mut source = source_from_test_settings();
    let ticks = answer_health_query(&mut source, 0, &health_body(0..HOSTS, |_| false), 5);
    assert!(ticks.len() > 10, "{} ticks", ticks.len());
    let (first, last) = (&ticks[..ticks.len() - 1], &ticks[ticks.len() - 1]);
    assert!(
        first.iter().all(Vec::is_empty) && last.len() == HOSTS,
        "the first list is published as a whole"
    );

    let ticks = answer_health_query(&mut source, 1_000_000, &health_body(0..HOSTS, |_| false), 6);
    assert!(
        ticks.len() <= 5 && ticks.iter().all(Vec::is_empty),
        "unchanged: {} ticks",
        ticks.len()
    );

    // A hundred hosts are removed, every third one drains, and new ones are added.
    let body = health_body(100..HOSTS + 500, |n| n % 3 == 0 && n < HOSTS);
    let ticks = answer_health_query(&mut source, 2_000_000, &body, 7);
    let most = ticks.iter().map(Vec::len).max().expect("at least one tick");
    assert!(most <= 400, "{most} updates in one tick");
    let updates: Vec<&(String, HostState)> = ticks.iter().flatten().collect();
    let ready = updates
        .iter()
        .position(|(_, state)| *state == HostState::Ready)
        .expect("new hosts are ready");
    assert!(
        updates[ready..]
            .iter()
            .all(|(_, state)| *state == HostState::Ready),
        "hosts whose state got worse are published first"
    );
    let count = |expected_state| {
        updates
            .iter()
            .filter(|(_, state)| *state == expected_state)
            .count()
    };
    let draining = (100..HOSTS).filter(|n| n % 3 == 0).count();
    assert_eq!(
        (count(HostState::Gone), count(HostState::Draining)),
        (100, draining)
    );
    assert_eq!(count(HostState::Ready), 500);
}

#[test]
fn catch_up_reads_and_publishes_everything_at_once() {
    let mut source = source_from_test_settings();
    answer_health_query(&mut source, 0, &health_body(0..HOSTS, |_| false), 5);
    source.tick(1_000_000);
    let mut calls = source
        .take_outputs()
        .into_iter()
        .map(|Output::Call { call, request, .. }| (call, request));
    let (call, _) = calls
        .find(|(_, request)| request.starts_with(b"GET /v1/health"))
        .expect("a list query");
    source.handle_response(
        1_000_000,
        call,
        health_response(&health_body(0..HOSTS, |n| n >= 1000), 6),
    );
    source.catch_up(1_000_000);
    let updates = source.take_updates();
    let hosts = updates.iter().map(|u| {
        if let Update::Hosts(hosts) = u {
            hosts.len()
        } else {
            0
        }
    });
    assert_eq!(hosts.sum::<usize>(), HOSTS - 1000);
    assert!(!source.has_pending_work());
}

#[test]
fn truncated_response_is_ignored_and_reordered_one_is_applied() {
    let mut source = source_from_test_settings();
    let whole = health_body(0..HOSTS, |_| false);
    answer_health_query(&mut source, 0, &whole, 5);
    // The truncated body is not a list: no host is published, and the next response is compared with the last valid
    // list.
    let ticks = answer_health_query(&mut source, 1_000_000, &whole[..whole.len() - 1], 6);
    assert!(ticks.iter().all(Vec::is_empty));
    assert_eq!(source.report(1_000_000).failed_calls, 1);
    let mut state: BTreeMap<String, HostState> = (0..HOSTS)
        .map(|n| (format!("host-{n:04}"), HostState::Ready))
        .collect();
    let shuffled = (0..HOSTS).map(|n| n * 7 % HOSTS).filter(|n| n % 5 != 1);
    for (name, new_state) in answer_health_query(
        &mut source,
        5_000_000,
        &health_body(shuffled, |n| n % 5 == 2),
        7,
    )
    .concat()
    {
        state.insert(name, new_state);
    }
    let count = |expected_state| state.values().filter(|s| **s == expected_state).count();
    assert_eq!(count(HostState::Gone), HOSTS / 5);
    assert_eq!(count(HostState::Draining), HOSTS / 5);
    let names: BTreeSet<&String> = state.keys().collect();
    assert_eq!(names.len(), HOSTS);
}
