//! Seeded random faults in a system of real processes. All guarantees are checked at the end.
//!
//! `SAMPHIREDECK_SEED` sets the seed and `SAMPHIREDECK_MIX_SECONDS` the duration in seconds.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::{bail, ensure};
use rand::{Rng, SeedableRng, rngs::StdRng};
use samphiredeck_standins::{
    client::{ChatRequest, ChatResult, TestClient},
    engine::EngineFaults,
    fixture::{Fixture, FixtureSpec, example_declaration},
    platform::{OutageMode, PlatformFaults},
    proxy::ProxyMode,
    service::ServiceFaults,
};
use serde_json::{Value, json};

/// Seed used by default.
const DEFAULT_SEED: u64 = 20_261_203;
/// Default duration of the fault injection in seconds.
const DEFAULT_SECONDS: u64 = 45;
/// Number of concurrent callers of each kind.
const CALLERS_PER_KIND: usize = 4;
/// Maximum time for open requests to complete after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Requests and results of all callers.
#[derive(Default)]
struct CallLog {
    chats: Vec<(ChatRequest, ChatResult)>,
    /// Reference, status and verdict of each service call.
    calls: Vec<(String, u16, String)>,
    /// Accepted configuration versions in the order of their responses.
    versions: Vec<u64>,
}

/// State shared by all callers.
#[derive(Clone)]
struct CallerPool {
    stopped: Rc<Cell<bool>>,
    addresses: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    call_log: Rc<RefCell<CallLog>>,
    client: TestClient,
}

impl CallerPool {
    fn address(&self, number: usize) -> std::net::SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[number % addresses.len()]
    }

    /// Sends chat requests one after another and follows each accepted one to its end.
    async fn run_chats(self, caller: usize, class: &'static str, tokens: u64) {
        let mut number = caller;
        while !self.stopped.get() {
            number += 1;
            let request = ChatRequest {
                class,
                ..ChatRequest::new(&format!("{class} {caller} {number}"), tokens)
            };
            let mut result = self.client.chat(self.address(number), &request).await;
            if result.status == 200 && !result.complete {
                self.follow(&request, &mut result).await;
            }
            self.call_log.borrow_mut().chats.push((request, result));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Reattaches to a request whose stream broke off, at any node.
    async fn follow(&self, request: &ChatRequest, result: &mut ChatResult) {
        let started_at = Instant::now();
        let mut number = 0;
        while !result.complete && started_at.elapsed() < SETTLE_TIMEOUT {
            number += 1;
            let (address, offset) = (self.address(number), result.text.len());
            let rest = self.client.attach(address, &request.key, &result.request_id, offset).await;
            if rest.status == 200 {
                result.text.push_str(&rest.text);
                result.complete = rest.complete;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Sends non-idempotent service calls, each up to three times until it succeeds.
    async fn run_posts(self, caller: usize) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let reference = format!("post-{caller}-{number}");
            let body = json!({ "ref": reference });
            for attempt in 0..3 {
                let address = self.address(caller + number + attempt);
                let key = Some(reference.as_str());
                let (status, verdict, _) =
                    self.client.call_service(address, "/ledger/post", key, &body).await;
                self.call_log.borrow_mut().calls.push((reference.clone(), status, verdict));
                if status == 200 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            tokio::time::sleep(Duration::from_millis(80)).await;
        }
    }

    /// Submits the declaration periodically.
    async fn run_changes(self) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let change = self
                .client
                .change_declaration(self.address(number), &example_declaration(), None)
                .await;
            if let Ok((200, body)) = change {
                let version = body["version"].as_u64().unwrap_or(0);
                self.call_log.borrow_mut().versions.push(version);
            }
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    }
}

/// Injects one random fault and ends it again if it lasts.
async fn inject(fixture: &mut Fixture, callers: &CallerPool, rng: &mut StdRng) -> eyre::Result<()> {
    let node = rng.random_range(0..fixture.system.nodes.len());
    let engine = rng.random_range(0..fixture.system.engines.len());
    let pause = Duration::from_millis(rng.random_range(300..3_500));
    let proxies = fixture.system.nodes[node].proxies.clone();
    match rng.random_range(0..9) {
        0 => {
            println!("kill node {node}");
            fixture.system.restart_node(node)?;
            callers.addresses.borrow_mut()[node] = fixture.node(node);
        }
        1 => {
            println!("freeze node {node} for {pause:?}");
            fixture.system.nodes[node].process.signal("STOP")?;
            tokio::time::sleep(pause * 3).await;
            fixture.system.nodes[node].process.signal("CONT")?;
        }
        2 => {
            println!("stop node {node} gracefully");
            fixture.system.nodes[node].process.signal("TERM")?;
            let started_at = Instant::now();
            while !fixture.system.nodes[node].process.has_exited() {
                ensure!(
                    started_at.elapsed() < Duration::from_secs(40),
                    "the node did not stop within 40 s"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            fixture.system.replace_node(node)?;
            callers.addresses.borrow_mut()[node] = fixture.node(node);
        }
        3 | 4 => {
            let mode = if rng.random() { ProxyMode::Disconnect } else { ProxyMode::Blackhole };
            println!("{mode:?} of node {node} for {pause:?}");
            for (proxy, mode) in proxies.iter().flat_map(|p| [(&p.peer, mode), (&p.platform, mode)])
            {
                proxy.set_mode(mode);
            }
            tokio::time::sleep(pause).await;
            for proxy in proxies.iter().flat_map(|p| [&p.peer, &p.platform]) {
                proxy.freeze_open_connections();
                proxy.set_mode(ProxyMode::Pass);
            }
        }
        5 => {
            let outage = if rng.random() { OutageMode::Error } else { OutageMode::Silent };
            println!("platform outage {outage:?} for {pause:?}");
            fixture.set_outage(outage).await?;
            tokio::time::sleep(pause * 2).await;
            fixture.set_outage(OutageMode::None).await?;
        }
        6 => {
            let drop_responses = rng.random_range(1..4);
            println!("drop {drop_responses} responses of the table");
            fixture
                .set_platform_faults(PlatformFaults { drop_responses, ..PlatformFaults::default() })
                .await?;
        }
        7 => {
            println!("freeze the open connections of engine {engine}");
            fixture.engine_proxies[engine].freeze_open_connections();
        }
        _ => {
            let faults = EngineFaults {
                truncated: 2,
                truncate_after: 4,
                wrong_request: 1,
                duplicated: 1,
                missing_end: 1,
                ..EngineFaults::default()
            };
            println!("faults of engine {engine}");
            fixture.set_engine_faults(engine, &faults).await?;
            let service = rng.random_range(0..fixture.system.services.len());
            let faults = ServiceFaults {
                truncated: 1,
                unanswered: 0,
                wrong_request: 1,
                refuse: 1,
                ..ServiceFaults::default()
            };
            fixture.set_service_faults(service, &faults).await?;
        }
    }
    Ok(())
}

/// Checks the results of all callers against the requests that the upstreams received.
async fn check_guarantees(fixture: &Fixture, call_log: &CallLog) -> eyre::Result<()> {
    let mut lost = Vec::new();
    let mut refused = 0;
    for (sent, got) in &call_log.chats {
        match got.status {
            200 if got.is_correct(sent) => {}
            // The stream of an urgent request ends without an end event when its node is killed,
            // so the caller knows that it is incomplete. Only recorded requests must survive that.
            200 if sent.class != "patient" && !got.complete => lost.push(got.request_id.clone()),
            200 => bail!("accepted request got a wrong answer: {sent:?} {got:?}"),
            0 => {}
            _ => {
                refused += 1;
                ensure!(!got.verdict.is_empty(), "refused without a verdict: {got:?}");
                ensure!(got.verdict != "ran", "{got:?}");
                let has_retry_after = got.retry_after.is_some();
                ensure!(got.verdict != "not-run" || has_retry_after, "no Retry-After: {got:?}");
                if got.verdict == "not-run" {
                    check_not_seen(fixture, &got.request_id).await?;
                }
            }
        }
    }
    let mut references: Vec<&String> =
        call_log.calls.iter().map(|(reference, _, _)| reference).collect();
    references.sort();
    references.dedup();
    let mut duplicated = 0;
    for reference in &references {
        let runs = fixture.service_runs(reference).await?;
        duplicated += u32::from(runs > 1);
        ensure!(runs <= 1, "{reference} ran {runs} times");
        let calls = call_log.calls.iter().filter(|(known, _, _)| known == *reference);
        let verdicts: Vec<&str> = calls.map(|(_, _, verdict)| verdict.as_str()).collect();
        ensure!(!verdicts.contains(&"ran") || runs == 1, "{reference}: {verdicts:?}, {runs} runs");
        let all_not_run = verdicts.iter().all(|verdict| *verdict == "not-run");
        ensure!(!all_not_run || runs == 0, "{reference}: verdict not-run, {runs} runs");
    }
    ensure!(call_log.versions.is_sorted(), "versions decreased: {:?}", call_log.versions);
    println!(
        "{} chats, {} refused, {} lost with their node, {} posts, {duplicated} duplicated, {} changes",
        call_log.chats.len(),
        refused,
        lost.len(),
        references.len(),
        call_log.versions.len()
    );
    Ok(())
}

async fn check_not_seen(fixture: &Fixture, request_id: &str) -> eyre::Result<()> {
    if request_id.is_empty() {
        return Ok(());
    }
    for index in 0..fixture.system.engines.len() {
        let stats = fixture.engine_stats(index).await?;
        let seen = stats.seen.iter().any(|(id, _)| id.to_string() == request_id);
        ensure!(!seen, "{request_id} has the verdict not-run, but engine {index} received it");
    }
    Ok(())
}

#[actix_web::test]
async fn guarantees_hold_under_random_faults() -> eyre::Result<()> {
    let seed = env_number("SAMPHIREDECK_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(env_number("SAMPHIREDECK_MIX_SECONDS", DEFAULT_SECONDS));
    println!("seed {seed}, {length:?}");
    let mut rng = StdRng::seed_from_u64(seed);
    let spec = FixtureSpec {
        nodes: 5,
        engines: 4,
        services: 2,
        proxied: true,
        proxied_upstreams: true,
        ..FixtureSpec::default()
    };
    let mut fixture = Fixture::start(&spec).await?;
    let callers = CallerPool {
        stopped: Rc::default(),
        addresses: Rc::new(RefCell::new((0..5).map(|index| fixture.node(index)).collect())),
        call_log: Rc::default(),
        client: fixture.system.client.clone(),
    };
    let mut tasks = Vec::new();
    for caller in 0..CALLERS_PER_KIND {
        let shared = callers.clone();
        tasks.push(actix_web::rt::spawn(shared.run_chats(caller, "urgent", 20)));
        let shared = callers.clone();
        tasks.push(actix_web::rt::spawn(shared.run_chats(caller, "patient", 60)));
        tasks.push(actix_web::rt::spawn(callers.clone().run_posts(caller)));
    }
    tasks.push(actix_web::rt::spawn(callers.clone().run_changes()));
    let deadline = Instant::now() + length;
    while Instant::now() < deadline {
        inject(&mut fixture, &callers, &mut rng).await?;
        tokio::time::sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
    }
    // After the last fault, all accepted requests must complete.
    for index in 0..fixture.system.engines.len() {
        fixture.set_engine_faults(index, &EngineFaults::default()).await?;
    }
    fixture.set_platform_faults(PlatformFaults::default()).await?;
    callers.stopped.set(true);
    for task in tasks {
        tokio::time::timeout(SETTLE_TIMEOUT * 2, task).await??;
    }
    fixture.system.wait_ready(SETTLE_TIMEOUT).await?;
    let versions: Vec<Value> = {
        let mut versions = Vec::new();
        for index in 0..5 {
            versions
                .push(fixture.system.client.view(fixture.node(index)).await?["version"].clone());
        }
        versions
    };
    ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    let call_log = callers.call_log.take();
    check_guarantees(&fixture, &call_log).await
}
