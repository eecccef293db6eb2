//! Views of the control state for operators and metrics.

use std::time::Instant;

use samphiredeck_core::{
    rows::MemberRow,
    upstream::{UpstreamKind, UpstreamRow},
};

use super::{ControlState, StopPhase};
use crate::view::{NodeCounters, NodeView, RunView, UpstreamView};

impl ControlState {
    /// Names and caller addresses of the other members.
    pub(super) fn other_members(&self) -> Vec<(String, String)> {
        let rows = self.members.iter().map(|member| &member.row);
        // A node that left gracefully may still have a row in the last read.
        let left = |row: &&MemberRow| {
            let peer = self.peers.find(&row.node);
            peer.is_some_and(|peer| peer.left && peer.incarnation == row.incarnation)
        };
        rows.filter(|row| row.node != self.identity.name)
            .filter(|row| !left(row))
            .map(|row| (row.node.to_string(), row.caller_address.clone()))
            .collect()
    }

    /// Builds the view of the node at `now`.
    pub(super) fn build_view(&self, now: Instant) -> NodeView {
        let runs: Vec<RunView> = self
            .runs
            .iter()
            .filter(|run| run.is_open())
            .map(|run| RunView {
                request: run.request_id.clone(),
                workspace: run.workspace.clone(),
                class: run.class,
                model: run.model.to_string(),
                upstream: run.upstream().cloned(),
                tokens: run.buffer.tokens(),
                age_ms: u64::try_from(now.duration_since(run.admitted_at).as_millis())
                    .unwrap_or(u64::MAX),
            })
            .collect();
        let config = self.config.in_force();
        let burn = self.burn_rates.report(now, |workspace, class| {
            let row = config.and_then(|config| config.declaration.workspace(workspace));
            row.map_or(0.05, |row| {
                f64::from(1_000 - row.targets[class.index()].share_permille) / 1_000.0
            })
        });
        NodeView {
            node: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            domain: self.identity.domain.clone(),
            version: self.config.version(),
            admitting: self.phase != StopPhase::Draining
                && !self.config.is_behind()
                && self.freshness.is_fresh(&self.identity.name, now),
            stopping: self.phase != StopPhase::Serving,
            table_up: !self.commit_lane.is_down(),
            waiting: self.queue.len(),
            running: runs.iter().filter(|run| run.upstream.is_some()).count(),
            members: self.freshness.members().to_vec(),
            alive: self.peers.alive(now),
            upstreams: self
                .upstreams
                .rows()
                .iter()
                .map(|row| build_upstream_view(row, now))
                .collect(),
            runs,
            accounts: self.accounts.rows().to_vec(),
            burn,
            counters: self.counters.clone(),
        }
    }
}

fn build_upstream_view(row: &UpstreamRow, now: Instant) -> UpstreamView {
    let state = if row.leaving_since.is_some() {
        "leaving"
    } else if row.drained {
        "drained"
    } else if row.accepts_new_work(now) {
        "accepting"
    } else {
        "silent"
    };
    UpstreamView {
        id: row.listing.id.clone(),
        kind: match &row.listing.kind {
            UpstreamKind::Engine => "engine".to_owned(),
            UpstreamKind::Service(name) => name.to_string(),
        },
        domain: row.listing.domain.clone(),
        state,
        in_flight: row.in_flight,
        running: row.load.running,
        queued: row.load.queued,
        slots: row.load.slots,
        price: row.listing.price,
        models: row.load.models.iter().map(ToString::to_string).collect(),
    }
}

impl ControlState {
    /// Returns the counters, and the gauges with their names.
    pub fn metrics(&self, now: Instant) -> (NodeCounters, [(&'static str, u64); 5]) {
        let accepting =
            self.upstreams.rows().iter().filter(|row| row.accepts_new_work(now)).count();
        let gauges = [
            ("queue.waiting", self.queue.len() as u64),
            ("runs.open", u64::from(self.queue.in_flight())),
            ("upstreams.accepting", accepting as u64),
            ("members", self.freshness.members().len() as u64),
            ("config.version", self.config.version().0),
        ];
        (self.counters.clone(), gauges)
    }
}
