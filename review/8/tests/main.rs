//! A node is stopped with SIGTERM. Clients send requests on connections that they hold, shortly after 3 s.
//!
//! Rule LOST: around a SIGTERM, a request that was passed on to a runner must get a whole answer, unless the runner was still
//! at work in the last sixth of the grace period on a request that was sent no later than 3 s after the SIGTERM.

#[path = "../../standins-2/tests/standin.rs"]
mod standin;

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use standin::{
    Ask, COULD_NOT_RUN, Connection, DutyApi, Fleet, Record, Reply, Runner, Store, Work, is_calm,
    next_attempt,
};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HOST: &str = "ficu95.example";
/// Paths of requests that take 1 s and 5 s.
const SHORT_PATH: &str = "/lohu930/short";
const LONG_PATH: &str = "/lohu930/long";
/// Number of connections that the clients hold.
const CLIENTS: u32 = 8;
/// Time after the SIGTERM at which the first of them sends, and the time between two.
const FIRST_AT: Duration = Duration::from_millis(3_010);
const SPACING: Duration = Duration::from_millis(10);

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-reconcile\",\"host\":\"{HOST}\",\
         \"prefix\":\"/lohu930/\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":1000,\"gap_aim_ms\":600,\"priority\":1,\"service\":\"huvo11a\",\
         \"max_attempts\":1,\"public\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_connections\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
    )
}

fn ask<'a>(path: &'a str, attempt: &'a str) -> Ask<'a> {
    Ask { method: "POST", host: HOST, path, attempt, key: KEY, deadline_ms: 15_000 }
}

fn run(record: &Record) -> i32 {
    let store = Store::start();
    let api = DutyApi::start(record);
    store.write("op", "config", Some(&configuration()));
    let work = |path: &str| match path {
        SHORT_PATH => Work::Stream(10, Duration::from_millis(100)),
        _ => Work::Stream(50, Duration::from_millis(100)),
    };
    let runner = Runner::start(&store, record, ("i-7f3a91c2", "huvo11a", "suva-a"), work);
    let mut fleet = Fleet::start(2, &["suva-a", "nadi-a"], &store, &api);
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("the nodes did not become ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(2));
    // Each client has had an answer, and keeps its connection.
    let address = fleet.nodes[0].caller;
    let opened: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let mut connection = Connection::open(address).ok()?;
                let attempt = next_attempt();
                let reply = connection.ask(&ask(SHORT_PATH, &attempt));
                (reply.status == 200 && reply.complete).then_some(connection)
            })
        })
        .collect();
    let held: Option<Vec<Connection>> =
        opened.into_iter().map(|client| client.join().ok().flatten()).collect();
    let Some(held) = held else {
        record.say("a client got no answer before the disruption");
        return COULD_NOT_RUN;
    };
    record.say(&format!("{CLIENTS} clients hold connections to {}", fleet.nodes[0].name));
    if is_calm() {
        record.say("no disruption");
    } else {
        fleet.nodes[0].signal("TERM");
        record.say("SIGTERM");
    }
    let signal_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .zip(held)
        .map(|(number, mut connection)| {
            let record = record.clone();
            thread::spawn(move || {
                let send_at = signal_at + FIRST_AT + SPACING * number;
                thread::sleep(send_at.saturating_duration_since(Instant::now()));
                let attempt = next_attempt();
                let sent_ms = signal_at.elapsed().as_millis();
                record.line(&format!("client sends {attempt} {sent_ms} ms after the signal"));
                let reply = connection.ask(&ask(LONG_PATH, &attempt));
                let Reply { status, complete, .. } = reply;
                let end = if complete { "a whole answer" } else { "no whole answer" };
                let took = reply.took.as_millis();
                record.line(&format!("client got for {attempt}: {status}, {end}, after {took} ms"));
                (attempt, sent_ms, reply)
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let Ok((attempt, sent_ms, reply)) = client.join() else { return COULD_NOT_RUN };
        let run = runner.find(&attempt);
        let is_lost = run.is_some() && !reply.complete;
        let ran = if run.is_some() { "run" } else { "not run" };
        let mark = if is_lost { "  <- lost" } else { "" };
        record.say(&format!(
            "sent {sent_ms} ms after the signal: {ran}, status {}, complete {}, after {} ms{mark}",
            reply.status,
            reply.complete,
            reply.took.as_millis()
        ));
        lost += u32::from(is_lost);
    }
    if !is_calm() {
        let ended = fleet.nodes[0].wait(Duration::from_secs(4));
        record.say(&format!("the node has ended by itself: {ended}"));
    }
    record.say(&format!("requests that a runner ran and that got no whole answer: {lost}"));
    i32::from(lost > 0)
}

fn main() {
    let record = Record::create(Path::new("review/8/record.txt"));
    let code = std::panic::catch_unwind(|| run(&record)).unwrap_or(COULD_NOT_RUN);
    std::process::exit(code);
}
