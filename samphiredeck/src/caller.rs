//! Caller side: routes of the HTTP server and what its handlers share.

pub mod answer;
pub mod attach;
pub mod reply;
pub mod request;
pub mod service;
pub mod turns;

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
    answer::{StreamFormat, answer_stream, answer_whole},
    reply::{CallerError, bearer_key},
    request::{CallerHeaders, PromptAsk, parse_prompt, read_body},
    turns::ClaimTurns,
};
use crate::{
    event::ControlEvent,
    logging::CALLER,
    platform_client::PlatformClient,
    record::{RecordOutcome, WorkRecord},
    run::{RunBuffer, RunSpec, RunState},
    runner::{RunTask, RunTools},
    service_client::ServiceClient,
};

/// Share of the first token's target within which an urgent request must have been placed, so that
/// the rest is left for its prompt.
const URGENT_PATIENCE: f64 = 0.35;
/// Tries against a declaration that changes meanwhile.
const STALE_TRIES: u32 = 3;

/// What the handlers of one traffic thread share.
#[derive(Clone)]
pub struct CallerTools {
    /// For runs.
    pub runs: RunTools,
    /// The platform.
    pub platform: PlatformClient,
    /// The plain services.
    pub services: ServiceClient,
    /// For answers that are at another node.
    pub forward: awc::Client,
    /// Calls that claim their key now.
    pub turns: ClaimTurns,
    /// Largest body.
    pub body_limit: ByteSize,
    /// Hash of the operators' key.
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
        .route("/v1/requests/{id}", web::get().to(attach::read_request))
        .route("/v1/requests/{id}", web::delete().to(attach::cancel_request))
        .default_service(web::route().to(service::call_service));
}

/// Says that the process lives.
async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "status": "alive" }))
}

/// Says whether the balancer may send new callers.
async fn ready(tools: web::Data<CallerTools>) -> HttpResponse {
    if tools.runs.control.ask(ControlEvent::IsReady).await == Some(true) {
        HttpResponse::Ok().json(json!({ "status": "ready" }))
    } else {
        HttpResponse::ServiceUnavailable().json(json!({ "status": "not-ready" }))
    }
}

impl CallerTools {
    /// Finds the declaration in force.
    fn config(&self) -> Result<Arc<ConfigInForce>, CallerError> {
        self.runs.control.config().ok_or_else(CallerError::unsure)
    }
}

/// Finds the workspace that the caller's key belongs to.
fn authenticate<'a>(
    request: &HttpRequest,
    config: &'a ConfigInForce,
) -> Result<&'a Workspace, CallerError> {
    let key = bearer_key(request).ok_or_else(CallerError::missing_key)?;
    let found = config.declaration.authenticate(KeyHash::of(key));
    found.ok_or_else(CallerError::unknown_key)
}

/// Lists the models that the caller may use.
async fn list_models(
    request: HttpRequest,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    let config = tools.config()?;
    let workspace = authenticate(&request, &config)?;
    let data: Vec<_> = workspace
        .models
        .iter()
        .map(|model| json!({ "id": model, "object": "model", "owned_by": "samphiredeck" }))
        .collect();
    Ok(HttpResponse::Ok().json(json!({ "object": "list", "data": data })))
}

/// Answers a chat or a completion.
async fn generate(
    request: HttpRequest,
    payload: web::Payload,
    tools: web::Data<CallerTools>,
) -> Result<HttpResponse, CallerError> {
    let arrived_at = Instant::now();
    // The key is looked at before the body, so that nobody unknown makes the node read one.
    authenticate(&request, &*tools.config()?)?;
    let headers = CallerHeaders::try_from(&request)?;
    let body = read_body(payload, tools.body_limit).await?;
    let ask = parse_prompt(request.path(), &body)?;
    let mut tries = 0;
    loop {
        let config = tools.config()?;
        let workspace = authenticate(&request, &config)?;
        let spec = build_spec(&tools, &config, workspace, &ask, &headers, arrived_at)?;
        let spec = RunSpec {
            path: request.path().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
            ..spec
        };
        tries += 1;
        match start_run(&tools, spec, &headers, &body).await {
            Err(error) if error.is_stale() && tries < STALE_TRIES => {
                debug!(target: CALLER, "The declaration changed, checking once more.");
            }
            Err(error) => return Err(error),
            Ok(started) => return respond(started, &ask, request.path()).await,
        }
    }
}

/// Checks a request against the declaration.
fn build_spec(
    tools: &CallerTools,
    config: &ConfigInForce,
    workspace: &Workspace,
    ask: &PromptAsk,
    headers: &CallerHeaders,
    arrived_at: Instant,
) -> Result<RunSpec, CallerError> {
    let model =
        config.declaration.model(&ask.model).filter(|_| workspace.may_call_model(&ask.model));
    let Some(model) = model else { return Err(CallerError::unknown_model(&ask.model)) };
    let class = headers.class;
    let target = workspace.targets[class.index()];
    // A caller that would rather wait than come back says so with a deadline.
    let patience = match class {
        PriorityClass::Urgent => target.first_token.mul_f64(URGENT_PATIENCE),
        PriorityClass::Prompt => target.first_token * 10,
        PriorityClass::Patient => Duration::from_secs(86_400),
    };
    let ticket = tools.runs.control.next_ticket();
    Ok(RunSpec {
        request: tools.runs.control.request_id(ticket),
        workspace: workspace.name.clone(),
        version: config.row.version,
        class,
        model: ask.model.clone(),
        prompt: ask.prompt.clone(),
        max_tokens: ask.max_tokens.min(model.max_output.0),
        path: String::new(),
        body: String::new(),
        place_by: arrived_at + headers.deadline.unwrap_or(patience),
        arrived_at,
        accepted: false,
        preferred_upstream: None,
    })
}

/// Run that was started for a caller, or found to exist already.
enum StartedRun {
    /// It runs here.
    Here { spec: Box<RunSpec>, buffer: Arc<RunBuffer> },
    /// The idempotency key belongs to this request.
    Known(samphiredeck_core::ids::RequestId),
}

/// Starts a run and waits until it is accepted.
async fn start_run(
    tools: &CallerTools,
    spec: RunSpec,
    headers: &CallerHeaders,
    body: &[u8],
) -> Result<StartedRun, CallerError> {
    let mut spec = spec;
    let mut record = None;
    if spec.class == PriorityClass::Patient {
        check_patient(tools, &spec).await?;
        let digest = digest_call("POST", &spec.path, body);
        let key = headers.idempotency_key.as_deref().map(|key| (key, digest));
        let outcome =
            WorkRecord::create(&spec, key, &tools.runs.control, tools.platform.clone()).await;
        match outcome {
            RecordOutcome::Recorded(recorded) => record = Some(*recorded),
            RecordOutcome::Duplicate(request) => return Ok(StartedRun::Known(request)),
            RecordOutcome::KeyConflict => return Err(CallerError::other_call()),
            RecordOutcome::NotRecorded => return Err(CallerError::table_down()),
        }
        spec.accepted = true;
    }
    let buffer = Arc::new(RunBuffer::new(spec.request.clone(), String::new(), 0));
    if spec.accepted {
        buffer.accept();
    }
    let mut changes = buffer.attach();
    let ticket = tools.runs.control.next_ticket();
    let task = RunTask::new(tools.runs.clone(), spec.clone(), ticket, Arc::clone(&buffer), record);
    actix_web::rt::spawn(task.drive());
    while !buffer.is_accepted() && buffer.state() == RunState::Open {
        if changes.changed().await.is_err() {
            break;
        }
    }
    // The answer attaches for itself.
    buffer.detach(Instant::now());
    match buffer.state() {
        RunState::Failed(failure) if !buffer.is_accepted() => Err(failure.into()),
        _ => Ok(StartedRun::Here { spec: Box::new(spec), buffer }),
    }
}

async fn check_patient(tools: &CallerTools, spec: &RunSpec) -> Result<(), CallerError> {
    let (workspace, version) = (spec.workspace.clone(), spec.version);
    let ask = |reply| ControlEvent::CheckPatient { workspace, version, reply };
    let checked = tools.runs.control.ask(ask).await;
    match checked {
        Some(Ok(())) => Ok(()),
        Some(Err(refusal)) => Err(refusal.into()),
        None => Err(crate::handle::ControlHandle::busy().into()),
    }
}

async fn respond(
    started: StartedRun,
    ask: &PromptAsk,
    path: &str,
) -> Result<HttpResponse, CallerError> {
    match started {
        StartedRun::Known(request) => Ok(HttpResponse::SeeOther()
            .insert_header(("location", format!("/v1/requests/{request}")))
            .insert_header((REQUEST_ID_HEADER, request.to_string()))
            .json(json!({ "id": request }))),
        StartedRun::Here { spec, buffer } => {
            let format = StreamFormat {
                request: spec.request.clone(),
                model: spec.model.to_string(),
                chat: path.contains("chat"),
                prompt_tokens: count_tokens(&spec.prompt),
            };
            if ask.stream {
                Ok(answer_stream(buffer, format, 0))
            } else {
                answer_whole(buffer, format).await
            }
        }
    }
}
