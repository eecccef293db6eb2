//! Simulated model engine with batching, a prefix cache, priorities, resumable streams and KV cache
//! transfer.

mod cache;
mod model;
mod options;
mod wrong_rest;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream::unfold;
use samphiredeck_core::{
    declaration::PriorityClass,
    engine_api::{
        EngineAction, EngineCommand, EngineEvent, GenerateRequest, KvExport, PRIORITY_HEADER,
        REQUEST_ID_HEADER, RESUME_OFFSET_HEADER, RUN_VERDICT_HEADER,
    },
    ids::{ModelName, RequestId},
    verdict::RunVerdict,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use self::model::{EngineState, StreamRequest};
pub use self::{
    options::{EngineOptions, EngineStats},
    wrong_rest::WrongRest,
};

/// Interval between two steps of the batch.
const STEP_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes of exported KV cache per token. A real cache has far more.
const EXPORT_BYTES_PER_TOKEN: usize = 4;

/// Injected faults of the engine. Each counter applies to that many of the next streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Number of streams that return events of another request.
    #[serde(rename = "crossed")]
    pub wrong_request: u32,
    /// Number of streams that break off after `truncate_after` tokens.
    #[serde(rename = "cut")]
    pub truncated: u32,
    /// Tokens after which a truncated stream breaks off.
    #[serde(rename = "cut_after")]
    pub truncate_after: u64,
    /// Number of streams that end without the end event.
    #[serde(rename = "no_end")]
    pub missing_end: u32,
    /// Number of streams that send every event twice.
    #[serde(rename = "doubled")]
    pub duplicated: u32,
    /// Number of streams that stop sending events after a few tokens, without closing.
    pub silent: u32,
    /// Number of streams that are run and answered with a refusal which names no request, as one of an earlier
    /// request that is written again.
    pub unnamed_refusals: u32,
    /// Responses to the next requests to go on with a stream, in place of its rest. The last one comes first.
    pub wrong_rests: Vec<WrongRest>,
    /// Whether the test has reclaimed the engine. Starts the clock of `last_new_after_leaving_ms`.
    pub leaving: bool,
    /// Whether a leaving engine reports in its load that it is leaving.
    pub announce: bool,
    /// Milliseconds until the process exits.
    pub die_after_ms: Option<u64>,
    /// Text of prompts on which the process exits when it begins to run them. Ignored if empty.
    pub deadly_text: String,
}

/// Engine state shared by the handlers.
type SharedState = web::Data<Arc<Mutex<EngineState>>>;

fn lock(state: &Mutex<EngineState>) -> MutexGuard<'_, EngineState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn refuse(request: Option<&RequestId>, verdict: RunVerdict, reason: &str) -> HttpResponse {
    let mut response = HttpResponse::ServiceUnavailable();
    if let Some(request) = request {
        response.insert_header((REQUEST_ID_HEADER, request.to_string()));
    }
    response.insert_header((RUN_VERDICT_HEADER, verdict.to_string())).body(reason.to_owned())
}

fn header_text(request: &HttpRequest, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

async fn generate(
    request: HttpRequest,
    body: web::Json<GenerateRequest>,
    state: SharedState,
) -> HttpResponse {
    let id = header_text(&request, REQUEST_ID_HEADER).and_then(|text| text.parse().ok());
    let Some(id): Option<RequestId> = id else {
        return HttpResponse::BadRequest().body("no request id");
    };
    let class = header_text(&request, PRIORITY_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(PriorityClass::Prompt);
    let offset = header_text(&request, RESUME_OFFSET_HEADER).and_then(|text| text.parse().ok());
    let delay = lock(&state).options().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if lock(&state).is_deadly(&body) {
        std::process::exit(0);
    }
    if offset.is_some_and(|offset| offset > 0)
        && let Some(wrong_rest) = lock(&state).take_wrong_rest()
    {
        return wrong_rest.respond(&id);
    }
    let (sender, receiver) = mpsc::unbounded_channel();
    let stream_request =
        StreamRequest { request: id.clone(), class, offset, body: body.into_inner(), sender };
    let accepted = lock(&state).accept(stream_request, Instant::now());
    if let Err(reason) = accepted {
        return refuse(Some(&id), RunVerdict::NotRun, reason);
    }
    if lock(&state).takes_unnamed_refusal() {
        return refuse(None, RunVerdict::NotRun, "busy");
    }
    let events = unfold(receiver, |mut receiver| async move {
        let event: Option<EngineEvent> = receiver.recv().await?;
        // The channel carries `None` when a fault truncates the stream.
        let text = serde_json::to_string(&event?).ok()?;
        Some((Ok::<_, actix_web::Error>(Bytes::from(format!("data: {text}\n\n"))), receiver))
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, id.to_string()))
        .insert_header(("content-type", "text/event-stream"))
        .streaming(events)
}

async fn cancel(path: web::Path<String>, state: SharedState) -> HttpResponse {
    if let Ok(id) = path.parse() {
        lock(&state).cancel(&id);
    }
    HttpResponse::Ok().finish()
}

/// Query parameters of `/report`.
#[derive(Debug, Deserialize)]
struct ReportQuery {
    from: u64,
}

async fn report(query: web::Query<ReportQuery>, state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).report(query.from, Instant::now()))
}

async fn export_cache(path: web::Path<String>, state: SharedState) -> HttpResponse {
    let exported = path.parse().ok().and_then(|id: RequestId| {
        let (model, tokens) = lock(&state).export(&id)?;
        Some((id, model, tokens))
    });
    let Some((request, model, tokens)) = exported else {
        return HttpResponse::NotFound().finish();
    };
    simulate_transfer(&state, tokens).await;
    let length = usize::try_from(tokens).unwrap_or(0) * EXPORT_BYTES_PER_TOKEN;
    HttpResponse::Ok().json(KvExport { request, model, tokens, data: "k".repeat(length) })
}

async fn simulate_transfer(state: &SharedState, tokens: u64) {
    let rate = lock(state).options().move_rate.max(1);
    tokio::time::sleep(Duration::from_millis(tokens * 1_000 / rate)).await;
}

async fn import_cache(body: web::Json<KvExport>, state: SharedState) -> HttpResponse {
    lock(&state).import(&body);
    HttpResponse::Ok().finish()
}

async fn handle_order(body: web::Json<EngineCommand>, state: SharedState) -> HttpResponse {
    let load_time = {
        let mut state = lock(&state);
        if !state.check_fence(body.fence) {
            return HttpResponse::Conflict()
                .insert_header((RUN_VERDICT_HEADER, RunVerdict::NotRun.to_string()))
                .body("old fencing number");
        }
        state.options().load_time
    };
    tokio::time::sleep(load_time).await;
    let mut state = lock(&state);
    match &body.action {
        EngineAction::Load { model, .. } => state.load_model(model.clone()),
        EngineAction::Unload { model } => state.unload_model(model),
    }
    HttpResponse::Ok().finish()
}

async fn set_faults(body: web::Json<EngineFaults>, state: SharedState) -> HttpResponse {
    if let Some(delay_ms) = body.die_after_ms {
        actix_web::rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            std::process::exit(0);
        });
    }
    lock(&state).set_faults(body.into_inner(), Instant::now());
    HttpResponse::Ok().finish()
}

async fn view_stats(state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).stats())
}

/// Serves an engine on `listener` until the process exits.
///
/// # Errors
///
/// Returns an error if the server can't run.
pub async fn serve(
    listener: TcpListener,
    options: EngineOptions,
    models: Vec<ModelName>,
) -> io::Result<()> {
    let shared = Arc::new(Mutex::new(EngineState::new(options, models, Instant::now())));
    let stepped_state = Arc::clone(&shared);
    actix_web::rt::spawn(async move {
        let mut ticker = tokio::time::interval(STEP_INTERVAL);
        loop {
            ticker.tick().await;
            lock(&stepped_state).step(Instant::now());
        }
    });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Arc::clone(&shared)))
            .app_data(web::JsonConfig::default().limit(64 * 1_024 * 1_024))
            .route("/generate", web::post().to(generate))
            .route("/requests/{id}/cancel", web::post().to(cancel))
            .route("/report", web::get().to(report))
            .route("/kv/{id}/export", web::post().to(export_cache))
            .route("/kv", web::post().to(import_cache))
            .route("/orders", web::post().to(handle_order))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/stats", web::get().to(view_stats))
    });
    server.workers(1).tcp_nodelay(true).listen(listener)?.run().await
}
