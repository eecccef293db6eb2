//! Non-idempotent requests must run at most once, and the verdict sent to the caller must match the
//! number of runs.

use std::time::Duration;

use eyre::ensure;
use samphiredeck_standins::{
    fixture::{Fixture, FixtureSpec},
    platform::{OutageMode, PlatformFaults},
    proxy::ProxyMode,
    service::ServiceFaults,
};
use serde_json::{Value, json};

/// Path of a non-idempotent service call.
const PATH: &str = "/ledger/post";

fn with_services() -> FixtureSpec {
    FixtureSpec { engines: 1, services: 2, ..FixtureSpec::default() }
}

/// HTTP status, run verdict and body of one call.
type CallResult = (u16, String, Value);

/// Checks the verdict of a call against the number of runs.
fn check_verdict(result: &CallResult, runs: u32) -> eyre::Result<()> {
    let (status, verdict, body) = result;
    ensure!(runs <= 1, "{runs} runs");
    match verdict.as_str() {
        "ran" => ensure!(*status == 200 && runs == 1, "verdict ran: {result:?}, {runs} runs"),
        "not-run" => {
            ensure!(runs == 0, "verdict not-run: {result:?}, {runs} runs");
            ensure!(!body["retry_after_s"].is_null(), "no retry_after_s: {body}");
        }
        "may-have-run" => {}
        other => ensure!(other.is_empty(), "unknown verdict {other}"),
    }
    Ok(())
}

#[actix_web::test]
async fn concurrent_calls_with_one_key_run_once() -> eyre::Result<()> {
    let fixture = Fixture::start(&with_services()).await?;
    fixture
        .set_service_faults(0, &ServiceFaults { delay_ms: 300, ..ServiceFaults::default() })
        .await?;
    fixture
        .set_service_faults(1, &ServiceFaults { delay_ms: 300, ..ServiceFaults::default() })
        .await?;
    let body = json!({ "ref": "share-1" });
    let calls = (0..12).map(|number| {
        let client = fixture.system.client.clone();
        let (address, body) = (fixture.node(number % 3), body.clone());
        async move { client.call_service(address, PATH, Some("key-1"), &body).await }
    });
    let results = futures_util::future::join_all(calls).await;
    let runs = fixture.service_runs("share-1").await?;
    for result in &results {
        check_verdict(result, runs)?;
        ensure!(result.0 == 200 && result.2["runs"] == 1, "{result:?}");
    }
    // A different body with the same key is a conflict.
    let other = json!({ "ref": "share-2" });
    let result =
        fixture.system.client.call_service(fixture.node(1), PATH, Some("key-1"), &other).await;
    ensure!(result.0 == 409 && result.1 == "not-run", "{result:?}");
    ensure!(fixture.service_runs("share-2").await? == 0, "the conflicting call ran");
    Ok(())
}

#[actix_web::test]
async fn a_burst_with_one_key_runs_once_and_answers_all_callers() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { nodes: 1, ..with_services() }).await?;
    let body = json!({ "ref": "rush" });
    let mut calls = Vec::new();
    for number in 0..200 {
        let client = fixture.system.client.clone();
        let (address, body) = (fixture.node(0), body.clone());
        calls.push(async move {
            // Two bursts of 100 concurrent calls.
            tokio::time::sleep(Duration::from_millis(number / 100 * 400)).await;
            client.call_service(address, PATH, Some("key-rush"), &body).await
        });
    }
    let results = futures_util::future::join_all(calls).await;
    ensure!(fixture.service_runs("rush").await? == 1, "ran more than once");
    let wrong: Vec<_> =
        results.iter().filter(|result| result.0 != 200 || result.2["runs"] != 1).collect();
    ensure!(wrong.is_empty(), "{} of 200 calls got a wrong answer: {:?}", wrong.len(), wrong[0]);
    Ok(())
}

/// Service faults, and the expected verdict and number of runs.
struct FaultCase {
    name: &'static str,
    faults: ServiceFaults,
    verdict: &'static str,
    runs: u32,
}

#[actix_web::test]
async fn service_faults_get_a_correct_verdict() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { services: 1, ..with_services() }).await?;
    let none = ServiceFaults::default;
    let cases = [
        FaultCase { name: "plain", faults: none(), verdict: "ran", runs: 1 },
        FaultCase {
            name: "late",
            faults: ServiceFaults { delay_ms: 1_500, ..none() },
            verdict: "ran",
            runs: 1,
        },
        FaultCase {
            name: "cut",
            faults: ServiceFaults { truncated: 1, ..none() },
            verdict: "may-have-run",
            runs: 1,
        },
        FaultCase {
            name: "crossed",
            faults: ServiceFaults { wrong_request: 1, ..none() },
            verdict: "may-have-run",
            runs: 1,
        },
        FaultCase {
            name: "refused",
            faults: ServiceFaults { refuse: 9, ..none() },
            verdict: "not-run",
            runs: 0,
        },
        FaultCase {
            name: "mute",
            faults: ServiceFaults { unanswered: 1, ..none() },
            verdict: "may-have-run",
            runs: 1,
        },
    ];
    for case in cases {
        fixture.set_service_faults(0, &case.faults).await?;
        let body = json!({ "ref": case.name });
        let result = fixture.system.client.call_service(fixture.node(0), PATH, None, &body).await;
        let runs = fixture.service_runs(case.name).await?;
        ensure!(result.1 == case.verdict, "{}: {result:?}", case.name);
        ensure!(runs == case.runs, "{}: {runs} runs", case.name);
        check_verdict(&result, runs)?;
        // After consecutive failures the only service gets no new work for a second.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    Ok(())
}

#[actix_web::test]
async fn a_key_whose_outcome_is_unknown_is_never_sent_again() -> eyre::Result<()> {
    let fixture = Fixture::start(&with_services()).await?;
    for index in 0..2 {
        fixture
            .set_service_faults(index, &ServiceFaults { truncated: 1, ..ServiceFaults::default() })
            .await?;
    }
    let body = json!({ "ref": "share-3" });
    for node in [0, 1, 2, 1] {
        let result =
            fixture.system.client.call_service(fixture.node(node), PATH, Some("key-3"), &body);
        let result = result.await;
        ensure!(result.1 == "may-have-run", "{result:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let runs = fixture.service_runs("share-3").await?;
    ensure!(runs == 1, "{runs} runs");
    Ok(())
}

#[actix_web::test]
async fn lost_table_responses_neither_duplicate_nor_lose_a_call() -> eyre::Result<()> {
    let fixture = Fixture::start(&with_services()).await?;
    for round in 0..6 {
        let faults = PlatformFaults { drop_responses: 1 + round % 3, ..PlatformFaults::default() };
        fixture.set_platform_faults(faults).await?;
        let (reference, key) = (format!("lost-{round}"), format!("key-lost-{round}"));
        let body = json!({ "ref": reference });
        let mut last = (0, String::new(), Value::Null);
        for node in [0, 1, 2] {
            last = fixture
                .system
                .client
                .call_service(fixture.node(node), PATH, Some(&key), &body)
                .await;
            check_verdict(&last, fixture.service_runs(&reference).await?)?;
            if last.0 == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        ensure!(last.0 == 200, "round {round}: {last:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn a_table_outage_refuses_calls_immediately_as_not_run() -> eyre::Result<()> {
    let fixture = Fixture::start(&with_services()).await?;
    for outage in [OutageMode::Error, OutageMode::Silent] {
        fixture.set_outage(outage).await?;
        // Until the nodes detect the outage, a call may wait for one bounded attempt.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let reference = format!("down-{outage:?}");
        let body = json!({ "ref": reference });
        let started_at = std::time::Instant::now();
        let result =
            fixture.system.client.call_service(fixture.node(0), PATH, Some("key-down"), &body);
        let result = result.await;
        ensure!(result.0 == 503 && result.1 == "not-run", "{result:?}");
        ensure!(
            started_at.elapsed() < Duration::from_secs(1),
            "refused only after {:?}",
            started_at.elapsed()
        );
        ensure!(fixture.service_runs(&reference).await? == 0, "the refused call ran");
        fixture.set_outage(OutageMode::None).await?;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let result =
            fixture.system.client.call_service(fixture.node(0), PATH, Some("key-down"), &body);
        let result = result.await;
        ensure!(result.0 == 200 || result.0 == 409, "{result:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn killing_the_node_at_any_step_runs_a_call_at_most_once() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&with_services()).await?;
    for index in 0..2 {
        let faults = ServiceFaults { delay_ms: 150, ..ServiceFaults::default() };
        fixture.set_service_faults(index, &faults).await?;
    }
    // These delays cover the steps of claim, send, result and reply.
    for (round, kill_after_ms) in [2_u64, 10, 25, 60, 120, 180, 220].into_iter().enumerate() {
        let reference = format!("kill-{round}");
        let key = format!("key-kill-{round}");
        let body = json!({ "ref": reference });
        let (client, address) = (fixture.system.client.clone(), fixture.node(0));
        let (sent_key, text) = (key.clone(), body.clone());
        let call = actix_web::rt::spawn(async move {
            client.call_service(address, PATH, Some(&sent_key), &text).await
        });
        tokio::time::sleep(Duration::from_millis(kill_after_ms)).await;
        fixture.system.restart_node(0)?;
        let result = call.await?;
        check_verdict(&result, fixture.service_runs(&reference).await?)?;
        let started_at = std::time::Instant::now();
        loop {
            let retry =
                fixture.system.client.call_service(fixture.node(1), PATH, Some(&key), &body);
            let retry = retry.await;
            let runs = fixture.service_runs(&reference).await?;
            check_verdict(&retry, runs)?;
            let settled = retry.0 == 200 || retry.2["error"]["reason"] == "outcome-unknown";
            if settled {
                break;
            }
            ensure!(started_at.elapsed() < Duration::from_secs(30), "never settled: {retry:?}");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        fixture.system.wait_ready(Duration::from_secs(20)).await?;
        fixture.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    }
    Ok(())
}

#[actix_web::test]
async fn a_node_frozen_past_its_lease_sends_nothing_it_claimed_before() -> eyre::Result<()> {
    let spec = FixtureSpec { proxied: true, ..with_services() };
    let fixture = Fixture::start(&spec).await?;
    let proxies = fixture.system.nodes[0].proxies.clone().expect("the fixture has proxies");
    // The claim is delayed on its way to the platform, and the node is frozen in the meantime.
    proxies.platform.set_delay(Duration::from_millis(400));
    let body = json!({ "ref": "frozen" });
    let (client, address, text) = (fixture.system.client.clone(), fixture.node(0), body.clone());
    let call = actix_web::rt::spawn(async move {
        client.call_service(address, PATH, Some("key-frozen"), &text).await
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    fixture.system.nodes[0].process.signal("STOP")?;
    proxies.platform.set_delay(Duration::ZERO);
    // Longer than the lease and its guard time, so that another node settles the claim.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let other =
        fixture.system.client.call_service(fixture.node(1), PATH, Some("key-frozen"), &body);
    let other = other.await;
    fixture.system.nodes[0].process.signal("CONT")?;
    let result = call.await?;
    let runs = fixture.service_runs("frozen").await?;
    check_verdict(&other, runs)?;
    check_verdict(&result, runs)?;
    Ok(())
}

#[actix_web::test]
async fn a_service_whose_answers_are_lost_is_not_called_twice() -> eyre::Result<()> {
    let spec = FixtureSpec { proxied_upstreams: true, ..with_services() };
    let fixture = Fixture::start(&spec).await?;
    for (mode, verdict) in
        [(ProxyMode::DropResponses, "may-have-run"), (ProxyMode::Blackhole, "may-have-run")]
    {
        for proxy in &fixture.service_proxies {
            proxy.set_mode(mode);
        }
        let reference = format!("lost-{mode:?}");
        let body = json!({ "ref": reference });
        let result = fixture.system.client.call_service(fixture.node(0), PATH, None, &body).await;
        for proxy in &fixture.service_proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        let runs = fixture.service_runs(&reference).await?;
        ensure!(result.1 == verdict, "{mode:?}: {result:?}");
        check_verdict(&result, runs)?;
        fixture.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    }
    Ok(())
}
