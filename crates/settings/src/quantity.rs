//! Quantities in settings that may have a fractional part.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A quantity such as `0.25` or `10`, exact to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Quantity {
    thousandths: u32,
}

/// The error for a number that is not a usable quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuantityError(f64);

impl fmt::Display for QuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a quantity: write a number from 0.001 to 1000000", self.0)
    }
}

impl std::error::Error for QuantityError {}

impl Quantity {
    /// Returns the quantity in thousandths of its unit; at least one.
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }
}

impl TryFrom<f64> for Quantity {
    type Error = QuantityError;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked before the cast"
    )]
    fn try_from(value: f64) -> Result<Self, QuantityError> {
        if !(0.001..=1_000_000.0).contains(&value) {
            return Err(QuantityError(value));
        }
        Ok(Self { thousandths: (value * 1_000.0).round() as u32 })
    }
}

impl From<Quantity> for f64 {
    fn from(quantity: Quantity) -> Self {
        Self::from(quantity.thousandths) / 1_000.0
    }
}
