//! Measures the control traffic of idle clusters of several sizes: datagrams, bytes, table calls,
//! CPU time and memory per node.

use std::time::Duration;

use argh::FromArgs;
use samphiredeck_standins::{
    fixture::{DOMAINS, START_TIMEOUT},
    launch::{EngineSpec, LocalSystem, NodeSpec},
};
use serde_json::{Value, json};

/// Measure the cost of the control plane at several cluster sizes.
#[derive(Debug, FromArgs)]
struct CostArgs {
    /// duration of each measurement in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// numbers of nodes, comma-separated
    #[argh(option, default = "String::from(\"3,6,12,24\")")]
    nodes: String,
    /// numbers of upstreams behind three nodes, comma-separated
    #[argh(option, default = "String::from(\"4,16,64\")")]
    upstreams: String,
}

/// Sums of the counters of all nodes at one time.
#[derive(Clone, Copy, Debug, Default)]
struct CostTotals {
    datagrams: f64,
    bytes: f64,
    writes: f64,
    reads: f64,
    cpu_seconds: f64,
    memory_mib: f64,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: CostArgs = argh::from_env();
    println!("per node and second");
    println!("nodes upstreams datagrams   bytes   writes   reads   core%   MiB");
    for nodes in parse_numbers(&args.nodes) {
        measure(nodes, 0, args.seconds).await?;
    }
    for upstreams in parse_numbers(&args.upstreams) {
        measure(3, upstreams, args.seconds).await?;
    }
    Ok(())
}

fn parse_numbers(text: &str) -> Vec<usize> {
    text.split(',').filter_map(|word| word.parse().ok()).collect()
}

/// Starts a system and prints the cost per node.
async fn measure(nodes: usize, upstreams: usize, seconds: u64) -> eyre::Result<()> {
    let mut system = LocalSystem::start(&["--writes", "2000", "--reads", "20000"])?;
    for number in 0..upstreams {
        let spec = EngineSpec::new(&format!("engine-{number}"), DOMAINS[number % 4]);
        system.add_engine(&spec, None).await?;
    }
    for number in 0..nodes {
        let settings = json!({ "log": { "level": "warn" }, "limits": { "workers": 1 } });
        let spec =
            NodeSpec { settings, ..NodeSpec::new(&format!("entry-{number}"), DOMAINS[number % 4]) };
        system.add_node(spec)?;
    }
    system.wait_ready(START_TIMEOUT).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = collect(&system).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = collect(&system).await?;
    let node_seconds = as_f64(nodes) * Duration::from_secs(seconds).as_secs_f64();
    println!(
        "{nodes:5} {upstreams:9} {:9.1} {:7.0} {:8.2} {:7.2} {:7.2} {:5.1}",
        (after.datagrams - before.datagrams) / node_seconds,
        (after.bytes - before.bytes) / node_seconds,
        (after.writes - before.writes) / node_seconds,
        (after.reads - before.reads) / node_seconds,
        (after.cpu_seconds - before.cpu_seconds) * 100.0 / node_seconds,
        after.memory_mib / as_f64(nodes),
    );
    Ok(())
}

fn as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_precision_loss, reason = "shown to two digits")]
async fn collect(system: &LocalSystem) -> eyre::Result<CostTotals> {
    let mut totals = CostTotals::default();
    for node in &system.nodes {
        let view: Value = system.client.view(node.process.address()).await?;
        let counter = |name: &str| view["counters"][name].as_f64().unwrap_or(0.0);
        totals.datagrams += counter("datagrams_sent");
        totals.bytes += counter("datagram_bytes");
        totals.writes += counter("transactions");
        totals.reads += counter("table_reads");
        totals.cpu_seconds += node.process.cpu_time().as_secs_f64();
        totals.memory_mib += node.process.resident_bytes() as f64 / 1_048_576.0;
    }
    Ok(totals)
}
