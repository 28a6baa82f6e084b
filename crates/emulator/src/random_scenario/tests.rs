//! Random scenarios are valid and distinct, and scaled scenarios keep their demand per service.

use super::*;
use maplethread_config::Document;

#[test]
fn random_scenarios_are_valid_distinct_and_survive_round_trip() {
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let drawn = Scenario::random(seed);
        let text = toml::to_string(&drawn).expect("a scenario serializes to TOML");
        let parsed = Scenario::parse(Document {
            file: "drawn",
            text: &text,
        })
        .expect("a valid scenario");
        assert_eq!(parsed, drawn);
        assert_eq!(
            Scenario::random(seed),
            drawn,
            "the same seed gives the same scenario"
        );
        let kills = drawn
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::PlacerKill)
            .count();
        assert!(
            kills >= 2
                && drawn
                    .faults
                    .iter()
                    .any(|fault| fault.kind == FaultKind::ZoneLoss)
        );
        let end_s = |fault: &ScheduledFault| fault.at_s + fault.duration_s;
        assert!(
            drawn
                .faults
                .iter()
                .all(|fault| end_s(fault) <= drawn.duration_s),
            "a fault ends after the run"
        );
        seen.insert(text);
    }
    assert_eq!(seen.len(), 200);
}

#[test]
fn scaled_scenario_keeps_demand_per_service() {
    let standard = Scenario::standard();
    let per_service = |s: &Scenario| s.total_cores() / s.classes[0].service_count as f64;
    let cells = |s: &Scenario| {
        let locations: std::collections::BTreeSet<_> =
            (0..s.fleet.hosts).map(|h| s.location_of(h)).collect();
        locations.len() as f64
    };
    for hosts in [15, 60, 130, 400] {
        let scaled = Scenario::standard().with_host_count(hosts);
        assert_eq!(scaled.fleet.hosts, hosts);
        let ratio = per_service(&scaled) / per_service(&standard);
        assert!(
            (0.85..1.15).contains(&ratio),
            "{hosts} hosts: {ratio} times the demand of a service"
        );
        let ratio = cells(&scaled) / cells(&standard);
        assert!(
            (0.6..1.7).contains(&ratio),
            "{hosts} hosts: {ratio} times the cells"
        );
    }
}
