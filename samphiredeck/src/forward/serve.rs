//! One request of a caller, from its arrival to the answer that it gets.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::{ForwardCatalog, RouteRow, WorkspaceRow},
        demand::DemandRate,
    },
    ids::KeyHash,
};
use samphiredeck_platform::headers::{
    RequestMetadata, decode_request_headers, encode_refusal_headers,
};
use serde_json::json;
use tokio::time::timeout;

use crate::forward::{
    attempt::{CallProgress, attempt},
    clock,
    node::{ForwardNode, StopPhase},
    quota::take_units,
    relay::relay_stream,
    request::{AdmittedCall, CallRefusal, CallTrace, spread},
    response_body::AnswerBody,
    upstream_response::UpstreamAnswer,
};

/// Time that a caller is assumed to wait if it does not say.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(15);
/// Most bytes of bodies that are held at once. A quarter of the memory of the users' smallest
/// instances.
const HELD_BYTES_MAX: usize = 40 * 1_024 * 1_024;
/// Time after which callers come back to a node that can't serve: it is not ready by then, and
/// they reach another.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(400);

/// Bytes of a caller's body that are held until the request has ended.
#[derive(Debug)]
struct HeldBytes {
    node: Rc<ForwardNode>,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.node.held_bytes.set(self.node.held_bytes.get() - self.bytes);
    }
}

/// Serves one request.
pub async fn serve_call(node: Rc<ForwardNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = clock::now();
    let fields = match decode_request_headers(request.headers()) {
        Ok(fields) => fields,
        Err(error) => {
            node.journal.note("unreadable", json!({ "reason": error.to_string() }));
            let refusal = CallRefusal::last(StatusCode::BAD_REQUEST, "unreadable request");
            return answer_refusal(&node, "", &refusal);
        }
    };
    let mut trace = CallTrace::begin(Rc::clone(&node), fields.attempt_id.clone(), arrived);
    match receive_call(&mut trace, fields, request).await {
        Ok((call, progress, held)) => answer_call(call, progress, trace, held).await,
        Err(refusal) => end_refused(&mut trace, &refusal),
    }
}

/// Admits the request and reads its body.
async fn receive_call(
    trace: &mut CallTrace,
    fields: RequestMetadata,
    request: Request<Incoming>,
) -> Result<(AdmittedCall, CallProgress, HeldBytes), CallRefusal> {
    let node = Rc::clone(&trace.node);
    let (parts, payload) = request.into_parts();
    let catalog = current_catalog(&node, trace)?;
    let host = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let Some(route) = catalog.find_route(&name, parts.uri.path()).cloned() else {
        return Err(CallRefusal::last(StatusCode::NOT_FOUND, "no route"));
    };
    trace.route.clone_from(&route.name);
    let workspace = find_workspace(&catalog, &route, &fields)?;
    trace.workspace = workspace.map(|row| row.name.to_string()).unwrap_or_default();
    let deadline = fields.deadline.unwrap_or(DEADLINE_DEFAULT);
    let ends_at = trace.arrived + deadline.min(route.timeout);
    let (body, held) = read_body(&node, &catalog, payload, ends_at).await?;
    let tokens = fields.tokens.map(|(prompt, output)| prompt + output);
    let taken = take_units(trace, workspace, tokens).await?;
    let pool_name = route.pick_pool(random()).clone();
    trace.pool = pool_name.to_string();
    let pool = catalog.find_pool(&pool_name);
    let engine = pool.is_some_and(|pool| pool.engine);
    let call = AdmittedCall {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        engine,
        max_connections: pool.map_or(u32::MAX, |pool| pool.max_connections),
        workspace: workspace.map(|row| row.name.clone()),
        priority: workspace.and_then(|row| row.priority).unwrap_or(route.priority),
        ends_at,
        version: catalog.version().0,
        pool: pool_name,
        fields,
        route,
    };
    let mut beliefs = node.beliefs();
    beliefs.repeats.note_request(&call.pool, trace.arrived);
    if engine {
        let prompt = call.fields.prompt_parts.last().map_or(0, |part| part.tokens);
        let work = DemandRate::of(prompt, call.output_tokens());
        beliefs.work.record(&call.pool, work, trace.arrived);
    }
    Ok((call, CallProgress::new(taken), held))
}

/// Configuration in force, while the node may go by it.
fn current_catalog(
    node: &ForwardNode,
    trace: &CallTrace,
) -> Result<Rc<ForwardCatalog>, CallRefusal> {
    let beliefs = node.beliefs();
    let now = clock::now();
    match &beliefs.catalog {
        Some(catalog) if beliefs.proof.allows_admission(now) => Ok(Rc::clone(catalog)),
        known => {
            let fields = json!({
                "request": trace.request,
                "version": known.as_ref().map(|catalog| catalog.version().0),
                "config_age_ms": beliefs.proof.age(now).map(|age| age.as_millis()),
            });
            node.journal.note("stale-config", fields);
            let wait = spread(ELSEWHERE_AFTER);
            Err(CallRefusal::unrun("configuration not known to be the newest", wait))
        }
    }
}

fn find_workspace<'a>(
    catalog: &'a ForwardCatalog,
    route: &RouteRow,
    fields: &RequestMetadata,
) -> Result<Option<&'a WorkspaceRow>, CallRefusal> {
    if route.public || !catalog.needs_keys() {
        return Ok(None);
    }
    let key = fields.api_key.as_deref().map(KeyHash::of);
    match key.and_then(|key| catalog.find_workspace_by_key(key)) {
        Some(row) => Ok(Some(row)),
        None => Err(CallRefusal::last(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

async fn read_body(
    node: &Rc<ForwardNode>,
    catalog: &ForwardCatalog,
    body: Incoming,
    ends_at: BootTime,
) -> Result<(Bytes, HeldBytes), CallRefusal> {
    let limit = catalog.limits().max_body_bytes;
    let too_large = || CallRefusal::last(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    let declared = hyper::body::Body::size_hint(&body).exact();
    if declared.is_some_and(|bytes| usize::try_from(bytes).is_ok_and(|bytes| bytes > limit)) {
        return Err(too_large());
    }
    if node.held_bytes.get() > HELD_BYTES_MAX {
        return Err(CallRefusal::unrun("too many bytes held", ELSEWHERE_AFTER));
    }
    let left = ends_at.since(clock::now());
    let collected = timeout(left, Limited::new(body, limit).collect()).await;
    let bytes = match collected {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => return Err(too_large()),
        Ok(Err(_cut)) => {
            return Err(CallRefusal::last(StatusCode::BAD_REQUEST, "body cut off"));
        }
        Err(_late) => {
            return Err(CallRefusal::last(StatusCode::REQUEST_TIMEOUT, "body came too slowly"));
        }
    };
    node.held_bytes.set(node.held_bytes.get() + bytes.len());
    let held = HeldBytes { node: Rc::clone(node), bytes: bytes.len() };
    Ok((bytes, held))
}

async fn answer_call(
    call: AdmittedCall,
    mut progress: CallProgress,
    mut trace: CallTrace,
    held: HeldBytes,
) -> Response<AnswerBody> {
    match attempt(&call, &mut progress, &trace, None).await {
        Ok(UpstreamAnswer::Whole(whole)) => {
            trace.note_first_sign();
            let outcome = if whole.status.is_success() { "served" } else { "upstream-failed" };
            trace.end(outcome, whole.status.as_u16(), "");
            let body = AnswerBody::whole(whole.body);
            build_answer(&trace.node, whole.status, whole.headers, body)
        }
        Ok(UpstreamAnswer::Stream(stream)) => {
            trace.note_first_sign();
            let node = Rc::clone(&trace.node);
            let (status, headers) = (stream.status, stream.headers.clone());
            let (sender, body) = AnswerBody::stream();
            actix_web::rt::spawn(async move {
                relay_stream(call, progress, trace, stream, sender).await;
                drop(held);
            });
            build_answer(&node, status, headers, body)
        }
        Err(refusal) => end_refused(&mut trace, &refusal),
    }
}

fn end_refused(trace: &mut CallTrace, refusal: &CallRefusal) -> Response<AnswerBody> {
    let outcome = if refusal.retry_after.is_some() { "refused" } else { "failed" };
    trace.end(outcome, refusal.status.as_u16(), refusal.reason);
    answer_refusal(&trace.node, &trace.request, refusal)
}

fn answer_refusal(
    node: &ForwardNode,
    request: &str,
    refusal: &CallRefusal,
) -> Response<AnswerBody> {
    let headers = encode_refusal_headers(request, refusal.retry_after);
    let body = AnswerBody::whole(Bytes::from_static(refusal.reason.as_bytes()));
    build_answer(node, refusal.status, headers, body)
}

fn build_answer(
    node: &ForwardNode,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if node.phase() >= StopPhase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
