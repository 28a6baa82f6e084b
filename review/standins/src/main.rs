//! Stand-ins for the cases of the review: `review-standins CASE FOLDER ROOT` plays a case, writes `record.txt` into FOLDER,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod channel;
mod host;
mod owner;
mod placer;
mod record;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Finding {
    Held,
    Broken,
}

/// What a case is played with.
pub struct Stage<'a> {
    pub root: &'a Path,
    pub record: &'a Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.write(&format!("case {case}, disruption: {trouble}"));
    let stage = Stage {
        root: Path::new(root),
        record: &record,
        trouble,
    };
    match cases::play(case, &stage) {
        Ok(Finding::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Finding::Broken) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
