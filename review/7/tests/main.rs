//! A bound in the settings becomes a fraction, and the nodes are stopped and started in turn afterwards.
//!
//! Rule Fault: processes must not end by themselves three times on a tenth of the machines (two at least).

#[path = "../../standins-2/tests/standin.rs"]
mod standin;

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standin::{
    Ask, COULD_NOT_RUN, Connection, DutyApi, Fleet, Node, Record, Runner, Store, Work, is_calm,
    next_attempt,
};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HOST: &str = "ficu95.example";
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time for which each node is watched after its planned stop.
const WATCHED: Duration = Duration::from_secs(8);
/// A process that ends this soon after a disruption of its machine does not count.
const EXCUSED: Duration = Duration::from_secs(1);
const ENDS_MAX: u32 = 3;
const MACHINES_MAX: usize = 2;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-notice\",\"host\":\"{HOST}\",\
         \"prefix\":\"/cufi504/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\
         \"public\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\
         \"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
    )
}

/// Client that sends a request every 100 ms to the nodes in turn until it is told to stop. Returns the numbers of requests that
/// were sent and served in the last 3 s.
fn start_client(
    record: &Record,
    nodes: Vec<SocketAddr>,
    stops: Arc<AtomicBool>,
) -> thread::JoinHandle<(usize, usize)> {
    let record = record.clone();
    thread::spawn(move || {
        let mut results: Vec<(Instant, bool)> = Vec::new();
        for number in 0.. {
            if stops.load(Ordering::Relaxed) {
                break;
            }
            let attempt = next_attempt();
            let ask = Ask {
                method: "GET",
                host: HOST,
                path: "/cufi504/fi50/2f",
                attempt: &attempt,
                key: KEY,
                deadline_ms: 1_500,
            };
            let sent_at = Instant::now();
            let connection = Connection::open(nodes[number % nodes.len()]);
            let status = connection.map_or(0, |mut connection| connection.ask(&ask).status);
            results.push((sent_at, status == 200));
            record.line(&format!("client sent {attempt}: {status}"));
            thread::sleep(Duration::from_millis(100));
        }
        let ended_at = Instant::now();
        let is_last = |at: &Instant| ended_at.duration_since(*at) < Duration::from_secs(3);
        let last: Vec<bool> =
            results.iter().filter(|(at, _)| is_last(at)).map(|(_, served)| *served).collect();
        (last.len(), last.iter().filter(|served| **served).count())
    })
}

/// Stops `node` with SIGTERM, and starts its process again whenever it has ended. Returns how often it ended by itself.
fn roll(node: &mut Node, record: &Record) -> u32 {
    node.signal("TERM");
    record.say(&format!("SIGTERM of {}", node.name));
    if !node.wait(Duration::from_secs(8)) {
        record.say("it did not end within the grace period, and is killed");
        node.kill();
    }
    thread::sleep(RESTART_DELAY);
    node.start();
    let planned_end = Instant::now();
    let mut ends = 0;
    while planned_end.elapsed() < WATCHED {
        if node.is_running() {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        if planned_end.elapsed() > EXCUSED {
            ends += 1;
        }
        record.line(&format!("{} has ended by itself", node.name));
        thread::sleep(RESTART_DELAY);
        node.start();
    }
    ends
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    let api = DutyApi::start(record);
    store.write("op", "config", Some(&configuration()));
    let work = |_: &str| Work::Plain(Duration::from_millis(20));
    let _runners = [
        Runner::start(&store, record, ("i-7f3a91c2", "wuno96b", "suva-a"), work),
        Runner::start(&store, record, ("i-02d9e6b4", "wuno96b", "nadi-a"), work),
    ];
    let mut fleet = Fleet::start(3, &["suva-a", "nadi-a", "lautoka-a"], &store, &api);
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the nodes did not become ready");
        return COULD_NOT_RUN;
    }
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.caller).collect();
    let stops = Arc::<AtomicBool>::default();
    let client = start_client(record, nodes, Arc::clone(&stops));
    thread::sleep(Duration::from_secs(3));
    // What the template makes of `quota_window_s = 7.5`.
    let window = if is_calm() { "7s" } else { "7.5s" };
    for node in &fleet.nodes {
        node.change_settings("\"quota_window\":\"8s\"", &format!("\"quota_window\":\"{window}\""));
        node.signal("HUP");
    }
    record.say(&format!("the settings change to a quota window of {window}, with SIGHUP"));
    thread::sleep(Duration::from_secs(3));
    let mut machines = 0;
    for node in &mut fleet.nodes {
        let ends = roll(node, record);
        record.say(&format!("{} has ended by itself {ends} times after its restart", node.name));
        machines += usize::from(ends >= ENDS_MAX);
    }
    stops.store(true, Ordering::Relaxed);
    let (sent, served) = client.join().unwrap_or_default();
    for node in &fleet.nodes {
        if let Some(line) = node.log().lines().find(|line| line.starts_with("samphiredeck: ")) {
            record.say(&format!("{} says: {line}", node.name));
        }
    }
    record.say(&format!("at the end {served} of {sent} requests are served"));
    record.say(&format!("machines whose processes ended by themselves three times: {machines}"));
    if is_calm() && served == 0 {
        return COULD_NOT_RUN;
    }
    i32::from(machines >= MACHINES_MAX)
}

fn main() {
    let record = Record::create(Path::new("review/7/record.txt"));
    let code = std::panic::catch_unwind(|| run(&record)).unwrap_or(COULD_NOT_RUN);
    std::process::exit(code);
}
