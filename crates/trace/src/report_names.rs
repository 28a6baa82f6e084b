//! The names by which reports call what the module decides with. They are part of the printed and JSON reports that
//! scripts and operators read, so they are stated here and do not follow the names of the variants in the code.

use maplethread::{End, Ending, Lack, Why};

/// The name in reports of how an attempt ended.
pub(crate) fn ending(ending: Ending) -> &'static str {
    match ending {
        Ending::Done => "Done",
        Ending::Error => "Error",
        Ending::Refused => "Refused",
        Ending::TimedOut => "TimedOut",
        Ending::Unreachable => "Unreachable",
        Ending::Reset => "Reset",
        Ending::Cancelled => "Cancelled",
        Ending::NotSent => "NotSent",
    }
}

/// The name in reports of why an attempt ended.
pub(crate) fn why(why: Why) -> &'static str {
    match why {
        Why::Cores => "Cores",
        Why::Memory => "Memory",
        Why::Line => "Line",
        Why::NotHere => "NotHere",
        Why::Evicted => "Evicted",
        Why::PushedOut => "PushedOut",
        Why::SentAway => "SentAway",
    }
}

/// The name in reports of what a held task waits for.
pub(crate) fn lack(lack: Lack) -> &'static str {
    match lack {
        Lack::Size => "Size",
        Lack::Ready => "Ready",
        Lack::Link => "Link",
        Lack::Group => "Group",
        Lack::Spread => "Spread",
        Lack::Cold => "Cold",
        Lack::Room => "Room",
    }
}

/// How an attempt ended, with the reason in brackets if one is known: `Refused (Cores)`.
pub(crate) fn end(end: &End) -> String {
    match end.why {
        Some(reason) => format!("{} ({})", ending(end.ending), why(reason)),
        None => ending(end.ending).to_owned(),
    }
}
