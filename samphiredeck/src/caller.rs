//! HTTP API for callers: routes, shared handler context and completion requests.

pub mod claim_lock;
mod claimed_call;
pub mod error;
pub mod request;
pub mod request_lookup;
pub mod response;
pub mod service;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{HttpRequest, HttpResponse, web};
use log::debug;
use samphiredeck_core::{
    claim::digest_call,
    config_change::ConfigInForce,
    declaration::{PriorityClass, Workspace},
    engine_api::REQUEST_ID_HEADER,
    ids::KeyHash,
    prefix::count_tokens,
    units::ByteSize,
};
use serde_json::json;

use self::{
    claim_lock::ClaimLocks,
    error::{CallerError, bearer_key},
    request::{CallerHeaders, CompletionRequest, parse_completion, read_body},
    response::{ResponseFormat, await_response, stream_response},
};
use crate::{
    event::ControlEvent,
    logging::CALLER,
    platform_client::PlatformClient,
    record::{RecordOutcome, WorkRecord},
    run::{RunBuffer, RunSpec, RunState},
    runner::{RunContext, RunTask},
};

/// Fraction of the first-token target within which an urgent request must be placed. The rest is
/// left for processing the prompt.
const URGENT_PLACE_FRACTION: f64 = 0.35;
/// Maximum attempts when the declaration changes while a request is being checked.
const CONFIG_ATTEMPTS_MAX: u32 = 3;

/// State shared by the handlers of one HTTP worker thread.
#[derive(Clone)]
pub struct CallerContext {
    /// Context for runs.
    pub runs: RunContext,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client for forwarding requests to other nodes.
    pub peer_client: awc::Client,
    /// Locks on idempotency keys whose claims are being written.
    pub claim_locks: ClaimLocks,
    /// Maximum size of a request body.
    pub body_limit: ByteSize,
    /// Hash of the operator API key.
    pub operator_key: KeyHash,
}

/// Registers all routes.
pub fn register(config: &mut web::ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(ready))
        .route("/v1/models", web::get().to(list_models))
        .route("/v1/chat/completions", web::post().to(generate))
        .route("/v1/completions", web::post().to(generate))
        .route("/v1/requests/{id}", web::get().to(request_lookup::read_request))
        .route("/v1/requests/{id}", web::delete().to(request_lookup::cancel_request))
        .default_service(web::route().to(service::call_service));
}

/// Liveness probe.
async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "status": "alive" }))
}

/// Readiness probe for the load balancer.
async fn ready(context: web::Data<CallerContext>) -> HttpResponse {
    if context.runs.control.ask(ControlEvent::IsReady).await == Some(true) {
        HttpResponse::Ok().json(json!({ "status": "ready" }))
    } else {
        HttpResponse::ServiceUnavailable().json(json!({ "status": "not-ready" }))
    }
}

impl CallerContext {
    /// Returns the configuration in force.
    fn config(&self) -> Result<Arc<ConfigInForce>, CallerError> {
        self.runs.control.config().ok_or_else(CallerError::config_unconfirmed)
    }
}

/// Returns the workspace that owns the caller's bearer key.
fn authenticate<'a>(
    request: &HttpRequest,
    config: &'a ConfigInForce,
) -> Result<&'a Workspace, CallerError> {
    let key = bearer_key(request).ok_or_else(CallerError::missing_key)?;
    let workspace = config.declaration.authenticate(KeyHash::of(key));
    workspace.ok_or_else(CallerError::unknown_key)
}

/// Lists the models available to the caller's workspace.
async fn list_models(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    let config = context.config()?;
    let workspace = authenticate(&request, &config)?;
    let data: Vec<_> = workspace
        .models
        .iter()
        .map(|model| json!({ "id": model, "object": "model", "owned_by": "samphiredeck" }))
        .collect();
    Ok(HttpResponse::Ok().json(json!({ "object": "list", "data": data })))
}

/// Handles a chat completion or text completion request.
async fn generate(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> Result<HttpResponse, CallerError> {
    let arrived_at = Instant::now();
    // Authenticates before reading the body, so that unauthenticated callers can't make the node
    // read one.
    authenticate(&request, &*context.config()?)?;
    let headers = CallerHeaders::try_from(&request)?;
    let body = read_body(payload, context.body_limit).await?;
    let completion = parse_completion(request.path(), &body)?;
    let mut attempts = 0;
    loop {
        let config = context.config()?;
        let workspace = authenticate(&request, &config)?;
        let spec = build_spec(&context, &config, workspace, &completion, &headers, arrived_at)?;
        let spec = RunSpec {
            path: request.path().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
            ..spec
        };
        attempts += 1;
        match start_run(&context, spec, &headers, &body).await {
            Err(error) if error.is_config_stale() && attempts < CONFIG_ATTEMPTS_MAX => {
                debug!(target: CALLER, "Declaration changed during the check; checking again.");
            }
            Err(error) => return Err(error),
            Ok(started) => return respond(started, &completion, request.path()).await,
        }
    }
}

/// Validates a request against the declaration and builds its run specification.
fn build_spec(
    context: &CallerContext,
    config: &ConfigInForce,
    workspace: &Workspace,
    completion: &CompletionRequest,
    headers: &CallerHeaders,
    arrived_at: Instant,
) -> Result<RunSpec, CallerError> {
    let model = config
        .declaration
        .model(&completion.model)
        .filter(|_| workspace.may_call_model(&completion.model));
    let Some(model) = model else { return Err(CallerError::unknown_model(&completion.model)) };
    let class = headers.class;
    let target = workspace.targets[class.index()];
    // Default queueing time by class. Callers that prefer waiting over retrying send a deadline.
    let place_within = match class {
        PriorityClass::Urgent => target.first_token.mul_f64(URGENT_PLACE_FRACTION),
        PriorityClass::Prompt => target.first_token * 10,
        PriorityClass::Patient => Duration::from_secs(86_400),
    };
    let ticket = context.runs.control.next_ticket();
    Ok(RunSpec {
        request: context.runs.control.request_id(ticket),
        workspace: workspace.name.clone(),
        version: config.row.version,
        class,
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens.min(model.max_output.0),
        path: String::new(),
        body: String::new(),
        place_by: arrived_at + headers.deadline.unwrap_or(place_within),
        arrived_at,
        accepted: false,
        preferred_upstream: None,
    })
}

/// Result of starting a run.
enum StartedRun {
    /// The run was started on this node.
    Local { spec: Box<RunSpec>, buffer: Arc<RunBuffer> },
    /// The idempotency key already belongs to this request.
    Existing(samphiredeck_core::ids::RequestId),
}

/// Starts a run and waits until it is accepted or has failed.
async fn start_run(
    context: &CallerContext,
    spec: RunSpec,
    headers: &CallerHeaders,
    body: &[u8],
) -> Result<StartedRun, CallerError> {
    let mut spec = spec;
    let mut record = None;
    if spec.class == PriorityClass::Patient {
        check_patient(context, &spec).await?;
        let digest = digest_call("POST", &spec.path, body);
        let key = headers.idempotency_key.as_deref().map(|key| (key, digest));
        let outcome =
            WorkRecord::create(&spec, key, &context.runs.control, context.platform.clone()).await;
        match outcome {
            RecordOutcome::Recorded(recorded) => record = Some(*recorded),
            RecordOutcome::Duplicate(request) => return Ok(StartedRun::Existing(request)),
            RecordOutcome::KeyReused => return Err(CallerError::key_reused()),
            RecordOutcome::NotRecorded => return Err(CallerError::table_down()),
        }
        spec.accepted = true;
    }
    let buffer = Arc::new(RunBuffer::new(spec.request.clone(), String::new(), 0));
    if spec.accepted {
        buffer.accept();
    }
    let mut changes = buffer.attach();
    let ticket = context.runs.control.next_ticket();
    let task =
        RunTask::new(context.runs.clone(), spec.clone(), ticket, Arc::clone(&buffer), record);
    actix_web::rt::spawn(task.run());
    while !buffer.is_accepted() && buffer.state() == RunState::Open {
        if changes.changed().await.is_err() {
            break;
        }
    }
    // The response handler attaches its own reader.
    buffer.detach(Instant::now());
    match buffer.state() {
        RunState::Failed(failure) if !buffer.is_accepted() => Err(failure.into()),
        _ => Ok(StartedRun::Local { spec: Box::new(spec), buffer }),
    }
}

async fn check_patient(context: &CallerContext, spec: &RunSpec) -> Result<(), CallerError> {
    let (workspace, version) = (spec.workspace.clone(), spec.version);
    let event = |reply| ControlEvent::CheckPatient { workspace, version, reply };
    let result = context.runs.control.ask(event).await;
    match result {
        Some(Ok(())) => Ok(()),
        Some(Err(refusal)) => Err(refusal.into()),
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

async fn respond(
    started: StartedRun,
    completion: &CompletionRequest,
    path: &str,
) -> Result<HttpResponse, CallerError> {
    match started {
        StartedRun::Existing(request) => Ok(HttpResponse::SeeOther()
            .insert_header(("location", format!("/v1/requests/{request}")))
            .insert_header((REQUEST_ID_HEADER, request.to_string()))
            .json(json!({ "id": request }))),
        StartedRun::Local { spec, buffer } => {
            let format = ResponseFormat {
                request: spec.request.clone(),
                model: spec.model.to_string(),
                chat: path.contains("chat"),
                prompt_tokens: count_tokens(&spec.prompt),
            };
            if completion.stream {
                Ok(stream_response(buffer, format, 0))
            } else {
                await_response(buffer, format).await
            }
        }
    }
}
