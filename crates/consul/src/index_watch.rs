//! Detects changes of the list without reading all of it: between reads of the full list, a blocking query is sent
//! whose filter matches nothing. The index in its empty response shows whether the list has changed.
//!
//! In case a server does not change the index with the list, the full list is also read periodically. If such a read
//! shows that a change was missed, or if a server rejects or ignores the filter, every read is of the full list again,
//! as without a watch.

use crate::Micros;

/// Maximum time between two reads of the full list while the index does not change. Each reader draws its own interval
/// between half of this and the whole, so that readers that started together do not stay synchronised.
pub const FULL_READ_INTERVAL: Micros = 120_000_000;
/// How long a watch is not used after it has missed a change.
const DISABLE_DURATION: Micros = 600_000_000;
/// A filter that matches nothing, since no service has an empty id.
const MATCH_NOTHING: &str = "Service.ID == \"\"";

/// The kind of the next read of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// The full list, at once.
    Full,
    /// The full list, once its index changes or the wait is over.
    FullBlocking,
    /// Only the index, once it changes or the wait is over.
    IndexOnly,
}

/// Decides how the list is read next.
#[derive(Debug)]
pub struct IndexWatch {
    /// The time from which the watch may be used; none if never.
    usable_from: Option<Micros>,
    /// When the full list is read again.
    next_full_read: Option<Micros>,
    /// Whether the index has changed since the last full list.
    has_changed: bool,
}

impl IndexWatch {
    /// Creates a watch. Only full lists are read if it is not enabled.
    pub fn new(is_enabled: bool) -> IndexWatch {
        IndexWatch {
            usable_from: is_enabled.then_some(0),
            next_full_read: None,
            has_changed: false,
        }
    }

    /// What to read next, when blocking on an index is possible.
    pub fn next_read(&self, now: Micros) -> NextRead {
        match (self.usable_from, self.next_full_read) {
            (Some(from), Some(due)) if from <= now => {
                if self.has_changed || due <= now {
                    NextRead::Full
                } else {
                    NextRead::IndexOnly
                }
            }
            _ => NextRead::FullBlocking,
        }
    }

    /// Records that a full list was read. `is_missed_change` means that it differs from the last one although the index
    /// is the same. `jitter`, from 0 to 1, sets when the next full list is read if the index does not change.
    pub fn record_full_read(&mut self, now: Micros, is_missed_change: bool, jitter: f64) {
        let wait = (FULL_READ_INTERVAL as f64 * (0.5 + 0.5 * jitter)) as Micros;
        self.next_full_read = Some(now + wait);
        self.has_changed = false;
        if is_missed_change && self.usable_from.is_some_and(|from| from <= now) {
            tracing::warn!(
                "catalogue list changed without a change of its index; reading full lists"
            );
            self.usable_from = Some(now + DISABLE_DURATION);
        }
    }

    /// Records the response to a read of the index.
    pub fn record_index(&mut self, has_changed: bool) {
        self.has_changed |= has_changed;
    }

    /// Stops using the watch: a server rejects the filter, or ignores it.
    pub fn disable(&mut self) {
        tracing::info!("catalogue server does not support the filter; reading full lists");
        self.usable_from = None;
    }
}

/// Returns the configured filter, extended so that it matches nothing.
pub fn match_nothing_filter(configured: Option<&str>) -> String {
    match configured {
        Some(filter) if filter.contains(" or ") => format!("({filter}) and {MATCH_NOTHING}"),
        Some(filter) => format!("{filter} and {MATCH_NOTHING}"),
        None => MATCH_NOTHING.to_owned(),
    }
}

#[cfg(test)]
mod tests;
