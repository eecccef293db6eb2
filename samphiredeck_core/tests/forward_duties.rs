//! The duty of one node, agreed time and counts, orders for upstreams, routes and keys.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        capacity::{CapacityOrder, CapacityPlanner, DomainCapacity},
        catalog::{CallerLimits, ForwardCatalog, RetryPolicy, RouteRow, ScalingRule, WorkspaceRow},
        clock::{ClockOffset, ClusterClock},
        demand::DemandRate,
        leader::{LeaderLease, LeaderRecord, LeaderStep},
        members::{MemberTable, NodeHeartbeat},
        usage::{UsageLedger, WindowIndex},
    },
    ids::{ConfigVersion, FenceNumber, Incarnation, KeyHash, NodeName, RowVersion, WorkspaceName},
};

const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn lease(name: &str) -> LeaderLease {
    lease_at(name, "10.0.0.1:7600")
}

fn lease_at(name: &str, address: &str) -> LeaderLease {
    let mut lease = LeaderLease::new(name.parse().unwrap(), address.parse().unwrap(), LEASE);
    lease.set_incarnation(Incarnation(1));
    lease
}

fn write(step: LeaderStep) -> (LeaderRecord, RowVersion) {
    match step {
        LeaderStep::Write(record, version) => (record, version),
        LeaderStep::Wait => panic!("nothing to write"),
    }
}

/// Lets `lease` take or renew the duty at `millis`; the answer comes 5 ms later.
fn hold(lease: &mut LeaderLease, version: u64, millis: u64) -> LeaderRecord {
    let (record, _) = write(lease.next_step(at(millis)));
    lease.note_written(record.clone(), RowVersion(version), at(millis));
    record
}

/// A node that holds the duty since 100 ms, and the row that says so, of version 10.
fn holder() -> (LeaderLease, LeaderRecord) {
    let mut first = lease("a");
    first.observe(None, RowVersion(0), at(0));
    let record = hold(&mut first, 10, 100);
    (first, record)
}

#[test]
fn duty_changes_hands_only_after_the_old_holder_has_stopped() {
    let mut first = lease("a");
    let mut second = lease("b");
    assert_eq!(second.next_step(at(0)), LeaderStep::Wait, "nothing was read yet");
    first.observe(None, RowVersion(0), at(0));
    let record = hold(&mut first, 10, 100);
    second.observe(Some(record), RowVersion(10), at(110));
    // The holder is frozen from here on. It must not act when the other one takes over.
    let last = (100..20_000).rev().find(|millis| first.fence(at(*millis)).is_some()).unwrap();
    let taken = (110..20_000).find(|millis| second.next_step(at(*millis)) != LeaderStep::Wait);
    let taken = taken.unwrap();
    assert!(last < 100 + 3_000 - 799, "an order under way ends within the lease: {last}");
    assert!(taken > last + 800, "last {last}, taken {taken}");
    let record = hold(&mut second, 20, taken);
    assert_eq!(record.fence, FenceNumber(2));
    // The old holder learns of it and gives no more orders under its number.
    first.observe(Some(record), RowVersion(20), at(taken + 10));
    assert_eq!(first.fence(at(taken + 11)), None);
}

#[test]
fn renewal_in_time_keeps_the_duty() {
    let (mut first, _) = holder();
    assert_eq!(first.next_step(at(800)), LeaderStep::Wait);
    let renewed = hold(&mut first, 11, 1_000);
    assert_eq!((renewed.fence, renewed.renewals), (FenceNumber(1), 1));
    assert!(first.fence(at(3_100)).is_some());
    // A read that was overtaken by the renewal takes nothing away.
    let old = LeaderRecord { renewals: 0, ..renewed };
    first.observe(Some(old), RowVersion(10), at(1_100));
    assert!(first.fence(at(3_100)).is_some());
}

#[test]
fn later_run_at_another_address_waits_like_any_other_node() {
    let (_, record) = holder();
    // The old run may live on there, cut off from others.
    let mut again = lease_at("a", "10.0.0.9:7600");
    again.set_incarnation(Incarnation(2));
    again.observe(Some(record), RowVersion(10), at(500));
    assert_eq!(again.next_step(at(4_900)), LeaderStep::Wait);
    assert_eq!(again.fence(at(4_900)), None);
    assert_ne!(again.next_step(at(5_100)), LeaderStep::Wait);
}

#[test]
fn later_run_at_the_same_address_waits_for_what_was_under_way() {
    let (_, record) = holder();
    let mut again = lease("a");
    again.set_incarnation(Incarnation(2));
    again.observe(Some(record), RowVersion(10), at(500));
    assert_eq!(again.next_step(at(1_200)), LeaderStep::Wait);
    let (taken, _) = write(again.next_step(at(1_400)));
    assert_eq!((taken.fence, taken.incarnation), (FenceNumber(2), Incarnation(2)));
}

#[test]
fn unknown_outcome_of_a_renewal_ends_no_lease_early_and_renews_nothing() {
    let (mut first, _) = holder();
    first.mark_uncertain();
    assert!(first.needs_read());
    assert_eq!(first.next_step(at(1_500)), LeaderStep::Wait);
    assert!(first.fence(at(2_000)).is_some());
    assert!(first.fence(at(2_400)).is_none());
}

#[test]
fn outage_of_the_store_does_not_start_the_wait_of_a_successor_over() {
    let (_, record) = holder();
    let mut second = lease("b");
    second.observe(Some(record.clone()), RowVersion(10), at(200));
    // Its write got no answer. The first read after the outage shows that it was not carried out.
    let (taken, _) = write(second.next_step(at(5_000)));
    second.mark_uncertain();
    assert_eq!(second.next_step(at(9_000)), LeaderStep::Wait);
    second.observe(Some(record), RowVersion(10), at(10_000));
    assert_eq!(second.next_step(at(10_000)), LeaderStep::Write(taken, RowVersion(10)));
    assert_eq!(second.fence(at(10_000)), None, "nothing is held before the answer");
}

#[test]
fn agreed_time_of_day_is_not_moved_by_clocks_that_jump() {
    let mut clock = ClusterClock::default();
    assert_eq!(clock.unix_ms(at(5)), None);
    clock.add_sample(at(1_000), at(1_010), 500_000);
    // A slower exchange is a worse sample and is not taken.
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

fn beat(ledger: &UsageLedger, counted_to_ms: i64) -> NodeHeartbeat {
    NodeHeartbeat {
        domain: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        offset_ms: None,
        counted_to_ms: Some(counted_to_ms),
        windows: ledger.windows().to_vec(),
        peer: "127.0.0.1:1".parse().unwrap(),
        since_ms: 0,
        demand: Vec::new(),
    }
}

#[test]
fn node_that_joins_becomes_a_home_for_all_at_the_same_moment() {
    // The day on which 958,793 units ran where 958,668 were allowed: for 1.5 s some nodes asked the
    // home that had joined and others the one before.
    let row = |name: &str, since_ms: i64| {
        let beat = NodeHeartbeat { since_ms, ..beat(&UsageLedger::default(), 0) };
        (name.parse::<NodeName>().unwrap(), RowVersion(1), beat)
    };
    let mut early = MemberTable::default();
    let mut late = MemberTable::default();
    early.observe(vec![row("a", 0), row("b", 0), row("new", 20_000)], at(20_100));
    late.observe(vec![row("a", 0), row("b", 0)], at(20_100));
    let homes = |table: &MemberTable, store_ms: i64| {
        table.quota_owner_candidates(Some(store_ms), at(21_000)).len()
    };
    assert_eq!((homes(&early, 21_000), homes(&late, 21_000)), (2, 2));
    late.observe(vec![row("a", 0), row("b", 0), row("new", 20_000)], at(21_600));
    assert_eq!((homes(&early, 27_999), homes(&late, 27_999)), (2, 2));
    assert_eq!((homes(&early, 28_000), homes(&late, 28_000)), (3, 3));
    // When all have just started there is no other choice.
    let mut fresh = MemberTable::default();
    fresh.observe(vec![row("a", 20_000), row("b", 20_050)], at(100));
    assert_eq!(fresh.quota_owner_candidates(Some(20_100), at(200)).len(), 2);
}

#[test]
fn usage_of_a_window_is_the_sum_over_nodes_also_those_that_are_gone() {
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
    members.observe(
        vec![
            (node("a"), RowVersion(1), beat(&ledger, 12_351_000)),
            (node("b"), RowVersion(2), beat(&restarted, 12_349_000)),
        ],
        at(100),
    );
    let sum = members.sum_window(window);
    let counts: Vec<u64> = sum.counts.iter().map(|row| row.count).collect();
    assert_eq!(counts, [4, 1]);
    assert!(!members.is_usage_complete(12_350_000, at(200)), "one node has not published it all");
    // The row of a node that is gone does not change; its counts stay.
    members.observe(vec![(node("a"), RowVersion(1), beat(&ledger, 12_351_000))], at(5_000));
    assert_eq!(members.count(at(9_000)), 1);
    assert!(members.is_usage_complete(12_350_000, at(9_000)));
    assert_eq!(members.sum_window(window).counts[0].count, 2);
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

fn stocks(rows: [(u32, u32); 4]) -> Vec<DomainCapacity> {
    let names = ["a", "b", "c", "d"];
    let stock = |(name, (reclaimable, on_demand)): (&str, (u32, u32))| DomainCapacity {
        domain: name.parse().unwrap(),
        reclaimable,
        on_demand,
    };
    names.into_iter().zip(rows).map(stock).collect()
}

fn count(orders: &[CapacityOrder], reclaimable: bool) -> u32 {
    orders.iter().filter(|order| order.reclaimable == reclaimable).map(|order| order.count).sum()
}

#[test]
fn reclaimable_upstreams_bear_the_loss_of_two_domains() {
    let mut plan = CapacityPlanner::default();
    let orders = plan.next_orders(&rule(), &stocks([(0, 3); 4]), 6.0, at(0));
    // 3 in each of the domains left, and 1 more.
    assert!(orders.iter().filter(|order| order.reclaimable).all(|order| order.count == 4));
    assert_eq!(count(&orders, false), 6, "until they serve, those on demand do the work");
    for order in &orders {
        plan.note_accepted(order, at(0));
    }
    let orders =
        plan.next_orders(&rule(), &stocks([(4, 2), (4, 2), (4, 1), (4, 1)]), 6.0, at(4_500));
    assert!(orders.iter().all(|order| !order.reclaimable && order.count == 0), "{orders:?}");
}

#[test]
fn ones_on_demand_take_the_place_of_reclaimed_ones_that_can_not_be_had() {
    let mut plan = CapacityPlanner::default();
    let high = 9.1;
    for order in plan.next_orders(&rule(), &stocks([(6, 0); 4]), high, at(30_000)) {
        plan.note_accepted(&order, at(30_000));
    }
    // Three domains were reclaimed in a row, and every reclaimable one is refused.
    let stock = stocks([(0, 0), (0, 0), (0, 0), (6, 0)]);
    let orders = plan.next_orders(&rule(), &stock, high, at(36_000));
    for order in orders.iter().filter(|order| order.reclaimable) {
        plan.note_refused(order, at(36_000));
    }
    assert!(count(&orders, false) >= 6, "room is counted from what serves: {orders:?}");
    assert!(orders.iter().all(|order| order.count <= 6));
    let orders = plan.next_orders(&rule(), &stock, high, at(36_100));
    assert!(orders.iter().all(|order| !order.reclaimable), "a refused order waits: {orders:?}");
    let orders = plan.next_orders(&rule(), &stock, high, at(36_600));
    assert!(orders.iter().any(|order| order.reclaimable), "and is repeated soon");
}

#[test]
fn orders_are_repeated_only_for_what_was_lost() {
    let mut plan = CapacityPlanner::default();
    let orders = plan.next_orders(&rule(), &stocks([(0, 0); 4]), 2.7, at(0));
    for order in &orders {
        plan.note_accepted(order, at(0));
    }
    let starting = plan.next_orders(&rule(), &stocks([(0, 0); 4]), 2.7, at(3_000));
    assert!(starting.is_empty(), "they still start: {starting:?}");
    let wanted = orders[0].count;
    let all = stocks([(wanted, 0); 4]);
    for order in plan.next_orders(&rule(), &all, 2.7, at(5_000)) {
        plan.note_accepted(&order, at(5_000));
    }
    let mut lost = all.clone();
    lost[2].reclaimable = 0;
    let again = plan.next_orders(&rule(), &lost, 2.7, at(7_000));
    assert!(again.iter().any(|order| order.reclaimable && order.domain.as_str() == "c"));
    assert!(again.iter().filter(|order| order.reclaimable).count() == 1, "{again:?}");
}

#[test]
fn engines_with_few_slots_are_needed_for_their_slots() {
    // A second of the grown deployment: 158 long, 164 middle and 302 short requests.
    let requests = [(158.0, 6_610, 378), (164.0, 628, 288), (302.0, 1_800, 27)];
    let mut load = DemandRate::default();
    for (rate, unread, output) in requests {
        let one = DemandRate::of(unread, output);
        load.prefill_ms += one.prefill_ms * rate;
        load.output_tokens += one.output_tokens * rate;
    }
    // Each token of an answer holds its slot for a step of 4 ms, and engines that read don't write.
    let written = load.output_tokens * 0.004;
    for slots in [8, 12, 16, 64] {
        let engines = load.engines_needed(slots);
        let taken = written / (1.0 - load.prefill_ms / 1_000.0 / engines);
        assert!(taken <= engines * f64::from(slots) * 0.75, "{engines} engines of {slots} slots");
    }
    assert!(
        load.engines_needed(64) < load.engines_needed(12) * 0.75,
        "slots that abound need no more engines"
    );
}

fn route(host: &str, prefix: &str, split: &[(&str, u32)]) -> RouteRow {
    RouteRow {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry: RetryPolicy::NonIdempotent,
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
fn keys_lead_to_their_workspace() {
    let catalog = catalog();
    let find =
        |key: &str| catalog.find_workspace_by_key(KeyHash::of(key)).map(|row| row.name.to_string());
    assert_eq!(find("k1").as_deref(), Some("x"));
    assert_eq!(find("k2").as_deref(), Some("y"));
    assert_eq!(find("k3"), None);
    assert_eq!(catalog.find_workspace(&workspace("y")).unwrap().priority, Some(3));
}
