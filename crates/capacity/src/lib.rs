//! Capacity planning from measured sweeps, free of I/O: the format of results, and what is derived from them.

mod budget_block;
mod dimension;
mod figure;
mod fit;
mod law;
mod markdown;
mod number;
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
pub use quantity::{Across, AnswerTime, Quantity, Traffic};
pub use report::{BUDGET_BLOCK, Plot, Report, SIZE_BLOCK};
pub use result::{
    Dimension, Direction, Fault, Machine, MessageCount, MessageKind, Phase, PhaseSample, Point,
    PointSettings, ProcessSample, RESULT_FORMAT, Share, SweepResult,
};
pub use size::{Budget, DESIGN_SIZE, MAX_CONTROL_BYTES_PER_SECOND, MAX_CPU_PERCENT, MAX_MEMORY_BYTES, Size};
pub use study::{HeldOut, MAX_RELATIVE_ERROR, Study, Trial, Verdict};
pub use sweep_block::NOT_MEASURED;
