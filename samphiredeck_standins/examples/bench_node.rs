//! Benchmark of one node: latency and throughput of the same load sent directly to an instant
//! engine and through the node, and the memory used by open streams.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use awc::{Client, Connector};
use hdrhistogram::Histogram;
use samphiredeck_standins::{
    fixture::{START_TIMEOUT, example_declaration},
    launch::{EngineSpec, LocalSystem, NodeSpec},
};
use serde_json::{Value, json};

/// Time for which the load generator keeps idle connections.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Measure latency, throughput and memory of one node on loopback.
#[derive(Debug, FromArgs)]
struct BenchArgs {
    /// duration of each measurement in seconds
    #[argh(option, default = "6")]
    seconds: u64,
    /// concurrent callers of the saturation measurement
    #[argh(option, default = "32")]
    callers: usize,
    /// number of tokens of each answer
    #[argh(option, default = "8")]
    tokens: u64,
    /// number of open streams of the memory measurement
    #[argh(option, default = "1000")]
    streams: usize,
}

/// Target of the load, with the request format that it expects.
#[derive(Clone)]
struct LoadTarget {
    url: String,
    body: Value,
    next_number: Rc<Cell<u64>>,
}

impl LoadTarget {
    fn engine(address: SocketAddr, tokens: u64) -> Self {
        let body = json!({
            "model": "tala-8b", "prompt": "user: hello\n", "max_tokens": tokens, "generated": "",
        });
        Self { url: format!("http://{address}/generate"), body, next_number: Rc::default() }
    }

    fn node(address: SocketAddr, tokens: u64) -> Self {
        let body = json!({
            "model": "tala-8b", "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "hello" }],
        });
        Self {
            url: format!("http://{address}/v1/chat/completions"),
            body,
            next_number: Rc::default(),
        }
    }

    /// Sends one request and reads the complete response. Returns whether it succeeded.
    async fn send(&self, client: &Client) -> bool {
        self.next_number.set(self.next_number.get() + 1);
        let call = client
            .post(&self.url)
            .insert_header(("authorization", "Bearer wharf-key"))
            .insert_header(("x-priority", "urgent"))
            .insert_header(("x-request-id", format!("bench:{:016x}", self.next_number.get())));
        let Ok(mut response) = call.send_json(&self.body).await else { return false };
        response.body().await.is_ok() && response.status().is_success()
    }
}

fn new_client() -> Client {
    let connector = Connector::new().conn_keep_alive(KEEP_ALIVE).limit(0);
    Client::builder().connector(connector).disable_timeout().finish()
}

/// Sends requests from `callers` concurrent callers without pauses. Returns requests per second.
async fn measure_saturation(target: &LoadTarget, callers: usize, length: Duration) -> f64 {
    let done = Rc::new(Cell::new(0_u32));
    let client = new_client();
    let deadline = Instant::now() + length;
    let tasks = (0..callers).map(|_| {
        let (target, client, done) = (target.clone(), client.clone(), Rc::clone(&done));
        actix_web::rt::spawn(async move {
            while Instant::now() < deadline {
                if target.send(&client).await {
                    done.set(done.get() + 1);
                }
            }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    for task in tasks {
        drop(task.await);
    }
    f64::from(done.get()) / length.as_secs_f64()
}

/// Sends requests at a constant rate. Returns the latencies in microseconds.
async fn measure_latency(target: &LoadTarget, rate: f64, length: Duration) -> Histogram<u64> {
    let mut latencies =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("the histogram bounds are valid");
    let client = new_client();
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        tokio::time::sleep_until((started_at + at).into()).await;
        let (target, client) = (target.clone(), client.clone());
        tasks.push(actix_web::rt::spawn(async move {
            let sent = Instant::now();
            target.send(&client).await.then(|| sent.elapsed())
        }));
        at += Duration::from_secs_f64(1.0 / rate);
    }
    for task in tasks {
        if let Ok(Some(time)) = task.await {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            latencies.saturating_record(micros);
        }
    }
    latencies
}

/// Starts one engine with the given arguments, and one node in front of it.
async fn start_system(engine_args: &[&str]) -> eyre::Result<LocalSystem> {
    let mut system = LocalSystem::start(&[])?;
    let spec = EngineSpec {
        args: engine_args.iter().map(|arg| (*arg).to_owned()).collect(),
        ..EngineSpec::new("engine-1", "suva-a")
    };
    system.add_engine(&spec, None).await?;
    let settings = json!({ "limits": { "workers": 1 }, "log": { "level": "warn" } });
    system.add_node(NodeSpec { settings, ..NodeSpec::new("entry-1", "suva-a") })?;
    system.wait_ready(START_TIMEOUT).await?;
    system.wait_upstreams(1, START_TIMEOUT).await?;
    let mut declaration = example_declaration();
    declaration["workspaces"][0]["max_in_flight"] = json!(100_000);
    system.client.change_declaration(system.node_address(0), &declaration, None).await?;
    Ok(system)
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: BenchArgs = argh::from_env();
    let length = Duration::from_secs(args.seconds);
    let system = start_system(&["--instant", "--slots", "4096"]).await?;
    let node = &system.nodes[0].process;
    println!("at rest: {:.1} MiB", mebibytes(node.resident_bytes()));
    let engine = LoadTarget::engine(system.engines[0].address(), args.tokens);
    let via_node = LoadTarget::node(system.node_address(0), args.tokens);
    let direct_rate = measure_saturation(&engine, args.callers, length).await;
    let before = node.cpu_time();
    let node_rate = measure_saturation(&via_node, args.callers, length).await;
    let cores = node.cpu_time().saturating_sub(before).as_secs_f64() / length.as_secs_f64();
    println!("direct to the engine: {direct_rate:.0} requests/s");
    println!(
        "through the node: {node_rate:.0} requests/s with {cores:.2} cores of the node, {:.0} requests/s and {:.0} tokens/s per core",
        node_rate / cores,
        node_rate / cores * tokens_as_f64(args.tokens),
    );
    let rate = node_rate / 2.0;
    for round in 1..=3 {
        let direct = measure_latency(&engine, rate, length).await;
        let through_node = measure_latency(&via_node, rate, length).await;
        println!(
            "round {round} at {rate:.0}/s: direct p50 {} p99 {} us, through the node p50 {} p99 {} us, added p50 {} p99 {} us",
            direct.value_at_quantile(0.5),
            direct.value_at_quantile(0.99),
            through_node.value_at_quantile(0.5),
            through_node.value_at_quantile(0.99),
            through_node.value_at_quantile(0.5).saturating_sub(direct.value_at_quantile(0.5)),
            through_node.value_at_quantile(0.99).saturating_sub(direct.value_at_quantile(0.99)),
        );
    }
    measure_streams(args.streams).await
}

#[expect(clippy::cast_precision_loss, reason = "shown to one digit")]
fn mebibytes(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}

fn tokens_as_f64(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}

/// Opens many slow streams through a new node and measures its memory.
async fn measure_streams(streams: usize) -> eyre::Result<()> {
    let system = start_system(&["--slots", "100000", "--decode", "5", "--slowdown", "0"]).await?;
    let at_rest = system.nodes[0].process.resident_bytes();
    let target = LoadTarget::node(system.node_address(0), 100);
    let client = new_client();
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            let (target, client) = (target.clone(), client.clone());
            actix_web::rt::spawn(async move { target.send(&client).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let open = system.nodes[0].process.resident_bytes();
    println!(
        "{streams} open streams: {:.1} MiB over {:.1} MiB at rest",
        mebibytes(open.saturating_sub(at_rest)),
        mebibytes(at_rest)
    );
    for task in tasks {
        task.abort();
    }
    Ok(())
}
