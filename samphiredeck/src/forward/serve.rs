//! Serves requests of callers, from their arrival to the response.

use std::{borrow::Cow, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode, header::CONNECTION, uri::PathAndQuery,
};
use hyper::body::Incoming;
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        byte_budget::ByteSource,
        catalog::{ForwardCatalog, RouteRow, WorkspaceRow},
    },
    ids::{KeyHash, SuspectKey, WorkspaceName},
};
use samphiredeck_platform::headers::{
    RequestMetadata, decode_request_headers, encode_refusal_headers,
};
use serde_json::json;
use tokio::{
    select,
    time::{sleep, timeout},
};

use crate::forward::{
    attempt::send_with_retries,
    bounded_body::{BodyError, WhenFull, collect_body},
    byte_lease::ByteLease,
    clock,
    node::{ForwardNode, ShutdownPhase},
    quota::reserve_quota,
    relay::relay_stream,
    request::{AdmittedRequest, ErrorResponse, RequestTrace, with_jitter},
    request_progress::{ENDING_REASON, ENDING_RETRY_DELAY, RequestProgress, ending_error},
    response_body::ResponseBody,
    stop_checks::check_stop,
    stream_versions::resolve_origin,
    upstream_response::UpstreamResponse,
};

/// Time limit of a request that does not state a deadline.
pub const TIME_LIMIT_DEFAULT: Duration = Duration::from_secs(15);
/// Retry delay for callers of a node that can't serve. By then the node has reported itself as not
/// ready, and they reach another one.
const UNREADY_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Retry delay for callers of a route or workspace that can't be read. Only another configuration helps them.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum time for which a request waits for the first configuration of a starting node.
const FIRST_CATALOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Poll interval while it waits.
const FIRST_CATALOG_POLL_PERIOD: Duration = Duration::from_millis(10);

pub async fn serve_request(
    node: Rc<ForwardNode>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = clock::now();
    let metadata = match decode_request_headers(request.headers()) {
        Ok(metadata) => metadata,
        Err(error) => {
            node.log.record("unreadable", json!({ "reason": error.to_string() }));
            let error_response =
                ErrorResponse::not_retryable(StatusCode::BAD_REQUEST, "unreadable request");
            return build_error_response(&node, "", &error_response);
        }
    };
    let mut trace = RequestTrace::start(Rc::clone(&node), metadata.attempt_id.clone(), arrived_at);
    let admitted = select! {
        biased;
        () = node.wait_ending() => {
            Err(ErrorResponse::not_executed(ENDING_REASON, ENDING_RETRY_DELAY))
        }
        admitted = admit_request(&mut trace, metadata, request) => admitted,
    };
    match admitted {
        Ok((admitted, progress, buffered)) => respond(admitted, progress, trace, buffered).await,
        Err(error_response) => finish_with_error(&mut trace, &error_response),
    }
}

/// Admits the request and reads its body.
async fn admit_request(
    trace: &mut RequestTrace,
    metadata: RequestMetadata,
    request: Request<Incoming>,
) -> Result<(AdmittedRequest, RequestProgress, ByteLease), ErrorResponse> {
    let node = Rc::clone(&trace.node);
    let (parts, payload) = request.into_parts();
    wait_for_first_catalog(&node, trace).await;
    let catalog = current_catalog(&node, trace)?;
    let host = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let Some(route) = catalog.find_route(&name, parts.uri.path()).cloned() else {
        if catalog.is_unreadable_route(&name, parts.uri.path()) {
            let wait = with_jitter(UNREADABLE_RETRY_DELAY);
            return Err(ErrorResponse::not_executed("the route can't be read", wait));
        }
        return Err(ErrorResponse::not_retryable(StatusCode::NOT_FOUND, "no route"));
    };
    trace.route.clone_from(&route.name);
    let time_limit = metadata.deadline.unwrap_or(TIME_LIMIT_DEFAULT);
    let deadline = trace.arrived_at + time_limit.min(route.timeout);
    check_stop(trace, clock::now(), deadline)?;
    let workspace = find_workspace(&catalog, &route, &metadata)?;
    trace.workspace = workspace.map(|row| row.name.to_string()).unwrap_or_default();
    let (body, buffered) = read_body(&node, &catalog, payload, deadline).await?;
    let received_at = clock::now();
    check_stop(trace, received_at, deadline)?;
    let origin = resolve_origin(trace, &route, &metadata).await?;
    let tokens = metadata.tokens.map(|(prompt, output)| prompt + output);
    let reservation = reserve_quota(trace, workspace, tokens).await?;
    let begun_pool = origin.as_ref().and_then(|origin| origin.pool.as_ref());
    let begun_pool = begun_pool.filter(|begun| route.pools().contains(begun));
    let pool_name = begun_pool.unwrap_or_else(|| route.pick_pool(random())).clone();
    trace.pool = pool_name.to_string();
    let pool = catalog.find_pool(&pool_name);
    let engine = pool.is_some_and(|pool| pool.engine);
    let workspace_name = workspace.map(|row| row.name.clone());
    let workspace_text = workspace.map(|row| workspace_text(&node, row)).transpose()?;
    let caller = workspace_name.as_ref().map_or("", WorkspaceName::as_str);
    let target = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let key = SuspectKey::of_request(&[parts.method.as_str(), &name, target, caller], &body);
    let admitted = AdmittedRequest {
        key,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        engine,
        max_connections: pool.map_or(u32::MAX, |pool| pool.max_connections),
        workspace: workspace_name,
        workspace_text,
        priority: workspace.and_then(|row| row.priority).unwrap_or(route.priority),
        deadline,
        received_at,
        config_version: catalog.version().0,
        pool: pool_name,
        metadata,
        route,
    };
    node.state().retry_budget.record_request(&admitted.pool, trace.arrived_at);
    node.metrics.budget.count_request(&admitted.pool);
    let software = origin.map(|origin| origin.software);
    Ok((admitted, RequestProgress::new(reservation, software), buffered))
}

/// Waits for the first configuration on a node that has just started, as after a loss of all nodes.
/// It arrives within a few store calls, sooner than the caller could come back after a refusal.
async fn wait_for_first_catalog(node: &ForwardNode, trace: &RequestTrace) {
    let until = trace.arrived_at + FIRST_CATALOG_TIMEOUT;
    while node.state().catalog.is_none() && clock::now() < until {
        sleep(FIRST_CATALOG_POLL_PERIOD).await;
    }
}

/// Returns the active configuration, if it is fresh enough to admit requests.
fn current_catalog(
    node: &ForwardNode,
    trace: &RequestTrace,
) -> Result<Rc<ForwardCatalog>, ErrorResponse> {
    let state = node.state();
    let now = clock::now();
    match &state.catalog {
        Some(catalog) if state.freshness.allows_admission(now) => Ok(Rc::clone(catalog)),
        unconfirmed => {
            let fields = json!({
                "request": trace.attempt_id,
                "version": unconfirmed.as_ref().map(|catalog| catalog.version().0),
                "config_age_ms": state.freshness.age(now).map(|age| age.as_millis()),
            });
            node.log.record("stale-config", fields);
            let wait = with_jitter(UNREADY_RETRY_DELAY);
            Err(ErrorResponse::not_executed("configuration not known to be the newest", wait))
        }
    }
}

fn find_workspace<'a>(
    catalog: &'a ForwardCatalog,
    route: &RouteRow,
    metadata: &RequestMetadata,
) -> Result<Option<&'a WorkspaceRow>, ErrorResponse> {
    if route.public {
        return Ok(None);
    }
    match metadata.api_key.as_deref().map(KeyHash::of) {
        Some(key) => match catalog.find_workspace_by_key(key) {
            Some(row) => Ok(Some(row)),
            None => Err(unknown_key(catalog, key)),
        },
        None if catalog.needs_keys() => {
            Err(ErrorResponse::not_retryable(StatusCode::UNAUTHORIZED, "no key"))
        }
        None => Ok(None),
    }
}

/// Name of `workspace` as the operator wrote it.
fn workspace_text(node: &ForwardNode, workspace: &WorkspaceRow) -> Result<String, ErrorResponse> {
    let state = node.state();
    let text = state.names.text_of(workspace.name.as_str()).map(Cow::into_owned);
    text.ok_or_else(|| {
        ErrorResponse::not_executed(
            "the workspace has no known name",
            with_jitter(UNREADABLE_RETRY_DELAY),
        )
    })
}

/// Response to a request with a key that no workspace of `catalog` holds, as far as it can be read.
pub fn unknown_key(catalog: &ForwardCatalog, key: KeyHash) -> ErrorResponse {
    if catalog.is_unreadable_key(key) {
        let wait = with_jitter(UNREADABLE_RETRY_DELAY);
        return ErrorResponse::not_executed("the workspace can't be read", wait);
    }
    ErrorResponse::not_retryable(StatusCode::UNAUTHORIZED, "unknown key")
}

async fn read_body(
    node: &Rc<ForwardNode>,
    catalog: &ForwardCatalog,
    body: Incoming,
    deadline: BootTime,
) -> Result<(Bytes, ByteLease), ErrorResponse> {
    // The caller may know any configuration that was in force since it began to send.
    let begun_limit = catalog.limits().max_body_bytes;
    let limit = || begun_limit.max(node.caller_limits.borrow().max_body_bytes);
    let too_large =
        || ErrorResponse::not_retryable(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let declared = hyper::body::Body::size_hint(&body).exact();
    if declared.is_some_and(|bytes| usize::try_from(bytes).is_ok_and(|bytes| bytes > limit())) {
        return Err(too_large());
    }
    let time_left = deadline.since(clock::now());
    let mut lease = ByteLease::new(node, ByteSource::Caller);
    let collected = collect_body(body, &limit, &mut lease, WhenFull::Fail);
    match timeout(time_left, collected).await {
        Ok(Ok(bytes)) => Ok((bytes, lease)),
        Ok(Err(BodyError::TooLong)) => Err(too_large()),
        Ok(Err(BodyError::Full(_))) => Err(ErrorResponse::not_executed(
            "too many bytes held",
            with_jitter(UNREADY_RETRY_DELAY),
        )),
        Ok(Err(BodyError::Broken(_cut))) => {
            Err(ErrorResponse::not_retryable(StatusCode::BAD_REQUEST, "body cut off"))
        }
        Err(_elapsed) => {
            Err(ErrorResponse::not_retryable(StatusCode::REQUEST_TIMEOUT, "body came too slowly"))
        }
    }
}

async fn respond(
    admitted: AdmittedRequest,
    mut progress: RequestProgress,
    mut trace: RequestTrace,
    buffered: ByteLease,
) -> Response<ResponseBody> {
    let sent = select! {
        biased;
        sent = send_with_retries(&admitted, &mut progress, &trace, None) => Some(sent),
        () = trace.node.wait_ending() => None,
    };
    match sent.unwrap_or_else(|| Err(ending_error(&progress))) {
        Ok(UpstreamResponse::Complete(complete)) => {
            trace.record_first_response();
            let outcome = if complete.status.is_success() { "served" } else { "upstream-failed" };
            trace.finish(outcome, complete.status.as_u16(), "");
            let body = ResponseBody::held(complete.body, complete.lease);
            build_response(&trace.node, complete.status, complete.headers, body)
        }
        Ok(UpstreamResponse::Streaming(stream)) => {
            trace.record_first_response();
            let node = Rc::clone(&trace.node);
            let (status, headers) = (stream.status, stream.headers.clone());
            let (sender, body) = ResponseBody::stream();
            actix_web::rt::spawn(async move {
                relay_stream(admitted, progress, trace, stream, sender).await;
                drop(buffered);
            });
            build_response(&node, status, headers, body)
        }
        Err(error_response) => finish_with_error(&mut trace, &error_response),
    }
}

fn finish_with_error(
    trace: &mut RequestTrace,
    error_response: &ErrorResponse,
) -> Response<ResponseBody> {
    let outcome = if error_response.retry_after.is_some() { "refused" } else { "failed" };
    trace.finish(outcome, error_response.status.as_u16(), error_response.reason);
    build_error_response(&trace.node, &trace.attempt_id, error_response)
}

fn build_error_response(
    node: &ForwardNode,
    request: &str,
    error_response: &ErrorResponse,
) -> Response<ResponseBody> {
    let headers = encode_refusal_headers(request, error_response.retry_after);
    let body = ResponseBody::full(Bytes::from_static(error_response.reason.as_bytes()));
    build_response(node, error_response.status, headers, body)
}

fn build_response(
    node: &ForwardNode,
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if node.phase() >= ShutdownPhase::Draining {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
