//! Trace files: what one placer saw and decided, so that a day can be read, summed up and replayed to the bit.
//!
//! A file is a header, blocks of records that stand alone, and an index. [`record`] is what is kept, [`block`] how
//! records are packed and checked, [`writer`] and [`reader`] go through files, [`replay`] feeds a trace to a fresh
//! module, [`summary`] answers what on-call asks, [`losses`] what kept tasks from running, [`cut`] copies a part,
//! and [`anonymise`] hides whom it is about. The format is in `docs/trace-format.md`.
//! Nothing here reads a clock or starts a thread; files are given as `Read`, `Write` and `Seek`.
#![allow(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet worked through; listed in docs/ROADMAP.md"
)]

pub mod anonymise;
pub mod block;
pub mod cut;
mod error;
pub mod header;
pub mod losses;
pub mod merge;
pub mod reader;
pub mod record;
pub mod replay;
mod report_names;
pub mod summary;
pub mod writer;

pub use block::BlockInfo;
pub use error::TraceError;
pub use header::{Header, POLICY_SOURCES, Source, module_hash};
pub use reader::{Part, Reader};
pub use record::{Outcome, Record, TimedRecord, Turn};
pub use report_names::ActionList;
pub use writer::{Totals, Writer};
