//! Listeners: callers, the balancer's questions, metrics.

use std::{
    convert::Infallible,
    net::{SocketAddr, TcpListener as StdTcpListener},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    time::sleep,
};

use crate::forward::{
    node::{ForwardNode, StopPhase},
    serve::serve_call,
};

/// Connections of callers at once. Half of the descriptors of the users' instances.
const CALLERS_MAX: usize = 1_800;
/// Time without a request after which a connection is closed while no limit is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(30);
/// Largest head of a request while no limit is known, in bytes.
const HEAD_BYTES_DEFAULT: usize = 16_384;
/// Least buffer that the library works with, in bytes.
const HEAD_BYTES_MIN: usize = 8_192;
/// Pause after a connection that could not be accepted, for want of descriptors mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds `address` without waiting.
pub fn bind(address: SocketAddr) -> std::io::Result<StdTcpListener> {
    let listener = StdTcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts callers until the node closes.
pub async fn accept_callers(
    node: Rc<ForwardNode>,
    listener: StdTcpListener,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut phase = node.phase.subscribe();
    let open = Rc::new(());
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == StopPhase::Closing) => return Ok(()),
        };
        match accepted {
            Ok((stream, _)) if Rc::strong_count(&open) <= CALLERS_MAX => {
                let (node, open) = (Rc::clone(&node), Rc::clone(&open));
                actix_web::rt::spawn(async move {
                    serve_caller(node, stream).await;
                    drop(open);
                });
            }
            // Closing it unread tells the caller that nothing ran.
            Ok((stream, _)) => {
                drop(stream);
                node.journal.note("callers-full", json!({ "most": CALLERS_MAX }));
            }
            Err(error) => {
                node.journal.note("accept-failed", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(node: Rc<ForwardNode>, stream: TcpStream) {
    // Without it, the last small piece of an answer waits for an acknowledgement.
    drop(stream.set_nodelay(true));
    let limits = node.beliefs().catalog.as_ref().map(|catalog| catalog.limits());
    let head_bytes = limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.max_head_bytes);
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request| {
        let node = Rc::clone(&service_node);
        async move { Ok::<_, Infallible>(serve_call(node, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library's bound covers the wait for a request as well as its head.
        .header_read_timeout(limits.map_or(IDLE_DEFAULT, |limits| limits.idle_timeout))
        .max_buf_size(head_bytes.max(HEAD_BYTES_MIN));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = node.phase.subscribe();
    let closing = async { phase.wait_for(|phase| *phase == StopPhase::Closing).await.is_ok() };
    // A connection that ends with an error concerns its caller alone, whose requests are told in
    // their own lines.
    select! {
        ended = connection.as_mut() => drop(ended),
        _ = closing => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

/// Answers the balancer's questions.
pub async fn answer_ready(node: Rc<ForwardNode>, listener: StdTcpListener) -> std::io::Result<()> {
    serve_small(listener, move || {
        let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Bytes::new())
    })
    .await
}

/// Serves the metrics.
pub async fn answer_metrics(
    node: Rc<ForwardNode>,
    listener: StdTcpListener,
) -> std::io::Result<()> {
    serve_small(listener, move || (StatusCode::OK, Bytes::from(node.gauges.render()))).await
}

/// Serves the same small answer to every request.
async fn serve_small(
    listener: StdTcpListener,
    answer: impl Fn() -> (StatusCode, Bytes) + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        actix_web::rt::spawn(async move {
            let service = service_fn(move |_request: Request<Incoming>| {
                let (status, body) = answer();
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_DEFAULT);
            // The questioner sees for itself when its connection fails.
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}
