//! Requests of operators at the metrics address: which prompt parts are suspected, and their release.

use bytes::Bytes;
use http::{Method, StatusCode};
use samphiredeck_core::{forward::suspect_parts::PartEvidence, ids::PartKey};
use serde_json::{Value, json};

use crate::forward::{clock, node::ForwardNode, suspect_parts::release_part};

/// Path at which the suspected parts are listed.
const SUSPECTS_PATH: &str = "/suspects";
/// Path prefix at which a part is released. Its key follows.
const RELEASE_PREFIX: &str = "/suspects/release/";

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
    } else {
        return None;
    };
    Some((status, Bytes::from(body.to_string())))
}

fn list_suspects(node: &ForwardNode) -> Value {
    let now = clock::now();
    let encode = |evidence: &PartEvidence| {
        let runs: Vec<String> = evidence.runs.iter().map(ToString::to_string).collect();
        json!({
            "part": evidence.part.to_string(), "crashes": evidence.crashes, "engine_runs": runs,
            "last_crash_ms": now.since(evidence.last_crash).as_millis(),
            "trial_in_ms": evidence.trial_at.since(now).as_millis(),
            "response_ms": evidence.proven_at.map(|at| now.since(at).as_millis()),
        })
    };
    let parts: Vec<Value> = node.state().suspects.evidence().iter().map(encode).collect();
    json!({ "node": node.settings().name.as_str(), "parts": parts })
}

fn release(node: &ForwardNode, method: &Method, key: &str) -> (StatusCode, Value) {
    if method != Method::POST {
        let error = "release: only POST changes anything";
        return (StatusCode::METHOD_NOT_ALLOWED, json!({ "error": error }));
    }
    match key.parse::<PartKey>() {
        Ok(part) => {
            let released = release_part(node, part);
            (StatusCode::OK, json!({ "part": part.to_string(), "released": released }))
        }
        Err(error) => (StatusCode::BAD_REQUEST, json!({ "error": format!("part: {error}") })),
    }
}
