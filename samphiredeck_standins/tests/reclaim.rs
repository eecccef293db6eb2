//! Accepted requests must survive an announced reclaim, and leaving upstreams must get no new work.

use std::time::Duration;

use eyre::ensure;
use samphiredeck_standins::{
    client::{ChatRequest, ChatResult},
    fixture::{Fixture, FixtureSpec},
    proxy::ProxyMode,
};
use serde_json::json;
use tokio::task::JoinHandle;

/// Time after the notice from which a leaving upstream must get no new work.
const MAX_NEW_WORK_DELAY_MS: u64 = 3_000;
/// Notice period of a reclaim.
const NOTICE_MS: u64 = 4_000;
/// Notice period longer than `MAX_NEW_WORK_DELAY_MS`.
const LONG_NOTICE_MS: u64 = 7_000;

/// Starts `count` streams, distributed over the nodes in turn.
fn start_streams(
    fixture: &Fixture,
    count: usize,
    class: &'static str,
    tokens: u64,
) -> Vec<JoinHandle<(ChatRequest, ChatResult)>> {
    (0..count)
        .map(|number| {
            let client = fixture.system.client.clone();
            let nodes = fixture.system.nodes.len();
            let address = fixture.node(number % nodes);
            let request = ChatRequest {
                class,
                ..ChatRequest::new(&format!("{class} story {number} of a shared carrier"), tokens)
            };
            actix_web::rt::spawn(async move {
                let result = client.chat(address, &request).await;
                (request, result)
            })
        })
        .collect()
}

async fn check_complete(streams: Vec<JoinHandle<(ChatRequest, ChatResult)>>) -> eyre::Result<()> {
    for stream in streams {
        let (request, result) = stream.await?;
        ensure!(result.is_correct(&request), "{}: {result:?}", request.content);
    }
    Ok(())
}

#[actix_web::test]
async fn streams_survive_the_reclaim_of_their_engine() -> eyre::Result<()> {
    // The instance list lags longer than the notice period, so nodes learn of the reclaim from the
    // notice only.
    let spec = FixtureSpec { platform_args: vec!["--list-lag", "8000"], ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let mut streams = start_streams(&fixture, 12, "urgent", 200);
    streams.extend(start_streams(&fixture, 6, "patient", 250));
    tokio::time::sleep(Duration::from_millis(600)).await;
    fixture.reclaim_engines(&[0], LONG_NOTICE_MS).await?;
    streams.extend(send_new_work(&fixture).await);
    check_last_new_work(&fixture).await?;
    check_complete(streams).await
}

/// Sends new requests during the notice period, until well after `MAX_NEW_WORK_DELAY_MS`.
async fn send_new_work(fixture: &Fixture) -> Vec<JoinHandle<(ChatRequest, ChatResult)>> {
    let mut streams = Vec::new();
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        streams.extend(start_streams(fixture, 6, "urgent", 30));
    }
    streams
}

async fn check_last_new_work(fixture: &Fixture) -> eyre::Result<()> {
    let stats = fixture.engine_stats(0).await?;
    let last = stats.last_new_after_leaving_ms.unwrap_or(0);
    println!("last new work {last} ms after the notice");
    ensure!(last <= MAX_NEW_WORK_DELAY_MS, "new work {last} ms after the notice");
    Ok(())
}

#[actix_web::test]
async fn a_leaving_mark_reaches_nodes_cut_off_from_the_platform() -> eyre::Result<()> {
    let spec = FixtureSpec {
        nodes: 4,
        proxied: true,
        platform_args: vec!["--list-lag", "9000"],
        ..FixtureSpec::default()
    };
    let fixture = Fixture::start(&spec).await?;
    // Only the first node can read the notice, and it is killed shortly afterwards.
    for node in &fixture.system.nodes[1..] {
        if let Some(proxies) = &node.proxies {
            proxies.platform.set_mode(ProxyMode::Blackhole);
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.reclaim_engines(&[0], LONG_NOTICE_MS).await?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fixture.system.nodes[0].process.signal("KILL")?;
    let mut streams = Vec::new();
    for round in 0..8 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for node in 1..4 {
            let (client, address) = (fixture.system.client.clone(), fixture.node(node));
            let request = ChatRequest::new(&format!("round {round} at node {node}"), 10);
            streams.push(actix_web::rt::spawn(async move {
                let result = client.chat(address, &request).await;
                (request, result)
            }));
        }
    }
    check_last_new_work(&fixture).await?;
    check_complete(streams).await
}

#[actix_web::test]
async fn streams_survive_the_reclaim_of_a_failure_domain_with_a_node() -> eyre::Result<()> {
    let settings = json!({ "stop": { "bound": "2500ms" } });
    let spec = FixtureSpec { nodes: 4, engines: 4, settings, ..FixtureSpec::default() };
    let mut fixture = Fixture::start(&spec).await?;
    // The streams of the first node outlast its stop, so they must be handed over.
    let streams = start_streams(&fixture, 16, "urgent", 220);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fixture.reclaim_engines(&[0], NOTICE_MS).await?;
    fixture.system.nodes[0].process.signal("TERM")?;
    let mut moved = 0;
    for stream in streams {
        let (request, mut result) = stream.await?;
        if result.moved {
            moved += 1;
            let offset = result.text.len();
            let rest = fixture.system.client.attach(
                fixture.node(1),
                &request.key,
                &result.request_id,
                offset,
            );
            let rest = rest.await;
            ensure!(rest.complete, "{} after {offset} bytes: {rest:?}", request.content);
            result.text.push_str(&rest.text);
            result.complete = rest.complete;
        }
        ensure!(result.is_correct(&request), "{}: {result:?}", request.content);
    }
    ensure!(moved > 0, "no stream was handed over");
    print_migration_stats(&fixture).await?;
    ensure!(
        fixture.system.nodes[0].process.wait_for_success(Duration::from_secs(5)),
        "the reclaimed node did not exit successfully"
    );
    Ok(())
}

/// A caller that is told that its stream was moved attaches at once, while the node that took the
/// stream over may still be busy with others.
#[actix_web::test]
async fn handed_over_streams_can_be_attached_to_at_once() -> eyre::Result<()> {
    let settings = json!({ "stop": { "bound": "2500ms" } });
    let spec = FixtureSpec { nodes: 2, engines: 4, settings, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let tasks: Vec<_> = (0..16)
        .map(|number| {
            let client = fixture.system.client.clone();
            let (first, second) = (fixture.node(0), fixture.node(1));
            let request = ChatRequest::new(&format!("ferry {number} to Taveuni"), 220);
            actix_web::rt::spawn(async move {
                let begun = client.chat(first, &request).await;
                if !begun.moved {
                    return Ok(0);
                }
                let (id, offset) = (&begun.request_id, begun.text.len());
                let rest = client.attach(second, &request.key, id, offset).await;
                ensure!(rest.complete, "{} after {offset} bytes: {rest:?}", request.content);
                ensure!(begun.text + &rest.text == request.expected_text(), "{rest:?}");
                Ok(1)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(700)).await;
    fixture.system.nodes[0].process.signal("TERM")?;
    let mut moved = 0;
    for task in tasks {
        moved += task.await??;
    }
    ensure!(moved > 0, "no stream was handed over");
    println!("{moved} streams were handed over");
    Ok(())
}

/// Prints how the streams of the reclaimed failure domain were continued.
async fn print_migration_stats(fixture: &Fixture) -> eyre::Result<()> {
    let (mut resumed, mut imported, mut recomputed) = (0, 0, 0);
    for index in 1..fixture.system.engines.len() {
        let stats = fixture.engine_stats(index).await?;
        resumed += stats.resumed;
        imported += stats.imported;
        recomputed += stats.recomputed;
    }
    let (mut replaced, mut handed_in) = (0, 0);
    for index in 1..fixture.system.nodes.len() {
        let view = fixture.system.client.view(fixture.node(index)).await?;
        replaced += view["counters"]["replaced"].as_u64().unwrap_or(0);
        handed_in += view["counters"]["handed_in"].as_u64().unwrap_or(0);
    }
    println!(
        "{handed_in} streams handed over, {resumed} resumed in place, {replaced} moved by \
         the other nodes, {imported} with their KV cache, {recomputed} tokens recomputed"
    );
    Ok(())
}

#[actix_web::test]
async fn patient_requests_survive_the_crash_of_their_node() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec::default()).await?;
    let request = ChatRequest {
        class: "patient",
        ..ChatRequest::new("reconcile the whole trip to Taveuni", 900)
    };
    let (client, address, sent_request) =
        (fixture.system.client.clone(), fixture.node(0), request.clone());
    let interrupted =
        actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    // Long enough for at least one checkpoint.
    tokio::time::sleep(Duration::from_secs(7)).await;
    fixture.system.nodes[0].process.signal("KILL")?;
    let interrupted = interrupted.await?;
    ensure!(
        !interrupted.complete && !interrupted.request_id.is_empty(),
        "the stream was not interrupted: {interrupted:?}"
    );
    let started_at = std::time::Instant::now();
    let mut recovered = ChatResult::default();
    while started_at.elapsed() < Duration::from_secs(60) {
        let attached =
            fixture.system.client.attach(fixture.node(1), &request.key, &interrupted.request_id, 0);
        recovered = attached.await;
        if recovered.status == 200 {
            break;
        }
        // No node may report that the request did not run.
        ensure!(recovered.verdict != "not-run", "{recovered:?}");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    ensure!(recovered.is_correct(&request), "{recovered:?}");
    let mut resumed = 0;
    let mut generated = 0;
    for index in 0..3 {
        let stats = fixture.engine_stats(index).await?;
        resumed += stats.resumed;
        generated += stats.generated;
    }
    let complete_after = started_at.elapsed();
    let readable_after = complete_after.saturating_sub(recovered.total_time)
        + recovered.time_to_first_token.unwrap_or_default();
    println!(
        "readable again after {readable_after:?}, complete after {complete_after:?}, generated {generated}, resumed {resumed}"
    );
    Ok(())
}

#[actix_web::test]
async fn a_retried_patient_request_finds_its_first_run() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec::default()).await?;
    let request = ChatRequest {
        class: "patient",
        idempotency_key: Some("trip-12-reconciliation".to_owned()),
        ..ChatRequest::new("reconcile trip 12", 120)
    };
    let first = fixture.system.client.chat(fixture.node(0), &request).await;
    ensure!(first.is_correct(&request), "{first:?}");
    let retried = fixture.system.client.chat(fixture.node(1), &request).await;
    ensure!(retried.request_id == first.request_id, "{retried:?}");
    let mut sends = 0;
    for index in 0..3 {
        let stats = fixture.engine_stats(index).await?;
        sends += stats.seen.iter().map(|(_, count)| count).sum::<u32>();
    }
    ensure!(sends == 1, "{sends} sends for one request");
    Ok(())
}
