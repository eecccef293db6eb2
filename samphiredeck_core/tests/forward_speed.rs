//! Tests of the measured speed of pools, of the estimated cache content, and of the decisions that
//! rest on them.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        demand::DemandRate,
        placement::PromptPart,
        pool_speed::{PoolSpeed, PoolSpeedTable},
        prompt_cache::{CacheAffinity, PromptCacheTable},
    },
    ids::UpstreamId,
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn part(id: &str, tokens: u64) -> PromptPart {
    PromptPart { id: id.to_owned(), tokens }
}

/// Records `count` responses of engines that compute `tokens_per_ms` prompt tokens per millisecond
/// and take `interval_ms` for an output token.
fn measure(speed: &mut PoolSpeed, count: u32, tokens_per_ms: f64, interval_ms: f64) {
    for number in 0..count {
        speed.record_first_token(100, millis(25.0));
        let tokens = 1_000 + u64::from(number % 7) * 900;
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let prefill_ms = tokens as f64 / tokens_per_ms;
        speed.record_first_token(tokens, millis(25.0 + prefill_ms));
        speed.record_output(50, millis(50.0 * interval_ms));
    }
}

#[test]
fn speeds_three_times_and_a_third_of_the_start_value_are_found_within_60_responses() {
    let start = PoolSpeed::default();
    for factor in [3.0, 1.0 / 3.0] {
        let tokens_per_ms = start.prefill_tokens_per_ms() * factor;
        let interval_ms = start.token_interval_ms() * factor;
        let mut speed = start;
        measure(&mut speed, 60, tokens_per_ms, interval_ms);
        let error = |found: f64, real: f64| (found / real).ln().abs();
        assert!(error(speed.prefill_tokens_per_ms(), tokens_per_ms) < 0.15, "{speed:?}");
        assert!(error(speed.token_interval_ms(), interval_ms) < 0.15, "{speed:?}");
        // The need of engines follows: the same requests need 3 times or a third of the engines.
        let of = |speed: &PoolSpeed| DemandRate::of(900_000, 0, speed).engines_needed(64, speed);
        assert!(error(of(&speed) * factor, of(&start)) < 0.15);
    }
}

#[test]
fn service_times_three_times_and_a_third_of_the_start_value_are_found() {
    for factor in [3.0, 1.0 / 3.0] {
        let mut speed = PoolSpeed::default();
        let service_ms = speed.service_ms() * factor;
        for _ in 0..60 {
            speed.record_service(millis(service_ms));
        }
        assert!((speed.service_ms() / service_ms).ln().abs() < 0.1, "{speed:?}");
    }
}

#[test]
fn an_upstream_that_reports_nonsense_moves_an_estimate_by_small_steps() {
    let mut speed = PoolSpeed::default();
    measure(&mut speed, 200, 40.0, 5.0);
    let before = speed;
    for _ in 0..3 {
        speed.record_first_token(u64::MAX, Duration::from_millis(30));
        speed.record_first_token(5_000, Duration::ZERO);
        speed.record_output(u64::MAX, Duration::from_nanos(1));
        speed.record_output(50, Duration::from_secs(1_000_000));
    }
    let ratio = speed.prefill_tokens_per_ms() / before.prefill_tokens_per_ms();
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
    let ratio = speed.token_interval_ms() / before.token_interval_ms();
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

proptest! {
    #[test]
    fn estimates_stay_positive_and_finite(
        samples in prop::collection::vec((any::<u64>(), any::<u64>()), 0..200),
    ) {
        let mut table = PoolSpeedTable::default();
        let pool = "pool".parse().unwrap();
        let speed = table.speed_mut(&pool);
        for (tokens, nanos) in samples {
            let elapsed = Duration::from_nanos(nanos);
            speed.record_first_token(tokens, elapsed);
            speed.record_output(tokens, elapsed);
            speed.record_service(elapsed);
            speed.record_prompt(tokens);
        }
        let speed = table.speed(&pool);
        for value in [
            speed.prefill_tokens_per_ms(), speed.token_interval_ms(), speed.first_token_ms(),
            speed.service_ms(), speed.prompt_tokens(),
        ] {
            prop_assert!(value.is_finite() && value > 0.0);
        }
    }
}

#[test]
fn shared_parts_of_a_lost_upstream_are_expected_to_be_computed_once_over_all_nodes() {
    let nodes = 6;
    let parts = [part("base", 2_000), part("portfolio", 13_000)];
    let miss = |cache: &PromptCacheTable, affinity| {
        cache.expected_miss((&upstream("u"), Some(1)), affinity, &parts, (nodes, false), at(1_000))
    };
    let mut caches = vec![PromptCacheTable::default(); 6];
    // Each node sends a request with these parts to their new affinity upstream.
    let total: f64 = caches.iter().map(|cache| miss(cache, CacheAffinity::First)).sum();
    assert!((total - 15_000.0).abs() < 1.0, "{total}");
    for cache in &mut caches {
        cache.record_sent(&upstream("u"), Some(1), &parts, at(1_000));
        assert!(miss(cache, CacheAffinity::First) < 1.0);
        assert!(miss(cache, CacheAffinity::None) < 1.0, "the node knows that the part is there");
        // Another upstream, or a restart of this one, has not cached them.
        let other = (&upstream("v"), Some(1));
        let full =
            cache.expected_miss(other, CacheAffinity::None, &parts, (nodes, false), at(1_000));
        assert!((full - 15_000.0).abs() < 1.0);
        let second =
            cache.expected_miss(other, CacheAffinity::Second, &parts, (nodes, false), at(1_000));
        assert!(second < full && second > 0.0);
        let restarted = (&upstream("u"), Some(2));
        assert!(
            cache.expected_miss(restarted, CacheAffinity::None, &parts, (nodes, false), at(1_000))
                > 14_999.0
        );
    }
}

#[test]
fn absurd_token_counts_of_a_caller_neither_order_capacity_nor_overflow() {
    let speed = PoolSpeed::default();
    let demand = DemandRate::of(u64::MAX, u64::MAX, &speed);
    assert!(demand.engines_needed(64, &speed) < 1_000.0, "{demand:?}");
    let cache = PromptCacheTable::default();
    let parts = [part("absurd", u64::MAX)];
    let miss =
        cache.expected_miss((&upstream("u"), None), CacheAffinity::None, &parts, (1, false), at(1));
    assert!(miss.is_finite());
}

#[test]
fn remembered_parts_are_bounded() {
    let mut cache = PromptCacheTable::default();
    for number in 0..20_000 {
        let shared = [part(&format!("part{number}"), 100)];
        cache.record_sent(&upstream("u"), None, &shared, at(number));
    }
    // The oldest rows have not expired, so that the newest part is not remembered.
    let newest = [part("part19999", 100)];
    let u = (&upstream("u"), None);
    assert!(cache.expected_miss(u, CacheAffinity::None, &newest, (1, false), at(20_000)) > 99.0);
    cache.record_sent(&upstream("u"), None, &newest, at(60_000));
    assert!(cache.expected_miss(u, CacheAffinity::None, &newest, (1, false), at(60_000)) < 1.0);
}
