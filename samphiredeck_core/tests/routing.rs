//! Routing: prefix affinity with bounded load, leaving upstreams, prices, reclaim plans, adaptive
//! limits and cost accounting.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    account::{AccountTable, AttemptUsage},
    concurrency_limit::ConcurrencyLimitTable,
    declaration::{OptimizationGoal, PriorityClass},
    hint::PlacementHintTable,
    ids::UpstreamId,
    prefix::{BlockHash, PrefixTable, count_tokens, hash_blocks},
    reclaim::{AffectedStream, ReclaimAction, ReclaimBudget, plan_reclaim},
    route::{RouteChoice, RouteInputs, RoutePolicy, RouteRequest, RouteState, choose},
    upstream::{LoadReport, PurchaseOption, UpstreamKind, UpstreamListing, UpstreamTable},
};

/// Upstreams with the tables that routing reads.
struct Fixture {
    upstreams: UpstreamTable,
    prefixes: PrefixTable,
    limits: ConcurrencyLimitTable,
    hints: PlacementHintTable,
    state: RouteState,
    now: Instant,
}

fn id(number: usize) -> UpstreamId {
    format!("engine-{number}").parse().expect("valid name")
}

fn listing(number: usize) -> UpstreamListing {
    UpstreamListing {
        id: id(number),
        kind: UpstreamKind::Engine,
        address: format!("127.0.0.1:{}", 9_000 + number),
        domain: format!("domain-{}", number % 4).parse().expect("valid name"),
        class: "a-large".parse().expect("valid name"),
        purchase_option: PurchaseOption::Reclaimable,
        price: 1_000_000,
        leaving: false,
    }
}

fn load(running: u32) -> LoadReport {
    LoadReport {
        running,
        slots: 16,
        prefill_rate: 8_000,
        decode_rate: 50,
        models: vec!["tala-8b".parse().expect("valid name")],
        ..LoadReport::default()
    }
}

impl Fixture {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut upstreams = UpstreamTable::default();
        upstreams.apply_listing((0..count).map(listing).collect(), now);
        for number in 0..count {
            upstreams.apply_report(&id(number), load(0), now);
        }
        Self {
            upstreams,
            prefixes: PrefixTable::default(),
            limits: ConcurrencyLimitTable::default(),
            hints: PlacementHintTable::default(),
            state: RouteState::new(RoutePolicy::Scored),
            now,
        }
    }

    fn choose(&mut self, prompt: &str, class: PriorityClass, noise: f64) -> Option<RouteChoice> {
        let model = "tala-8b".parse().expect("valid name");
        let blocks = hash_blocks("tala-8b", prompt);
        let request = RouteRequest {
            model: &model,
            blocks: &blocks,
            prompt_tokens: count_tokens(prompt),
            output_tokens: 100,
            class,
            optimization_goal: OptimizationGoal::Cost,
            waited: Duration::ZERO,
            exclude: &[],
        };
        let inputs = RouteInputs {
            upstreams: &self.upstreams,
            prefixes: &self.prefixes,
            hints: &self.hints,
            limits: &self.limits,
        };
        let choice = choose(&mut self.state, inputs, &request, noise, self.now)?;
        self.upstreams.record_request_start(&choice.upstream, class);
        self.prefixes.insert(&blocks, &choice.upstream, self.now);
        Some(choice)
    }
}

fn prompt(name: &str) -> String {
    format!("{name} ").repeat(400)
}

#[test]
fn a_known_prompt_is_routed_to_the_upstream_with_its_prefix() {
    let mut fixture = Fixture::new(12);
    let first = fixture
        .choose(&prompt("vehicle history"), PriorityClass::Prompt, 0.1)
        .expect("an upstream has room");
    for noise in [0.0, 0.3, 0.6, 0.99] {
        let next = fixture.choose(&prompt("vehicle history"), PriorityClass::Prompt, noise);
        assert_eq!(next.expect("an upstream has room").upstream, first.upstream);
    }
}

#[test]
fn two_nodes_route_an_unknown_prompt_to_the_same_upstream() {
    for name in ["a", "b", "c", "d", "e"] {
        let one = Fixture::new(12)
            .choose(&prompt(name), PriorityClass::Prompt, 0.2)
            .expect("an upstream has room");
        let two = Fixture::new(12)
            .choose(&prompt(name), PriorityClass::Prompt, 0.9)
            .expect("an upstream has room");
        assert_eq!(one.upstream, two.upstream, "{name}");
    }
}

#[test]
fn affinity_never_overloads_one_upstream() {
    let mut fixture = Fixture::new(12);
    let mut placed = vec![0_u32; 12];
    for number in 0_u32..150 {
        let noise = f64::from(number) / 150.0;
        let Some(choice) = fixture.choose(&prompt("one hot prefix"), PriorityClass::Prompt, noise)
        else {
            break;
        };
        let at = (0..12).find(|at| id(*at) == choice.upstream).expect("known");
        placed[at] += 1;
    }
    assert!(placed.iter().all(|count| *count <= 16), "{placed:?}");
    assert!(placed.iter().sum::<u32>() > 130, "{placed:?}");
}

#[test]
fn an_upstream_that_reports_load_of_other_nodes_is_avoided() {
    let mut fixture = Fixture::new(4);
    for number in 0..3 {
        fixture.upstreams.apply_report(&id(number), load(15), fixture.now);
    }
    for noise in [0.1, 0.5, 0.9] {
        let choice =
            fixture.choose("short", PriorityClass::Urgent, noise).expect("an upstream has room");
        assert_eq!(choice.upstream, id(3));
    }
}

#[test]
fn a_leaving_or_silent_or_drained_upstream_gets_no_requests() {
    let mut fixture = Fixture::new(3);
    assert!(fixture.upstreams.mark_leaving(&id(0), fixture.now));
    // A later listing that shows the upstream as live does not clear the mark.
    fixture.upstreams.apply_listing(vec![listing(0)], fixture.now);
    fixture.upstreams.set_drained(&[id(1)]);
    for noise in [0.0, 0.4, 0.8] {
        let choice =
            fixture.choose("text", PriorityClass::Urgent, noise).expect("an upstream has room");
        assert_eq!(choice.upstream, id(2));
    }
    fixture.now += Duration::from_secs(4);
    assert!(fixture.choose("text", PriorityClass::Urgent, 0.1).is_none(), "no recent load report");
}

#[test]
fn patient_requests_go_to_the_cheaper_upstream_and_urgent_ones_to_the_idle_one() {
    let mut fixture = Fixture::new(2);
    let cheap = UpstreamListing { price: 300_000, ..listing(0) };
    fixture.upstreams.apply_listing(vec![cheap, listing(1)], fixture.now);
    fixture.upstreams.apply_report(&id(0), load(12), fixture.now);
    let patient =
        fixture.choose("text", PriorityClass::Patient, 0.5).expect("an upstream has room");
    assert_eq!(patient.upstream, id(0));
    // The cheap upstream also serves urgent requests while it has room, but not when it is full.
    fixture.upstreams.apply_report(&id(0), load(18), fixture.now);
    let urgent = fixture.choose("text", PriorityClass::Urgent, 0.5).expect("an upstream has room");
    assert_eq!(urgent.upstream, id(1));
}

#[test]
fn a_block_hash_covers_all_blocks_before_it() {
    let one = hash_blocks("m", &prompt("same start"));
    let mut other = prompt("same start");
    other.replace_range(0..1, "x");
    let other = hash_blocks("m", &other);
    assert!(one.iter().zip(&other).all(|(a, b)| a != b));
    assert_ne!(one, hash_blocks("n", &prompt("same start")));
    let mut table = PrefixTable::default();
    table.insert(&one[..3], &id(0), Instant::now());
    assert_eq!(table.cached_depth(&one, &id(0)), 3);
    table.remove(&one[2..3], &id(0));
    assert_eq!(table.cached_depth(&one, &id(0)), 2);
    table.remove_upstream(&id(0));
    assert_eq!(table.cached_depth(&one, &id(0)), 0);
    assert_eq!(table.cached_depth(&[BlockHash(1)], &id(0)), 0);
}

#[test]
fn the_longest_contexts_are_exported_first_while_the_notice_allows() {
    let stream = |key: u32, class, held: u64, left: u64| AffectedStream {
        key,
        class,
        context_tokens: held,
        remaining_tokens: left,
        token_rate: 40.0,
    };
    let budget = ReclaimBudget {
        notice: Duration::from_secs(2),
        transfer_rate: 10_000.0,
        prefill_rate: 8_000.0,
    };
    let streams = [
        stream(1, PriorityClass::Patient, 9_000, 5_000),
        stream(2, PriorityClass::Urgent, 1_000, 5_000),
        stream(3, PriorityClass::Patient, 4_000, 5_000),
        stream(4, PriorityClass::Prompt, 5_000, 20),
        stream(5, PriorityClass::Prompt, 50, 5_000),
    ];
    let plan = plan_reclaim(&streams, budget);
    let action = |key: u32| plan.iter().find(|(known, _)| *known == key).expect("planned").1;
    assert_eq!(action(2), ReclaimAction::Export, "urgent first");
    assert_eq!(action(1), ReclaimAction::Export, "then the most tokens");
    assert_eq!(action(3), ReclaimAction::Recompute, "the notice is used up");
    assert_eq!(action(4), ReclaimAction::Finish, "it ends within the notice");
    assert_eq!(action(5), ReclaimAction::Recompute, "too few tokens to export");
}

#[test]
fn latency_adapts_the_limit() {
    let mut fixture = Fixture::new(1);
    let target = Duration::from_millis(370);
    let row = fixture.upstreams.find(&id(0)).expect("known").clone();
    let before = fixture.limits.limit_of(&row);
    for second in 0..10 {
        let at = fixture.now + Duration::from_secs(second);
        fixture.limits.observe_first_token(&row, Duration::from_secs(2), target, at);
    }
    let after = fixture.limits.limit_of(&row);
    assert!(after < before * 0.5, "{before} to {after}");
    let mut busy = row.clone();
    busy.in_flight = 16;
    for second in 10..200 {
        let at = fixture.now + Duration::from_secs(second);
        fixture.limits.observe_first_token(&busy, Duration::from_millis(100), target, at);
    }
    assert!(fixture.limits.limit_of(&busy) > after * 1.5);
}

#[test]
fn cost_follows_price_time_and_share() {
    let usage =
        AttemptUsage { busy_ms: 3_600_000, price: 2_000_000, slots: 4, ..AttemptUsage::default() };
    assert_eq!(usage.cost(), 500_000_000);
    let (workspace, model) = ("a".parse().expect("valid name"), "m".parse().expect("valid name"));
    let mut accounts = AccountTable::default();
    accounts.add(
        &workspace,
        &model,
        AttemptUsage { prompt: 10, generated: 5, recomputed: 2, ..usage },
    );
    accounts.count_response(&workspace, &model);
    let mut sum = AccountTable::default();
    sum.merge(accounts.rows());
    sum.merge(accounts.rows());
    let row = &sum.rows()[0];
    assert_eq!((row.answers, row.prompt, row.generated, row.recomputed), (2, 20, 10, 4));
    assert_eq!(row.cost, 1_000_000_000);
}
