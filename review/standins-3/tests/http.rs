//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }
}

/// Connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    /// Reads the next head. `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() { Ok(None) } else { Err(broken("head cut off")) };
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { line, headers }))
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(broken("body cut off"));
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(at) = self.rest.windows(2).position(|part| part == b"\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(broken("line cut off"));
            }
        };
        let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 2);
        Ok(line)
    }

    /// Reads the next part of a body in chunks. `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
        let part = self.read_exact(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(part))
    }

    /// Reads the body that belongs to `head`. An answer without a length ends with the connection.
    pub fn read_body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            while let Some(part) = self.read_chunk()? {
                body.extend_from_slice(&part);
            }
            return Ok(body);
        }
        match head.get("content-length").and_then(|value| value.parse().ok()) {
            Some(length) => self.read_exact(length),
            None if is_answer => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.rest))
            }
            None => Ok(Vec::new()),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes =
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        bytes.reserve(body.len());
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        drop(self.stream.set_nonblocking(true));
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        drop(self.stream.set_nonblocking(false));
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
