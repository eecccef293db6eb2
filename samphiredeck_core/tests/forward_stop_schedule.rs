//! Moments of a graceful stop.

use std::time::Duration;

use samphiredeck_core::{
    boot_time::BootTime,
    forward::stop_schedule::{LateRequest, StopSchedule},
};

const SIGNALLED_AT: BootTime = BootTime::from_millis(1_000_000);
const GRACE: Duration = Duration::from_secs(8);
/// Time limit of a stream that may last longer than the grace period.
const LONG: Duration = Duration::from_secs(15);

fn after(millis: u64) -> BootTime {
    SIGNALLED_AT + Duration::from_millis(millis)
}

fn request(received_at: BootTime, limit: Duration, expected: Option<u64>) -> LateRequest {
    let expected = expected.map(Duration::from_millis);
    LateRequest { received_at, deadline: received_at + limit, expected }
}

/// Guards against streams that are taken later than 3 s after the signal. What ends in any case is served.
#[test]
fn late_requests_are_taken_only_if_they_end_in_any_case() {
    let schedule = StopSchedule::new(SIGNALLED_AT, GRACE);
    for millis in (0..6_400).step_by(50) {
        let at = after(millis);
        let stream = request(at, LONG, Some(1_000));
        assert_eq!(schedule.admits(&stream, at), millis <= 2_600, "{millis}");
        let unknown = request(at, LONG, None);
        assert_eq!(schedule.admits(&unknown, at), millis <= 2_600, "{millis}");
        let short = request(at, Duration::from_millis(800), Some(1_000));
        assert_eq!(schedule.admits(&short, at), millis <= 5_600, "{millis}");
    }
}

/// Guards against requests that wait, and are sent without the time to end.
#[test]
fn requests_that_waited_are_taken_as_long_as_they_are_expected_to_end() {
    let schedule = StopSchedule::new(SIGNALLED_AT, GRACE);
    for millis in (2_600..6_400).step_by(50) {
        let waited = request(after(2_500), LONG, Some(1_500));
        assert_eq!(schedule.admits(&waited, after(millis)), millis < 4_900, "{millis}");
    }
    let unknown = request(after(2_500), LONG, None);
    assert!(!schedule.admits(&unknown, schedule.answers_at));
}

/// Guards against a node that wakes late, as after a freeze: no moment moves with it.
#[test]
fn late_wake_up_moves_no_moment() {
    let schedule = StopSchedule::new(SIGNALLED_AT, GRACE);
    for (millis, is_taken) in [(2_599, true), (2_601, false), (9_000, false)] {
        let stream = request(after(millis), LONG, Some(10));
        assert_eq!(schedule.admits(&stream, after(millis)), is_taken, "{millis}");
    }
}

#[test]
fn moments_are_in_order_for_each_grace_period() {
    for millis in (1..40_000).step_by(97) {
        let StopSchedule { signalled_at, admits_until, closes_at, answers_at, ends_at, killed_at } =
            StopSchedule::new(SIGNALLED_AT, Duration::from_millis(millis));
        let moments = [signalled_at, admits_until, closes_at, answers_at, ends_at, killed_at];
        assert!(moments.is_sorted(), "{millis}: {moments:?}");
        assert!(admits_until.since(signalled_at) <= Duration::from_millis(2_600), "{millis}");
    }
}

/// Guards against streams that are cut off before the last sixth of a grace period, and against a process that is killed before
/// it has published its counts.
#[test]
fn responses_are_cut_off_in_the_last_sixth_of_each_grace_period() {
    for millis in (500..40_000).step_by(97) {
        let grace = Duration::from_millis(millis);
        let schedule = StopSchedule::new(SIGNALLED_AT, grace);
        assert!(schedule.ends_at.since(SIGNALLED_AT) >= grace * 5 / 6, "{grace:?}: {schedule:?}");
        let left = schedule.killed_at.since(schedule.ends_at);
        assert!(left >= (grace / 8).min(Duration::from_secs(1)), "{grace:?}: {schedule:?}");
        let notice = schedule.closes_at.since(SIGNALLED_AT);
        assert!(notice >= (grace * 3 / 5).min(Duration::from_millis(2_600)), "{grace:?}");
        let answering = schedule.ends_at.since(schedule.answers_at);
        assert!(answering >= (grace / 20).min(Duration::from_millis(400)), "{grace:?}");
    }
}
