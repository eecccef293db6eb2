//! Responses of upstreams that end after any byte: none may look whole that isn't, and those that end
//! with their connection are whole.

use std::{net::SocketAddr, time::Duration};

use eyre::ensure;
use samphiredeck_core::{engine_api::REQUEST_ID_HEADER, upstream::LoadReport};
use samphiredeck_standins::{
    client::ChatRequest,
    fixture::{DOMAINS, Fixture, FixtureSpec, START_TIMEOUT},
    proxy::ProxyCut,
};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Path of a service call that runs at most once.
const PATH: &str = "/ledger/post";
/// Number of bytes within which the responses of the stand-ins end.
const BYTES_MAX: usize = 1_000;

#[actix_web::test]
async fn service_response_that_is_cut_does_not_look_whole() -> eyre::Result<()> {
    let spec = FixtureSpec {
        engines: 0,
        services: 1,
        nodes: 1,
        proxied_upstreams: true,
        ..FixtureSpec::default()
    };
    let fixture = Fixture::start(&spec).await?;
    let (client, node, proxy) =
        (&fixture.system.client, fixture.node(0), &fixture.service_proxies[0]);
    for reset in [false, true] {
        let mut whole = None;
        for bytes in 0..BYTES_MAX {
            let reference = format!("cut-{reset}-{bytes:04}");
            let body = json!({ "ref": reference });
            proxy.set_cut(Some(ProxyCut { request: "POST ", bytes, reset }));
            let (status, verdict, body) = client.call_service(node, PATH, None, &body).await;
            proxy.set_cut(None);
            let case = format!("{bytes} bytes, reset: {reset}: {status} {verdict} {body}");
            ensure!(fixture.service_runs(&reference).await? == 1, "{case}");
            if status == 200 {
                ensure!(verdict == "ran" && body["ref"] == reference.as_str(), "{case}");
                whole = Some(bytes);
                break;
            }
            ensure!(verdict == "may-have-run" && status >= 500, "{case}");
            // Consecutive failures would keep the only service from getting work.
            let body = json!({ "ref": "between" });
            let between = client.call_service(node, PATH, None, &body).await;
            ensure!(between.0 == 200 && between.2["posted"] == true, "{case}: {between:?}");
        }
        println!("reset: {reset}, whole with {whole:?} bytes");
        ensure!(whole.is_some_and(|bytes| bytes > 100), "{whole:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn engine_response_that_is_cut_does_not_look_whole() -> eyre::Result<()> {
    let spec =
        FixtureSpec { engines: 2, nodes: 1, proxied_upstreams: true, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    // Heads end within the first half.
    for bytes in (0..400).step_by(5) {
        let reset = bytes / 5 % 4 < 2;
        fixture.engine_proxies[bytes % 2].set_cut(Some(ProxyCut {
            request: "POST ",
            bytes,
            reset,
        }));
        fixture.engine_proxies[(bytes + 1) % 2].set_cut(None);
        let request = ChatRequest::new(&format!("cut {bytes}"), 6);
        let result = fixture.system.client.chat(fixture.node(0), &request).await;
        ensure!(result.is_correct(&request), "{bytes} bytes, reset: {reset}: {result:?}");
    }
    let stats = [fixture.engine_stats(0).await?, fixture.engine_stats(1).await?];
    let resumed = stats.iter().map(|stats| stats.resumed).sum::<u64>();
    println!("{resumed} streams resumed");
    ensure!(resumed > 20, "{resumed} streams resumed, so few responses were cut");
    Ok(())
}

/// How a service responds to calls.
#[derive(Clone, Copy, Debug)]
enum CallMode {
    /// With this status line.
    Status(&'static str),
    /// With status 200 and a part of the body before it has read the call, and a reset.
    EarlyReset,
}

/// Serves a service that closes its connection at the end of each response, which has no length.
async fn serve_unframed(listener: TcpListener, mode: CallMode) {
    while let Ok((stream, _)) = listener.accept().await {
        actix_web::rt::spawn(respond_unframed(stream, mode));
    }
}

async fn respond_unframed(mut stream: TcpStream, mode: CallMode) {
    let mut request = String::new();
    // Calls end with their JSON body, and load requests have none.
    let is_early = |text: &str| matches!(mode, CallMode::EarlyReset) && text.contains("\r\n\r\n");
    while !request.ends_with('}') && !request.starts_with("GET ") && !is_early(&request) {
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => {
                request.push_str(&String::from_utf8_lossy(&buffer[..length]));
            }
            _ => return,
        }
    }
    let id = request.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case(REQUEST_ID_HEADER).then_some(value)
    });
    let body = if request.starts_with("GET ") {
        serde_json::to_string(&LoadReport { slots: 8, ..LoadReport::default() }).unwrap()
    } else {
        json!({ "posted": true }).to_string()
    };
    let status = match mode {
        CallMode::Status(status) if request.starts_with("POST ") => status,
        CallMode::Status(_) | CallMode::EarlyReset => "200 OK",
    };
    let head = format!(
        "HTTP/1.1 {status}\r\n{REQUEST_ID_HEADER}: {}\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n",
        id.unwrap_or_default()
    );
    drop(stream.write_all(head.as_bytes()).await);
    // The body comes on its own.
    tokio::time::sleep(Duration::from_millis(2)).await;
    drop(stream.write_all(body.as_bytes()).await);
    if matches!(mode, CallMode::EarlyReset) && request.starts_with("POST ") {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    }
}

/// Starts a node before a service that responds by `mode`.
async fn start_with_service(mode: CallMode) -> eyre::Result<Fixture> {
    let spec = FixtureSpec { engines: 0, nodes: 1, ..FixtureSpec::default() };
    let mut fixture = Fixture::start(&spec).await?;
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    actix_web::rt::spawn(serve_unframed(listener, mode));
    fixture.system.add_service("ledger-1", "ledger", DOMAINS[0], Some(address)).await?;
    fixture.system.wait_upstreams(1, START_TIMEOUT).await?;
    Ok(fixture)
}

#[actix_web::test]
async fn service_response_without_a_length_is_taken_whole() -> eyre::Result<()> {
    let fixture = start_with_service(CallMode::Status("200 OK")).await?;
    for number in 0..8 {
        let body = json!({ "ref": number });
        let (status, verdict, body) =
            fixture.system.client.call_service(fixture.node(0), PATH, None, &body).await;
        let case = format!("{number}: {status} {verdict} {body}");
        ensure!(status == 200 && verdict == "ran" && body["posted"] == true, "{case}");
    }
    Ok(())
}

// Guards against a response with a status that HTTP doesn't have, or a part of one, as an answer for the caller.
#[actix_web::test]
async fn service_response_with_an_odd_status_or_an_early_reset_is_no_answer() -> eyre::Result<()> {
    let odd = ["000 Odd", "101 Odd", "600 Odd", "999 Odd"].map(CallMode::Status);
    for mode in odd.into_iter().chain([CallMode::EarlyReset]) {
        let fixture = start_with_service(mode).await?;
        let body = json!({ "ref": "x".repeat(200_000) });
        let (status, verdict, body) =
            fixture.system.client.call_service(fixture.node(0), PATH, None, &body).await;
        let case = format!("{mode:?}: {status} {verdict} {body}");
        ensure!(verdict == "may-have-run" && (500..600).contains(&status), "{case}");
    }
    Ok(())
}
