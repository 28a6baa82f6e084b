//! `maplethread fleet`: the members of a placer's cluster, as that placer sees them.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Subcommand;
use maplethread_placer::get_json;
use serde_json::Value;

use crate::error::{CommandError, ErrorContext};

/// How often `watch` polls the placer.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// `watch` fails after this number of failed polls in a row.
const MAX_FAILED_POLLS: u32 = 50;

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print the fleet as a placer sees it: a line for each member, and a summary
    Members {
        /// The placer's API
        #[arg(long, default_value = "127.0.0.1:7400", value_name = "ADDRESS")]
        api: SocketAddr,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Print each change of a placer's view as a JSON line, until interrupted or the placer stops answering
    Watch {
        /// The placer's API
        #[arg(long, default_value = "127.0.0.1:7400", value_name = "ADDRESS")]
        api: SocketAddr,
    },
    /// Generate a key for a fleet's key file
    Key,
}

pub fn run(command: &FleetCommand) -> Result<ExitCode, CommandError> {
    match command {
        FleetCommand::Members { api, json } => members(*api, *json),
        FleetCommand::Watch { api } => watch(*api),
        FleetCommand::Key => {
            let mut key = [0; 32];
            getrandom::fill(&mut key).in_step("random key")?;
            println!(
                "{}",
                key.iter().map(|b| format!("{b:02x}")).collect::<String>()
            );
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn get(api: SocketAddr, target: &str) -> Result<Value, CommandError> {
    let (status, body) = get_json(api, target).in_step(api.to_string())?;
    if status == 200 {
        Ok(body)
    } else {
        let detail = body["detail"].as_str().unwrap_or("no detail");
        Err(format!("{detail} ({status})")).in_step(api.to_string())
    }
}

fn members(api: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let view = get(api, "/v1/fleet")?;
    if json {
        println!("{view}");
        return Ok(ExitCode::SUCCESS);
    }
    let text = |v: &Value| v.as_str().unwrap_or("-").to_owned();
    let line = |name: String, state: String, m: &Value, facts: &Value| {
        let number = facts["number"]
            .as_u64()
            .map_or("-".to_owned(), |n| n.to_string());
        let drains = if facts["draining"] == true {
            "drains"
        } else {
            ""
        };
        println!(
            "{name:<20} {state:<8} {:<22} {:<10} {:<10} {number:>6} {:>4} {drains}",
            text(&m["address"]),
            text(&facts["zone"]),
            text(&facts["version"]),
            facts["load"]
                .as_u64()
                .map_or("-".to_owned(), |l| l.to_string()),
        );
    };
    println!(
        "{:<20} {:<8} {:<22} {:<10} {:<10} {:>6} {:>4}",
        "member", "state", "address", "zone", "version", "number", "load"
    );
    line(
        text(&view["name"]),
        "itself".to_owned(),
        &view,
        &view["facts"],
    );
    for member in view["members"].as_array().into_iter().flatten() {
        line(
            text(&member["name"]),
            text(&member["state"]),
            member,
            &member["facts"],
        );
    }
    println!(
        "view {} (the {}th), unchanged for {:.1} s; own condition {} of 8",
        text(&view["digest"]),
        view["version"],
        view["settled_ms"].as_f64().unwrap_or(0.0) / 1000.0,
        view["health"]
    );
    for (key, message) in [
        (
            "displaced_by",
            "takes no part: its name is held by the process at",
        ),
        ("claimed_by", "name claimed by another process at"),
    ] {
        if let Some(address) = view[key].as_str() {
            println!("{message} {address}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn watch(api: SocketAddr) -> Result<ExitCode, CommandError> {
    let mut after = 0;
    let mut failed_polls = 0;
    let mut out = std::io::stdout().lock();
    loop {
        match get(api, &format!("/v1/fleet?after={after}")) {
            Ok(response) => {
                failed_polls = 0;
                if response["lost"] == true && after > 0 {
                    let _ = writeln!(
                        out,
                        "{{\"lost\":\"changes after {after} are not kept any more\"}}"
                    );
                }
                for change in response["changes"].as_array().into_iter().flatten() {
                    after = change["number"].as_u64().unwrap_or(after);
                    if writeln!(out, "{change}").is_err() {
                        return Ok(ExitCode::SUCCESS);
                    }
                }
                let _ = out.flush();
            }
            Err(error) => {
                failed_polls += 1;
                if after == 0 && failed_polls == 1 || failed_polls >= MAX_FAILED_POLLS {
                    return Err(error);
                }
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
