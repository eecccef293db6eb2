//! Leader election: which node acts on behalf of the cluster. The store, logs, and metrics call
//! this role the duty.
//!
//! The platform does not check which node calls it, so two leaders must never act at the same time.
//! The leader measures its lease from before it sent the last renewal, and stops acting one call
//! timeout before the lease ends. A successor waits for the lease, the call timeout, and a safety
//! margin after the last change that it observed. Each leader has a higher fencing token than all
//! before it.
//!
//! A store that returns from an older copy may have lost the row, or name a leader of before. In a new era nobody
//! holds the lease, each node waits as a successor does, and fencing tokens are above those of earlier eras.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    forward::store_eras::StoreEra,
    ids::{FencingToken, Incarnation, NodeName, RowVersion},
};

/// Interval between renewals. Three may fail before the lease ends.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// Timeout of orders and reports that the leader sends. The connection is closed when it expires.
pub const LEADER_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Additional time that a successor waits, for clocks that run at different rates.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(700);
/// Additional time that a node waits in a new era unless it held the lease of before. The one that did knows what was
/// reported, and notices the era with its next renewal.
const PRECEDENCE_MARGIN: Duration = Duration::from_millis(1_500);

/// Content of the store's row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node that holds the lease.
    pub holder: NodeName,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Peer address of that node. A later incarnation bound to the same address can conclude that
    /// the earlier one has ended.
    pub address: SocketAddr,
    /// Fencing token, higher than that of all previous leaders.
    pub fence: FencingToken,
    /// Number of renewals, so that each one changes the row.
    pub renewals: u64,
}

/// Next action of a node regarding the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderStep {
    /// Do nothing.
    Wait,
    /// Write this record if the row still has this version.
    Write(LeaderRecord, RowVersion),
}

/// Row as it was last read.
#[derive(Clone, Debug)]
struct ObservedRecord {
    record: Option<LeaderRecord>,
    /// Era of the store that returned the row.
    era: StoreEra,
    version: RowVersion,
    /// Time of the first read that showed `version` in `era`.
    since: BootTime,
    /// Time by which the last answer that showed it had been received.
    read_at: BootTime,
    /// Whether a write of this node may have changed the row since. Nothing is decided until the
    /// row has been read again.
    uncertain: bool,
}

/// Span in which no other node can have acted as the leader.
#[derive(Clone, Copy, Debug)]
struct LeaderTenure {
    since: BootTime,
    /// Era up to which the span is known to go on.
    era: StoreEra,
}

/// One node's view of the leader lease.
#[derive(Clone, Debug)]
pub struct LeaderLease {
    node: NodeName,
    address: SocketAddr,
    /// Incarnation of this node, once known.
    incarnation: Option<Incarnation>,
    lease_time: Duration,
    observed: Option<ObservedRecord>,
    /// Fencing token under which this node holds the lease, and the time before its last renewal
    /// was sent.
    held: Option<(FencingToken, BootTime)>,
    tenure: Option<LeaderTenure>,
}

impl LeaderLease {
    /// Creates a lease without any view of the row, for a node bound to `address`. A renewal
    /// extends the lease by `lease_time`.
    #[must_use]
    pub fn new(node: NodeName, address: SocketAddr, lease_time: Duration) -> Self {
        Self {
            node,
            address,
            incarnation: None,
            lease_time,
            observed: None,
            held: None,
            tenure: None,
        }
    }

    /// Sets the incarnation of this node.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
    }

    /// Updates the view with the row as read from the store in `era` at `now`. Reads that are older than the view
    /// are ignored.
    pub fn observe(
        &mut self,
        record: Option<LeaderRecord>,
        (era, version): (StoreEra, RowVersion),
        now: BootTime,
    ) {
        let known = self.observed.as_ref();
        if known.is_some_and(|known| (era, version) < (known.era, known.version)) {
            return;
        }
        self.update_tenure(record.as_ref(), era, now);
        let own = record.as_ref().is_some_and(|record| self.is_own(record, era));
        if !own {
            self.held = None;
        }
        let known = self.observed.as_ref();
        let known = known.filter(|known| (known.era, known.version) == (era, version));
        let since = known.map_or(now, |observed| observed.since);
        let read_at = now;
        self.observed =
            Some(ObservedRecord { record, era, version, since, read_at, uncertain: false });
    }

    /// Ends or extends the tenure after the row was read in `era`. In a new era, a successor waits for longer than a
    /// lease from its first read on, so that nobody can have acted while the lease of before was still valid.
    fn update_tenure(&mut self, record: Option<&LeaderRecord>, era: StoreEra, now: BootTime) {
        let is_valid = self.fence(now).is_some();
        let names_other =
            record.is_some_and(|record| record.fence.era() == era && !self.is_own(record, era));
        let Some(tenure) = &mut self.tenure else { return };
        if names_other || (tenure.era != era && !is_valid) {
            self.tenure = None;
        } else {
            tenure.era = era;
        }
    }

    /// Whether a row of `version`, asked for at `sent_at` in `era`, shows that the store returned from an older copy: it had
    /// a later version in an answer that was received before.
    #[must_use]
    pub fn proves_return(&self, (era, version): (StoreEra, RowVersion), sent_at: BootTime) -> bool {
        self.observed.as_ref().is_some_and(|known| {
            known.era == era && version < known.version && known.read_at < sent_at
        })
    }

    /// Whether this node holds the lease by `record` in `era`. One of an earlier era names nobody.
    fn is_own(&self, record: &LeaderRecord, era: StoreEra) -> bool {
        record.holder == self.node
            && Some(record.incarnation) == self.incarnation
            && record.fence.era() == era
    }

    /// Records that `record`, sent at `sent_at`, was written as version `version`. If the store began a new era
    /// meanwhile, the lease is not held.
    pub fn record_written(&mut self, record: LeaderRecord, version: RowVersion, sent_at: BootTime) {
        let era = version.era();
        self.update_tenure(None, era, sent_at);
        self.held = self.is_own(&record, era).then_some((record.fence, sent_at));
        if self.held.is_some() {
            self.tenure.get_or_insert(LeaderTenure { since: sent_at, era });
        }
        let (record, since) = (Some(record), sent_at);
        let read_at = sent_at + LEADER_CALL_TIMEOUT;
        self.observed =
            Some(ObservedRecord { record, era, version, since, read_at, uncertain: false });
    }

    /// Marks the view as uncertain after a write whose outcome is unknown. A held lease runs to its
    /// regular end; a lost response does not shorten it. If the next read shows the row unchanged,
    /// the write was not applied, and cannot be applied after another write. Time already waited by
    /// then still counts.
    pub fn mark_uncertain(&mut self) {
        if let Some(observed) = &mut self.observed {
            observed.uncertain = true;
        }
    }

    /// Whether the row has to be read before the next decision.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.observed.as_ref().is_none_or(|observed| observed.uncertain)
    }

    /// Returns the next action at `now`.
    #[must_use]
    pub fn next_step(&self, now: BootTime) -> LeaderStep {
        let (Some(observed), Some(incarnation)) = (&self.observed, self.incarnation) else {
            return LeaderStep::Wait;
        };
        if observed.uncertain {
            return LeaderStep::Wait;
        }
        let claim = |fence: FencingToken| {
            let holder = self.node.clone();
            let record =
                LeaderRecord { holder, incarnation, address: self.address, fence, renewals: 0 };
            LeaderStep::Write(record, observed.version)
        };
        let era = observed.era;
        let record = observed.record.as_ref();
        if let Some(record) = record.filter(|record| self.is_own(record, era)) {
            let renewed_at = self.held.map_or(observed.since, |(_, at)| at);
            if now.since(renewed_at) < LEASE_RENEW_INTERVAL {
                return LeaderStep::Wait;
            }
            let renewed = LeaderRecord { renewals: record.renewals + 1, ..record.clone() };
            return LeaderStep::Write(renewed, observed.version);
        }
        // For an earlier incarnation of this node, only calls that were in flight when it ended can
        // still arrive.
        let is_same_address = |record: &LeaderRecord| {
            record.holder == self.node
                && record.address == self.address
                && record.fence.era() == era
        };
        let wait = match record {
            None if era == StoreEra::default() => Duration::ZERO,
            Some(record) if is_same_address(record) => LEADER_CALL_TIMEOUT,
            Some(record) if record.fence.era() == era => self.successor_wait(),
            // The row of an earlier era does not tell who held the lease last.
            None | Some(_) if self.tenure.is_some() => self.successor_wait(),
            None | Some(_) => self.successor_wait() + PRECEDENCE_MARGIN,
        };
        if now.since(observed.since) < wait {
            return LeaderStep::Wait;
        }
        let next = record.map_or(FencingToken::first_in(era), |record| record.fence.next());
        claim(next.max(FencingToken::first_in(era)))
    }

    /// Time after the last change of the row from which its holder surely does not act any more.
    fn successor_wait(&self) -> Duration {
        self.lease_time + LEADER_CALL_TIMEOUT + CLOCK_RATE_MARGIN
    }

    /// Time since which no other node can have acted as the leader, if this node knows that of any.
    #[must_use]
    pub fn tenure_since(&self) -> Option<BootTime> {
        self.tenure.map(|tenure| tenure.since)
    }

    /// Fencing token under which this node may act at `now`, if it is the leader.
    #[must_use]
    pub fn fence(&self, now: BootTime) -> Option<FencingToken> {
        let (fence, renewed_at) = self.held?;
        (now.since(renewed_at) + LEADER_CALL_TIMEOUT < self.lease_time).then_some(fence)
    }

    /// Version of the row as it was last read. Zero if there was none.
    #[must_use]
    pub fn known_version(&self) -> RowVersion {
        self.observed.as_ref().map_or(RowVersion(0), |observed| observed.version)
    }

    /// Leader according to the last read.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaderRecord> {
        self.observed.as_ref()?.record.as_ref()
    }
}
