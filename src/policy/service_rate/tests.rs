use super::*;

const OBJECTIVE: Micros = 600_000;

fn profile(service: u64, locality: Locality) -> StartProfile {
    StartProfile {
        service: ServiceId(service),
        class: 0,
        machine: MachineId(3),
        locality,
    }
}

#[test]
fn prior_rate_is_higher_at_nearer_localities() {
    let rates = ServiceRates::default();
    let priors = [
        Locality::Local,
        Locality::PrimaryHome,
        Locality::SecondaryHome,
        Locality::Remote,
    ]
    .map(|locality| rates.estimate(profile(1, locality), OBJECTIVE));
    assert_eq!(priors[0], priors[1]);
    assert!(priors[1] > priors[2] && priors[2] > priors[3]);
    assert_eq!(priors[3], 1e6 / (2.0 * OBJECTIVE as f64));
}

#[test]
fn starts_change_the_estimate_of_their_pair_more_than_of_their_class() {
    let mut rates = ServiceRates::default();
    let other = profile(2, Locality::Remote);
    let before = rates.estimate(other, OBJECTIVE);
    for _ in 0..8 {
        rates.record_start(profile(1, Locality::Remote), 300_000, OBJECTIVE);
    }
    let (pair, class) = (
        rates.estimate(profile(1, Locality::Remote), OBJECTIVE),
        rates.estimate(other, OBJECTIVE),
    );
    assert!(before < class && class < pair && pair < 1e6 / 300_000.0);
}

#[test]
fn starts_below_the_minimum_duration_are_recorded_at_the_minimum() {
    let (mut at_min, mut below_min) = (ServiceRates::default(), ServiceRates::default());
    let local = profile(1, Locality::Local);
    at_min.record_start(local, OBJECTIVE / 4, OBJECTIVE);
    below_min.record_start(local, 1, OBJECTIVE);
    assert_eq!(
        at_min.estimate(local, OBJECTIVE),
        below_min.estimate(local, OBJECTIVE)
    );
}

#[test]
fn removed_services_are_estimated_by_the_mean_of_their_class() {
    let mut rates = ServiceRates::default();
    rates.record_start(profile(1, Locality::Remote), 300_000, OBJECTIVE);
    rates.retain_services(|service| service != ServiceId(1));
    assert_eq!(
        rates.estimate(profile(1, Locality::Remote), OBJECTIVE),
        rates.estimate(profile(2, Locality::Remote), OBJECTIVE)
    );
}
