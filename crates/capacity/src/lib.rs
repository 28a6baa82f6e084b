//! Capacity planning from measured sweeps, free of I/O: the format of results, and what is derived from them.
//!
//! A [`SweepResult`] is read by [`parse_result`]. A [`Study`] fits laws to its smaller sizes and lets them foretell the
//! larger ones; a [`Budget`] is held against what was measured at the [`DESIGN_SIZE`]. A [`Report`] renders all of it as
//! the generated parts of a Markdown page, which [`regenerate`] puts in their places, and as plots.
//!
//! Blocks of the page stand between markers on lines of their own, figures between markers inside a line:
//!
//! ```markdown
//! <!-- begin generated: NAME -->
//! <!-- end generated: NAME -->
//!
//! A placer takes <!-- figure: workers/1300/peak/cpu -->1.2<!-- /figure --> percent of a core.
//! ```
//!
//! The name of a block is that of a sweep, or [`SIZE_BLOCK`] or [`BUDGET_BLOCK`]. The key of a figure is one of
//!
//! | key | figure |
//! | --- | --- |
//! | `SWEEP/SIZE/PHASE/QUANTITY` | measured at the size, mean of the placers |
//! | `SWEEP/SIZE/PHASE/QUANTITY/foretold` | foretold of a size held out |
//! | `SWEEP/SIZE/PHASE/QUANTITY/error` | foretold less measured, percent of the measured |
//! | `SWEEP/law/PHASE/QUANTITY/COEFFICIENT` | a coefficient of the law: `a`, `b` or `c` (`ln a` of a power law) |
//! | `budget/PHASE/QUANTITY` | measured at the size that the design is made for, highest placer |
//! | `budget/PHASE/QUANTITY/headroom` | the budget over it |
//!
//! `PHASE` is `rest`, `peak` or a fault such as `zone_dies` ([`Phase::from_key`]); `QUANTITY` is such as `cpu` or
//! `control_wire_bytes` ([`Quantity::from_key`]).
#![allow(
    clippy::missing_errors_doc,
    reason = "not yet worked through; listed in docs/ROADMAP.md"
)]

mod budget_block;
mod dimension;
mod figure;
mod fit;
mod law;
mod markdown;
mod number;
mod other_points;
mod page;
mod parse;
mod phase;
mod plot;
mod quantity;
mod report;
mod result;
mod size;
mod study;
mod sweep;
mod sweep_block;

pub use budget_block::{MeasuredAtSize, measured_at_size};
pub use dimension::MAX_FITTED_WORKERS;
pub use figure::{FigureKey, KeyError, SweepAspect};
pub use fit::{CONFIDENCE, Coefficient, Fit, FitError, Interval, Observation, Prediction};
pub use law::Law;
pub use page::{Contents, PageError, PartName, Regenerated, regenerate};
pub use parse::{PointProblem, ResultError, parse_result};
pub use plot::{PlotError, sweep_plot};
pub use quantity::{Aggregation, AnswerTime, Quantity, TrafficClass};
pub use report::{BUDGET_BLOCK, Plot, Report, SIZE_BLOCK};
pub use result::{
    Dimension, Direction, Fault, Machine, MessageCount, MessageKind, MessagePurpose, Phase,
    PhaseSample, Point, PointSettings, ProcessSample, RESULT_FORMAT, SweepResult,
};
pub use size::{
    Budget, DESIGN_SIZE, InstallationSize, MAX_CONTROL_BYTES_PER_SECOND, MAX_CPU_PERCENT,
    MAX_MEMORY_BYTES,
};
pub use study::{FitVerdict, HeldOut, MAX_RELATIVE_ERROR, Study, Trial};
pub use sweep_block::NOT_MEASURED;
