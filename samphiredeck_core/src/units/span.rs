//! Lengths of time that may be fractions of their unit.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
};

use thiserror::Error;

/// Units with their length in nanoseconds.
const UNITS: [(&str, u128); 3] = [("ms", 1_000_000), ("s", 1_000_000_000), ("min", 60_000_000_000)];
/// Digits of a number that count. Further ones are cut off.
const DIGITS_MAX: usize = 24;
/// Exponents beyond this one make a number zero or the longest.
const EXPONENT_MAX: i64 = 60;

/// Reason why a text is not a length of time.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "{text:?} is not a length of time; write a number that is not negative and a unit out of: ms, s, min"
)]
pub struct SpanError {
    text: String,
}

/// Length of time, at most [`Span::MAX`]. What is written with more digits than nanoseconds have is rounded down, as bounds
/// must not become longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(Duration);

impl Span {
    /// Longest span: a year. Longer ones are cut to it.
    pub const MAX: Self = Self(Duration::from_secs(31_536_000));

    /// Converts to a standard duration.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        self.0
    }
}

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_nanos(text)
            .map(Self)
            .ok_or_else(|| SpanError { text: text.chars().take(40).collect() })
    }
}

/// Parses a decimal number with an optional fraction and exponent, followed by a unit.
fn parse_nanos(text: &str) -> Option<Duration> {
    let is_number = |c: char| c.is_ascii_digit() || matches!(c, '.' | 'e' | 'E' | '+' | '-');
    let unit_at = text.find(|c| !is_number(c)).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let unit_nanos = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    let (mantissa, exponent) = match number.split_once(['e', 'E']) {
        Some((mantissa, exponent)) => (mantissa, parse_exponent(exponent)?),
        None => (number, 0),
    };
    let (whole, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
    let is_fraction_missing = mantissa.contains('.') && fraction.is_empty();
    let all_digits = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || is_fraction_missing || !all_digits(whole) || !all_digits(fraction) {
        return None;
    }
    let digits = format!("{whole}{fraction}");
    let digits = digits.trim_start_matches('0');
    let kept = digits.get(..DIGITS_MAX).unwrap_or(digits);
    let cut = i64::try_from(digits.len() - kept.len()).unwrap_or(i64::MAX);
    let scale = exponent.saturating_add(cut) - i64::try_from(fraction.len()).unwrap_or(i64::MAX);
    let nanos =
        if kept.is_empty() { 0 } else { kept.parse::<u128>().ok()?.checked_mul(unit_nanos)? };
    let longest = Span::MAX.0.as_nanos();
    let power = 10_u128.checked_pow(u32::try_from(scale.unsigned_abs()).unwrap_or(u32::MAX));
    let nanos = match (nanos, power) {
        (0, _) => 0,
        (nanos, Some(power)) if scale < 0 => nanos / power,
        (_, None) if scale < 0 => 0,
        (nanos, power) => power.and_then(|power| nanos.checked_mul(power)).unwrap_or(longest),
    };
    u64::try_from(nanos.min(longest)).ok().map(Duration::from_nanos)
}

/// Parses an exponent. Far too large ones are cut, in both directions.
fn parse_exponent(text: &str) -> Option<i64> {
    let digits = text.strip_prefix(['+', '-']).unwrap_or(text);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let size = digits.parse().unwrap_or(i64::MAX).min(EXPONENT_MAX);
    Some(if text.starts_with('-') { -size } else { size })
}
