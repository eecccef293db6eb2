//! Keeps requests that crash upstreams, or have prompt parts that do, from further upstreams: confirms
//! crashes, and checks requests before each send.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        suspects::{
            SuspectProof,
            blame::KeySuspicion,
            trials::{TRIAL_TIMEOUT, find_keeper},
        },
        upstream_paths::PathRoute,
    },
    ids::{NodeName, RunKey, SuspectKey},
    verdict::RunVerdict,
};
use samphiredeck_wire::tunnel::TunnelPurpose;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::forward::{
    clock,
    http_connection::ConnectError,
    in_flight::InFlightRequest,
    node::ForwardNode,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{RequestProgress, unanswered_error},
    suspect_exchange::query_trial,
    tunnel_client::{TunnelOutcome, open_tunnel},
    tunnel_server::{ReachedOthers, find_reached},
    upstream_paths::{connect_directly, record_reached},
};

/// Reason of a refusal for a prompt part, as told to callers.
const PART_REASON: &str = "a part of the prompt crashes the engines";
/// Reason of a refusal for the request as a whole, as told to callers.
const REQUEST_REASON: &str = "the request crashes the upstreams";
/// Time within which a crashed engine refuses a new connection. Covers a lost packet.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time over which a cut reaches the paths to all upstreams of a pool. Crashes are looked at again after it.
const CUT_SPREAD_MAX: Duration = Duration::from_millis(40);
/// Maximum time for which a request waits for the trial of one of its keys, while hardly anything
/// speaks against it.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(400);
/// Interval at which it asks.
const TRIAL_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Minimum retry delay of a caller whose request is suspected. A trial takes about as long.
const REFUSED_DELAY_MIN: Duration = Duration::from_secs(1);

/// Trial of a suspect, granted to one request. If dropped without a result, the next one may
/// begin.
#[derive(Debug)]
pub struct TrialLease {
    node: Rc<ForwardNode>,
    key: SuspectKey,
    /// Node that granted it, unless it is this one.
    keeper: Option<(NodeName, SocketAddr)>,
    granted_at: BootTime,
    /// Whether it counts once its request has been sent, whatever becomes of it.
    counts_when_sent: bool,
    /// Whether a crash or a response has ended it, or its request was sent and counts.
    has_result: bool,
}

impl TrialLease {
    /// Whether it still covers a send of its request. One that counts covers a single send.
    fn covers(&self, key: SuspectKey, now: BootTime) -> bool {
        self.key == key && !self.has_result && now.since(self.granted_at) < TRIAL_TIMEOUT
    }

    /// Records that the request is sent.
    pub fn record_sent(&mut self) {
        self.has_result |= self.counts_when_sent;
    }

    fn settle(mut self) {
        self.has_result = true;
    }
}

impl Drop for TrialLease {
    fn drop(&mut self) {
        match &self.keeper {
            _ if self.has_result => {}
            Some((keeper, address)) => {
                self.node.suspect_outbox.add_release(keeper.clone(), *address, self.key);
            }
            None => self.node.state().suspects.release_trial(self.key),
        }
    }
}

/// Handles the end of a connection at which the request waited for its response or first event: if the
/// upstream has crashed, the request and its parts are reported.
pub async fn handle_closed(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    in_flight: &InFlightRequest,
) {
    let node = &trace.node;
    let upstream = &in_flight.upstream;
    // Upstreams that leave end in order.
    let address = node
        .state()
        .upstreams
        .find(upstream)
        .filter(|row| !row.state().has_left())
        .map(|row| row.entry.address);
    let Some(address) = address else { return };
    let at = clock::now();
    if !is_crashed(node, in_flight, address).await {
        return;
    }
    progress.crashes_met += 1;
    if let Some(trial) = progress.trial.take() {
        trial.settle();
    }
    node.metrics.engine_crashes.inc();
    let fields = json!({
        "request": trace.attempt_id, "upstream": upstream.as_str(),
        "parts": admitted.shared_part_ids(), "key": admitted.key.to_string(),
    });
    node.log.record("engine-crashed", fields);
    let run = RunKey::of(upstream, in_flight.started_ms);
    let report = node.state().suspects.report(run, admitted.suspect_keys(), at);
    let Some(report) = report.map(|report| report.with_wait(at.since(in_flight.sent_at))) else {
        return;
    };
    if node.state().suspects.add_report(report.clone()) {
        node.suspect_outbox.add_report(report);
    }
}

/// Whether the process of the upstream at `address` has ended. While a cut of all paths to its pool begins, others of the
/// pool can still be reached, so it is looked at twice.
async fn is_crashed(
    node: &Rc<ForwardNode>,
    in_flight: &InFlightRequest,
    address: SocketAddr,
) -> bool {
    if !looks_crashed(node, in_flight, address).await {
        return false;
    }
    sleep(CUT_SPREAD_MAX).await;
    looks_crashed(node, in_flight, address).await
}

/// Whether the upstream at `address` refuses connections of this node and of others. A lost path refuses them,
/// too, but only those of some nodes.
async fn looks_crashed(
    node: &Rc<ForwardNode>,
    in_flight: &InFlightRequest,
    address: SocketAddr,
) -> bool {
    let upstream = &in_flight.upstream;
    let is_direct = node.state().paths.route(upstream) == PathRoute::Direct;
    if is_direct {
        match timeout(CONFIRM_TIMEOUT, connect_directly(node, upstream, address)).await {
            Ok(Ok(connection)) => {
                node.keep_connection(upstream, connection, None);
                return false;
            }
            Ok(Err(ConnectError::Io(error))) if error.kind() == ErrorKind::ConnectionRefused => {}
            Ok(Err(_)) | Err(_) => return false,
        }
    }
    match open_tunnel(node, upstream, in_flight.started_ms, TunnelPurpose::Check).await {
        // A cut may have struck others of the pool since they were asked.
        TunnelOutcome::Down { refused } => {
            refused && (!is_direct || find_reached(node, upstream).await == ReachedOthers::SamePool)
        }
        TunnelOutcome::Connected(..) => {
            record_reached(node, upstream);
            false
        }
        TunnelOutcome::Closed(_) => false,
        // Without others that can tell, a node that reaches other upstreams has not lost its paths.
        TunnelOutcome::Unconfirmed | TunnelOutcome::NoPath => {
            is_direct && find_reached(node, upstream).await == ReachedOthers::SamePool
        }
    }
}

/// Records that a response to the request has proven it and its parts sound.
pub fn record_proof(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    node: &ForwardNode,
) {
    if std::mem::replace(&mut progress.proven, true) {
        return;
    }
    if let Some(trial) = progress.trial.take() {
        trial.settle();
    }
    let at = clock::now();
    for key in admitted.suspect_keys() {
        let proof = SuspectProof { key, at };
        if node.state().suspects.add_proof(proof) {
            let fields =
                json!({ "part": key.to_string(), "request": admitted.metadata.attempt_id });
            node.log.record("part-cleared", fields);
            node.suspect_outbox.add_proof(proof);
        }
    }
}

/// Releases `key` on behalf of an operator, on all nodes. Returns whether it was suspected here.
pub fn release_suspect(node: &ForwardNode, key: SuspectKey) -> bool {
    let proof = SuspectProof { key, at: clock::now() };
    let released = node.state().suspects.add_proof(proof);
    node.log.record("part-released", json!({ "part": key.to_string(), "suspected": released }));
    // Other nodes may suspect it even if this one does not.
    node.suspect_outbox.add_proof(proof);
    released
}

/// Checks before a send whether what is known of the request and its parts permits it. Waits for a trial that
/// another request has begun, as long as little speaks against it.
///
/// # Errors
///
/// Returns the error response if the request must not be sent.
pub async fn check_suspects(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
) -> Result<(), ErrorResponse> {
    let node = &trace.node;
    let keys = admitted.suspect_keys();
    let until = clock::now() + TRIAL_WAIT_MAX;
    loop {
        let now = clock::now();
        let Some(suspicion) = node.state().suspects.assess(&keys) else { return Ok(()) };
        let may_try = suspicion.permits_trial_of(progress.crashes_met);
        if may_try && suspicion.trial_at <= now {
            let held = progress.trial.as_ref();
            if held.is_some_and(|trial| trial.covers(suspicion.key, now)) {
                return Ok(());
            }
            if let Some(trial) = acquire_trial(node, &suspicion, &keys).await {
                progress.trial = Some(trial);
                node.metrics.part_trials.inc();
                log_suspicion(admitted, trace, "part-trial", &suspicion);
                return Ok(());
            }
        }
        if !may_try || !suspicion.is_thin() || until <= now {
            node.metrics.part_refusals.inc();
            log_suspicion(admitted, trace, "part-refused", &suspicion);
            return Err(refuse(progress, &suspicion, now));
        }
        sleep(TRIAL_POLL_PERIOD).await;
    }
}

/// Why a request that was admitted by [`check_suspects`] must not be sent any more.
pub fn barring_reason(admitted: &AdmittedRequest, node: &ForwardNode) -> Option<&'static str> {
    let suspicion = node.state().suspects.assess(&admitted.suspect_keys())?;
    (clock::now() < suspicion.trial_at).then_some(refusal_reason(&suspicion))
}

fn refusal_reason(suspicion: &KeySuspicion) -> &'static str {
    if suspicion.key.is_request() { REQUEST_REASON } else { PART_REASON }
}

fn refuse(progress: &RequestProgress, suspicion: &KeySuspicion, now: BootTime) -> ErrorResponse {
    let reason = refusal_reason(suspicion);
    if progress.verdict == RunVerdict::NotRun {
        let wait = suspicion.trial_at.since(now).max(REFUSED_DELAY_MIN);
        return ErrorResponse::not_executed(reason, wait);
    }
    unanswered_error(progress, reason, Duration::ZERO)
}

fn log_suspicion(
    admitted: &AdmittedRequest,
    trace: &RequestTrace,
    kind: &'static str,
    suspicion: &KeySuspicion,
) {
    let now = clock::now();
    let blamed = |key: &&str| SuspectKey::of_part(key) == suspicion.key;
    let fields = json!({
        "request": trace.attempt_id, "part": admitted.shared_part_ids().iter().find(|part| blamed(part)),
        "key": suspicion.key.to_string(), "crashes": suspicion.crashes,
        "last_crash_ms": now.since(suspicion.last_crash).as_millis(),
        "trial_in_ms": suspicion.trial_at.since(now).as_millis(),
    });
    trace.node.log.record(kind, fields);
}

/// Asks the keeper of the suspect for a trial by a request with `keys`.
async fn acquire_trial(
    node: &Rc<ForwardNode>,
    suspicion: &KeySuspicion,
    keys: &[SuspectKey],
) -> Option<TrialLease> {
    let key = suspicion.key;
    let grant = |keeper| TrialLease {
        node: Rc::clone(node),
        key,
        keeper,
        granted_at: clock::now(),
        counts_when_sent: suspicion.counts_trials(),
        has_result: false,
    };
    let socket = node.peer_socket.borrow().clone();
    let keeper = {
        let state = node.state();
        let found = find_keeper(key, state.members.list().entries());
        found.map(|entry| (entry.node.clone(), entry.peer))
    };
    let own_name = node.settings().name.clone();
    let remote = keeper.filter(|(name, _)| *name != own_name);
    if let (Some(socket), Some((keeper, address))) = (socket, remote) {
        let decision = query_trial(node, &socket, (&keeper, address), (key, keys)).await;
        if let Some(granted) = decision {
            return granted.then(|| grant(Some((keeper, address))));
        }
        // Without its keeper, a suspect is tried while little speaks against it.
        if !suspicion.is_thin() {
            return None;
        }
    }
    let granted = node.state().suspects.grant_trial(key, keys, clock::now());
    granted.then(|| grant(None))
}
