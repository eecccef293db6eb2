//! Keeps resumed streams at the software version that began them.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use samphiredeck_core::{
    forward::{
        catalog::{RetryPolicy, RouteRow},
        origin_query::{KeeperReplies, OriginDecision, decide_origin},
        stream_origins::{KEEPERS, OriginSource, StreamOrigin, rank_keepers},
    },
    ids::{AttemptKey, PoolName, SoftwareVersion},
};
use samphiredeck_platform::headers::RequestMetadata;
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{announce_origin, query_origin},
    request::{AdmittedRequest, ErrorResponse, RequestTrace, with_jitter},
    serve::TIME_LIMIT_DEFAULT,
};

/// Time after a caller's deadline for which the origin of its stream is kept.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which origins are announced that were certain without announcement until then.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of origins announced at a time, so that other datagrams are not delayed.
const ANNOUNCED_AT_ONCE: usize = 64;
/// Interval at which expired origins are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(2);
/// Number of times that the nodes which keep an origin are queried, since datagrams may be lost.
const QUERIES: u32 = 2;
/// Time after its own start for which a node queries them further, since they may be starting, too.
const START_TIME: Duration = Duration::from_secs(2);
/// Maximum time for which a request waits for them.
const START_WAIT_MAX: Duration = Duration::from_millis(600);
/// Interval between queries while it waits.
const START_POLL_PERIOD: Duration = Duration::from_millis(60);
/// Maximum time for which a request waits for a list that is queried after its arrival. Covers a read by a
/// reader, and the next query of its follower.
const LIST_WAIT_MAX: Duration = Duration::from_millis(1_300);
/// Interval at which it is checked whether that list has arrived.
const LIST_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Retry delay of a caller whose stream has an unknown origin.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Records that the stream of `admitted` began at, or goes on at, an upstream of version `software`.
/// Announces it before the caller gets the first event, unless that is needless.
pub async fn record_origin(
    admitted: &AdmittedRequest,
    node: &Rc<ForwardNode>,
    software: &SoftwareVersion,
) {
    if admitted.route.retry_policy != RetryPolicy::Resumable {
        return;
    }
    let metadata = &admitted.metadata;
    let resumed = metadata.resumed_attempt.as_ref().filter(|_| metadata.last_event_id.is_some());
    let attempt = AttemptKey::of(resumed.unwrap_or(&metadata.attempt_id));
    let origin = StreamOrigin { software: software.clone(), pool: Some(admitted.pool.clone()) };
    let time_limit = metadata.deadline.unwrap_or(TIME_LIMIT_DEFAULT);
    node.state().upstreams.versions.record_stream(time_limit);
    let lifetime = time_limit + LIFETIME_MARGIN;
    node.state().origins.record(attempt, origin, OriginSource::Own, lifetime, clock::now());
    announce_due(node).await;
}

/// Announces origins of running streams as soon as other nodes can't tell them otherwise: when
/// another version joins the pool, or the upstream list becomes outdated.
pub async fn announce_origins(node: Rc<ForwardNode>) {
    let mut expired_at = clock::now();
    loop {
        announce_due(&node).await;
        let now = clock::now();
        if now.since(expired_at) >= EXPIRY_PERIOD {
            expired_at = now;
            node.state().origins.remove_expired(now);
        }
        sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Announces origins that other nodes can't tell from the versions that served.
async fn announce_due(node: &Rc<ForwardNode>) {
    let Some(socket) = node.peer_socket.borrow().clone() else { return };
    let due = node.state().take_unannounced(ANNOUNCED_AT_ONCE, clock::now());
    let own_name = node.settings().name.clone();
    for (attempt, origin, lifetime) in due {
        let keepers: Vec<_> = {
            let state = node.state();
            let ranked = rank_keepers(attempt, state.members.list().entries(), &own_name);
            let keepers = ranked.into_iter().take(KEEPERS);
            let mut told: Vec<_> = keepers.map(|entry| (entry.node.clone(), entry.peer)).collect();
            // The reader publishes it in the store, too.
            let reader = state.reader.clone().filter(|name| told.iter().all(|row| row.0 != *name));
            let reader = reader.and_then(|name| {
                let address = state.members.peer_address(&name)?;
                Some((name, address))
            });
            told.extend(reader);
            told
        };
        for (keeper, address) in &keepers {
            let origin = (attempt, origin.clone());
            announce_origin(node, &socket, (keeper, *address), origin, lifetime).await;
        }
    }
}

/// Finds where the stream began that the caller resumes. Returns `None` if it resumes none.
///
/// # Errors
///
/// Returns the error response if that is not certain: another software version can't continue it.
pub async fn resolve_origin(
    trace: &RequestTrace,
    route: &RouteRow,
    metadata: &RequestMetadata,
) -> Result<Option<StreamOrigin>, ErrorResponse> {
    if route.retry_policy != RetryPolicy::Resumable || metadata.last_event_id.is_none() {
        return Ok(None);
    }
    let node = &trace.node;
    let attempt = metadata.resumed_attempt.as_deref().map(AttemptKey::of);
    let pools = route.pools();
    let mut queries = 0;
    let (replies, mut decision) = loop {
        if let Some(origin) = find_recorded(node, attempt) {
            return Ok(Some(origin));
        }
        let replies = query_keepers(node, attempt, &pools).await;
        let decision = decide(trace, &pools, &replies);
        if let OriginDecision::Known(origin) = decision {
            return Ok(Some(origin));
        }
        queries += 1;
        let now = clock::now();
        let is_starting =
            now.since(node.started_at) < START_TIME && now.since(trace.arrived_at) < START_WAIT_MAX;
        if queries >= QUERIES && !is_starting {
            break (replies, decision);
        }
        sleep(START_POLL_PERIOD).await;
    };
    while decision == OriginDecision::NeedsList
        && clock::now().since(trace.arrived_at) < LIST_WAIT_MAX
    {
        sleep(LIST_POLL_PERIOD).await;
        if let Some(origin) = find_recorded(node, attempt) {
            return Ok(Some(origin));
        }
        decision = decide(trace, &pools, &replies);
        if let OriginDecision::Known(origin) = decision {
            return Ok(Some(origin));
        }
    }
    let fields = json!({
        "request": trace.attempt_id, "resumes": metadata.resumed_attempt, "queries": queries,
        "queried": replies.queried, "replies": replies.count(), "inferred": replies.inferred.len(),
        "needs_list": decision == OriginDecision::NeedsList, "age_ms": trace.age_ms(),
    });
    node.log.record("origin-unknown", fields);
    let wait = with_jitter(UNKNOWN_RETRY_DELAY);
    Err(ErrorResponse::not_executed("the stream's software version is not known", wait))
}

/// Origin of the stream of `attempt`, if this node recorded it.
fn find_recorded(node: &ForwardNode, attempt: Option<AttemptKey>) -> Option<StreamOrigin> {
    node.state().origins.find(attempt?).cloned()
}

/// Decides where a stream began that one of `pools` serves, given the `replies` of other nodes.
fn decide(trace: &RequestTrace, pools: &[PoolName], replies: &KeeperReplies) -> OriginDecision {
    let view = trace.node.state().version_view(pools, trace.arrived_at, clock::now());
    decide_origin(&view, replies)
}

/// Queries the nodes to which the origin of `attempt` was announced, all at once.
async fn query_keepers(
    node: &Rc<ForwardNode>,
    attempt: Option<AttemptKey>,
    pools: &[PoolName],
) -> KeeperReplies {
    let mut replies = KeeperReplies::default();
    let Some(socket) = node.peer_socket.borrow().clone() else { return replies };
    let own_name = node.settings().name.clone();
    let attempt = attempt.unwrap_or_else(|| AttemptKey::of(""));
    let keepers: Vec<_> = {
        let state = node.state();
        let ranked = rank_keepers(attempt, state.members.list().entries(), &own_name);
        ranked.into_iter().map(|entry| (entry.node.clone(), entry.peer)).collect()
    };
    let query = |(keeper, address)| {
        let socket = Rc::clone(&socket);
        async move { query_origin(node, &socket, (&keeper, address), attempt, pools.to_vec()).await }
    };
    replies.queried = keepers.len();
    let mut responses: FuturesUnordered<_> = keepers.into_iter().map(query).collect();
    while replies.announced.is_none()
        && let Some(response) = responses.next().await
    {
        if let Some(origin) = response {
            replies.add(origin);
        }
    }
    replies
}
