//! Errors reported for invalid settings.

use super::*;

const SAMPLE: &str = include_str!("../../../../config/placer.toml");

#[test]
fn reports_every_error_with_line_key_given_value_and_allowed_values() {
    let sample = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    });
    let text = sample
        .expect("the sample settings are valid")
        .to_toml()
        .expect("the settings can be written as TOML");
    let settings_with = |key: &str, value: &str| {
        let line = text
            .lines()
            .position(|l| l.starts_with(&format!("{key} = ")))
            .expect("the key is in the settings");
        let changed: Vec<String> = text
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
        (line + 1, changed.join("\n"))
    };
    let parse_error_of = |key: &str, value: &str| {
        let (line, text) = settings_with(key, value);
        let errors = PlacerConfig::parse(Document {
            file: "f",
            text: &text,
        })
        .expect_err("the settings are invalid");
        (line, errors)
    };
    for (key, value, full_key, message) in [
        (
            "fall_multiple",
            "-4.0",
            "rules.fall_multiple",
            "got -4, expected a number above 0",
        ),
        (
            "fresh_offers",
            "-1.0",
            "rules.fresh_offers",
            "got -1, expected a number of at least 0",
        ),
        (
            "cold_from",
            "nan",
            "rules.cold_from",
            "got NaN, expected a number of at least 0",
        ),
        (
            "admit_cores",
            "0.0",
            "placing.admit_cores",
            "got 0, expected a number above 0",
        ),
        (
            "max_attempts",
            "0",
            "placing.max_attempts",
            "got 0, expected at least 1",
        ),
        (
            "cross_zone",
            "-0.5",
            "prices.cross_zone",
            "got -0.5, expected a number of at least 0",
        ),
        (
            "max_clients",
            "0",
            "api.max_clients",
            "got 0, expected at least 1",
        ),
    ] {
        let (line, errors) = parse_error_of(key, value);
        assert_eq!(errors.0.len(), 1, "{errors}");
        let error = &errors.0[0];
        assert_eq!(
            (error.line, error.key.as_str(), error.message.as_str()),
            (Some(line), full_key, message)
        );
    }
    // Each of several errors has a line of its own.
    let (_, text) = settings_with("fall_multiple", "-4.0");
    let text = text
        .replace("max_clients = ", "max_clients = 0 # ")
        .replace("fresh_offers = ", "fresh_offers = -");
    let errors = PlacerConfig::parse(Document {
        file: "f",
        text: &text,
    })
    .expect_err("the settings are invalid");
    assert_eq!(errors.0.len(), 3, "{errors}");
    assert_eq!(errors.to_string().lines().count(), 3);
}
