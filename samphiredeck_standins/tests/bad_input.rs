//! Invalid requests must be refused with a reason and the verdict `not-run`, and must not affect
//! other requests.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    time::Duration,
};

use eyre::ensure;
use samphiredeck_standins::{
    client::ChatRequest,
    fixture::{Fixture, FixtureSpec},
};

/// Maximum body size that the nodes of these tests accept, in bytes.
const BODY_LIMIT: usize = 1_048_576;

/// Sends raw text and returns the complete response.
fn send_raw(to: SocketAddr, text: &str) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    // The server may refuse the request and close the connection before all of it is written.
    drop(stream.write_all(text.as_bytes()));
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn chat(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[actix_web::test]
async fn bad_requests_are_refused_with_a_reason() -> eyre::Result<()> {
    let fixture =
        Fixture::start(&FixtureSpec { nodes: 1, engines: 1, ..FixtureSpec::default() }).await?;
    let key = "authorization: Bearer wharf-key\r\n";
    let good = r#"{"model":"tala-8b","messages":[{"role":"user","content":"x"}],"max_tokens":2}"#;
    let with = |headers: &str| chat(&format!("{key}{headers}"), good);
    let body = |body: &str| chat(key, body);
    let large = "x".repeat(BODY_LIMIT + 1);
    let cases = [
        ("no key", chat("", good), "401", "missing-key"),
        ("unknown key", chat("authorization: Bearer nobody\r\n", good), "401", "unknown-key"),
        ("not json", body("{"), "400", "body: "),
        ("wrong type", body(r#"{"model":5}"#), "400", "body: "),
        ("truncated", body(&good[..40]), "400", "body: "),
        ("too large", body(&large), "413", "body-too-large"),
        ("no messages", body(r#"{"model":"tala-8b","messages":[]}"#), "400", "messages: "),
        (
            "bad model name",
            body(r#"{"model":"A B","messages":[{"role":"u","content":"x"}]}"#),
            "400",
            "model: ",
        ),
        (
            "unknown model",
            body(r#"{"model":"nope","messages":[{"role":"u","content":"x"}]}"#),
            "404",
            "unknown-model",
        ),
        (
            "no tokens",
            body(r#"{"model":"tala-8b","messages":[{"role":"u","content":"x"}],"max_tokens":0}"#),
            "400",
            "max_tokens: ",
        ),
        ("bad class", with("x-priority: now\r\n"), "400", "x-priority: "),
        ("zero deadline", with("x-deadline-ms: 0\r\n"), "400", "x-deadline-ms: "),
        ("absurd deadline", with("x-deadline-ms: 99999999999\r\n"), "400", "x-deadline-ms: "),
        ("negative deadline", with("x-deadline-ms: -5\r\n"), "400", "x-deadline-ms: "),
        ("empty key", with("idempotency-key:\r\n"), "400", "idempotency-key: "),
        (
            "long key",
            with(&format!("idempotency-key: {}\r\n", "k".repeat(300))),
            "400",
            "idempotency-key: ",
        ),
        ("control bytes", with("x-priority: urgent\u{1}\r\n"), "400", ""),
        (
            "unknown path",
            format!("GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{key}\r\n"),
            "404",
            "unknown-path",
        ),
        (
            "bad request id",
            format!("GET /v1/requests/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{key}\r\n"),
            "400",
            "request: ",
        ),
        (
            "operators only",
            format!("GET /admin/view HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{key}\r\n"),
            "401",
            "unknown-key",
        ),
    ];
    for (name, text, status, reason) in cases {
        let answer = send_raw(fixture.node(0), &text)?;
        let head = answer.lines().next().unwrap_or_default();
        ensure!(head.contains(status), "{name}: {answer}");
        ensure!(answer.contains(reason), "{name}: {answer}");
        // Requests refused by the HTTP library itself carry no verdict.
        if !reason.is_empty() {
            ensure!(answer.contains("x-run-verdict: not-run"), "{name}: {answer}");
        }
    }
    let stats = fixture.engine_stats(0).await?;
    ensure!(stats.seen.is_empty(), "engine received refused requests: {:?}", stats.seen);
    let request = ChatRequest::new("all is well after that", 5);
    let result = fixture.system.client.chat(fixture.node(0), &request).await;
    ensure!(result.is_correct(&request), "{result:?}");
    Ok(())
}

#[actix_web::test]
async fn malformed_peer_messages_are_counted_and_ignored() -> eyre::Result<()> {
    let fixture =
        Fixture::start(&FixtureSpec { nodes: 2, engines: 1, ..FixtureSpec::default() }).await?;
    let peer = fixture.system.nodes[0].process.addresses[1];
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    for length in [0_usize, 1, 15, 16, 17, 200, 1_400, 4_000] {
        let malformed: Vec<u8> =
            (0..length).map(|at| u8::try_from(at % 251).unwrap_or(0)).collect();
        socket.send_to(&malformed, peer)?;
    }
    let memory = fixture.system.nodes[0].process.resident_bytes();
    for announced in [0_u32, 5, 1_000, u32::MAX] {
        let mut stream = TcpStream::connect(peer)?;
        stream.write_all(&announced.to_be_bytes())?;
        drop(stream.write_all(&[7; 64]));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let view = fixture.system.client.view(fixture.node(0)).await?;
    ensure!(view["counters"]["bad_messages"].as_u64() >= Some(6), "{}", view["counters"]);
    ensure!(view["admitting"] == true, "{view}");
    let growth = fixture.system.nodes[0].process.resident_bytes().saturating_sub(memory);
    ensure!(growth < 8 * 1_048_576, "memory grew by {growth} bytes");
    Ok(())
}
