//! Reads that cost little while nothing changes: between reads of the full list, a blocking query whose filter matches
//! nothing shows by its index alone whether the list has changed.
//!
//! The index is not relied on further than it has proved right. The full list is read from time to time whatever the
//! index says. If that shows a change without a change of the index, or if a server rejects or ignores the filter,
//! full lists are read again, as without a watch.

use crate::Micros;

/// The full list is read at least this often while the index does not change. Each reader draws its own time between
/// half of it and the whole, so that readers that began together do not go on reading together.
pub const FULL_READ_INTERVAL: Micros = 120_000_000;
/// How long a watch is not used after it has missed a change.
const DISTRUST_DURATION: Micros = 600_000_000;
/// No service has an empty id, so this filter matches nothing.
const MATCH_NOTHING: &str = "Service.ID == \"\"";

/// What the next read of the list is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// The full list, at once.
    Full,
    /// The full list, once its index moves or the wait is over.
    FullBlocking,
    /// Nothing but the index, once it moves or the wait is over.
    IndexOnly,
}

/// Decides how the list is read next.
#[derive(Debug)]
pub struct IndexWatch {
    /// Since when the watch may be used; none if never.
    usable_from: Option<Micros>,
    /// When the full list is read again.
    next_full_read: Option<Micros>,
    /// Whether the index has moved since the last full list.
    has_moved: bool,
}

impl IndexWatch {
    /// A watch, or full lists only if it is not enabled.
    pub fn new(is_enabled: bool) -> IndexWatch {
        IndexWatch {
            usable_from: is_enabled.then_some(0),
            next_full_read: None,
            has_moved: false,
        }
    }

    /// What to read next, when blocking on an index is possible.
    pub fn next_read(&self, now: Micros) -> NextRead {
        match (self.usable_from, self.next_full_read) {
            (Some(from), Some(due)) if from <= now => {
                if self.has_moved || due <= now {
                    NextRead::Full
                } else {
                    NextRead::IndexOnly
                }
            }
            _ => NextRead::FullBlocking,
        }
    }

    /// Records that a full list was read. `is_unannounced` says that it differs from the last one under the same
    /// index; `drawn`, from 0 to 1, sets when the next one is read whatever the index says.
    pub fn record_full_read(&mut self, now: Micros, is_unannounced: bool, drawn: f64) {
        let wait = (FULL_READ_INTERVAL as f64 * (0.5 + 0.5 * drawn)) as Micros;
        self.next_full_read = Some(now + wait);
        self.has_moved = false;
        if is_unannounced && self.usable_from.is_some_and(|from| from <= now) {
            tracing::warn!(
                "the catalogue's list changed under an unchanged index; whole lists are read"
            );
            self.usable_from = Some(now + DISTRUST_DURATION);
        }
    }

    /// Records the answer to a read of the index.
    pub fn record_index(&mut self, has_moved: bool) {
        self.has_moved |= has_moved;
    }

    /// Stops using the watch: a server rejects the filter, or ignores it.
    pub fn disable(&mut self) {
        tracing::info!("the catalogue does not filter; whole lists are read");
        self.usable_from = None;
    }
}

/// A filter that matches nothing of what the configured filter matches.
pub fn match_nothing_filter(configured: Option<&str>) -> String {
    match configured {
        Some(own) if own.contains(" or ") => format!("({own}) and {MATCH_NOTHING}"),
        Some(own) => format!("{own} and {MATCH_NOTHING}"),
        None => MATCH_NOTHING.to_owned(),
    }
}

#[cfg(test)]
mod tests;
