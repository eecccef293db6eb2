//! Tests of splitting event streams into complete events.

use proptest::prelude::*;
use samphiredeck_core::forward::events::EventBuffer;

/// Passes `text` through a buffer in pieces that end at `cuts`. Returns the released bytes, whether
/// an incomplete event is left, and whether the events were in order.
fn feed(text: &[u8], cuts: &[usize]) -> (Vec<u8>, bool, bool) {
    let mut buffer = EventBuffer::default();
    let mut released = Vec::new();
    let mut in_order = true;
    let mut last_id: Option<u64> = None;
    let mut from = 0;
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    for end in ends {
        if let Some(batch) = buffer.push(&text[from..end]) {
            assert!(batch.bytes.ends_with(b"\n\n") || batch.bytes.ends_with(b"\r\n\r\n"));
            in_order &= batch.in_order;
            in_order &= last_id
                .zip(batch.first_id)
                .is_none_or(|(last_id, first_id)| last_id + 1 == first_id);
            last_id = batch.last_id.or(last_id);
            released.extend_from_slice(&batch.bytes);
        }
        from = end;
    }
    (released, buffer.is_partial(), in_order)
}

fn stream(events: &[(u64, String)], newline: &str) -> String {
    let event = |(number, data): &(u64, String)| {
        format!("x-weights: 3{newline}id: {number}{newline}data: {data}{newline}{newline}")
    };
    events.iter().map(event).collect()
}

#[test]
fn incomplete_events_are_held_back() {
    let text = stream(&[(1, "a".to_owned()), (2, "b".to_owned())], "\n");
    let cut = &text.as_bytes()[..text.len() - 1];
    let (released, partial, _) = feed(cut, &[3, 9, 20]);
    assert_eq!(released, stream(&[(1, "a".to_owned())], "\n").into_bytes());
    assert!(partial);
}

#[test]
fn missing_duplicate_and_reordered_events_are_detected() {
    for numbers in [[1, 3], [1, 1], [2, 1]] {
        let events = numbers.map(|number| (number, "x".to_owned()));
        let (_, _, in_order) = feed(stream(&events, "\n").as_bytes(), &[]);
        assert!(!in_order, "{numbers:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(
        std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(10_000)
    ))]

    #[test]
    fn streams_pass_unchanged_whatever_the_chunking(
        data in proptest::collection::vec("[ -~]{0,20}", 0..12),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
        carriage in any::<bool>(),
    ) {
        let events: Vec<(u64, String)> = (1..).zip(data).collect();
        let text = stream(&events, if carriage { "\r\n" } else { "\n" });
        let (released, partial, in_order) = feed(text.as_bytes(), &cuts);
        prop_assert_eq!(released, text.into_bytes());
        prop_assert!(!partial && in_order);
    }

    #[test]
    fn arbitrary_bytes_pass_unchanged(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()], 0..200),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let (released, partial, _) = feed(&bytes, &cuts);
        prop_assert!(bytes.starts_with(&released));
        prop_assert_eq!(partial, released.len() < bytes.len());
    }
}
