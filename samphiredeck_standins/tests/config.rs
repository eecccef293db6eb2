//! An accepted configuration must be in force on all nodes within seconds and must never be
//! reverted.

use std::time::{Duration, Instant};

use eyre::ensure;
use samphiredeck_standins::{
    client::ChatRequest,
    fixture::{Fixture, FixtureSpec, example_declaration},
    platform::OutageMode,
    proxy::ProxyMode,
};
use serde_json::Value;

/// Maximum time until an accepted version is in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);

fn five_nodes() -> FixtureSpec {
    FixtureSpec { nodes: 5, engines: 1, proxied: true, ..FixtureSpec::default() }
}

/// Example declaration without the key of the first workspace. Requests with that key succeed only
/// under the previous version.
fn without_wharf_key() -> Value {
    let mut declaration = example_declaration();
    declaration["workspaces"][0]["keys"] = serde_json::json!([]);
    declaration
}

/// Sets the mode of the proxies between a node and the platform, and between a node and its peers.
fn set_partition(fixture: &Fixture, index: usize, mode: ProxyMode) {
    let proxies = fixture.system.nodes[index].proxies.clone().expect("the fixture has proxies");
    proxies.peer.set_mode(mode);
    proxies.platform.set_mode(mode);
}

/// Whether a node still accepts the key that the newest version removes.
async fn serves_old_key(fixture: &Fixture, index: usize) -> bool {
    let result = fixture
        .system
        .client
        .chat(fixture.node(index), &ChatRequest::new("is it still so", 2))
        .await;
    result.status == 200
}

#[actix_web::test]
async fn an_accepted_change_is_in_force_on_all_nine_nodes() -> eyre::Result<()> {
    let spec = FixtureSpec { nodes: 9, engines: 1, proxied: true, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    for drop_permille in [0, 200] {
        for node in &fixture.system.nodes {
            if let Some(proxies) = &node.proxies {
                proxies.peer.set_datagram_loss_permille(drop_permille);
            }
        }
        let mut times = Vec::new();
        for round in 0..6 {
            let started_at = Instant::now();
            let version = fixture.apply(round % 9, &example_declaration()).await?;
            for index in 0..9 {
                ensure!(
                    fixture.version(index).await? >= version,
                    "node {index} does not have version {version}"
                );
            }
            times.push(started_at.elapsed());
        }
        times.sort();
        println!("datagram loss {drop_permille} permille: p50 {:?}, max {:?}", times[3], times[5]);
        ensure!(times[5] <= IN_FORCE_TIMEOUT, "{times:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn one_concurrent_change_wins_and_the_others_name_the_winner() -> eyre::Result<()> {
    let fixture = Fixture::start(&five_nodes()).await?;
    for _ in 0..3 {
        let before = fixture.version(0).await?;
        let changes =
            (0..5).map(|index| {
                let client = fixture.system.client.clone();
                let address = fixture.node(index);
                async move {
                    client.change_declaration(address, &example_declaration(), Some(before)).await
                }
            });
        let results = futures_util::future::join_all(changes).await;
        let mut won = 0;
        for result in results {
            let (status, body) = result?;
            if status == 200 {
                won += 1;
                ensure!(body["version"] == before + 1, "{body}");
            } else {
                ensure!(status == 409, "{status}: {body}");
                let named = body["version"].is_u64() || body["coordinator"].is_string();
                ensure!(named, "the refusal does not name the winner: {body}");
            }
        }
        ensure!(won == 1, "{won} changes won");
    }
    Ok(())
}

#[actix_web::test]
async fn a_resumed_node_admits_nothing_under_the_old_version() -> eyre::Result<()> {
    let fixture = Fixture::start(&five_nodes()).await?;
    ensure!(serves_old_key(&fixture, 4).await, "the key is not accepted before the change");
    fixture.system.nodes[4].process.signal("STOP")?;
    let version = fixture.apply(0, &without_wharf_key()).await?;
    // A request that waits at the frozen node is answered after the node resumes.
    let (client, address) = (fixture.system.client.clone(), fixture.node(4));
    let waiting = actix_web::rt::spawn(async move {
        client.chat(address, &ChatRequest::new("sent while frozen", 2)).await
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    fixture.system.nodes[4].process.signal("CONT")?;
    let result = waiting.await?;
    ensure!(
        result.status != 200,
        "request admitted under the old version after acceptance: {result:?}"
    );
    fixture.wait_view(4, IN_FORCE_TIMEOUT, |view| view["version"] == version).await?;
    Ok(())
}

#[actix_web::test]
async fn a_partitioned_node_stops_serving_the_old_version() -> eyre::Result<()> {
    for mode in [ProxyMode::Disconnect, ProxyMode::Blackhole] {
        let fixture = Fixture::start(&five_nodes()).await?;
        set_partition(&fixture, 4, mode);
        let version = fixture.apply(0, &without_wharf_key()).await?;
        let deadline = Instant::now() + Duration::from_secs(3);
        while Instant::now() < deadline {
            ensure!(
                !serves_old_key(&fixture, 4).await,
                "{mode:?}: the node still serves the old version"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        set_partition(&fixture, 4, ProxyMode::Pass);
        let timeout = IN_FORCE_TIMEOUT;
        fixture.wait_view(4, timeout, |view| view["version"] == version).await?;
    }
    Ok(())
}

#[actix_web::test]
async fn a_change_is_refused_without_a_majority() -> eyre::Result<()> {
    let fixture = Fixture::start(&five_nodes()).await?;
    let before = fixture.version(0).await?;
    // Three of five nodes are frozen.
    for index in 2..5 {
        fixture.system.nodes[index].process.signal("STOP")?;
    }
    let (status, body) = fixture
        .system
        .client
        .change_declaration(fixture.node(0), &without_wharf_key(), None)
        .await?;
    for index in 2..5 {
        fixture.system.nodes[index].process.signal("CONT")?;
    }
    ensure!(
        status == 503 && body["missing"].as_array().is_some_and(|names| names.len() == 3),
        "{status}: {body}"
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..5 {
        ensure!(fixture.version(index).await? == before, "node {index} adopted the refused change");
        ensure!(serves_old_key(&fixture, index).await, "node {index} does not accept the key");
    }
    Ok(())
}

#[actix_web::test]
async fn an_outage_right_after_acceptance_reverts_nothing() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&five_nodes()).await?;
    let version = fixture.apply(0, &without_wharf_key()).await?;
    fixture.set_outage(OutageMode::Silent).await?;
    for index in 0..5 {
        ensure!(fixture.version(index).await? == version, "node {index}");
        ensure!(
            !serves_old_key(&fixture, index).await,
            "node {index} still serves the old version"
        );
    }
    // A node that starts while the table is down gets the version from its peers, or does not
    // become ready.
    let seeds = serde_json::json!([{
        "name": "entry-1",
        "address": fixture.system.nodes[0].process.addresses[1].to_string(),
    }]);
    fixture.system.nodes[4].spec.settings = serde_json::json!({ "node": { "seeds": seeds } });
    fixture.system.restart_node(4)?;
    fixture.wait_view(4, Duration::from_secs(10), |view| view["version"] == version).await?;
    fixture.set_outage(OutageMode::None).await?;
    fixture.system.wait_ready(Duration::from_secs(15)).await?;
    for index in 0..5 {
        ensure!(fixture.version(index).await? == version, "node {index}");
    }
    Ok(())
}

#[actix_web::test]
async fn killing_the_coordinator_at_any_step_leaves_one_version() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&five_nodes()).await?;
    for kill_after_ms in [1_u64, 8, 20, 35, 50, 80] {
        let before = fixture.version(1).await?;
        let (client, address) = (fixture.system.client.clone(), fixture.node(0));
        let change = actix_web::rt::spawn(async move {
            client.change_declaration(address, &example_declaration(), None).await
        });
        tokio::time::sleep(Duration::from_millis(kill_after_ms)).await;
        fixture.system.restart_node(0)?;
        let answer = change.await?.ok().map(|(status, body)| (status, body["version"].as_u64()));
        fixture.system.wait_ready(Duration::from_secs(30)).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut versions = Vec::new();
        for index in 0..5 {
            versions.push(fixture.version(index).await?);
        }
        ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        ensure!(versions[0] >= before, "reverted from {before} to {versions:?}");
        if let Some((200, Some(version))) = answer {
            ensure!(
                versions[0] >= version,
                "{version} was accepted, but {versions:?} are in force"
            );
        }
        // State left by the killed coordinator must not block the next change.
        let started_at = Instant::now();
        let mut status = 0;
        while status != 200 && started_at.elapsed() < Duration::from_secs(25) {
            status = fixture
                .system
                .client
                .change_declaration(fixture.node(1), &example_declaration(), None)
                .await?
                .0;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        ensure!(status == 200, "the next change is still refused");
    }
    Ok(())
}

#[actix_web::test]
async fn replacing_all_nodes_keeps_the_version() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&FixtureSpec { engines: 1, ..FixtureSpec::default() }).await?;
    let version = fixture.apply(0, &without_wharf_key()).await?;
    for index in 0..3 {
        fixture.system.restart_node(index)?;
    }
    fixture.system.wait_ready(Duration::from_secs(20)).await?;
    for index in 0..3 {
        ensure!(fixture.version(index).await? == version, "node {index}");
        ensure!(
            !serves_old_key(&fixture, index).await,
            "node {index} still serves the old version"
        );
    }
    Ok(())
}
