//! Signals that end a run.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::error::{CommandError, ErrorContext};

/// Returns a flag that SIGINT and SIGTERM set, so that a run stops the processes that it started.
///
/// # Errors
///
/// Returns an error if a signal handler could not be registered.
pub fn interrupt_flag() -> Result<Arc<AtomicBool>, CommandError> {
    let flag = Arc::default();
    for signal in [SIGINT, SIGTERM] {
        // A second signal ends the program at once.
        signal_hook::flag::register_conditional_shutdown(signal, 2, Arc::clone(&flag))
            .and_then(|_| signal_hook::flag::register(signal, Arc::clone(&flag)))
            .in_step("signals")?;
    }
    Ok(flag)
}
