//! The settings file as `check-config` checks it.

#[test]
fn example_settings_are_valid_and_errors_name_line_and_key() {
    use std::process::Command;
    let run = |file: &std::path::Path| {
        let out = Command::new(env!("CARGO_BIN_EXE_maplethread"))
            .arg("check-config")
            .arg(file)
            .output()
            .expect("process runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stderr).into_owned(),
        )
    };
    let valid = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config/placer.toml");
    assert_eq!(run(&valid).0, Some(0), "{}", run(&valid).1);
    let text = std::fs::read_to_string(&valid).expect("file can be read");
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("p.toml");
    for (from, to, expected) in [
        (
            "max_attempts = 3",
            "max_atempts = 3",
            ":17: max_atempts: unknown field `max_atempts`",
        ),
        (
            "max_attempts = 3",
            "max_atempts = 3",
            "did you mean `max_attempts`?",
        ),
        (
            "number = 0 ",
            "number = 1 ",
            ":5: placer.number: got 1, expected a number below placer.placers",
        ),
        (
            "zone = \"hall-a\"",
            "zone = \"hall-x\"",
            ":7: placer.zone: got `hall-x`, expected one of placer.zones",
        ),
        (
            "aim_ms = 1500",
            "aim_ms = 0",
            ": class[1].aim_ms: got 0, expected at least 1",
        ),
        (
            "group = \"zone\"",
            "",
            ": class[1].group: required for keyed classes",
        ),
        (
            "cores = 16.0",
            "cores = -1.0",
            ": kind[0].cores: got -1, expected a number above 0",
        ),
        (
            "127.0.0.1:7400",
            "0.0.0.0:7400",
            ": api.listen: got 0.0.0.0:7400, expected a loopback address",
        ),
        ("[rules]", "[rules", ": "),
        ("cold_from = 0.2", "cold_from = \"x\"", ": "),
    ] {
        assert!(text.contains(from), "{from}");
        std::fs::write(&file, text.replacen(from, to, 1)).expect("file can be written");
        let (code, errors) = run(&file);
        assert_eq!(code, Some(2), "{to}");
        assert!(
            errors.contains(expected) && errors.contains("p.toml:"),
            "{to}: {errors}"
        );
    }
    assert!(
        run(&folder.path().join("none.toml"))
            .1
            .contains("none.toml")
    );
}
