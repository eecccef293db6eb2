//! Stand-in for the platform: table service, object store and cloud API, with faults.

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

/// Time for which a silent call is held.
const SILENCE: Duration = Duration::from_secs(30);
/// Worker threads.
const WORKERS: usize = 2;

/// Limits and lags of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Writes that are taken a second.
    pub writes_per_second: u32,
    /// Reads that are taken a second.
    pub reads_per_second: u32,
    /// Lag of the instance list.
    pub list_lag: Duration,
    /// Time that each table call takes.
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

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// It answers.
    #[default]
    None,
    /// It answers each call with an error.
    Error,
    /// It does not answer at all.
    Silent,
}

/// Faults of the platform, as set by a test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Outage of table, objects and cloud API.
    pub outage: OutageMode,
    /// Extra time before a call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Transactions whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// Whether starts of reclaimable instances are refused.
    pub refuse_reclaimable: bool,
    /// Whether starts of on-demand instances are refused.
    pub refuse_on_demand: bool,
}

/// Counts of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Transactions taken.
    pub writes: u64,
    /// Reads taken.
    pub reads: u64,
    /// Calls refused for the rate limit.
    pub limited: u64,
    /// Most transactions taken within one second.
    pub busiest_second: u64,
    /// Starts granted.
    pub starts: Vec<StartRequest>,
    /// Starts refused.
    pub refused_starts: u64,
}

/// Notice with the time at which the instance is gone.
#[derive(Clone, Debug)]
struct NoticeRow {
    id: UpstreamId,
    gone_at: Instant,
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
    /// Former lists with the time at which they came up, oldest first.
    lists: VecDeque<(Instant, Vec<InstanceRow>)>,
    notices: Vec<NoticeRow>,
    prices: Vec<PriceRow>,
    stats: PlatformStats,
    second: (Instant, u64),
    write_room: f64,
    read_room: f64,
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
            lists: VecDeque::from([(now, Vec::new())]),
            notices: Vec::new(),
            prices: Vec::new(),
            stats: PlatformStats::default(),
            second: (now, 0),
            write_room: f64::from(options.writes_per_second),
            read_room: f64::from(options.reads_per_second),
            refilled_at: now,
        }
    }

    /// Takes one write or read out of the rate. Returns whether there was one.
    fn take_rate(&mut self, write: bool, now: Instant) -> bool {
        let passed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let (writes, reads) = (self.options.writes_per_second, self.options.reads_per_second);
        self.write_room = (self.write_room + passed * f64::from(writes)).min(f64::from(writes));
        self.read_room = (self.read_room + passed * f64::from(reads)).min(f64::from(reads));
        let room = if write { &mut self.write_room } else { &mut self.read_room };
        if *room < 1.0 {
            self.stats.limited += 1;
            return false;
        }
        *room -= 1.0;
        if write {
            self.count_write(now);
        } else {
            self.stats.reads += 1;
        }
        true
    }

    fn count_write(&mut self, now: Instant) {
        self.stats.writes += 1;
        if now.duration_since(self.second.0) >= Duration::from_secs(1) {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        self.stats.busiest_second = self.stats.busiest_second.max(self.second.1);
    }

    fn view(&self, key: &str) -> VersionedRow {
        match self.rows.binary_search_by(|row| row.key.as_str().cmp(key)) {
            Ok(at) => self.rows[at].clone(),
            Err(_) => VersionedRow { key: key.to_owned(), version: RowVersion(0), value: None },
        }
    }

    fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let failed: Vec<VersionedRow> = transaction
            .conditions
            .iter()
            .map(|condition| (condition, self.view(&condition.key)))
            .filter(|(condition, view)| condition.version != view.version)
            .map(|(_, view)| view)
            .collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { rows: failed };
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
        let wanted = |row: &&VersionedRow| {
            read.keys.contains(&row.key)
                || read.prefixes.iter().any(|prefix| row.key.starts_with(prefix))
        };
        TableReadResult { rows: self.rows.iter().filter(wanted).cloned().collect() }
    }

    fn note_list(&mut self, now: Instant) {
        self.lists.push_back((now, self.instances.clone()));
    }

    fn lagging_list(&mut self, now: Instant) -> Vec<InstanceRow> {
        let lag = self.options.list_lag;
        while self.lists.len() > 1 && now.duration_since(self.lists[1].0) >= lag {
            self.lists.pop_front();
        }
        self.lists.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn view_cloud(&mut self, now: Instant) -> CloudSnapshot {
        self.notices.retain(|notice| notice.gone_at > now);
        let notices = self
            .notices
            .iter()
            .map(|notice| ReclaimNotice {
                id: notice.id.clone(),
                left_ms: u64::try_from(notice.gone_at.duration_since(now).as_millis())
                    .unwrap_or(u64::MAX),
            })
            .collect();
        CloudSnapshot { instances: self.lagging_list(now), notices }
    }

    fn start(&mut self, order: &StartRequest) -> StartOutcome {
        use samphiredeck_core::upstream::PurchaseOption;
        let known = self.stats.starts.iter().position(|start| start.token == order.token);
        let refused = match order.market {
            PurchaseOption::Reclaimable => self.faults.refuse_reclaimable,
            PurchaseOption::OnDemand => self.faults.refuse_on_demand,
        };
        if known.is_none() && refused {
            self.stats.refused_starts += 1;
            return StartOutcome::Refused { reason: "no capacity".to_owned() };
        }
        let number = known.unwrap_or_else(|| {
            self.stats.starts.push(order.clone());
            self.stats.starts.len() - 1
        });
        match format!("started-{number}").parse() {
            Ok(id) => StartOutcome::Started { id },
            Err(_) => StartOutcome::Refused { reason: "no name".to_owned() },
        }
    }
}

/// What becomes of a call before it is looked at.
enum CallGate {
    Pass,
    Answer(HttpResponse),
}

/// Applies outage, delay and rate to a call.
async fn pass_gate(state: &SharedState, write: Option<bool>) -> CallGate {
    let (faults, latency) = {
        let state = lock(state);
        (state.faults, state.options.latency)
    };
    match faults.outage {
        OutageMode::None => {}
        OutageMode::Error => return CallGate::Answer(HttpResponse::ServiceUnavailable().finish()),
        OutageMode::Silent => {
            tokio::time::sleep(SILENCE).await;
            return CallGate::Answer(HttpResponse::GatewayTimeout().finish());
        }
    }
    if let Some(write) = write
        && !lock(state).take_rate(write, Instant::now())
    {
        return CallGate::Answer(HttpResponse::TooManyRequests().finish());
    }
    tokio::time::sleep(latency + Duration::from_millis(faults.delay_ms)).await;
    CallGate::Pass
}

async fn commit(state: SharedState, body: web::Json<TableTransaction>) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, Some(true)).await {
        return answer;
    }
    let (outcome, lost) = {
        let mut state = lock(&state);
        let outcome = state.commit(&body);
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (outcome, lost)
    };
    if lost {
        tokio::time::sleep(SILENCE).await;
    }
    HttpResponse::Ok().json(outcome)
}

async fn read(state: SharedState, body: web::Json<TableRead>) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, Some(false)).await {
        return answer;
    }
    HttpResponse::Ok().json(lock(&state).read(&body))
}

async fn put_object(state: SharedState, path: web::Path<String>, body: String) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, None).await {
        return answer;
    }
    let mut state = lock(&state);
    match state.objects.binary_search_by(|(key, _)| key.cmp(&path)) {
        Ok(at) => state.objects[at].1 = body,
        Err(at) => state.objects.insert(at, (path.into_inner(), body)),
    }
    HttpResponse::Ok().finish()
}

async fn get_object(state: SharedState, path: web::Path<String>) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, None).await {
        return answer;
    }
    let state = lock(&state);
    match state.objects.binary_search_by(|(key, _)| key.cmp(&path)) {
        Ok(at) => HttpResponse::Ok().body(state.objects[at].1.clone()),
        Err(_) => HttpResponse::NotFound().finish(),
    }
}

async fn view_cloud(state: SharedState) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, None).await {
        return answer;
    }
    HttpResponse::Ok().json(lock(&state).view_cloud(Instant::now()))
}

async fn view_prices(state: SharedState) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, None).await {
        return answer;
    }
    HttpResponse::Ok().json(&lock(&state).prices)
}

async fn start_instance(state: SharedState, body: web::Json<StartRequest>) -> HttpResponse {
    if let CallGate::Answer(answer) = pass_gate(&state, None).await {
        return answer;
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
    state.note_list(Instant::now());
    HttpResponse::Ok().finish()
}

async fn remove_instance(state: SharedState, path: web::Path<String>) -> HttpResponse {
    let mut state = lock(&state);
    state.instances.retain(|row| row.id.as_str() != *path);
    state.note_list(Instant::now());
    HttpResponse::Ok().finish()
}

async fn set_prices(state: SharedState, body: web::Json<Vec<PriceRow>>) -> HttpResponse {
    lock(&state).prices = body.into_inner();
    HttpResponse::Ok().finish()
}

/// Reclaim of several instances at once, as set by a test.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReclaimOrder {
    /// Instances.
    pub ids: Vec<UpstreamId>,
    /// Milliseconds until they are gone.
    pub left_ms: u64,
}

async fn reclaim(state: SharedState, body: web::Json<ReclaimOrder>) -> HttpResponse {
    let now = Instant::now();
    let gone_at = now + Duration::from_millis(body.left_ms);
    let mut state = lock(&state);
    for id in &body.ids {
        state.notices.push(NoticeRow { id: id.clone(), gone_at });
        for row in state.instances.iter_mut().filter(|row| row.id == *id) {
            row.state = InstanceState::Leaving;
        }
    }
    state.note_list(now);
    HttpResponse::Ok().finish()
}

async fn view_stats(state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state).stats)
}

async fn view_rows(state: SharedState, body: web::Json<TableRead>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).read(&body))
}

/// Serves the platform on `listener` until the process ends.
///
/// # Errors
///
/// Returns why the server can't run.
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
    server.workers(WORKERS).tcp_nodelay(true).listen(listener)?.run().await
}
