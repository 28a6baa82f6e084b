//! Keys of figures within the page's text; the crate's documentation lists their forms.

use thiserror::Error;

use crate::quantity::Quantity;
use crate::result::Phase;
use crate::size::Budget;

/// The key of a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum FigureKey {
    /// A figure of a sweep.
    Sweep {
        /// The name of the sweep.
        sweep: String,
        /// The phase.
        phase: Phase,
        /// The quantity.
        quantity: Quantity,
        /// The aspect of the quantity.
        aspect: SweepAspect,
    },
    /// A figure at the design size.
    Budget {
        /// The phase.
        phase: Phase,
        /// The budget.
        budget: Budget,
        /// Whether the figure is the headroom instead of the measured value.
        headroom: bool,
    },
}

/// The aspect of a quantity in a sweep that a figure shows.
#[derive(Clone, Debug, PartialEq)]
pub enum SweepAspect {
    /// The measured value at a size.
    Measured(f64),
    /// The predicted value at a held-out size.
    Predicted(f64),
    /// The relative prediction error at a held-out size.
    Error(f64),
    /// The coefficient of the law with a name.
    Coefficient(String),
}

/// Why a key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key has none of the valid forms.
    #[error(
        "invalid form; expected SWEEP/SIZE/PHASE/QUANTITY[/foretold|/error], SWEEP/law/PHASE/QUANTITY/COEFFICIENT or budget/PHASE/QUANTITY[/headroom]"
    )]
    Form,
    /// The phase is unknown.
    #[error("unknown phase `{0}`")]
    Phase(String),
    /// The quantity is unknown.
    #[error("unknown quantity `{0}`")]
    Quantity(String),
    /// The quantity has no budget.
    #[error("no budget for quantity `{0}`")]
    Budget(String),
    /// The size is not a finite number of at least 0.
    #[error("invalid size `{0}`; expected a number of at least 0")]
    Size(String),
}

impl FigureKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// The key has an invalid form, or a part of it is unknown or invalid.
    pub fn parse(key: &str) -> Result<Self, KeyError> {
        let segments: Vec<&str> = key.split('/').collect();
        match segments.as_slice() {
            ["budget", phase, quantity] => parse_budget_key(phase, quantity, false),
            ["budget", phase, quantity, "headroom"] => parse_budget_key(phase, quantity, true),
            [sweep, "law", phase, quantity, coefficient] => parse_sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Coefficient((*coefficient).to_owned()),
            ),
            [sweep, size, phase, quantity] => parse_sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Measured(parse_size(size)?),
            ),
            [sweep, size, phase, quantity, "foretold"] => parse_sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Predicted(parse_size(size)?),
            ),
            [sweep, size, phase, quantity, "error"] => parse_sweep_key(
                sweep,
                phase,
                quantity,
                SweepAspect::Error(parse_size(size)?),
            ),
            _ => Err(KeyError::Form),
        }
    }
}

fn parse_budget_key(phase: &str, quantity: &str, headroom: bool) -> Result<FigureKey, KeyError> {
    let phase = parse_phase(phase)?;
    let budget = Budget::of_quantity(parse_quantity(quantity)?);
    let budget = budget.ok_or_else(|| KeyError::Budget(quantity.to_owned()))?;
    Ok(FigureKey::Budget {
        phase,
        budget,
        headroom,
    })
}

fn parse_sweep_key(
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
