//! A seeded mix of faults over the real processes, with a check of every promise at the end.
//!
//! `SAMPHIREDECK_SEED` gives another seed, `SAMPHIREDECK_MIX_SECONDS` another length.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use eyre::{bail, ensure};
use rand::{Rng, SeedableRng, rngs::StdRng};
use samphiredeck_standins::{
    engine::EngineFaults,
    platform::{OutageMode, PlatformFaults},
    probe::{ChatAsk, ChatEnd, Probe},
    proxy::ProxyMode,
    scene::{Scene, SceneSpec, example_declaration},
    service::ServiceFaults,
};
use serde_json::{Value, json};

/// Seed where none is given.
const SEED: u64 = 20_261_203;
/// Length of the mix where none is given, in seconds.
const SECONDS: u64 = 45;
/// Callers of each kind.
const CALLERS: usize = 4;
/// Bound on what is still open when the faults end.
const SETTLE: Duration = Duration::from_secs(90);

fn number_of(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What callers did and were told.
#[derive(Default)]
struct Journal {
    chats: Vec<(ChatAsk, ChatEnd)>,
    calls: Vec<(String, u16, String)>,
    versions: Vec<u64>,
}

/// What all callers share.
#[derive(Clone)]
struct Callers {
    stopped: Rc<Cell<bool>>,
    addresses: Rc<RefCell<Vec<std::net::SocketAddr>>>,
    journal: Rc<RefCell<Journal>>,
    probe: Probe,
}

impl Callers {
    fn address(&self, number: usize) -> std::net::SocketAddr {
        let addresses = self.addresses.borrow();
        addresses[number % addresses.len()]
    }

    /// Asks chats one after the other, and follows each accepted one to its end.
    async fn chat_on(self, caller: usize, class: &'static str, tokens: u64) {
        let mut number = caller;
        while !self.stopped.get() {
            number += 1;
            let ask =
                ChatAsk { class, ..ChatAsk::new(&format!("{class} {caller} {number}"), tokens) };
            let mut end = self.probe.chat(self.address(number), &ask).await;
            if end.status == 200 && !end.complete {
                self.follow(&ask, &mut end).await;
            }
            self.journal.borrow_mut().chats.push((ask, end));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Comes back to a request whose stream broke off, at any node.
    async fn follow(&self, ask: &ChatAsk, end: &mut ChatEnd) {
        let began = Instant::now();
        let mut number = 0;
        while !end.complete && began.elapsed() < SETTLE {
            number += 1;
            let (address, offset) = (self.address(number), end.text.len());
            let rest = self.probe.attach(address, &ask.key, &end.request, offset).await;
            if rest.status == 200 {
                end.text.push_str(&rest.text);
                end.complete = rest.complete;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Posts calls that may not be repeated, and sends each again until it is settled.
    async fn post_on(self, caller: usize) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let reference = format!("post-{caller}-{number}");
            let body = json!({ "ref": reference });
            for attempt in 0..3 {
                let address = self.address(caller + number + attempt);
                let key = Some(reference.as_str());
                let (status, verdict, _) =
                    self.probe.call_service(address, "/ledger/post", key, &body).await;
                self.journal.borrow_mut().calls.push((reference.clone(), status, verdict));
                if status == 200 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            tokio::time::sleep(Duration::from_millis(80)).await;
        }
    }

    /// Changes the declaration now and then.
    async fn change_on(self) {
        let mut number = 0;
        while !self.stopped.get() {
            number += 1;
            let change =
                self.probe.change(self.address(number), &example_declaration(), None).await;
            if let Ok((200, body)) = change {
                let version = body["version"].as_u64().unwrap_or(0);
                self.journal.borrow_mut().versions.push(version);
            }
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
    }
}

/// One fault of the mix, with its end.
async fn inject(scene: &mut Scene, callers: &Callers, draw: &mut StdRng) -> eyre::Result<()> {
    let node = draw.random_range(0..scene.system.nodes.len());
    let engine = draw.random_range(0..scene.system.engines.len());
    let pause = Duration::from_millis(draw.random_range(300..3_500));
    let proxies = scene.system.nodes[node].proxies.clone();
    match draw.random_range(0..9) {
        0 => {
            println!("kill node {node}");
            scene.system.restart_node(node)?;
            callers.addresses.borrow_mut()[node] = scene.node(node);
        }
        1 => {
            println!("freeze node {node} for {pause:?}");
            scene.system.nodes[node].process.signal("STOP")?;
            tokio::time::sleep(pause * 3).await;
            scene.system.nodes[node].process.signal("CONT")?;
        }
        2 => {
            println!("stop node {node} in order");
            scene.system.nodes[node].process.signal("TERM")?;
            let began = Instant::now();
            while !scene.system.nodes[node].process.has_ended() {
                ensure!(began.elapsed() < Duration::from_secs(40), "the stop is not bounded");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            scene.system.replace_node(node)?;
            callers.addresses.borrow_mut()[node] = scene.node(node);
        }
        3 | 4 => {
            let mode = if draw.random() { ProxyMode::Cut } else { ProxyMode::Hold };
            println!("{mode:?} node {node} off for {pause:?}");
            for (proxy, mode) in proxies.iter().flat_map(|p| [(&p.peer, mode), (&p.platform, mode)])
            {
                proxy.set_mode(mode);
            }
            tokio::time::sleep(pause).await;
            for proxy in proxies.iter().flat_map(|p| [&p.peer, &p.platform]) {
                proxy.freeze_open();
                proxy.set_mode(ProxyMode::Pass);
            }
        }
        5 => {
            let outage = if draw.random() { OutageMode::Error } else { OutageMode::Silent };
            println!("platform {outage:?} for {pause:?}");
            scene.set_outage(outage).await?;
            tokio::time::sleep(pause * 2).await;
            scene.set_outage(OutageMode::None).await?;
        }
        6 => {
            let lose_answers = draw.random_range(1..4);
            println!("lose {lose_answers} answers of the table");
            scene
                .set_platform(PlatformFaults { lose_answers, ..PlatformFaults::default() })
                .await?;
        }
        7 => {
            println!("silence the open connections of engine {engine}");
            scene.engine_proxies[engine].freeze_open();
        }
        _ => {
            let faults = EngineFaults {
                cut: 2,
                cut_after: 4,
                crossed: 1,
                doubled: 1,
                no_end: 1,
                ..EngineFaults::default()
            };
            println!("faults of engine {engine}");
            scene.set_engine(engine, &faults).await?;
            let service = draw.random_range(0..scene.system.services.len());
            let faults = ServiceFaults {
                cut: 1,
                mute: 0,
                crossed: 1,
                refuse: 1,
                ..ServiceFaults::default()
            };
            scene.set_service(service, &faults).await?;
        }
    }
    Ok(())
}

/// Holds what callers were told against what upstreams saw.
async fn check(scene: &Scene, journal: &Journal) -> eyre::Result<()> {
    let mut lost = Vec::new();
    let mut refused = 0;
    for (ask, end) in &journal.chats {
        match end.status {
            200 if end.is_right(ask) => {}
            // The stream of a killed node's urgent request ends without an end, and its caller
            // knows that it is not whole. Only recorded work must survive that.
            200 if ask.class != "patient" && !end.complete => lost.push(end.request.clone()),
            200 => bail!("accepted and not answered right: {ask:?} {end:?}"),
            0 => {}
            _ => {
                refused += 1;
                ensure!(!end.verdict.is_empty(), "refused without a verdict: {end:?}");
                ensure!(end.verdict != "ran", "{end:?}");
                let advised = end.retry_after.is_some();
                ensure!(end.verdict != "not-run" || advised, "no advice: {end:?}");
                if end.verdict == "not-run" {
                    check_unseen(scene, &end.request).await?;
                }
            }
        }
    }
    let mut posts: Vec<&String> = journal.calls.iter().map(|(reference, _, _)| reference).collect();
    posts.sort();
    posts.dedup();
    let mut doubled = 0;
    for reference in &posts {
        let runs = scene.service_runs(reference).await?;
        doubled += u32::from(runs > 1);
        ensure!(runs <= 1, "{reference} ran {runs} times");
        let told = journal.calls.iter().filter(|(known, _, _)| known == *reference);
        let verdicts: Vec<&str> = told.map(|(_, _, verdict)| verdict.as_str()).collect();
        ensure!(!verdicts.contains(&"ran") || runs == 1, "{reference}: {verdicts:?}, {runs} runs");
        let all_unrun = verdicts.iter().all(|verdict| *verdict == "not-run");
        ensure!(!all_unrun || runs == 0, "{reference}: said not run, {runs} runs");
    }
    ensure!(journal.versions.is_sorted(), "versions fell: {:?}", journal.versions);
    println!(
        "{} chats, {} refused, {} cut by the death of their node, {} posts, {doubled} doubled, {} changes",
        journal.chats.len(),
        refused,
        lost.len(),
        posts.len(),
        journal.versions.len()
    );
    Ok(())
}

async fn check_unseen(scene: &Scene, request: &str) -> eyre::Result<()> {
    if request.is_empty() {
        return Ok(());
    }
    for index in 0..scene.system.engines.len() {
        let stats = scene.engine_stats(index).await?;
        let seen = stats.seen.iter().any(|(id, _)| id.to_string() == request);
        ensure!(!seen, "{request} was told not to have run, and engine {index} saw it");
    }
    Ok(())
}

#[actix_web::test]
async fn every_promise_holds_over_a_random_mix_of_faults() -> eyre::Result<()> {
    let seed = number_of("SAMPHIREDECK_SEED", SEED);
    let length = Duration::from_secs(number_of("SAMPHIREDECK_MIX_SECONDS", SECONDS));
    println!("seed {seed}, {length:?}");
    let mut draw = StdRng::seed_from_u64(seed);
    let spec = SceneSpec {
        nodes: 5,
        engines: 4,
        services: 2,
        proxied: true,
        proxied_upstreams: true,
        ..SceneSpec::default()
    };
    let mut scene = Scene::start(&spec).await?;
    let callers = Callers {
        stopped: Rc::default(),
        addresses: Rc::new(RefCell::new((0..5).map(|index| scene.node(index)).collect())),
        journal: Rc::default(),
        probe: scene.system.probe.clone(),
    };
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        let shared = callers.clone();
        tasks.push(actix_web::rt::spawn(shared.chat_on(caller, "urgent", 20)));
        let shared = callers.clone();
        tasks.push(actix_web::rt::spawn(shared.chat_on(caller, "patient", 60)));
        tasks.push(actix_web::rt::spawn(callers.clone().post_on(caller)));
    }
    tasks.push(actix_web::rt::spawn(callers.clone().change_on()));
    let until = Instant::now() + length;
    while Instant::now() < until {
        inject(&mut scene, &callers, &mut draw).await?;
        tokio::time::sleep(Duration::from_millis(draw.random_range(200..1_500))).await;
    }
    // The faults end, and everything that was accepted must come to its end.
    for index in 0..scene.system.engines.len() {
        scene.set_engine(index, &EngineFaults::default()).await?;
    }
    scene.set_platform(PlatformFaults::default()).await?;
    callers.stopped.set(true);
    for task in tasks {
        tokio::time::timeout(SETTLE * 2, task).await??;
    }
    scene.system.wait_ready(SETTLE).await?;
    let versions: Vec<Value> = {
        let mut versions = Vec::new();
        for index in 0..5 {
            versions.push(scene.system.probe.view(scene.node(index)).await?["version"].clone());
        }
        versions
    };
    ensure!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
    let journal = callers.journal.take();
    check(&scene, &journal).await
}
