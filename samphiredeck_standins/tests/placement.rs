//! Model placement and instance starts by a single controller. The controller holds a lease with a
//! fencing token, which increases with each holder.

use std::time::{Duration, Instant};

use eyre::ensure;
use samphiredeck_core::{
    ids::FencingToken,
    platform_api::{PriceRow, TableRead, TableReadResult},
    rows::{CONTROLLER_KEY, ControllerLeaseRow},
    upstream::PurchaseOption,
};
use samphiredeck_standins::{
    client::ChatRequest,
    fixture::{DOMAINS, Fixture, FixtureSpec},
    launch::EngineSpec,
    platform::{OutageMode, PlatformFaults},
    proxy::FaultProxy,
};
use serde_json::json;

/// Maximum time until all engines have loaded their models.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

fn placement_spec(engine_args: Vec<&'static str>) -> FixtureSpec {
    let settings = json!({ "routing": { "placement": true } });
    FixtureSpec { engine_args, settings, models: "", ..FixtureSpec::default() }
}

/// Reads the row of the placement lease.
async fn controller(fixture: &Fixture) -> eyre::Result<ControllerLeaseRow> {
    let read = TableRead { keys: vec![CONTROLLER_KEY.to_owned()], prefixes: Vec::new() };
    let platform = fixture.system.platform.address();
    let (_, body) = fixture.system.client.post_json(platform, "/control/rows", &read).await?;
    let rows: TableReadResult = serde_json::from_value(body)?;
    let row = rows.rows.first().ok_or_else(|| eyre::eyre!("no node holds the lease"))?;
    Ok(serde_json::from_str(row.value.as_deref().unwrap_or_default())?)
}

/// Waits until all three engines have loaded the model.
async fn wait_loaded(fixture: &Fixture) -> eyre::Result<Duration> {
    fixture
        .wait_view(0, LOAD_TIMEOUT, |view| {
            let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
            rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 3
        })
        .await
}

#[actix_web::test]
async fn missing_models_are_loaded_and_starts_fall_back_to_on_demand() -> eyre::Result<()> {
    let fixture = Fixture::start(&placement_spec(Vec::new())).await?;
    let prices: Vec<PriceRow> = DOMAINS
        .iter()
        .flat_map(|domain| {
            [(PurchaseOption::Reclaimable, 900_000), (PurchaseOption::OnDemand, 3_000_000)]
                .map(|(market, price)| (*domain, market, price))
        })
        .map(|(domain, market, price)| PriceRow {
            domain: domain.parse().expect("a name"),
            class: "a-large".parse().expect("a name"),
            purchase_option: market,
            price,
        })
        .collect();
    let faults = PlatformFaults { refuse_reclaimable: true, ..PlatformFaults::default() };
    fixture.set_platform_faults(faults).await?;
    fixture.system.set_prices(&prices).await?;
    let took = wait_loaded(&fixture).await?;
    println!("model loaded on three engines after {took:?}");
    let request = ChatRequest::new("after the load", 5);
    let result = fixture.system.client.chat(fixture.node(1), &request).await;
    ensure!(result.is_correct(&request), "{result:?}");
    let started_at = Instant::now();
    loop {
        let stats = fixture.platform_stats().await?;
        let granted =
            stats.starts.iter().filter(|start| start.purchase_option == PurchaseOption::OnDemand);
        if stats.refused_starts >= 4 && granted.count() > 0 {
            break;
        }
        ensure!(
            started_at.elapsed() < LOAD_TIMEOUT,
            "no fallback to on-demand instances: {stats:?}"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let starts = fixture.platform_stats().await?.starts;
    let mut tokens: Vec<&String> = starts.iter().map(|start| &start.token).collect();
    tokens.sort();
    tokens.dedup();
    ensure!(tokens.len() == starts.len(), "an order was granted twice: {starts:?}");
    Ok(())
}

#[actix_web::test]
async fn a_resumed_controller_sends_no_order_under_its_old_fencing_token() -> eyre::Result<()> {
    for (args, mode) in [(Vec::new(), "checked"), (vec!["--ignore-fence"], "ignored")] {
        let fixture = Fixture::start(&placement_spec(args)).await?;
        let mut declaration = samphiredeck_standins::fixture::example_declaration();
        declaration["fencing"] = json!(mode);
        fixture.apply(0, &declaration).await?;
        let started_at = Instant::now();
        let first = loop {
            match controller(&fixture).await {
                Ok(row) => break row,
                Err(error) => ensure!(started_at.elapsed() < LOAD_TIMEOUT, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        let names: Vec<String> =
            fixture.system.nodes.iter().map(|node| node.spec.name.clone()).collect();
        let holder = names.iter().position(|name| *name == first.holder.as_str());
        let holder = holder.ok_or_else(|| eyre::eyre!("unknown holder"))?;
        fixture.system.nodes[holder].process.signal("STOP")?;
        tokio::time::sleep(Duration::from_secs(14)).await;
        let second = controller(&fixture).await?;
        ensure!(second.fence > first.fence, "{mode}: no node took over the lease: {second:?}");
        ensure!(second.holder != first.holder, "{mode}: {second:?}");
        fixture.system.nodes[holder].process.signal("CONT")?;
        let observer = (holder + 1) % 3;
        fixture
            .wait_view(observer, LOAD_TIMEOUT, |view| {
                let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
                rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 3
            })
            .await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let last = controller(&fixture).await?;
        for index in 0..3 {
            let stats = fixture.engine_stats(index).await?;
            ensure!(stats.newest_fence <= last.fence, "{mode}: engine {index}: {stats:?}");
            ensure!(
                stats.refused_orders == 0,
                "{mode}: an order with an old fencing token arrived: {stats:?}"
            );
        }
    }
    Ok(())
}

#[actix_web::test]
async fn a_controller_that_cannot_renew_its_lease_sends_no_order() -> eyre::Result<()> {
    let mut fixture = Fixture::start(&placement_spec(vec!["--ignore-fence"])).await?;
    let (proxy, target) = FaultProxy::start()?;
    let spec = EngineSpec { models: String::new(), ..EngineSpec::new("engine-moved", "suva-a") };
    fixture.system.add_engine(&spec, Some(proxy.address())).await?;
    target.set(fixture.system.engines[3].address());
    fixture
        .wait_view(0, LOAD_TIMEOUT, |view| {
            let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
            rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 4
        })
        .await?;
    // Longer than every lease. The holder can't learn of the loss by reading the table.
    fixture.set_outage(OutageMode::Silent).await?;
    tokio::time::sleep(Duration::from_secs(14)).await;
    // Another engine without models takes over the address.
    let spec = EngineSpec { models: String::new(), ..EngineSpec::new("engine-new", "suva-a") };
    fixture.system.add_engine(&spec, Some(proxy.address())).await?;
    target.set(fixture.system.engines[4].address());
    fixture.system.engines[3].signal("KILL")?;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let stats = fixture.engine_stats(4).await?;
    ensure!(stats.newest_fence == FencingToken(0), "order sent under an expired lease: {stats:?}");
    fixture.set_outage(OutageMode::None).await?;
    let started_at = Instant::now();
    while fixture.engine_stats(4).await?.newest_fence == FencingToken(0) {
        ensure!(started_at.elapsed() < LOAD_TIMEOUT, "no order after the outage");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}
