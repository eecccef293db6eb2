//! Answer put together from events that may come late, crossed, twice or not at all.

use thiserror::Error;

use crate::{engine_api::EngineEvent, ids::RequestId};

/// Why an event can't belong to the answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineEventError {
    /// The event belongs to another request.
    #[error("event of request {0}")]
    WrongRequest(RequestId),
    /// Tokens are missing before the event.
    #[error("token {got} came, token {expected} was due")]
    Gap {
        /// Number of the token that was due.
        expected: u64,
        /// Number of the token that came.
        got: u64,
    },
    /// The end mark counts other tokens than came.
    #[error("end mark counts {claimed} tokens, {received} came")]
    ShortEnd {
        /// Tokens by the end mark.
        claimed: u64,
        /// Tokens that came.
        received: u64,
    },
}

/// What an event meant for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseUpdate {
    /// Nothing new: a repeated token, or a notice.
    Nothing,
    /// The request was taken in.
    Accepted {
        /// Prompt tokens found in cache.
        cached: u64,
        /// Tokens computed a second time.
        recomputed: u64,
    },
    /// A new token was added.
    Added,
    /// The answer is whole.
    Whole,
    /// The engine let go of the request.
    Evicted,
}

/// Answer to one request, as far as it has come.
#[derive(Clone, Debug)]
pub struct ResponseAssembler {
    request: RequestId,
    /// Texts of the tokens, joined.
    text: String,
    /// Number of tokens in `text`.
    tokens: u64,
    /// Set once, by the end mark of a whole answer.
    finish: Option<String>,
}

impl ResponseAssembler {
    /// Starts the answer to `request` with what an earlier run generated.
    #[must_use]
    pub fn new(request: RequestId, text: String, tokens: u64) -> Self {
        Self { request, text, tokens, finish: None }
    }

    /// Text so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Number of tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Why the answer ended, once it is whole.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.finish.as_deref()
    }

    /// Adds an event.
    ///
    /// # Errors
    ///
    /// Returns why the event can't belong to the answer, which is then left as it was.
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
            EngineEvent::Waiting { .. } => Ok(ResponseUpdate::Nothing),
            EngineEvent::Token { offset, text, .. } => self.push_token(*offset, text),
            EngineEvent::End { tokens, reason, .. } => self.push_end(*tokens, reason),
            EngineEvent::Evicted { .. } => Ok(ResponseUpdate::Evicted),
        }
    }

    fn push_token(&mut self, offset: u64, text: &str) -> Result<ResponseUpdate, EngineEventError> {
        if offset < self.tokens || self.finish.is_some() {
            return Ok(ResponseUpdate::Nothing);
        }
        if offset > self.tokens {
            return Err(EngineEventError::Gap { expected: self.tokens, got: offset });
        }
        self.text.push_str(text);
        self.tokens += 1;
        Ok(ResponseUpdate::Added)
    }

    fn push_end(&mut self, claimed: u64, reason: &str) -> Result<ResponseUpdate, EngineEventError> {
        if claimed != self.tokens {
            return Err(EngineEventError::ShortEnd { claimed, received: self.tokens });
        }
        self.finish = Some(reason.to_owned());
        Ok(ResponseUpdate::Whole)
    }
}
