//! How long the requests of a route take.

use std::time::Duration;

use samphiredeck_core::forward::route_durations::RouteDurations;

#[test]
fn expected_time_follows_the_last_requests_of_the_route() {
    let mut durations = RouteDurations::default();
    assert_eq!(durations.expected("a"), None);
    for millis in 1..=100 {
        durations.record("a", Duration::from_millis(millis));
        durations.record("b", Duration::from_secs(9));
    }
    // The last 32 are 69 to 100.
    assert_eq!(durations.expected("a"), Some(Duration::from_millis(96)));
    assert_eq!(durations.expected("b"), Some(Duration::from_secs(9)));
    durations.retain(|route| route == "b");
    assert_eq!(durations.expected("a"), None);
    assert!(durations.expected("b").is_some());
}
