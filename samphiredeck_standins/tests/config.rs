//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::{Duration, Instant};

use eyre::ensure;
use samphiredeck_standins::{
    platform::OutageMode,
    probe::ChatAsk,
    proxy::ProxyMode,
    scene::{Scene, SceneSpec, example_declaration},
};
use serde_json::Value;

/// Time within which an accepted version is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

fn five_nodes() -> SceneSpec {
    SceneSpec { nodes: 5, engines: 1, proxied: true, ..SceneSpec::default() }
}

/// Declaration in which the first workspace has no key, so that its requests tell the versions
/// apart.
fn without_wharf_key() -> Value {
    let mut declaration = example_declaration();
    declaration["workspaces"][0]["keys"] = serde_json::json!([]);
    declaration
}

/// Cuts a node off from the platform and from all other nodes.
fn cut_off(scene: &Scene, index: usize, mode: ProxyMode) {
    let proxies = scene.system.nodes[index].proxies.clone().expect("the scene has proxies");
    proxies.peer.set_mode(mode);
    proxies.platform.set_mode(mode);
}

/// Whether a node still serves the key that the newest version took away.
async fn serves_old_key(scene: &Scene, index: usize) -> bool {
    let end = scene.system.probe.chat(scene.node(index), &ChatAsk::new("is it still so", 2)).await;
    end.status == 200
}

#[actix_web::test]
async fn a_change_is_in_force_on_nine_nodes_when_its_operator_is_answered() -> eyre::Result<()> {
    let spec = SceneSpec { nodes: 9, engines: 1, proxied: true, ..SceneSpec::default() };
    let scene = Scene::start(&spec).await?;
    for drop_permille in [0, 200] {
        for node in &scene.system.nodes {
            if let Some(proxies) = &node.proxies {
                proxies.peer.set_drop_permille(drop_permille);
            }
        }
        let mut times = Vec::new();
        for round in 0..6 {
            let began = Instant::now();
            let version = scene.apply(round % 9, &example_declaration()).await?;
            for index in 0..9 {
                ensure!(scene.version(index).await? >= version, "node {index} lacks {version}");
            }
            times.push(began.elapsed());
        }
        times.sort();
        println!("{drop_permille} permille lost: p50 {:?}, max {:?}", times[3], times[5]);
        ensure!(times[5] <= IN_FORCE_WITHIN, "{times:?}");
    }
    Ok(())
}

#[actix_web::test]
async fn of_racing_operators_one_wins_and_the_others_see_who() -> eyre::Result<()> {
    let scene = Scene::start(&five_nodes()).await?;
    for _ in 0..3 {
        let before = scene.version(0).await?;
        let changes = (0..5).map(|index| {
            let probe = scene.system.probe.clone();
            let address = scene.node(index);
            async move { probe.change(address, &example_declaration(), Some(before)).await }
        });
        let ends = futures_util::future::join_all(changes).await;
        let mut won = 0;
        for end in ends {
            let (status, body) = end?;
            if status == 200 {
                won += 1;
                ensure!(body["version"] == before + 1, "{body}");
            } else {
                ensure!(status == 409, "{status}: {body}");
                let named = body["version"].is_u64() || body["coordinator"].is_string();
                ensure!(named, "the loser is not told of the winner: {body}");
            }
        }
        ensure!(won == 1, "{won} won");
    }
    Ok(())
}

#[actix_web::test]
async fn a_frozen_node_admits_nothing_of_the_old_version_when_it_resumes() -> eyre::Result<()> {
    let scene = Scene::start(&five_nodes()).await?;
    ensure!(serves_old_key(&scene, 4).await, "the key is not served before the change");
    scene.system.nodes[4].process.signal("STOP")?;
    let version = scene.apply(0, &without_wharf_key()).await?;
    // Requests that wait at the frozen node are answered after it resumes.
    let (probe, address) = (scene.system.probe.clone(), scene.node(4));
    let waiting = actix_web::rt::spawn(async move {
        probe.chat(address, &ChatAsk::new("sent while frozen", 2)).await
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.system.nodes[4].process.signal("CONT")?;
    let end = waiting.await?;
    ensure!(end.status != 200, "the old version was served after acceptance: {end:?}");
    scene.wait_view(4, IN_FORCE_WITHIN, |view| view["version"] == version).await?;
    Ok(())
}

#[actix_web::test]
async fn a_node_that_is_cut_off_serves_nothing_old_after_acceptance() -> eyre::Result<()> {
    for mode in [ProxyMode::Cut, ProxyMode::Hold] {
        let scene = Scene::start(&five_nodes()).await?;
        cut_off(&scene, 4, mode);
        let version = scene.apply(0, &without_wharf_key()).await?;
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            ensure!(!serves_old_key(&scene, 4).await, "{mode:?}: the old version is served");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        cut_off(&scene, 4, ProxyMode::Pass);
        let bound = IN_FORCE_WITHIN;
        scene.wait_view(4, bound, |view| view["version"] == version).await?;
    }
    Ok(())
}

#[actix_web::test]
async fn a_change_is_refused_while_a_majority_is_cut_off() -> eyre::Result<()> {
    let scene = Scene::start(&five_nodes()).await?;
    let before = scene.version(0).await?;
    // Three of five hear each other but neither the platform nor the other two.
    for index in 2..5 {
        scene.system.nodes[index].process.signal("STOP")?;
    }
    let (status, body) =
        scene.system.probe.change(scene.node(0), &without_wharf_key(), None).await?;
    for index in 2..5 {
        scene.system.nodes[index].process.signal("CONT")?;
    }
    ensure!(
        status == 503 && body["missing"].as_array().is_some_and(|names| names.len() == 3),
        "{status}: {body}"
    );
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..5 {
        ensure!(scene.version(index).await? == before, "not at all means nowhere");
        ensure!(serves_old_key(&scene, index).await, "node {index} does not serve");
    }
    Ok(())
}

#[actix_web::test]
async fn an_outage_right_after_acceptance_reverts_nothing() -> eyre::Result<()> {
    let mut scene = Scene::start(&five_nodes()).await?;
    let version = scene.apply(0, &without_wharf_key()).await?;
    scene.set_outage(OutageMode::Silent).await?;
    for index in 0..5 {
        ensure!(scene.version(index).await? == version, "node {index}");
        ensure!(!serves_old_key(&scene, index).await, "node {index} serves the old version");
    }
    // A node that starts while the table is down learns the version from its peers, or stays
    // out.
    let seeds = serde_json::json!([{
        "name": "entry-1",
        "address": scene.system.nodes[0].process.addresses[1].to_string(),
    }]);
    scene.system.nodes[4].spec.settings = serde_json::json!({ "node": { "seeds": seeds } });
    scene.system.restart_node(4)?;
    scene.wait_view(4, Duration::from_secs(10), |view| view["version"] == version).await?;
    scene.set_outage(OutageMode::None).await?;
    scene.system.wait_ready(Duration::from_secs(15)).await?;
    for index in 0..5 {
        ensure!(scene.version(index).await? == version, "node {index}");
    }
    Ok(())
}

#[actix_web::test]
async fn killing_the_coordinator_at_any_step_leaves_one_version_everywhere() -> eyre::Result<()> {
    let mut scene = Scene::start(&five_nodes()).await?;
    for kill_after_ms in [1_u64, 8, 20, 35, 50, 80] {
        let before = scene.version(1).await?;
        let (probe, address) = (scene.system.probe.clone(), scene.node(0));
        let change = actix_web::rt::spawn(async move {
            probe.change(address, &example_declaration(), None).await
        });
        tokio::time::sleep(Duration::from_millis(kill_after_ms)).await;
        scene.system.restart_node(0)?;
        let told = change.await?.ok().map(|(status, body)| (status, body["version"].as_u64()));
        scene.system.wait_ready(Duration::from_secs(30)).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut versions = Vec::new();
        for index in 0..5 {
            versions.push(scene.version(index).await?);
        }
        ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        ensure!(versions[0] >= before, "reverted from {before} to {versions:?}");
        if let Some((200, Some(version))) = told {
            ensure!(versions[0] >= version, "{version} was accepted, {versions:?} is in force");
        }
        // The next change is not blocked by what the dead coordinator left.
        let began = Instant::now();
        let mut status = 0;
        while status != 200 && began.elapsed() < Duration::from_secs(25) {
            status =
                scene.system.probe.change(scene.node(1), &example_declaration(), None).await?.0;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        ensure!(status == 200, "no change can be made any more");
    }
    Ok(())
}

#[actix_web::test]
async fn replacing_all_nodes_keeps_the_version() -> eyre::Result<()> {
    let mut scene = Scene::start(&SceneSpec { engines: 1, ..SceneSpec::default() }).await?;
    let version = scene.apply(0, &without_wharf_key()).await?;
    for index in 0..3 {
        scene.system.restart_node(index)?;
    }
    scene.system.wait_ready(Duration::from_secs(20)).await?;
    for index in 0..3 {
        ensure!(scene.version(index).await? == version, "node {index}");
        ensure!(!serves_old_key(&scene, index).await, "node {index} serves the old version");
    }
    Ok(())
}
