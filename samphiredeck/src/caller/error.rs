//! Error responses to callers.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use actix_web::{HttpRequest, HttpResponse, ResponseError, http::StatusCode};
use samphiredeck_core::{
    admission::{Refusal, RefusalReason},
    engine_api::RUN_VERDICT_HEADER,
    ids::{ModelName, RequestId},
    verdict::RunVerdict,
};
use serde_json::json;

use crate::run::RunFailure;

/// Error response to a request, with the verdict on whether it may have run.
#[derive(Clone, Debug)]
pub struct CallerError {
    status: StatusCode,
    /// Reason code.
    reason: String,
    /// Human-readable message.
    message: String,
    verdict: RunVerdict,
    /// Suggested delay before a retry in seconds, if a retry can succeed.
    retry_after_s: Option<u64>,
    /// Id of the affected request.
    request: Option<RequestId>,
}

impl CallerError {
    fn new(status: StatusCode, reason: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            message: message.into(),
            verdict: RunVerdict::NotRun,
            retry_after_s: None,
            request: None,
        }
    }

    /// A field of the request is invalid.
    pub fn bad_field(field: &str, reason: impl Display) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-field", format!("{field}: {reason}"))
    }

    /// The body is larger than `limit`.
    pub fn too_large(limit: impl Display) -> Self {
        let message = format!("body: larger than {limit}");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
    }

    /// The request carries no bearer key.
    pub fn missing_key() -> Self {
        let message = "authorization: a bearer key is needed";
        Self::new(StatusCode::UNAUTHORIZED, "missing-key", message)
    }

    /// The bearer key belongs to no workspace.
    pub fn unknown_key() -> Self {
        let message = "authorization: the key belongs to no workspace";
        Self::new(StatusCode::UNAUTHORIZED, "unknown-key", message)
    }

    /// The model is not declared, or the workspace may not call it.
    pub fn unknown_model(model: &ModelName) -> Self {
        let message = format!("model: {model} is not declared for this workspace");
        Self::new(StatusCode::NOT_FOUND, "unknown-model", message)
    }

    /// No service available to the workspace is declared for the path.
    pub fn unknown_path(path: &str) -> Self {
        let message = format!("path: nothing is declared for {path:?}");
        Self::new(StatusCode::NOT_FOUND, "unknown-path", message)
    }

    /// No run or record of the request was found.
    pub fn unknown_request(request: &RequestId) -> Self {
        let message = format!("request: nothing is known of {request}");
        let mut error = Self::new(StatusCode::NOT_FOUND, "unknown-request", message);
        error.verdict = RunVerdict::MayHaveRun;
        error
    }

    /// The idempotency key was used by a request with a different body.
    pub fn key_reused() -> Self {
        let message = "idempotency-key: belongs to a request with another body";
        Self::new(StatusCode::CONFLICT, "other-request", message)
    }

    /// The table service is unavailable.
    pub fn table_down() -> Self {
        Refusal::new(RefusalReason::TableDown, Duration::from_secs(2)).into()
    }

    /// The node has no configuration that is confirmed to be current.
    pub fn config_unconfirmed() -> Self {
        Refusal::new(RefusalReason::ConfigUnconfirmed, Duration::from_secs(1)).into()
    }

    /// The call may have run, and its outcome can't be determined.
    pub fn may_have_run(reason: &str, message: impl Into<String>) -> Self {
        let mut error = Self::new(StatusCode::BAD_GATEWAY, reason, message);
        error.verdict = RunVerdict::MayHaveRun;
        error
    }

    /// The request is still running.
    pub fn still_running(request: &RequestId) -> Self {
        let message = "idempotency-key: the request runs, ask again for its answer";
        let mut error = Self::new(StatusCode::CONFLICT, "still-running", message);
        error.verdict = RunVerdict::MayHaveRun;
        error.retry_after_s = Some(1);
        error.request = Some(request.clone());
        error
    }

    /// Sets the id of the affected request.
    pub fn with_request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Whether the request was checked against a declaration that is no longer in force.
    pub fn is_config_stale(&self) -> bool {
        self.reason == RefusalReason::ConfigStale.as_str()
    }

    fn body(&self) -> serde_json::Value {
        json!({
            "error": { "reason": self.reason, "message": self.message },
            "verdict": self.verdict,
            "retry_after_s": self.retry_after_s,
            "request": self.request,
        })
    }
}

impl From<Refusal> for CallerError {
    fn from(refusal: Refusal) -> Self {
        let failure = RunFailure {
            reason: refusal.reason.as_str().to_owned(),
            verdict: RunVerdict::NotRun,
            retry_after_s: Some(round_up_seconds(refusal.retry_after)),
        };
        failure.into()
    }
}

impl From<RunFailure> for CallerError {
    fn from(failure: RunFailure) -> Self {
        let limited = [RefusalReason::WorkspaceFull, RefusalReason::QueueFull]
            .map(RefusalReason::as_str)
            .contains(&failure.reason.as_str());
        let status = match failure.verdict {
            RunVerdict::NotRun if limited => StatusCode::TOO_MANY_REQUESTS,
            RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            RunVerdict::MayHaveRun | RunVerdict::Ran => StatusCode::BAD_GATEWAY,
        };
        let message = format!("request: given up, {}", failure.reason);
        let mut error = Self::new(status, &failure.reason, message);
        error.verdict = failure.verdict;
        error.retry_after_s = failure.retry_after_s;
        error
    }
}

impl Display for CallerError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl ResponseError for CallerError {
    fn status_code(&self) -> StatusCode {
        self.status
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        response.insert_header((RUN_VERDICT_HEADER, self.verdict.to_string()));
        if let Some(seconds) = self.retry_after_s {
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body())
    }
}

/// Rounds a duration up to whole seconds, at least one.
pub fn round_up_seconds(duration: Duration) -> u64 {
    let fraction = u64::from(duration.subsec_nanos() > 0);
    (duration.as_secs() + fraction).max(1)
}

/// Returns the bearer key from the `authorization` header.
pub fn bearer_key(request: &HttpRequest) -> Option<&str> {
    let text = request.headers().get("authorization")?.to_str().ok()?;
    text.strip_prefix("Bearer ").filter(|key| !key.is_empty())
}
