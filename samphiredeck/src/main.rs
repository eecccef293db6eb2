//! Samphiredeck node: a gateway that routes callers' requests to upstreams.

mod actor;
mod admin;
mod caller;
mod cli;
mod control;
mod engine_client;
mod event;
mod forward;
mod handle;
mod logging;
mod metrics;
mod node;
mod peer_link;
mod peer_server;
mod platform_client;
mod record;
mod run;
mod runner;
mod service_client;
mod settings;
mod stop;
mod transport;
mod view;
mod whole_response;

use std::{io::Read, process::ExitCode};

use mimalloc::MiMalloc;
use samphiredeck_core::ids::KeyHash;

use crate::{
    cli::{NodeArgs, NodeCommand},
    forward::{run_forward, settings::load_forward_settings},
    settings::load_settings,
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit status for invalid settings or a listen address that can't be bound.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: NodeArgs = argh::from_env();
    let result = match args.command {
        NodeCommand::Run(run) => run_node(&run.settings),
        NodeCommand::Forward(forward) => run_forward(&forward.settings),
        NodeCommand::Check(check) if check.forward => check_forward_settings(&check.settings),
        NodeCommand::Check(check) => check_settings(&check.settings),
        NodeCommand::Hash(_) => hash_key(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("samphiredeck: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run_node(path: &std::path::Path) -> eyre::Result<()> {
    let settings = load_settings(path)?;
    logging::start_logging(settings.log_level);
    node::run(settings)
}

fn check_settings(path: &std::path::Path) -> eyre::Result<()> {
    let settings = load_settings(path)?;
    println!("settings of node {} in {} are sound", settings.name, settings.domain);
    Ok(())
}

fn check_forward_settings(path: &std::path::Path) -> eyre::Result<()> {
    let settings = load_forward_settings(path)?;
    println!("settings of node {} in {} are sound", settings.name, settings.domain);
    Ok(())
}

fn hash_key() -> eyre::Result<()> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    println!("{}", KeyHash::of(key.trim_end()));
    Ok(())
}
