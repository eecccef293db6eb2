//! Whole events out of the pieces of a stream.

use proptest::prelude::*;
use samphiredeck_core::forward::events::EventBuffer;

/// Passes `text` in pieces that end at `cuts`. Returns what was given out, and what was left.
fn pass(text: &[u8], cuts: &[usize]) -> (Vec<u8>, bool, bool) {
    let mut buffer = EventBuffer::default();
    let mut given = Vec::new();
    let mut in_order = true;
    let mut last: Option<u64> = None;
    let mut from = 0;
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    for end in ends {
        if let Some(batch) = buffer.push(&text[from..end]) {
            assert!(batch.bytes.ends_with(b"\n\n") || batch.bytes.ends_with(b"\r\n\r\n"));
            in_order &= batch.in_order;
            in_order &= last.zip(batch.first).is_none_or(|(last, first)| last + 1 == first);
            last = batch.last.or(last);
            given.extend_from_slice(&batch.bytes);
        }
        from = end;
    }
    (given, buffer.is_partial(), in_order)
}

fn stream(events: &[(u64, String)], newline: &str) -> String {
    let event = |(number, data): &(u64, String)| {
        format!("x-weights: 3{newline}id: {number}{newline}data: {data}{newline}{newline}")
    };
    events.iter().map(event).collect()
}

#[test]
fn parts_of_events_are_kept_back() {
    let text = stream(&[(1, "a".to_owned()), (2, "b".to_owned())], "\n");
    let cut = &text.as_bytes()[..text.len() - 1];
    let (given, partial, _) = pass(cut, &[3, 9, 20]);
    assert_eq!(given, stream(&[(1, "a".to_owned())], "\n").into_bytes());
    assert!(partial);
}

#[test]
fn events_that_are_missing_or_come_twice_are_told() {
    for numbers in [[1, 3], [1, 1], [2, 1]] {
        let events = numbers.map(|number| (number, "x".to_owned()));
        let (_, _, in_order) = pass(stream(&events, "\n").as_bytes(), &[]);
        assert!(!in_order, "{numbers:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(10_000)
    ))]

    #[test]
    fn all_of_a_stream_passes_whatever_its_pieces(
        data in proptest::collection::vec("[ -~]{0,20}", 0..12),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
        carriage in any::<bool>(),
    ) {
        let events: Vec<(u64, String)> = (1..).zip(data).collect();
        let text = stream(&events, if carriage { "\r\n" } else { "\n" });
        let (given, partial, in_order) = pass(text.as_bytes(), &cuts);
        prop_assert_eq!(given, text.into_bytes());
        prop_assert!(!partial && in_order);
    }

    #[test]
    fn any_bytes_pass_without_a_panic_or_a_change(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()], 0..200),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let (given, partial, _) = pass(&bytes, &cuts);
        prop_assert!(bytes.starts_with(&given));
        prop_assert_eq!(partial, given.len() < bytes.len());
    }
}
