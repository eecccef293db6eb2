//! Finds the head of a response in the bytes of a connection that is passed on.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Maximum size of a head in bytes.
const HEAD_BYTES_MAX: usize = 65_536;
/// Maximum number of header lines.
const HEADERS_MAX: usize = 128;

/// Bytes of a connection up to the end of the head of its response.
#[derive(Debug, Default)]
pub struct ResponseScan {
    bytes: Vec<u8>,
    /// Bytes of informational responses.
    passed: usize,
    is_done: bool,
}

impl ResponseScan {
    /// Adds received bytes. Returns the head of the response when it is complete. One that can't be parsed
    /// is left to the node that receives the response.
    pub fn push(&mut self, received: &[u8]) -> Option<(StatusCode, HeaderMap)> {
        if self.is_done {
            return None;
        }
        self.bytes.extend_from_slice(received);
        loop {
            let mut lines = [httparse::EMPTY_HEADER; HEADERS_MAX];
            let mut response = httparse::Response::new(&mut lines);
            let length = match response.parse(&self.bytes) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) if self.bytes.len() < HEAD_BYTES_MAX => return None,
                Ok(httparse::Status::Partial) | Err(_) => {
                    self.finish();
                    return None;
                }
            };
            let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
            if status.is_some_and(|status| status.is_informational()) {
                self.bytes.drain(..length);
                self.passed += length;
                if self.passed > HEAD_BYTES_MAX {
                    self.finish();
                    return None;
                }
                continue;
            }
            let mut headers = HeaderMap::new();
            for line in response.headers.iter() {
                let name = HeaderName::from_bytes(line.name.as_bytes());
                let value = HeaderValue::from_bytes(line.value);
                if let (Ok(name), Ok(value)) = (name, value) {
                    headers.append(name, value);
                }
            }
            self.finish();
            return status.map(|status| (status, headers));
        }
    }

    fn finish(&mut self) {
        self.is_done = true;
        self.bytes = Vec::new();
    }
}
