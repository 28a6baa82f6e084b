//! Renamed commands still work under their old names.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

/// The new and the old name of each renamed command, with invalid arguments and the error text for them.
const RENAMED: [(&str, &str, [&str; 2], &str); 3] = [
    (
        "fault-run",
        "bad-day",
        ["--seconds", "0"],
        "maplethread: --seconds: at least 1\n",
    ),
    (
        "membership-test",
        "fleet-drill",
        ["--placers", "65"],
        "maplethread: --placers: 1 to 64; --seconds: 5 to 3600\n",
    ),
    (
        "consul-emulator",
        "consul-stand-in",
        ["--port", "65536"],
        "error: invalid value '65536' for '--port <PORT>': 65536 is not in 0..=65535\n\n\
         For more information, try '--help'.\n",
    ),
];

fn maplethread(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_maplethread"))
        .args(arguments)
        .output()
        .expect("process runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("valid UTF-8")
}

#[test]
fn help_lists_new_names_only() {
    let help = text(&maplethread(&["--help"]).stdout);
    let listed: Vec<&str> = help
        .lines()
        .filter_map(|line| line.strip_prefix("  ")?.split_whitespace().next())
        .collect();
    for (new, old, ..) in RENAMED {
        assert!(listed.contains(&new), "{new}: {help}");
        assert!(!help.contains(old), "{old}: {help}");
    }
}

#[test]
fn old_and_new_names_take_the_same_options() {
    for (new, old, ..) in RENAMED {
        let [help_of_new, help_of_old] = [new, old].map(|name| {
            let output = maplethread(&[name, "--help"]);
            assert_eq!(output.status.code(), Some(0), "{name}");
            text(&output.stdout)
        });
        assert!(help_of_new.contains("Options:"), "{new}: {help_of_new}");
        assert_eq!(help_of_new, help_of_old, "{old}");
    }
}

#[test]
fn old_and_new_names_reject_options_out_of_range_alike() {
    for (new, old, arguments, expected) in RENAMED {
        for name in [new, old] {
            let output = maplethread(&[&[name], &arguments[..]].concat());
            assert_eq!(output.status.code(), Some(2), "{name}");
            assert_eq!(text(&output.stderr), expected, "{name}");
        }
    }
}

/// A process that is killed when it is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn consul_emulator_listens_under_both_names() {
    for name in ["consul-emulator", "consul-stand-in"] {
        let child = Command::new(env!("CARGO_BIN_EXE_maplethread"))
            .args([name, "--port", "0", "--servers", "1"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("process starts");
        let mut process = KillOnDrop(child);
        let output = process.0.stdout.take().expect("piped standard output");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("standard output can be read");
        assert!(
            line.starts_with("stand-in for Consul listening on 127.0.0.1:"),
            "{name}: {line}"
        );
    }
}
