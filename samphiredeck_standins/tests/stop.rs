//! Planned stops must be graceful, and a table outage must not affect urgent requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::ensure;
use samphiredeck_standins::{
    client::{ChatRequest, ChatResult, TestClient},
    fixture::{Fixture, FixtureSpec},
    launch::NodeSpec,
    platform::{OutageMode, ReclaimOrder},
};
use serde_json::json;

/// Continuous background load on the nodes that the simulated load balancer considers ready.
#[derive(Clone, Default)]
struct BackgroundLoad {
    stopped: Rc<Cell<bool>>,
    addresses: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    results: Rc<RefCell<Vec<(Instant, ChatRequest, ChatResult)>>>,
}

impl BackgroundLoad {
    /// Starts `callers` tasks, each of which sends requests one after another.
    fn start(&self, callers: usize, client: &TestClient) -> Vec<tokio::task::JoinHandle<()>> {
        (0..callers)
            .map(|caller| {
                let (load, client) = (self.clone(), client.clone());
                actix_web::rt::spawn(async move { load.run_caller(caller, &client).await })
            })
            .collect()
    }

    async fn run_caller(&self, caller: usize, client: &TestClient) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let addresses = self.addresses.borrow().clone();
            let address = addresses[(caller + number) % addresses.len()];
            let request = ChatRequest::new(&format!("caller {caller} asks {number}"), 15);
            let result = client.chat(address, &request).await;
            self.results.borrow_mut().push((Instant::now(), request, result));
        }
    }
}

#[actix_web::test]
async fn rolling_replacement_under_load_fails_no_request() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&FixtureSpec::default()).await?;
    let load = BackgroundLoad::default();
    *load.addresses.borrow_mut() = (0..3).map(|index| fixture.node(index)).collect();
    let callers = load.start(12, &fixture.system.client);
    for index in 0..3 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        // The load balancer removes the node as soon as it is no longer ready.
        let address = fixture.node(index);
        fixture.system.nodes[index].process.signal("TERM")?;
        while fixture.system.client.is_ready(address).await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        load.addresses.borrow_mut().retain(|known| *known != address);
        let started_at = Instant::now();
        while !fixture.system.nodes[index].process.has_exited() {
            ensure!(
                started_at.elapsed() < Duration::from_secs(20),
                "the node did not stop within 20 s"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fixture.system.replace_node(index)?;
        fixture.system.wait_ready(Duration::from_secs(20)).await?;
        fixture.system.wait_upstreams(3, Duration::from_secs(20)).await?;
        load.addresses.borrow_mut().push(fixture.node(index));
    }
    load.stopped.set(true);
    for caller in callers {
        caller.await?;
    }
    let results = load.results.borrow();
    let wrong: Vec<_> =
        results.iter().filter(|(_, request, result)| !result.is_correct(request)).collect();
    println!("{} requests during three replacements, {} failed", results.len(), wrong.len());
    ensure!(wrong.is_empty(), "{} of {}: {:?}", wrong.len(), results.len(), wrong[0]);
    Ok(())
}

#[actix_web::test]
async fn a_stop_waits_for_answers_longer_than_the_connection_close_timeout() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { nodes: 1, ..FixtureSpec::default() }).await?;
    fixture.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    let request = ChatRequest::new("a tale that takes its time", 420);
    let (client, address, sent_request) =
        (fixture.system.client.clone(), fixture.node(0), request.clone());
    let running = actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.system.nodes[0].process.signal("TERM")?;
    let stopped_at = Instant::now();
    let result = running.await?;
    ensure!(result.is_correct(&request), "{result:?}");
    // The answer must outlast the 200 ms for the load balancer and the 3 s for which the HTTP
    // server waits for open connections.
    ensure!(stopped_at.elapsed() > Duration::from_millis(4_200), "{:?}", stopped_at.elapsed());
    Ok(())
}

#[actix_web::test]
async fn a_node_whose_own_instance_is_reclaimed_stops_within_the_notice() -> eyre::Result<()> {
    let settings = json!({ "node": { "instance": "node-instance-1" } });
    let mut fixture =
        Fixture::start(&FixtureSpec { nodes: 1, settings, ..FixtureSpec::default() }).await?;
    fixture.system.add_node(NodeSpec::new("entry-2", "suva-b"))?;
    fixture.system.wait_ready(Duration::from_secs(20)).await?;
    fixture.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    let request = ChatRequest::new("a tale that ends in time", 90);
    let (client, address, sent_request) =
        (fixture.system.client.clone(), fixture.node(0), request.clone());
    let running = actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let order = ReclaimOrder { ids: vec!["node-instance-1".parse()?], left_ms: 8_000 };
    let platform = fixture.system.platform.address();
    fixture.system.client.post_json(platform, "/control/reclaim", &order).await?;
    ensure!(
        fixture.system.nodes[0].process.wait_for_success(Duration::from_secs(8)),
        "the node did not exit in time"
    );
    let result = running.await?;
    ensure!(result.is_correct(&request), "{result:?}");
    Ok(())
}

#[actix_web::test]
async fn a_stop_completes_while_the_platform_is_down() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&FixtureSpec::default()).await?;
    let request = ChatRequest::new("still talking while the platform is gone", 90);
    fixture.set_outage(OutageMode::Silent).await?;
    let (client, address, sent_request) =
        (fixture.system.client.clone(), fixture.node(0), request.clone());
    let running = actix_web::rt::spawn(async move { client.chat(address, &sent_request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.system.nodes[0].process.signal("TERM")?;
    let result = running.await?;
    ensure!(result.is_correct(&request), "{result:?}");
    // The default stop timeout, plus the time to leave the cluster and to close connections.
    ensure!(
        fixture.system.nodes[0].process.wait_for_success(Duration::from_secs(30)),
        "the node did not exit in time"
    );
    Ok(())
}

/// 95th percentile.
fn p95(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() * 95 / 100]
}

#[actix_web::test]
async fn a_table_outage_fails_no_urgent_request_and_ends_without_a_load_spike() -> eyre::Result<()>
{
    let fixture = Fixture::start(&FixtureSpec { nodes: 5, ..FixtureSpec::default() }).await?;
    let load = BackgroundLoad::default();
    *load.addresses.borrow_mut() = (0..5).map(|index| fixture.node(index)).collect();
    let callers = load.start(15, &fixture.system.client);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let down_at = Instant::now();
    fixture.set_outage(OutageMode::Silent).await?;
    // Longer than every lease.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let up_at = Instant::now();
    fixture.set_outage(OutageMode::None).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    load.stopped.set(true);
    for caller in callers {
        caller.await?;
    }
    let results = load.results.take();
    let wrong: Vec<_> =
        results.iter().filter(|(_, request, result)| !result.is_correct(request)).collect();
    ensure!(wrong.is_empty(), "{} of {}: {:?}", wrong.len(), results.len(), wrong[0]);
    let first_token_times = |from: Option<Instant>, to: Instant| -> Vec<Duration> {
        let within =
            results.iter().filter(|(at, _, _)| from.is_none_or(|from| *at >= from) && *at < to);
        within.filter_map(|(_, _, result)| result.time_to_first_token).collect()
    };
    let (before, during) =
        (first_token_times(None, down_at), first_token_times(Some(down_at), up_at));
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let rates = (before.len() as f64 / 8.0, during.len() as f64 / 14.0);
    let stats = fixture.platform_stats().await?;
    let (p95_before, p95_during) = (p95(before), p95(during));
    println!(
        "before {:.1}/s p95 {p95_before:?}, during {:.1}/s p95 {p95_during:?}, busiest second {} writes",
        rates.0, rates.1, stats.peak_writes_per_second
    );
    ensure!(rates.1 > rates.0 * 0.8, "fewer requests during the outage: {rates:?}");
    ensure!(
        p95_during < Duration::from_millis(370),
        "p95 time to first token above the target: {p95_during:?}"
    );
    ensure!(
        stats.rate_limited == 0,
        "{} calls above the rate limit of the platform",
        stats.rate_limited
    );
    Ok(())
}
