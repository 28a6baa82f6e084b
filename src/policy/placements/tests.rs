use super::*;

const MACHINE: MachineId = MachineId(0);

/// Guards against memory that grows with the services of requests that were cancelled.
#[test]
fn services_without_attempts_are_limited_and_the_latest_are_kept() {
    let mut placements = Placements::default();
    for n in 0..100_000 {
        let service = ServiceId(n);
        placements.add(service, MACHINE, n);
        placements.limit_services();
        placements.remove(service, MACHINE, n);
        assert!(placements.by_service.len() <= MAX_SERVICES + 1, "{n}");
    }
    assert!(placements.contains(ServiceId(99_999)) && !placements.contains(ServiceId(0)));
}

#[test]
fn services_with_attempts_are_kept_however_many_there_are() {
    let mut placements = Placements::default();
    let count = 3 * MAX_SERVICES as u64;
    for n in 0..count {
        placements.add(ServiceId(n), MACHINE, n);
        placements.limit_services();
    }
    assert!((0..count).all(|n| placements.contains(ServiceId(n))));
}
