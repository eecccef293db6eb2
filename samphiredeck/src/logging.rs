//! Logging to standard error. Each line carries the subsystem as its log target.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Log target for startup and shutdown.
pub const NODE: &str = "node";
/// Log target for the HTTP API of callers.
pub const CALLER: &str = "caller";
/// Log target for the execution of requests.
pub const RUN: &str = "run";
/// Log target for admission and routing.
pub const ROUTE: &str = "route";
/// Log target for the declaration and its changes.
pub const CONFIG: &str = "config";
/// Log target for membership and traffic between nodes.
pub const PEER: &str = "peer";
/// Log target for calls to the platform.
pub const PLATFORM: &str = "platform";
/// Log target for work records and takeovers.
pub const WORK: &str = "work";
/// Log target for model placement.
pub const PLACE: &str = "place";
/// Log target for the operator API.
pub const ADMIN: &str = "admin";

/// Initializes the logger with the minimum level `level`.
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
    // Initialization fails if a logger is already set; that logger stays in use.
    drop(TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never));
}
