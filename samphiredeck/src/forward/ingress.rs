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
    caller_connection::serve_connection,
    node::{ForwardNode, ShutdownPhase},
    operator::respond_to_operator,
};

/// Idle timeout of connections for probes and metrics.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
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
            builder.timer(TokioTimer::new()).header_read_timeout(PROBE_IDLE_TIMEOUT);
            // The client notices a failed connection itself.
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}
