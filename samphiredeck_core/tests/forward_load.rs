//! Tests of the waits that nodes expect, of the speeds that they learn, and of the counts that they tell each other.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        even_load::{SlotLoad, fill_level, upstream_preference},
        load_view::{
            LoadExchange, LoadSums, PAGE_COUNTS, RequestCount, UpstreamKey, ViewPage, paginate,
        },
        part_exchange::{KEYS_MAX, PartExchange, PartSource},
        placement::PromptPart,
        pool_speed::PoolSpeed,
        prompt_cache::{PartKey, PromptCacheTable},
        upstream_list::ListedUpstream,
        upstream_speed::{PoolPace, SharedSpeed},
        upstreams::{PendingResponse, UpstreamRegistry},
        wait_estimate::UpstreamLoad,
    },
    ids::{NodeName, RowVersion, UpstreamId},
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn id(number: usize) -> UpstreamId {
    format!("u{number}").parse().unwrap()
}

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

fn entry(number: usize, started_ms: u64) -> ListedUpstream {
    ListedUpstream {
        id: id(number),
        started_ms: Some(started_ms),
        pool: "pool".parse().unwrap(),
        software: "v1".parse().unwrap(),
        address: format!("10.0.0.1:{}", 1_000 + number).parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 16,
        leaving: false,
        leaves_in: None,
        reclaimable: false,
        warm_up: Duration::ZERO,
    }
}

fn registry(count: usize) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    let list = (0..count).map(|number| entry(number, 1)).collect();
    registry.apply_list(list, RowVersion(1), at(0), at(0));
    registry.set_exchanged(true);
    registry
}

#[test]
fn arrivals_fill_the_least_loaded_upstreams_to_one_level() {
    let loads: Vec<SlotLoad> = [(16.0, 3.0), (16.0, 20.0), (6.0, 0.0), (16.0, 9.0)]
        .map(|(slots, requests)| SlotLoad { slots, requests })
        .into();
    for arrivals in [0.0, 1.0, 10.0, 40.0, 1_000.0] {
        let level = fill_level(loads.clone(), arrivals);
        let filled: f64 =
            loads.iter().map(|load| (level * load.slots - load.requests).max(0.0)).sum();
        assert!((filled - arrivals).abs() < 1e-6, "{arrivals}: {filled} at {level}");
    }
    assert!(fill_level(Vec::new(), 5.0).abs() < f64::EPSILON);
}

/// Guards against preferences that lead most nodes to the same upstreams.
#[test]
fn each_upstream_comes_first_for_about_the_same_number_of_nodes() {
    let mut first = [0_u32; 20];
    for number in 0..2_000 {
        let node = node(&format!("node{number}"));
        let place = |upstream: &usize| upstream_preference(&node, &id(*upstream));
        first[(0..20).min_by(|a, b| place(a).total_cmp(&place(b))).unwrap()] += 1;
    }
    // The mean is 100 and the standard deviation 10.
    assert!(first.iter().all(|count| (60..=140).contains(count)), "{first:?}");
}

fn load(slots: f64, requests: f64) -> UpstreamLoad {
    UpstreamLoad {
        slots,
        requests,
        own_pending: 0.0,
        other_pending: Some(0.0),
        prompt_tokens: 1_000.0,
        time_factor: 1.0,
        lateness_ms: 0.0,
    }
}

#[test]
fn no_slot_is_waited_for_below_the_slots_and_the_wait_grows_with_the_queue() {
    let speed = PoolSpeed::default();
    for requests in [0.0, 8.0, 15.0] {
        assert_eq!(load(16.0, requests).engine_wait(&speed).slot, Duration::ZERO);
        assert_eq!(load(16.0, requests).service_wait(&speed).slot, Duration::ZERO);
    }
    let slot = |requests| load(16.0, requests).engine_wait(&speed).slot;
    assert!(slot(16.0) > Duration::ZERO);
    assert!((16..60).map(f64::from).all(|requests| slot(requests + 1.0) > slot(requests)));
    let at_slow = UpstreamLoad { time_factor: 2.4, ..load(16.0, 30.0) }.engine_wait(&speed);
    assert!((at_slow.slot.as_secs_f64() / slot(30.0).as_secs_f64() - 2.4).abs() < 1e-6);
}

/// The split of the wait for a service must not change where requests went before it.
#[test]
fn the_wait_at_a_service_is_that_of_a_shared_processor() {
    let speed = PoolSpeed::default();
    for requests in [0.0, 3.0, 5.0, 6.0, 40.0] {
        let wait = load(6.0, requests).service_wait(&speed).total().as_secs_f64() * 1_000.0;
        let expected = (requests + 1.0) / 6.0 * speed.service_ms();
        assert!((wait - expected).abs() < 1e-3, "{requests}: {wait}, {expected}");
    }
}

fn factor(registry: &UpstreamRegistry, number: usize, millis: u64) -> f64 {
    let pace = PoolPace::of(registry, &"pool".parse().unwrap(), at(millis));
    pace.time_factor(registry.find(&id(number)).unwrap(), at(millis))
}

/// Records `count` responses of each upstream but the first, with 3 ms between events.
fn measured(count: usize) -> UpstreamRegistry {
    let mut registry = registry(80);
    for number in 1..80 {
        for _ in 0..count {
            registry.record_event_interval(&id(number), Some(1), Duration::from_millis(3), at(10));
        }
    }
    registry
}

#[test]
fn a_speed_three_times_and_a_third_of_the_pools_is_found_in_few_samples() {
    for (interval_us, real) in [(9_000, 3.0_f64), (1_000, 1.0 / 3.0)] {
        let mut registry = measured(20);
        assert!((factor(&registry, 0, 10) - 1.0).abs() < 1e-9, "unknown: that of the pool");
        let interval = Duration::from_micros(interval_us);
        for sample in 1..=24 {
            registry.record_event_interval(&id(0), Some(1), interval, at(20));
            let found = factor(&registry, 0, 20).ln() / real.ln();
            assert!(found < 1.0 && (sample < 6 || found > 0.5), "{sample}: {found}");
        }
        assert!((factor(&registry, 0, 20) / real).ln().abs() < 0.15);
    }
}

#[test]
fn a_restart_starts_anew_and_late_responses_of_the_old_run_do_not_count() {
    let mut registry = measured(20);
    let slow = Duration::from_millis(9);
    (0..20).for_each(|_| registry.record_event_interval(&id(0), Some(1), slow, at(20)));
    let list = (0..80).map(|number| entry(number, if number == 0 { 2 } else { 1 })).collect();
    registry.apply_list(list, RowVersion(2), at(30), at(30));
    assert!((factor(&registry, 0, 30) - 1.0).abs() < 1e-9);
    registry.record_event_interval(&id(0), Some(1), slow, at(30));
    let told =
        SharedSpeed { upstream: id(0), started_ms: Some(1), interval_us: 9_000, samples: 12 };
    assert!(!registry.apply_speed(&told, at(30)));
    assert!((factor(&registry, 0, 30) - 1.0).abs() < 1e-9);
}

/// Guards against one absurd value, or a node that lies once, which drives all requests to an upstream or from it.
#[test]
fn absurd_missing_and_lying_speeds_move_nothing_far() {
    for interval in [Duration::ZERO, Duration::from_secs(1_000_000), Duration::MAX] {
        let mut registry = measured(20);
        registry.record_event_interval(&id(0), Some(1), interval, at(20));
        assert!((factor(&registry, 0, 20) - 1.0).abs() < 1e-9, "{interval:?} is ignored");
    }
    for interval in [Duration::from_micros(101), Duration::from_secs(59)] {
        for known in [0, 1, 10] {
            let mut registry = measured(20);
            let usual = Duration::from_millis(3);
            (0..known).for_each(|_| registry.record_event_interval(&id(0), Some(1), usual, at(10)));
            registry.record_event_interval(&id(0), Some(1), interval, at(20));
            let found = factor(&registry, 0, 20);
            assert!((0.6..1.6).contains(&found), "{interval:?} after {known}: {found}");
            let others = factor(&registry, 1, 20);
            assert!((0.8..1.25).contains(&others), "{interval:?} after {known}: {others}");
        }
    }
    let mut registry = measured(20);
    for (interval_us, samples) in [(0, 5), (u32::MAX, 5), (3_000, 0)] {
        let told = SharedSpeed { upstream: id(1), started_ms: Some(1), interval_us, samples };
        assert!(!registry.apply_speed(&told, at(20)));
    }
    let told = SharedSpeed {
        upstream: id(1),
        started_ms: Some(1),
        interval_us: 50_000_000,
        samples: u16::MAX,
    };
    assert!(registry.apply_speed(&told, at(20)));
    assert!(factor(&registry, 1, 20) < 2.0, "{}", factor(&registry, 1, 20));
}

fn count(number: usize, count: u16) -> RequestCount {
    RequestCount { upstream: UpstreamKey::of(&id(number)), count, pending: count }
}

fn sums(nodes: u16, mut counts: Vec<RequestCount>) -> LoadSums {
    counts.sort_by_key(|row| row.upstream);
    LoadSums { nodes, counts, uses: Vec::new() }
}

#[test]
fn a_collector_that_is_silent_is_replaced_and_asked_again_later() {
    let candidates = [node("a"), node("b"), node("c")];
    let mut exchange = LoadExchange::default();
    let mut choose = |millis| exchange.choose_collector(&candidates, at(millis)).unwrap();
    assert_eq!(choose(1_000), candidates[0]);
    assert_eq!(choose(1_499), candidates[0]);
    assert_eq!(choose(1_500), candidates[1]);
    assert_eq!(choose(2_000), candidates[2]);
    exchange.record_view(at(2_100));
    let mut choose = |millis| exchange.choose_collector(&candidates, at(millis)).unwrap();
    assert_eq!(choose(2_590), candidates[2]);
    assert_eq!(choose(5_500), candidates[0], "it may be back");
    assert!(LoadExchange::default().choose_collector(&[], at(0)).is_none());
}

#[test]
fn counts_of_silent_nodes_and_collectors_are_dropped() {
    let mut exchange = LoadExchange::default();
    exchange.record_node(&node("b"), sums(1, vec![count(1, 4)]), at(0));
    exchange.record_node(&node("c"), sums(1, vec![count(1, 2)]), at(400));
    exchange.record_collector(&node("z"), page(9, vec![count(2, 7)]), at(0));
    let own = sums(1, vec![count(1, 1)]);
    let domain = |millis| exchange.domain_sum(&own, at(millis));
    assert_eq!(domain(500), sums(3, vec![count(1, 7)]));
    assert_eq!(exchange.total(&domain(500), at(500)).nodes, 12);
    assert_eq!(domain(700), sums(2, vec![count(1, 3)]));
    assert_eq!(exchange.total(&domain(700), at(700)).nodes, 2);
    assert!(!exchange.hears_collector(&node("z"), at(700)));
    assert_eq!(exchange.followers(at(700)), [node("c")]);
}

fn page(nodes: u16, counts: Vec<RequestCount>) -> ViewPage {
    ViewPage { page: 0, pages: 1, sums: sums(nodes, counts) }
}

fn shared(registry: &UpstreamRegistry, number: usize, millis: u64) -> Option<u32> {
    registry.find(&id(number)).unwrap().shared_load(at(millis)).map(|load| load.requests)
}

#[test]
fn own_counts_are_subtracted_and_totals_of_few_nodes_ignored() {
    let mut registry = registry(10);
    let pending = PendingResponse { prefill_tokens: 0, due_at: at(100) };
    (0..3).for_each(|_| registry.record_request_start(&id(1), &pending));
    let own = registry.request_counts();
    registry.apply_load_view(&page(7, vec![count(1, 9)]), &own, 10, at(10));
    assert_eq!(shared(&registry, 1, 10), None, "seven of ten nodes");
    registry.apply_load_view(&page(8, vec![count(1, 9)]), &own, 10, at(10));
    assert_eq!(shared(&registry, 1, 10), Some(6));
    assert_eq!(shared(&registry, 2, 10), Some(0), "not counted by anyone");
    // A view from before the requests were told.
    registry.apply_load_view(&page(10, vec![count(1, 2)]), &own, 10, at(20));
    assert_eq!(shared(&registry, 1, 20), Some(0));
    assert_eq!(shared(&registry, 1, 700), None, "too old");
}

#[test]
fn a_lost_page_leaves_its_upstreams_as_they_are() {
    let total = sums(10, (0..200).map(|number| count(number, 5)).collect());
    let pages = paginate(&total);
    assert_eq!(pages.len(), 2);
    assert!(pages.iter().all(|page| page.sums.counts.len() <= PAGE_COUNTS + 40));
    let mut registry = registry(200);
    registry.apply_load_view(&pages[1], &[], 10, at(10));
    let known = (0..200).filter(|number| shared(&registry, *number, 10).is_some()).count();
    assert_eq!(known, pages[1].sums.counts.len());
    registry.apply_load_view(&pages[0], &[], 10, at(20));
    assert!((0..200).all(|number| shared(&registry, number, 20) == Some(5)));
}

/// Each page of another domain replaced the ones before it, so that totals lacked most upstreams of a large pool.
#[test]
fn sums_of_another_domain_that_take_several_pages_are_added_up() {
    let domain = sums(10, (0..200).map(|number| count(number, 5)).collect());
    let mut exchange = LoadExchange::default();
    let pages = paginate(&domain);
    for page in &pages {
        exchange.record_collector(&node("z"), page.clone(), at(0));
    }
    assert_eq!(exchange.total(&LoadSums::default(), at(10)), domain);
    // A page that is told again replaces itself.
    exchange.record_collector(&node("z"), pages[1].clone(), at(100));
    assert_eq!(exchange.total(&LoadSums::default(), at(110)), domain);
    // With fewer pages, those before are out of date.
    exchange.record_collector(&node("z"), page(10, vec![count(1, 5)]), at(200));
    assert_eq!(exchange.total(&LoadSums::default(), at(210)), sums(10, vec![count(1, 5)]));
}

fn keys(count: usize) -> Vec<PartKey> {
    let mut cache = PromptCacheTable::default();
    let part = |number| PromptPart { id: format!("part{number}"), tokens: 100 };
    let parts: Vec<PromptPart> = (0..count).map(part).collect();
    cache.record_sent(&id(0), None, &parts, at(0))
}

#[test]
fn a_part_reaches_other_domains_and_followers_once() {
    let keys = keys(3);
    let mut exchange = PartExchange::default();
    exchange.add(&keys[..1], PartSource::Follower);
    exchange.add(&keys[1..2], PartSource::Own);
    exchange.add(&keys[2..], PartSource::Collector);
    let (near, all) = exchange.take_collected();
    assert_eq!(near, keys[..2], "what other domains told does not return to them");
    assert_eq!(all.len(), 3);
    assert!(keys.iter().all(|key| all.contains(key)));
    assert_eq!(exchange.take_collected(), (Vec::new(), Vec::new()));
}

#[test]
fn waiting_parts_and_messages_are_bounded() {
    let keys = keys(5_000);
    let mut exchange = PartExchange::default();
    for source in [PartSource::Own, PartSource::Follower, PartSource::Collector] {
        exchange.add(&keys, source);
    }
    let mut told = 0;
    loop {
        let (near, all) = exchange.take_collected();
        assert!(near.len() <= KEYS_MAX && all.len() <= KEYS_MAX);
        if all.is_empty() {
            break;
        }
        told += all.len();
    }
    assert!(told < 5_000, "{told}");
}
