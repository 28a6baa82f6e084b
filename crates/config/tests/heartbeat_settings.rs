//! Settings of heartbeats: errors are reported with their line, and missing settings have defaults.

use maplethread_config::{Document, PlacerConfig};

const SAMPLE: &str = include_str!("../../../config/placer.toml");

/// The sample settings, written out with all keys.
fn sample_with_all_keys() -> String {
    let config = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    })
    .expect("the sample settings are valid");
    config
        .to_toml()
        .expect("the settings can be written as TOML")
}

#[test]
fn idle_ping_settings_default_when_left_out() {
    let config = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    })
    .expect("the sample settings are valid");
    assert_eq!(
        (
            config.hosts.max_idle_pings_per_s,
            config.hosts.max_idle_ping_interval_ms
        ),
        (40, 90_000)
    );
}

#[test]
fn reports_invalid_heartbeat_setting_with_line_key_given_and_allowed_value() {
    for (key, value, message) in [
        ("max_idle_pings_per_s", "0", "got 0, expected at least 1"),
        (
            "max_idle_ping_interval_ms",
            "1000",
            "got 1000, expected a time above hosts.ping_every_ms",
        ),
        (
            "silent_after_ms",
            "900",
            "got 900, expected a time above hosts.ping_every_ms",
        ),
    ] {
        let text = sample_with_all_keys();
        let line_index = text
            .lines()
            .position(|l| l.starts_with(&format!("{key} = ")))
            .expect("the key is in the settings");
        let lines = text.lines().enumerate();
        let changed: Vec<String> = lines
            .map(|(n, l)| {
                if n == line_index {
                    format!("{key} = {value}")
                } else {
                    l.to_owned()
                }
            })
            .collect();
        let errors = PlacerConfig::parse(Document {
            file: "f",
            text: &changed.join("\n"),
        })
        .expect_err("the settings are invalid");
        assert_eq!(errors.0.len(), 1, "{errors}");
        let error = &errors.0[0];
        let reported = (error.line, error.key.as_str(), error.message.as_str());
        assert_eq!(
            reported,
            (
                Some(line_index + 1),
                format!("hosts.{key}").as_str(),
                message
            )
        );
    }
}
