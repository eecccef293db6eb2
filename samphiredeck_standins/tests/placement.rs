//! One node places models and asks for instances, under a lease whose number orders its holders.

use std::time::{Duration, Instant};

use eyre::ensure;
use samphiredeck_core::{
    ids::FencingToken,
    platform_api::{PriceRow, TableRead, TableReadResult},
    rows::{CONTROLLER_KEY, ControllerLeaseRow},
    upstream::PurchaseOption,
};
use samphiredeck_standins::{
    launch::EngineSpec,
    platform::{OutageMode, PlatformFaults},
    probe::ChatAsk,
    proxy::FaultProxy,
    scene::{DOMAINS, Scene, SceneSpec},
};
use serde_json::json;

/// Bound on the load of all models.
const LOADED_WITHIN: Duration = Duration::from_secs(30);

fn placing(engine_args: Vec<&'static str>) -> SceneSpec {
    let settings = json!({ "routing": { "placement": true } });
    SceneSpec { engine_args, settings, models: "", ..SceneSpec::default() }
}

/// Reads who holds the lease on placement.
async fn controller(scene: &Scene) -> eyre::Result<ControllerLeaseRow> {
    let read = TableRead { keys: vec![CONTROLLER_KEY.to_owned()], prefixes: Vec::new() };
    let platform = scene.system.platform.address();
    let (_, body) = scene.system.probe.post_json(platform, "/control/rows", &read).await?;
    let rows: TableReadResult = serde_json::from_value(body)?;
    let view = rows.rows.first().ok_or_else(|| eyre::eyre!("nobody holds the lease"))?;
    Ok(serde_json::from_str(view.value.as_deref().unwrap_or_default())?)
}

/// Waits until all three engines hold the model.
async fn wait_loaded(scene: &Scene) -> eyre::Result<Duration> {
    scene
        .wait_view(0, LOADED_WITHIN, |view| {
            let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
            rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 3
        })
        .await
}

#[actix_web::test]
async fn models_are_loaded_where_they_lack_and_starts_fall_back() -> eyre::Result<()> {
    let scene = Scene::start(&placing(Vec::new())).await?;
    let prices: Vec<PriceRow> = DOMAINS
        .iter()
        .flat_map(|domain| {
            [(PurchaseOption::Reclaimable, 900_000), (PurchaseOption::OnDemand, 3_000_000)]
                .map(|(market, price)| (*domain, market, price))
        })
        .map(|(domain, market, price)| PriceRow {
            domain: domain.parse().expect("a name"),
            class: "a-large".parse().expect("a name"),
            market,
            price,
        })
        .collect();
    let refuse = PlatformFaults { refuse_reclaimable: true, ..PlatformFaults::default() };
    scene.set_platform(refuse).await?;
    scene.system.set_prices(&prices).await?;
    let took = wait_loaded(&scene).await?;
    println!("loaded on three engines after {took:?}");
    let ask = ChatAsk::new("after the load", 5);
    let end = scene.system.probe.chat(scene.node(1), &ask).await;
    ensure!(end.is_right(&ask), "{end:?}");
    let began = Instant::now();
    loop {
        let stats = scene.platform_stats().await?;
        let granted = stats.starts.iter().filter(|order| order.market == PurchaseOption::OnDemand);
        if stats.refused_starts >= 4 && granted.count() > 0 {
            break;
        }
        ensure!(began.elapsed() < LOADED_WITHIN, "no fall back: {stats:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let starts = scene.platform_stats().await?.starts;
    let mut tokens: Vec<&String> = starts.iter().map(|order| &order.token).collect();
    tokens.sort();
    tokens.dedup();
    ensure!(tokens.len() == starts.len(), "an order was granted twice: {starts:?}");
    Ok(())
}

#[actix_web::test]
async fn a_frozen_controller_gives_no_order_under_its_old_number() -> eyre::Result<()> {
    for (args, mode) in [(Vec::new(), "checked"), (vec!["--ignore-fence"], "ignored")] {
        let scene = Scene::start(&placing(args)).await?;
        let mut declaration = samphiredeck_standins::scene::example_declaration();
        declaration["fencing"] = json!(mode);
        scene.apply(0, &declaration).await?;
        let began = Instant::now();
        let first = loop {
            match controller(&scene).await {
                Ok(row) => break row,
                Err(error) => ensure!(began.elapsed() < LOADED_WITHIN, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        let names: Vec<String> =
            scene.system.nodes.iter().map(|node| node.spec.name.clone()).collect();
        let holder = names.iter().position(|name| *name == first.holder.as_str());
        let holder = holder.ok_or_else(|| eyre::eyre!("unknown holder"))?;
        scene.system.nodes[holder].process.signal("STOP")?;
        tokio::time::sleep(Duration::from_secs(14)).await;
        let second = controller(&scene).await?;
        ensure!(second.fence > first.fence, "{mode}: nobody took over: {second:?}");
        ensure!(second.holder != first.holder, "{mode}: {second:?}");
        scene.system.nodes[holder].process.signal("CONT")?;
        let looker = (holder + 1) % 3;
        scene
            .wait_view(looker, LOADED_WITHIN, |view| {
                let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
                rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 3
            })
            .await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let last = controller(&scene).await?;
        for index in 0..3 {
            let stats = scene.engine_stats(index).await?;
            ensure!(stats.newest_fence <= last.fence, "{mode}: engine {index}: {stats:?}");
            ensure!(stats.refused_orders == 0, "{mode}: an old order arrived: {stats:?}");
        }
    }
    Ok(())
}

#[actix_web::test]
async fn a_controller_that_cannot_renew_its_lease_gives_no_order() -> eyre::Result<()> {
    let mut scene = Scene::start(&placing(vec!["--ignore-fence"])).await?;
    let (proxy, target) = FaultProxy::start()?;
    let spec = EngineSpec { models: String::new(), ..EngineSpec::new("engine-moved", "suva-a") };
    scene.system.add_engine(&spec, Some(proxy.address())).await?;
    target.set(scene.system.engines[3].address());
    scene
        .wait_view(0, LOADED_WITHIN, |view| {
            let rows = view["upstreams"].as_array().cloned().unwrap_or_default();
            rows.iter().filter(|row| row["models"] == json!(["tala-8b"])).count() == 4
        })
        .await?;
    // Longer than every lease. No read tells the holder that it has lost it.
    scene.set_outage(OutageMode::Silent).await?;
    tokio::time::sleep(Duration::from_secs(14)).await;
    // Another engine, which holds no model, is at the address now.
    let spec = EngineSpec { models: String::new(), ..EngineSpec::new("engine-new", "suva-a") };
    scene.system.add_engine(&spec, Some(proxy.address())).await?;
    target.set(scene.system.engines[4].address());
    scene.system.engines[3].signal("KILL")?;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let stats = scene.engine_stats(4).await?;
    ensure!(stats.newest_fence == FencingToken(0), "an order under a lapsed lease: {stats:?}");
    scene.set_outage(OutageMode::None).await?;
    let began = Instant::now();
    while scene.engine_stats(4).await?.newest_fence == FencingToken(0) {
        ensure!(began.elapsed() < LOADED_WITHIN, "no order after the outage");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}
