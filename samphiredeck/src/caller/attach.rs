//! Requests that a caller comes back to by their id, at any node.

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
    CallerTools,
    answer::{StreamFormat, answer_stream, answer_whole},
    authenticate,
    reply::CallerError,
    request::parse_prompt,
};
use crate::{
    event::{ControlEvent, RunLocation, parse_row},
    logging::CALLER,
    run::{RunBuffer, RunFailure, RunState},
};

/// Header that marks a question which came through another node already.
const FORWARDED_HEADER: &str = "x-forwarded-node";
/// Bound on the head of another node's answer.
const FORWARD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// How the caller wants the answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadOptions {
    /// Bytes of the answer's text that the caller has.
    offset: usize,
    /// Whether the answer is streamed.
    stream: bool,
}

/// Returns or streams the answer to a request that was accepted before.
pub async fn read_request(
    request: HttpRequest,
    path: web::Path<String>,
    options: web::Query<ReadOptions>,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    let config = tools.config()?;
    let workspace = authenticate(&request, &config)?.name.clone();
    let id: RequestId = path.parse().map_err(|error| CallerError::bad_field("request", error))?;
    let mut options = options.into_inner();
    if let Some(last) = request.headers().get("last-event-id") {
        let offset = last.to_str().ok().and_then(|text| text.parse().ok());
        options.offset = offset
            .ok_or_else(|| CallerError::bad_field("last-event-id", "is not a whole number"))?;
        options.stream = true;
    }
    let find = |reply| ControlEvent::FindRun { request: id.clone(), reply };
    match tools.runs.control.ask(find).await {
        Some(RunLocation::Local { buffer, workspace: owner }) => {
            check_owner(&id, &owner, &workspace)?;
            serve(buffer, &id, options).await
        }
        Some(RunLocation::Remote { addresses }) => {
            if request.headers().contains_key(FORWARDED_HEADER) {
                return Err(CallerError::unknown_request(&id));
            }
            if let Some(answer) = ask_nodes(&tools, &request, &addresses).await {
                return Ok(answer);
            }
            read_record(&tools, &id, &workspace, options).await
        }
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

/// A request of another workspace is as unknown as one that never was.
fn check_owner(
    id: &RequestId,
    owner: &WorkspaceName,
    workspace: &WorkspaceName,
) -> Result<(), CallerError> {
    if owner == workspace { Ok(()) } else { Err(CallerError::unknown_request(id)) }
}

async fn serve(
    buffer: std::sync::Arc<RunBuffer>,
    id: &RequestId,
    options: ReadOptions,
) -> Result<HttpResponse, CallerError> {
    let format =
        StreamFormat { request: id.clone(), model: String::new(), chat: true, prompt_tokens: 0 };
    if options.stream {
        return Ok(answer_stream(buffer, format, options.offset));
    }
    answer_whole(buffer, format).await
}

/// Asks other nodes, likeliest first, and passes the answer of the one that knows on.
async fn ask_nodes(
    tools: &CallerTools,
    request: &HttpRequest,
    addresses: &[String],
) -> Option<HttpResponse> {
    for address in addresses {
        let url = format!("http://{address}{}", request.uri());
        let mut call = tools.forward.get(url).insert_header((FORWARDED_HEADER, "1"));
        for name in ["authorization", "last-event-id"] {
            if let Some(value) = request.headers().get(name) {
                call = call.insert_header((name, value.as_bytes()));
            }
        }
        let answer = tokio::time::timeout(FORWARD_TIMEOUT, call.send()).await;
        let Ok(Ok(response)) = answer else {
            debug!(target: CALLER, "Node at {address} does not answer.");
            continue;
        };
        if response.status() == awc::http::StatusCode::NOT_FOUND {
            continue;
        }
        return Some(pass_on(response));
    }
    None
}

fn pass_on<S>(response: awc::ClientResponse<S>) -> HttpResponse
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin
        + 'static,
{
    let status =
        StatusCode::from_u16(response.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = HttpResponse::build(status);
    for name in ["content-type", REQUEST_ID_HEADER, "x-run-verdict", "retry-after", "location"] {
        if let Some(value) = response.headers().get(name) {
            answer.insert_header((name, value.as_bytes()));
        }
    }
    answer.streaming(response)
}

/// Answers from the record of patient work, whose owner may be gone.
async fn read_record(
    tools: &CallerTools,
    id: &RequestId,
    workspace: &WorkspaceName,
    options: ReadOptions,
) -> Result<HttpResponse, CallerError> {
    let read = TableRead { keys: vec![work_key(id)], prefixes: Vec::new() };
    let rows = tools.platform.read(&read).await;
    let Ok(rows) = rows else { return Err(CallerError::table_down()) };
    let row: Option<WorkRow> = rows.rows.first().and_then(parse_row);
    let Some(row) = row else { return Err(CallerError::unknown_request(id)) };
    check_owner(id, &row.workspace, workspace)?;
    match row.state {
        WorkState::Open => Err(CallerError::still_running(id)),
        WorkState::Cancelled | WorkState::Failed => {
            let reason = "cancelled".to_owned();
            let failure = RunFailure { reason, verdict: row.verdict, retry_after_s: 1 };
            Err(CallerError::from(failure).about(id))
        }
        WorkState::Done => {
            let text = load_text(tools, &row).await?;
            let asked = parse_prompt(&row.path, row.body.as_bytes())?;
            let format = StreamFormat {
                request: id.clone(),
                model: asked.model.to_string(),
                chat: row.path.contains("chat"),
                prompt_tokens: samphiredeck_core::prefix::count_tokens(&asked.prompt),
            };
            let buffer = std::sync::Arc::new(RunBuffer::new(id.clone(), text, row.tokens));
            buffer.finish(RunState::Complete);
            if options.stream {
                Ok(answer_stream(buffer, format, options.offset))
            } else {
                answer_whole(buffer, format).await
            }
        }
    }
}

async fn load_text(tools: &CallerTools, row: &WorkRow) -> Result<String, CallerError> {
    let Some(key) = &row.object else { return Ok(row.text.clone()) };
    let body = tools.platform.get_object(key).await;
    let body = body.map_err(|_error| CallerError::table_down())?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Cancels a request of the caller's workspace.
pub async fn cancel_request(
    request: HttpRequest,
    path: web::Path<String>,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    let config = tools.config()?;
    let workspace = authenticate(&request, &config)?.name.clone();
    let id: RequestId = path.parse().map_err(|error| CallerError::bad_field("request", error))?;
    let find = |reply| ControlEvent::FindRun { request: id.clone(), reply };
    match tools.runs.control.ask(find).await {
        Some(RunLocation::Local { workspace: owner, .. }) => {
            check_owner(&id, &owner, &workspace)?;
            let cancel = |reply| ControlEvent::Cancel { request: id.clone(), reply };
            let cancelled = tools.runs.control.ask(cancel).await.unwrap_or(false);
            Ok(HttpResponse::Ok().json(serde_json::json!({ "cancelled": cancelled })))
        }
        _ => Err(CallerError::unknown_request(&id)),
    }
}
