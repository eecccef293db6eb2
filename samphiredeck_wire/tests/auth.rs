//! Authentication of messages between nodes: forged, altered, truncated, misaddressed and replayed
//! messages are refused.

use proptest::prelude::*;
use samphiredeck_core::ids::{ConfigVersion, Incarnation, NodeName, RowVersion};
use samphiredeck_wire::{
    auth::{AuthError, MessageHeader, PeerKey, ReplayGuard, sign_message, verify_message},
    message::{HeartbeatBody, PeerDatagram, PeerRequest},
};

fn node(name: &str) -> NodeName {
    name.parse().expect("a name")
}

fn header(incarnation: u64, counter: u64) -> MessageHeader {
    MessageHeader {
        node: node("entry-1"),
        incarnation: Incarnation(incarnation),
        counter,
        receiver: node("entry-2"),
    }
}

fn ping(sequence: u64) -> PeerDatagram {
    let body = HeartbeatBody {
        config_version: ConfigVersion(3),
        stage_version: RowVersion(0),
        load: 7,
        in_flight: vec![(5, 3, 1)],
        placement_hints: vec![(1, 2)],
        leaving_upstreams: vec!["engine-1".parse().expect("a name")],
        leaving_digest: 9,
    };
    PeerDatagram::Ping { sequence, body }
}

fn key() -> PeerKey {
    PeerKey::derive("a secret of the nodes")
}

#[test]
fn a_signed_message_verifies_and_decodes() {
    let bytes = sign_message(&key(), &header(1, 1), &ping(5)).expect("encodes");
    let (from, message) =
        verify_message::<PeerDatagram>(&key(), &node("entry-2"), &bytes).expect("verifies");
    assert_eq!((from, message), (header(1, 1), ping(5)));
}

#[test]
fn invalid_messages_are_refused_with_their_reason() {
    let bytes = sign_message(&key(), &header(1, 1), &ping(5)).expect("encodes");
    let mut altered = bytes.clone();
    altered[3] ^= 1;
    let cases = [
        ("empty", Vec::new(), AuthError::Truncated),
        ("short", bytes[..10].to_vec(), AuthError::Truncated),
        ("truncated tag", bytes[..bytes.len() - 1].to_vec(), AuthError::TagMismatch),
        ("altered", altered, AuthError::TagMismatch),
        (
            "other key",
            sign_message(&PeerKey::derive("another secret"), &header(1, 1), &ping(5))
                .expect("encodes"),
            AuthError::TagMismatch,
        ),
        (
            "other type",
            sign_message(&key(), &header(1, 1), &250_u8).expect("encodes"),
            AuthError::Malformed,
        ),
    ];
    for (name, bytes, expected) in cases {
        let verified = verify_message::<PeerDatagram>(&key(), &node("entry-2"), &bytes);
        assert_eq!(verified.expect_err(name), expected, "{name}");
    }
    let verified = verify_message::<PeerDatagram>(&key(), &node("entry-3"), &bytes);
    assert_eq!(verified.expect_err("not for this node"), AuthError::WrongReceiver);
}

#[test]
fn counters_are_accepted_once_and_only_within_the_replay_window() {
    let mut guard = ReplayGuard::default();
    for counter in [10, 12, 11, 75, 74] {
        guard.accept(&header(1, counter)).expect("fresh");
    }
    for counter in [10, 11, 12, 74, 75, 1] {
        assert_eq!(guard.accept(&header(1, counter)), Err(AuthError::Replayed), "{counter}");
    }
    guard.accept(&header(2, 1)).expect("a newer incarnation starts over");
    assert_eq!(guard.accept(&header(1, 900)), Err(AuthError::Replayed), "a former incarnation");
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let verified = verify_message::<PeerRequest>(&key(), &node("entry-2"), &bytes);
        prop_assert!(verified.is_err());
    }

    #[test]
    fn any_flipped_bit_is_refused(at in 0_usize..80, bit in 0_u8..8) {
        let mut bytes = sign_message(&key(), &header(1, 1), &ping(5)).expect("encodes");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(verify_message::<PeerDatagram>(&key(), &node("entry-2"), &bytes).is_err());
    }

    #[test]
    fn no_counter_is_accepted_twice(counters in proptest::collection::vec(1_u64..200, 1..300)) {
        let mut guard = ReplayGuard::default();
        let mut accepted = Vec::new();
        for counter in counters {
            if guard.accept(&header(1, counter)).is_ok() {
                prop_assert!(!accepted.contains(&counter));
                accepted.push(counter);
            }
        }
    }
}
