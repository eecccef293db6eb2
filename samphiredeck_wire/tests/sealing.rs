//! Messages between nodes: forged, altered, truncated, misdirected and replayed ones are refused.

use proptest::prelude::*;
use samphiredeck_core::ids::{ConfigVersion, Incarnation, NodeName, RowVersion};
use samphiredeck_wire::{
    message::{HeartbeatBody, PeerDatagram, PeerRequest},
    seal::{PeerKey, ReplayGuard, SealError, SenderStamp, open, seal},
};

fn node(name: &str) -> NodeName {
    name.parse().expect("a name")
}

fn stamp(incarnation: u64, counter: u64) -> SenderStamp {
    SenderStamp {
        node: node("entry-1"),
        incarnation: Incarnation(incarnation),
        counter,
        receiver: node("entry-2"),
    }
}

fn ping(number: u64) -> PeerDatagram {
    let body = HeartbeatBody {
        version: ConfigVersion(3),
        stage: RowVersion(0),
        load: 7,
        flights: vec![(5, 3, 1)],
        hints: vec![(1, 2)],
        marks: vec!["engine-1".parse().expect("a name")],
        marks_digest: 9,
    };
    PeerDatagram::Ping { number, body }
}

fn key() -> PeerKey {
    PeerKey::derive("a secret of the nodes")
}

#[test]
fn a_message_comes_through_as_it_was() {
    let bytes = seal(&key(), &stamp(1, 1), &ping(5)).expect("encodes");
    let (from, message) = open::<PeerDatagram>(&key(), &node("entry-2"), &bytes).expect("opens");
    assert_eq!((from, message), (stamp(1, 1), ping(5)));
}

#[test]
fn wrong_messages_are_refused_with_their_reason() {
    let bytes = seal(&key(), &stamp(1, 1), &ping(5)).expect("encodes");
    let mut altered = bytes.clone();
    altered[3] ^= 1;
    let cases = [
        ("empty", Vec::new(), SealError::Truncated),
        ("short", bytes[..10].to_vec(), SealError::Truncated),
        ("cut", bytes[..bytes.len() - 1].to_vec(), SealError::Tag),
        ("altered", altered, SealError::Tag),
        (
            "other key",
            seal(&PeerKey::derive("another secret"), &stamp(1, 1), &ping(5)).expect("encodes"),
            SealError::Tag,
        ),
        ("other kind", seal(&key(), &stamp(1, 1), &250_u8).expect("encodes"), SealError::Malformed),
    ];
    for (name, bytes, expected) in cases {
        let opened = open::<PeerDatagram>(&key(), &node("entry-2"), &bytes);
        assert_eq!(opened.expect_err(name), expected, "{name}");
    }
    let opened = open::<PeerDatagram>(&key(), &node("entry-3"), &bytes);
    assert_eq!(opened.expect_err("not for this node"), SealError::Misdirected);
}

#[test]
fn each_counter_is_taken_once_and_old_ones_never() {
    let mut guard = ReplayGuard::default();
    for counter in [10, 12, 11, 75, 74] {
        guard.take(&stamp(1, counter)).expect("fresh");
    }
    for counter in [10, 11, 12, 74, 75, 1] {
        assert_eq!(guard.take(&stamp(1, counter)), Err(SealError::Replayed), "{counter}");
    }
    guard.take(&stamp(2, 1)).expect("a newer run starts over");
    assert_eq!(guard.take(&stamp(1, 900)), Err(SealError::Replayed), "a former run");
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let opened = open::<PeerRequest>(&key(), &node("entry-2"), &bytes);
        prop_assert!(opened.is_err());
    }

    #[test]
    fn any_flipped_bit_is_noticed(at in 0_usize..80, bit in 0_u8..8) {
        let mut bytes = seal(&key(), &stamp(1, 1), &ping(5)).expect("encodes");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(open::<PeerDatagram>(&key(), &node("entry-2"), &bytes).is_err());
    }

    #[test]
    fn no_counter_is_taken_twice(counters in proptest::collection::vec(1_u64..200, 1..300)) {
        let mut guard = ReplayGuard::default();
        let mut taken = Vec::new();
        for counter in counters {
            if guard.take(&stamp(1, counter)).is_ok() {
                prop_assert!(!taken.contains(&counter));
                taken.push(counter);
            }
        }
    }
}
