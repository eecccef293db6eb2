//! HTTP listeners for callers, readiness probes and metrics.

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
    clock,
    node::{ForwardNode, ShutdownPhase},
    operator::respond_to_operator,
    serve::serve_request,
};

/// Idle timeout of a connection while no configuration is loaded.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// Maximum size of a request head in bytes while no configuration is loaded.
const HEAD_BYTES_DEFAULT: usize = 16_384;
/// Minimum buffer size that `hyper` accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8_192;
/// Time for which a stopping node waits for a request on a connection without one. Covers the time from the
/// connection to the request of a caller that has just connected, and requests that were received already.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a non-blocking listener to `address`.
pub fn bind(address: SocketAddr) -> std::io::Result<StdTcpListener> {
    let listener = StdTcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts caller connections until the node closes.
pub async fn accept_callers(
    node: Rc<ForwardNode>,
    listener: StdTcpListener,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut phase = node.phase.subscribe();
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(&node, stream),
            Err(error) => {
                node.log.record("accept-failed", json!({ "reason": error.to_string() }));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The kernel has accepted the queued connections. Closing the listener would reset them.
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        start_connection(&node, TcpStream::from_std(stream)?);
    }
    Ok(())
}

/// Serves the connection `stream`, unless there are too many.
fn start_connection(node: &Rc<ForwardNode>, stream: TcpStream) {
    if node.open_connections() >= node.descriptors.callers {
        // Closing the connection without reading from it tells the caller that nothing ran.
        drop(stream);
        node.log.record("callers-full", json!({ "most": node.descriptors.callers }));
        return;
    }
    let open_connection = Rc::clone(&node.caller_connections);
    let node = Rc::clone(node);
    actix_web::rt::spawn(async move {
        serve_connection(node, stream).await;
        drop(open_connection);
    });
}

async fn serve_connection(node: Rc<ForwardNode>, stream: TcpStream) {
    // Without this option, the last small segment of a response is delayed until an
    // acknowledgement.
    drop(stream.set_nodelay(true));
    let limits = node.state().catalog.as_ref().map(|catalog| catalog.limits());
    let head_bytes = limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.max_head_bytes);
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request| {
        let node = Rc::clone(&service_node);
        async move { Ok::<_, Infallible>(serve_request(node, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // In `hyper`, this timeout covers the idle time before a request as well as its head.
        .header_read_timeout(limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout))
        .max_buf_size(head_bytes.max(HEAD_BYTES_MIN));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = node.phase.subscribe();
    let closing = async { phase.wait_for(|phase| *phase >= ShutdownPhase::Closing).await.is_ok() };
    // A connection error affects only its caller. The log has a line for each of its requests.
    // `graceful_shutdown` closes a connection without a request at once, even if one was received that is not
    // read yet.
    let closing = async {
        _ = closing.await;
        let answers_at = node.stop_schedule.get().map_or_else(clock::now, |stop| stop.answers_at);
        sleep(LAST_REQUEST_WAIT.min(answers_at.since(clock::now()) / 2)).await;
    };
    select! {
        ended = connection.as_mut() => drop(ended),
        () = closing => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

/// Serves readiness probes of the load balancer.
pub async fn serve_readiness(
    node: Rc<ForwardNode>,
    listener: StdTcpListener,
) -> std::io::Result<()> {
    let most = node.descriptors.probes;
    serve_plain(listener, most, move |_request| match node.unready_reason() {
        None => (StatusCode::OK, Bytes::new()),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from(reason.as_str())),
    })
    .await
}

/// Serves the metrics, and the requests of operators.
pub async fn serve_metrics(node: Rc<ForwardNode>, listener: StdTcpListener) -> std::io::Result<()> {
    let most = node.descriptors.probes;
    serve_plain(listener, most, move |request| {
        let metrics = || (StatusCode::OK, Bytes::from(node.metrics.render()));
        respond_to_operator(&node, request.method(), request.uri().path()).unwrap_or_else(metrics)
    })
    .await
}

/// Serves responses that depend on the request line alone, on at most `most` connections.
pub async fn serve_plain(
    listener: StdTcpListener,
    most: usize,
    handler: impl Fn(&Request<Incoming>) -> (StatusCode, Bytes) + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&handler) > most {
            continue;
        }
        let handler = Rc::clone(&handler);
        actix_web::rt::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = handler(&request);
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT_DEFAULT);
            // The client notices a failed connection itself.
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}
