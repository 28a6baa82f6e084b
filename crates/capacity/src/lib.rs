//! Capacity planning from measured sweeps, free of I/O: the format of results, and what is derived from them.

mod result;

pub use result::{
    Dimension, Direction, Fault, Machine, MessageCount, MessageKind, Phase, PhaseSample, Point,
    PointSettings, ProcessSample, RESULT_FORMAT, Share, SweepResult,
};
