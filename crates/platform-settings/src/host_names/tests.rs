use super::*;

#[test]
fn does_not_reuse_the_id_of_a_removed_host() {
    let mut hosts = HostNames::default();
    let ids = [
        hosts.id_or_assign("a:1"),
        hosts.id_or_assign("b:1"),
        hosts.id_or_assign("a:1"),
    ];
    assert_eq!(ids, [MachineId(0), MachineId(1), MachineId(0)]);
    hosts.remove(MachineId(0));
    assert_eq!(
        (hosts.name(MachineId(0)), hosts.id_of("a:1"), hosts.len()),
        (None, None, 1)
    );
    assert_eq!(hosts.id_or_assign("a:1"), MachineId(2));
}

#[test]
fn stable_hash_is_fnv_1a() {
    assert_eq!(stable_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash("a"), 0xaf63_dc4c_8601_ec8c);
}
