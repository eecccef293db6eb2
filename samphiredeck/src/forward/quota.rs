//! Units of a workspace's limit for one request.

use std::{rc::Rc, time::Duration};

use http::StatusCode;
use rand::random;
use samphiredeck_core::{
    forward::{
        catalog::WorkspaceRow,
        quota::{QuotaAnswer, cost_of},
    },
    ids::{NodeName, WorkspaceName},
};
use serde_json::json;

use crate::forward::{
    call::{CallRefusal, CallTrace},
    clock,
    node::ForwardNode,
    peers::{answer_ask, ask_home, give_back},
};

/// Time after which a caller comes back whose limit could not be checked: homes change by then.
const UNCHECKED_WAIT: Duration = Duration::from_millis(400);

/// Where the units of a request came from.
#[derive(Clone, Debug, PartialEq)]
pub enum UnitSource {
    /// The workspace has no limit, or the route is public.
    Unlimited,
    /// This node's purse.
    Purse,
    /// A home.
    Home(NodeName),
}

/// Units that were taken for a request. Its drop gives them back unless the request may have run.
#[derive(Debug)]
pub struct TakenUnits {
    node: Rc<ForwardNode>,
    source: UnitSource,
    workspace: Option<WorkspaceName>,
    units: f64,
    /// Whether the request may have run.
    spent: bool,
}

impl TakenUnits {
    /// Notes whether the request may have run.
    pub fn set_spent(&mut self, spent: bool) {
        self.spent = spent;
    }
}

impl Drop for TakenUnits {
    fn drop(&mut self) {
        if self.spent {
            return;
        }
        let (UnitSource::Home(home), Some(workspace)) = (&self.source, self.workspace.take())
        else {
            return;
        };
        if *home == self.node.settings().name {
            self.node.beliefs().home.give_back(&workspace, self.units);
            return;
        }
        let talk = self.node.peers.borrow().clone();
        if let Some(talk) = talk {
            let (node, home, units) = (Rc::clone(&self.node), home.clone(), self.units);
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
    let take = |source, workspace, units| TakenUnits {
        node: Rc::clone(&trace.node),
        source,
        workspace,
        units,
        spent: false,
    };
    let Some(row) = workspace.filter(|row| row.rate > 0.0) else {
        return Ok(take(UnitSource::Unlimited, None, 0.0));
    };
    let units = cost_of(row, tokens);
    let taken = |source| take(source, Some(row.name.clone()), units);
    if node.beliefs().purse.take_small(row, units, clock::now()) {
        return Ok(taken(UnitSource::Purse));
    }
    match ask_homes(&node, row, units).await {
        Some((home, QuotaAnswer::Granted)) => return Ok(taken(UnitSource::Home(home))),
        Some((home, QuotaAnswer::Over(wait))) => {
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
        return Ok(taken(UnitSource::Purse));
    }
    let wait = UNCHECKED_WAIT.mul_f64(0.75 + random::<f64>() / 2.0);
    Err(CallRefusal::unrun("the workspace's limit can't be checked", wait))
}

async fn ask_homes(
    node: &Rc<ForwardNode>,
    row: &WorkspaceRow,
    units: f64,
) -> Option<(NodeName, QuotaAnswer)> {
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
