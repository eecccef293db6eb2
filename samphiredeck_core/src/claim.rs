//! At-most-once execution of non-idempotent calls, by claims on idempotency keys.

use std::time::Instant;

use crate::{
    ids::{Incarnation, NodeName, RequestId},
    rows::{ClaimRow, ClaimState},
};

/// Digest of a call's method, path and body. Tells a retry of a call from a different call that
/// reuses the same idempotency key.
#[must_use]
pub fn digest_call(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Stage of a call whose claim is not committed yet.
#[derive(Debug)]
pub struct ReceivedStage(());

/// Stage of a call whose claim is committed.
#[derive(Debug)]
pub struct ClaimedStage {
    /// Time at which the claiming node's lease expires. `None` for a call without an idempotency
    /// key, which no other node can look up.
    lease_end: Option<Instant>,
}

/// A call that must not be sent twice, in stage `S` of its life cycle.
#[derive(Debug)]
pub struct NonIdempotentCall<S> {
    request: RequestId,
    /// Body as received. Immutable, since the claim holds its digest.
    body: Vec<u8>,
    stage: S,
}

impl NonIdempotentCall<ReceivedStage> {
    /// Creates a call that has been received and not claimed.
    #[must_use]
    pub fn receive(request: RequestId, body: Vec<u8>) -> Self {
        Self { request, body, stage: ReceivedStage(()) }
    }

    /// Records that the claim is committed under a lease that expires at `lease_end`.
    #[must_use]
    pub fn claim(self, lease_end: Instant) -> NonIdempotentCall<ClaimedStage> {
        let stage = ClaimedStage { lease_end: Some(lease_end) };
        NonIdempotentCall { request: self.request, body: self.body, stage }
    }

    /// Records that the call has no idempotency key, so that there is nothing to claim.
    #[must_use]
    pub fn without_key(self) -> NonIdempotentCall<ClaimedStage> {
        let stage = ClaimedStage { lease_end: None };
        NonIdempotentCall { request: self.request, body: self.body, stage }
    }
}

impl NonIdempotentCall<ClaimedStage> {
    /// Id of the request.
    #[must_use]
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Consumes the call and returns its body, so that it can be sent only once.
    ///
    /// # Errors
    ///
    /// Returns the call unsent if the lease has expired at `now`.
    pub fn into_body(self, now: Instant) -> Result<Vec<u8>, Self> {
        if self.stage.lease_end.is_none_or(|end| now < end) { Ok(self.body) } else { Err(self) }
    }
}

/// How to handle a call whose idempotency key already has a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim the key again: the earlier claim was released.
    ClaimAgain,
    /// Refuse: the key was used for a call with a different method, path or body.
    KeyReused,
    /// Return the stored response.
    Stored {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Body, if it is stored in the row.
        body: String,
        /// Key of the body in the object store, if it is stored there.
        object: Option<String>,
    },
    /// Wait for the earlier call, which is still running.
    Wait {
        /// Request of the earlier call.
        request: RequestId,
    },
    /// Mark the outcome as unknown: the claiming incarnation of the node is gone.
    MarkUnknown,
    /// Report that the call may have run.
    Unknown,
}

/// Decides on a call with `digest` whose key is claimed by `row`.
///
/// `is_running` tells whether that incarnation of a node may still be running.
#[must_use]
pub fn decide_claim(
    row: &ClaimRow,
    digest: &str,
    is_running: impl Fn(&NodeName, Incarnation) -> bool,
) -> ClaimDecision {
    if row.digest != digest {
        return ClaimDecision::KeyReused;
    }
    match &row.state {
        ClaimState::Released => ClaimDecision::ClaimAgain,
        ClaimState::Unknown => ClaimDecision::Unknown,
        ClaimState::Done { status, content_type, body, object } => ClaimDecision::Stored {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
            object: object.clone(),
        },
        ClaimState::Claimed if is_running(&row.node, row.incarnation) => {
            ClaimDecision::Wait { request: row.request.clone() }
        }
        ClaimState::Claimed => ClaimDecision::MarkUnknown,
    }
}
