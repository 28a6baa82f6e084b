//! Capacity planning from measured sweeps, without I/O: the format of results, and the analysis of them.
//!
//! [`parse_result`] reads a [`SweepResult`]. A [`LawSelection`] fits laws to its smaller sizes and tests their
//! predictions on the larger ones; a [`Budget`] is compared with the measurements at the [`DESIGN_SIZE`]. A
//! [`Report`] renders all of this as plots and as the generated parts of a Markdown page, which [`regenerate`]
//! inserts.
//!
//! Blocks of the page are enclosed by markers on lines of their own, figures by markers within a line:
//!
//! ```markdown
//! <!-- begin generated: NAME -->
//! <!-- end generated: NAME -->
//!
//! A placer takes <!-- figure: workers/1300/peak/cpu -->1.2<!-- /figure --> percent of a core.
//! ```
//!
//! The name of a block is the name of a sweep, [`SIZE_BLOCK`] or [`BUDGET_BLOCK`]. The key of a figure is one of
//!
//! | key | figure |
//! | --- | --- |
//! | `SWEEP/SIZE/PHASE/QUANTITY` | the measured value at the size, mean of the placers |
//! | `SWEEP/SIZE/PHASE/QUANTITY/foretold` | the predicted value at a held-out size |
//! | `SWEEP/SIZE/PHASE/QUANTITY/error` | the prediction error (predicted minus measured), percent of the measured value |
//! | `SWEEP/law/PHASE/QUANTITY/COEFFICIENT` | a coefficient of the law: `a`, `b` or `c` (`ln a` of a power law) |
//! | `budget/PHASE/QUANTITY` | the measured value at the design size, highest placer |
//! | `budget/PHASE/QUANTITY/headroom` | the budget divided by that value |
//!
//! `PHASE` is `rest`, `peak` or a fault such as `zone_dies` ([`Phase::from_key`]); `QUANTITY` is a key such as `cpu` or
//! `control_wire_bytes` ([`Quantity::from_key`]).

mod budget_block;
mod dimension;
mod figure;
mod fit;
mod law;
mod law_selection;
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
mod sweep;
mod sweep_block;

pub use budget_block::{MeasuredAtSize, measured_at_size};
pub use dimension::MAX_FITTED_WORKERS;
pub use figure::{FigureKey, KeyError, SweepAspect};
pub use fit::{CONFIDENCE, Coefficient, Fit, FitError, Interval, Observation, Prediction};
pub use law::Law;
pub use law_selection::{FitVerdict, HeldOut, LawEvaluation, LawSelection, MAX_RELATIVE_ERROR};
pub use page::{PageContents, PageError, PagePart, RegeneratedPage, regenerate};
pub use parse::{PointProblem, ResultError, parse_result};
pub use plot::{PlotError, sweep_plot};
pub use quantity::{Aggregation, AnswerTime, Quantity, TrafficClass};
pub use report::{BUDGET_BLOCK, Plot, Report, SIZE_BLOCK};
pub use result::{
    Dimension, Direction, Fault, MachineInfo, MessageCount, MessageKind, MessagePurpose, Phase,
    PhaseSample, PointSettings, ProcessSample, RESULT_FORMAT, SweepPoint, SweepResult,
};
pub use size::{
    Budget, DESIGN_SIZE, InstallationSize, MAX_CONTROL_BYTES_PER_SECOND, MAX_CPU_PERCENT,
    MAX_MEMORY_BYTES,
};
pub use sweep_block::NOT_MEASURED;
