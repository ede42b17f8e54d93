//! Durations in settings, always written with their unit.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration such as `250ms`, `3s`, `15m` or `24h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

/// The error for a text that is not a duration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanError(String);

impl fmt::Display for SpanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a duration: write a whole number and a unit, ms, s, m or h", self.0)
    }
}

impl std::error::Error for SpanError {}

impl Span {
    /// Returns a span of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns a span of `s` seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(Duration::from_secs(s))
    }
}

impl TryFrom<String> for Span {
    type Error = SpanError;

    fn try_from(s: String) -> Result<Self, SpanError> {
        let digits = s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
        let (count, unit) = s.split_at(digits);
        let unit_ms = match unit.trim() {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(SpanError(s)),
        };
        let count: u64 = count.parse().map_err(|_| SpanError(s.clone()))?;
        let ms = count.checked_mul(unit_ms).ok_or(SpanError(s))?;
        Ok(Self::from_millis(ms))
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.as_millis();
        if ms.is_multiple_of(1_000) { write!(f, "{}s", ms / 1_000) } else { write!(f, "{ms}ms") }
    }
}
