//! Stand-in for clients.

use std::{
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::Wire;

/// Parts in which a client sends a body.
const UPLOAD_PARTS: usize = 20;

/// Request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    /// Prompt tokens and output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Bytes of the body, and the time that the client takes to send them.
    pub upload: (usize, Duration),
    /// Bytes of a header line of the client's own.
    pub padding: usize,
}

/// What a client saw of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub request: ClientRequest,
    pub sent_at: Instant,
    pub took: Duration,
    /// Status, or `None` without a whole answer.
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    pub reason: String,
}

/// Sends `request` on a new connection and waits for the whole answer, up to the deadline.
pub fn send(node: SocketAddr, request: &ClientRequest) -> Outcome {
    send_on(&mut None, false, node, request)
}

/// Sends `request` on a connection that is kept, or on a new one if there is none, and waits for the whole answer.
pub fn send_kept(kept: &mut Option<Wire>, node: SocketAddr, request: &ClientRequest) -> Outcome {
    send_on(kept, true, node, request)
}

fn send_on(
    kept: &mut Option<Wire>,
    keep: bool,
    node: SocketAddr,
    request: &ClientRequest,
) -> Outcome {
    let sent_at = Instant::now();
    let mut outcome = Outcome {
        request: request.clone(),
        sent_at,
        took: Duration::ZERO,
        status: None,
        retry_after: None,
        reason: String::new(),
    };
    match exchange(kept.take(), keep, node, request, &mut outcome) {
        Ok(wire) => *kept = wire,
        Err(error) => {
            outcome.status = None;
            outcome.reason = error.to_string();
        }
    }
    outcome.took = sent_at.elapsed();
    outcome
}

/// Returns the connection if it can be used again.
fn exchange(
    kept: Option<Wire>,
    keep: bool,
    node: SocketAddr,
    request: &ClientRequest,
    outcome: &mut Outcome,
) -> std::io::Result<Option<Wire>> {
    let mut wire = match kept {
        Some(wire) => wire,
        None => Wire::new(TcpStream::connect_timeout(&node, Duration::from_secs(1))?),
    };
    wire.stream.set_read_timeout(Some(request.deadline + Duration::from_millis(700)))?;
    let tokens = request.tokens.map_or(String::new(), |(prompt, output)| {
        format!("X-Model: m\r\nX-Token-Usage: {prompt},{output}\r\n")
    });
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Api-Key: {}\r\nX-Deadline-Ms: {}\r\n{tokens}\
         Content-Length: {}\r\n{}{}\r\n",
        request.method,
        request.path,
        request.id,
        request.key,
        request.deadline.as_millis(),
        request.upload.0,
        if keep { "" } else { "Connection: close\r\n" },
        if request.padding > 0 {
            format!("X-Context: {}\r\n", "c".repeat(request.padding))
        } else {
            String::new()
        }
    );
    wire.write(head.as_bytes())?;
    let (bytes, time) = request.upload;
    for part in 0..UPLOAD_PARTS.min(bytes) {
        std::thread::sleep(time / u32::try_from(UPLOAD_PARTS).expect("a small number"));
        let (from, to) = (bytes * part / UPLOAD_PARTS, bytes * (part + 1) / UPLOAD_PARTS);
        wire.write(&vec![b'x'; to - from])?;
    }
    let Some(head) = wire.read_head()? else {
        return Err(std::io::Error::new(
            std::io::ErrorKind::UnexpectedEof,
            "closed without an answer",
        ));
    };
    let status = head.word(1).parse().ok();
    outcome.retry_after =
        head.get("retry-after").and_then(|text| text.parse().ok()).map(Duration::from_secs_f64);
    let body = wire.read_body(&head, true)?;
    if status.is_some_and(|status: u16| status >= 400) {
        outcome.reason = String::from_utf8_lossy(&body).into_owned();
    }
    outcome.status = status;
    let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok((keep && !closes).then_some(wire))
}
