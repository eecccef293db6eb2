//! Observes the leases of other nodes and takes over their recorded work.

use std::time::{Duration, Instant};

use log::{info, warn};
use samphiredeck_core::{
    group_commit::OperationOutcome,
    ids::NodeName,
    patient::{choose_successor, is_orphaned, take_over},
    platform_api::{RowCondition, RowWrite, TableReadResult},
    rows::{
        EXPIRED_MEMBER_RETENTION_S, MEMBER_PREFIX, MemberRow, WORK_PREFIX, WorkRow, member_key,
        work_key,
    },
};

use super::{ControlState, is_due, table::Completion, unix_seconds};
use crate::{
    event::{ControlEffect, parse_row},
    logging::WORK,
};

/// Interval between scans for orphaned work.
const WORK_SCAN_PERIOD: Duration = Duration::from_secs(2);

impl ControlState {
    /// Marks nodes whose lease has lapsed, and scans for orphaned work.
    pub(super) fn check_leases(&mut self, now: Instant) {
        let active = self.members.iter().filter(|member| !member.row.lapsed);
        let versions = active.map(|member| (member.row.node.clone(), member.version)).collect();
        self.lease_observer.observe(versions, now);
        let live = self.live_nodes(now);
        for (node, _) in self.lease_observer.expired(now) {
            let is_successor = choose_successor(&node, &live) == Some(&self.identity.name);
            if node != self.identity.name && is_successor {
                self.mark_lapsed(&node, now);
            }
        }
        // A single node scans for the whole cluster, which keeps the number of reads low.
        let is_scanner = live.iter().min() == Some(&self.identity.name);
        if is_scanner && is_due(&mut self.timers.work_scan, WORK_SCAN_PERIOD, now) {
            self.counters.table_reads += 1;
            self.effects.push(ControlEffect::ReadWork);
            self.remove_lapsed_members(now);
        }
    }

    /// Removes member rows whose lease lapsed longer than the retention time ago.
    fn remove_lapsed_members(&mut self, now: Instant) {
        let now_s = unix_seconds();
        let expired: Vec<RowCondition> = self
            .members
            .iter()
            .filter(|member| member.row.lapsed)
            .filter(|known| now_s.saturating_sub(known.row.lapsed_at) >= EXPIRED_MEMBER_RETENTION_S)
            .map(|member| RowCondition {
                key: member_key(&member.row.node),
                version: member.version,
            })
            .collect();
        for condition in expired {
            let writes = vec![RowWrite { key: condition.key.clone(), value: None }];
            self.submit_internal(vec![condition], writes, Completion::Ignore, now);
        }
    }

    /// Live nodes that take part in takeovers. This node is included while it serves.
    fn live_nodes(&self, now: Instant) -> Vec<NodeName> {
        let mut live = self.peers.alive(now);
        if self.phase == super::StopPhase::Serving {
            live.push(self.identity.name.clone());
        }
        live
    }

    /// Marks the member row of a node as lapsed, so that its incarnation can write nothing more.
    fn mark_lapsed(&mut self, node: &NodeName, now: Instant) {
        let Some(known) = self.members.iter().find(|known| known.row.node == *node) else { return };
        let row = MemberRow { lapsed: true, lapsed_at: unix_seconds(), ..known.row.clone() };
        let key = member_key(node);
        let conditions = vec![RowCondition { key: key.clone(), version: known.version }];
        let writes = vec![RowWrite { key, value: serde_json::to_string(&row).ok() }];
        self.submit_internal(conditions, writes, Completion::MarkLapsed(node.clone()), now);
    }

    pub(super) fn on_marked_lapsed(&mut self, node: &NodeName, outcome: &OperationOutcome) {
        if matches!(outcome, OperationOutcome::Committed(_)) {
            warn!(target: WORK, "Lease of node {node} has lapsed.");
            self.timers.work_scan = None;
            self.read_table();
        }
    }

    /// Takes over recorded work whose owner is no longer registered.
    ///
    /// The member rows come from the same read as the work. An owner registers before it records
    /// work, so a live owner is always among them.
    pub(super) fn on_work_read(&mut self, rows: Option<TableReadResult>, now: Instant) {
        let Some(rows) = rows else { return };
        let members: Vec<MemberRow> = rows
            .rows
            .iter()
            .filter(|stored| stored.key.starts_with(MEMBER_PREFIX))
            .filter_map(parse_row)
            .collect();
        let registered = |node: &NodeName, incarnation| {
            let own = *node == self.identity.name && incarnation == self.identity.incarnation;
            own || members
                .iter()
                .any(|row| row.node == *node && row.incarnation == incarnation && !row.lapsed)
        };
        let mut orphans = Vec::new();
        for stored in rows.rows.iter().filter(|stored| stored.key.starts_with(WORK_PREFIX)) {
            let Some(row) = parse_row::<WorkRow>(stored) else { continue };
            if is_orphaned(&row, registered) {
                orphans.push((row, stored.version));
            }
        }
        for (row, version) in orphans {
            let owner = self.identity.name.clone();
            let work = take_over(row, owner, self.identity.incarnation);
            let key = work_key(&work.request);
            let conditions = vec![RowCondition { key: key.clone(), version }];
            let writes = vec![RowWrite { key, value: serde_json::to_string(&work).ok() }];
            self.submit_internal(conditions, writes, Completion::TakeOver(Box::new(work)), now);
        }
    }

    pub(super) fn on_taken_over(&mut self, row: WorkRow, outcome: &OperationOutcome, now: Instant) {
        let OperationOutcome::Committed(version) = outcome else { return };
        info!(target: WORK, "Took over request {} at token {}.", row.request, row.tokens);
        self.counters.taken_over += 1;
        self.resume_work(row, *version, now);
    }
}
