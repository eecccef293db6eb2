//! Whether a request may have run at an upstream.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request may have run, as far as this node can know.
///
/// A caller may safely retry a request on its own only after [`RunVerdict::NotRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// No byte of the request was sent to any upstream, or the upstream refused to run it.
    NotRun,
    /// An upstream may have received the request, and its outcome is unknown.
    MayHaveRun,
    /// An upstream returned a complete response.
    Ran,
}

impl RunVerdict {
    /// Whether the request may be sent again. `repeatable` tells whether it may safely run twice.
    #[must_use]
    pub fn permits_resend(self, repeatable: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => repeatable,
            Self::Ran => false,
        }
    }

    /// Combines the verdicts of two sends of one request. The more severe one applies: if either
    /// send may have run, the request may have run.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}

impl Display for RunVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

/// Reason why a text is not a verdict.
#[derive(Clone, Debug, Error)]
#[error("{0:?} is not one of not-run, may-have-run, ran")]
pub struct VerdictError(String);

impl FromStr for RunVerdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            other => Err(VerdictError(other.to_owned())),
        }
    }
}
