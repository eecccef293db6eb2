//! Replays one seeded workload under each routing policy and compares latency, cost and losses.
//!
//! Each policy runs in a separate system with a platform, engines, services and eight nodes. A run
//! has a calm phase, a wave of reclaims with replacements in one failure domain, and an overload
//! phase.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{bail, ensure};
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};
use samphiredeck_core::{
    account::AccountRow,
    prefix::{BLOCK_TOKENS, BlockHash, count_tokens, hash_blocks},
    upstream::PurchaseOption,
};
use samphiredeck_standins::{
    client::{ChatRequest, ChatResult, TestClient},
    engine::{EngineFaults, EngineStats},
    launch::{EngineSpec, LocalSystem, NodeSpec},
    platform::ReclaimOrder,
    tokens::chat_prompt,
    workload::{WorkloadGenerator, WorkloadProfile, WorkloadRequest},
};
use serde_json::{Value, json};

/// Routing policies. The first one is samphiredeck's own, the others are baselines.
const POLICIES: [&str; 5] =
    ["scored", "round-robin", "least-reported", "random-two", "affinity-unbounded"];
/// Number of nodes.
const NODES: usize = 8;
/// Notice period of the reclaims in milliseconds.
const NOTICE_MS: u64 = 3_000;
/// Maximum time until a system is ready.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum time for each request to complete once it is awaited.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Priority classes in the order of the report.
const CLASSES: [&str; 3] = ["urgent", "prompt", "patient"];
/// Latency targets for the first token and between tokens in milliseconds, by priority class.
const TARGETS_MS: [(u64, u64); 3] = [(370, 28), (2_000, 60), (120_000, 1_000)];
/// Costs are counted in billionths of the unit of the platform's currency.
const NANOS_PER_CURRENCY_UNIT: f64 = 1e9;

/// Compare routing policies over one seeded workload.
#[derive(Debug, FromArgs)]
struct ExperimentArgs {
    /// deployment whose workload is replayed: vakatoka or peachstate
    #[argh(option, default = "String::from(\"vakatoka\")")]
    user: String,
    /// seed of the workload
    #[argh(option, default = "1")]
    seed: u64,
    /// requests per second in the calm phase
    #[argh(option, default = "40.0")]
    rate: f64,
    /// factor by which the overload exceeds the calm rate
    #[argh(option, default = "2.5")]
    overload: f64,
    /// duration of the calm phase in seconds; the wave and the overload take half of it each
    #[argh(option, default = "16")]
    calm: u64,
    /// policies to run, comma-separated; all by default
    #[argh(option)]
    policies: Option<String>,
    /// output directory for tables and plots
    #[argh(option, default = "PathBuf::from(\"reports\")")]
    out: PathBuf,
}

/// Results of one policy. Arrays and vectors are indexed by priority class.
struct PolicyOutcome {
    policy: String,
    time_to_first_token: Vec<Histogram<u64>>,
    time_between_tokens: Vec<Histogram<u64>>,
    sent: [u64; 3],
    within_target: [u64; 3],
    /// Requests sent and requests within the target during the overload phase.
    overload: ([u64; 3], [u64; 3]),
    overload_first_token: Vec<Histogram<u64>>,
    refused: u64,
    lost: u64,
    /// Prompt tokens of all accepted requests.
    prompt_tokens: u64,
    /// Tokens that the engines computed in excess of one computation per distinct block.
    recomputed: u64,
    /// Tokens recomputed after losses, as accounted by the nodes.
    recomputed_after_loss: u64,
    cost: f64,
    /// Difference between the generated tokens that the nodes accounted and those that the engines
    /// counted, in permille.
    accounting_error_permille: u64,
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let args: ExperimentArgs = argh::from_env();
    let profile = match args.user.as_str() {
        "vakatoka" => WorkloadProfile::Vakatoka,
        "peachstate" => WorkloadProfile::Peachstate,
        other => bail!("user: {other:?} is neither vakatoka nor peachstate"),
    };
    fs::create_dir_all(&args.out)?;
    let wanted = args.policies.clone();
    let policies: Vec<&str> =
        wanted.as_deref().map_or(POLICIES.to_vec(), |text| text.split(',').collect());
    let mut outcomes = Vec::new();
    for policy in policies {
        eprintln!("running {policy}");
        outcomes.push(run_policy(profile, policy, &args).await?);
    }
    let table = write_table(profile, &args, &outcomes);
    println!("{table}");
    fs::write(args.out.join(format!("{}-{}.txt", args.user, args.seed)), &table)?;
    draw_plot(&args, &outcomes)
}

/// Generates the requests of all phases. Returns them with the start times of the reclaim wave and
/// of the overload.
fn generate_workload(
    profile: WorkloadProfile,
    args: &ExperimentArgs,
) -> (Vec<WorkloadRequest>, Duration, Duration) {
    let mut generator = WorkloadGenerator::new(profile, args.seed);
    let calm = Duration::from_secs(args.calm);
    let wave_end = calm + calm / 2;
    let overload_end = wave_end + calm / 2;
    let mut requests = generator.generate(Duration::ZERO, wave_end, args.rate);
    requests.extend(generator.generate(wave_end, overload_end, args.rate * args.overload));
    (requests, calm, wave_end)
}

async fn start_system(profile: WorkloadProfile, policy: &str) -> eyre::Result<LocalSystem> {
    let mut system = LocalSystem::start(&["--list-lag", "3000"])?;
    for number in 0..profile.engine_count() {
        system.add_engine(&engine_spec(profile, number, &format!("engine-{number}")), None).await?;
    }
    for number in 0..4 {
        let name = format!("service-{number}");
        system.add_service(&name, "ledger", profile.domains()[number], None).await?;
    }
    for number in 0..NODES {
        let settings = json!({
            "routing": { "policy": policy },
            "limits": { "workers": 1 },
            "log": { "level": "warn" },
        });
        let domain = profile.domains()[number % 4];
        let spec = NodeSpec { settings, ..NodeSpec::new(&format!("entry-{number}"), domain) };
        system.add_node(spec)?;
    }
    system.wait_ready(START_TIMEOUT).await?;
    system.wait_upstreams(profile.engine_count() + 4, START_TIMEOUT).await?;
    let path = format!(
        "{}/../examples/{}/declaration.json",
        env!("CARGO_MANIFEST_DIR"),
        profile.example_dir()
    );
    let declaration: Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    let (status, body) =
        system.client.change_declaration(system.node_address(0), &declaration, None).await?;
    ensure!(status == 200, "{body}");
    Ok(system)
}

/// Configuration of an engine. Prices differ by failure domain, and every fourth engine is bought
/// on demand.
fn engine_spec(profile: WorkloadProfile, number: usize, name: &str) -> EngineSpec {
    let domain = number % 4;
    let on_demand = number % 4 == 3;
    let args = [
        "--slots",
        "8",
        "--cache",
        "1024",
        "--decode",
        "60",
        "--slowdown",
        "0.4",
        "--prefill",
        "12000",
        "--report-lag",
        "400",
        "--delay",
    ];
    let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    args.push(profile.round_trip_ms().to_string());
    EngineSpec {
        args,
        market: if on_demand { PurchaseOption::OnDemand } else { PurchaseOption::Reclaimable },
        price: [900_000, 1_100_000, 1_300_000, 3_000_000][domain],
        models: profile.model().to_owned(),
        ..EngineSpec::new(name, profile.domains()[domain])
    }
}

async fn run_policy(
    profile: WorkloadProfile,
    policy: &str,
    args: &ExperimentArgs,
) -> eyre::Result<PolicyOutcome> {
    let (workload, wave_at, overload_at) = generate_workload(profile, args);
    let mut system = start_system(profile, policy).await?;
    let nodes: Vec<_> = (0..NODES).map(|index| system.node_address(index)).collect();
    let started_at = Instant::now();
    let client = TestClient::new();
    let calls: Vec<_> = workload
        .iter()
        .enumerate()
        .map(|(number, item)| {
            let (client, address, item) = (client.clone(), nodes[number % NODES], item.clone());
            let model = profile.model().to_owned();
            actix_web::rt::spawn(async move {
                tokio::time::sleep_until((started_at + item.at).into()).await;
                let request = ChatRequest {
                    key: item.key.to_owned(),
                    model,
                    class: item.class,
                    content: item.content,
                    max_tokens: item.tokens,
                    idempotency_key: None,
                };
                let result = client.chat(address, &request).await;
                (request, result)
            })
        })
        .collect();
    let lost_engines = reclaim_wave(profile, &mut system, started_at + wave_at).await?;
    let mut results = Vec::new();
    for (item, call) in workload.iter().zip(calls) {
        let (request, result) = tokio::time::timeout(SETTLE_TIMEOUT, call).await??;
        results.push((item.at >= overload_at, request, result));
    }
    // Usage accounts are saved every few seconds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut stats = lost_engines;
    for engine in &system.engines {
        let engine_stats: eyre::Result<EngineStats> =
            system.client.get_json(engine.address(), "/control/stats").await;
        stats.extend(engine_stats);
    }
    let accounts: Vec<AccountRow> = system.client.get_json(nodes[0], "/admin/usage").await?;
    Ok(summarize(policy, profile, &results, &stats, &accounts))
}

/// Reclaims the engines of the first failure domain and starts replacements after the notice
/// period. Returns the counters of the reclaimed engines, read just before they are killed.
async fn reclaim_wave(
    profile: WorkloadProfile,
    system: &mut LocalSystem,
    at: Instant,
) -> eyre::Result<Vec<EngineStats>> {
    tokio::time::sleep_until(at.into()).await;
    let reclaimed: Vec<usize> =
        (0..profile.engine_count()).filter(|number| number % 4 == 0).collect();
    let mut ids = Vec::new();
    for index in &reclaimed {
        let engine = &system.engines[*index];
        let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
        system.client.post_json(engine.address(), "/control/faults", &faults).await?;
        ids.push(engine.name.parse()?);
    }
    let order = ReclaimOrder { ids, left_ms: NOTICE_MS };
    system.client.post_json(system.platform.address(), "/control/reclaim", &order).await?;
    tokio::time::sleep(Duration::from_millis(NOTICE_MS)).await;
    let mut stats = Vec::new();
    for index in &reclaimed {
        let address = system.engines[*index].address();
        stats.push(system.client.get_json(address, "/control/stats").await?);
        system.engines[*index].signal("KILL")?;
    }
    for index in reclaimed {
        let name = format!("engine-{index}-b");
        system.add_engine(&engine_spec(profile, index, &name), None).await?;
    }
    Ok(stats)
}

fn new_histograms() -> Vec<Histogram<u64>> {
    let build =
        || Histogram::new_with_bounds(1, 600_000_000, 3).expect("the histogram bounds are valid");
    CLASSES.iter().map(|_| build()).collect()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn summarize(
    policy: &str,
    profile: WorkloadProfile,
    results: &[(bool, ChatRequest, ChatResult)],
    stats: &[EngineStats],
    accounts: &[AccountRow],
) -> PolicyOutcome {
    let mut outcome = PolicyOutcome {
        policy: policy.to_owned(),
        time_to_first_token: new_histograms(),
        time_between_tokens: new_histograms(),
        sent: [0; 3],
        within_target: [0; 3],
        overload: ([0; 3], [0; 3]),
        overload_first_token: new_histograms(),
        refused: 0,
        lost: 0,
        prompt_tokens: 0,
        recomputed: 0,
        recomputed_after_loss: accounts.iter().map(|row| row.recomputed).sum(),
        #[expect(clippy::cast_precision_loss, reason = "shown to four digits")]
        cost: accounts.iter().map(|row| row.cost).sum::<u64>() as f64 / NANOS_PER_CURRENCY_UNIT,
        accounting_error_permille: 0,
    };
    let mut blocks: Vec<BlockHash> = Vec::new();
    let mut needed = 0;
    for (overload, request, result) in results {
        let class = CLASSES.iter().position(|class| *class == request.class).unwrap_or(0);
        count_result(&mut outcome, class, *overload, request, result);
        if result.status != 200 {
            continue;
        }
        let prompt = chat_prompt(&request.content);
        let prompt_blocks = hash_blocks(profile.model(), &prompt);
        outcome.prompt_tokens += count_tokens(&prompt);
        // Tokens after the last complete block can't be cached and are computed for each request.
        needed += count_tokens(&prompt) - (prompt_blocks.len() * BLOCK_TOKENS) as u64;
        blocks.extend(prompt_blocks);
    }
    blocks.sort_unstable();
    blocks.dedup();
    needed += (blocks.len() * BLOCK_TOKENS) as u64;
    let computed: u64 = stats.iter().map(|row| row.computed + row.recomputed).sum();
    outcome.recomputed = computed.saturating_sub(needed);
    let engine_tokens: u64 = stats.iter().map(|row| row.generated).sum();
    let accounted_tokens: u64 = accounts.iter().map(|row| row.generated).sum();
    outcome.accounting_error_permille =
        engine_tokens.abs_diff(accounted_tokens) * 1_000 / engine_tokens.max(1);
    outcome
}

fn count_result(
    outcome: &mut PolicyOutcome,
    class: usize,
    overload: bool,
    request: &ChatRequest,
    result: &ChatResult,
) {
    outcome.sent[class] += 1;
    outcome.overload.0[class] += u64::from(overload);
    if result.status != 200 {
        outcome.refused += 1;
        return;
    }
    if !result.is_correct(request) {
        outcome.lost += 1;
        return;
    }
    let time_to_first_token = result.time_to_first_token.unwrap_or(result.total_time);
    let gaps = u32::try_from(request.max_tokens.saturating_sub(1).max(1)).unwrap_or(u32::MAX);
    let time_between_tokens = result.decode_time / gaps;
    outcome.time_to_first_token[class].saturating_record(micros(time_to_first_token));
    outcome.time_between_tokens[class].saturating_record(micros(time_between_tokens));
    if overload {
        outcome.overload_first_token[class].saturating_record(micros(time_to_first_token));
    }
    let (first_ms, between_ms) = TARGETS_MS[class];
    if time_to_first_token <= Duration::from_millis(first_ms)
        && time_between_tokens <= Duration::from_millis(between_ms)
    {
        outcome.within_target[class] += 1;
        outcome.overload.1[class] += u64::from(overload);
    }
}

#[expect(clippy::cast_precision_loss, reason = "shown to four digits")]
fn percent(part: u64, total: u64) -> f64 {
    part as f64 * 100.0 / total.max(1) as f64
}

#[expect(clippy::cast_precision_loss, reason = "shown to four digits")]
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "shown to four digits")]
fn permille_as_percent(permille: u64) -> f64 {
    permille as f64 / 10.0
}

#[expect(clippy::cast_precision_loss, reason = "shown to four digits")]
fn cost_per_thousand(outcome: &PolicyOutcome) -> f64 {
    let answers: u64 = outcome.within_target.iter().sum();
    outcome.cost * 1_000.0 / answers.max(1) as f64
}

fn write_table(
    profile: WorkloadProfile,
    args: &ExperimentArgs,
    outcomes: &[PolicyOutcome],
) -> String {
    use std::fmt::Write as _;
    let mut text = format!(
        "{} seed {} rate {}/s overload x{} calm {} s, {NODES} nodes, {} engines\n",
        args.user,
        args.seed,
        args.rate,
        args.overload,
        args.calm,
        profile.engine_count()
    );
    for outcome in outcomes {
        let _ = writeln!(text, "\n{}", outcome.policy);
        for (class, name) in CLASSES.iter().enumerate() {
            let (time_to_first_token, time_between_tokens) =
                (&outcome.time_to_first_token[class], &outcome.time_between_tokens[class]);
            let _ = writeln!(
                text,
                "  {name:8} first p50 {:8.1} p95 {:8.1} p99 {:8.1} ms  between p50 {:5.1} p95 {:5.1} p99 {:5.1} ms  in target {:5.1}%  overload: p95 {:8.1} ms, in target {:5.1}%",
                quantile_ms(time_to_first_token, 0.5),
                quantile_ms(time_to_first_token, 0.95),
                quantile_ms(time_to_first_token, 0.99),
                quantile_ms(time_between_tokens, 0.5),
                quantile_ms(time_between_tokens, 0.95),
                quantile_ms(time_between_tokens, 0.99),
                percent(outcome.within_target[class], outcome.sent[class]),
                quantile_ms(&outcome.overload_first_token[class], 0.95),
                percent(outcome.overload.1[class], outcome.overload.0[class]),
            );
        }
        let _ = writeln!(
            text,
            "  cost per 1000 answers in target {:.4}  recomputed {:.1}% of prompt ({} tokens, {} after losses)  refused {}  lost {}  accounts off by {:.1}%",
            cost_per_thousand(outcome),
            percent(outcome.recomputed, outcome.prompt_tokens),
            outcome.recomputed,
            outcome.recomputed_after_loss,
            outcome.refused,
            outcome.lost,
            permille_as_percent(outcome.accounting_error_permille),
        );
    }
    text
}

/// Plots the time to the first token of urgent requests by quantile, with one line per policy.
fn draw_plot(args: &ExperimentArgs, outcomes: &[PolicyOutcome]) -> eyre::Result<()> {
    let path = args.out.join(format!("{}-{}.svg", args.user, args.seed));
    let area = SVGBackend::new(&path, (900, 540)).into_drawing_area();
    area.fill(&WHITE)?;
    let quantiles: Vec<f64> = (1..100).map(|percent| f64::from(percent) / 100.0).collect();
    let worst = outcomes
        .iter()
        .map(|outcome| quantile_ms(&outcome.time_to_first_token[0], 0.99))
        .fold(500.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: first token of urgent requests", args.user), ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..1.0, 0.0..worst.min(3_000.0))?;
    chart.configure_mesh().x_desc("share of requests").y_desc("milliseconds").draw()?;
    for (index, outcome) in outcomes.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points =
            quantiles.iter().map(|at| (*at, quantile_ms(&outcome.time_to_first_token[0], *at)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(outcome.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    let target = [(0.95, 370.0)];
    chart.draw_series(target.iter().map(|point| Circle::new(*point, 4, BLACK.filled())))?;
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    eprintln!("plot written to {}", path.display());
    Ok(())
}
