//! Moves a pool to another software version on the operator's order.

pub mod exchange;
pub mod leader;

use std::{rc::Rc, time::Duration};

use rand::random;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        placement::Placement,
        rollout::{
            tally::ResponseEnd,
            version_share::{AvoidedVersions, ListedVersion},
        },
    },
    ids::{PoolName, SoftwareVersion, UpstreamId},
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    in_flight::{InFlightRequest, VersionEvidence},
    node::ForwardNode,
    request::AdmittedRequest,
    request_progress::RequestProgress,
    state::ForwardState,
};

/// Interval at which the list of upstreams is checked for versions of pools.
const LIST_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Keeps track of the versions that serve the pools, until the process exits. Does nothing unless the operator has set
/// bounds.
pub async fn watch_versions(node: Rc<ForwardNode>) {
    loop {
        let changes = {
            let mut state = node.state();
            if state.versions.is_enabled() {
                observe_versions(&mut state, clock::now())
            } else {
                Vec::new()
            }
        };
        for (pool, before, software) in changes {
            let fields = json!({
                "pool": pool.as_str(), "software": software.as_str(),
                "before": before.as_ref().map(SoftwareVersion::as_str),
            });
            node.log.record("pool-version", fields);
        }
        sleep(LIST_CHECK_PERIOD).await;
    }
}

/// Applies the list of upstreams. Those that leave serve no pool.
fn observe_versions(
    state: &mut ForwardState,
    now: BootTime,
) -> Vec<(PoolName, Option<SoftwareVersion>, SoftwareVersion)> {
    let rows = state.upstreams.rows().iter();
    let listed = rows.filter(|row| !row.is_missing() && !row.entry.leaving);
    let listed: Vec<ListedVersion> = listed
        .map(|row| ListedVersion {
            pool: row.entry.pool.clone(),
            software: row.entry.software.clone(),
            started_ms: row.entry.started_ms,
        })
        .collect();
    state.versions.observe_list(&listed, now)
}

/// Versions that the next attempt of a request must avoid.
pub fn avoided_versions(
    state: &mut ForwardState,
    admitted: &AdmittedRequest,
    progress: &RequestProgress,
    now: BootTime,
) -> AvoidedVersions {
    if !state.versions.is_enabled() {
        return AvoidedVersions::default();
    }
    let pool = &admitted.pool;
    if state.versions.base(pool).is_none() {
        observe_versions(state, now);
    }
    let of_pool = state.upstreams.rows().iter().filter(|row| row.entry.pool == *pool);
    let mut listed: Vec<SoftwareVersion> = of_pool.map(|row| row.entry.software.clone()).collect();
    listed.sort();
    listed.dedup();
    if listed.len() < 2 && listed.first() == state.versions.base(pool) {
        return AvoidedVersions::default();
    }
    let sent_before = (progress.software.as_ref(), progress.attempts > 0);
    state.versions.avoided(pool, &listed, sent_before, random(), now)
}

/// What the outcome of a request that is sent to the upstream of `placement` tells of.
pub fn version_evidence(
    admitted: &AdmittedRequest,
    node: &ForwardNode,
    placement: &Placement,
    software: &SoftwareVersion,
) -> VersionEvidence {
    let state = node.state();
    let row = state.upstreams.find(&placement.upstream);
    let is_warm = row.is_some_and(|row| row.entry.warm_up.is_zero());
    VersionEvidence {
        pool: admitted.pool.clone(),
        software: software.clone(),
        route: admitted.route.name.clone(),
        is_timed: is_warm && (!admitted.engine || placement.is_prefill_certain),
    }
}

/// Counts the request of `in_flight`, which is sent next, towards the version of its upstream. Returns why it must not be
/// sent, if no lease permits it.
pub fn take_version(node: &ForwardNode, in_flight: &InFlightRequest) -> Option<&'static str> {
    let VersionEvidence { pool, software, .. } = in_flight.evidence.as_ref()?;
    let is_permitted = node.state().versions.take(pool, software, in_flight.sent_at);
    (!is_permitted).then_some("no lease for the software version")
}

/// Records that `upstream` was left without a response to a request.
pub fn record_abandoned(
    state: &mut ForwardState,
    admitted: &AdmittedRequest,
    upstream: &UpstreamId,
) {
    let row = state.upstreams.find(upstream);
    let Some(software) = row.map(|row| row.entry.software.clone()) else { return };
    let (pool, route) = (&admitted.pool, &admitted.route.name);
    state.versions.record_end(pool, &software, route, ResponseEnd::Failed);
}
