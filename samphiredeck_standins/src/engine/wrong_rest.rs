//! Responses of an engine that do not go on with a stream.

use actix_web::{HttpResponse, http::StatusCode};
use bytes::Bytes;
use futures_util::stream::iter;
use samphiredeck_core::{
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    ids::RequestId,
};
use serde::{Deserialize, Serialize};

/// Response in place of the rest of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrongRest {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Run verdict, if the response states one.
    pub verdict: Option<String>,
    /// Body.
    pub body: String,
    /// Whether the body is sent in chunks instead of with a length.
    pub chunked: bool,
}

impl WrongRest {
    /// Builds the response to `request`.
    pub(super) fn respond(self, request: &RequestId) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        response.insert_header((REQUEST_ID_HEADER, request.to_string()));
        response.insert_header(("content-type", self.content_type));
        if let Some(verdict) = self.verdict {
            response.insert_header((RUN_VERDICT_HEADER, verdict));
        }
        if !self.chunked {
            return response.body(self.body);
        }
        response.streaming(iter([Ok::<_, actix_web::Error>(Bytes::from(self.body))]))
    }
}
