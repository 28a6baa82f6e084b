//! `maplethread placer` and `maplethread check-config`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use maplethread_config::PlacerConfig;
use maplethread_emulator::random_choice::RandomChoice;
use maplethread_engine::Decide;

use crate::error::{CommandError, ErrorContext};

/// Arguments of `placer`.
#[derive(Args)]
pub struct PlacerArgs {
    /// The settings file
    #[arg(long)]
    config: PathBuf,
    /// The decision maker; `random` is the baseline of fault runs
    #[arg(long, value_enum, default_value_t = Decider::Module, hide = true)]
    decider: Decider,
    /// The mutant that breaks this rule on purpose (baseline only)
    #[arg(long = "rogue", default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=6), hide = true)]
    mutant: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Decider {
    Module,
    Random,
}

/// Runs a placer.
///
/// # Errors
///
/// Returns the error that stopped the placer.
pub fn run(args: &PlacerArgs) -> Result<ExitCode, CommandError> {
    let options = maplethread_placer::Options {
        config_path: args.config.clone(),
    };
    let (decider, mutant) = (args.decider, args.mutant);
    let new_decider = |config: &PlacerConfig,
                       seed: u64|
     -> Result<Box<dyn Decide>, maplethread::SettingsError> {
        Ok(match decider {
            Decider::Module => Box::new(maplethread::Placer::new(config.policy_settings(), seed)?),
            Decider::Random => Box::new(RandomChoice::new(config.policy_settings(), seed, mutant)),
        })
    };
    maplethread_placer::run(&options, new_decider).in_library()?;
    Ok(ExitCode::SUCCESS)
}

/// Checks a placer's settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is not valid.
pub fn check_config(file: &Path) -> Result<ExitCode, CommandError> {
    let config = maplethread_placer::load_config(file).in_library()?;
    println!(
        "{}: valid; placer {} of {}, {} classes, {} kinds of hosts",
        file.display(),
        config.identity.name,
        config.identity.replica_count,
        config.classes.len(),
        config.kinds.len()
    );
    Ok(ExitCode::SUCCESS)
}
