//! Trace files: the inputs and decisions of one placer, which can be read, summarised and replayed with identical
//! results.
//!
//! A file consists of a header, self-contained blocks of records, and an index. [`record`] defines the records,
//! [`block`] encodes and checks blocks, [`writer`] and [`reader`] write and read files, [`merge`] combines traces,
//! [`replay`] feeds a trace to a new policy, [`summary`] aggregates it for operators, [`losses`] reports what kept
//! tasks from running, [`cut`] selects the records of an excerpt, and [`anonymise`] replaces names. The format is
//! specified in `docs/trace-format.md`.
//!
//! This crate neither reads a clock nor starts a thread; files are passed in as `Read`, `Write` and `Seek`.
#![allow(
    clippy::too_many_lines,
    reason = "one match over all kinds of records, events or actions is easier to check than its parts"
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
pub use header::{Header, POLICY_SOURCES, Source, policy_hash};
pub use reader::{FilePart, Reader};
pub use record::{Outcome, Record, TimedRecord, Turn};
pub use report_names::ActionList;
pub use writer::{Writer, WriterTotals};
