//! Which node acts for the whole system.
//!
//! Answers a platform that does not check who acts: the holder counts its lease from before it
//! sent the renewal and stops a flight's length before its end, and a successor waits from the
//! last change that it saw for the lease, the flight and a guard. Each holder has a higher number.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    ids::{FenceNumber, Incarnation, NodeName, RowVersion},
};

/// Time between renewals: three may fail before the lease ends.
pub const DUTY_RENEW: Duration = Duration::from_millis(800);
/// Longest time that an order or a report may be under way. Its connection is ended then.
pub const DUTY_FLIGHT: Duration = Duration::from_millis(800);
/// Time that a successor waits beyond lease and flight, for clocks that run at different speeds.
const DUTY_GUARD: Duration = Duration::from_millis(700);

/// Content of the row that names the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Node that holds the duty.
    pub holder: NodeName,
    /// Run of that node.
    pub incarnation: Incarnation,
    /// Address of that node for others. A later run that is bound to the same one knows that the
    /// run before has ended.
    pub address: SocketAddr,
    /// Higher than that of all holders before.
    pub fence: FenceNumber,
    /// Counts the renewals, so that each one changes the row.
    pub renewals: u64,
}

/// What a node does next about the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyStep {
    /// Nothing.
    Wait,
    /// Write this record if the row still has this version.
    Write(DutyRecord, RowVersion),
}

/// Row as it was read last.
#[derive(Clone, Debug)]
struct SeenRecord {
    record: Option<DutyRecord>,
    version: RowVersion,
    /// Time of the first read that showed `version`.
    since: BootTime,
    /// Whether a write of this node may have changed the row since. Nothing is decided before the
    /// row is read again.
    doubtful: bool,
}

/// Duty as one node sees it.
#[derive(Clone, Debug)]
pub struct DutyLease {
    node: NodeName,
    address: SocketAddr,
    /// Nothing until the node knows which of its runs this is.
    incarnation: Option<Incarnation>,
    length: Duration,
    seen: Option<SeenRecord>,
    /// Number under which this node holds the duty and the time before its last renewal was sent.
    held: Option<(FenceNumber, BootTime)>,
}

impl DutyLease {
    /// Starts without a view of the row, for a node that is bound to `address`. Holders keep the duty for `length` after a renewal.
    #[must_use]
    pub fn new(node: NodeName, address: SocketAddr, length: Duration) -> Self {
        Self { node, address, incarnation: None, length, seen: None, held: None }
    }

    /// Takes in which run of the node this is.
    pub fn identify(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
    }

    /// Takes in the row as read at `now`. A read that was overtaken by a newer one changes nothing.
    pub fn observe(&mut self, record: Option<DutyRecord>, version: RowVersion, now: BootTime) {
        if self.seen.as_ref().is_some_and(|seen| version < seen.version) {
            return;
        }
        let own = record.as_ref().is_some_and(|record| self.is_own(record));
        if !own {
            self.held = None;
        }
        let known = self.seen.as_ref().filter(|seen| seen.version == version);
        let since = known.map_or(now, |seen| seen.since);
        self.seen = Some(SeenRecord { record, version, since, doubtful: false });
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.holder == self.node && Some(record.incarnation) == self.incarnation
    }

    /// Notes that `record`, sent at `sent_at`, was written as version `version`.
    pub fn note_written(&mut self, record: DutyRecord, version: RowVersion, sent_at: BootTime) {
        self.held = Some((record.fence, sent_at));
        let (record, since) = (Some(record), sent_at);
        self.seen = Some(SeenRecord { record, version, since, doubtful: false });
    }

    /// Doubts the view of the row after a write whose outcome is unknown. A lease that is held
    /// runs on to its end, which no lost answer can bring forward. If the next read shows the row
    /// unchanged, the write has not been carried out, and never will be once another one was: all
    /// that was waited until then counts on.
    pub fn doubt_view(&mut self) {
        if let Some(seen) = &mut self.seen {
            seen.doubtful = true;
        }
    }

    /// Whether the row has to be read before anything can be decided.
    #[must_use]
    pub fn needs_view(&self) -> bool {
        self.seen.as_ref().is_none_or(|seen| seen.doubtful)
    }

    /// Decides what to do at `now`.
    #[must_use]
    pub fn next_step(&self, now: BootTime) -> DutyStep {
        let (Some(seen), Some(incarnation)) = (&self.seen, self.incarnation) else {
            return DutyStep::Wait;
        };
        if seen.doubtful {
            return DutyStep::Wait;
        }
        let first = |fence: FenceNumber| {
            let holder = self.node.clone();
            let record =
                DutyRecord { holder, incarnation, address: self.address, fence, renewals: 0 };
            DutyStep::Write(record, seen.version)
        };
        let Some(record) = &seen.record else { return first(FenceNumber(1)) };
        if self.is_own(record) {
            let renewed_at = self.held.map_or(seen.since, |(_, at)| at);
            if now.since(renewed_at) < DUTY_RENEW {
                return DutyStep::Wait;
            }
            let renewed = DutyRecord { renewals: record.renewals + 1, ..record.clone() };
            return DutyStep::Write(renewed, seen.version);
        }
        // Of an earlier run of this node only what was under way when it ended can still arrive.
        let former = record.holder == self.node && record.address == self.address;
        let wait = if former { DUTY_FLIGHT } else { self.length + DUTY_FLIGHT + DUTY_GUARD };
        if now.since(seen.since) < wait {
            return DutyStep::Wait;
        }
        first(record.fence.next())
    }

    /// Number under which this node may act at `now`, if it may.
    #[must_use]
    pub fn fence(&self, now: BootTime) -> Option<FenceNumber> {
        let (fence, renewed_at) = self.held?;
        (now.since(renewed_at) + DUTY_FLIGHT < self.length).then_some(fence)
    }

    /// Holder as read last.
    #[must_use]
    pub fn holder(&self) -> Option<&DutyRecord> {
        self.seen.as_ref()?.record.as_ref()
    }
}
