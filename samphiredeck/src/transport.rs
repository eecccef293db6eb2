//! What the HTTP client's errors tell about whether a request was handed over.

use awc::error::{ConnectError, SendRequestError};

/// Whether no byte of the request can have left this node.
///
/// The client reports a connection that closed *after* the request was written as
/// [`ConnectError::Disconnected`] too, so only failures to make a connection count.
pub fn is_connect_failure(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Timeout
                | ConnectError::Unresolved
                | ConnectError::Io(_)
        )
    )
}
