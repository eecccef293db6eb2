//! Logs: short sentences on standard error, each with the fixed prefix of its part.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Prefix of start and stop.
pub const NODE: &str = "node";
/// Prefix of the caller side.
pub const CALLER: &str = "caller";
/// Prefix of the runs of requests.
pub const RUN: &str = "run";
/// Prefix of admission and routing.
pub const ROUTE: &str = "route";
/// Prefix of the declaration and its changes.
pub const CONFIG: &str = "config";
/// Prefix of membership and peer links.
pub const PEER: &str = "peer";
/// Prefix of the platform's services.
pub const PLATFORM: &str = "platform";
/// Prefix of recorded work and takeovers.
pub const WORK: &str = "work";
/// Prefix of placement.
pub const PLACE: &str = "place";
/// Prefix of the operators' side.
pub const ADMIN: &str = "admin";

/// Starts logging from `level` on. The part stands as the target of each line.
pub fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_ignore_str("actix_server")
        .add_filter_ignore_str("actix_http")
        .add_filter_ignore_str("mio")
        .build();
    // A second start in one process would fail, and the first one stays in force.
    drop(TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never));
}
