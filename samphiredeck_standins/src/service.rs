//! Stand-in for a plain service that counts every run.

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

/// Time for which a call without an answer is held.
const SILENCE: Duration = Duration::from_secs(60);

/// How the service misbehaves, as set by a test.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Milliseconds before each answer.
    pub late_ms: u64,
    /// Calls that run and are never answered.
    pub mute: u32,
    /// Calls that run and whose answer is cut short.
    pub cut: u32,
    /// Calls that run and are answered as if they were another request.
    pub crossed: u32,
    /// Calls that are refused unrun.
    pub refuse: u32,
    /// Whether the service says that it leaves.
    pub leaving: bool,
}

/// Counts of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Runs by the `ref` field of the body. Sorted.
    pub runs: Vec<(String, u32)>,
    /// Requests that were handed over, by id. Sorted.
    pub seen: Vec<String>,
}

/// State of the service.
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

/// What a call meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFate {
    Answered,
    Refused,
    Mute,
    Cut,
    Crossed,
}

impl ServiceState {
    fn next_fate(&mut self) -> CallFate {
        let faults = &mut self.faults;
        let take = |count: &mut u32| {
            let some = *count > 0;
            *count = count.saturating_sub(1);
            some
        };
        if take(&mut faults.refuse) {
            CallFate::Refused
        } else if take(&mut faults.mute) {
            CallFate::Mute
        } else if take(&mut faults.cut) {
            CallFate::Cut
        } else if take(&mut faults.crossed) {
            CallFate::Crossed
        } else {
            CallFate::Answered
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
    let (fate, late, runs) = {
        let mut state = lock(&state);
        let fate = state.next_fate();
        if fate == CallFate::Refused {
            return HttpResponse::ServiceUnavailable()
                .insert_header((REQUEST_ID_HEADER, id))
                .insert_header((RUN_VERDICT_HEADER, "not-run"))
                .finish();
        }
        state.running += 1;
        let runs = state.count_run(&reference, &id);
        (fate, state.faults.late_ms, runs)
    };
    tokio::time::sleep(Duration::from_millis(late)).await;
    lock(&state).running -= 1;
    if fate == CallFate::Mute {
        tokio::time::sleep(SILENCE).await;
    }
    let echo = if fate == CallFate::Crossed { "other:0000000000000000".to_owned() } else { id };
    let text = json!({ "ref": reference, "posted": true, "runs": runs }).to_string();
    let mut answer = HttpResponse::Ok();
    answer
        .insert_header((REQUEST_ID_HEADER, echo))
        .insert_header(("content-type", "application/json"));
    if fate == CallFate::Cut {
        let half = Bytes::from(text[..text.len() / 2].to_owned());
        let broken = Err(actix_web::error::ErrorInternalServerError("cut"));
        return answer.no_chunking(text.len() as u64).streaming(iter([Ok(half), broken]));
    }
    answer.body(text)
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

/// Serves the service on `listener` until the process ends.
///
/// # Errors
///
/// Returns why the server can't run.
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
