use super::*;

const MACHINE: MachineId = MachineId(0);
const SERVICE: ServiceId = ServiceId(0);

/// Guards against memory that grows with the services of requests that were cancelled, or with the machines of tasks that
/// were handed over.
#[test]
fn placements_without_attempts_are_limited_and_the_latest_are_kept() {
    let by_service = |n: u32| (ServiceId(n.into()), MACHINE);
    let by_machine = |n: u32| (SERVICE, MachineId(n));
    let pairs: [&dyn Fn(u32) -> (ServiceId, MachineId); 2] = [&by_service, &by_machine];
    for pair in pairs {
        let mut placements = Placements::default();
        for n in 0..100_000 {
            let (service, machine) = pair(n);
            placements.add(service, machine, n.into());
            placements.limit();
            placements.remove(service, machine, n.into());
            assert!(placements.by_pair.len() <= MAX_PLACEMENTS + 1, "{n}");
        }
        assert!(placements.by_pair.contains_key(&pair(99_999)));
        assert!(!placements.by_pair.contains_key(&pair(0)));
    }
}

#[test]
fn placements_with_attempts_are_kept_however_many_there_are() {
    let mut placements = Placements::default();
    let count = 3 * MAX_PLACEMENTS as u64;
    for n in 0..count {
        placements.add(ServiceId(n), MACHINE, n);
        placements.limit();
    }
    assert!((0..count).all(|n| placements.contains(ServiceId(n))));
}

#[test]
fn machines_of_a_service_are_kept_while_one_of_them_is_in_use() {
    let mut placements = Placements::default();
    placements.add(SERVICE, MachineId(2), 10);
    placements.remove(SERVICE, MachineId(2), 20);
    placements.add(SERVICE, MachineId(1), 30);
    placements.add(ServiceId(1), MACHINE, 5);
    placements.remove(ServiceId(1), MACHINE, 5);
    placements.remove_unused(1_000, 100);
    let machines: Vec<(MachineId, u32)> = placements.of_service(SERVICE).collect();
    assert_eq!(machines, [(MachineId(1), 1), (MachineId(2), 0)]);
    assert!(!placements.contains(ServiceId(1)));
}
