//! Connects maplethread placers to the simulator, whose wire protocol has one JSON array per line. The program reads
//! batches of events from standard input and writes one reply per batch to standard output. It makes no decisions of its
//! own.

#![forbid(unsafe_code)]

mod adapter;
mod instances;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use maplethread_platform_settings::FieldError;

use self::adapter::Adapter;

/// Why the adapter exits before the end of its input.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("line {line}: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {error}")]
    Line { line: u64, error: FieldError },
    #[error("standard output: {0}")]
    Write(#[source] io::Error),
    #[error("line {line}: input ended within a batch, expected EOB")]
    IncompleteBatch { line: u64 },
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), RunError> {
    let mut adapter = Adapter::default();
    let mut line = 0;
    for text in input.lines() {
        line += 1;
        let text = text.map_err(|source| RunError::Read { line, source })?;
        let reply = adapter
            .apply_line(&text)
            .map_err(|error| RunError::Line { line, error })?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(RunError::Write)?;
        }
    }
    if adapter.is_within_batch() {
        return Err(RunError::IncompleteBatch { line: line + 1 });
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplethread-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
