//! Answers that confirm the configuration in force, and those that don't.

use samphiredeck_core::{
    boot_time::BootTime,
    forward::config_row::{ConfigRow, RowContent},
    ids::RowVersion,
};

fn readable(value: &[u8]) -> RowContent {
    RowContent::of(Some(value), true)
}

/// Guards against nodes that take the version of a row they can't read for a proof that their configuration is current.
#[test]
fn unreadable_row_confirms_nothing() {
    let mut row = ConfigRow::default();
    assert!(row.is_confirmed_by(RowVersion(0)));
    assert!(row.apply(RowVersion(7), readable(b"first"), BootTime::from_millis(1)));
    assert!(row.is_confirmed_by(RowVersion(7)));
    assert!(!row.is_confirmed_by(RowVersion(9)));
    for content in [RowContent::of(Some(b"?"), false), RowContent::of(None, true)] {
        let mut row = row;
        assert!(row.apply(RowVersion(9), content, BootTime::from_millis(2)));
        assert!(row.is_unreadable());
        assert!(!row.is_confirmed_by(RowVersion(9)));
        assert!(!row.is_confirmed_by(RowVersion(7)));
        // An older row that arrives late changes nothing, a newer one that can be read ends it.
        assert!(!row.apply(RowVersion(7), readable(b"first"), BootTime::from_millis(3)));
        assert!(!row.is_confirmed_by(RowVersion(7)));
        assert!(row.apply(RowVersion(10), readable(b"next"), BootTime::from_millis(4)));
        assert!(row.is_confirmed_by(RowVersion(10)));
        assert_eq!(row.read_at(), BootTime::from_millis(4));
    }
}

#[test]
fn same_version_with_other_content_is_a_return_of_the_store() {
    let mut row = ConfigRow::default();
    row.apply(RowVersion(7), readable(b"first"), BootTime::from_millis(1));
    assert!(!row.is_replaced(RowVersion(7), readable(b"first")));
    assert!(!row.is_replaced(RowVersion(8), readable(b"other")));
    assert!(row.is_replaced(RowVersion(7), readable(b"other")));
    assert!(row.is_known(RowVersion(7), Some(b"first")));
    assert!(!row.is_known(RowVersion(7), Some(b"other")));
    // A value that can't be read may have been garbled on the way: it proves nothing, and confirms nothing.
    for unreadable in [RowContent::of(Some(b"other"), false), RowContent::of(None, false)] {
        assert!(!row.is_replaced(RowVersion(7), unreadable));
        let mut row = row;
        assert!(row.apply(RowVersion(7), unreadable, BootTime::from_millis(2)));
        assert!(!row.is_confirmed_by(RowVersion(7)));
        assert!(!row.is_known(RowVersion(7), Some(b"first")));
    }
}
