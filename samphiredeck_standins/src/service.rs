//! Simulated plain service that counts every run.

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream::iter;
use samphiredeck_core::{
    engine_api::{REQUEST_ID_HEADER, RUN_VERDICT_HEADER},
    upstream::LoadReport,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Time for which a call without a response is held open.
const SILENT_HOLD: Duration = Duration::from_secs(60);

/// Injected faults of the service. Each counter applies to that many of the next calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay of each response in milliseconds.
    #[serde(rename = "late_ms")]
    pub delay_ms: u64,
    /// Number of calls that run without a response.
    #[serde(rename = "mute")]
    pub unanswered: u32,
    /// Number of calls that run and whose response is truncated.
    #[serde(rename = "cut")]
    pub truncated: u32,
    /// Number of calls that run and are answered with the id of another request.
    #[serde(rename = "crossed")]
    pub wrong_request: u32,
    /// Number of calls that are refused without running.
    pub refuse: u32,
    /// Whether the service reports that it is leaving.
    pub leaving: bool,
}

/// Counters of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Number of runs by the `ref` field of the body, sorted.
    pub runs: Vec<(String, u32)>,
    /// Ids of the requests that ran, sorted.
    pub seen: Vec<String>,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: ServiceFaults,
    stats: ServiceStats,
    running: u32,
}

type SharedState = web::Data<Arc<Mutex<ServiceState>>>;

fn lock(state: &SharedState) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Outcome of a call, as chosen by the injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    Refused,
    Unanswered,
    Truncated,
    WrongRequest,
}

impl ServiceState {
    fn next_outcome(&mut self) -> CallOutcome {
        let faults = &mut self.faults;
        let consume = |count: &mut u32| {
            let available = *count > 0;
            *count = count.saturating_sub(1);
            available
        };
        if consume(&mut faults.refuse) {
            CallOutcome::Refused
        } else if consume(&mut faults.unanswered) {
            CallOutcome::Unanswered
        } else if consume(&mut faults.truncated) {
            CallOutcome::Truncated
        } else if consume(&mut faults.wrong_request) {
            CallOutcome::WrongRequest
        } else {
            CallOutcome::Answered
        }
    }

    fn count_run(&mut self, reference: &str, id: &str) -> u32 {
        if let Err(at) = self.stats.seen.binary_search_by(|seen| seen.as_str().cmp(id)) {
            self.stats.seen.insert(at, id.to_owned());
        }
        match self.stats.runs.binary_search_by(|(known, _)| known.as_str().cmp(reference)) {
            Ok(at) => {
                self.stats.runs[at].1 += 1;
                self.stats.runs[at].1
            }
            Err(at) => {
                self.stats.runs.insert(at, (reference.to_owned(), 1));
                1
            }
        }
    }
}

async fn call(request: HttpRequest, body: Bytes, state: SharedState) -> HttpResponse {
    let header = request.headers().get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let id = header.unwrap_or_default().to_owned();
    let parsed: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let reference = parsed["ref"].as_str().unwrap_or_default().to_owned();
    let (outcome, delay_ms, runs) = {
        let mut state = lock(&state);
        let outcome = state.next_outcome();
        if outcome == CallOutcome::Refused {
            return HttpResponse::ServiceUnavailable()
                .insert_header((REQUEST_ID_HEADER, id))
                .insert_header((RUN_VERDICT_HEADER, "not-run"))
                .finish();
        }
        state.running += 1;
        let runs = state.count_run(&reference, &id);
        (outcome, state.faults.delay_ms, runs)
    };
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    lock(&state).running -= 1;
    if outcome == CallOutcome::Unanswered {
        tokio::time::sleep(SILENT_HOLD).await;
    }
    let response_id =
        if outcome == CallOutcome::WrongRequest { "other:0000000000000000".to_owned() } else { id };
    let text = json!({ "ref": reference, "posted": true, "runs": runs }).to_string();
    let mut response = HttpResponse::Ok();
    response
        .insert_header((REQUEST_ID_HEADER, response_id))
        .insert_header(("content-type", "application/json"));
    if outcome == CallOutcome::Truncated {
        let first_half = Bytes::from(text[..text.len() / 2].to_owned());
        let broken = Err(actix_web::error::ErrorInternalServerError("cut"));
        return response.no_chunking(text.len() as u64).streaming(iter([Ok(first_half), broken]));
    }
    response.body(text)
}

async fn report(state: SharedState) -> HttpResponse {
    let state = lock(&state);
    HttpResponse::Ok().json(LoadReport {
        running: state.running,
        slots: 64,
        leaving: state.faults.leaving,
        ..LoadReport::default()
    })
}

async fn set_faults(body: web::Json<ServiceFaults>, state: SharedState) -> HttpResponse {
    lock(&state).faults = body.into_inner();
    HttpResponse::Ok().finish()
}

async fn view_stats(state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state).stats)
}

/// Serves the service on `listener` until the process exits.
///
/// # Errors
///
/// Returns an error if the server can't run.
pub async fn serve(listener: TcpListener) -> io::Result<()> {
    let shared = Arc::new(Mutex::new(ServiceState::default()));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Arc::clone(&shared)))
            .route("/report", web::get().to(report))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/stats", web::get().to(view_stats))
            .default_service(web::route().to(call))
    });
    server.workers(1).tcp_nodelay(true).listen(listener)?.run().await
}
