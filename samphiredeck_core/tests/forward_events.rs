//! Tests of splitting event streams into complete events.

use bytes::Bytes;
use proptest::prelude::*;
use samphiredeck_core::forward::{
    event_order::{EventGate, ResumePoint},
    events::{EventBatch, EventBuffer},
};

/// Passes `text` through a buffer and a gate in pieces that end at `cuts`. Returns the events released by
/// the buffer, whether an incomplete one is left, and whether the gate has released all of them in order.
fn feed(text: &[u8], cuts: &[usize]) -> (Vec<u8>, bool, bool) {
    let mut buffer = EventBuffer::default();
    let mut gate = EventGate::after(None);
    let mut released = Vec::new();
    let mut passed = Vec::new();
    let mut in_order = true;
    let mut from = 0;
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    for end in ends {
        if let Some(batch) = buffer.push(&text[from..end]) {
            assert!(batch.bytes.ends_with(b"\n\n") || batch.bytes.ends_with(b"\r\n\r\n"));
            released.extend_from_slice(&batch.bytes);
            match gate.push(batch) {
                Ok(bytes) => passed.extend_from_slice(&bytes),
                Err(_) => in_order = false,
            }
        }
        from = end;
    }
    in_order &= !gate.is_holding() && passed == released;
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
    let cases: [&[u64]; 9] = [
        &[1, 2, 4, 6],
        &[1, 3],
        &[1, 1],
        &[2, 1],
        &[1, 3, 4],
        &[1, 2, 4, 5],
        &[2, 4, 8],
        &[2, 4, 6, 7],
        &[2, 4, 6, 10, 14],
    ];
    for numbers in cases {
        let events: Vec<_> = numbers.iter().map(|number| (*number, "x".to_owned())).collect();
        let text = stream(&events, "\n");
        let single = text.len() / numbers.len();
        for cuts in [vec![], (1..numbers.len()).map(|count| count * single).collect()] {
            let (_, _, in_order) = feed(text.as_bytes(), &cuts);
            assert!(!in_order, "{numbers:?} {cuts:?}");
        }
    }
}

#[test]
fn no_event_after_a_lost_one_is_released() {
    let batch = |id: u64| EventBatch { bytes: Bytes::from(format!("{id},")), ids: vec![Some(id)] };
    let mut gate = EventGate::after(None);
    assert_eq!(gate.push(batch(1)).unwrap(), "1,");
    // 2 is lost.
    assert_eq!(gate.push(batch(3)).unwrap(), "");
    gate.push(batch(4)).unwrap_err();
    gate.rewind();
    assert_eq!(gate.resume_point(), Some(ResumePoint { last_id: Some(1) }));
    assert_eq!(gate.push(batch(2)).unwrap(), "2,");
    // 3 is lost.
    gate.push(batch(4)).unwrap_err();
    gate.rewind();
    assert_eq!(gate.push(batch(3)).unwrap(), "3,");
}

#[test]
fn streams_with_another_step_are_released_and_resumed() {
    let batch = |id: u64| EventBatch { bytes: Bytes::from(format!("{id},")), ids: vec![Some(id)] };
    let mut gate = EventGate::after(Some(4));
    assert_eq!(gate.push(batch(6)).unwrap(), "");
    assert_eq!(gate.resume_point(), Some(ResumePoint { last_id: Some(4) }));
    assert_eq!(gate.push(batch(8)).unwrap(), "6,8,");
    assert_eq!(gate.push(batch(10)).unwrap(), "10,");
    gate.rewind();
    assert_eq!(gate.push(batch(12)).unwrap(), "12,");
    gate.push(batch(13)).unwrap_err();
}

/// Guards against a gate that holds events without a bound while their order is not known.
#[test]
fn events_of_unknown_order_are_held_up_to_a_bound() {
    let mut gate = EventGate::after(None);
    let batch = |ids: Vec<Option<u64>>| EventBatch { bytes: Bytes::from(vec![b'x'; 1_000]), ids };
    assert_eq!(gate.push(batch(vec![Some(5)])).unwrap().len(), 1_000);
    assert!(gate.push(batch(vec![Some(15)])).unwrap().is_empty());
    let held = (0..2_000).take_while(|number| gate.push(batch(vec![None; number % 2])).is_ok());
    assert!((500..1_100).contains(&held.count()));
    // Up to there, the event that shows the step releases all.
    let mut gate = EventGate::after(None);
    gate.push(batch(vec![Some(5)])).unwrap();
    gate.push(batch(vec![Some(15)])).unwrap();
    for _ in 0..900 {
        gate.push(batch(vec![None])).unwrap();
    }
    assert_eq!(gate.push(batch(vec![Some(25)])).unwrap().len(), 902_000);
}

#[test]
fn events_without_an_id_are_told_apart() {
    let cases: [(&str, &[Option<u64>]); 7] = [
        ("id: 1\ndata: a\n\ndata: b\n\nid:3\n\n", &[Some(1), None, Some(3)]),
        (": comment\n\n", &[]),
        (": comment\n\nid: 4\r\n\r\n", &[Some(4)]),
        ("data: a\nid: x\n\n", &[None]),
        ("id: 5\ndata: a\n: comment\n\n\n", &[Some(5)]),
        ("x-weights: 3\nid: 6\ndata: id: 7\n\n", &[Some(6)]),
        ("HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\n", &[None]),
    ];
    for (text, ids) in cases {
        let batch = EventBuffer::default().push(text.as_bytes()).unwrap();
        assert_eq!(batch.ids, ids, "{text:?}");
    }
}

#[test]
fn stream_is_not_resumed_after_an_event_without_an_id() {
    let batch = |id: Option<u64>| EventBatch { bytes: Bytes::from("x"), ids: vec![id] };
    let mut gate = EventGate::after(None);
    assert_eq!(gate.resume_point(), Some(ResumePoint { last_id: None }));
    gate.push(batch(None)).unwrap();
    assert_eq!(gate.resume_point(), None);
    gate.push(batch(Some(1))).unwrap();
    assert_eq!(gate.resume_point(), Some(ResumePoint { last_id: Some(1) }));
    gate.push(batch(None)).unwrap();
    gate.rewind();
    assert_eq!(gate.resume_point(), None);
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
