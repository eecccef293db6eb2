//! Simulated platform with a table service, an object store, a cloud API and injected faults.

use std::{
    collections::VecDeque,
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{App, HttpResponse, HttpServer, web};
use samphiredeck_core::{
    ids::{RowVersion, UpstreamId},
    platform_api::{
        CloudSnapshot, InstanceRow, InstanceState, PriceRow, ReclaimNotice, StartOutcome,
        StartRequest, TableRead, TableReadResult, TableTransaction, TransactionOutcome,
        VersionedRow,
    },
};
use serde::{Deserialize, Serialize};

/// Time for which a call without a response is held open.
const SILENT_HOLD: Duration = Duration::from_secs(30);
const WORKER_THREADS: usize = 2;

/// Rate limits and delays of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Maximum number of table writes per second.
    pub writes_per_second: u32,
    /// Maximum number of table reads per second.
    pub reads_per_second: u32,
    /// Delay until changes appear in the instance list.
    pub list_lag: Duration,
    /// Duration of each call.
    pub latency: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            writes_per_second: 400,
            reads_per_second: 2_000,
            list_lag: Duration::from_secs(2),
            latency: Duration::from_millis(3),
        }
    }
}

/// Kind of a platform outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// No outage.
    #[default]
    None,
    /// Each call fails with an error status.
    Error,
    /// No call gets a response.
    Silent,
}

/// Injected faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Outage of the table, the object store and the cloud API.
    pub outage: OutageMode,
    /// Additional delay before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of transactions whose response is lost after they took effect.
    #[serde(rename = "lose_answers")]
    pub drop_responses: u32,
    /// Whether starts of reclaimable instances are refused.
    pub refuse_reclaimable: bool,
    /// Whether starts of on-demand instances are refused.
    pub refuse_on_demand: bool,
}

/// Counters of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Transactions within the rate limit.
    pub writes: u64,
    /// Reads within the rate limit.
    pub reads: u64,
    /// Calls refused by the rate limit.
    #[serde(rename = "limited")]
    pub rate_limited: u64,
    /// Maximum number of transactions within one second.
    #[serde(rename = "busiest_second")]
    pub peak_writes_per_second: u64,
    /// Granted requests to start an instance.
    pub starts: Vec<StartRequest>,
    /// Number of refused requests to start an instance.
    pub refused_starts: u64,
}

/// Announced reclaim of an instance.
#[derive(Clone, Debug)]
struct PendingReclaim {
    id: UpstreamId,
    terminates_at: Instant,
}

/// State of the platform.
#[derive(Debug)]
struct PlatformState {
    options: PlatformOptions,
    faults: PlatformFaults,
    /// Sorted by key, without duplicates.
    rows: Vec<VersionedRow>,
    last_version: u64,
    /// Sorted by key, without duplicates.
    objects: Vec<(String, String)>,
    instances: Vec<InstanceRow>,
    /// Versions of the instance list with their time of creation, oldest first.
    list_snapshots: VecDeque<(Instant, Vec<InstanceRow>)>,
    notices: Vec<PendingReclaim>,
    prices: Vec<PriceRow>,
    stats: PlatformStats,
    /// Start of the current one-second window and the number of writes in it.
    current_second: (Instant, u64),
    write_budget: f64,
    read_budget: f64,
    refilled_at: Instant,
}

/// State shared by the worker threads.
type SharedState = web::Data<Arc<Mutex<PlatformState>>>;

fn lock(state: &SharedState) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformState {
    fn new(options: PlatformOptions, now: Instant) -> Self {
        Self {
            options,
            faults: PlatformFaults::default(),
            rows: Vec::new(),
            last_version: 0,
            objects: Vec::new(),
            instances: Vec::new(),
            list_snapshots: VecDeque::from([(now, Vec::new())]),
            notices: Vec::new(),
            prices: Vec::new(),
            stats: PlatformStats::default(),
            current_second: (now, 0),
            write_budget: f64::from(options.writes_per_second),
            read_budget: f64::from(options.reads_per_second),
            refilled_at: now,
        }
    }

    /// Consumes one write or read of the rate limit. Returns whether the call is within the limit.
    fn take_budget(&mut self, write: bool, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let (writes, reads) = (self.options.writes_per_second, self.options.reads_per_second);
        self.write_budget =
            (self.write_budget + elapsed * f64::from(writes)).min(f64::from(writes));
        self.read_budget = (self.read_budget + elapsed * f64::from(reads)).min(f64::from(reads));
        let budget = if write { &mut self.write_budget } else { &mut self.read_budget };
        if *budget < 1.0 {
            self.stats.rate_limited += 1;
            return false;
        }
        *budget -= 1.0;
        if write {
            self.count_write(now);
        } else {
            self.stats.reads += 1;
        }
        true
    }

    fn count_write(&mut self, now: Instant) {
        self.stats.writes += 1;
        if now.duration_since(self.current_second.0) >= Duration::from_secs(1) {
            self.current_second = (now, 0);
        }
        self.current_second.1 += 1;
        self.stats.peak_writes_per_second =
            self.stats.peak_writes_per_second.max(self.current_second.1);
    }

    fn current_row(&self, key: &str) -> VersionedRow {
        match self.rows.binary_search_by(|row| row.key.as_str().cmp(key)) {
            Ok(at) => self.rows[at].clone(),
            Err(_) => VersionedRow { key: key.to_owned(), version: RowVersion(0), value: None },
        }
    }

    fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let conflicting: Vec<VersionedRow> = transaction
            .conditions
            .iter()
            .map(|condition| (condition, self.current_row(&condition.key)))
            .filter(|(condition, current_row)| condition.version != current_row.version)
            .map(|(_, current_row)| current_row)
            .collect();
        if !conflicting.is_empty() {
            return TransactionOutcome::Conflict { rows: conflicting };
        }
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        for write in &transaction.writes {
            let known = self.rows.binary_search_by(|row| row.key.cmp(&write.key));
            match (known, &write.value) {
                (Ok(at), None) => drop(self.rows.remove(at)),
                (Err(_), None) => {}
                (Ok(at), Some(value)) => {
                    self.rows[at].version = version;
                    self.rows[at].value = Some(value.clone());
                }
                (Err(at), Some(value)) => {
                    let value = Some(value.clone());
                    self.rows.insert(at, VersionedRow { key: write.key.clone(), version, value });
                }
            }
        }
        TransactionOutcome::Committed { version }
    }

    fn read(&self, read: &TableRead) -> TableReadResult {
        let selected = |row: &&VersionedRow| {
            read.keys.contains(&row.key)
                || read.prefixes.iter().any(|prefix| row.key.starts_with(prefix))
        };
        TableReadResult { rows: self.rows.iter().filter(selected).cloned().collect() }
    }

    fn record_list(&mut self, now: Instant) {
        self.list_snapshots.push_back((now, self.instances.clone()));
    }

    fn delayed_list(&mut self, now: Instant) -> Vec<InstanceRow> {
        let lag = self.options.list_lag;
        while self.list_snapshots.len() > 1 && now.duration_since(self.list_snapshots[1].0) >= lag {
            self.list_snapshots.pop_front();
        }
        self.list_snapshots.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn view_cloud(&mut self, now: Instant) -> CloudSnapshot {
        self.notices.retain(|notice| notice.terminates_at > now);
        let notices = self
            .notices
            .iter()
            .map(|notice| ReclaimNotice {
                id: notice.id.clone(),
                left_ms: u64::try_from(notice.terminates_at.duration_since(now).as_millis())
                    .unwrap_or(u64::MAX),
            })
            .collect();
        CloudSnapshot { instances: self.delayed_list(now), notices }
    }

    fn start(&mut self, request: &StartRequest) -> StartOutcome {
        use samphiredeck_core::upstream::PurchaseOption;
        let known = self.stats.starts.iter().position(|start| start.token == request.token);
        let refused = match request.purchase_option {
            PurchaseOption::Reclaimable => self.faults.refuse_reclaimable,
            PurchaseOption::OnDemand => self.faults.refuse_on_demand,
        };
        if known.is_none() && refused {
            self.stats.refused_starts += 1;
            return StartOutcome::Refused { reason: "no capacity".to_owned() };
        }
        let number = known.unwrap_or_else(|| {
            self.stats.starts.push(request.clone());
            self.stats.starts.len() - 1
        });
        match format!("started-{number}").parse() {
            Ok(id) => StartOutcome::Started { id },
            Err(_) => StartOutcome::Refused { reason: "no name".to_owned() },
        }
    }
}

/// Result of the checks before a call is processed.
enum CallCheck {
    Pass,
    Fail(HttpResponse),
}

/// Applies the outage, the rate limit and the delay to a call. The rate limit applies to table
/// calls only, where `write` is set.
async fn check_call(state: &SharedState, write: Option<bool>) -> CallCheck {
    let (faults, latency) = {
        let state = lock(state);
        (state.faults, state.options.latency)
    };
    match faults.outage {
        OutageMode::None => {}
        OutageMode::Error => return CallCheck::Fail(HttpResponse::ServiceUnavailable().finish()),
        OutageMode::Silent => {
            tokio::time::sleep(SILENT_HOLD).await;
            return CallCheck::Fail(HttpResponse::GatewayTimeout().finish());
        }
    }
    if let Some(write) = write
        && !lock(state).take_budget(write, Instant::now())
    {
        return CallCheck::Fail(HttpResponse::TooManyRequests().finish());
    }
    tokio::time::sleep(latency + Duration::from_millis(faults.delay_ms)).await;
    CallCheck::Pass
}

async fn commit(state: SharedState, body: web::Json<TableTransaction>) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, Some(true)).await {
        return response;
    }
    let (outcome, drop_response) = {
        let mut state = lock(&state);
        let outcome = state.commit(&body);
        let drop_response = state.faults.drop_responses > 0;
        state.faults.drop_responses = state.faults.drop_responses.saturating_sub(1);
        (outcome, drop_response)
    };
    if drop_response {
        tokio::time::sleep(SILENT_HOLD).await;
    }
    HttpResponse::Ok().json(outcome)
}

async fn read(state: SharedState, body: web::Json<TableRead>) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, Some(false)).await {
        return response;
    }
    HttpResponse::Ok().json(lock(&state).read(&body))
}

async fn put_object(state: SharedState, path: web::Path<String>, body: String) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, None).await {
        return response;
    }
    let mut state = lock(&state);
    match state.objects.binary_search_by(|(key, _)| key.cmp(&path)) {
        Ok(at) => state.objects[at].1 = body,
        Err(at) => state.objects.insert(at, (path.into_inner(), body)),
    }
    HttpResponse::Ok().finish()
}

async fn get_object(state: SharedState, path: web::Path<String>) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, None).await {
        return response;
    }
    let state = lock(&state);
    match state.objects.binary_search_by(|(key, _)| key.cmp(&path)) {
        Ok(at) => HttpResponse::Ok().body(state.objects[at].1.clone()),
        Err(_) => HttpResponse::NotFound().finish(),
    }
}

async fn view_cloud(state: SharedState) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, None).await {
        return response;
    }
    HttpResponse::Ok().json(lock(&state).view_cloud(Instant::now()))
}

async fn view_prices(state: SharedState) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, None).await {
        return response;
    }
    HttpResponse::Ok().json(&lock(&state).prices)
}

async fn start_instance(state: SharedState, body: web::Json<StartRequest>) -> HttpResponse {
    if let CallCheck::Fail(response) = check_call(&state, None).await {
        return response;
    }
    HttpResponse::Ok().json(lock(&state).start(&body))
}

async fn set_faults(state: SharedState, body: web::Json<PlatformFaults>) -> HttpResponse {
    lock(&state).faults = body.into_inner();
    HttpResponse::Ok().finish()
}

async fn put_instance(state: SharedState, body: web::Json<InstanceRow>) -> HttpResponse {
    let mut state = lock(&state);
    state.instances.retain(|row| row.id != body.id);
    state.instances.push(body.into_inner());
    state.record_list(Instant::now());
    HttpResponse::Ok().finish()
}

async fn remove_instance(state: SharedState, path: web::Path<String>) -> HttpResponse {
    let mut state = lock(&state);
    state.instances.retain(|row| row.id.as_str() != *path);
    state.record_list(Instant::now());
    HttpResponse::Ok().finish()
}

async fn set_prices(state: SharedState, body: web::Json<Vec<PriceRow>>) -> HttpResponse {
    lock(&state).prices = body.into_inner();
    HttpResponse::Ok().finish()
}

/// Reclaim of several instances at once, requested by a test.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReclaimOrder {
    /// Instances to reclaim.
    pub ids: Vec<UpstreamId>,
    /// Milliseconds until the instances are terminated.
    pub left_ms: u64,
}

async fn reclaim(state: SharedState, body: web::Json<ReclaimOrder>) -> HttpResponse {
    let now = Instant::now();
    let terminates_at = now + Duration::from_millis(body.left_ms);
    let mut state = lock(&state);
    for id in &body.ids {
        state.notices.push(PendingReclaim { id: id.clone(), terminates_at });
        for row in state.instances.iter_mut().filter(|row| row.id == *id) {
            row.state = InstanceState::Leaving;
        }
    }
    state.record_list(now);
    HttpResponse::Ok().finish()
}

async fn view_stats(state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state).stats)
}

async fn view_rows(state: SharedState, body: web::Json<TableRead>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).read(&body))
}

/// Serves the platform on `listener` until the process exits.
///
/// # Errors
///
/// Returns an error if the server can't run.
pub async fn serve(listener: TcpListener, options: PlatformOptions) -> io::Result<()> {
    let shared = Arc::new(Mutex::new(PlatformState::new(options, Instant::now())));
    let server = HttpServer::new(move || {
        let json = web::JsonConfig::default().limit(64 * 1_024 * 1_024);
        App::new()
            .app_data(web::Data::new(Arc::clone(&shared)))
            .app_data(json)
            .app_data(web::PayloadConfig::new(64 * 1_024 * 1_024))
            .route("/table/transaction", web::post().to(commit))
            .route("/table/read", web::post().to(read))
            .route("/objects/{key}", web::put().to(put_object))
            .route("/objects/{key}", web::get().to(get_object))
            .route("/cloud/instances", web::get().to(view_cloud))
            .route("/cloud/prices", web::get().to(view_prices))
            .route("/cloud/start", web::post().to(start_instance))
            .route("/control/faults", web::post().to(set_faults))
            .route("/control/instances", web::post().to(put_instance))
            .route("/control/instances/{id}", web::delete().to(remove_instance))
            .route("/control/prices", web::post().to(set_prices))
            .route("/control/reclaim", web::post().to(reclaim))
            .route("/control/stats", web::get().to(view_stats))
            .route("/control/rows", web::post().to(view_rows))
    });
    server.workers(WORKER_THREADS).tcp_nodelay(true).listen(listener)?.run().await
}
