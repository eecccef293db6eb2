//! Requests that crash each engine which begins to run them.

use std::time::{Duration, Instant};

use eyre::ensure;
use samphiredeck_standins::{
    client::ChatRequest,
    engine::EngineFaults,
    fixture::{Fixture, FixtureSpec},
};

/// Engines that one request may crash.
const CRASHES_MAX: usize = 3;
const ENGINES: usize = 8;
/// Time after which a request that crashes engines must have ended.
const END_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_cluster() -> eyre::Result<Fixture> {
    let spec = FixtureSpec { engines: ENGINES, ..FixtureSpec::default() };
    let fixture = Fixture::start(&spec).await?;
    let faults = EngineFaults { deadly_text: "doomed".to_owned(), ..EngineFaults::default() };
    for index in 0..ENGINES {
        fixture.set_engine_faults(index, &faults).await?;
    }
    Ok(fixture)
}

async fn count_crashed(fixture: &Fixture) -> usize {
    let mut crashed = 0;
    for index in 0..ENGINES {
        crashed += usize::from(fixture.engine_stats(index).await.is_err());
    }
    crashed
}

#[actix_web::test]
async fn request_that_crashes_engines_ends_after_a_few() -> eyre::Result<()> {
    let fixture = start_cluster().await?;
    let request = ChatRequest::new("doomed trip", 20);
    let result = fixture.system.client.chat(fixture.node(0), &request).await;
    let crashed = count_crashed(&fixture).await;
    ensure!((1..=CRASHES_MAX).contains(&crashed), "{crashed} crashed: {result:?}");
    ensure!(result.reason == "crashes-engines", "{result:?}");
    ensure!(result.verdict == "may-have-run" && result.retry_after.is_none(), "{result:?}");
    let sound = ChatRequest::new("sound trip", 20);
    let result = fixture.system.client.chat(fixture.node(1), &sound).await;
    ensure!(result.is_correct(&sound), "{result:?}");
    Ok(())
}

#[actix_web::test]
async fn patient_request_that_crashes_engines_is_not_taken_over() -> eyre::Result<()> {
    let mut fixture = start_cluster().await?;
    let request = ChatRequest { class: "patient", ..ChatRequest::new("doomed ledger", 20) };
    let result = fixture.system.client.chat(fixture.node(0), &request).await;
    ensure!(result.reason == "crashes-engines", "{result:?}");
    ensure!(count_crashed(&fixture).await <= CRASHES_MAX, "{result:?}");
    fixture.system.nodes[0].process.signal("KILL")?;
    fixture.system.nodes[0].process.wait_for_success(Duration::from_secs(2));
    let until = Instant::now() + END_TIMEOUT;
    loop {
        let client = &fixture.system.client;
        let found = client.attach(fixture.node(1), &request.key, &result.request_id, 0).await;
        if found.reason == "failed" {
            ensure!(found.verdict == "may-have-run", "{found:?}");
            break;
        }
        ensure!(Instant::now() < until, "{found:?}");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let crashed = count_crashed(&fixture).await;
    ensure!(crashed <= CRASHES_MAX, "{crashed} crashed");
    Ok(())
}
