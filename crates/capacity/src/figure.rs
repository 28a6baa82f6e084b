//! Keys of figures inside sentences; the documentation of the crate has their forms.

use thiserror::Error;

use crate::quantity::Quantity;
use crate::result::Phase;
use crate::size::Budget;

/// The key of a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum FigureKey {
    /// A figure of a sweep.
    Sweep {
        /// The sweep.
        sweep: String,
        /// The phase.
        phase: Phase,
        /// The quantity.
        quantity: Quantity,
        /// What of it.
        aspect: SweepAspect,
    },
    /// A figure at the size that the design is made for.
    Budget {
        /// The phase.
        phase: Phase,
        /// The budget.
        budget: Budget,
        /// The headroom, and not the measured figure.
        headroom: bool,
    },
}

/// What of a quantity in a sweep.
#[derive(Clone, Debug, PartialEq)]
pub enum SweepAspect {
    /// Measured at a size.
    Measured(f64),
    /// Foretold of a size.
    Predicted(f64),
    /// The error of what was foretold of a size.
    Error(f64),
    /// A coefficient of the law, by its name.
    Coefficient(String),
}

/// What is wrong with a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// Not one of the forms of a key.
    #[error(
        "a key reads SWEEP/SIZE/PHASE/QUANTITY[/foretold|/error], SWEEP/law/PHASE/QUANTITY/COEFFICIENT or budget/PHASE/QUANTITY[/headroom]"
    )]
    Form,
    /// No such phase.
    #[error("no phase `{0}`")]
    Phase(String),
    /// No such quantity.
    #[error("no quantity `{0}`")]
    Quantity(String),
    /// A quantity without a budget.
    #[error("no budget for `{0}`")]
    Budget(String),
    /// Not a size.
    #[error("`{0}` is no size")]
    Size(String),
}

impl FigureKey {
    /// Reads a key.
    pub fn parse(key: &str) -> Result<Self, KeyError> {
        let parts: Vec<&str> = key.split('/').collect();
        match parts.as_slice() {
            ["budget", phase, quantity] => budget_key(phase, quantity, false),
            ["budget", phase, quantity, "headroom"] => budget_key(phase, quantity, true),
            [sweep, "law", phase, quantity, name] => sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Coefficient((*name).to_owned()),
            ),
            [sweep, size, phase, quantity] => sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Measured(parse_size(size)?),
            ),
            [sweep, size, phase, quantity, "foretold"] => sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Predicted(parse_size(size)?),
            ),
            [sweep, size, phase, quantity, "error"] => sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Error(parse_size(size)?),
            ),
            _ => Err(KeyError::Form),
        }
    }
}

fn budget_key(phase: &str, quantity: &str, headroom: bool) -> Result<FigureKey, KeyError> {
    let phase = parse_phase(phase)?;
    let budget = Budget::of_quantity(parse_quantity(quantity)?);
    let budget = budget.ok_or_else(|| KeyError::Budget(quantity.to_owned()))?;
    Ok(FigureKey::Budget {
        phase,
        budget,
        headroom,
    })
}

fn sweep_key(
    sweep: &str,
    phase: &str,
    quantity: &str,
    aspect: SweepAspect,
) -> Result<FigureKey, KeyError> {
    Ok(FigureKey::Sweep {
        sweep: sweep.to_owned(),
        phase: parse_phase(phase)?,
        quantity: parse_quantity(quantity)?,
        aspect,
    })
}

fn parse_phase(key: &str) -> Result<Phase, KeyError> {
    Phase::from_key(key).ok_or_else(|| KeyError::Phase(key.to_owned()))
}

fn parse_quantity(key: &str) -> Result<Quantity, KeyError> {
    Quantity::from_key(key).ok_or_else(|| KeyError::Quantity(key.to_owned()))
}

fn parse_size(text: &str) -> Result<f64, KeyError> {
    let size: f64 = text.parse().map_err(|_| KeyError::Size(text.to_owned()))?;
    if size.is_finite() && size >= 0.0 {
        Ok(size)
    } else {
        Err(KeyError::Size(text.to_owned()))
    }
}
