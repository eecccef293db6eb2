//! Tests of the time at which another upstream is asked for a response that has not begun.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        awaited_response::{AwaitedResponse, abandon_gap},
        catalog::{RetryPolicy, RouteRow},
    },
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn route(target: u64, gap: u64) -> RouteRow {
    RouteRow {
        name: "route".to_owned(),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Resumable,
        streams: true,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_millis(target),
        max_event_gap: Duration::from_millis(gap),
        priority: 0,
        split: vec![("pool".parse().unwrap(), 1)],
        max_attempts: 2,
        public: true,
    }
}

/// Stream that was sent at 1 s with a deadline at 11 s, whose caller leaves at 5 s.
fn stream() -> AwaitedResponse {
    AwaitedResponse {
        sent_at: at(1_000),
        deadline: at(11_000),
        abandoned_at: Some(at(5_000)),
        expected_wait: Duration::from_millis(100),
    }
}

#[test]
fn callers_wait_for_the_longest_of_three_gaps() {
    assert_eq!(abandon_gap(&route(300, 100)), Duration::from_secs(2));
    assert_eq!(abandon_gap(&route(800, 100)), Duration::from_millis(3_200));
    assert_eq!(abandon_gap(&route(300, 500)), Duration::from_secs(4));
}

#[test]
fn silent_upstream_is_left_while_its_caller_waits() {
    assert_eq!(stream().first_check(), at(3_000));
    assert_eq!(stream().other_due_at(None, at(2_999)), None);
    assert_eq!(stream().other_due_at(None, at(3_000)), Some(at(5_000)));
    let long_before = Some(at(500));
    assert_eq!(stream().other_due_at(long_before, at(3_000)), Some(at(5_000)));
}

#[test]
fn busy_upstream_is_given_half_of_the_time_left() {
    for millis in (3_000..6_000).step_by(100) {
        let heard_at = Some(at(millis - 1_900));
        assert_eq!(stream().other_due_at(heard_at, at(millis)), None, "{millis}");
    }
    assert_eq!(stream().other_due_at(Some(at(5_990)), at(6_000)), Some(at(11_000)));
}

#[test]
fn upstream_that_went_silent_later_is_left_later() {
    let heard_at = Some(at(1_500));
    assert_eq!(stream().other_due_at(heard_at, at(3_499)), None);
    assert_eq!(stream().other_due_at(heard_at, at(3_500)), Some(at(5_000)));
}

#[test]
fn upstream_is_given_the_time_that_it_was_expected_to_need() {
    let queued = AwaitedResponse { expected_wait: Duration::from_secs(3), ..stream() };
    assert_eq!(queued.first_check(), at(4_000));
    assert_eq!(queued.other_due_at(None, at(3_999)), None);
    assert_eq!(queued.other_due_at(None, at(4_000)), Some(at(5_000)));
}

#[test]
fn response_that_is_no_stream_is_given_half_of_the_time_left() {
    let plain = AwaitedResponse { abandoned_at: None, ..stream() };
    assert_eq!(plain.first_check(), at(6_000));
    assert_eq!(plain.other_due_at(None, at(5_999)), None);
    assert_eq!(plain.other_due_at(None, at(6_000)), Some(at(11_000)));
}

#[test]
fn deadline_before_the_caller_leaves_counts() {
    let short = AwaitedResponse { deadline: at(3_000), ..stream() };
    assert_eq!(short.first_check(), at(2_000));
    assert_eq!(short.other_due_at(None, at(2_000)), Some(at(3_000)));
}
