//! Faults of engines and of the network: each caller must still get the complete answer to its own
//! request.

use std::time::Duration;

use eyre::ensure;
use samphiredeck_standins::{
    client::ChatRequest,
    engine::EngineFaults,
    fixture::{Fixture, FixtureSpec},
    proxy::ProxyMode,
};
use serde_json::json;

/// Engine faults and their name in messages.
struct FaultCase {
    name: &'static str,
    faults: EngineFaults,
}

#[actix_web::test]
async fn engine_faults_do_not_prevent_a_complete_answer() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { engines: 2, ..FixtureSpec::default() }).await?;
    let none = EngineFaults::default;
    let cases = [
        FaultCase { name: "plain", faults: none() },
        FaultCase { name: "crossed", faults: EngineFaults { wrong_request: 2, ..none() } },
        FaultCase {
            name: "cut early",
            faults: EngineFaults { truncated: 2, truncate_after: 1, ..none() },
        },
        FaultCase {
            name: "cut late",
            faults: EngineFaults { truncated: 2, truncate_after: 25, ..none() },
        },
        FaultCase { name: "no end mark", faults: EngineFaults { missing_end: 2, ..none() } },
        FaultCase { name: "doubled", faults: EngineFaults { duplicated: 2, ..none() } },
        FaultCase { name: "silent", faults: EngineFaults { silent: 1, ..none() } },
    ];
    for case in cases {
        for index in 0..2 {
            fixture.set_engine_faults(index, &case.faults).await?;
        }
        for number in 0..4 {
            let request = ChatRequest::new(&format!("{} number {number}", case.name), 30);
            let result = fixture.system.client.chat(fixture.node(number % 3), &request).await;
            ensure!(result.is_correct(&request), "{} {number}: {result:?}", case.name);
        }
    }
    Ok(())
}

/// A faulty engine may write a refusal of an earlier request again.
#[actix_web::test]
async fn refusal_that_names_no_request_does_not_tell_that_this_one_has_not_run() -> eyre::Result<()>
{
    let fixture = Fixture::start(&FixtureSpec { engines: 1, ..FixtureSpec::default() }).await?;
    let faults = EngineFaults { unnamed_refusals: 1_000, ..EngineFaults::default() };
    fixture.set_engine_faults(0, &faults).await?;
    let request = ChatRequest::new("who owes the ferry fare", 30);
    let refused = fixture.system.client.chat(fixture.node(0), &request).await;
    ensure!(!refused.is_correct(&request) && refused.verdict != "not-run", "{refused:?}");
    // Refusals that name their request still count.
    fixture.set_engine_faults(0, &EngineFaults::default()).await?;
    let result = fixture.system.client.chat(fixture.node(1), &request).await;
    ensure!(result.is_correct(&request), "{result:?}");
    Ok(())
}

#[actix_web::test]
async fn concurrent_answers_are_never_mixed_up() -> eyre::Result<()> {
    let engine_args = vec!["--slots", "32"];
    let fixture = Fixture::start(&FixtureSpec { engine_args, ..FixtureSpec::default() }).await?;
    let requests: Vec<ChatRequest> =
        (0..60).map(|number| ChatRequest::new(&format!("traveller {number}"), 40)).collect();
    let calls = requests.iter().enumerate().map(|(number, request)| {
        let address = fixture.node(number % 3);
        fixture.system.client.chat(address, request)
    });
    let results = futures_util::future::join_all(calls).await;
    for (request, result) in requests.iter().zip(&results) {
        ensure!(result.is_correct(request), "{}: {result:?}", request.content);
    }
    Ok(())
}

#[actix_web::test]
async fn silent_upstream_connections_are_replaced() -> eyre::Result<()> {
    let spec = FixtureSpec { proxied_upstreams: true, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let requests: Vec<ChatRequest> =
        (0..12).map(|number| ChatRequest::new(&format!("silent wharf {number}"), 120)).collect();
    let calls = requests.iter().enumerate().map(|(number, request)| {
        let address = fixture.node(number % 3);
        fixture.system.client.chat(address, request)
    });
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for proxy in &fixture.engine_proxies {
            proxy.freeze_open_connections();
        }
    };
    let (results, ()) =
        futures_util::future::join(futures_util::future::join_all(calls), freeze).await;
    for (request, result) in requests.iter().zip(&results) {
        ensure!(result.is_correct(request), "{}: {result:?}", request.content);
    }
    let mut recomputed = 0;
    let mut resumed = 0;
    for index in 0..3 {
        let stats = fixture.engine_stats(index).await?;
        recomputed += stats.recomputed;
        resumed += stats.resumed;
    }
    println!("{resumed} streams resumed in place, {recomputed} tokens recomputed");
    ensure!(resumed > 0, "no stream was resumed, so no connection was frozen");
    ensure!(recomputed == 0, "{recomputed} tokens recomputed");
    Ok(())
}

#[actix_web::test]
async fn silent_peer_connections_are_reopened() -> eyre::Result<()> {
    let spec = FixtureSpec { engines: 1, proxied: true, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let proxies = fixture.system.nodes[2].proxies.clone().expect("the fixture has proxies");
    // Open connections to the node, and from it to the platform, go silent.
    proxies.peer.freeze_open_connections();
    proxies.platform.freeze_open_connections();
    let version = fixture.apply(0, &samphiredeck_standins::fixture::example_declaration()).await?;
    ensure!(fixture.version(2).await? == version, "the node does not have the new version");
    // All traffic is discarded for a while. Afterwards only new connections work.
    proxies.peer.set_mode(ProxyMode::Blackhole);
    proxies.platform.set_mode(ProxyMode::Blackhole);
    tokio::time::sleep(Duration::from_secs(5)).await;
    proxies.peer.freeze_open_connections();
    proxies.platform.freeze_open_connections();
    proxies.peer.set_mode(ProxyMode::Pass);
    proxies.platform.set_mode(ProxyMode::Pass);
    let took =
        fixture.wait_view(2, Duration::from_secs(6), |view| view["admitting"] == true).await?;
    println!("node admits requests again after {took:?}");
    Ok(())
}

#[actix_web::test]
async fn a_disconnected_caller_can_resume_its_answer() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { engines: 1, ..FixtureSpec::default() }).await?;
    let request = ChatRequest::new("a phone that loses its network", 120);
    let (client, address, sent_request) =
        (fixture.system.client.clone(), fixture.node(0), request.clone());
    let running = actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let view = fixture.system.client.view(fixture.node(0)).await?;
    let request_id = view["runs"][0]["request"].as_str().unwrap_or_default().to_owned();
    running.abort();
    // Resume at another node from an offset.
    let rest = fixture.system.client.attach(fixture.node(2), &request.key, &request_id, 12).await;
    ensure!(rest.complete && rest.text == request.expected_text()[12..], "{rest:?}");
    // Another workspace has no access to the answer.
    let other = fixture.system.client.attach(fixture.node(2), "ledger-key", &request_id, 0).await;
    ensure!(other.status == 404, "{other:?}");
    Ok(())
}

#[actix_web::test]
async fn an_unread_answer_is_cancelled() -> eyre::Result<()> {
    let settings = json!({ "limits": { "caller_idle": "1s" } });
    let spec = FixtureSpec { engines: 1, settings, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let (client, address) = (fixture.system.client.clone(), fixture.node(0));
    let running = actix_web::rt::spawn(async move {
        client.chat(address, &ChatRequest::new("a caller that hangs up", 3_000)).await
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    running.abort();
    let is_idle = |view: &serde_json::Value| view["running"] == 0;
    fixture.wait_view(0, Duration::from_secs(6), is_idle).await?;
    Ok(())
}
