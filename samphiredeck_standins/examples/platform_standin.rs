//! Simulated platform as a separate process. Prints its address.

use std::{net::TcpListener, time::Duration};

use argh::FromArgs;
use samphiredeck_standins::platform::{PlatformOptions, serve};

/// Simulated platform.
#[derive(Debug, FromArgs)]
struct PlatformArgs {
    /// maximum number of table writes per second
    #[argh(option, default = "400")]
    writes: u32,
    /// maximum number of table reads per second
    #[argh(option, default = "2000")]
    reads: u32,
    /// delay until changes appear in the instance list, in milliseconds
    #[argh(option, default = "2000")]
    list_lag: u64,
    /// duration of each call in milliseconds
    #[argh(option, default = "3")]
    latency: u64,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: PlatformArgs = argh::from_env();
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    println!("listening {}", listener.local_addr()?);
    let options = PlatformOptions {
        writes_per_second: args.writes,
        reads_per_second: args.reads,
        list_lag: Duration::from_millis(args.list_lag),
        latency: Duration::from_millis(args.latency),
    };
    serve(listener, options).await
}
