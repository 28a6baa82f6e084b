//! Validation of an agent's settings file.

use maplethread_agent::AgentConfig;
use maplethread_config::{Document, parse_toml};

const VALID_SETTINGS: &str = r#"
name = "n"
listen = "127.0.0.1:0"
folder = "agent"
[limits]
cores = 4.0
memory_gib = 8.0
[[program]]
class = "web"
path = "/bin/true"
args = ["--actor={actor}"]
"#;

#[test]
fn reports_all_invalid_settings_together_and_line_of_unknown_key() {
    let doc = Document {
        file: "a.toml",
        text: VALID_SETTINGS,
    };
    let mut config: AgentConfig = parse_toml(doc).expect("the settings are valid");
    assert_eq!(config.check().expect("the settings are valid").len(), 1);
    config.limits.cores = f64::NAN;
    config.programs[0].path = "true".into();
    config.programs[0].args = vec!["{unknown}".into()];
    let faults = config.check().expect_err("three settings are invalid");
    assert_eq!(faults.len(), 3, "{faults:?}");
    let with_unknown_key = VALID_SETTINGS.replace("cores = 4.0", "cores = 4.0\nunknown = 1");
    let error = parse_toml::<AgentConfig>(Document {
        file: "a.toml",
        text: &with_unknown_key,
    })
    .expect_err("a key is unknown")
    .to_string();
    assert!(error.contains("a.toml:7"), "{error}");
}
