//! Key rotation, invalid datagrams, facts, and bounds on table sizes.

use maplethread_fault_injection::model::{MS, Model, S};

use crate::settle_time;

#[test]
fn key_rotation_keeps_one_view_and_foreign_datagrams_change_nothing() {
    let new_key = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
    let key_pair = |first: &str, second: &str| {
        maplethread_fault_injection::model::keys(&format!(
            "{first}\n# the previous or next key\n{second}\n"
        ))
    };
    let old_key = maplethread_fault_injection::model::KEY;
    let mut model = Model::new(15);
    model.is_recording = true;
    model.start_all(8);
    settle_time(&mut model, 10 * S);
    model.is_recording = false;
    let recorded = model.recorded_datagrams.clone();
    for step in [
        key_pair(old_key, new_key),
        key_pair(new_key, old_key),
        maplethread_fault_injection::model::keys(new_key),
    ] {
        for node in model.nodes() {
            model.set_keys(node, step.clone());
            model.run(2 * S);
        }
    }
    assert_eq!(model.statistics().false_alarms, 0);
    settle_time(&mut model, S);
    // Datagrams sealed with the old key, and invalid ones of various lengths up to oversize ones.
    let version = model.local_member(0).view(0).version;
    for (to, bytes) in recorded.iter().take(200) {
        model.inject(*to, bytes.clone());
    }
    for length in [0, 1, 16, 17, 18, 40, 600, 1200, 1201, 9000] {
        let bytes = model.invalid_datagram(length);
        model.inject(0, bytes);
    }
    model.run(S);
    let counters = model.local_member(0).view(0).counters;
    assert!(
        counters.unauthenticated >= 5 && counters.unknown_version >= 3 && counters.oversize == 2,
        "{counters:?}"
    );
    assert_eq!(model.local_member(0).view(0).version, version);
}

#[test]
fn rejects_datagrams_altered_or_truncated_anywhere() {
    let mut model = Model::new(20);
    model.is_recording = true;
    model.start_all(4);
    settle_time(&mut model, 10 * S);
    model.run(5 * S);
    model.is_recording = false;
    let recorded_datagram = model
        .recorded_datagrams
        .iter()
        .rev()
        .find(|(to, bytes)| *to == 1 && bytes.len() > 60);
    let valid = recorded_datagram
        .expect("a datagram for node 1 was recorded")
        .1
        .clone();
    let unauthenticated = |model: &Model| model.local_member(1).view(0).counters.unauthenticated;
    let before = unauthenticated(&model);
    for at in 1..valid.len() {
        let mut forged = valid.clone();
        forged[at] ^= 1 << (at % 8);
        model.inject(1, forged);
        model.inject(1, valid[..at].to_vec());
    }
    model.run(MS);
    let length = valid.len() as u64;
    // Datagrams truncated to less than an authentication tag are not counted as unauthenticated.
    assert!(
        unauthenticated(&model) - before >= 2 * (length - 1) - 17,
        "{} of {length}",
        unauthenticated(&model) - before
    );
    assert!(
        model.is_settled(&model.nodes()),
        "{}",
        model.describe_differences(&model.nodes())
    );
}

#[test]
fn full_table_rejects_and_counts_further_members() {
    let mut model = Model::new(17);
    model.timing.max_members = 8;
    model.start_all(14);
    model.run(30 * S);
    for node in model.nodes() {
        let view = model.local_member(node).view(0);
        assert!(view.members.len() <= 8, "{}", view.members.len());
    }
    assert!(model.local_member(0).view(0).counters.over_capacity > 0);
}

#[test]
fn facts_of_a_member_reach_all_others() {
    let mut model = Model::new(18);
    model.network.default_link.loss_probability = 0.1;
    model.start_all(10);
    settle_time(&mut model, 20 * S);
    let mut facts = maplethread_fault_injection::model::facts(1);
    facts.version = "v".repeat(32).try_into().expect("32 bytes fit");
    facts.zone = "z".repeat(32).try_into().expect("32 bytes fit");
    (facts.is_draining, facts.replica_index, facts.load_percent) = (true, Some(u32::MAX), 255);
    model.set_facts(4, facts.clone());
    settle_time(&mut model, 20 * S);
    for node in model.nodes().into_iter().filter(|&p| p != 4) {
        let view = model.local_member(node).view(0);
        let seen = view
            .members
            .iter()
            .find(|m| m.name == "p-4")
            .and_then(|m| m.facts.clone());
        assert_eq!(seen.as_ref(), Some(&facts));
    }
}

#[test]
fn memory_does_not_grow_with_departed_members() {
    let mut model = Model::new(19);
    model.timing.removal_delay = std::time::Duration::from_secs(10);
    model.start_all(4);
    settle_time(&mut model, 10 * S);
    for n in 0..60 {
        model.start(100 + n, 100 + n);
        model.run(2 * S);
        model.kill(100 + n);
        model.run(2 * S);
    }
    model.run(60 * S);
    let entries = model.local_member(0).entry_count();
    assert!(entries <= 4 * 4 + 64, "{entries}");
    settle_time(&mut model, S);
}
