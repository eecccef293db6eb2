//! Versions of a store that returns from an older copy.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::store_eras::{StoreEra, StoreEras},
    ids::RowVersion,
};

fn at(seconds: u64) -> BootTime {
    BootTime::from_millis(50_000 + seconds * 1_000)
}

#[test]
fn versions_of_a_later_era_are_newer() {
    let mut eras = StoreEras::default();
    let before = eras.observe(Some(StoreEra(0)), RowVersion(900), at(0));
    let known = RowVersion(900).in_era(before);
    let after = eras.observe(Some(StoreEra(1)), RowVersion(500), at(1));
    let read = RowVersion(500).in_era(after);
    assert!(read > known);
    assert_eq!((read.number(), known.number()), (500, 900));
    // An answer that was under way before is older than both.
    let late = eras.observe(Some(StoreEra(0)), RowVersion(901), at(1));
    assert!(RowVersion(901).in_era(late) < read);
    // A row that does not exist has no version in any era.
    assert_eq!(RowVersion(0).in_era(StoreEra(3)), RowVersion(0));
}

#[test]
fn era_that_is_not_stated_is_the_last_one() {
    let mut eras = StoreEras::default();
    eras.observe(Some(StoreEra(2)), RowVersion(500), at(0));
    assert_eq!(eras.observe(None, RowVersion(501), at(1)), StoreEra(2));
    assert_eq!(eras.current(), StoreEra(2));
}

#[test]
fn answers_that_stay_behind_begin_an_era_though_none_is_stated() {
    let mut eras = StoreEras::default();
    eras.observe(None, RowVersion(900), at(0));
    // Stale reads end.
    for second in 1..6 {
        assert_eq!(eras.observe(None, RowVersion(500 + second), at(second)), StoreEra(0));
    }
    assert_eq!(eras.observe(None, RowVersion(901), at(6)), StoreEra(0));
    // These do not.
    for second in 7..15 {
        assert_eq!(eras.observe(None, RowVersion(500 + second), at(second)), StoreEra(0));
    }
    assert_eq!(eras.observe(None, RowVersion(515), at(15)), StoreEra(1));
    assert_eq!(eras.observe(None, RowVersion(516), at(16)), StoreEra(1));
}

#[test]
fn store_that_states_its_era_is_believed() {
    let mut eras = StoreEras::default();
    eras.observe(Some(StoreEra(2)), RowVersion(900), at(0));
    for second in 1..20 {
        assert_eq!(eras.observe(Some(StoreEra(2)), RowVersion(500), at(second)), StoreEra(2));
    }
    assert!(!eras.begin_unstated());
    assert!(!eras.adopt(StoreEra(7)));
    assert_eq!(eras.observe_stated(Some(StoreEra(3))), StoreEra(3));
    assert_eq!(eras.current(), StoreEra(3));
}

#[test]
fn era_is_adopted_once() {
    let mut eras = StoreEras::default();
    eras.observe(None, RowVersion(900), at(0));
    assert!(eras.begin_unstated());
    assert!(eras.is_untold());
    assert!(!eras.adopt(StoreEra(1)), "another node has inferred the same return");
    assert!(eras.adopt(StoreEra(2)));
    assert_eq!((eras.current(), eras.is_untold()), (StoreEra(2), false));
}
