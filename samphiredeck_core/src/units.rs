//! Durations, sizes, prices and token counts, parsed from text with a unit.

mod span;

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::span::{Span, SpanError};

/// Reason why a text is not a quantity.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text:?} is not a {quantity}; write a whole number and a unit out of: {units}")]
pub struct UnitError {
    text: String,
    quantity: &'static str,
    units: &'static str,
}

/// Parses a whole number followed by a unit and multiplies it by the factor of the unit.
fn parse_with_unit(
    text: &str,
    quantity: &'static str,
    units: &'static str,
    factors: &[(&str, u64)],
) -> Result<u64, UnitError> {
    let error = || UnitError { text: text.chars().take(40).collect(), quantity, units };
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_parse| error())?;
    let unit = unit.trim();
    let factor = factors.iter().find(|(name, _)| *name == unit).ok_or_else(error)?.1;
    number.checked_mul(factor).ok_or_else(error)
}

macro_rules! quantity_type {
    ($(#[$doc:meta])* $name:ident, $quantity:literal, $units:literal, $base:literal,
        [$(($unit:literal, $factor:literal)),+]) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $base)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_with_unit(text, $quantity, $units, &[$(($unit, $factor)),+]).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    };
}

quantity_type!(
    /// Duration in milliseconds.
    Millis, "length of time", "ms, s, min", "ms", [("ms", 1), ("s", 1_000), ("min", 60_000)]
);
quantity_type!(
    /// Size in bytes.
    ByteSize, "size", "B, KiB, MiB", "B", [("B", 1), ("KiB", 1_024), ("MiB", 1_048_576)]
);
quantity_type!(
    /// Price of a machine per hour, in millionths of the platform's currency.
    HourlyPrice, "price an hour", "u, m", "u", [("u", 1), ("m", 1_000)]
);

impl Millis {
    /// Converts to a standard duration.
    #[must_use]
    pub fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// Count of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenCount(pub u64);

impl Display for TokenCount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_with_unit(text, "token count", "(none), tokens", &[("", 1), ("tokens", 1)]).map(Self)
    }
}

/// Reason why a number is not a request rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text:?} is not a rate: a decimal number of requests a second, at least 0")]
pub struct RateError {
    text: String,
}

/// Requests per second. Finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Requests per second as a number.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, Self::Error> {
        if rate.is_finite() && rate >= 0.0 {
            // Turns the negative zero into the positive one.
            Ok(Self(rate.abs()))
        } else {
            Err(RateError { text: rate.to_string() })
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || RateError { text: text.chars().take(40).collect() };
        let rate: f64 = text.parse().map_err(|_parse| error())?;
        Self::try_from(rate).map_err(|_rate| error())
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
