//! Tests of which counts of a window may be reported.

use samphiredeck_core::forward::{
    agreed_windows::{AgreedWindows, EraRecord, WindowStep, WithholdReason},
    store_eras::StoreEra,
    usage::{WindowCounts, WindowIndex},
};

const ERA: StoreEra = StoreEra(1);
/// Time at which the store was first read in [`ERA`].
const START_MS: i64 = 20_000;

fn counts(window: i64, count: u64) -> WindowCounts {
    let mut counts = WindowCounts::new(WindowIndex(window));
    counts.add(&"one".parse().unwrap(), count);
    counts
}

/// Node that knows when [`ERA`] began.
fn windows() -> AgreedWindows {
    let mut windows = AgreedWindows::default();
    windows.record_era(Some(EraRecord { era: ERA, start_ms: START_MS }));
    windows
}

#[test]
fn counts_that_were_committed_are_reported_again_and_no_others() {
    let mut windows = windows();
    assert!(windows.record(&counts(7, 141), true));
    assert!(windows.record(&counts(7, 141), true));
    let step = windows.next_step(WindowIndex(7), START_MS - 1, ERA, Some(0));
    assert_eq!(step, WindowStep::Repeat(counts(7, 141)));
    // Another node has committed other counts: either may have been reported.
    assert!(!windows.record(&counts(7, 94), true));
    let step = windows.next_step(WindowIndex(7), START_MS - 1, ERA, Some(0));
    assert_eq!(step, WindowStep::Withhold(WithholdReason::Disputed));
}

#[test]
fn window_that_ended_before_the_store_returned_is_summed_by_its_witness_alone() {
    let windows = windows();
    let step = |end_ms, tenure_ms| windows.next_step(WindowIndex(7), end_ms, ERA, tenure_ms);
    let withheld = WindowStep::Withhold(WithholdReason::PerhapsReported);
    assert_eq!(step(START_MS, None), withheld);
    assert_eq!(step(START_MS, Some(START_MS + 1)), withheld);
    assert_eq!(step(START_MS, Some(START_MS)), WindowStep::Sum);
    assert_eq!(step(START_MS + 1, None), WindowStep::Sum);
}

#[test]
fn nothing_is_summed_until_the_begin_of_the_era_is_known() {
    let mut windows = AgreedWindows::default();
    let step =
        |windows: &AgreedWindows, era| windows.next_step(WindowIndex(7), START_MS + 1, era, None);
    assert_eq!(step(&windows, StoreEra(0)), WindowStep::Sum, "the store never returned");
    let withheld = WindowStep::Withhold(WithholdReason::UnknownEra);
    assert_eq!(step(&windows, ERA), withheld);
    windows.record_era(Some(EraRecord { era: ERA, start_ms: START_MS }));
    assert_eq!(step(&windows, ERA), WindowStep::Sum);
    assert_eq!(step(&windows, StoreEra(2)), withheld);
}

#[test]
fn rows_that_the_store_has_lost_are_found() {
    let mut windows = windows();
    for window in 1..=20 {
        windows.record(&counts(window, 5), true);
    }
    let stored: Vec<WindowIndex> = (8..=18).map(WindowIndex).collect();
    let lost = |stored: &[WindowIndex]| -> Vec<i64> {
        windows.find_lost(stored).iter().map(|counts| counts.window.0).collect()
    };
    // Rows of older windows are removed after a while.
    assert_eq!(lost(&stored), [19, 20]);
    assert_eq!(lost(&(1..=20).map(WindowIndex).collect::<Vec<_>>()), [0; 0]);
    assert_eq!(lost(&[]).len(), 8);
}

/// Guards against counts that are repeated under other names than those they were reported with.
#[test]
fn counts_that_were_committed_without_names_are_not_reported_again() {
    let mut windows = AgreedWindows::default();
    assert!(windows.record(&counts(7, 141), false));
    assert!(windows.record(&counts(8, 50), true));
    let step = |window| windows.next_step(WindowIndex(window), 0, StoreEra::default(), Some(0));
    assert_eq!(step(7), WindowStep::Withhold(WithholdReason::UnknownNames));
    assert_eq!(step(8), WindowStep::Repeat(counts(8, 50)));
    assert_eq!(windows.find_lost(&[WindowIndex(8)]), [&counts(7, 141)]);
}
