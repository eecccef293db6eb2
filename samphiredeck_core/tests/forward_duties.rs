//! Tests of the cluster clock, usage counts, capacity orders, routes, and API keys.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        capacity::{CapacityOrder, CapacityPlanner, DomainCapacity},
        catalog::{CallerLimits, ForwardCatalog, RetryPolicy, RouteRow, ScalingRule, WorkspaceRow},
        clock::{ClockOffset, ClusterClock},
        demand::DemandRate,
        members::{MemberTable, NodeHeartbeat},
        pool_speed::PoolSpeed,
        usage::{UsageLedger, WindowIndex},
    },
    ids::{ConfigVersion, Incarnation, KeyHash, NodeName, WorkspaceName},
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

#[test]
fn cluster_clock_is_unaffected_by_clocks_that_jump() {
    let mut clock = ClusterClock::default();
    assert_eq!(clock.unix_ms(at(5)), None);
    clock.add_sample(at(1_000), at(1_010), 500_000);
    // A slower exchange has a larger error and does not replace the sample.
    clock.add_sample(at(1_100), at(1_900), 500_700);
    assert_eq!(clock.store_ms(at(1_005)), Some(500_000));
    assert_eq!(clock.store_ms(at(905)), Some(499_900));
    let true_offset = 1_700_000_000_000;
    let offsets = [0, 3, -2, 2_400_000, 2_400_001].map(|off| ClockOffset(true_offset + off));
    clock.update_offset(offsets.to_vec());
    let off = clock.unix_ms(at(1_005)).unwrap() - (true_offset + 500_000);
    assert!(off.abs() <= 3, "{off}");
}

fn workspace(name: &str) -> WorkspaceName {
    name.parse().unwrap()
}

fn heartbeat(ledger: &UsageLedger, counted_to_ms: i64) -> NodeHeartbeat {
    NodeHeartbeat {
        domain: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        beat_ms: counted_to_ms,
        offset_ms: None,
        counted_to_ms: Some(counted_to_ms),
        windows: ledger.windows().to_vec(),
        peer: "127.0.0.1:1".parse().unwrap(),
        since_ms: 0,
        demand: Vec::new(),
    }
}

#[test]
fn all_nodes_treat_a_joining_node_as_quota_owner_at_the_same_time() {
    // Guards against two nodes owning the same quota at the same time. Some nodes asked a newly
    // joined owner 1.5 s before the others switched, and 958,793 units ran where 958,668 were
    // allowed.
    let row = |name: &str, since_ms: i64| {
        let heartbeat = NodeHeartbeat { since_ms, ..heartbeat(&UsageLedger::default(), 20_000) };
        (name.parse::<NodeName>().unwrap(), heartbeat)
    };
    let mut early = MemberTable::default();
    let mut late = MemberTable::default();
    early.observe(vec![row("a", 0), row("b", 0), row("new", 20_000)], 20_100);
    late.observe(vec![row("a", 0), row("b", 0)], 20_100);
    let owners =
        |table: &MemberTable, store_ms: i64| table.quota_owner_candidates(Some(store_ms)).len();
    assert_eq!((owners(&early, 21_000), owners(&late, 21_000)), (2, 2));
    late.observe(vec![row("a", 0), row("b", 0), row("new", 20_000)], 21_600);
    assert_eq!((owners(&early, 27_999), owners(&late, 27_999)), (2, 2));
    assert_eq!((owners(&early, 28_000), owners(&late, 28_000)), (3, 3));
    // After a start of the whole cluster, no older node is available.
    let mut fresh = MemberTable::default();
    fresh.observe(vec![row("a", 20_000), row("b", 20_050)], 20_100);
    assert_eq!(fresh.quota_owner_candidates(Some(20_100)).len(), 2);
}

#[test]
fn usage_of_a_window_includes_nodes_that_are_gone() {
    let length = Duration::from_secs(5);
    let window = WindowIndex::of(12_345_678, length);
    assert_eq!(window, WindowIndex(2_469));
    assert_eq!(window.end_ms(length), 12_350_000);
    let mut ledger = UsageLedger::default();
    ledger.count(window, &workspace("x"));
    ledger.count(window, &workspace("x"));
    let mut restarted = UsageLedger::default();
    restarted.restore(ledger.windows());
    restarted.count(window, &workspace("y"));
    let mut members = MemberTable::default();
    let node = |name: &str| -> NodeName { name.parse().unwrap() };
    let beat_ms = 12_351_000;
    let first = heartbeat(&ledger, beat_ms);
    let second =
        NodeHeartbeat { counted_to_ms: Some(12_349_000), ..heartbeat(&restarted, beat_ms) };
    members.observe(vec![(node("a"), first.clone()), (node("b"), second.clone())], 12_351_200);
    let sum = members.sum_window(window);
    let counts: Vec<u64> = sum.counts.iter().map(|row| row.count).collect();
    assert_eq!(counts, [4, 1]);
    assert!(!members.is_usage_complete(12_350_000), "one node has not published all counts");
    // The heartbeat of a node that is gone grows old. Its counts remain.
    let alive = NodeHeartbeat { beat_ms: 12_360_000, ..first };
    members.observe(vec![(node("a"), alive.clone()), (node("b"), second.clone())], 12_360_000);
    assert_eq!(members.count(), 1);
    assert!(members.is_usage_complete(12_350_000));
    assert_eq!(members.sum_window(window).counts[0].count, 4);
    // A reader that took a node over publishes it, too, with newer counts.
    let mut recounted = restarted.clone();
    recounted.count(window, &workspace("x"));
    let moved = NodeHeartbeat { beat_ms: 12_360_500, ..heartbeat(&recounted, 12_360_500) };
    members.observe(vec![(node("b"), moved), (node("a"), alive), (node("b"), second)], 12_361_000);
    assert_eq!(members.count(), 2);
    assert_eq!(members.sum_window(window).counts[0].count, 5);
}

fn rule() -> ScalingRule {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    ScalingRule {
        min: 1,
        max: 6,
        boot_time: Duration::from_secs(4),
        reclaimable_price: 0.18,
        prices: prices.map(|(name, price)| (name.parse().unwrap(), price)).to_vec(),
    }
}

fn capacities(rows: [(u32, u32); 4]) -> Vec<DomainCapacity> {
    let names = ["a", "b", "c", "d"];
    let capacity = |(name, (reclaimable, on_demand)): (&str, (u32, u32))| DomainCapacity {
        domain: name.parse().unwrap(),
        reclaimable,
        on_demand,
    };
    names.into_iter().zip(rows).map(capacity).collect()
}

fn count(orders: &[CapacityOrder], reclaimable: bool) -> u32 {
    orders.iter().filter(|order| order.reclaimable == reclaimable).map(|order| order.count).sum()
}

#[test]
fn reclaimable_upstreams_absorb_the_loss_of_two_domains() {
    let mut planner = CapacityPlanner::default();
    let orders = planner.next_orders(&rule(), &capacities([(0, 3); 4]), 6.0, at(0));
    // 3 in each of the two remaining domains, and 1 spare.
    assert!(orders.iter().filter(|order| order.reclaimable).all(|order| order.count == 4));
    assert_eq!(count(&orders, false), 6, "until they serve, on-demand upstreams take the load");
    for order in &orders {
        planner.record_accepted(order, at(0));
    }
    let orders =
        planner.next_orders(&rule(), &capacities([(4, 2), (4, 2), (4, 1), (4, 1)]), 6.0, at(4_500));
    assert!(orders.iter().all(|order| !order.reclaimable && order.count == 0), "{orders:?}");
}

#[test]
fn on_demand_upstreams_replace_reclaimed_ones_that_are_unavailable() {
    let mut planner = CapacityPlanner::default();
    let high = 9.1;
    for order in planner.next_orders(&rule(), &capacities([(6, 0); 4]), high, at(30_000)) {
        planner.record_accepted(&order, at(30_000));
    }
    // Three domains were reclaimed in a row, and every reclaimable order is refused.
    let capacity = capacities([(0, 0), (0, 0), (0, 0), (6, 0)]);
    let orders = planner.next_orders(&rule(), &capacity, high, at(36_000));
    for order in orders.iter().filter(|order| order.reclaimable) {
        planner.record_refused(order, at(36_000));
    }
    assert!(
        count(&orders, false) >= 6,
        "the limit counts only upstreams that are serving: {orders:?}"
    );
    assert!(orders.iter().all(|order| order.count <= 6));
    let orders = planner.next_orders(&rule(), &capacity, high, at(36_100));
    assert!(
        orders.iter().all(|order| !order.reclaimable),
        "a refused order is not repeated at once: {orders:?}"
    );
    let orders = planner.next_orders(&rule(), &capacity, high, at(36_600));
    assert!(orders.iter().any(|order| order.reclaimable), "a refused order is retried");
}

#[test]
fn further_losses_are_covered_while_replacements_are_refused() {
    // Load pattern of the large fleet's calm day: two of six domains are reclaimed, replacements
    // are refused, and two more domains go eight seconds later, 1.5 s apart, while on-demand
    // upstreams take 4 s to start.
    let mut planner = CapacityPlanner::default();
    let rule = ScalingRule { max: 36, ..rule() };
    let (need, all) = (18.0, capacities([(10, 0); 4]));
    // The assumption about the need at startup has expired by the second round.
    for millis in [0, 30_000] {
        for order in planner.next_orders(&rule, &all, need, at(millis)) {
            planner.record_accepted(&order, at(millis));
        }
    }
    let one_lost = capacities([(0, 0), (10, 0), (10, 0), (10, 0)]);
    assert!(planner.next_orders(&rule, &all, need, at(30_600)).is_empty());
    let mut on_demand = 0;
    for step in 0..5 {
        let now = at(31_000 + step * 600);
        for order in planner.next_orders(&rule, &one_lost, need, now) {
            if order.reclaimable {
                planner.record_refused(&order, now);
            } else {
                planner.record_accepted(&order, now);
                on_demand += order.count;
            }
        }
    }
    // One more loss and half of another leave 30 - 10 - 5 reclaimable ones.
    assert_eq!(on_demand, 3);
}

#[test]
fn orders_are_repeated_only_for_lost_upstreams() {
    let mut planner = CapacityPlanner::default();
    let orders = planner.next_orders(&rule(), &capacities([(0, 0); 4]), 2.7, at(0));
    for order in &orders {
        planner.record_accepted(order, at(0));
    }
    let starting = planner.next_orders(&rule(), &capacities([(0, 0); 4]), 2.7, at(3_000));
    assert!(starting.is_empty(), "the ordered upstreams are still starting: {starting:?}");
    let wanted = orders[0].count;
    let all = capacities([(wanted, 0); 4]);
    for order in planner.next_orders(&rule(), &all, 2.7, at(5_000)) {
        planner.record_accepted(&order, at(5_000));
    }
    let mut lost = all.clone();
    lost[2].reclaimable = 0;
    let again = planner.next_orders(&rule(), &lost, 2.7, at(7_000));
    assert!(again.iter().any(|order| order.reclaimable && order.domain.as_str() == "c"));
    assert!(again.iter().filter(|order| order.reclaimable).count() == 1, "{again:?}");
}

#[test]
fn engine_count_is_limited_by_slots_if_they_are_few() {
    // One second of the users' larger deployment: 158 long, 164 medium, and 302 short requests.
    let requests = [(158.0, 6_610, 378), (164.0, 628, 288), (302.0, 1_800, 27)];
    let mut speed = PoolSpeed::default();
    // Engines that compute 65 prompt tokens per millisecond, and one output token in 4 ms.
    for _ in 0..200 {
        speed.record_first_token(0, Duration::from_millis(20));
        speed.record_first_token(6_500, Duration::from_millis(120));
        speed.record_output(100, Duration::from_millis(400));
    }
    let mut demand = DemandRate::default();
    for (rate, prompt_tokens, output) in requests {
        let one = DemandRate::of(prompt_tokens, output, &speed);
        demand.prefill_ms += one.prefill_ms * rate;
        demand.output_tokens += one.output_tokens * rate;
    }
    // Each output token occupies its slot for a step of 4 ms, and engines do not decode during
    // prefill.
    let decode_seconds = demand.output_tokens * 0.004;
    for slots in [8, 12, 16, 64] {
        let engines = demand.engines_needed(slots, &speed);
        let occupied = decode_seconds / (1.0 - demand.prefill_ms / 1_000.0 / engines);
        assert!(
            occupied <= engines * f64::from(slots) * 0.75,
            "{engines} engines of {slots} slots"
        );
    }
    assert!(
        demand.engines_needed(64, &speed) < demand.engines_needed(12, &speed) * 0.75,
        "ample slots do not add engines"
    );
}

fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> RouteRow {
    RouteRow {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::NonIdempotent,
        streams: false,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_event_gap: Duration::ZERO,
        priority: 0,
        split: split.iter().map(|(pool, weight)| (pool.parse().unwrap(), *weight)).collect(),
        max_attempts: 1,
        public: false,
    }
}

fn catalog() -> ForwardCatalog {
    let routes = vec![
        route("h", "/a/", &[("p", 90), ("q", 10)]),
        route("h", "/a/b/", &[("p", 1)]),
        route("other", "/", &[("p", 1)]),
    ];
    let row = |name: &str| WorkspaceRow {
        name: workspace(name),
        priority: Some(3),
        rate: 0.0,
        burst: 0.0,
        by_tokens: false,
        default_tokens: 1,
    };
    let workspaces = vec![(row("y"), vec![KeyHash::of("k2")]), (row("x"), vec![KeyHash::of("k1")])];
    let limits = CallerLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    ForwardCatalog::new(ConfigVersion(7), routes, Vec::new(), workspaces, limits)
}

#[test]
fn routes_are_found_by_host_and_longest_prefix() {
    let catalog = catalog();
    let find = |host: &str, path: &str| catalog.find_route(host, path).map(|row| row.name.clone());
    assert_eq!(find("h", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("h", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("h", "/a"), None, "a prefix ends with its slash");
    assert_eq!(find("other", "/anything").as_deref(), Some("/"));
    assert_eq!(find("nobody", "/a/"), None);
}

#[test]
fn split_routes_follow_their_weights() {
    let catalog = catalog();
    let route = catalog.find_route("h", "/a/").unwrap();
    let picks = (0..1_000).map(|step| route.pick_pool(f64::from(step) / 1_000.0));
    let second = picks.filter(|pool| pool.as_str() == "q").count();
    assert_eq!(second, 100);
    assert_eq!(route.pick_pool(1.0).as_str(), "q");
}

#[test]
fn keys_identify_their_workspace() {
    let catalog = catalog();
    let find =
        |key: &str| catalog.find_workspace_by_key(KeyHash::of(key)).map(|row| row.name.to_string());
    assert_eq!(find("k1").as_deref(), Some("x"));
    assert_eq!(find("k2").as_deref(), Some("y"));
    assert_eq!(find("k3"), None);
    assert_eq!(catalog.find_workspace(&workspace("y")).unwrap().priority, Some(3));
}

/// Guards against windows whose numbers drift from the platform's where their length is no whole number of milliseconds.
#[test]
fn windows_of_any_length_are_numbered_from_the_epoch() {
    const NOW_MS: i64 = 1_767_225_600_123;
    for (nanos, index) in [
        (5_000_000_000_u64, 353_445_120),
        (7_500_000_000, 235_630_080),
        (7_000_500_000, 252_442_768),
        (333_333_333, 5_301_676_805),
    ] {
        let length = Duration::from_nanos(nanos);
        let window = WindowIndex::of(NOW_MS, length);
        assert_eq!(window, WindowIndex(index), "{length:?}");
        assert!(window.end_ms(length) > NOW_MS - 1, "{length:?}");
        assert!(WindowIndex(index - 1).end_ms(length) <= NOW_MS, "{length:?}");
    }
}
