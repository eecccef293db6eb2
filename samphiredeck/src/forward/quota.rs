//! Units of a workspace's limit for one request.

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

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{answer_ask, ask_home, give_back},
    request::{CallRefusal, CallTrace, spread},
};

/// Time after which a caller comes back whose limit could not be checked: homes change by then.
const UNCHECKED_WAIT: Duration = Duration::from_millis(400);

/// Units that a home granted.
#[derive(Debug)]
struct GrantedUnits {
    node: Rc<ForwardNode>,
    home: NodeName,
    workspace: WorkspaceName,
    units: f64,
}

/// Units that were taken for a request. Its drop gives back what a home granted, unless the request
/// may have run.
#[derive(Debug)]
pub struct TakenUnits {
    /// Nothing for what came from this node's purse or has no limit.
    granted: Option<GrantedUnits>,
    /// Whether the request may have run.
    spent: bool,
}

impl TakenUnits {
    fn new(granted: Option<GrantedUnits>) -> Self {
        Self { granted, spent: false }
    }

    /// Notes whether the request may have run.
    pub fn set_spent(&mut self, spent: bool) {
        self.spent = spent;
    }
}

impl Drop for TakenUnits {
    fn drop(&mut self) {
        let Some(granted) = self.granted.take().filter(|_| !self.spent) else { return };
        let GrantedUnits { node, home, workspace, units } = granted;
        if home == node.settings().name {
            node.beliefs().home.refund(&workspace, units);
            return;
        }
        let talk = node.peers.borrow().clone();
        if let Some(talk) = talk {
            actix_web::rt::spawn(async move {
                give_back(&node, &talk, &home, workspace, units).await;
            });
        }
    }
}

/// Takes the units of a request that names `tokens`.
///
/// # Errors
///
/// Returns the answer to a caller whose workspace is over its limit.
pub async fn take_units(
    trace: &CallTrace,
    workspace: Option<&WorkspaceRow>,
    tokens: Option<u64>,
) -> Result<TakenUnits, CallRefusal> {
    let node = Rc::clone(&trace.node);
    let Some(row) = workspace.filter(|row| row.rate > 0.0) else {
        return Ok(TakenUnits::new(None));
    };
    let units = request_cost(row, tokens);
    if node.beliefs().purse.take_small(row, units, clock::now()) {
        return Ok(TakenUnits::new(None));
    }
    match ask_homes(&node, row, units).await {
        Some((home, QuotaDecision::Granted)) => {
            let workspace = row.name.clone();
            return Ok(TakenUnits::new(Some(GrantedUnits { node, home, workspace, units })));
        }
        Some((home, QuotaDecision::Over(wait))) => {
            let fields = json!({
                "request": trace.request, "workspace": row.name.as_str(), "units": units,
                "rate": row.rate, "burst": row.burst, "home": home.as_str(),
                "wait_ms": wait.as_millis(),
            });
            node.journal.note("over-quota", fields);
            return Err(CallRefusal {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: "over the workspace's limit",
                retry_after: Some(wait.mul_f64(1.0 + random::<f64>() / 4.0)),
            });
        }
        None => {}
    }
    let enough = node.beliefs().purse.take(row, units, clock::now());
    let fields = json!({
        "request": trace.request, "workspace": row.name.as_str(), "units": units,
        "admitted": enough,
    });
    node.journal.note("home-silent", fields);
    if enough {
        return Ok(TakenUnits::new(None));
    }
    let wait = spread(UNCHECKED_WAIT);
    Err(CallRefusal::unrun("the workspace's limit can't be checked", wait))
}

async fn ask_homes(
    node: &Rc<ForwardNode>,
    row: &WorkspaceRow,
    units: f64,
) -> Option<(NodeName, QuotaDecision)> {
    let homes = node.beliefs().homes_of(&row.name, clock::now());
    let own = node.settings().name.clone();
    let talk = node.peers.borrow().clone()?;
    for (place, home) in homes.into_iter().enumerate() {
        let instead = place > 0;
        let answer = if home == own {
            answer_ask(node, &talk, &row.name, units, instead).await
        } else {
            ask_home(node, &talk, &home, &row.name, units, instead).await
        };
        if let Some(answer) = answer {
            return Some((home, answer));
        }
    }
    None
}
