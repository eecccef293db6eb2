//! A request that may not be repeated runs at most once, and a refusal that says not run is true.

use std::time::Duration;

use eyre::ensure;
use samphiredeck_standins::{
    platform::{OutageMode, PlatformFaults},
    proxy::ProxyMode,
    scene::{Scene, SceneSpec},
    service::ServiceFaults,
};
use serde_json::{Value, json};

/// Path of a call that may not be repeated.
const PATH: &str = "/ledger/post";

fn with_services() -> SceneSpec {
    SceneSpec { engines: 1, services: 2, ..SceneSpec::default() }
}

/// Outcome of one call as its caller sees it.
type CallEnd = (u16, String, Value);

/// Checks what a caller was told against the number of runs.
fn check_truth(end: &CallEnd, runs: u32) -> eyre::Result<()> {
    let (status, verdict, body) = end;
    ensure!(runs <= 1, "{runs} runs");
    match verdict.as_str() {
        "ran" => ensure!(*status == 200 && runs == 1, "said ran: {end:?}, {runs} runs"),
        "not-run" => {
            ensure!(runs == 0, "said not run: {end:?}, {runs} runs");
            ensure!(!body["retry_after_s"].is_null(), "no advice: {body}");
        }
        "may-have-run" => {}
        other => ensure!(other.is_empty(), "unknown verdict {other}"),
    }
    Ok(())
}

#[actix_web::test]
async fn one_key_through_all_nodes_at_once_runs_once() -> eyre::Result<()> {
    let scene = Scene::start(&with_services()).await?;
    scene.set_service(0, &ServiceFaults { late_ms: 300, ..ServiceFaults::default() }).await?;
    scene.set_service(1, &ServiceFaults { late_ms: 300, ..ServiceFaults::default() }).await?;
    let body = json!({ "ref": "share-1" });
    let calls = (0..12).map(|number| {
        let probe = scene.system.probe.clone();
        let (address, body) = (scene.node(number % 3), body.clone());
        async move { probe.call_service(address, PATH, Some("key-1"), &body).await }
    });
    let ends = futures_util::future::join_all(calls).await;
    let runs = scene.service_runs("share-1").await?;
    for end in &ends {
        check_truth(end, runs)?;
        ensure!(end.0 == 200 && end.2["runs"] == 1, "{end:?}");
    }
    // Another body under the same key is another call.
    let other = json!({ "ref": "share-2" });
    let end = scene.system.probe.call_service(scene.node(1), PATH, Some("key-1"), &other).await;
    ensure!(end.0 == 409 && end.1 == "not-run", "{end:?}");
    ensure!(scene.service_runs("share-2").await? == 0, "the other call ran");
    Ok(())
}

#[actix_web::test]
async fn one_key_through_one_node_in_a_rush_is_answered_to_all() -> eyre::Result<()> {
    let scene = Scene::start(&SceneSpec { nodes: 1, ..with_services() }).await?;
    let body = json!({ "ref": "rush" });
    let mut calls = Vec::new();
    for number in 0..200 {
        let probe = scene.system.probe.clone();
        let (address, body) = (scene.node(0), body.clone());
        calls.push(async move {
            // A hundred at a time, as fast as their connections are made.
            tokio::time::sleep(Duration::from_millis(number / 100 * 400)).await;
            probe.call_service(address, PATH, Some("key-rush"), &body).await
        });
    }
    let ends = futures_util::future::join_all(calls).await;
    ensure!(scene.service_runs("rush").await? == 1, "ran more than once");
    let wrong: Vec<_> = ends.iter().filter(|end| end.0 != 200 || end.2["runs"] != 1).collect();
    ensure!(wrong.is_empty(), "{} of 200, {:?}", wrong.len(), wrong[0]);
    Ok(())
}

/// One row of the table of service faults.
struct FaultCase {
    name: &'static str,
    faults: ServiceFaults,
    verdict: &'static str,
    runs: u32,
}

#[actix_web::test]
async fn each_fault_of_a_service_gets_a_true_verdict() -> eyre::Result<()> {
    let scene = Scene::start(&SceneSpec { services: 1, ..with_services() }).await?;
    let none = ServiceFaults::default;
    let cases = [
        FaultCase { name: "plain", faults: none(), verdict: "ran", runs: 1 },
        FaultCase {
            name: "late",
            faults: ServiceFaults { late_ms: 1_500, ..none() },
            verdict: "ran",
            runs: 1,
        },
        FaultCase {
            name: "cut",
            faults: ServiceFaults { cut: 1, ..none() },
            verdict: "may-have-run",
            runs: 1,
        },
        FaultCase {
            name: "crossed",
            faults: ServiceFaults { crossed: 1, ..none() },
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
            faults: ServiceFaults { mute: 1, ..none() },
            verdict: "may-have-run",
            runs: 1,
        },
    ];
    for case in cases {
        scene.set_service(0, &case.faults).await?;
        let body = json!({ "ref": case.name });
        let end = scene.system.probe.call_service(scene.node(0), PATH, None, &body).await;
        let runs = scene.service_runs(case.name).await?;
        ensure!(end.1 == case.verdict, "{}: {end:?}", case.name);
        ensure!(runs == case.runs, "{}: {runs} runs", case.name);
        check_truth(&end, runs)?;
        // After failures in a row the only service gets no new work for a second.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    Ok(())
}

#[actix_web::test]
async fn a_key_whose_outcome_is_unknown_is_never_sent_again() -> eyre::Result<()> {
    let scene = Scene::start(&with_services()).await?;
    for index in 0..2 {
        scene.set_service(index, &ServiceFaults { cut: 1, ..ServiceFaults::default() }).await?;
    }
    let body = json!({ "ref": "share-3" });
    for node in [0, 1, 2, 1] {
        let end = scene.system.probe.call_service(scene.node(node), PATH, Some("key-3"), &body);
        let end = end.await;
        ensure!(end.1 == "may-have-run", "{end:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let runs = scene.service_runs("share-3").await?;
    ensure!(runs == 1, "{runs} runs");
    Ok(())
}

#[actix_web::test]
async fn lost_table_answers_neither_double_nor_lose_a_call() -> eyre::Result<()> {
    let scene = Scene::start(&with_services()).await?;
    for round in 0..6 {
        let lose = PlatformFaults { lose_answers: 1 + round % 3, ..PlatformFaults::default() };
        scene.set_platform(lose).await?;
        let (reference, key) = (format!("lost-{round}"), format!("key-lost-{round}"));
        let body = json!({ "ref": reference });
        let mut last = (0, String::new(), Value::Null);
        for node in [0, 1, 2] {
            last = scene.system.probe.call_service(scene.node(node), PATH, Some(&key), &body).await;
            check_truth(&last, scene.service_runs(&reference).await?)?;
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
async fn an_outage_of_the_table_refuses_at_once_and_truthfully() -> eyre::Result<()> {
    let scene = Scene::start(&with_services()).await?;
    for outage in [OutageMode::Error, OutageMode::Silent] {
        scene.set_outage(outage).await?;
        // Until the nodes have noticed, a call may wait for one bounded try.
        tokio::time::sleep(Duration::from_secs(8)).await;
        let reference = format!("down-{outage:?}");
        let body = json!({ "ref": reference });
        let began = std::time::Instant::now();
        let end = scene.system.probe.call_service(scene.node(0), PATH, Some("key-down"), &body);
        let end = end.await;
        ensure!(end.0 == 503 && end.1 == "not-run", "{end:?}");
        ensure!(began.elapsed() < Duration::from_secs(1), "held for {:?}", began.elapsed());
        ensure!(scene.service_runs(&reference).await? == 0, "it ran");
        scene.set_outage(OutageMode::None).await?;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let end = scene.system.probe.call_service(scene.node(0), PATH, Some("key-down"), &body);
        let end = end.await;
        ensure!(end.0 == 200 || end.0 == 409, "{end:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn killing_the_node_at_any_step_runs_a_call_at_most_once() -> eyre::Result<()> {
    let mut scene = Scene::start(&with_services()).await?;
    for index in 0..2 {
        let slow = ServiceFaults { late_ms: 150, ..ServiceFaults::default() };
        scene.set_service(index, &slow).await?;
    }
    // The steps between claim, send, result and reply lie within these times.
    for (round, kill_after_ms) in [2_u64, 10, 25, 60, 120, 180, 220].into_iter().enumerate() {
        let reference = format!("kill-{round}");
        let key = format!("key-kill-{round}");
        let body = json!({ "ref": reference });
        let (probe, address) = (scene.system.probe.clone(), scene.node(0));
        let (asked, text) = (key.clone(), body.clone());
        let call = actix_web::rt::spawn(async move {
            probe.call_service(address, PATH, Some(&asked), &text).await
        });
        tokio::time::sleep(Duration::from_millis(kill_after_ms)).await;
        scene.system.restart_node(0)?;
        let end = call.await?;
        check_truth(&end, scene.service_runs(&reference).await?)?;
        let began = std::time::Instant::now();
        loop {
            let again = scene.system.probe.call_service(scene.node(1), PATH, Some(&key), &body);
            let again = again.await;
            let runs = scene.service_runs(&reference).await?;
            check_truth(&again, runs)?;
            let settled = again.0 == 200 || again.2["error"]["reason"] == "outcome-unknown";
            if settled {
                break;
            }
            ensure!(began.elapsed() < Duration::from_secs(30), "never settled: {again:?}");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        scene.system.wait_ready(Duration::from_secs(20)).await?;
        scene.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    }
    Ok(())
}

#[actix_web::test]
async fn a_node_frozen_past_its_lease_sends_nothing_it_claimed_before() -> eyre::Result<()> {
    let spec = SceneSpec { proxied: true, ..with_services() };
    let scene = Scene::start(&spec).await?;
    let proxies = scene.system.nodes[0].proxies.clone().expect("the scene has proxies");
    // The claim is held back on its way, and the node freezes meanwhile.
    proxies.platform.set_delay(Duration::from_millis(400));
    let body = json!({ "ref": "frozen" });
    let (probe, address, text) = (scene.system.probe.clone(), scene.node(0), body.clone());
    let call = actix_web::rt::spawn(async move {
        probe.call_service(address, PATH, Some("key-frozen"), &text).await
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    scene.system.nodes[0].process.signal("STOP")?;
    proxies.platform.set_delay(Duration::ZERO);
    // Longer than lease and guard: another node settles the claim.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let other = scene.system.probe.call_service(scene.node(1), PATH, Some("key-frozen"), &body);
    let other = other.await;
    scene.system.nodes[0].process.signal("CONT")?;
    let end = call.await?;
    let runs = scene.service_runs("frozen").await?;
    check_truth(&other, runs)?;
    check_truth(&end, runs)?;
    Ok(())
}

#[actix_web::test]
async fn a_service_whose_answers_are_lost_is_not_called_twice() -> eyre::Result<()> {
    let spec = SceneSpec { proxied_upstreams: true, ..with_services() };
    let scene = Scene::start(&spec).await?;
    for (mode, verdict) in
        [(ProxyMode::LoseAnswers, "may-have-run"), (ProxyMode::Hold, "may-have-run")]
    {
        for proxy in &scene.service_proxies {
            proxy.set_mode(mode);
        }
        let reference = format!("lost-{mode:?}");
        let body = json!({ "ref": reference });
        let end = scene.system.probe.call_service(scene.node(0), PATH, None, &body).await;
        for proxy in &scene.service_proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        let runs = scene.service_runs(&reference).await?;
        ensure!(end.1 == verdict, "{mode:?}: {end:?}");
        check_truth(&end, runs)?;
        scene.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    }
    Ok(())
}
