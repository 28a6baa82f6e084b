//! Which faults of the settings are reported, and how.

use super::*;

const SAMPLE: &str = include_str!("../../../../config/placer.toml");

#[test]
fn reports_every_fault_with_line_key_given_value_and_allowed_values() {
    let sound = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    });
    let text = sound
        .expect("the settings to try are sound")
        .to_toml()
        .expect("TOML");
    let with = |key: &str, value: &str| {
        let line = text
            .lines()
            .position(|l| l.starts_with(&format!("{key} = ")))
            .expect("the key stands");
        let swapped: Vec<String> = text
            .lines()
            .enumerate()
            .map(|(n, l)| {
                if n == line {
                    format!("{key} = {value}")
                } else {
                    l.to_owned()
                }
            })
            .collect();
        (line + 1, swapped.join("\n"))
    };
    let one = |key: &str, value: &str| {
        let (line, text) = with(key, value);
        let faults = PlacerConfig::parse(Document {
            file: "f",
            text: &text,
        })
        .expect_err("a fault");
        (line, faults)
    };
    for (key, value, full, allowed) in [
        (
            "fall_multiple",
            "-4.0",
            "rules.fall_multiple",
            "-4 is given; above 0",
        ),
        (
            "fresh_offers",
            "-1.0",
            "rules.fresh_offers",
            "-1 is given; 0 or above",
        ),
        (
            "cold_from",
            "nan",
            "rules.cold_from",
            "NaN is given; 0 or above",
        ),
        (
            "admit_cores",
            "0.0",
            "placing.admit_cores",
            "0 is given; above 0",
        ),
        (
            "max_attempts",
            "0",
            "placing.max_attempts",
            "0 is given; at least 1",
        ),
        (
            "cross_zone",
            "-0.5",
            "prices.cross_zone",
            "-0.5 is given; 0 or above",
        ),
        (
            "max_clients",
            "0",
            "api.max_clients",
            "0 is given; at least 1",
        ),
    ] {
        let (line, faults) = one(key, value);
        assert_eq!(faults.0.len(), 1, "{faults}");
        let fault = &faults.0[0];
        assert_eq!(
            (fault.line, fault.key.as_str(), fault.message.as_str()),
            (Some(line), full, allowed)
        );
    }
    // Two faults, two lines of complaint.
    let (_, text) = with("fall_multiple", "-4.0");
    let text = text
        .replace("max_clients = ", "max_clients = 0 # ")
        .replace("fresh_offers = ", "fresh_offers = -");
    let faults = PlacerConfig::parse(Document {
        file: "f",
        text: &text,
    })
    .expect_err("faults");
    assert_eq!(faults.0.len(), 3, "{faults}");
    assert_eq!(faults.to_string().lines().count(), 3);
}
