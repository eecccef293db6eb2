//! Every planned stop is graceful, and a table outage harms no urgent request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::ensure;
use samphiredeck_standins::{
    launch::NodeSpec,
    platform::{OutageMode, ReclaimOrder},
    probe::{ChatAsk, ChatEnd, Probe},
    scene::{Scene, SceneSpec},
};
use serde_json::json;

/// Load that goes on in the background and follows the balancer's view of readiness.
#[derive(Clone, Default)]
struct SteadyLoad {
    stopped: Rc<Cell<bool>>,
    addresses: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    ends: Rc<RefCell<Vec<(Instant, ChatAsk, ChatEnd)>>>,
}

impl SteadyLoad {
    /// Starts callers that ask one after the other.
    fn start(&self, callers: usize, probe: &Probe) -> Vec<tokio::task::JoinHandle<()>> {
        (0..callers)
            .map(|caller| {
                let (load, probe) = (self.clone(), probe.clone());
                actix_web::rt::spawn(async move { load.call_on(caller, &probe).await })
            })
            .collect()
    }

    async fn call_on(&self, caller: usize, probe: &Probe) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let addresses = self.addresses.borrow().clone();
            let address = addresses[(caller + number) % addresses.len()];
            let ask = ChatAsk::new(&format!("caller {caller} asks {number}"), 15);
            let end = probe.chat(address, &ask).await;
            self.ends.borrow_mut().push((Instant::now(), ask, end));
        }
    }
}

#[actix_web::test]
async fn replacing_every_node_under_load_cuts_nothing() -> eyre::Result<()> {
    let mut scene = Scene::start(&SceneSpec::default()).await?;
    let load = SteadyLoad::default();
    *load.addresses.borrow_mut() = (0..3).map(|index| scene.node(index)).collect();
    let callers = load.start(12, &scene.system.probe);
    for index in 0..3 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        // The balancer takes the node out as soon as it is not ready any more.
        let address = scene.node(index);
        scene.system.nodes[index].process.signal("TERM")?;
        while scene.system.probe.is_ready(address).await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        load.addresses.borrow_mut().retain(|known| *known != address);
        let began = Instant::now();
        while !scene.system.nodes[index].process.has_ended() {
            ensure!(began.elapsed() < Duration::from_secs(20), "the stop is not bounded");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        scene.system.replace_node(index)?;
        scene.system.wait_ready(Duration::from_secs(20)).await?;
        scene.system.wait_upstreams(3, Duration::from_secs(20)).await?;
        load.addresses.borrow_mut().push(scene.node(index));
    }
    load.stopped.set(true);
    for caller in callers {
        caller.await?;
    }
    let ends = load.ends.borrow();
    let wrong: Vec<_> = ends.iter().filter(|(_, ask, end)| !end.is_right(ask)).collect();
    println!("{} requests over three replacements, {} wrong", ends.len(), wrong.len());
    ensure!(wrong.is_empty(), "{} of {}: {:?}", wrong.len(), ends.len(), wrong[0]);
    Ok(())
}

#[actix_web::test]
async fn a_stop_waits_for_answers_that_outlast_the_close_of_connections() -> eyre::Result<()> {
    let scene = Scene::start(&SceneSpec { nodes: 1, ..SceneSpec::default() }).await?;
    scene.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    let ask = ChatAsk::new("a tale that takes its time", 420);
    let (probe, address, asked) = (scene.system.probe.clone(), scene.node(0), ask.clone());
    let running = actix_web::rt::spawn(async move { probe.chat(address, &asked).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.system.nodes[0].process.signal("TERM")?;
    let stopped_at = Instant::now();
    let end = running.await?;
    ensure!(end.is_right(&ask), "{end:?}");
    // The server's own close gives connections 3 s, after 200 ms for the balancer.
    ensure!(stopped_at.elapsed() > Duration::from_millis(4_200), "{:?}", stopped_at.elapsed());
    Ok(())
}

#[actix_web::test]
async fn a_node_whose_own_instance_is_reclaimed_stops_within_the_notice() -> eyre::Result<()> {
    let settings = json!({ "node": { "instance": "node-instance-1" } });
    let mut scene = Scene::start(&SceneSpec { nodes: 1, settings, ..SceneSpec::default() }).await?;
    scene.system.add_node(NodeSpec::new("entry-2", "suva-b"))?;
    scene.system.wait_ready(Duration::from_secs(20)).await?;
    scene.system.wait_upstreams(3, Duration::from_secs(20)).await?;
    let ask = ChatAsk::new("a tale that ends in time", 90);
    let (probe, address, asked) = (scene.system.probe.clone(), scene.node(0), ask.clone());
    let running = actix_web::rt::spawn(async move { probe.chat(address, &asked).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let order = ReclaimOrder { ids: vec!["node-instance-1".parse()?], left_ms: 8_000 };
    let platform = scene.system.platform.address();
    scene.system.probe.post_json(platform, "/control/reclaim", &order).await?;
    ensure!(scene.system.nodes[0].process.wait_end(Duration::from_secs(8)), "it did not end");
    let end = running.await?;
    ensure!(end.is_right(&ask), "{end:?}");
    Ok(())
}

#[actix_web::test]
async fn a_stop_while_the_platform_is_down_ends_too() -> eyre::Result<()> {
    let mut scene = Scene::start(&SceneSpec::default()).await?;
    let ask = ChatAsk::new("still talking while the platform is gone", 90);
    scene.set_outage(OutageMode::Silent).await?;
    let (probe, address, asked) = (scene.system.probe.clone(), scene.node(0), ask.clone());
    let running = actix_web::rt::spawn(async move { probe.chat(address, &asked).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.system.nodes[0].process.signal("TERM")?;
    let end = running.await?;
    ensure!(end.is_right(&ask), "{end:?}");
    // The default bound on a stop, with the time to leave and to close.
    ensure!(scene.system.nodes[0].process.wait_end(Duration::from_secs(30)), "it did not end");
    Ok(())
}

/// Returns the 95th of a hundred.
fn p95(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() * 95 / 100]
}

#[actix_web::test]
async fn a_table_outage_harms_no_urgent_request_and_ends_without_a_rush() -> eyre::Result<()> {
    let scene = Scene::start(&SceneSpec { nodes: 5, ..SceneSpec::default() }).await?;
    let load = SteadyLoad::default();
    *load.addresses.borrow_mut() = (0..5).map(|index| scene.node(index)).collect();
    let callers = load.start(15, &scene.system.probe);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let down_at = Instant::now();
    scene.set_outage(OutageMode::Silent).await?;
    // Longer than every lease.
    tokio::time::sleep(Duration::from_secs(14)).await;
    let up_at = Instant::now();
    scene.set_outage(OutageMode::None).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    load.stopped.set(true);
    for caller in callers {
        caller.await?;
    }
    let ends = load.ends.take();
    let wrong: Vec<_> = ends.iter().filter(|(_, ask, end)| !end.is_right(ask)).collect();
    ensure!(wrong.is_empty(), "{} of {}: {:?}", wrong.len(), ends.len(), wrong[0]);
    let firsts = |from: Option<Instant>, to: Instant| -> Vec<Duration> {
        let within =
            ends.iter().filter(|(at, _, _)| from.is_none_or(|from| *at >= from) && *at < to);
        within.filter_map(|(_, _, end)| end.first_token).collect()
    };
    let (before, during) = (firsts(None, down_at), firsts(Some(down_at), up_at));
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let rates = (before.len() as f64 / 8.0, during.len() as f64 / 14.0);
    let stats = scene.platform_stats().await?;
    let (early, late) = (p95(before), p95(during));
    println!(
        "before {:.1}/s p95 {early:?}, during {:.1}/s p95 {late:?}, busiest second {} writes",
        rates.0, rates.1, stats.busiest_second
    );
    ensure!(rates.1 > rates.0 * 0.8, "fewer requests during the outage: {rates:?}");
    ensure!(late < Duration::from_millis(370), "first token within the target: {late:?}");
    ensure!(stats.limited == 0, "{} calls over the platform's rate", stats.limited);
    Ok(())
}
