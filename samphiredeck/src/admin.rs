//! Operators' side of the HTTP server.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use log::info;
use samphiredeck_core::{
    account::AccountTable,
    ids::{ConfigVersion, KeyHash, RequestId},
    platform_api::TableRead,
    rows::{ConfigRow, HISTORY_PREFIX, USAGE_PREFIX, UsageRow},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    caller::{
        CallerTools,
        reply::{CallerError, bearer_key},
    },
    event::{ChangeReply, ChangeRequest, ControlEvent, parse_row},
    logging::ADMIN,
    view::NodeView,
};

/// Bound on another node's answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);
/// Header that marks a question which came through another node already.
const FORWARDED_HEADER: &str = "x-forwarded-node";
/// Largest answer of another node, in bytes.
const VIEW_MAX: usize = 32 * 1_024 * 1_024;
/// Bound on the wait for a change, which is answered before as a rule.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Registers the operators' routes.
pub fn register(config: &mut web::ServiceConfig) {
    config
        .route("/view", web::get().to(view_node))
        .route("/cluster", web::get().to(view_cluster))
        .route("/config", web::get().to(view_config))
        .route("/history", web::get().to(view_history))
        .route("/usage", web::get().to(view_usage))
        .route("/change", web::post().to(change_config))
        .route("/cancel", web::post().to(cancel_request));
}

/// Lets only operators pass.
fn check_operator(request: &HttpRequest, tools: &CallerTools) -> Result<(), CallerError> {
    let key = bearer_key(request).ok_or_else(CallerError::missing_key)?;
    if KeyHash::of(key) == tools.operator_key { Ok(()) } else { Err(CallerError::unknown_key()) }
}

async fn own_view(tools: &CallerTools) -> Result<Box<NodeView>, CallerError> {
    let view = tools.runs.control.ask(ControlEvent::View).await;
    view.ok_or_else(|| crate::handle::ControlHandle::busy().into())
}

async fn view_node(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    Ok(HttpResponse::Ok().json(own_view(&tools).await?))
}

/// Addresses of the other members, by name.
async fn other_members(tools: &CallerTools) -> Result<Vec<(String, String)>, CallerError> {
    let members = tools.runs.control.ask(ControlEvent::Members).await;
    members.ok_or_else(|| crate::handle::ControlHandle::busy().into())
}

/// Shows all nodes, and names those that did not answer.
async fn view_cluster(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let own = own_view(&tools).await?;
    let members = other_members(&tools).await?;
    let key = bearer_key(&request).unwrap_or_default().to_owned();
    let asked = members.into_iter().map(|(name, address)| {
        let call = tools
            .forward
            .get(format!("http://{address}/admin/view"))
            .insert_header(("authorization", format!("Bearer {key}")));
        async move {
            let answer = tokio::time::timeout(NODE_TIMEOUT, async {
                let mut response = call.send().await.ok()?;
                let body = response.body().limit(VIEW_MAX).await.ok()?;
                let success = response.status().is_success();
                success.then(|| serde_json::from_slice::<Value>(&body).ok())?
            });
            (name, answer.await.ok().flatten())
        }
    });
    let answers = futures_util::future::join_all(asked).await;
    let mut nodes = vec![serde_json::to_value(&own).unwrap_or_default()];
    let mut missing = Vec::new();
    for (name, answer) in answers {
        match answer {
            Some(view) => nodes.push(view),
            None => missing.push(name),
        }
    }
    Ok(HttpResponse::Ok().json(json!({ "nodes": nodes, "missing": missing })))
}

async fn view_config(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let config = tools.runs.control.config().ok_or_else(CallerError::unsure)?;
    Ok(HttpResponse::Ok().json(config.row.as_ref()))
}

async fn read_prefix(
    tools: &CallerTools,
    prefix: &str,
) -> Result<samphiredeck_core::platform_api::TableReadResult, CallerError> {
    let read = TableRead { keys: Vec::new(), prefixes: vec![prefix.to_owned()] };
    tools.platform.read(&read).await.map_err(|_error| CallerError::table_down())
}

async fn view_history(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let rows = read_prefix(&tools, HISTORY_PREFIX).await?;
    let history: Vec<ConfigRow> = rows.rows.iter().filter_map(parse_row).collect();
    Ok(HttpResponse::Ok().json(history))
}

/// Adds up the accounts of all runs of all nodes, as far as they are saved.
async fn view_usage(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let rows = read_prefix(&tools, USAGE_PREFIX).await?;
    let mut accounts = AccountTable::default();
    for row in rows.rows.iter().filter_map(parse_row::<UsageRow>) {
        accounts.merge(&row.accounts);
    }
    Ok(HttpResponse::Ok().json(accounts.rows()))
}

/// Change as an operator sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChange {
    declaration: Value,
    #[serde(default)]
    expect: Option<ConfigVersion>,
    author: String,
    #[serde(default)]
    note: String,
}

async fn change_config(
    request: HttpRequest,
    body: web::Bytes,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let raw: RawChange =
        serde_json::from_slice(&body).map_err(|error| CallerError::bad_field("body", error))?;
    let declaration = serde_json::from_value(raw.declaration)
        .map_err(|error| CallerError::bad_field("declaration", error))?;
    info!(target: ADMIN, "{} asks for a change.", raw.author);
    let ask = ChangeRequest { declaration, expect: raw.expect, author: raw.author, note: raw.note };
    let change = tools.runs.control.ask(|reply| ControlEvent::ChangeConfig(Box::new(ask), reply));
    let reply = tokio::time::timeout(CHANGE_TIMEOUT, change).await.ok().flatten();
    // A change whose answer was dropped may still be accepted.
    let reply = reply.unwrap_or(ChangeReply::Unknown { change: String::new() });
    Ok(write_change(&reply))
}

fn write_change(reply: &ChangeReply) -> HttpResponse {
    let mut response = match reply {
        ChangeReply::Accepted { .. } => HttpResponse::Ok(),
        ChangeReply::Conflict { .. } | ChangeReply::Busy { .. } => HttpResponse::Conflict(),
        ChangeReply::Invalid { .. } => HttpResponse::BadRequest(),
        ChangeReply::Unacknowledged { .. } | ChangeReply::TableDown => {
            HttpResponse::ServiceUnavailable()
        }
        ChangeReply::Unknown { .. } => HttpResponse::GatewayTimeout(),
    };
    response.json(reply)
}

/// Request to cancel, as an operator sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCancel {
    request: RequestId,
}

/// Cancels a request on whichever node runs it.
async fn cancel_request(
    request: HttpRequest,
    body: web::Bytes,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &tools)?;
    let raw: RawCancel =
        serde_json::from_slice(&body).map_err(|error| CallerError::bad_field("body", error))?;
    let id = raw.request;
    let cancel = |reply| ControlEvent::Cancel { request: id.clone(), reply };
    if tools.runs.control.ask(cancel).await == Some(true) {
        return Ok(HttpResponse::Ok().json(json!({ "cancelled": true })));
    }
    if request.headers().contains_key(FORWARDED_HEADER) {
        return Err(CallerError::unknown_request(&id));
    }
    let key = bearer_key(&request).unwrap_or_default();
    for (_, address) in other_members(&tools).await? {
        let call = tools
            .forward
            .post(format!("http://{address}/admin/cancel"))
            .insert_header(("authorization", format!("Bearer {key}")))
            .insert_header((FORWARDED_HEADER, "1"))
            .send_body(body.clone());
        let answer = tokio::time::timeout(NODE_TIMEOUT, call).await;
        if answer.is_ok_and(|sent| sent.is_ok_and(|response| response.status().is_success())) {
            return Ok(HttpResponse::Ok().json(json!({ "cancelled": true })));
        }
    }
    Err(CallerError::unknown_request(&id))
}
