//! The budget of bytes that a node holds.

use proptest::prelude::*;
use samphiredeck_core::forward::byte_budget::{BudgetDecision, ByteBudget, ByteSource};

fn upstream(number: usize) -> ByteSource {
    ByteSource::Upstream(format!("u{number}").parse().unwrap())
}

#[test]
fn upstream_meets_its_own_share_first() {
    let mut budget = ByteBudget::new(1_200);
    let first = budget.open(upstream(1));
    let second = budget.open(upstream(1));
    let other = budget.open(upstream(2));
    assert_eq!(budget.resize(first, 60), BudgetDecision::Granted);
    assert_eq!(budget.resize(second, 40), BudgetDecision::Granted);
    // The share of 100 is full: the largest ends, the other one waits for it. A third upstream is not touched.
    assert_eq!(budget.resize(second, 41), BudgetDecision::Wait);
    assert_eq!(budget.resize(first, 61), BudgetDecision::Exceeded);
    assert_eq!(budget.resize(other, 100), BudgetDecision::Granted);
    assert_eq!(budget.resize(other, 101), BudgetDecision::Exceeded);
    budget.close(first);
    assert_eq!(budget.resize(second, 100), BudgetDecision::Granted);
}

/// Guards against an instance that does not start, or that gives away memory that its process needs.
#[test]
fn budget_leaves_memory_for_the_process_on_every_instance() {
    const MB: usize = 1_024 * 1_024;
    for memory_mb in [64, 96, 120, 160, 260, 512] {
        let total = ByteBudget::of_instance(memory_mb * MB).total();
        assert!(total + 40 * MB <= memory_mb * MB / 4 * 3, "{memory_mb}: {total}");
        assert!(total >= 4 * MB, "{memory_mb}: {total}");
    }
    // The counterpart: larger instances keep the third that they had.
    for memory_mb in [120, 260, 512] {
        assert_eq!(ByteBudget::of_instance(memory_mb * MB).total(), memory_mb * MB / 3);
    }
}

#[test]
fn uploads_leave_room_for_responses() {
    let mut budget = ByteBudget::new(1_200);
    let upload = budget.open(ByteSource::Caller);
    assert_eq!(budget.resize(upload, 200), BudgetDecision::Granted);
    let next = budget.open(ByteSource::Caller);
    assert_eq!(budget.resize(next, 1), BudgetDecision::Exceeded);
    for number in 0..2 {
        let response = budget.open(upstream(number));
        assert_eq!(budget.resize(response, 100), BudgetDecision::Granted);
    }
    let late = budget.open(upstream(9));
    assert_eq!(budget.resize(late, 1), BudgetDecision::Wait);
    budget.close(upload);
    assert_eq!(budget.resize(late, 1), BudgetDecision::Granted);
}

#[test]
fn responses_that_callers_read_slowly_do_not_count_for_their_upstream() {
    let mut budget = ByteBudget::new(1_200);
    let first = budget.open(upstream(1));
    assert_eq!(budget.resize(first, 100), BudgetDecision::Granted);
    let second = budget.open(upstream(1));
    assert_eq!(budget.resize(second, 50), BudgetDecision::Wait);
    budget.deliver(first);
    assert_eq!(budget.resize(second, 100), BudgetDecision::Granted);
    budget.deliver(second);
    // Half of the budget is held for slow callers. The next response stays with its upstream, others go on.
    let third = budget.open(upstream(1));
    assert_eq!(budget.resize(third, 90), BudgetDecision::Granted);
    budget.deliver(third);
    let fourth = budget.open(upstream(1));
    assert_eq!(budget.resize(fourth, 20), BudgetDecision::Wait);
    let other = budget.open(upstream(2));
    assert_eq!(budget.resize(other, 90), BudgetDecision::Granted);
    budget.close(first);
    budget.deliver(third);
    assert_eq!(budget.resize(fourth, 20), BudgetDecision::Granted);
}

proptest! {
    /// The counterpart of the bound: of those that want more, at least one is never left waiting for ever.
    #[test]
    fn budget_is_kept_and_someone_goes_on(
        steps in proptest::collection::vec((0..12_usize, 0..4_usize, 0..120_usize), 1..200)
    ) {
        let mut budget = ByteBudget::new(1_200);
        let mut leases = Vec::new();
        for (index, source, bytes) in steps {
            if leases.len() <= index {
                let source = if source == 0 { ByteSource::Caller } else { upstream(source) };
                leases.push(budget.open(source));
            }
            let at = index % leases.len();
            if budget.resize(leases[at], bytes) == BudgetDecision::Exceeded {
                budget.close(leases.remove(at));
            }
            prop_assert!(budget.held() <= 400);
            if leases.is_empty() {
                continue;
            }
            let waits = |lease| budget.clone().resize(lease, 100) == BudgetDecision::Wait;
            prop_assert!(!leases.iter().all(|lease| waits(*lease)));
        }
    }
}
