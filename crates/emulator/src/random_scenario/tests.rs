//! Random scenarios are valid, differ, and keep their meaning at every size.

use super::*;
use maplethread_config::Document;

#[test]
fn random_scenarios_are_valid_distinct_and_survive_round_trip() {
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let drawn = Scenario::random(seed);
        let text = toml::to_string(&drawn).expect("a scenario is TOML");
        let again = Scenario::parse(Document {
            file: "drawn",
            text: &text,
        })
        .expect("sound");
        assert_eq!(again, drawn);
        assert_eq!(Scenario::random(seed), drawn, "the same seed, the same day");
        let kills = drawn
            .faults
            .iter()
            .filter(|t| t.kind == FaultKind::PlacerKill)
            .count();
        assert!(kills >= 2 && drawn.faults.iter().any(|t| t.kind == FaultKind::ZoneLoss));
        let end = |t: &ScheduledFault| t.at_s + t.duration_s;
        assert!(
            drawn.faults.iter().all(|t| end(t) <= drawn.seconds),
            "over with the day"
        );
        seen.insert(text);
    }
    assert_eq!(seen.len(), 200);
}

#[test]
fn scaled_scenario_keeps_demand_per_service() {
    let small = Scenario::standard();
    let per_service = |s: &Scenario| s.cores() / s.classes[0].service_count as f64;
    let cells = |s: &Scenario| {
        let all: std::collections::BTreeSet<_> =
            (0..s.fleet.hosts).map(|h| s.location_of(h)).collect();
        all.len() as f64
    };
    for hosts in [15, 60, 130, 400] {
        let sized = Scenario::standard().with_host_count(hosts);
        assert_eq!(sized.fleet.hosts, hosts);
        let ratio = per_service(&sized) / per_service(&small);
        assert!(
            (0.85..1.15).contains(&ratio),
            "{hosts} hosts: {ratio} times the demand of a service"
        );
        let ratio = cells(&sized) / cells(&small);
        assert!(
            (0.6..1.7).contains(&ratio),
            "{hosts} hosts: {ratio} times the cells"
        );
    }
}
