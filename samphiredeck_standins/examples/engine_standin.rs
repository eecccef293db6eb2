//! Simulated model engine as a separate process. Prints its address.

use std::{net::TcpListener, time::Duration};

use argh::FromArgs;
use samphiredeck_core::ids::ModelName;
use samphiredeck_standins::engine::{EngineOptions, serve};

/// Simulated model engine.
#[derive(Debug, FromArgs)]
struct EngineArgs {
    /// loaded models, comma-separated
    #[argh(option, default = "String::from(\"tala-8b\")")]
    models: String,
    /// number of streams that run concurrently
    #[argh(option, default = "16")]
    slots: u32,
    /// prompt tokens computed per second
    #[argh(option, default = "8000")]
    prefill: u32,
    /// tokens per second of a stream that runs alone
    #[argh(option, default = "60")]
    decode: u32,
    /// slowdown of decoding when all slots are taken; 1.0 means half the rate
    #[argh(option, default = "0.5")]
    slowdown: f64,
    /// capacity of the prefix cache in blocks
    #[argh(option, default = "4096")]
    cache: usize,
    /// age of the load and cache events in a report, in milliseconds
    #[argh(option, default = "300")]
    report_lag: u64,
    /// share of cache events in permille after which older events are lost
    #[argh(option, default = "1")]
    gaps: u32,
    /// accept orders with an outdated fencing token
    #[argh(switch)]
    ignore_fence: bool,
    /// time to load a model in milliseconds
    #[argh(option, default = "500")]
    load_time: u64,
    /// tokens of KV cache transferred per second
    #[argh(option, default = "40000")]
    move_rate: u64,
    /// network round trip to the nodes in milliseconds
    #[argh(option, default = "0")]
    delay: u64,
    /// answer without simulated computing time
    #[argh(switch)]
    instant: bool,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: EngineArgs = argh::from_env();
    let mut models: Vec<ModelName> = Vec::new();
    for name in args.models.split(',').filter(|name| !name.is_empty()) {
        models.push(name.parse()?);
    }
    models.sort();
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    println!("listening {}", listener.local_addr()?);
    let options = EngineOptions {
        slots: args.slots,
        prefill_rate: args.prefill,
        decode_rate: args.decode,
        batch_slowdown: args.slowdown,
        cache_blocks: args.cache,
        report_lag: Duration::from_millis(args.report_lag),
        gap_permille: args.gaps,
        check_fence: !args.ignore_fence,
        load_time: Duration::from_millis(args.load_time),
        move_rate: args.move_rate,
        delay: Duration::from_millis(args.delay),
        instant: args.instant,
    };
    Ok(serve(listener, options, models).await?)
}
