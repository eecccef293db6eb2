//! Classification of HTTP client errors by whether the request may have been sent.

use awc::error::{ConnectError, SendRequestError};

/// Whether the connection was never established, so that no byte of the request was sent.
///
/// [`ConnectError::Disconnected`] does not count: the client also returns it for a connection that
/// closed *after* the request was written.
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
