//! Reads that cost little at rest: between reads of the whole list, a blocking query whose filter matches nothing
//! tells by its index alone whether the list has changed.
//!
//! A watch must not be believed further than it has earned. The whole list is read now and then whatever the watch
//! says; if that shows a change of which the index said nothing, or if a server does not take the filter or ignores
//! it, whole lists are read again, as without a watch.

use crate::Micros;

/// The whole list is read at least this often while a watch says that nothing changes. Each reader draws its own time
/// between half of it and the whole, so that those that began together do not go on reading together.
pub const WHOLE_EVERY: Micros = 120_000_000;
/// A watch that has told less than the truth is not used for this long.
const DISTRUST: Micros = 600_000_000;
/// No service has an empty id, so this leaves nothing.
const NOTHING: &str = "Service.ID == \"\"";

/// What the next read of the list is to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// The whole list, at once.
    Whole,
    /// The whole list, once its index moves or the wait is over.
    WholeBlocking,
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
    moved: bool,
}

impl IndexWatch {
    /// A watch, or whole lists only.
    pub fn new(wanted: bool) -> IndexWatch {
        IndexWatch {
            usable_from: wanted.then_some(0),
            next_full_read: None,
            moved: false,
        }
    }

    /// What to read next, when blocking on an index is possible.
    pub fn next_read(&self, now: Micros) -> NextRead {
        match (self.usable_from, self.next_full_read) {
            (Some(from), Some(due)) if from <= now => {
                if self.moved || due <= now {
                    NextRead::Whole
                } else {
                    NextRead::IndexOnly
                }
            }
            _ => NextRead::WholeBlocking,
        }
    }

    /// A whole list came. `unannounced` tells that it differs from the last one under the same index; `drawn`, in
    /// 0..1, when the next one is read whatever the watch says.
    pub fn record_full_read(&mut self, now: Micros, unannounced: bool, drawn: f64) {
        let wait = (WHOLE_EVERY as f64 * (0.5 + 0.5 * drawn)) as Micros;
        (self.next_full_read, self.moved) = (Some(now + wait), false);
        if unannounced && self.usable_from.is_some_and(|from| from <= now) {
            tracing::warn!(
                "the catalogue's list changed under an unchanged index; whole lists are read"
            );
            self.usable_from = Some(now + DISTRUST);
        }
    }

    /// The watch's answer came, with whether the index has moved.
    pub fn record_index(&mut self, moved: bool) {
        self.moved |= moved;
    }

    /// A server does not take the filter, or ignores it.
    pub fn refused(&mut self) {
        tracing::info!("the catalogue does not filter; whole lists are read");
        self.usable_from = None;
    }
}

/// A filter that leaves nothing, within what the settings' own filter leaves.
pub fn match_nothing_filter(filter: Option<&str>) -> String {
    match filter {
        Some(own) if own.contains(" or ") => format!("({own}) and {NOTHING}"),
        Some(own) => format!("{own} and {NOTHING}"),
        None => NOTHING.to_owned(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    #[test]
    fn whole_lists_come_first_on_news_and_now_and_then() {
        let mut watch = IndexWatch::new(true);
        assert_eq!(
            watch.next_read(0),
            NextRead::WholeBlocking,
            "nothing is known yet"
        );
        watch.record_full_read(S, false, 1.0);
        assert_eq!(watch.next_read(2 * S), NextRead::IndexOnly);
        watch.record_index(false);
        assert_eq!(watch.next_read(7 * S), NextRead::IndexOnly);
        watch.record_index(true);
        assert_eq!(watch.next_read(8 * S), NextRead::Whole);
        watch.record_full_read(8 * S, false, 1.0);
        assert_eq!(
            watch.next_read(8 * S + WHOLE_EVERY - 1),
            NextRead::IndexOnly
        );
        assert_eq!(watch.next_read(8 * S + WHOLE_EVERY), NextRead::Whole);
        watch.record_full_read(8 * S, false, 0.0);
        assert_eq!(
            watch.next_read(8 * S + WHOLE_EVERY / 2 - 1),
            NextRead::IndexOnly
        );
        assert_eq!(watch.next_read(8 * S + WHOLE_EVERY / 2), NextRead::Whole);
        assert_eq!(IndexWatch::new(false).next_read(0), NextRead::WholeBlocking);
    }

    #[test]
    fn a_watch_that_lies_or_is_not_taken_is_given_up() {
        let mut watch = IndexWatch::new(true);
        watch.record_full_read(S, false, 0.0);
        watch.record_full_read(2 * S, true, 0.0);
        assert_eq!(watch.next_read(3 * S), NextRead::WholeBlocking);
        assert_eq!(
            watch.next_read(2 * S + DISTRUST),
            NextRead::Whole,
            "tried again much later, from a whole list"
        );
        let mut watch = IndexWatch::new(true);
        watch.record_full_read(S, false, 0.0);
        watch.refused();
        assert_eq!(watch.next_read(u64::MAX), NextRead::WholeBlocking);
    }

    #[test]
    fn the_filter_keeps_within_the_settings_own() {
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
