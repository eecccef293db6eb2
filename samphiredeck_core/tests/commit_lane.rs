//! Contract of the commit lane: an operation gets an outcome only once that outcome is certain,
//! also when replies are lost.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use samphiredeck_core::{
    group_commit::{CommitLane, CommitOperation, CommitReply, OperationId, OperationOutcome},
    ids::{Incarnation, RowVersion},
    platform_api::{RowCondition, RowWrite, TableTransaction, TransactionOutcome, VersionedRow},
    rows::{MemberRow, member_key},
};

/// In-memory table that commits transactions like the platform.
#[derive(Default)]
struct MemoryTable {
    rows: Vec<VersionedRow>,
    last_version: u64,
}

impl MemoryTable {
    fn read(&self, key: &str) -> VersionedRow {
        let found = self.rows.iter().find(|row| row.key == key).cloned();
        found.unwrap_or(VersionedRow { key: key.to_owned(), version: RowVersion(0), value: None })
    }

    fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let failed: Vec<VersionedRow> = transaction
            .conditions
            .iter()
            .map(|condition| (condition.version, self.read(&condition.key)))
            .filter(|(version, row)| *version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { rows: failed };
        }
        self.last_version += 1;
        for write in &transaction.writes {
            self.rows.retain(|row| row.key != write.key);
            if let Some(value) = &write.value {
                let (key, value) = (write.key.clone(), Some(value.clone()));
                self.rows.push(VersionedRow { key, version: RowVersion(self.last_version), value });
            }
        }
        TransactionOutcome::Committed { version: RowVersion(self.last_version) }
    }
}

fn member(incarnation: u64) -> MemberRow {
    MemberRow {
        node: "entry-1".parse().expect("valid name"),
        incarnation: Incarnation(incarnation),
        domain: "suva-a".parse().expect("valid name"),
        peer_address: "127.0.0.1:1".to_owned(),
        caller_address: "127.0.0.1:2".to_owned(),
        transaction: 0,
        lapsed: false,
        lapsed_at: 0,
    }
}

fn operation(number: u64, key: &str, now: Instant) -> CommitOperation {
    CommitOperation {
        id: OperationId(number),
        conditions: vec![RowCondition { key: key.to_owned(), version: RowVersion(0) }],
        writes: vec![RowWrite { key: key.to_owned(), value: Some(number.to_string()) }],
        give_up_at: now + Duration::from_secs(60),
    }
}

fn new_lane() -> CommitLane {
    let mut lane = CommitLane::new(member(7));
    lane.register(RowVersion(0));
    lane
}

/// Delivery of one transaction and of its reply.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    Refused,
    RequestLost,
    ReplyLost,
}

/// Runs the lane until it is settled: with the given deliveries first, then without losses.
fn run_until_settled(
    lane: &mut CommitLane,
    table: &mut MemoryTable,
    deliveries: &[Delivery],
    now: &mut Instant,
) -> Vec<(OperationId, OperationOutcome)> {
    let mut outcomes = Vec::new();
    let mut deliveries = deliveries.iter();
    for _ in 0..500 {
        *now += Duration::from_secs(3);
        let Some(transaction) = lane.poll(*now) else {
            if lane.is_settled() {
                break;
            }
            continue;
        };
        let reply = match deliveries.next().unwrap_or(&Delivery::Answered) {
            Delivery::Answered => CommitReply::Decided(table.commit(&transaction)),
            Delivery::Refused => CommitReply::Refused,
            Delivery::RequestLost => CommitReply::Unknown,
            Delivery::ReplyLost => {
                table.commit(&transaction);
                CommitReply::Unknown
            }
        };
        outcomes.extend(lane.on_reply(reply, *now, 0.5));
        if lane.is_settled() && deliveries.len() == 0 {
            break;
        }
    }
    outcomes
}

#[test]
fn a_lost_reply_is_resolved_before_an_outcome_is_reported() {
    let cases = [
        ("answered", vec![Delivery::Answered]),
        ("refused", vec![Delivery::Refused]),
        ("request lost", vec![Delivery::RequestLost]),
        ("reply lost", vec![Delivery::ReplyLost]),
        ("reply lost, probe request lost", vec![Delivery::ReplyLost, Delivery::RequestLost]),
        ("reply lost, probe reply lost", vec![Delivery::ReplyLost, Delivery::ReplyLost]),
        ("request lost, probe reply lost", vec![Delivery::RequestLost, Delivery::ReplyLost]),
        ("all replies lost", vec![Delivery::ReplyLost; 6]),
        ("all requests lost", vec![Delivery::RequestLost; 6]),
    ];
    for (name, deliveries) in cases {
        let mut now = Instant::now();
        let (mut lane, mut table) = (new_lane(), MemoryTable::default());
        lane.enqueue(operation(1, "claim/a", now)).expect("queue has room");
        let outcomes = run_until_settled(&mut lane, &mut table, &deliveries, &mut now);
        assert_eq!(outcomes.len(), 1, "{name}: {outcomes:?}");
        assert!(matches!(outcomes[0].1, OperationOutcome::Committed(_)), "{name}: {outcomes:?}");
        assert_eq!(table.read("claim/a").value.as_deref(), Some("1"), "{name}");
    }
}

#[test]
fn a_conflict_fails_only_the_operation_that_it_belongs_to() {
    let mut now = Instant::now();
    let (mut lane, mut table) = (new_lane(), MemoryTable::default());
    table.commit(&TableTransaction {
        conditions: Vec::new(),
        writes: vec![RowWrite { key: "claim/taken".to_owned(), value: Some("x".to_owned()) }],
    });
    for (number, key) in [(1, "claim/a"), (2, "claim/taken"), (3, "claim/b")] {
        lane.enqueue(operation(number, key, now)).expect("queue has room");
    }
    let mut outcomes = run_until_settled(&mut lane, &mut table, &[], &mut now);
    outcomes.sort_by_key(|(id, _)| *id);
    assert!(matches!(outcomes[0].1, OperationOutcome::Committed(_)));
    assert!(
        matches!(&outcomes[1].1, OperationOutcome::Conflict(rows) if rows[0].key == "claim/taken")
    );
    assert!(matches!(outcomes[2].1, OperationOutcome::Committed(_)));
}

#[test]
fn an_operation_sees_the_effect_of_an_earlier_one_on_the_same_row() {
    let mut now = Instant::now();
    let (mut lane, mut table) = (new_lane(), MemoryTable::default());
    lane.enqueue(operation(1, "claim/a", now)).expect("queue has room");
    lane.enqueue(operation(2, "claim/a", now)).expect("queue has room");
    let outcomes = run_until_settled(&mut lane, &mut table, &[], &mut now);
    assert!(matches!(outcomes[0].1, OperationOutcome::Committed(_)));
    assert!(matches!(outcomes[1].1, OperationOutcome::Conflict(_)));
}

#[test]
fn an_expelled_node_writes_nothing() {
    for lost in [false, true] {
        let mut now = Instant::now();
        let (mut lane, mut table) = (new_lane(), MemoryTable::default());
        run_until_settled(&mut lane, &mut table, &[], &mut now);
        let key = member_key(&member(7).node);
        let taken = MemberRow { lapsed: true, ..lane.member().clone() };
        table.commit(&TableTransaction {
            conditions: Vec::new(),
            writes: vec![RowWrite { key, value: serde_json::to_string(&taken).ok() }],
        });
        lane.enqueue(operation(1, "claim/a", now)).expect("queue has room");
        let deliveries = if lost { vec![Delivery::ReplyLost] } else { Vec::new() };
        let outcomes = run_until_settled(&mut lane, &mut table, &deliveries, &mut now);
        assert_eq!(outcomes, [(OperationId(1), OperationOutcome::NotCommitted)]);
        assert!(lane.is_expelled());
        assert_eq!(table.read("claim/a").value, None);
        assert!(!lane.lease().is_valid(now), "an expelled node holds no lease");
    }
}

#[test]
fn leaving_deletes_the_member_row_even_if_the_reply_is_lost() {
    for deliveries in [vec![], vec![Delivery::ReplyLost], vec![Delivery::RequestLost]] {
        let mut now = Instant::now();
        let (mut lane, mut table) = (new_lane(), MemoryTable::default());
        run_until_settled(&mut lane, &mut table, &[], &mut now);
        lane.enqueue(operation(1, "usage/a", now)).expect("queue has room");
        lane.begin_leave();
        let outcomes = run_until_settled(&mut lane, &mut table, &deliveries, &mut now);
        assert!(matches!(outcomes[0].1, OperationOutcome::Committed(_)), "{outcomes:?}");
        assert!(lane.has_left());
        assert_eq!(table.read(&member_key(&member(7).node)).version, RowVersion(0));
    }
}

#[test]
fn the_lease_counts_from_before_the_renewal_was_sent() {
    let sent = Instant::now();
    let (mut lane, mut table) = (new_lane(), MemoryTable::default());
    let transaction = lane.poll(sent).expect("the first renewal is due");
    let outcome = table.commit(&transaction);
    lane.on_reply(CommitReply::Decided(outcome), sent + Duration::from_secs(5), 0.5);
    assert!(lane.lease().is_valid(sent + Duration::from_secs(5)));
    assert!(!lane.lease().is_valid(sent + Duration::from_secs(6)));
}

proptest! {
    #[test]
    fn outcomes_agree_with_the_table(
        deliveries in proptest::collection::vec(0_u8..4, 0..12),
        keys in proptest::collection::vec(0_u8..4, 1..12),
    ) {
        let deliveries: Vec<Delivery> = deliveries
            .into_iter()
            .map(|delivery| match delivery {
                0 => Delivery::Answered,
                1 => Delivery::Refused,
                2 => Delivery::RequestLost,
                _ => Delivery::ReplyLost,
            })
            .collect();
        let mut now = Instant::now();
        let (mut lane, mut table) = (new_lane(), MemoryTable::default());
        for (number, key) in keys.iter().enumerate() {
            let operation = operation(number as u64, &format!("claim/{key}"), now);
            lane.enqueue(operation).expect("queue has room");
        }
        let outcomes = run_until_settled(&mut lane, &mut table, &deliveries, &mut now);
        prop_assert_eq!(outcomes.len(), keys.len());
        for (id, outcome) in outcomes {
            let key = format!("claim/{}", keys[usize::try_from(id.0).expect("small")]);
            let own = table.read(&key).value.as_deref() == Some(id.0.to_string().as_str());
            prop_assert_eq!(matches!(outcome, OperationOutcome::Committed(_)), own);
        }
    }
}
