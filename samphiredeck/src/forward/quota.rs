//! Reserves quota of a workspace for a request.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use rand::random;
use samphiredeck_core::{
    forward::{
        catalog::WorkspaceRow,
        quota::{QuotaDecision, request_cost},
    },
    ids::{NodeName, WorkspaceName},
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{query_owner, release_units},
    quota_decision::decide_quota,
    request::{ErrorResponse, RequestTrace, with_jitter},
};

/// Retry delay of a caller whose limit could not be checked. By then, unresponsive owners have been
/// replaced.
const UNCHECKED_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after its own start for which a node takes silent owners for starting ones.
const OWNERS_START_TIME: Duration = Duration::from_secs(2);
/// Maximum time for which a request waits for them.
const OWNERS_WAIT_MAX: Duration = Duration::from_millis(600);
/// Interval between queries while it waits.
const OWNERS_POLL_PERIOD: Duration = Duration::from_millis(60);

/// Units granted by a quota owner.
#[derive(Debug)]
struct OwnerGrant {
    node: Rc<ForwardNode>,
    owner: NodeName,
    workspace: WorkspaceName,
    units: f64,
}

/// Quota reserved for a request. Dropping it returns units granted by an owner, unless the request
/// may have run.
#[derive(Debug)]
pub struct QuotaReservation {
    /// `None` if the units came from the local quota or the workspace has no limit.
    grant: Option<OwnerGrant>,
    /// Whether the request may have run.
    consumed: bool,
}

impl QuotaReservation {
    fn new(grant: Option<OwnerGrant>) -> Self {
        Self { grant, consumed: false }
    }

    /// Whether the request may have run.
    pub fn is_consumed(&self) -> bool {
        self.consumed
    }

    /// Sets whether the request may have run.
    pub fn set_consumed(&mut self, consumed: bool) {
        self.consumed = consumed;
    }
}

impl Drop for QuotaReservation {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take().filter(|_| !self.consumed) else { return };
        let OwnerGrant { node, owner, workspace, units } = grant;
        if owner == node.settings().name {
            node.state().quota_owner.refund(&workspace, units);
            return;
        }
        let socket = node.peer_socket.borrow().clone();
        if let Some(socket) = socket {
            actix_web::rt::spawn(async move {
                release_units(&node, &socket, &owner, workspace, units).await;
            });
        }
    }
}

/// Reserves the quota of a request with `tokens`.
///
/// # Errors
///
/// Returns the error response if the workspace is over its limit or the limit can't be checked.
pub async fn reserve_quota(
    trace: &RequestTrace,
    workspace: Option<&WorkspaceRow>,
    tokens: Option<u64>,
) -> Result<QuotaReservation, ErrorResponse> {
    let node = Rc::clone(&trace.node);
    let Some(row) = workspace.filter(|row| row.rate > 0.0) else {
        return Ok(QuotaReservation::new(None));
    };
    let units = request_cost(row, tokens);
    if node.state().local_quota.take_small(row, units, clock::now()) {
        return Ok(QuotaReservation::new(None));
    }
    let mut decision = query_owners(&node, row, units).await;
    while decision.is_none() && awaits_owners(&node, trace) {
        sleep(OWNERS_POLL_PERIOD).await;
        decision = query_owners(&node, row, units).await;
    }
    if decision.is_some() {
        node.state().unowned.record_decision(&row.name);
    }
    match decision {
        Some((owner, QuotaDecision::Granted)) => {
            let workspace = row.name.clone();
            return Ok(QuotaReservation::new(Some(OwnerGrant { node, owner, workspace, units })));
        }
        Some((owner, QuotaDecision::Over(wait))) => {
            let fields = json!({
                "request": trace.attempt_id, "workspace": row.name.as_str(), "units": units,
                "rate": row.rate, "burst": row.burst, "home": owner.as_str(),
                "wait_ms": wait.as_millis(),
            });
            node.log.record("over-quota", fields);
            return Err(ErrorResponse {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: "over the workspace's limit",
                retry_after: Some(wait.mul_f64(1.0 + random::<f64>() / 4.0)),
            });
        }
        None => {}
    }
    let admitted = node.state().local_quota.take(row, units, clock::now());
    let fields = json!({
        "request": trace.attempt_id, "workspace": row.name.as_str(), "units": units,
        "admitted": admitted,
    });
    node.log.record("home-silent", fields);
    if admitted {
        return Ok(QuotaReservation::new(None));
    }
    if node.state().take_own_share(row, units, clock::now()) {
        let owner = node.settings().name.clone();
        let workspace = row.name.clone();
        return Ok(QuotaReservation::new(Some(OwnerGrant { node, owner, workspace, units })));
    }
    let wait = with_jitter(UNCHECKED_RETRY_DELAY);
    Err(ErrorResponse::not_executed("the workspace's limit can't be checked", wait))
}

/// Whether the owners may only be starting, as after a loss of all nodes, so that the request should
/// wait for them.
fn awaits_owners(node: &ForwardNode, trace: &RequestTrace) -> bool {
    let now = clock::now();
    now.since(node.started_at) < OWNERS_START_TIME && now.since(trace.arrived_at) < OWNERS_WAIT_MAX
}

async fn query_owners(
    node: &Rc<ForwardNode>,
    row: &WorkspaceRow,
    units: f64,
) -> Option<(NodeName, QuotaDecision)> {
    let owners = node.state().quota_owners(&row.name, clock::now());
    let own_name = node.settings().name.clone();
    let socket = node.peer_socket.borrow().clone()?;
    for (index, owner) in owners.into_iter().enumerate() {
        let is_failover = index > 0;
        let decision = if owner == own_name {
            decide_quota(node, &socket, &row.name, units, is_failover).await
        } else {
            query_owner(node, &socket, &owner, &row.name, units, is_failover).await
        };
        if let Some(decision) = decision {
            return Some((owner, decision));
        }
    }
    None
}
