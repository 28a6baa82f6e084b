//! Commands that were given new names go on working under their old ones.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

/// The new and the old name of each, with arguments that it turns down and what it says then.
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
        .expect("the program runs")
}

fn text(octets: &[u8]) -> String {
    String::from_utf8(octets.to_vec()).expect("UTF-8")
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
    for (new, old, arguments, complaint) in RENAMED {
        for name in [new, old] {
            let output = maplethread(&[&[name], &arguments[..]].concat());
            assert_eq!(output.status.code(), Some(2), "{name}");
            assert_eq!(text(&output.stderr), complaint, "{name}");
        }
    }
}

/// A process that ends with the test.
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
            .expect("the program starts");
        let mut process = KillOnDrop(child);
        let output = process.0.stdout.take().expect("piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("a line, or the end of its output");
        assert!(
            line.starts_with("stand-in for Consul listening on 127.0.0.1:"),
            "{name}: {line}"
        );
    }
}
