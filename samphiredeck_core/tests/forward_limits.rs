//! Limits of workspaces, the budget of repeated sends, and waiting.

use std::time::Duration;

use proptest::prelude::*;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        catalog::{RetryPolicy, WorkspaceRow},
        deadline::{fits_deadline, retry_after},
        freshness::ConfigFreshness,
        outcome::{NextStep, SendOutcome, next_step},
        quota::{
            LocalQuota, OwnerStatus, PeerLiveness, QuotaDecision, QuotaOwner, QuotaSlack,
            rank_quota_owners,
        },
        retry_budget::{RetryBudget, RetryLimit},
    },
    ids::{NodeName, PoolName},
    verdict::RunVerdict,
};

const WINDOW_MS: u64 = 8_000;
const NODES: usize = 8;

fn at(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

fn slack() -> QuotaSlack {
    QuotaSlack { overage: 0.1, tokens: 140_000.0, window: Duration::from_millis(WINDOW_MS) }
}

fn workspace(rate: f64) -> WorkspaceRow {
    WorkspaceRow {
        name: "w".parse().unwrap(),
        priority: None,
        rate,
        burst: rate,
        by_tokens: true,
        default_tokens: 200,
    }
}

/// Most units admitted in any window.
fn worst_window(admitted: &[(u64, f64)]) -> f64 {
    let windows = admitted.iter().enumerate().map(|(index, (end, _))| {
        let inside = admitted[..=index].iter().rev().take_while(|(at, _)| at + WINDOW_MS > *end);
        inside.map(|(_, units)| units).sum()
    });
    windows.fold(0.0, f64::max)
}

/// Replays `load`, requests of `units` each `gap_ms`, at one home and the purses of all nodes. The
/// home changes once, `change_at` milliseconds after the start.
fn replay(rate: f64, units: f64, gap_ms: u64, change_at: u64, silent: bool) -> (f64, f64) {
    let row = workspace(rate);
    let mut home = QuotaOwner::new(slack());
    let nodes = u32::try_from(NODES).unwrap();
    let mut purses = vec![LocalQuota::new(slack(), nodes); NODES];
    let mut admitted = Vec::new();
    let mut changed = false;
    for step in 0..(24_000 / gap_ms) {
        let now = step * gap_ms;
        if now >= change_at && !changed {
            home = QuotaOwner::new(slack());
            changed = true;
        }
        let purse = &mut purses[usize::try_from(step).unwrap() % NODES];
        let granted = purse.take_small(&row, units, at(now))
            || if silent {
                purse.take(&row, units, at(now))
            } else {
                home.take(&row, units, at(now)) == QuotaDecision::Granted
            };
        if granted {
            admitted.push((now, units));
        }
    }
    let total: f64 = admitted.iter().map(|(_, units)| units).sum();
    (total, worst_window(&admitted))
}

fn allowed(rate: f64) -> f64 {
    (rate * 8.0 + rate) * 1.1 + 140_000.0
}

#[test]
fn workspace_that_sends_seven_times_its_limit_stays_within_it() {
    for (rate, units, gap) in
        [(38_000.0, 13_000.0, 50), (240_000.0, 13_000.0, 8), (38_000.0, 300.0, 1)]
    {
        for change_at in [4_000, 9_000] {
            let (_, worst) = replay(rate, units, gap, change_at, false);
            assert!(worst <= allowed(rate), "{worst} of {} at {rate}", allowed(rate));
        }
        let (_, worst) = replay(rate, units, gap, 0, true);
        assert!(worst <= allowed(rate), "{worst} without homes");
    }
}

#[test]
fn large_requests_stay_within_the_limit_over_changes_of_home_and_restarts() {
    // The day on which 958,793 units ran where 958,668 were allowed: one workspace at several times
    // its limit, prompts of up to 54,600 tokens, its home replaced, then a node started anew.
    let row = workspace(82_700.0);
    let sizes = [13_000.0, 54_600.0, 2_400.0, 900.0, 30_000.0, 200.0];
    for offset in 0..sizes.len() {
        for change_at in [1_000, 3_000, 5_500] {
            let mut home = QuotaOwner::new(slack());
            let mut purses = vec![LocalQuota::new(slack(), u32::try_from(NODES).unwrap()); NODES];
            // It was idle before, so that the bucket is full.
            home.take(&row, 1.0, at(0));
            let mut admitted = Vec::new();
            for step in 0..1_200_u64 {
                let now = 20_000 + step * 15;
                if step * 15 == change_at {
                    home = QuotaOwner::new(slack());
                    purses[0] = LocalQuota::new(slack(), u32::try_from(NODES).unwrap());
                }
                let index = usize::try_from(step).unwrap();
                let units = sizes[(index + offset) % sizes.len()];
                let granted = purses[index % NODES].take_small(&row, units, at(now))
                    || home.take(&row, units, at(now)) == QuotaDecision::Granted;
                if granted {
                    admitted.push((now, units));
                }
            }
            let worst = worst_window(&admitted);
            assert!(worst <= allowed(82_700.0), "{worst} of {}", allowed(82_700.0));
        }
    }
}

#[test]
fn debt_of_a_large_request_is_bounded() {
    // Limits by requests have no tokens of slack: 10 units in a window, 1 more is allowed.
    let row = WorkspaceRow { by_tokens: false, ..workspace(1.0) };
    let mut home = QuotaOwner::new(slack());
    home.take(&row, 0.0, at(0));
    let full = 20_000;
    // The bucket holds 1 + 0.2 x 0.9 units. Debt may grow to 0.12 x 0.9, however large the request.
    assert_eq!(home.take(&row, 0.5, at(full)), QuotaDecision::Granted);
    assert_ne!(home.take(&row, 1.0, at(full)), QuotaDecision::Granted);
    assert_eq!(home.take(&row, 0.75, at(full)), QuotaDecision::Granted);
}

#[test]
fn workspace_within_its_limit_is_not_refused() {
    // Large requests against a small limit, in clumps: half of the limit on average.
    let row = workspace(38_000.0);
    let mut home = QuotaOwner::new(slack());
    // A new bucket starts nearly empty, as another home may have granted until now.
    home.take(&row, 1.0, at(0));
    let mut refused = 0;
    for clump in 0..20_u64 {
        for _ in 0..3 {
            let answer = home.take(&row, 13_000.0, at(3_000 + clump * 2_000));
            refused += u32::from(answer != QuotaDecision::Granted);
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn request_larger_than_the_bucket_is_served_in_the_end() {
    let row = workspace(1_000.0);
    let mut home = QuotaOwner::new(QuotaSlack { tokens: 0.0, ..slack() });
    home.take(&row, 1.0, at(0));
    assert_eq!(home.take(&row, 50_000.0, at(20_000)), QuotaDecision::Granted);
    let QuotaDecision::Over(wait) = home.take(&row, 10.0, at(20_001)) else {
        panic!("the debt is not paid back")
    };
    assert!(wait >= Duration::from_secs(5));
}

#[test]
fn units_of_requests_that_did_not_run_come_back() {
    let row = workspace(10_000.0);
    let mut home = QuotaOwner::new(QuotaSlack { tokens: 0.0, ..slack() });
    home.take(&row, 1.0, at(0));
    while home.take(&row, 1_000.0, at(10_000)) == QuotaDecision::Granted {}
    home.refund(&row.name, 1_000.0);
    assert_eq!(home.take(&row, 1_000.0, at(10_000)), QuotaDecision::Granted);
}

fn names() -> Vec<NodeName> {
    (0..NODES).map(|number| format!("n{number}").parse().unwrap()).collect()
}

#[test]
fn nodes_agree_on_the_homes_of_a_workspace() {
    let names = names();
    let mut nodes: Vec<&NodeName> = names.iter().collect();
    let workspace = "w".parse().unwrap();
    let homes = rank_quota_owners(&workspace, &nodes);
    nodes.reverse();
    assert_eq!(homes, rank_quota_owners(&workspace, &nodes));
    let rest: Vec<&NodeName> = nodes.iter().copied().filter(|node| *node != homes[0]).collect();
    assert_eq!(rank_quota_owners(&workspace, &rest)[0], homes[1], "the next one takes its place");
}

#[test]
fn later_home_serves_only_after_a_question_without_an_answer() {
    let first: NodeName = "n0".parse().unwrap();
    let mut contacts = PeerLiveness::default();
    assert_eq!(contacts.owner_status(&first, at(1_000)), OwnerStatus::Unknown);
    assert_eq!(contacts.owner_status(&first, at(1_010)), OwnerStatus::Unknown, "too soon to tell");
    assert_eq!(contacts.owner_status(&first, at(1_040)), OwnerStatus::Unresponsive);
    contacts.note_heard(&first, at(1_050));
    assert_eq!(contacts.owner_status(&first, at(1_060)), OwnerStatus::Alive);
    // It is asked again when its last sign is old, and when its silence is.
    assert_eq!(contacts.owner_status(&first, at(2_000)), OwnerStatus::Unknown);
    assert_eq!(contacts.owner_status(&first, at(2_100)), OwnerStatus::Unresponsive);
    assert_eq!(contacts.owner_status(&first, at(3_000)), OwnerStatus::Unknown);
}

#[test]
fn home_that_cannot_act_is_replaced_though_it_lives() {
    let first: NodeName = "n0".parse().unwrap();
    let mut contacts = PeerLiveness::default();
    contacts.note_heard(&first, at(1_000));
    contacts.note_unable(&first, at(1_010));
    assert!(!contacts.is_responsive(&first, at(1_020)));
    assert_eq!(contacts.owner_status(&first, at(1_020)), OwnerStatus::Unknown);
    contacts.note_unable(&first, at(1_025));
    assert_eq!(contacts.owner_status(&first, at(1_060)), OwnerStatus::Unresponsive);
}

fn bound() -> RetryLimit {
    RetryLimit { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) }
}

proptest! {
    #[test]
    fn repeats_of_all_nodes_stay_within_the_budget(
        sends in proptest::collection::vec((0..NODES, 0..20_u64, any::<bool>()), 1..3_000)
    ) {
        let pool: PoolName = "p".parse().unwrap();
        let nodes = u32::try_from(NODES).unwrap();
        let mut tables = vec![RetryBudget::new(bound(), nodes); NODES];
        let mut now = 0;
        let mut firsts = Vec::new();
        let mut repeats = Vec::new();
        for (node, pause, repeat) in sends {
            now += pause;
            if repeat {
                if tables[node].take(&pool, at(now)) {
                    repeats.push((now, 1.0));
                }
            } else {
                tables[node].note_request(&pool, at(now));
                firsts.push(now);
            }
        }
        for (end, _) in &repeats {
            let inside = |at: u64| at <= *end && at + 10_000 > *end;
            let again = repeats.iter().filter(|(at, _)| inside(*at)).count();
            // The requests of this window or the one before, whichever has more.
            let now = firsts.iter().filter(|at| inside(**at)).count();
            let before = firsts.iter().filter(|at| inside(**at + 10_000)).count();
            let first = f64::from(u32::try_from(now.max(before)).unwrap());
            prop_assert!(f64::from(u32::try_from(again).unwrap()) <= first * 0.2 + 56.0);
        }
    }
}

#[test]
fn configuration_is_trusted_for_less_than_the_revocation_bound() {
    let mut proof = ConfigFreshness::new(Some(Duration::from_secs(5)));
    assert!(!proof.allows_admission(at(100)), "nothing is known yet");
    proof.confirm(at(1_000));
    proof.confirm(at(900));
    assert_eq!(proof.age(at(1_500)), Some(Duration::from_millis(500)), "the newer proof counts");
    assert!(proof.allows_admission(at(5_500)));
    assert!(!proof.allows_admission(at(5_600)), "400 ms are left for the way to an upstream");
    assert!(proof.is_ready(at(4_600)) && !proof.is_ready(at(4_800)));
    assert!(ConfigFreshness::new(None).age(at(9)).is_none());
    let mut unbounded = ConfigFreshness::new(None);
    unbounded.confirm(at(0));
    assert!(unbounded.is_ready(at(u64::MAX)) && unbounded.allows_admission(at(u64::MAX)));
    assert!(unbounded.needs_refresh(at(5_000)) && !unbounded.needs_refresh(at(1_000)));
}

#[test]
fn outcomes_of_sends() {
    use NextStep::{Deliver, GiveUp, RefuseUnrun, SendAgain};
    use SendOutcome::{Broken, Failed, Rejected, Unsent};
    let not_run = RunVerdict::NotRun;
    let maybe = RunVerdict::MayHaveRun;
    let cases = [
        (Unsent, not_run, RetryPolicy::NonIdempotent, 1, SendAgain),
        (Rejected, not_run, RetryPolicy::NonIdempotent, 1, SendAgain),
        (Rejected, not_run, RetryPolicy::NonIdempotent, 0, RefuseUnrun),
        // Once it may have run, a request that must not be repeated is never sent again.
        (Broken, maybe, RetryPolicy::NonIdempotent, 3, GiveUp),
        (Failed, RunVerdict::Ran, RetryPolicy::NonIdempotent, 3, Deliver),
        (Broken, maybe, RetryPolicy::Idempotent, 1, SendAgain),
        (Failed, RunVerdict::Ran, RetryPolicy::Idempotent, 1, SendAgain),
        (Failed, RunVerdict::Ran, RetryPolicy::Idempotent, 0, Deliver),
        // A rejection after a send that may have run is no reason to say that it has not.
        (Rejected, maybe, RetryPolicy::Idempotent, 0, GiveUp),
        (Unsent, maybe, RetryPolicy::Resumable, 0, GiveUp),
    ];
    for (outcome, joined, rule, attempts, expected) in cases {
        let joined = joined.join(outcome.verdict());
        let step = next_step(outcome, joined, rule, attempts);
        assert_eq!(step, expected, "{outcome:?} {joined} {rule:?} {attempts}");
    }
}

#[test]
fn refused_callers_return_in_time_and_apart() {
    let left = Duration::from_secs(3);
    assert!(fits_deadline(Duration::from_secs(2), left));
    assert!(!fits_deadline(Duration::from_millis(2_200), left));
    let waits: Vec<Duration> =
        [0.0, 0.5, 1.0].map(|noise| retry_after(Duration::from_millis(300), left, noise)).into();
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
    let long = retry_after(Duration::from_secs(60), left, 1.0);
    assert!(long <= left / 3, "callers honour no more than a third of their time: {long:?}");
}

#[test]
fn proof_is_asked_for_long_before_it_runs_out() {
    for revoke_ms in [3_000, 5_000, 30_000] {
        let mut proof = ConfigFreshness::new(Some(Duration::from_millis(revoke_ms)));
        assert!(proof.needs_refresh(at(0)));
        proof.confirm(at(10_000));
        // A reader's proof is up to two holds old, and told on half a second later.
        let told = proof.long_poll_wait() * 2 + Duration::from_millis(550);
        assert!(revoke_ms == 3_000 || !proof.needs_refresh(at(10_000) + told), "{revoke_ms}");
        let aging = (0..5_000).find(|age| proof.needs_refresh(at(10_000 + age))).unwrap();
        assert!(proof.is_ready(at(10_000 + aging + 600)), "{revoke_ms}: time to ask the store");
    }
}

#[test]
fn age_beyond_the_start_of_the_instance_proves_nothing() {
    assert_eq!(at(500).before(Duration::from_millis(501)), None);
    assert_eq!(at(500).before(Duration::from_millis(500)), Some(at(0)));
}
