//! Tests of what connections of callers wait for.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        caller_wait::{CallerWait, HEAD_BYTES_MAX, WaitEnd, head_bytes_max},
        catalog::CallerLimits,
    },
};

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn limits(max_head_bytes: usize, head_ms: u64, idle_ms: u64) -> CallerLimits {
    CallerLimits {
        max_head_bytes,
        head_timeout: Duration::from_millis(head_ms),
        idle_timeout: Duration::from_millis(idle_ms),
        ..CallerLimits::default()
    }
}

#[test]
fn each_wait_has_the_limit_of_its_kind_and_of_the_moment() {
    let (short, long) = (limits(100, 300, 1_000), limits(9_000, 600, 5_000));
    let mut wait = CallerWait::new(at(1_000));
    assert_eq!(wait.due(short), Some((at(2_000), WaitEnd::Idle)));
    assert_eq!(wait.due(long), Some((at(6_000), WaitEnd::Idle)));
    wait.record_received(0, at(1_100));
    assert_eq!(wait.due(short), Some((at(2_000), WaitEnd::Idle)), "nothing was received");
    wait.record_received(60, at(1_500));
    wait.record_received(39, at(1_700));
    assert_eq!(wait.due(short), Some((at(1_800), WaitEnd::HeadTimeout)), "from the first byte on");
    assert_eq!(wait.due(long), Some((at(2_100), WaitEnd::HeadTimeout)));
    assert!(!wait.is_head_too_long(short));
    wait.record_received(1, at(1_710));
    assert!(wait.is_head_too_long(short) && !wait.is_head_too_long(long));
    wait.begin_exchange();
    wait.record_received(100_000, at(1_800));
    assert_eq!(wait.due(short), None);
    assert!(!wait.is_head_too_long(short), "bytes of a body");
    wait.end_exchange(at(9_000));
    wait.record_sent(at(9_400));
    assert_eq!(
        wait.due(short),
        Some((at(10_400), WaitEnd::Idle)),
        "the caller was still receiving"
    );
}

#[test]
fn heads_are_bounded_whatever_the_configuration_permits() {
    assert_eq!(head_bytes_max(limits(2_000, 1, 1)), 2_000);
    assert_eq!(head_bytes_max(limits(usize::MAX, 1, 1)), HEAD_BYTES_MAX);
}
