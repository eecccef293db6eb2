//! The cases. Each plays a small deployment, writes down what was sent, answered and run, and checks one rule.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{ClientRequest, Outcome, send, send_kept},
    node::Node,
    runner::{Arrival, Runner, Work},
    store::Store,
};

/// Heartbeat interval of runners, as in the settings on the pages.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Case that is being played.
pub struct Case {
    dir: PathBuf,
    work: PathBuf,
    pub trouble: bool,
    started: Instant,
    lines: Vec<(Instant, String)>,
}

/// Why a case ended.
pub enum End {
    Held(String),
    Broken(String),
    NotRun(String),
}

impl Case {
    pub fn new(dir: PathBuf, trouble: bool) -> Self {
        let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        drop(fs::create_dir_all(&work));
        Self { dir, work, trouble, started: Instant::now(), lines: Vec::new() }
    }

    fn note(&mut self, text: impl Into<String>) {
        self.lines.push((Instant::now(), text.into()));
    }

    fn note_at(&mut self, at: Instant, text: impl Into<String>) {
        self.lines.push((at, text.into()));
    }

    /// Notes what clients sent and what they were answered, and what runners received.
    fn note_traffic(&mut self, outcomes: &[Outcome], arrivals: &[Arrival]) {
        for outcome in outcomes {
            let request = &outcome.request;
            self.note_at(
                outcome.sent_at,
                format!(
                    "client sends {} {} key {} tokens {:?}",
                    request.id, request.path, request.key, request.tokens
                ),
            );
            let status =
                outcome.status.map_or("no whole answer".to_owned(), |status| status.to_string());
            self.note_at(
                outcome.sent_at + outcome.took,
                format!("client gets {} {status} {}", request.id, outcome.reason),
            );
        }
        for arrival in arrivals {
            let what = if arrival.ran { "runs" } else { "refuses, not run" };
            self.note_at(
                arrival.at,
                format!(
                    "runner {} {what} {} tenant {} tokens {}",
                    arrival.runner, arrival.id, arrival.tenant, arrival.tokens
                ),
            );
        }
    }

    fn finish(mut self, end: End) -> i32 {
        let (code, verdict) = match end {
            End::Held(text) => (0, format!("rule held: {text}")),
            End::Broken(text) => (1, format!("RULE BROKEN: {text}")),
            End::NotRun(text) => (2, format!("not run: {text}")),
        };
        self.lines.sort_by_key(|(at, _)| *at);
        let mut text = format!("{verdict}\n\nseconds  what\n");
        for (at, line) in &self.lines {
            let seconds = at.saturating_duration_since(self.started).as_secs_f64();
            text.push_str(&format!("{seconds:8.3} {line}\n"));
        }
        if fs::write(self.dir.join("record.txt"), text).is_err() {
            eprintln!("record.txt can't be written");
            return 2;
        }
        println!("{verdict}");
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.work));
        }
        code
    }
}

pub fn play(name: &str, mut case: Case) -> i32 {
    let trouble = case.trouble;
    case.note(format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let end = match name {
        "quota-after-crash" => quota_after_crash(&mut case),
        "repeats-after-kill" => repeats_after_kill(&mut case),
        "key-moved" => key_moved(&mut case),
        "heads-allowed-later" => heads_allowed_later(&mut case),
        other => End::NotRun(format!("no case {other}")),
    };
    case.finish(end)
}

/// Nodes in zones of their own, that are ready.
fn start_nodes(count: usize, store: &Store, dir: &Path) -> Result<Vec<Node>, String> {
    let mut nodes: Vec<Node> = (0..count)
        .map(|number| {
            Node::prepare(&format!("edge-{number}"), ZONES[number % 3], store.address, dir)
        })
        .collect();
    for node in &mut nodes {
        node.start().map_err(|error| format!("{}: {error}", node.name))?;
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", node.name));
        }
    }
    Ok(nodes)
}

/// Configuration with one service, whose runners accept `max_connections` each.
fn config(version: u64, routes: &str, tenants: &str, max_connections: u32) -> String {
    config_with_heads(version, routes, tenants, max_connections, 16_384)
}

/// The same with a limit of the bytes of a head.
fn config_with_heads(
    version: u64,
    routes: &str,
    tenants: &str,
    max_connections: u32,
    head_bytes: u32,
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":{max_connections}}}],\
         \"limits\":{{\"max_header_bytes\":{head_bytes},\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

/// Sends one request in a thread of its own, with what it was answered going to `outcomes`.
fn send_beside(node: SocketAddr, request: ClientRequest, outcomes: &Arc<Mutex<Vec<Outcome>>>) {
    let outcomes = Arc::clone(outcomes);
    thread::spawn(move || {
        let outcome = send(node, &request);
        outcomes.lock().expect("no poison").push(outcome);
    });
}

/// A tenant asks for more than its limit while one of the two runners of its service crashes. Of what runs in a window, no more
/// may be sent in it than the limit and its slack.
fn quota_after_crash(case: &mut Case) -> End {
    const LIMIT: Limit = Limit { rate: 2_000, burst: 100_000 };
    let store = Store::start();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":2000,\"target_latency_ms\":1500,\"priority\":2,\"service\":\"app\",\"max_attempts\":{attempts}}}"
        )
    };
    let routes =
        format!("{},{}", route("lookup", "idempotent", 2), route("post", "non_idempotent", 1));
    let tenants = format!(
        "{{\"name\":\"busy\",\"api_keys\":[\"key-busy\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":{},\"burst\":{}}},\
         {{\"name\":\"other\",\"api_keys\":[\"key-other\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}}",
        LIMIT.rate, LIMIT.burst
    );
    store.put("op", "config", Some(&config(1, &routes, &tenants, 370)));
    let arrivals = Arc::default();
    // Runners of one service differ in speed.
    let work = [Duration::from_millis(1_300), Duration::from_millis(650)];
    let runners: Vec<Runner> = work
        .into_iter()
        .enumerate()
        .map(|(number, time)| {
            Runner::start(&format!("i-{number}"), (64, 134), &arrivals, move |_| Work::Answer(time))
        })
        .collect();
    for (number, runner) in runners.iter().enumerate() {
        runner.register(&store, "app", ZONES[number], HEARTBEAT);
    }
    let mut nodes = match start_nodes(2, &store, &case.work) {
        Ok(nodes) => nodes,
        Err(reason) => return End::NotRun(reason),
    };
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.caller).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut sent = 0_usize;
    let mut ask = |key: &str, tokens: u64| {
        sent += 1;
        let (method, path) =
            if key == "key-busy" { ("GET", "/lookup/item") } else { ("POST", "/post/item") };
        let request = ClientRequest {
            id: format!("q{sent:05}"),
            method,
            path: path.to_owned(),
            key: key.to_owned(),
            deadline: Duration::from_millis(2_000),
            tokens: Some((tokens - 100, 100)),
            upload: (0, Duration::ZERO),
            padding: 0,
        };
        send_beside(callers[sent % callers.len()], request, &outcomes);
    };
    // Four requests of another tenant each second all the while, and one of the tenant every two seconds.
    let calm_until = Instant::now() + Duration::from_secs(24);
    for round in 0.. {
        if Instant::now() >= calm_until {
            break;
        }
        if round % 8 == 0 {
            ask("key-busy", 2_000);
        }
        ask("key-other", 2_000);
        thread::sleep(Duration::from_millis(250));
    }
    if case.trouble {
        case.note("runner i-1 crashes for good");
        runners[1].crash();
    }
    // The tenant sends far more than its limit.
    let until = Instant::now() + Duration::from_secs(10);
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        ask("key-busy", 12_000);
        if round % 5 == 0 {
            ask("key-other", 2_000);
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(3_200));
    nodes.iter_mut().for_each(Node::kill);
    let outcomes = outcomes.lock().expect("no poison").clone();
    let arrivals = arrivals.lock().expect("no poison").clone();
    case.note_traffic(&outcomes, &arrivals);
    let (broken, summary) = LIMIT.check("busy", &outcomes, &arrivals);
    case.note(summary.clone());
    if broken { End::Broken(summary) } else { End::Held(summary) }
}

/// Runners fail part of their requests, and all nodes are killed once and start again.
fn repeats_after_kill(case: &mut Case) -> End {
    const SPELL: Duration = Duration::from_secs(4);
    let grey = case.trouble;
    let kill = case.trouble && std::env::var("TROUBLE").map_or(true, |text| text != "grey");
    let store = Store::start();
    let route = "{\"name\":\"lookup\",\"host\":\"h.example\",\"prefix\":\"/lookup/\",\"route_kind\":\"idempotent\",\
                 \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"app\",\"max_attempts\":2}";
    let tenants = "{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}";
    store.put("op", "config", Some(&config(1, route, tenants, 110)));
    let arrivals = Arc::default();
    let failing = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let runners: Vec<Runner> = (0..4)
        .map(|number| {
            let failing = Arc::clone(&failing);
            let count = std::sync::atomic::AtomicU64::new(number * 7);
            Runner::start(&format!("i-{number}"), (6, 24), &arrivals, move |_| {
                let at = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                // 9 of 20, spread.
                let fails = failing.load(std::sync::atomic::Ordering::SeqCst) && (at * 9) % 20 < 9;
                let time = Duration::from_millis(15);
                if fails { Work::Fail(time) } else { Work::Answer(time) }
            })
        })
        .collect();
    for (number, runner) in runners.iter().enumerate() {
        runner.register(&store, "app", ZONES[number % 3], HEARTBEAT);
    }
    let mut nodes = match start_nodes(2, &store, &case.work) {
        Ok(nodes) => nodes,
        Err(reason) => return End::NotRun(reason),
    };
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.caller).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let traffic = {
        let (callers, outcomes, stop) = (callers.clone(), Arc::clone(&outcomes), Arc::clone(&stop));
        thread::spawn(move || {
            let mut sent = 0_usize;
            while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                sent += 1;
                let (callers, outcomes) = (callers.clone(), Arc::clone(&outcomes));
                thread::spawn(move || {
                    // A client comes back once after a failure, at the other node.
                    for attempt in 0..2 {
                        let request = ClientRequest {
                            id: format!("r{sent:05}-{attempt}"),
                            method: "GET",
                            path: "/lookup/item".to_owned(),
                            key: "key-one".to_owned(),
                            deadline: Duration::from_millis(1_500),
                            tokens: None,
                            upload: (0, Duration::ZERO),
                            padding: 0,
                        };
                        let outcome = send(callers[(sent + attempt) % callers.len()], &request);
                        let (status, wait) = (outcome.status, outcome.retry_after);
                        outcomes.lock().expect("no poison").push(outcome);
                        if status.is_some_and(|status| status < 500 && status != 429) {
                            break;
                        }
                        thread::sleep(wait.unwrap_or(Duration::from_millis(50)));
                    }
                });
                thread::sleep(Duration::from_micros(3_400));
            }
        })
    };
    thread::sleep(Duration::from_secs(12));
    let set_failing = |case: &mut Case, fails: bool| {
        let what = if fails { "begin to fail 0.45 of their requests" } else { "are sound again" };
        if grey {
            case.note(format!("runners {what}"));
            failing.store(fails, std::sync::atomic::Ordering::SeqCst);
        }
    };
    set_failing(case, true);
    thread::sleep(SPELL);
    set_failing(case, false);
    if kill {
        case.note("all nodes are killed");
        nodes.iter_mut().for_each(Node::kill);
        thread::sleep(Duration::from_millis(200));
        for node in &mut nodes {
            if let Err(error) = node.start() {
                return End::NotRun(error.to_string());
            }
        }
        case.note("all nodes are started again");
    }
    thread::sleep(Duration::from_millis(300));
    set_failing(case, true);
    thread::sleep(SPELL);
    set_failing(case, false);
    thread::sleep(Duration::from_millis(2_000));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    drop(traffic.join());
    thread::sleep(Duration::from_millis(2_500));
    nodes.iter_mut().for_each(Node::kill);
    let outcomes = outcomes.lock().expect("no poison").clone();
    let arrivals = arrivals.lock().expect("no poison").clone();
    case.note_traffic(&outcomes, &arrivals);
    let mut seen: HashMap<&str, u32> = HashMap::new();
    let mut repeats = Vec::new();
    let mut ordered: Vec<&Arrival> = arrivals.iter().collect();
    ordered.sort_by_key(|arrival| arrival.at);
    for arrival in ordered {
        let count = seen.entry(&arrival.id).or_insert(0);
        *count += 1;
        if *count > 1 {
            repeats.push(arrival.at);
        }
    }
    let window = Duration::from_secs(10);
    let sent_between = |from: Instant, to: Instant| {
        outcomes.iter().filter(|outcome| outcome.sent_at >= from && outcome.sent_at < to).count()
    };
    let mut worst: Option<(f64, usize, f64)> = None;
    for from in &repeats {
        let count = repeats.iter().filter(|at| **at >= *from && **at <= *from + window).count();
        let before = from.checked_sub(window).unwrap_or(*from);
        let half = from.checked_sub(window / 2).unwrap_or(*from);
        let requests = sent_between(*from, *from + window)
            .max(sent_between(before, *from))
            .max(sent_between(half, half + window));
        let allowed = 0.2 * requests as f64 + 58.0;
        let excess = count as f64 - allowed;
        if worst.is_none_or(|(known, _, _)| excess > known) {
            worst = Some((excess, count, allowed));
        }
    }
    let (excess, count, allowed) = worst.unwrap_or((-58.0, 0, 58.0));
    let summary = format!(
        "{count} arrivals beyond the first of each request in 10 s, {allowed:.1} are allowed"
    );
    case.note(summary.clone());
    if excess > 0.0 { End::Broken(summary) } else { End::Held(summary) }
}

/// A key moves from one tenant to another while clients send bodies. Both configurations allow their requests.
fn key_moved(case: &mut Case) -> End {
    let store = Store::start();
    let route = "{\"name\":\"post\",\"host\":\"h.example\",\"prefix\":\"/post/\",\"route_kind\":\"non_idempotent\",\
                 \"timeout_ms\":15000,\"target_latency_ms\":600,\"priority\":2,\"service\":\"app\",\"max_attempts\":1}";
    let tenant = |name: &str, keys: &str| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[{keys}],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}}"
        )
    };
    let tenants =
        |north: &str, south: &str| format!("{},{}", tenant("north", north), tenant("south", south));
    let (before, after) =
        (tenants("\"key-a\",\"key-b\"", "\"key-c\""), tenants("\"key-b\"", "\"key-c\",\"key-a\""));
    store.put("op", "config", Some(&config(1, route, &before, 110)));
    let arrivals = Arc::default();
    let runners: Vec<Runner> = (0..3)
        .map(|number| {
            Runner::start(&format!("i-{number}"), (24, 96), &arrivals, |_| {
                Work::Answer(Duration::from_millis(15))
            })
        })
        .collect();
    for (number, runner) in runners.iter().enumerate() {
        runner.register(&store, "app", ZONES[number], HEARTBEAT);
    }
    let mut nodes = match start_nodes(2, &store, &case.work) {
        Ok(nodes) => nodes,
        Err(reason) => return End::NotRun(reason),
    };
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.caller).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(14);
    // Each client sends one request after the other, over a slow link.
    let clients: Vec<_> = (0..40_usize)
        .map(|client| {
            let (node, outcomes) = (callers[client % callers.len()], Arc::clone(&outcomes));
            thread::spawn(move || {
                for turn in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let request = ClientRequest {
                        id: format!("u{client:02}-{turn:02}"),
                        method: "POST",
                        path: "/post/item".to_owned(),
                        key: "key-a".to_owned(),
                        deadline: Duration::from_millis(15_000),
                        tokens: None,
                        upload: (64_000, Duration::from_secs(2)),
                        padding: 0,
                    };
                    let outcome = send(node, &request);
                    outcomes.lock().expect("no poison").push(outcome);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(7));
    if case.trouble {
        case.note("configuration 2: key-a moves from north to south");
        store.put("op", "config", Some(&config(2, route, &after, 110)));
    }
    for client in clients {
        drop(client.join());
    }
    nodes.iter_mut().for_each(Node::kill);
    let outcomes = outcomes.lock().expect("no poison").clone();
    let arrivals = arrivals.lock().expect("no poison").clone();
    case.note_traffic(&outcomes, &arrivals);
    let denied = outcomes.iter().filter(|outcome| outcome.status == Some(401)).count();
    let allowed = 5.0 + outcomes.len() as f64 / 500.0;
    let summary = format!(
        "{denied} of {} requests with a key that both configurations hold were answered 401, {allowed:.1} are allowed",
        outcomes.len()
    );
    case.note(summary.clone());
    if denied as f64 > allowed { End::Broken(summary) } else { End::Held(summary) }
}

/// A new configuration permits longer heads. Clients on kept connections use that later.
fn heads_allowed_later(case: &mut Case) -> End {
    let store = Store::start();
    let route = "{\"name\":\"lookup\",\"host\":\"h.example\",\"prefix\":\"/lookup/\",\"route_kind\":\"idempotent\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":2,\"service\":\"app\",\"max_attempts\":2}";
    let tenants = "{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}";
    let heads = |version, bytes| config_with_heads(version, route, tenants, 110, bytes);
    let first = if case.trouble { heads(1, 8_192) } else { heads(1, 16_384) };
    store.put("op", "config", Some(&first));
    let arrivals = Arc::default();
    let runners: Vec<Runner> = (0..3)
        .map(|number| {
            Runner::start(&format!("i-{number}"), (24, 96), &arrivals, |_| {
                Work::Answer(Duration::from_millis(15))
            })
        })
        .collect();
    for (number, runner) in runners.iter().enumerate() {
        runner.register(&store, "app", ZONES[number], HEARTBEAT);
    }
    let mut nodes = match start_nodes(2, &store, &case.work) {
        Ok(nodes) => nodes,
        Err(reason) => return End::NotRun(reason),
    };
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.caller).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let started = Instant::now();
    let (long_from, until) = (Duration::from_secs(10), Duration::from_secs(14));
    let clients: Vec<_> = (0..40_usize)
        .map(|client| {
            let (node, outcomes) = (callers[client % callers.len()], Arc::clone(&outcomes));
            thread::spawn(move || {
                let mut kept = None;
                for turn in 0.. {
                    if started.elapsed() >= until {
                        break;
                    }
                    let is_long = started.elapsed() >= long_from;
                    let request = ClientRequest {
                        id: format!("h{client:02}-{turn:03}"),
                        method: "GET",
                        path: "/lookup/item".to_owned(),
                        key: "key-one".to_owned(),
                        deadline: Duration::from_millis(3_000),
                        tokens: None,
                        upload: (0, Duration::ZERO),
                        padding: if is_long { 10_000 } else { 100 },
                    };
                    let outcome = send_kept(&mut kept, node, &request);
                    outcomes.lock().expect("no poison").push(outcome);
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if case.trouble {
        case.note("configuration 2: max_header_bytes is 16384, before 8192");
        store.put("op", "config", Some(&heads(2, 16_384)));
    }
    for client in clients {
        drop(client.join());
    }
    nodes.iter_mut().for_each(Node::kill);
    let outcomes = outcomes.lock().expect("no poison").clone();
    let arrivals = arrivals.lock().expect("no poison").clone();
    case.note_traffic(&outcomes, &arrivals);
    let denied = outcomes.iter().filter(|outcome| outcome.status == Some(431)).count();
    let allowed = 5.0 + outcomes.len() as f64 / 500.0;
    let long = outcomes.iter().filter(|outcome| outcome.request.padding > 8_192).count();
    let served = outcomes.iter().filter(|outcome| outcome.status == Some(200)).count();
    let summary = format!(
        "{denied} of {} requests, {long} of them with heads of 10,000 bytes that are within the limit, were answered 431, \
         {allowed:.1} are allowed; {served} were served",
        outcomes.len()
    );
    case.note(summary.clone());
    if denied as f64 > allowed { End::Broken(summary) } else { End::Held(summary) }
}

/// Limit of a tenant, in tokens.
#[derive(Clone, Copy)]
struct Limit {
    rate: u64,
    burst: u64,
}

impl Limit {
    /// Checks that no more of `tenant` was both sent and run in a window than the limit with its overage and slack.
    fn check(self, tenant: &str, outcomes: &[Outcome], arrivals: &[Arrival]) -> (bool, String) {
        let sent_at: HashMap<&str, Instant> =
            outcomes.iter().map(|outcome| (outcome.request.id.as_str(), outcome.sent_at)).collect();
        // Each request once, from its sending to its first run.
        let mut runs: HashMap<&str, (Instant, Instant, u64)> = HashMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran && arrival.tenant == tenant) {
            let Some(sent_at) = sent_at.get(arrival.id.as_str()) else { continue };
            let run = runs.entry(&arrival.id).or_insert((*sent_at, arrival.at, arrival.tokens));
            run.1 = run.1.min(arrival.at);
        }
        let window = Duration::from_secs(8);
        let most = runs
            .values()
            .map(|(from, _, _)| {
                let inside =
                    runs.values().filter(|(sent, at, _)| sent >= from && *at <= *from + window);
                inside.map(|(_, _, tokens)| *tokens).sum::<u64>()
            })
            .max()
            .unwrap_or(0);
        let limit = (self.rate * 8 + self.burst) as f64 * 1.1 + 140_000.0;
        let summary = format!(
            "at most {most} tokens of the tenant were sent and run in 8 s, the limit with its overage and slack is {limit:.0}; {} requests ran",
            runs.len()
        );
        (most as f64 > limit, summary)
    }
}
