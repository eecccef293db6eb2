//! A tenant with a long name is taken out of the configuration, and the nodes are stopped and started in turn.
//!
//! Rule ONE: the platform must not get two usage reports for one window with different counts.

#[path = "../../standins-2/tests/standin.rs"]
mod standin;

use std::{
    collections::BTreeMap,
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
    Ask, COULD_NOT_RUN, Connection, DutyApi, Fleet, Json, Record, Runner, Store, Work, is_calm,
    next_attempt, quote,
};

/// A name as a treasurer would write it.
const LEAVING_TENANT: &str = "Vakatoka Church Youth Ferry Group of Lautoka";
const LEAVING_KEY: &str = "i9n73hh2b9wu3fexd9dn";
const STAYING_TENANT: &str = "hule930";
const STAYING_KEY: &str = "n2ctnfzs989anu6wsjnb";
const HOST: &str = "ficu95.example";
/// Time after which the platform starts a process again that has ended, and time until the next one is stopped.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(500);

fn configuration(version: u64, with_leaving: bool) -> String {
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"name\":{},\"api_keys\":[\"{key}\"],\"unit\":\"tokens\",\"uncached_tokens\":200,\
             \"rate_per_s\":138151,\"burst\":138151}}",
            quote(name)
        )
    };
    let mut tenants = vec![tenant(STAYING_TENANT, STAYING_KEY)];
    if with_leaving {
        tenants.push(tenant(LEAVING_TENANT, LEAVING_KEY));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-notice\",\"host\":\"{HOST}\",\
         \"prefix\":\"/cufi504/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\
         \"public\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\
         \"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// Client that sends a request every 100 ms to the nodes in turn until it is told to stop.
fn start_client(
    record: &Record,
    nodes: Vec<SocketAddr>,
    key: &'static str,
    stops: Arc<AtomicBool>,
) -> thread::JoinHandle<u32> {
    let record = record.clone();
    thread::spawn(move || {
        let mut served = 0;
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
                key,
                deadline_ms: 1_500,
            };
            let connection = Connection::open(nodes[number % nodes.len()]);
            let status = connection.map_or(0, |mut connection| connection.ask(&ask).status);
            served += u32::from(status == 200);
            record.line(&format!("client with key {key} sent {attempt}: {status}"));
            thread::sleep(Duration::from_millis(100));
        }
        served
    })
}

/// Different bodies of the accepted reports of each window.
fn reports(api: &DutyApi) -> BTreeMap<i64, Vec<String>> {
    let mut windows: BTreeMap<i64, Vec<String>> = BTreeMap::new();
    for call in api.calls().iter().filter(|call| call.path == "/usage") {
        let window = call.body.get("window").and_then(Json::number).unwrap_or(-1.0) as i64;
        let counts = call.body.get("counts").map(Json::encode).unwrap_or_default();
        let bodies = windows.entry(window).or_default();
        if !bodies.contains(&counts) {
            bodies.push(counts);
        }
    }
    windows
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    let api = DutyApi::start(record);
    store.write("op", "config", Some(&configuration(7, true)));
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
    thread::sleep(Duration::from_secs(3));
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.caller).collect();
    let (stop_leaving, stop_staying) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let leaving = start_client(record, nodes.clone(), LEAVING_KEY, Arc::clone(&stop_leaving));
    let staying = start_client(record, nodes, STAYING_KEY, Arc::clone(&stop_staying));
    // Until a report names the tenant.
    let until = Instant::now() + Duration::from_secs(30);
    let names_leaving = |text: &String| text.contains(&quote(LEAVING_TENANT));
    while !reports(&api).values().flatten().any(names_leaving) {
        if Instant::now() > until {
            record.say("no report of the tenant within 30 s");
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop_leaving.store(true, Ordering::Relaxed);
    let leaving_served = leaving.join().unwrap_or(0);
    store.write("op", "config", Some(&configuration(9, false)));
    record.say("the operator takes the tenant out of the configuration");
    thread::sleep(Duration::from_secs(3));
    if is_calm() {
        record.say("no disruption");
    } else {
        for node in &mut fleet.nodes {
            node.signal("TERM");
            record.say(&format!("SIGTERM of {}", node.name));
            if !node.wait(Duration::from_secs(8)) {
                record.say("it did not end within the grace period");
                return COULD_NOT_RUN;
            }
            thread::sleep(RESTART_DELAY);
            node.start();
            thread::sleep(GAP);
        }
    }
    thread::sleep(Duration::from_secs(17));
    stop_staying.store(true, Ordering::Relaxed);
    let staying_served = staying.join().unwrap_or(0);
    record
        .say(&format!("served: {leaving_served} of the tenant that left, {staying_served} others"));
    let mut broken = 0;
    for (window, bodies) in reports(&api) {
        let mark = if bodies.len() > 1 { "  <- different counts" } else { "" };
        record.say(&format!("window {window}: {}{mark}", bodies.join("  and  ")));
        broken += u32::from(bodies.len() > 1);
    }
    if leaving_served == 0 || staying_served == 0 {
        return COULD_NOT_RUN;
    }
    record.say(&format!("windows with two different reports: {broken}"));
    i32::from(broken > 0)
}

fn main() {
    let record = Record::create(Path::new("review/6/record.txt"));
    let code = std::panic::catch_unwind(|| run(&record)).unwrap_or(COULD_NOT_RUN);
    std::process::exit(code);
}
