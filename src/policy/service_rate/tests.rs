use super::*;

const OBJECTIVE: Micros = 600_000;

fn kind(service: u64, locality: Locality) -> StartKind {
    StartKind {
        service: ServiceId(service),
        class: 0,
        machine: MachineId(3),
        locality,
    }
}

#[test]
fn nearer_machines_are_presumed_to_be_faster() {
    let rates = ServiceRates::default();
    let presumed = [
        Locality::Local,
        Locality::PrimaryHome,
        Locality::SecondaryHome,
        Locality::Remote,
    ]
    .map(|locality| rates.estimate(kind(1, locality), OBJECTIVE));
    assert_eq!(presumed[0], presumed[1]);
    assert!(presumed[1] > presumed[2] && presumed[2] > presumed[3]);
    assert_eq!(presumed[3], 1e6 / (2.0 * OBJECTIVE as f64));
}

#[test]
fn starts_move_the_estimate_of_their_pair_more_than_of_their_class() {
    let mut rates = ServiceRates::default();
    let other = kind(2, Locality::Remote);
    let before = rates.estimate(other, OBJECTIVE);
    for _ in 0..8 {
        rates.record_start(kind(1, Locality::Remote), 300_000, OBJECTIVE);
    }
    let (pair, class) = (
        rates.estimate(kind(1, Locality::Remote), OBJECTIVE),
        rates.estimate(other, OBJECTIVE),
    );
    assert!(before < class && class < pair && pair < 1e6 / 300_000.0);
}

#[test]
fn starts_faster_than_the_shortest_that_counts_are_recorded_as_that() {
    let (mut quick, mut quickest) = (ServiceRates::default(), ServiceRates::default());
    let local = kind(1, Locality::Local);
    quick.record_start(local, OBJECTIVE / 4, OBJECTIVE);
    quickest.record_start(local, 1, OBJECTIVE);
    assert_eq!(
        quick.estimate(local, OBJECTIVE),
        quickest.estimate(local, OBJECTIVE)
    );
}

#[test]
fn forgotten_services_keep_only_the_mean_of_their_class() {
    let mut rates = ServiceRates::default();
    rates.record_start(kind(1, Locality::Remote), 300_000, OBJECTIVE);
    rates.retain_services(|service| service != ServiceId(1));
    assert_eq!(
        rates.estimate(kind(1, Locality::Remote), OBJECTIVE),
        rates.estimate(kind(2, Locality::Remote), OBJECTIVE)
    );
}
