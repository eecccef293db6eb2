//! HTTP API for operators, below `/admin`.

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
        CallerContext,
        error::{CallerError, bearer_key},
    },
    event::{ChangeReply, ChangeRequest, ControlEvent, parse_row},
    logging::ADMIN,
    view::NodeView,
};

/// Timeout of a request to another node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);
/// Header that marks a request as forwarded by another node, so that it is not forwarded again.
const FORWARDED_HEADER: &str = "x-forwarded-node";
/// Maximum size of another node's view, in bytes.
const VIEW_MAX_BYTES: usize = 32 * 1_024 * 1_024;
/// Timeout of a configuration change. The control thread normally replies earlier.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Registers the routes of the operator API.
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

/// Rejects requests without the operator key.
fn check_operator(request: &HttpRequest, context: &CallerContext) -> Result<(), CallerError> {
    let key = bearer_key(request).ok_or_else(CallerError::missing_key)?;
    if KeyHash::of(key) == context.operator_key { Ok(()) } else { Err(CallerError::unknown_key()) }
}

async fn local_view(context: &CallerContext) -> Result<Box<NodeView>, CallerError> {
    let view = context.runs.control.ask(ControlEvent::View).await;
    view.ok_or_else(|| crate::handle::ControlHandle::busy().into())
}

async fn view_node(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    Ok(HttpResponse::Ok().json(local_view(&context).await?))
}

/// Returns the name and caller address of each other member.
async fn other_members(context: &CallerContext) -> Result<Vec<(String, String)>, CallerError> {
    let members = context.runs.control.ask(ControlEvent::Members).await;
    members.ok_or_else(|| crate::handle::ControlHandle::busy().into())
}

/// Returns the views of all nodes, and the names of the nodes that did not respond.
async fn view_cluster(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let own = local_view(&context).await?;
    let members = other_members(&context).await?;
    let key = bearer_key(&request).unwrap_or_default().to_owned();
    let queries = members.into_iter().map(|(name, address)| {
        let call = context
            .peer_client
            .get(format!("http://{address}/admin/view"))
            .insert_header(("authorization", format!("Bearer {key}")));
        async move {
            let reply = tokio::time::timeout(NODE_TIMEOUT, async {
                let mut response = call.send().await.ok()?;
                let body = response.body().limit(VIEW_MAX_BYTES).await.ok()?;
                let success = response.status().is_success();
                success.then(|| serde_json::from_slice::<Value>(&body).ok())?
            });
            (name, reply.await.ok().flatten())
        }
    });
    let views = futures_util::future::join_all(queries).await;
    let mut nodes = vec![serde_json::to_value(&own).unwrap_or_default()];
    let mut missing = Vec::new();
    for (name, view) in views {
        match view {
            Some(view) => nodes.push(view),
            None => missing.push(name),
        }
    }
    Ok(HttpResponse::Ok().json(json!({ "nodes": nodes, "missing": missing })))
}

async fn view_config(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let config = context.runs.control.config().ok_or_else(CallerError::config_unconfirmed)?;
    Ok(HttpResponse::Ok().json(config.row.as_ref()))
}

async fn read_prefix(
    context: &CallerContext,
    prefix: &str,
) -> Result<samphiredeck_core::platform_api::TableReadResult, CallerError> {
    let read = TableRead { keys: Vec::new(), prefixes: vec![prefix.to_owned()] };
    context.platform.read(&read).await.map_err(|_error| CallerError::table_down())
}

async fn view_history(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let rows = read_prefix(&context, HISTORY_PREFIX).await?;
    let history: Vec<ConfigRow> = rows.rows.iter().filter_map(parse_row).collect();
    Ok(HttpResponse::Ok().json(history))
}

/// Sums the persisted usage rows of all incarnations of all nodes.
async fn view_usage(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let rows = read_prefix(&context, USAGE_PREFIX).await?;
    let mut accounts = AccountTable::default();
    for row in rows.rows.iter().filter_map(parse_row::<UsageRow>) {
        accounts.merge(&row.accounts);
    }
    Ok(HttpResponse::Ok().json(accounts.rows()))
}

/// Body of a change request.
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
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let raw: RawChange =
        serde_json::from_slice(&body).map_err(|error| CallerError::bad_field("body", error))?;
    let declaration = serde_json::from_value(raw.declaration)
        .map_err(|error| CallerError::bad_field("declaration", error))?;
    info!(target: ADMIN, "Configuration change requested by {}.", raw.author);
    let change_request =
        ChangeRequest { declaration, expect: raw.expect, author: raw.author, note: raw.note };
    let change = context
        .runs
        .control
        .ask(|reply| ControlEvent::ChangeConfig(Box::new(change_request), reply));
    let reply = tokio::time::timeout(CHANGE_TIMEOUT, change).await.ok().flatten();
    // Without a reply, the change may still be accepted.
    let reply = reply.unwrap_or(ChangeReply::Unknown { change: String::new() });
    Ok(change_response(&reply))
}

fn change_response(reply: &ChangeReply) -> HttpResponse {
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

/// Body of a cancel request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCancel {
    request: RequestId,
}

/// Cancels a request on whichever node runs it.
async fn cancel_request(
    request: HttpRequest,
    body: web::Bytes,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    check_operator(&request, &context)?;
    let raw: RawCancel =
        serde_json::from_slice(&body).map_err(|error| CallerError::bad_field("body", error))?;
    let id = raw.request;
    let cancel = |reply| ControlEvent::Cancel { request: id.clone(), reply };
    if context.runs.control.ask(cancel).await == Some(true) {
        return Ok(HttpResponse::Ok().json(json!({ "cancelled": true })));
    }
    if request.headers().contains_key(FORWARDED_HEADER) {
        return Err(CallerError::unknown_request(&id));
    }
    let key = bearer_key(&request).unwrap_or_default();
    for (_, address) in other_members(&context).await? {
        let call = context
            .peer_client
            .post(format!("http://{address}/admin/cancel"))
            .insert_header(("authorization", format!("Bearer {key}")))
            .insert_header((FORWARDED_HEADER, "1"))
            .send_body(body.clone());
        let result = tokio::time::timeout(NODE_TIMEOUT, call).await;
        if result.is_ok_and(|sent| sent.is_ok_and(|response| response.status().is_success())) {
            return Ok(HttpResponse::Ok().json(json!({ "cancelled": true })));
        }
    }
    Err(CallerError::unknown_request(&id))
}
