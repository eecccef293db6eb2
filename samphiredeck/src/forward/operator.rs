//! Requests of operators at the metrics address: which prompt parts are suspected, their release, and
//! which limits of upstreams are in force.

use bytes::Bytes;
use http::{Method, StatusCode};
use samphiredeck_core::{
    forward::{suspects::blame::SuspectEvidence, upstreams::tracked::TrackedUpstream},
    ids::SuspectKey,
    units::RequestRate,
};
use serde_json::{Value, json};

use crate::forward::{clock, node::ForwardNode, suspect_checks::release_suspect};

/// Path at which the suspected parts are listed.
const SUSPECTS_PATH: &str = "/suspects";
/// Path prefix at which a part is released. Its key follows.
const RELEASE_PREFIX: &str = "/suspects/release/";

/// Path at which the limits of upstreams are listed.
const LIMITS_PATH: &str = "/limits";

/// Responds to a request of an operator. Returns `None` for other paths.
pub fn respond_to_operator(
    node: &ForwardNode,
    method: &Method,
    path: &str,
) -> Option<(StatusCode, Bytes)> {
    let (status, body) = if let Some(key) = path.strip_prefix(RELEASE_PREFIX) {
        release(node, method, key)
    } else if path == SUSPECTS_PATH {
        (StatusCode::OK, list_suspects(node))
    } else if path == LIMITS_PATH {
        (StatusCode::OK, list_limits(node))
    } else {
        return None;
    };
    Some((status, Bytes::from(body.to_string())))
}

fn list_suspects(node: &ForwardNode) -> Value {
    let now = clock::now();
    let encode = |evidence: &SuspectEvidence| {
        let runs: Vec<String> = evidence.runs.iter().map(ToString::to_string).collect();
        json!({
            "part": evidence.key.to_string(), "crashes": evidence.crashes, "engine_runs": runs,
            "last_crash_ms": now.since(evidence.last_crash).as_millis(),
            "trial_in_ms": evidence.trial_at.since(now).as_millis(),
            "response_ms": evidence.proven_at.map(|at| now.since(at).as_millis()),
        })
    };
    let parts: Vec<Value> = node.state().suspects.evidence().iter().map(encode).collect();
    json!({ "node": node.settings().name.as_str(), "parts": parts })
}

fn list_limits(node: &ForwardNode) -> Value {
    let now = clock::now();
    let own_name = node.settings().name.clone();
    let state = node.state();
    let turn = state.node_turn(&own_name, now);
    let limited = state.upstreams.rows().iter().filter(|row| row.is_limited());
    let encode = |row: &TrackedUpstream| {
        let limit = row.limit()?;
        Some(json!({
            "upstream": row.entry.id.as_str(), "pool": row.entry.pool.as_str(),
            "rate": limit.rate().map(RequestRate::per_second),
            "node_rate": turn.and_then(|turn| limit.node_rate(turn)),
            "stated_ms": now.since(limit.statement().read_at).as_millis(),
            "next_ms": limit.next_send(turn, now).map(|at| at.since(now).as_millis()),
        }))
    };
    let limits: Vec<Value> = limited.filter_map(encode).collect();
    json!({ "node": own_name.as_str(), "limits": limits })
}

fn release(node: &ForwardNode, method: &Method, key: &str) -> (StatusCode, Value) {
    if method != Method::POST {
        let error = "release: only POST changes anything";
        return (StatusCode::METHOD_NOT_ALLOWED, json!({ "error": error }));
    }
    match key.parse::<SuspectKey>() {
        Ok(part) => {
            let released = release_suspect(node, part);
            (StatusCode::OK, json!({ "part": part.to_string(), "released": released }))
        }
        Err(error) => (StatusCode::BAD_REQUEST, json!({ "error": format!("part: {error}") })),
    }
}
