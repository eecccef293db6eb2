//! Demonstration of a complete local system: platform, engines, one service and three nodes.
//!
//! Streams one answer, reclaims its engine in the middle, and shows the operator's view afterwards.
//! The system stays up until Ctrl-C, or exits directly with `--once`.

use std::{process::Command, time::Duration};

use argh::FromArgs;
use eyre::{WrapErr, ensure, eyre};
use samphiredeck_standins::{
    client::{ChatRequest, operator_key},
    launch::{EngineSpec, LocalSystem, NodeSpec},
    platform::ReclaimOrder,
};
use serde_json::Value;

/// Maximum time until the system is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of tokens of the answer.
const ANSWER_TOKENS: u64 = 150;
/// Time after the start of the request at which its engine is reclaimed.
const RECLAIM_AFTER: Duration = Duration::from_millis(800);
/// Notice period of the reclaim in milliseconds.
const NOTICE_MS: u64 = 3_000;

/// Start a small system, demonstrate one reclaim, and stay up.
#[derive(Debug, FromArgs)]
struct DemoArgs {
    /// exit after the demonstration
    #[argh(switch)]
    once: bool,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: DemoArgs = argh::from_env();
    let system = start_system().await?;
    show_reclaim(&system).await?;
    run_samphirectl(&system, &["upstreams"])?;
    // Usage accounts are saved every few seconds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    run_samphirectl(&system, &["cost"])?;
    run_samphirectl(&system, &["report", "burn"])?;
    if args.once {
        return Ok(());
    }
    print_usage(&system);
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
    system.wait_ready(START_TIMEOUT).await?;
    system.wait_upstreams(5, START_TIMEOUT).await?;
    run_samphirectl(&system, &["apply", &declaration_path()])?;
    Ok(system)
}

fn declaration_path() -> String {
    format!("{}/../examples/vakatoka/declaration.json", env!("CARGO_MANIFEST_DIR"))
}

/// Streams an answer and reclaims its engine in the meantime.
async fn show_reclaim(system: &LocalSystem) -> eyre::Result<()> {
    let request =
        ChatRequest::new("Who paid for the ferry to Ovalau, and who owes whom?", ANSWER_TOKENS);
    let (client, address, sent_request) =
        (system.client.clone(), system.node_address(0), request.clone());
    let answer = actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    tokio::time::sleep(RECLAIM_AFTER).await;
    let engine = serving_engine(system).await?;
    println!("\nThe platform reclaims {engine} in {NOTICE_MS} ms, in the middle of the answer.");
    let order = ReclaimOrder { ids: vec![engine.parse()?], left_ms: NOTICE_MS };
    system.client.post_json(system.platform.address(), "/control/reclaim", &order).await?;
    let result = answer.await?;
    ensure!(result.is_correct(&request), "the answer is incomplete or wrong: {result:?}");
    println!(
        "The answer is complete: {ANSWER_TOKENS} tokens, the first after {} ms, request {}.\n",
        result.time_to_first_token.unwrap_or_default().as_millis(),
        result.request_id
    );
    Ok(())
}

/// Returns the engine that serves the only running request.
async fn serving_engine(system: &LocalSystem) -> eyre::Result<String> {
    let view = system.client.view(system.node_address(0)).await?;
    let upstream = view["runs"].as_array().and_then(|runs| runs.first()?["upstream"].as_str());
    upstream.map(str::to_owned).ok_or_else(|| eyre!("no request is running: {view}"))
}

/// Runs `samphirectl` with its output shown.
fn run_samphirectl(system: &LocalSystem, words: &[&str]) -> eyre::Result<()> {
    println!("$ samphirectl {}", words.join(" "));
    let status = Command::new(system.samphirectl_path())
        .args(["--node", &system.node_address(0).to_string()])
        .args(words)
        .env("SAMPHIREDECK_OPERATOR_KEY", operator_key())
        .status()
        .wrap_err("samphirectl")?;
    ensure!(status.success(), "samphirectl {} exited with {status}", words.join(" "));
    println!();
    Ok(())
}

fn print_usage(system: &LocalSystem) {
    let node = system.node_address(1);
    let body = Value::from("hello").to_string();
    println!("The system stays up until Ctrl-C. Logs are in {}.", system.work_dir().display());
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
        system.samphirectl_path().display()
    );
}
