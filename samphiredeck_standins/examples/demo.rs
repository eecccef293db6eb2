//! A whole system on loopback ports: platform, engines and three nodes as processes.
//!
//! Streams one answer, reclaims the engine that gives it in the middle, and shows what operators
//! see afterwards. Then it stays up, or ends with `--once`.

use std::{process::Command, time::Duration};

use argh::FromArgs;
use eyre::{WrapErr, ensure, eyre};
use samphiredeck_standins::{
    launch::{EngineSpec, LocalSystem, NodeSpec},
    platform::ReclaimOrder,
    probe::{ChatAsk, operator_key},
};
use serde_json::Value;

/// Bound on the start of the system.
const START: Duration = Duration::from_secs(20);
/// Tokens of the answer.
const TOKENS: u64 = 150;
/// Time into the answer at which its engine is reclaimed.
const RECLAIM_AFTER: Duration = Duration::from_millis(800);
/// Notice of the reclaim in milliseconds.
const NOTICE_MS: u64 = 3_000;

/// Start a small system, show one reclaim, and stay up.
#[derive(Debug, FromArgs)]
struct DemoArgs {
    /// end after the demonstration
    #[argh(switch)]
    once: bool,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: DemoArgs = argh::from_env();
    let system = start_system().await?;
    show_reclaim(&system).await?;
    show_operators(&system, &["upstreams"])?;
    // The accounts are saved every few seconds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    show_operators(&system, &["cost"])?;
    show_operators(&system, &["report", "burn"])?;
    if args.once {
        return Ok(());
    }
    print_hints(&system);
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn start_system() -> eyre::Result<LocalSystem> {
    println!("Starting platform, four engines, one service and three nodes.");
    let mut system = LocalSystem::start(&[])?;
    for (number, domain) in ["suva-a", "suva-b", "nadi-a", "lautoka-a"].iter().enumerate() {
        let spec = EngineSpec::new(&format!("engine-{}", number + 1), domain);
        system.add_engine(&spec, None).await?;
    }
    system.add_service("ledger-1", "ledger", "suva-a", None).await?;
    for (number, domain) in ["suva-a", "suva-b", "nadi-a"].iter().enumerate() {
        system.add_node(NodeSpec::new(&format!("entry-{}", number + 1), domain))?;
    }
    system.wait_ready(START).await?;
    system.wait_upstreams(5, START).await?;
    show_operators(&system, &["apply", &declaration_path()])?;
    Ok(system)
}

fn declaration_path() -> String {
    format!("{}/../examples/vakatoka/declaration.json", env!("CARGO_MANIFEST_DIR"))
}

/// Streams an answer and reclaims its engine meanwhile.
async fn show_reclaim(system: &LocalSystem) -> eyre::Result<()> {
    let ask = ChatAsk::new("Who paid for the ferry to Ovalau, and who owes whom?", TOKENS);
    let (probe, address, asked) = (system.probe.clone(), system.node_address(0), ask.clone());
    let answer = actix_web::rt::spawn(async move { probe.chat(address, &asked).await });
    tokio::time::sleep(RECLAIM_AFTER).await;
    let engine = serving_engine(system).await?;
    println!("\nThe platform reclaims {engine} in {NOTICE_MS} ms, in the middle of the answer.");
    let order = ReclaimOrder { ids: vec![engine.parse()?], left_ms: NOTICE_MS };
    system.probe.post_json(system.platform.address(), "/control/reclaim", &order).await?;
    let end = answer.await?;
    ensure!(end.is_right(&ask), "the answer did not come whole: {end:?}");
    println!(
        "The answer came whole: {TOKENS} tokens, the first after {} ms, request {}.\n",
        end.first_token.unwrap_or_default().as_millis(),
        end.request
    );
    Ok(())
}

/// Finds the engine that the only running request is at.
async fn serving_engine(system: &LocalSystem) -> eyre::Result<String> {
    let view = system.probe.view(system.node_address(0)).await?;
    let upstream = view["runs"].as_array().and_then(|runs| runs.first()?["upstream"].as_str());
    upstream.map(str::to_owned).ok_or_else(|| eyre!("no request runs: {view}"))
}

/// Runs the operators' program and shows what it prints.
fn show_operators(system: &LocalSystem, words: &[&str]) -> eyre::Result<()> {
    println!("$ samphirectl {}", words.join(" "));
    let status = Command::new(system.operator_program())
        .args(["--node", &system.node_address(0).to_string()])
        .args(words)
        .env("SAMPHIREDECK_OPERATOR_KEY", operator_key())
        .status()
        .wrap_err("samphirectl")?;
    ensure!(status.success(), "samphirectl {} ended with {status}", words.join(" "));
    println!();
    Ok(())
}

fn print_hints(system: &LocalSystem) {
    let node = system.node_address(1);
    let body = Value::from("hello").to_string();
    println!("The system stays up until Ctrl-C. Logs are in {}.", system.folder().display());
    println!("  curl -N http://{node}/v1/chat/completions -H 'authorization: Bearer wharf-key' \\");
    println!(
        "    -H 'x-priority: urgent' -d '{{\"model\":\"tala-8b\",\"stream\":true,\"max_tokens\":20,"
    );
    println!("    \"messages\":[{{\"role\":\"user\",\"content\":{body}}}]}}'");
    println!("  curl http://{node}/ledger/post -H 'authorization: Bearer wharf-key' \\");
    println!("    -H 'idempotency-key: trip-7-share-3' -d '{{\"ref\":\"trip-7-share-3\"}}'");
    println!(
        "  SAMPHIREDECK_OPERATOR_KEY={} {} --node {node} running",
        operator_key(),
        system.operator_program().display()
    );
}
