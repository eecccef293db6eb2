//! Bytes of messages as the build c92ee96 encodes them. Nodes of that build and of this one run side by side
//! while one replaces the other, so each must decode what the other sends.

use std::fmt::Debug;

use postcard::{from_bytes, to_stdvec};
use samphiredeck_core::{
    forward::{
        clock::ClockOffset,
        load_view::LoadSums,
        members::NodeHeartbeat,
        rollout::{ExposureCounts, RolloutReport, phases::RolloutPhase},
        store_readers::StoreStatus,
        stream_origins::StreamOrigin,
        suspects::exchange::{PublishedSuspects, SharedProof, SuspectUpdate},
        upstream_limit::exchange::SharedLimit,
        usage::{WindowCounts, WindowIndex},
    },
    ids::{AttemptKey, Incarnation, RowVersion, SuspectKey},
};
use samphiredeck_wire::{
    forward::{
        ForwardDatagram, LimitMessage, LoadMessage, RelayedMembers, RolloutMessage, SlotMessage,
        SpeedMessage,
    },
    tunnel::{TunnelPurpose, TunnelReply, TunnelRequest},
};
use serde::{Serialize, de::DeserializeOwned};

/// What it encodes [`datagrams`] as.
const DATAGRAMS: [&str; 24] = [
    "00ac02036f6e65000000000000044001",
    "01ac02",
    "02ac0228",
    "03ac02",
    "04036f6e65000000000000f03f",
    "05ac020102",
    "06ac020000",
    "07ac020c03",
    "08ac0204020102",
    "09ac0203f2c001010d00011200000a000001b03b0161f0ab010006",
    "0aac020601",
    "0bac024d0002c0bb0101c2bb0100",
    "0ca6a1919a81c784b0b2bcae8adcfdc5eb9c92010276320104706f6f6c09",
    "0dac02a6a1919a81c784b0b2bcae8adcfdc5eb9c92010104706f6f6c",
    "0eac02010276320104706f6f6c",
    "0f",
    "10",
    "11",
    "120a00019cf5e0ef87b4f59dc8011e",
    "1308",
    "14ac029cf5e0ef87b4f59dc801019cf5e0ef87b4f59dc801",
    "15ac0201",
    "169cf5e0ef87b4f59dc801",
    "1700010275310111000806",
];
/// What it encodes [`tunnel_replies`] as.
const TUNNEL_REPLIES: [&str; 7] = ["00", "0101", "02", "03", "04ac02", "05", "06"];
/// What it encodes [`tunnel_requests`] as.
const TUNNEL_REQUESTS: [&str; 2] = ["027531011100", "027531011101"];

/// One message of each kind that the build knows, in the order of their kinds.
fn datagrams() -> Vec<ForwardDatagram> {
    let heartbeat = NodeHeartbeat {
        incarnation: Incarnation(3),
        beat_ms: 12_345,
        offset_ms: Some(-7),
        counted_to_ms: None,
        windows: vec![WindowCounts::new(WindowIndex(9))],
        peer: "10.0.0.1:7600".parse().unwrap(),
        domain: "a".parse().unwrap(),
        since_ms: 11_000,
        demand: Vec::new(),
    };
    let members = RelayedMembers {
        digest: 77,
        delta: None,
        remaining: 2,
        observed_ms: 12_000,
        store_ms: Some(12_001),
        offset: None::<ClockOffset>,
    };
    let origin =
        StreamOrigin { software: "v2".to_owned().into(), pool: Some("pool".parse().unwrap()) };
    let published = PublishedSuspects {
        written_ms: 5,
        update: SuspectUpdate {
            reports: Vec::new(),
            proofs: vec![SharedProof { key: SuspectKey::of_part("p4"), age_ms: 30 }],
        },
    };
    let limit = SharedLimit {
        upstream: "u1".parse().unwrap(),
        started_ms: Some(17),
        rate: None,
        sent_age_ms: 8,
        read_age_ms: 6,
    };
    let (query_id, workspace) = (300, "one".parse().unwrap());
    let attempt = AttemptKey::of("a5");
    let pools = vec!["pool".parse().unwrap()];
    vec![
        ForwardDatagram::AcquireUnits { query_id, workspace, units: 2.5, failover: true },
        ForwardDatagram::Granted { query_id },
        ForwardDatagram::OverLimit { query_id, wait_ms: 40 },
        ForwardDatagram::Declined { query_id },
        ForwardDatagram::ReleaseUnits { workspace: "one".parse().unwrap(), units: 1.0 },
        ForwardDatagram::QueryStoreStatus { query_id, list_digest: 1, skip: 2 },
        ForwardDatagram::StoreStatus { query_id, store_status: StoreStatus::default() },
        ForwardDatagram::QueryConfig { query_id, row: RowVersion(12), skip: 3 },
        ForwardDatagram::ConfigPart { query_id, size: 4, bytes: vec![1, 2] },
        ForwardDatagram::Heartbeat { query_id, heartbeat, members_digest: 6 },
        ForwardDatagram::QueryMembers { query_id, members_digest: 6, skip: 1 },
        ForwardDatagram::MemberStatus { query_id, members },
        ForwardDatagram::AnnounceOrigin { attempt, origin: origin.clone(), lifetime_ms: 9 },
        ForwardDatagram::QueryOrigin { query_id, attempt, pools },
        ForwardDatagram::OriginStatus { query_id, origin: Some(origin) },
        ForwardDatagram::Ping,
        ForwardDatagram::Pong,
        ForwardDatagram::NotEligible,
        ForwardDatagram::AnnounceSuspects { published },
        ForwardDatagram::QuerySuspects { digest: 8 },
        ForwardDatagram::AcquireTrial {
            query_id,
            key: SuspectKey::of_part("p4"),
            keys: vec![SuspectKey::of_part("p4")],
        },
        ForwardDatagram::TrialDecision { query_id, granted: true },
        ForwardDatagram::ReleaseTrial { key: SuspectKey::of_part("p4") },
        ForwardDatagram::Limits(LimitMessage::Announce { limits: vec![limit] }),
    ]
}

fn tunnel_replies() -> Vec<TunnelReply> {
    vec![
        TunnelReply::Connected,
        TunnelReply::Down { refused: true },
        TunnelReply::NoPath,
        TunnelReply::Leaving,
        TunnelReply::Paused { wait_ms: 300 },
        TunnelReply::Unknown,
        TunnelReply::Busy,
    ]
}

fn tunnel_requests() -> Vec<TunnelRequest> {
    let request =
        |purpose| TunnelRequest { upstream: "u1".parse().unwrap(), started_ms: Some(17), purpose };
    vec![request(TunnelPurpose::Request), request(TunnelPurpose::Check)]
}

fn to_digit(value: u8) -> char {
    char::from_digit(value.into(), 16).unwrap()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]).map(to_digit).collect()
}

fn to_bytes(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(pair).collect()
}

/// Checks that `messages` are encoded as `recorded`, and decoded from it.
fn check<T: Serialize + DeserializeOwned + Debug + PartialEq>(messages: &[T], recorded: &[&str]) {
    assert_eq!(messages.len(), recorded.len());
    for (message, hex) in messages.iter().zip(recorded) {
        assert_eq!(to_hex(&to_stdvec(message).unwrap()), *hex, "{message:?}");
        assert_eq!(from_bytes::<T>(&to_bytes(hex)).as_ref(), Ok(message));
    }
}

#[test]
fn messages_of_the_build_before_are_understood_and_sent_alike() {
    check(&datagrams(), &DATAGRAMS);
    check(&tunnel_replies(), &TUNNEL_REPLIES);
    check(&tunnel_requests(), &TUNNEL_REQUESTS);
}

/// Kinds are numbered from zero. New ones come last, so that older builds refuse them and nothing else.
#[test]
fn kinds_of_later_builds_are_refused() {
    let pools = Vec::new();
    let slots = ForwardDatagram::Slots(SlotMessage::Announce { pools });
    let speeds = ForwardDatagram::Speeds(SpeedMessage::Announce { speeds: Vec::new() });
    let loads = ForwardDatagram::Loads(LoadMessage::Node { sums: LoadSums::default() });
    let report = RolloutReport {
        pool: "pool".parse().unwrap(),
        order: RowVersion(7),
        asked_ms: 5,
        phase: RolloutPhase::Probing,
        counts: ExposureCounts::default(),
        base_in_flight: 0,
        routes: Vec::new(),
    };
    let incarnation = Incarnation(3);
    let rollouts = ForwardDatagram::Rollouts(RolloutMessage::Report { incarnation, report });
    let count = u8::try_from(DATAGRAMS.len()).unwrap();
    for (kind, datagram) in (count..).zip([slots, speeds, loads, rollouts]) {
        assert_eq!(to_stdvec(&datagram).unwrap()[0], kind);
    }
    let replies = u8::try_from(TUNNEL_REPLIES.len()).unwrap();
    assert_eq!(to_stdvec(&TunnelReply::NoPathToPool).unwrap(), [replies]);
    for kind in [count + 4, 100, 127] {
        from_bytes::<ForwardDatagram>(&[kind, 0, 0, 0]).unwrap_err();
        from_bytes::<TunnelReply>(&[kind, 0, 0, 0]).unwrap_err();
    }
}
