//! Stand-in for a model engine as a process of its own. Prints its address.

use std::{net::TcpListener, time::Duration};

use argh::FromArgs;
use samphiredeck_core::ids::ModelName;
use samphiredeck_standins::engine::{EngineOptions, serve};

/// Stand-in for a model engine.
#[derive(Debug, FromArgs)]
struct EngineArgs {
    /// models that are loaded, with commas between
    #[argh(option, default = "String::from(\"tala-8b\")")]
    models: String,
    /// streams that run at once
    #[argh(option, default = "16")]
    slots: u32,
    /// prompt tokens computed a second
    #[argh(option, default = "8000")]
    prefill: u32,
    /// tokens a second for a stream that is alone
    #[argh(option, default = "60")]
    decode: u32,
    /// how much slower a stream is when all slots are taken
    #[argh(option, default = "0.5")]
    slowdown: f64,
    /// blocks of the prefix cache
    #[argh(option, default = "4096")]
    cache: usize,
    /// age of the load in a report, in milliseconds
    #[argh(option, default = "300")]
    report_lag: u64,
    /// cache events out of 1000 after which older ones are lost
    #[argh(option, default = "1")]
    gaps: u32,
    /// take orders with an old fencing number too
    #[argh(switch)]
    ignore_fence: bool,
    /// time to load a model in milliseconds
    #[argh(option, default = "500")]
    load_time: u64,
    /// tokens of cache moved a second
    #[argh(option, default = "40000")]
    move_rate: u64,
    /// round trip to the nodes in milliseconds
    #[argh(option, default = "0")]
    delay: u64,
    /// answer at once
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
