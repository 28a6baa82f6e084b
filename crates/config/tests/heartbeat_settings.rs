//! Settings of heartbeats: what is wrong is told with its line, and what is left out has a default.

use maplethread_config::{Document, PlacerConfig};

const SAMPLE: &str = include_str!("../../../config/placer.toml");

/// The settings to try, written out whole.
fn sample_with_all_keys() -> String {
    let config = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    })
    .expect("sound");
    config.to_toml().expect("TOML")
}

#[test]
fn idle_ping_settings_default_when_left_out() {
    let config = PlacerConfig::parse(Document {
        file: "placer.toml",
        text: SAMPLE,
    })
    .expect("sound");
    assert_eq!(
        (
            config.hosts.max_idle_pings_per_s,
            config.hosts.max_idle_ping_interval_ms
        ),
        (40, 90_000)
    );
}

#[test]
fn reports_faulty_heartbeat_setting_with_line_key_given_and_allowed_value() {
    for (key, value, message) in [
        ("max_idle_pings_per_s", "0", "0 is given; at least 1"),
        (
            "max_idle_ping_interval_ms",
            "1000",
            "1000 is given; above hosts.ping_every_ms",
        ),
        (
            "silent_after_ms",
            "900",
            "900 is given; above hosts.ping_every_ms",
        ),
    ] {
        let text = sample_with_all_keys();
        let given = text
            .lines()
            .position(|l| l.starts_with(&format!("{key} = ")))
            .expect("the key stands");
        let lines = text.lines().enumerate();
        let swapped: Vec<String> = lines
            .map(|(n, l)| {
                if n == given {
                    format!("{key} = {value}")
                } else {
                    l.to_owned()
                }
            })
            .collect();
        let faults = PlacerConfig::parse(Document {
            file: "f",
            text: &swapped.join("\n"),
        })
        .expect_err("a fault");
        assert_eq!(faults.0.len(), 1, "{faults}");
        let fault = &faults.0[0];
        let told = (fault.line, fault.key.as_str(), fault.message.as_str());
        assert_eq!(
            told,
            (Some(given + 1), format!("hosts.{key}").as_str(), message)
        );
    }
}
