//! Upstreams: the instance list, their load reports, and moving runs off upstreams that leave.

use std::time::{Duration, Instant};

use log::{info, warn};
use samphiredeck_core::{
    admission::RequestTicket,
    engine_api::{CacheEvent, EngineReport},
    ids::UpstreamId,
    platform_api::{CloudSnapshot, InstanceRow},
    prefix::BLOCK_TOKENS,
    reclaim::{AffectedStream, ReclaimBudget, plan_reclaim},
    upstream::{LoadReport, UpstreamKind},
};

use super::{ControlState, INSTANCE_LIST_PERIOD, REPORT_PERIOD, RunRow, is_due};
use crate::{
    event::ControlEffect,
    logging::{PLATFORM, RUN},
    run::RunSignal,
};

/// Notice period assumed for a leaving upstream when the platform announced none.
pub(super) const DEFAULT_NOTICE: Duration = Duration::from_secs(5);
/// Rate at which one upstream exports cache, in tokens per second.
const CACHE_TRANSFER_RATE: f64 = 40_000.0;

/// Position in the reports of one upstream.
#[derive(Debug)]
pub(super) struct ReportCursor {
    upstream: UpstreamId,
    requested_at: Instant,
    /// Sequence number of the next cache event.
    next_event: u64,
}

impl ControlState {
    pub(super) fn tick_upstreams(&mut self, now: Instant) {
        if is_due(&mut self.timers.instances, INSTANCE_LIST_PERIOD, now) {
            self.effects.push(ControlEffect::ReadCloud);
        }
        let upstreams = &self.upstreams;
        self.cursors.retain(|cursor| upstreams.position(&cursor.upstream).is_some());
        for row in self.upstreams.rows() {
            let id = &row.listing.id;
            let known = self.cursors.binary_search_by(|cursor| cursor.upstream.cmp(id));
            let at = known.unwrap_or_else(|at| {
                let one_period_ago = now.checked_sub(REPORT_PERIOD).unwrap_or(now);
                let cursor = ReportCursor {
                    upstream: id.clone(),
                    requested_at: one_period_ago,
                    next_event: 0,
                };
                self.cursors.insert(at, cursor);
                at
            });
            let cursor = &mut self.cursors[at];
            if now.saturating_duration_since(cursor.requested_at) < REPORT_PERIOD {
                continue;
            }
            cursor.requested_at = now;
            let (upstream, address) = (id.clone(), row.listing.address.clone());
            self.effects.push(match row.listing.kind {
                UpstreamKind::Engine => {
                    ControlEffect::FetchEngineReport { upstream, address, from: cursor.next_event }
                }
                UpstreamKind::Service(_) => ControlEffect::FetchServiceReport { upstream, address },
            });
        }
    }

    pub(super) fn on_cloud_read(&mut self, snapshot: Option<CloudSnapshot>, now: Instant) {
        let Some(snapshot) = snapshot else { return };
        self.placement.set_instances(&snapshot.instances);
        let listing =
            snapshot.instances.iter().filter_map(InstanceRow::to_upstream_listing).collect();
        for id in self.upstreams.apply_listing(listing, now) {
            self.on_upstream_leaving(&id, DEFAULT_NOTICE, now);
        }
        for notice in snapshot.notices {
            let remaining = Duration::from_millis(notice.left_ms);
            if self.identity.instance.as_deref() == Some(notice.id.as_str()) {
                self.effects.push(ControlEffect::BeginStop { left_ms: notice.left_ms });
            } else if self.upstreams.mark_leaving(&notice.id, now) {
                self.on_upstream_leaving(&notice.id, remaining, now);
            }
        }
        // A mark may have been received from a peer before the upstream was listed here.
        for id in self.leaving_marks.all() {
            if self.upstreams.mark_leaving(&id, now) {
                self.on_upstream_leaving(&id, DEFAULT_NOTICE, now);
            }
        }
        if let Some(config) = self.config.in_force() {
            self.upstreams.set_drained(config.declaration.drained());
        }
        let rows = self.upstreams.rows();
        self.warmed_up |= rows.is_empty() || rows.iter().any(|row| row.accepts_new_work(now));
    }

    /// Handles an upstream that has started to leave: shares the mark with the other nodes and
    /// moves its runs.
    pub(super) fn on_upstream_leaving(&mut self, id: &UpstreamId, notice: Duration, now: Instant) {
        warn!(target: PLATFORM, "Upstream {id} is leaving.");
        self.leaving_marks.insert(id.clone(), self.peers.rows().len() + 1, now);
        if let Some(row) = self.upstreams.find(id) {
            self.route.record_leaving_mark(row.listing.domain.clone(), now);
        }
        self.prefixes.remove_upstream(id);
        self.move_runs(id, notice, now);
    }

    fn move_runs(&self, id: &UpstreamId, notice: Duration, now: Instant) {
        let Some(row) = self.upstreams.find(id) else { return };
        let streams: Vec<AffectedStream<RequestTicket>> = self
            .runs
            .iter()
            .filter(|run| run.upstream() == Some(id))
            .map(|run| affected_stream(run, now))
            .collect();
        let prefill_rate = f64::from(row.load.prefill_rate);
        let budget = ReclaimBudget { notice, transfer_rate: CACHE_TRANSFER_RATE, prefill_rate };
        for (ticket, action) in plan_reclaim(&streams, budget) {
            let Some(at) = self.run_position(ticket) else { continue };
            let run = &self.runs[at];
            info!(target: RUN, "Moving request {} off upstream {id}: {action:?}.", run.request_id);
            let signal = RunSignal::Move { upstream: id.clone(), action };
            drop(run.signals.send(signal));
        }
    }

    pub(super) fn on_engine_report(
        &mut self,
        id: &UpstreamId,
        requested_at: Instant,
        report: EngineReport,
        now: Instant,
    ) {
        self.apply_cache_events(id, &report, now);
        self.apply_load_report(id, report.load, requested_at, now);
    }

    fn apply_cache_events(&mut self, id: &UpstreamId, report: &EngineReport, now: Instant) {
        let Ok(at) = self.cursors.binary_search_by(|known| known.upstream.cmp(id)) else { return };
        let cursor = &mut self.cursors[at];
        // Events between the last report and this one are missing.
        if report.first_event > cursor.next_event {
            self.prefixes.mark_uncertain(id, now);
        }
        let skip = cursor.next_event.saturating_sub(report.first_event);
        cursor.next_event = cursor.next_event.max(report.first_event + report.events.len() as u64);
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for event in report.events.iter().skip(usize::try_from(skip).unwrap_or(usize::MAX)) {
            // A block may be stored and evicted several times in one report; the last event wins.
            match event {
                CacheEvent::Stored { block } => {
                    evicted.retain(|known| known != block);
                    stored.push(*block);
                }
                CacheEvent::Evicted { block } => {
                    stored.retain(|known| known != block);
                    evicted.push(*block);
                }
            }
        }
        self.prefixes.remove(&evicted, id);
        self.prefixes.insert(&stored, id, now);
    }

    pub(super) fn apply_load_report(
        &mut self,
        id: &UpstreamId,
        load: LoadReport,
        requested_at: Instant,
        now: Instant,
    ) {
        if self.upstreams.apply_report(id, load, requested_at) {
            self.on_upstream_leaving(id, DEFAULT_NOTICE, now);
        }
    }
}

/// Describes `run` for the reclaim plan: its context, remaining output and token rate.
fn affected_stream(run: &RunRow, now: Instant) -> AffectedStream<RequestTicket> {
    let tokens = run.buffer.tokens();
    let elapsed = now.saturating_duration_since(run.admitted_at).as_secs_f64().max(0.05);
    #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    let token_rate = tokens as f64 / elapsed;
    let blocks = (run.blocks.len() * BLOCK_TOKENS) as u64;
    AffectedStream {
        key: run.ticket,
        class: run.class,
        context_tokens: run.prompt_tokens.max(blocks) + tokens,
        remaining_tokens: run.output_tokens.saturating_sub(tokens),
        token_rate,
    }
}
