//! Assembles a response from engine events that may be late, reordered, duplicated or lost.

use thiserror::Error;

use crate::{engine_api::EngineEvent, ids::RequestId};

/// Reason why an event does not fit the response.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineEventError {
    /// The event belongs to another request.
    #[error("event of request {0}")]
    WrongRequest(RequestId),
    /// One or more tokens before this one were not received.
    #[error("received token {got}, expected token {expected}")]
    MissingTokens {
        /// Number of the next expected token.
        expected: u64,
        /// Number of the received token.
        got: u64,
    },
    /// The token count of the end event differs from the number of tokens received.
    #[error("end event reports {reported} tokens, {received} were received")]
    TokenCountMismatch {
        /// Token count of the end event.
        reported: u64,
        /// Number of tokens received.
        received: u64,
    },
}

/// Effect of an event on the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseUpdate {
    /// No change: a duplicate token, or a keep-alive event.
    Unchanged,
    /// The engine accepted the request.
    Accepted {
        /// Prompt tokens found in the prefix cache.
        cached: u64,
        /// Tokens that the engine computed again.
        recomputed: u64,
    },
    /// A token was appended.
    TokenAdded,
    /// The response is complete.
    Complete,
    /// The engine evicted the request.
    Evicted,
}

/// Response to one request, as far as it has been received.
#[derive(Clone, Debug)]
pub struct ResponseAssembler {
    request: RequestId,
    /// Concatenated text of the tokens.
    text: String,
    /// Number of tokens in `text`.
    tokens: u64,
    /// Finish reason. Set by the end event of a complete response.
    finish_reason: Option<String>,
}

impl ResponseAssembler {
    /// Starts the response to `request` with the text and tokens that an earlier run generated.
    #[must_use]
    pub fn new(request: RequestId, text: String, tokens: u64) -> Self {
        Self { request, text, tokens, finish_reason: None }
    }

    /// Text received so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Number of tokens received so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Finish reason, once the response is complete.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Applies an event.
    ///
    /// # Errors
    ///
    /// Returns why the event does not fit. The response is then unchanged.
    pub fn push(&mut self, event: &EngineEvent) -> Result<ResponseUpdate, EngineEventError> {
        let (EngineEvent::Accepted { request, .. }
        | EngineEvent::Waiting { request }
        | EngineEvent::Token { request, .. }
        | EngineEvent::End { request, .. }
        | EngineEvent::Evicted { request }) = event;
        if *request != self.request {
            return Err(EngineEventError::WrongRequest(request.clone()));
        }
        match event {
            EngineEvent::Accepted { cached, recomputed, .. } => {
                Ok(ResponseUpdate::Accepted { cached: *cached, recomputed: *recomputed })
            }
            EngineEvent::Waiting { .. } => Ok(ResponseUpdate::Unchanged),
            EngineEvent::Token { offset, text, .. } => self.push_token(*offset, text),
            EngineEvent::End { tokens, reason, .. } => self.push_end(*tokens, reason),
            EngineEvent::Evicted { .. } => Ok(ResponseUpdate::Evicted),
        }
    }

    fn push_token(&mut self, offset: u64, text: &str) -> Result<ResponseUpdate, EngineEventError> {
        if offset < self.tokens || self.finish_reason.is_some() {
            return Ok(ResponseUpdate::Unchanged);
        }
        if offset > self.tokens {
            return Err(EngineEventError::MissingTokens { expected: self.tokens, got: offset });
        }
        self.text.push_str(text);
        self.tokens += 1;
        Ok(ResponseUpdate::TokenAdded)
    }

    fn push_end(
        &mut self,
        reported: u64,
        reason: &str,
    ) -> Result<ResponseUpdate, EngineEventError> {
        if reported != self.tokens {
            return Err(EngineEventError::TokenCountMismatch { reported, received: self.tokens });
        }
        self.finish_reason = Some(reason.to_owned());
        Ok(ResponseUpdate::Complete)
    }
}
