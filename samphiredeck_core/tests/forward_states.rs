//! Tests of the states of upstreams: no request is sent to one that asked for none.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::RetryPolicy,
        deadline::retry_after_pause,
        outcome::{NextStep, SendOutcome, next_step},
        placement::{PlacementRequest, choose_upstream},
        pool_speed::PoolSpeed,
        prompt_cache::PromptCacheTable,
        upstream_list::ListedUpstream,
        upstream_state::{LeavingCause, ResponseEvent, UpstreamState},
        upstreams::{PendingResponse, UpstreamChange, UpstreamRegistry},
    },
    ids::{PoolName, RowVersion, UpstreamId},
    verdict::RunVerdict,
};

const NAMES: [&str; 3] = ["u0", "u1", "u2"];
/// Maximum time for which one response pauses an upstream.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn id(text: &str) -> UpstreamId {
    text.parse().unwrap()
}

fn entry(id: &str, started_ms: u64) -> ListedUpstream {
    ListedUpstream {
        id: id.parse().unwrap(),
        started_ms: Some(started_ms),
        software: "v1".parse().unwrap(),
        pool: "pool".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 6,
        leaving: false,
        leaves_in: None,
        reclaimable: false,
        warm_up: Duration::ZERO,
    }
}

fn read(registry: &mut UpstreamRegistry, list: Vec<ListedUpstream>, millis: u64) {
    registry.apply_list(list, RowVersion(millis), at(millis), at(millis));
}

/// Registry with the upstreams `names`, read at 1 s.
fn registry_of(names: &[&str]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    read(&mut registry, names.iter().map(|name| entry(name, 1)).collect(), 1_000);
    registry
}

/// Records `event` in a response of the first start of `name`.
fn respond(registry: &mut UpstreamRegistry, name: &str, event: ResponseEvent, millis: u64) {
    registry.record_response_event(&id(name), Some(1), event, at(millis));
}

fn pause(millis: u64) -> ResponseEvent {
    ResponseEvent::Pause(Duration::from_millis(millis))
}

fn choose(registry: &UpstreamRegistry, now: BootTime) -> Option<String> {
    let request = PlacementRequest {
        node: &"n".parse().unwrap(),
        only: None,
        software: None,
        avoided_software: &[],
        pool: &"pool".parse().unwrap(),
        engine: false,
        parts: &[],
        tried: &[],
        misdirected: &[],
        max_connections: 50,
        max_event_gap: Duration::ZERO,
        speed: PoolSpeed::default(),
        prompt_cache: &PromptCacheTable::default(),
        nodes: 1,
        is_told: false,
        turn: None,
    };
    let choice = choose_upstream(registry, &request, &"a".parse().unwrap(), now, || 0.5);
    choice.map(|choice| choice.upstream.to_string())
}

fn state(registry: &UpstreamRegistry, name: &str) -> UpstreamState {
    registry.find(&id(name)).unwrap().state()
}

#[test]
fn announced_leaving_outlasts_entries_that_still_say_ready() {
    let mut registry = registry_of(&["u0"]);
    respond(&mut registry, "u0", ResponseEvent::Leaving, 1_100);
    read(&mut registry, vec![entry("u0", 1)], 1_200);
    assert_eq!(state(&registry, "u0"), UpstreamState::Leaving { cause: LeavingCause::Response });
    // The entry disappears without a request in flight, and an outdated one returns.
    read(&mut registry, Vec::new(), 2_000);
    read(&mut registry, vec![entry("u0", 1)], 300_000);
    assert_eq!(choose(&registry, at(300_000)), None);
    read(&mut registry, vec![entry("u0", 2)], 301_000);
    assert_eq!(choose(&registry, at(301_000)).as_deref(), Some("u0"), "it was restarted");
    read(&mut registry, vec![entry("u0", 1)], 302_000);
    respond(&mut registry, "u0", ResponseEvent::Leaving, 302_100);
    assert!(choose(&registry, at(302_100)).is_some(), "a response of the run before");
}

#[test]
fn leaving_by_the_entry_is_also_remembered_without_requests_in_flight() {
    let mut registry = registry_of(&["u0"]);
    let leaving = ListedUpstream { leaving: true, ..entry("u0", 1) };
    read(&mut registry, vec![leaving], 1_500);
    read(&mut registry, Vec::new(), 2_000);
    read(&mut registry, vec![entry("u0", 1)], 2_500);
    assert_eq!(choose(&registry, at(2_500)), None);
}

#[test]
fn new_id_at_the_address_takes_requests_at_once() {
    let mut registry = registry_of(&["u0"]);
    respond(&mut registry, "u0", ResponseEvent::Leaving, 1_100);
    read(&mut registry, vec![entry("u0", 1), entry("u1", 2)], 1_200);
    assert_eq!(choose(&registry, at(1_200)).as_deref(), Some("u1"));
}

#[test]
fn pause_ends_at_the_latest_time_that_was_asked_for() {
    let mut registry = registry_of(&["u0"]);
    respond(&mut registry, "u0", pause(5_000), 2_000);
    respond(&mut registry, "u0", pause(1_000), 2_100);
    read(&mut registry, vec![entry("u0", 1)], 4_000);
    assert_eq!(choose(&registry, at(6_999)), None);
    assert_eq!(choose(&registry, at(7_000)).as_deref(), Some("u0"));
    respond(&mut registry, "u0", pause(86_400_000), 8_000);
    let max_end = at(8_000) + PAUSE_MAX;
    assert_eq!(choose(&registry, max_end - Duration::from_millis(1)), None);
    assert!(choose(&registry, max_end).is_some(), "one response must not close it for longer");
}

#[test]
fn pause_is_kept_while_the_entry_is_missing() {
    for gap in [500, 6_000] {
        let mut registry = registry_of(&["u0"]);
        respond(&mut registry, "u0", pause(20_000), 1_100);
        read(&mut registry, Vec::new(), 1_000 + gap);
        assert_eq!(choose(&registry, at(1_000 + gap)), None);
        read(&mut registry, vec![entry("u0", 1)], 1_500 + gap);
        assert_eq!(choose(&registry, at(21_099)), None, "{gap}");
        assert!(choose(&registry, at(21_100)).is_some(), "{gap}");
    }
}

#[test]
fn leaving_wins_over_a_pause() {
    for events in [[pause(100), ResponseEvent::Leaving], [ResponseEvent::Leaving, pause(100)]] {
        let mut registry = registry_of(&["u0"]);
        for event in events {
            respond(&mut registry, "u0", event, 1_100);
        }
        assert_eq!(choose(&registry, at(10_000)), None);
    }
}

#[test]
fn one_response_closes_only_its_upstream() {
    let pool: PoolName = "pool".parse().unwrap();
    let mut registry = registry_of(&NAMES);
    respond(&mut registry, "u0", pause(86_400_000), 1_100);
    respond(&mut registry, "u1", pause(3_000), 1_100);
    assert_eq!(choose(&registry, at(1_200)).as_deref(), Some("u2"));
    assert_eq!(registry.pool_pause_end(&pool, at(1_200)), None);
    respond(&mut registry, "u2", pause(7_000), 1_300);
    assert_eq!(choose(&registry, at(1_400)), None);
    assert_eq!(registry.pool_pause_end(&pool, at(1_400)), Some(at(4_100)));
    respond(&mut registry, "u1", ResponseEvent::Leaving, 1_500);
    assert_eq!(registry.pool_pause_end(&pool, at(1_600)), Some(at(8_300)));
    respond(&mut registry, "u0", ResponseEvent::Leaving, 1_500);
    respond(&mut registry, "u2", ResponseEvent::Leaving, 1_500);
    assert_eq!(registry.pool_pause_end(&pool, at(1_600)), None, "none of them comes back");
}

#[test]
fn changes_of_the_state_are_reported_once() {
    let mut registry = registry_of(&["u0"]);
    let mut record =
        |event, millis| registry.record_response_event(&id("u0"), Some(1), event, at(millis));
    assert!(record(pause(1_000), 2_000).is_some());
    assert!(record(pause(1_000), 2_100).is_none(), "it was paused already");
    assert!(record(pause(1_000), 4_000).is_some());
    assert!(record(ResponseEvent::Leaving, 4_100).is_some());
    assert!(record(ResponseEvent::AddressReused, 4_200).is_none());
    let leaving = ListedUpstream { leaving: true, ..entry("u0", 1) };
    let changes = registry.apply_list(vec![leaving], RowVersion(5_000), at(5_000), at(5_000));
    assert_eq!(changes, []);
    let changes = registry.apply_list(Vec::new(), RowVersion(5_100), at(5_100), at(5_100));
    assert_eq!(changes, [UpstreamChange::Gone(id("u0"))]);
}

#[test]
fn withdrawn_requests_are_placed_anew() {
    for policy in [RetryPolicy::NonIdempotent, RetryPolicy::Idempotent, RetryPolicy::Resumable] {
        let step = next_step(SendOutcome::Withdrawn, RunVerdict::NotRun, policy, 1);
        assert_eq!(step, NextStep::SendAgain);
    }
    assert!(!SendOutcome::Withdrawn.is_sent(), "it does not count as an attempt");
}

#[test]
fn refused_callers_are_told_the_true_end_of_the_pause() {
    let (pause, plenty) = (Duration::from_secs(2), Duration::from_secs(30));
    for jitter in [0.0, 0.5, 1.0] {
        let told = retry_after_pause(pause, plenty, jitter);
        assert!(told >= pause && told <= pause + Duration::from_millis(150), "{told:?}");
    }
    let left = Duration::from_millis(700);
    assert_eq!(retry_after_pause(pause, left, 0.5), left, "no more than the caller has left");
}

/// One step of a random series.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A list is read. For each upstream: whether it is listed, whether its entry says that it is
    /// leaving, and whether the entry is one of an earlier start.
    Read([(bool, bool, bool); 3]),
    /// The upstream is started anew, and registers with the next read.
    Restart(usize),
    /// A response of the current start is read, or one of an earlier start.
    Respond(usize, ResponseEvent, bool),
    /// A request is in flight from now on, or ends.
    Request(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let event = prop_oneof![
        Just(ResponseEvent::Leaving),
        Just(ResponseEvent::AddressReused),
        (1_u64..20_000).prop_map(pause),
        Just(pause(u64::MAX)),
    ];
    prop_oneof![
        3 => prop_oneof![1_u64..200, 1_000_u64..6_000].prop_map(Step::Wait),
        3 => any::<[(bool, bool, bool); 3]>().prop_map(Step::Read),
        1 => (0_usize..3).prop_map(Step::Restart),
        3 => (0_usize..3, event, any::<bool>())
            .prop_map(|(index, event, outdated)| Step::Respond(index, event, outdated)),
        1 => (0_usize..3, any::<bool>())
            .prop_map(|(index, begins)| Step::Request(index, begins)),
    ]
}

/// What sends to one upstream must respect, kept apart from the code under test.
#[derive(Clone, Copy, Debug, Default)]
struct Expectation {
    /// Newest start of the upstream.
    started_ms: u64,
    /// Newest start that was listed.
    listed_start_ms: u64,
    /// Whether the newest list has an entry.
    listed: bool,
    /// Whether it said that it is leaving, by whatever way, since its listed start.
    left: bool,
    /// End of the time for which it asked for no requests.
    closed_until: BootTime,
}

impl Expectation {
    fn is_closed(&self, now: BootTime) -> bool {
        self.left || now < self.closed_until
    }

    /// Applies an entry of the start `started_ms`. `is_known` tells whether the registry has a row.
    fn apply_entry(&mut self, started_ms: u64, leaving: bool, is_known: bool, now: BootTime) {
        // Nothing needs to be kept of an upstream that was open when it was gone.
        let is_forgotten = !is_known && !self.is_closed(now);
        if started_ms > self.listed_start_ms || is_forgotten {
            self.listed_start_ms = started_ms;
            (self.left, self.closed_until) = (false, BootTime::default());
        }
        self.listed = true;
        self.left |= leaving;
    }

    fn apply_event(&mut self, event: ResponseEvent, now: BootTime) {
        match event {
            ResponseEvent::Pause(time) => {
                self.closed_until = self.closed_until.max(now + time.min(PAUSE_MAX));
            }
            ResponseEvent::Leaving | ResponseEvent::AddressReused => self.left = true,
        }
    }
}

/// Applies `step` to the registry and to what is expected of it.
fn apply_step(
    step: Step,
    registry: &mut UpstreamRegistry,
    expected: &mut [Expectation; 3],
    millis: &mut u64,
) {
    match step {
        Step::Wait(time) => *millis += time,
        Step::Read(entries) => {
            *millis += 1;
            let mut list = Vec::new();
            for (index, (listed, leaving, outdated)) in entries.into_iter().enumerate() {
                let (name, upstream) = (NAMES[index], &mut expected[index]);
                upstream.listed = false;
                if listed {
                    let started_ms = upstream.started_ms - u64::from(outdated);
                    let is_known = registry.find(&id(name)).is_some();
                    upstream.apply_entry(started_ms, leaving, is_known, at(*millis));
                    list.push(ListedUpstream { leaving, ..entry(name, started_ms) });
                }
            }
            read(registry, list, *millis);
        }
        Step::Restart(index) => expected[index].started_ms += 10,
        Step::Respond(index, event, outdated) => {
            let (name, upstream) = (id(NAMES[index]), &mut expected[index]);
            let started_ms = upstream.listed_start_ms.saturating_sub(u64::from(outdated));
            if registry.find(&name).is_some() && started_ms == upstream.listed_start_ms {
                upstream.apply_event(event, at(*millis));
            }
            registry.record_response_event(&name, Some(started_ms), event, at(*millis));
        }
        Step::Request(index, begins) => {
            let pending = PendingResponse { prefill_tokens: 0, due_at: at(*millis) };
            if begins {
                registry.record_request_start(&id(NAMES[index]), &pending);
            } else {
                registry.record_no_longer_pending(&id(NAMES[index]), &pending);
                registry.record_request_end(&id(NAMES[index]));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn closed_upstreams_get_no_request(steps in prop::collection::vec(step(), 1..60)) {
        let mut registry = UpstreamRegistry::default();
        let mut expected = [Expectation { started_ms: 10, ..Expectation::default() }; 3];
        let mut millis = 1_000;
        for step in steps {
            apply_step(step, &mut registry, &mut expected, &mut millis);
            check_sends(&registry, &expected, at(millis))?;
        }
    }
}

fn check_sends(
    registry: &UpstreamRegistry,
    expected: &[Expectation; 3],
    now: BootTime,
) -> Result<(), TestCaseError> {
    for (name, upstream) in NAMES.iter().zip(expected) {
        let accepting = registry.find(&id(name)).is_some_and(|row| row.is_accepting(now));
        let closed = upstream.is_closed(now);
        prop_assert!(!(accepting && closed), "{name} at {now}: {upstream:?}");
        prop_assert!(accepting || closed || !upstream.listed, "{name} at {now} is lost");
    }
    if let Some(chosen) = choose(registry, now) {
        let index = NAMES.iter().position(|name| *name == chosen).unwrap();
        prop_assert!(!expected[index].is_closed(now), "{chosen} at {now}");
    }
    Ok(())
}
