//! Serves the requests on a connection of a caller.

use std::{
    convert::Infallible,
    future::poll_fn,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use hyper::{
    body::Incoming,
    server::conn::http1::{self, Connection},
    service::{HttpService, service_fn},
};
use hyper_util::rt::TokioIo;
use samphiredeck_core::forward::{
    caller_wait::{HEAD_BYTES_MAX, WaitEnd, head_bytes_max},
    catalog::CallerLimits,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    select,
    time::{Instant, Sleep, sleep, timeout},
};

use crate::forward::{
    caller_stream::{CallerBody, CallerState, CallerStream},
    clock,
    node::{ForwardNode, ShutdownPhase},
    response_body::ResponseBody,
    serve::serve_request,
};

/// Time for which a stopping node waits for a request on a connection without one. Covers the time from the
/// connection to the request of a caller that has just connected, and requests that were received already.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Time for which bytes of a caller are discarded after its connection was refused, since closing it with bytes that are
/// not read would reset it before the response arrives.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Maximum number of those bytes.
const DISCARDED_BYTES_MAX: usize = 1_048_576;

type CallerIo = TokioIo<CallerStream<TcpStream>>;

/// Serves `stream` until the caller or a limit ends it.
pub async fn serve_connection(node: Rc<ForwardNode>, stream: TcpStream) {
    // Without this option, the last small segment of a response is delayed until an
    // acknowledgement.
    drop(stream.set_nodelay(true));
    let state = CallerState::new(Rc::clone(&node));
    let service_state = Rc::clone(&state);
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request| {
        let (node, state) = (Rc::clone(&service_node), Rc::clone(&service_state));
        // Boxed, so that a connection without a request doesn't hold the room for one.
        async move { Ok::<_, Infallible>(respond(node, &state, request).await) }.boxed_local()
    });
    let mut builder = http1::Builder::new();
    // The limits in force are checked by the stream and the timer of the connection.
    builder.header_read_timeout(None).max_buf_size(HEAD_BYTES_MAX + 1);
    let io = TokioIo::new(CallerStream::new(stream, Rc::clone(&state)));
    let mut connection = builder.serve_connection(io, service);
    let Some(end) = drive(&node, &state, &mut connection).await else { return };
    let limits = state.limits();
    let stream = connection.into_parts().io.into_inner().into_inner();
    match refusal_text(end, limits).filter(|_| state.is_flushed()) {
        Some((status, reason)) => {
            let fields = json!({ "status": status.as_u16(), "reason": reason });
            node.log.record("head-refused", fields);
            refuse(stream, status, &reason).await;
        }
        // Nothing was received that a response could belong to, or the caller has not received the response before it.
        None => drop(stream),
    }
}

/// Drives `connection` until it ends. Returns the limit that ended it, if one did.
async fn drive<S>(
    node: &ForwardNode,
    state: &CallerState,
    connection: &mut Connection<CallerIo, S>,
) -> Option<WaitEnd>
where
    S: HttpService<Incoming, ResBody = CallerBody, Error = Infallible>,
{
    let mut limits = node.caller_limits.subscribe();
    let mut closing = pin!(wait_closing(node));
    let mut timer = pin!(sleep(Duration::ZERO));
    let mut is_closing = false;
    loop {
        select! {
            biased;
            end = poll_fn(|cx| {
                poll_connection(cx, state, Pin::new(&mut *connection), timer.as_mut())
            }) => return end,
            // The timer is set anew. The sender lives as long as the node.
            _changed = limits.changed() => {}
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                Pin::new(&mut *connection).graceful_shutdown();
            }
        }
    }
}

/// Polls `connection`, and the `timer` for what it waits for then.
fn poll_connection<S>(
    cx: &mut Context<'_>,
    state: &CallerState,
    connection: Pin<&mut Connection<CallerIo, S>>,
    mut timer: Pin<&mut Sleep>,
) -> Poll<Option<WaitEnd>>
where
    S: HttpService<Incoming, ResBody = CallerBody, Error = Infallible>,
{
    // A connection error affects only its caller. The log has a line for each of its requests.
    if let Poll::Ready(_ended) = connection.poll(cx) {
        return Poll::Ready(state.failure());
    }
    loop {
        let Some((due_at, end)) = state.wait().due(state.limits()) else { return Poll::Pending };
        let time_left = due_at.since(clock::now());
        if time_left.is_zero() {
            return Poll::Ready(Some(end));
        }
        timer.as_mut().reset(Instant::now() + time_left);
        ready!(timer.as_mut().poll(cx));
    }
}

/// Waits until connections without a request are closed.
async fn wait_closing(node: &ForwardNode) {
    let mut phase = node.phase.subscribe();
    _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Closing).await;
    // `graceful_shutdown` closes a connection without a request at once, even if one was received that is not
    // read yet.
    let answers_at = node.stop_schedule.get().map_or_else(clock::now, |stop| stop.answers_at);
    sleep(LAST_REQUEST_WAIT.min(answers_at.since(clock::now()) / 2)).await;
}

/// Responds to `request`, unless its head exceeds the limit.
async fn respond(
    node: Rc<ForwardNode>,
    state: &Rc<CallerState>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let exchange = state.begin_exchange();
    let limits = state.limits();
    let refusal = refusal_text(WaitEnd::HeadTooLong, limits)
        .filter(|_| head_bytes(&request) > head_bytes_max(limits));
    let Some((status, reason)) = refusal else {
        return serve_request(node, request).await.map(|body| CallerBody::new(body, exchange));
    };
    let fields = json!({ "status": status.as_u16(), "reason": reason });
    node.log.record("head-refused", fields);
    let body = ResponseBody::full(Bytes::from(reason));
    let mut response = Response::new(CallerBody::new(body, exchange));
    *response.status_mut() = status;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Minimum size in bytes of a head that reads as that of `request`.
fn head_bytes(request: &Request<Incoming>) -> usize {
    const VERSION_BYTES: usize = 8;
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + 1 + VERSION_BYTES + 2;
    let headers = request.headers().iter();
    line + headers.map(|(name, value)| name.as_str().len() + 1 + value.len() + 2).sum::<usize>() + 2
}

/// Status and reason of the response to a request whose connection ends with `end`. `None` if there is no request.
fn refusal_text(end: WaitEnd, limits: CallerLimits) -> Option<(StatusCode, String)> {
    match end {
        WaitEnd::Idle => None,
        WaitEnd::HeadTimeout => Some((
            StatusCode::REQUEST_TIMEOUT,
            format!("head took longer than {} ms", limits.head_timeout.as_millis()),
        )),
        WaitEnd::HeadTooLong => Some((
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            format!("head over {} bytes", head_bytes_max(limits)),
        )),
    }
}

/// Writes a response to a head that is not complete, and closes `stream`.
async fn refuse(mut stream: TcpStream, status: StatusCode, reason: &str) {
    let length = reason.len();
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{reason}"
    );
    let exchange = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        let mut buffer = [0; 4_096];
        let mut discarded = 0;
        while discarded < DISCARDED_BYTES_MAX {
            match stream.read(&mut buffer).await? {
                0 => break,
                count => discarded += count,
            }
        }
        std::io::Result::Ok(())
    };
    // The caller may have left, or go on for longer.
    _ = timeout(DISCARD_TIME, exchange).await;
}
