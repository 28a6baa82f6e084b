//! The cases.

mod late_answer;
mod memory;
mod release;
mod retry;
mod silence;
mod stale_list;

use crate::{Finding, Stage};

/// Plays a case.
pub fn play(case: &str, stage: &Stage) -> Result<Finding, String> {
    match case {
        "retry" => retry::play(stage),
        "late-answer" => late_answer::play(stage),
        "memory" => memory::play(stage),
        "release" => release::play(stage),
        "stale-list" => stale_list::play(stage),
        "silence" => silence::play(stage),
        _ => Err(format!("no case {case}")),
    }
}
