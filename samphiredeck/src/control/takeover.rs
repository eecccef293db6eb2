//! Leases of other nodes, and the takeover of their recorded work.

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

/// Time between two looks for recorded work without an owner.
const WORK_SCAN_PERIOD: Duration = Duration::from_secs(2);

impl ControlState {
    /// Marks nodes whose lease has lapsed, and looks for work without an owner.
    pub(super) fn check_leases(&mut self, now: Instant) {
        let active = self.members.iter().filter(|seen| !seen.row.lapsed);
        let seen = active.map(|seen| (seen.row.node.clone(), seen.version)).collect();
        self.lease_observer.observe(seen, now);
        let live = self.live_nodes(now);
        for (node, _) in self.lease_observer.expired(now) {
            let is_successor = choose_successor(&node, &live) == Some(&self.identity.name);
            if node != self.identity.name && is_successor {
                self.mark_lapsed(&node, now);
            }
        }
        // One node looks for all, so that the reads stay few.
        let is_scanner = live.iter().min() == Some(&self.identity.name);
        if is_scanner && is_due(&mut self.timers.work, WORK_SCAN_PERIOD, now) {
            self.counters.table_reads += 1;
            self.effects.push(ControlEffect::ReadWork);
            self.remove_lapsed_members(now);
        }
    }

    /// Removes the rows of members whose lease was taken long ago.
    fn remove_lapsed_members(&mut self, now: Instant) {
        let now_s = unix_seconds();
        let expired: Vec<RowCondition> = self
            .members
            .iter()
            .filter(|seen| seen.row.lapsed)
            .filter(|seen| now_s.saturating_sub(seen.row.lapsed_at) >= EXPIRED_MEMBER_RETENTION_S)
            .map(|seen| RowCondition { key: member_key(&seen.row.node), version: seen.version })
            .collect();
        for condition in expired {
            let writes = vec![RowWrite { key: condition.key.clone(), value: None }];
            self.submit_internal(vec![condition], writes, Completion::Ignore, now);
        }
    }

    /// Nodes that take part in takeovers, this one included.
    fn live_nodes(&self, now: Instant) -> Vec<NodeName> {
        let mut live = self.peers.alive(now);
        if self.phase == super::StopPhase::Serving {
            live.push(self.identity.name.clone());
        }
        live
    }

    /// Takes the member row from a node, so that it can write nothing more as that run.
    fn mark_lapsed(&mut self, node: &NodeName, now: Instant) {
        let Some(seen) = self.members.iter().find(|seen| seen.row.node == *node) else { return };
        let row = MemberRow { lapsed: true, lapsed_at: unix_seconds(), ..seen.row.clone() };
        let key = member_key(node);
        let conditions = vec![RowCondition { key: key.clone(), version: seen.version }];
        let writes = vec![RowWrite { key, value: serde_json::to_string(&row).ok() }];
        self.submit_internal(conditions, writes, Completion::MarkLapsed(node.clone()), now);
    }

    pub(super) fn on_marked_lapsed(&mut self, node: &NodeName, outcome: &OperationOutcome) {
        if matches!(outcome, OperationOutcome::Committed(_)) {
            warn!(target: WORK, "The lease of {node} has lapsed.");
            self.timers.work = None;
            self.read_table();
        }
    }

    /// Takes over the recorded work whose owner is gone.
    ///
    /// The member rows are of the same moment as the work, so an owner that registered before it
    /// recorded the work is always seen.
    pub(super) fn on_work_read(&mut self, rows: Option<TableReadResult>, now: Instant) {
        let Some(rows) = rows else { return };
        let members: Vec<MemberRow> = rows
            .rows
            .iter()
            .filter(|view| view.key.starts_with(MEMBER_PREFIX))
            .filter_map(parse_row)
            .collect();
        let registered = |node: &NodeName, incarnation| {
            let own = *node == self.identity.name && incarnation == self.identity.incarnation;
            own || members
                .iter()
                .any(|row| row.node == *node && row.incarnation == incarnation && !row.lapsed)
        };
        let mut orphans = Vec::new();
        for view in rows.rows.iter().filter(|view| view.key.starts_with(WORK_PREFIX)) {
            let Some(row) = parse_row::<WorkRow>(view) else { continue };
            if is_orphaned(&row, registered) {
                orphans.push((row, view.version));
            }
        }
        for (row, version) in orphans {
            let owner = self.identity.name.clone();
            let taken = take_over(row, owner, self.identity.incarnation);
            let key = work_key(&taken.request);
            let conditions = vec![RowCondition { key: key.clone(), version }];
            let writes = vec![RowWrite { key, value: serde_json::to_string(&taken).ok() }];
            self.submit_internal(conditions, writes, Completion::TakeOver(Box::new(taken)), now);
        }
    }

    pub(super) fn on_taken_over(&mut self, row: WorkRow, outcome: &OperationOutcome) {
        let OperationOutcome::Committed(version) = outcome else { return };
        info!(target: WORK, "Request {} is taken over at token {}.", row.request, row.tokens);
        self.counters.taken_over += 1;
        self.resume_work(row, *version);
    }
}
