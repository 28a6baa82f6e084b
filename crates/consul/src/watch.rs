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
pub enum Next {
    /// The whole list, at once.
    Whole,
    /// The whole list, once its index moves or the wait is over.
    WholeBlocking,
    /// Nothing but the index, once it moves or the wait is over.
    Watch,
}

/// Decides how the list is read next.
#[derive(Debug)]
pub struct Watch {
    /// Not used before this.
    from: Option<Micros>,
    /// When the whole list is read again.
    due: Option<Micros>,
    /// The index has moved since.
    moved: bool,
}

impl Watch {
    /// A watch, or whole lists only.
    pub fn new(wanted: bool) -> Watch {
        Watch {
            from: wanted.then_some(0),
            due: None,
            moved: false,
        }
    }

    /// What to read next, when blocking on an index is possible.
    pub fn next(&self, now: Micros) -> Next {
        match (self.from, self.due) {
            (Some(from), Some(due)) if from <= now => {
                if self.moved || due <= now {
                    Next::Whole
                } else {
                    Next::Watch
                }
            }
            _ => Next::WholeBlocking,
        }
    }

    /// A whole list came. `unannounced` tells that it differs from the last one under the same index; `drawn`, in
    /// 0..1, when the next one is read whatever the watch says.
    pub fn whole(&mut self, now: Micros, unannounced: bool, drawn: f64) {
        let wait = (WHOLE_EVERY as f64 * (0.5 + 0.5 * drawn)) as Micros;
        (self.due, self.moved) = (Some(now + wait), false);
        if unannounced && self.from.is_some_and(|from| from <= now) {
            tracing::warn!(
                "the catalogue's list changed under an unchanged index; whole lists are read"
            );
            self.from = Some(now + DISTRUST);
        }
    }

    /// The watch's answer came, with whether the index has moved.
    pub fn told(&mut self, moved: bool) {
        self.moved |= moved;
    }

    /// A server does not take the filter, or ignores it.
    pub fn refused(&mut self) {
        tracing::info!("the catalogue does not filter; whole lists are read");
        self.from = None;
    }
}

/// A filter that leaves nothing, within what the settings' own filter leaves.
pub fn nothing(filter: Option<&str>) -> String {
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
        let mut watch = Watch::new(true);
        assert_eq!(watch.next(0), Next::WholeBlocking, "nothing is known yet");
        watch.whole(S, false, 1.0);
        assert_eq!(watch.next(2 * S), Next::Watch);
        watch.told(false);
        assert_eq!(watch.next(7 * S), Next::Watch);
        watch.told(true);
        assert_eq!(watch.next(8 * S), Next::Whole);
        watch.whole(8 * S, false, 1.0);
        assert_eq!(watch.next(8 * S + WHOLE_EVERY - 1), Next::Watch);
        assert_eq!(watch.next(8 * S + WHOLE_EVERY), Next::Whole);
        watch.whole(8 * S, false, 0.0);
        assert_eq!(watch.next(8 * S + WHOLE_EVERY / 2 - 1), Next::Watch);
        assert_eq!(watch.next(8 * S + WHOLE_EVERY / 2), Next::Whole);
        assert_eq!(Watch::new(false).next(0), Next::WholeBlocking);
    }

    #[test]
    fn a_watch_that_lies_or_is_not_taken_is_given_up() {
        let mut watch = Watch::new(true);
        watch.whole(S, false, 0.0);
        watch.whole(2 * S, true, 0.0);
        assert_eq!(watch.next(3 * S), Next::WholeBlocking);
        assert_eq!(
            watch.next(2 * S + DISTRUST),
            Next::Whole,
            "tried again much later, from a whole list"
        );
        let mut watch = Watch::new(true);
        watch.whole(S, false, 0.0);
        watch.refused();
        assert_eq!(watch.next(u64::MAX), Next::WholeBlocking);
    }

    #[test]
    fn the_filter_keeps_within_the_settings_own() {
        assert_eq!(nothing(None), "Service.ID == \"\"");
        assert_eq!(nothing(Some("a == b")), "a == b and Service.ID == \"\"");
        assert_eq!(
            nothing(Some("a == b or c == d")),
            "(a == b or c == d) and Service.ID == \"\""
        );
    }
}
