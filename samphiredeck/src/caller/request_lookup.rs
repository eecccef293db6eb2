//! Lookup and cancellation of earlier requests by id, on any node.

use actix_web::{HttpRequest, HttpResponse, http::StatusCode, web};
use log::debug;
use samphiredeck_core::{
    engine_api::REQUEST_ID_HEADER,
    ids::{RequestId, WorkspaceName},
    platform_api::TableRead,
    rows::{WorkRow, WorkState, work_key},
};
use serde::Deserialize;

use super::{
    CallerContext, authenticate,
    error::CallerError,
    request::parse_completion,
    response::{ResponseFormat, await_response, stream_response},
};
use crate::{
    event::{ControlEvent, RunLocation, parse_row},
    logging::CALLER,
    run::{RunBuffer, RunFailure, RunState},
};

/// Header that marks a request as forwarded by another node, so that it is not forwarded again.
const FORWARDED_HEADER: &str = "x-forwarded-node";
/// Timeout for the response head of another node.
const FORWARD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Query parameters of a read.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadOptions {
    /// Offset in the response text from which to read, in bytes.
    offset: usize,
    /// Whether to stream the response.
    stream: bool,
}

/// Returns or streams the response to an earlier request.
pub async fn read_request(
    request: HttpRequest,
    path: web::Path<String>,
    options: web::Query<ReadOptions>,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    let config = context.config()?;
    let workspace = authenticate(&request, &config)?.name.clone();
    let id: RequestId = path.parse().map_err(|error| CallerError::bad_field("request", error))?;
    let mut options = options.into_inner();
    if let Some(last_event_id) = request.headers().get("last-event-id") {
        let offset = last_event_id.to_str().ok().and_then(|text| text.parse().ok());
        options.offset = offset
            .ok_or_else(|| CallerError::bad_field("last-event-id", "is not a whole number"))?;
        options.stream = true;
    }
    let find = |reply| ControlEvent::FindRun { request: id.clone(), reply };
    match context.runs.control.ask(find).await {
        Some(RunLocation::Local { buffer, workspace: owner }) => {
            check_workspace(&id, &owner, &workspace)?;
            respond_from_buffer(buffer, &id, options).await
        }
        Some(RunLocation::Remote { addresses }) => {
            if request.headers().contains_key(FORWARDED_HEADER) {
                return Err(CallerError::unknown_request(&id));
            }
            if let Some(response) = query_nodes(&context, &request, &addresses).await {
                return Ok(response);
            }
            respond_from_record(&context, &id, &workspace, options).await
        }
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

/// Reports requests of other workspaces as unknown, so that their existence is not revealed.
fn check_workspace(
    id: &RequestId,
    owner: &WorkspaceName,
    workspace: &WorkspaceName,
) -> Result<(), CallerError> {
    if owner == workspace { Ok(()) } else { Err(CallerError::unknown_request(id)) }
}

async fn respond_from_buffer(
    buffer: std::sync::Arc<RunBuffer>,
    id: &RequestId,
    options: ReadOptions,
) -> Result<HttpResponse, CallerError> {
    let format =
        ResponseFormat { request: id.clone(), model: String::new(), chat: true, prompt_tokens: 0 };
    if options.stream {
        return Ok(stream_response(buffer, format, options.offset));
    }
    await_response(buffer, format).await
}

/// Forwards the request to other nodes, likeliest first, and relays the first response other than
/// 404.
async fn query_nodes(
    context: &CallerContext,
    request: &HttpRequest,
    addresses: &[String],
) -> Option<HttpResponse> {
    for address in addresses {
        let url = format!("http://{address}{}", request.uri());
        let mut call = context.peer_client.get(url).insert_header((FORWARDED_HEADER, "1"));
        for name in ["authorization", "last-event-id"] {
            if let Some(value) = request.headers().get(name) {
                call = call.insert_header((name, value.as_bytes()));
            }
        }
        let result = tokio::time::timeout(FORWARD_TIMEOUT, call.send()).await;
        let Ok(Ok(response)) = result else {
            debug!(target: CALLER, "Node at {address} did not respond in time.");
            continue;
        };
        if response.status() == awc::http::StatusCode::NOT_FOUND {
            continue;
        }
        return Some(relay_response(response));
    }
    None
}

fn relay_response<S>(response: awc::ClientResponse<S>) -> HttpResponse
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let status =
        StatusCode::from_u16(response.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut relayed = HttpResponse::build(status);
    for name in ["content-type", REQUEST_ID_HEADER, "x-run-verdict", "retry-after", "location"] {
        if let Some(value) = response.headers().get(name) {
            relayed.insert_header((name, value.as_bytes()));
        }
    }
    relayed.streaming(response)
}

/// Responds from the work record of a patient request, whose node may no longer exist.
async fn respond_from_record(
    context: &CallerContext,
    id: &RequestId,
    workspace: &WorkspaceName,
    options: ReadOptions,
) -> Result<HttpResponse, CallerError> {
    let read = TableRead { keys: vec![work_key(id)], prefixes: Vec::new() };
    let rows = context.platform.read(&read).await;
    let Ok(rows) = rows else { return Err(CallerError::table_down()) };
    let row: Option<WorkRow> = rows.rows.first().and_then(parse_row);
    let Some(row) = row else { return Err(CallerError::unknown_request(id)) };
    check_workspace(id, &row.workspace, workspace)?;
    match row.state {
        WorkState::Open => Err(CallerError::still_running(id)),
        WorkState::Cancelled | WorkState::Failed => {
            let cancelled = row.state == WorkState::Cancelled;
            let reason = if cancelled { "cancelled" } else { "failed" }.to_owned();
            let retry_after_s = cancelled.then_some(1);
            let failure = RunFailure { reason, verdict: row.verdict, retry_after_s };
            Err(CallerError::from(failure).with_request(id))
        }
        WorkState::Done => {
            let text = load_text(context, &row).await?;
            let completion = parse_completion(&row.path, row.body.as_bytes())?;
            let format = ResponseFormat {
                request: id.clone(),
                model: completion.model.to_string(),
                chat: row.path.contains("chat"),
                prompt_tokens: samphiredeck_core::prefix::count_tokens(&completion.prompt),
            };
            let buffer = std::sync::Arc::new(RunBuffer::new(id.clone(), text, row.tokens));
            buffer.finish(RunState::Complete);
            if options.stream {
                Ok(stream_response(buffer, format, options.offset))
            } else {
                await_response(buffer, format).await
            }
        }
    }
}

async fn load_text(context: &CallerContext, row: &WorkRow) -> Result<String, CallerError> {
    let Some(key) = &row.object else { return Ok(row.text.clone()) };
    let body = context.platform.get_object(key).await;
    let body = body.map_err(|_error| CallerError::table_down())?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Cancels a request of the caller's workspace.
pub async fn cancel_request(
    request: HttpRequest,
    path: web::Path<String>,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    let config = context.config()?;
    let workspace = authenticate(&request, &config)?.name.clone();
    let id: RequestId = path.parse().map_err(|error| CallerError::bad_field("request", error))?;
    let find = |reply| ControlEvent::FindRun { request: id.clone(), reply };
    match context.runs.control.ask(find).await {
        Some(RunLocation::Local { workspace: owner, .. }) => {
            check_workspace(&id, &owner, &workspace)?;
            let cancel = |reply| ControlEvent::Cancel { request: id.clone(), reply };
            let cancelled = context.runs.control.ask(cancel).await.unwrap_or(false);
            Ok(HttpResponse::Ok().json(serde_json::json!({ "cancelled": cancelled })))
        }
        _ => Err(CallerError::unknown_request(&id)),
    }
}
