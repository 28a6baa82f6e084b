//! Reads that cost little at rest: between reads of the whole list, a blocking query whose filter matches nothing
//! tells by its index alone whether the list has changed.
//!
//! A watch must not be believed further than it has earned. The whole list is read now and then whatever the watch
//! says; if that shows a change of which the index said nothing, or if a server does not take the filter or ignores
//! it, whole lists are read again, as without a watch.

use crate::Micros;

/// The whole list is read at least this often while a watch says that nothing changes. Each reader draws its own time
/// between half of it and the whole, so that those that began together do not go on reading together.
pub const FULL_READ_INTERVAL: Micros = 120_000_000;
/// A watch that has told less than the truth is not used for this long.
const DISTRUST_DURATION: Micros = 600_000_000;
/// No service has an empty id, so this leaves nothing.
const MATCH_NOTHING: &str = "Service.ID == \"\"";

/// What the next read of the list is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// The whole list, at once.
    Full,
    /// The whole list, once its index moves or the wait is over.
    FullBlocking,
    /// Nothing but the index, once it moves or the wait is over.
    IndexOnly,
}

/// Decides how the list is read next.
#[derive(Debug)]
pub struct IndexWatch {
    /// Not used before this.
    usable_from: Option<Micros>,
    /// When the whole list is read again.
    next_full_read: Option<Micros>,
    /// The index has moved since.
    has_moved: bool,
}

impl IndexWatch {
    /// A watch, or whole lists only.
    pub fn new(wanted: bool) -> IndexWatch {
        IndexWatch {
            usable_from: wanted.then_some(0),
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

    /// A whole list came. `unannounced` tells that it differs from the last one under the same index; `drawn`, in
    /// 0..1, when the next one is read whatever the watch says.
    pub fn record_full_read(&mut self, now: Micros, unannounced: bool, drawn: f64) {
        let wait = (FULL_READ_INTERVAL as f64 * (0.5 + 0.5 * drawn)) as Micros;
        (self.next_full_read, self.has_moved) = (Some(now + wait), false);
        if unannounced && self.usable_from.is_some_and(|from| from <= now) {
            tracing::warn!(
                "the catalogue's list changed under an unchanged index; whole lists are read"
            );
            self.usable_from = Some(now + DISTRUST_DURATION);
        }
    }

    /// The watch's answer came, with whether the index has moved.
    pub fn record_index(&mut self, moved: bool) {
        self.has_moved |= moved;
    }

    /// A server does not take the filter, or ignores it.
    pub fn disable(&mut self) {
        tracing::info!("the catalogue does not filter; whole lists are read");
        self.usable_from = None;
    }
}

/// A filter that leaves nothing, within what the settings' own filter leaves.
pub fn match_nothing_filter(filter: Option<&str>) -> String {
    match filter {
        Some(own) if own.contains(" or ") => format!("({own}) and {MATCH_NOTHING}"),
        Some(own) => format!("{own} and {MATCH_NOTHING}"),
        None => MATCH_NOTHING.to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn reads_full_list_first_after_changes_and_periodically() {
        let mut watch = IndexWatch::new(true);
        assert_eq!(
            watch.next_read(0),
            NextRead::FullBlocking,
            "nothing is known yet"
        );
        watch.record_full_read(S, false, 1.0);
        assert_eq!(watch.next_read(2 * S), NextRead::IndexOnly);
        watch.record_index(false);
        assert_eq!(watch.next_read(7 * S), NextRead::IndexOnly);
        watch.record_index(true);
        assert_eq!(watch.next_read(8 * S), NextRead::Full);
        watch.record_full_read(8 * S, false, 1.0);
        assert_eq!(
            watch.next_read(8 * S + FULL_READ_INTERVAL - 1),
            NextRead::IndexOnly
        );
        assert_eq!(watch.next_read(8 * S + FULL_READ_INTERVAL), NextRead::Full);
        watch.record_full_read(8 * S, false, 0.0);
        assert_eq!(
            watch.next_read(8 * S + FULL_READ_INTERVAL / 2 - 1),
            NextRead::IndexOnly
        );
        assert_eq!(
            watch.next_read(8 * S + FULL_READ_INTERVAL / 2),
            NextRead::Full
        );
        assert_eq!(IndexWatch::new(false).next_read(0), NextRead::FullBlocking);
    }

    #[test]
    fn disables_watch_that_missed_a_change_or_is_not_supported() {
        let mut watch = IndexWatch::new(true);
        watch.record_full_read(S, false, 0.0);
        watch.record_full_read(2 * S, true, 0.0);
        assert_eq!(watch.next_read(3 * S), NextRead::FullBlocking);
        assert_eq!(
            watch.next_read(2 * S + DISTRUST_DURATION),
            NextRead::Full,
            "tried again much later, from a whole list"
        );
        let mut watch = IndexWatch::new(true);
        watch.record_full_read(S, false, 0.0);
        watch.disable();
        assert_eq!(watch.next_read(u64::MAX), NextRead::FullBlocking);
    }

    #[test]
    fn match_nothing_filter_narrows_the_configured_one() {
        assert_eq!(match_nothing_filter(None), "Service.ID == \"\"");
        assert_eq!(
            match_nothing_filter(Some("a == b")),
            "a == b and Service.ID == \"\""
        );
        assert_eq!(
            match_nothing_filter(Some("a == b or c == d")),
            "(a == b or c == d) and Service.ID == \"\""
        );
    }
}
