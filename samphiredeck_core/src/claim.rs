//! At most one run of a request that may not be repeated.

use std::time::Instant;

use crate::{
    ids::{Incarnation, NodeName, RequestId},
    rows::{ClaimRow, ClaimState},
};

/// Digest over what a call says, to tell a repeated call from another one under the same key.
#[must_use]
pub fn digest_call(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// A call whose claim is not committed.
#[derive(Debug)]
pub struct ReceivedStage(());

/// A call whose claim is committed.
#[derive(Debug)]
pub struct ClaimedStage {
    /// Time at which the claiming node's lease ends. `None` for a call without a key, which no
    /// other node can find.
    lease_end: Option<Instant>,
}

/// A call that may not be repeated, in one stage `S` of its life cycle.
#[derive(Debug)]
pub struct NonIdempotentCall<S> {
    request: RequestId,
    /// Body as received. Never changes, since the claim holds its digest.
    body: Vec<u8>,
    stage: S,
}

impl NonIdempotentCall<ReceivedStage> {
    /// Takes in a call.
    #[must_use]
    pub fn receive(request: RequestId, body: Vec<u8>) -> Self {
        Self { request, body, stage: ReceivedStage(()) }
    }

    /// Records that the claim is committed under a lease that ends at `lease_end`.
    #[must_use]
    pub fn claim(self, lease_end: Instant) -> NonIdempotentCall<ClaimedStage> {
        let stage = ClaimedStage { lease_end: Some(lease_end) };
        NonIdempotentCall { request: self.request, body: self.body, stage }
    }

    /// Records that the call has no key, so that there is nothing to claim.
    #[must_use]
    pub fn without_key(self) -> NonIdempotentCall<ClaimedStage> {
        let stage = ClaimedStage { lease_end: None };
        NonIdempotentCall { request: self.request, body: self.body, stage }
    }
}

impl NonIdempotentCall<ClaimedStage> {
    /// Borrows the id of the request.
    #[must_use]
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Gives up the body for its only send.
    ///
    /// # Errors
    ///
    /// Returns the call unsent if the lease has ended at `now`.
    pub fn into_body(self, now: Instant) -> Result<Vec<u8>, Self> {
        if self.stage.lease_end.is_none_or(|end| now < end) { Ok(self.body) } else { Err(self) }
    }
}

/// What to do with a call whose key is claimed already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim over the released row.
    ClaimAgain,
    /// Refuse: the key belongs to a call that says something else.
    KeyReused,
    /// Return the stored answer.
    Stored {
        /// HTTP status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Body, where it is in the row.
        body: String,
        /// Key in the object store, where it is not.
        object: Option<String>,
    },
    /// Wait for the call that runs.
    Wait {
        /// Request that runs.
        request: RequestId,
    },
    /// Mark the outcome as unknown: the claiming run of the node is gone.
    MarkUnknown,
    /// Say that it may have run.
    Unknown,
}

/// Decides on a call with `digest` whose key is claimed by `row`.
///
/// `is_running` tells whether that run of a node may still be at work.
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
