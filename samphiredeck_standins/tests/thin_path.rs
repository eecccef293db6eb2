//! End-to-end test with real processes: platform, engines, three nodes and `samphirectl`.

use std::{process::Command, time::Duration};

use samphiredeck_standins::{
    client::{ChatRequest, operator_key},
    launch::{EngineSpec, LocalSystem, NodeSpec},
};

/// Maximum time until the system is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn example(name: &str) -> String {
    format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn samphirectl(system: &LocalSystem, words: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(system.samphirectl_path())
        .args(["--node", &system.node_address(0).to_string()])
        .args(words)
        .env("SAMPHIREDECK_OPERATOR_KEY", operator_key())
        .output()
        .expect("samphirectl can't be started");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text)
}

async fn start() -> eyre::Result<LocalSystem> {
    let mut system = LocalSystem::start(&[])?;
    for (name, domain) in [("engine-1", "suva-a"), ("engine-2", "suva-b")] {
        system.add_engine(&EngineSpec::new(name, domain), None).await?;
    }
    for (name, domain) in [("entry-1", "suva-a"), ("entry-2", "suva-b"), ("entry-3", "nadi-a")] {
        system.add_node(NodeSpec::new(name, domain))?;
    }
    system.wait_ready(START_TIMEOUT).await?;
    system.wait_upstreams(2, START_TIMEOUT).await?;
    Ok(system)
}

#[actix_web::test]
async fn every_node_serves_complete_answers_after_an_apply() -> eyre::Result<()> {
    let mut system = start().await?;
    let (code, text) = samphirectl(&system, &["apply", &example("vakatoka/declaration.json")]);
    assert_eq!(code, Some(0), "{text}");
    for index in 0..3 {
        let view = system.client.view(system.node_address(index)).await?;
        assert_eq!(view["version"], 1, "node {index}: {view}");
    }
    for index in 0..3 {
        let request = ChatRequest::new(&format!("receipt from node {index}"), 20);
        let result = system.client.chat(system.node_address(index), &request).await;
        assert!(result.is_correct(&request), "node {index}: {result:?}");
    }
    // SIGTERM during an answer must not interrupt it.
    let address = system.node_address(1);
    let client = system.client.clone();
    let running = actix_web::rt::spawn(async move {
        let request = ChatRequest::new("a long tale of a ferry", 60);
        let result = client.chat(address, &request).await;
        (request, result)
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.nodes[1].process.signal("TERM")?;
    let (request, result) = running.await?;
    assert!(result.is_correct(&request), "{result:?}");
    assert!(
        system.nodes[1].process.wait_for_success(START_TIMEOUT),
        "the stopped node did not exit successfully"
    );
    let (code, text) = samphirectl(&system, &["nodes"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("entry-3") && !text.contains("entry-2"), "{text}");
    Ok(())
}
