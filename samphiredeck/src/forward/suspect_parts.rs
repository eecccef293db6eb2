//! Keeps requests with prompt parts that crash engines from further engines: confirms crashes, checks
//! requests before each send, and exchanges what is known with other nodes.

use std::{cell::RefCell, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use rand::seq::IndexedRandom;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::suspect_parts::{
        AppliedUpdate, CrashReport, PartProof, PartSuspicion, SuspectUpdate, TRIAL_TIMEOUT,
        find_keeper,
    },
    ids::{NodeName, PartKey, RunKey},
    verdict::RunVerdict,
};
use samphiredeck_wire::forward::ForwardDatagram;
use serde_json::json;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::forward::{
    clock,
    http_connection::ConnectError,
    in_flight::InFlightRequest,
    node::ForwardNode,
    peer_messages::{query_trial, send, send_suspects},
    peer_socket::PeerSocket,
    request::{AdmittedRequest, ErrorResponse, RequestTrace},
    request_progress::{RequestProgress, unanswered_error},
};

/// Reason of a refusal, as told to callers.
pub const REFUSAL_REASON: &str = "a part of the prompt crashes the engines";
/// Time within which a crashed engine refuses a new connection. Covers a lost packet.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for which a request waits for the trial of one of its parts, while hardly anything
/// speaks against the part.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(400);
/// Interval at which it asks.
const TRIAL_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Minimum retry delay of a caller whose request has a suspected part. A trial takes about as long.
const REFUSED_DELAY_MIN: Duration = Duration::from_secs(1);
/// Number of nodes that are told of a report or a proof by the node that has it first.
const PEERS_TOLD: usize = 8;
/// Number of nodes that each of them tells, in clusters that are larger.
const PEERS_TOLD_FURTHER: usize = 4;
/// Minimum time between two such messages. Bounds the traffic after the loss of a failure domain.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(200);
/// Maximum number of reports and proofs that wait to be told. Further ones reach others by
/// [`compare_suspects`].
const OUTBOX_MAX: usize = 128;
/// Interval at which a node compares its reports with those of another one.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Number of nodes that a starting node compares with first.
const PEERS_AT_START: usize = 3;
/// Interval at which it looks for them.
const START_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Maximum size of the reports and proofs in a datagram, in bytes.
const UPDATE_BYTES_MAX: usize = 1_000;
/// Size of a report without its parts, and of a part or a proof, in bytes at most.
const REPORT_BYTES: usize = 24;
const PART_BYTES: usize = 10;
const PROOF_BYTES: usize = 20;

/// Reports and proofs that other nodes are to be told.
#[derive(Debug, Default)]
pub struct SuspectOutbox {
    reports: RefCell<Vec<CrashReport>>,
    proofs: RefCell<Vec<PartProof>>,
    /// Trials without a result, with their keepers.
    releases: RefCell<Vec<(NodeName, SocketAddr, PartKey)>>,
    changed: Notify,
}

/// Trial of a suspected part, granted to one request. If dropped without a result, the next one may
/// begin.
#[derive(Debug)]
pub struct PartTrial {
    node: Rc<ForwardNode>,
    part: PartKey,
    /// Node that granted it, unless it is this one.
    keeper: Option<(NodeName, SocketAddr)>,
    granted_at: BootTime,
    /// Whether a crash or a response has ended it.
    has_result: bool,
}

impl PartTrial {
    /// Whether it still covers a send of its request.
    fn covers(&self, part: PartKey, now: BootTime) -> bool {
        self.part == part && now.since(self.granted_at) < TRIAL_TIMEOUT
    }

    fn settle(mut self) {
        self.has_result = true;
    }
}

impl Drop for PartTrial {
    fn drop(&mut self) {
        match &self.keeper {
            _ if self.has_result => {}
            Some((keeper, address)) => {
                let mut releases = self.node.suspect_outbox.releases.borrow_mut();
                releases.push((keeper.clone(), *address, self.part));
                self.node.suspect_outbox.changed.notify_one();
            }
            None => self.node.state().suspects.release_trial(self.part),
        }
    }
}

impl SuspectOutbox {
    /// Adds what another node or the store has told.
    pub fn add(&self, applied: AppliedUpdate) {
        applied.reports.into_iter().for_each(|report| self.add_report(report));
        applied.proofs.into_iter().for_each(|proof| self.add_proof(proof));
    }

    fn add_report(&self, report: CrashReport) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() < OUTBOX_MAX {
            reports.push(report);
            self.changed.notify_one();
        }
    }

    fn add_proof(&self, proof: PartProof) {
        let mut proofs = self.proofs.borrow_mut();
        if proofs.len() < OUTBOX_MAX {
            proofs.push(proof);
            self.changed.notify_one();
        }
    }
}

/// Handles the end of a connection at which the request waited for its first event: if the engine has
/// crashed, its parts are reported.
pub async fn handle_closed(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
    in_flight: &InFlightRequest,
) {
    let node = &trace.node;
    let upstream = &in_flight.upstream;
    let keys = admitted.part_keys();
    // Upstreams that leave end in order.
    let address = node
        .state()
        .upstreams
        .find(upstream)
        .filter(|row| !row.state().has_left())
        .map(|row| row.entry.address);
    let Some(address) = address.filter(|_| !keys.is_empty()) else { return };
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
        "parts": admitted.shared_part_ids(),
    });
    node.log.record("engine-crashed", fields);
    let run = RunKey::of(upstream, in_flight.started_ms);
    let Some(report) = node.state().suspects.report(run, keys, at) else { return };
    if node.state().suspects.add_report(report.clone()) {
        node.suspect_outbox.add_report(report);
    }
}

/// Whether the process at `address` has ended: it refuses connections.
async fn is_crashed(node: &ForwardNode, in_flight: &InFlightRequest, address: SocketAddr) -> bool {
    match timeout(CONFIRM_TIMEOUT, node.connections.connect(address)).await {
        Ok(Ok(connection)) => {
            node.metrics.connections.inc();
            node.keep_connection(&in_flight.upstream, connection, None);
            false
        }
        Ok(Err(ConnectError::Io(error))) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Records that a response to the request has proven its parts sound.
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
    for part in admitted.part_keys() {
        let proof = PartProof { part, at };
        if node.state().suspects.add_proof(proof) {
            let fields =
                json!({ "part": part.to_string(), "request": admitted.metadata.attempt_id });
            node.log.record("part-cleared", fields);
            node.suspect_outbox.add_proof(proof);
        }
    }
}

/// Releases `part` on behalf of an operator, on all nodes. Returns whether it was suspected here.
pub fn release_part(node: &ForwardNode, part: PartKey) -> bool {
    let proof = PartProof { part, at: clock::now() };
    let released = node.state().suspects.add_proof(proof);
    node.log.record("part-released", json!({ "part": part.to_string(), "suspected": released }));
    // Other nodes may suspect it even if this one does not.
    node.suspect_outbox.add_proof(proof);
    released
}

/// Checks before a send whether the prompt parts of the request permit it. Waits for a trial that
/// another request has begun, as long as little speaks against the part.
///
/// # Errors
///
/// Returns the error response if the request must not be sent.
pub async fn check_parts(
    admitted: &AdmittedRequest,
    progress: &mut RequestProgress,
    trace: &RequestTrace,
) -> Result<(), ErrorResponse> {
    let node = &trace.node;
    let keys = admitted.part_keys();
    let until = clock::now() + TRIAL_WAIT_MAX;
    loop {
        let now = clock::now();
        let Some(suspicion) = node.state().suspects.assess(&keys) else { return Ok(()) };
        let may_try = suspicion.permits_trial_of(progress.crashes_met);
        if may_try && suspicion.trial_at <= now {
            let held = progress.trial.as_ref();
            if held.is_some_and(|trial| trial.covers(suspicion.part, now)) {
                return Ok(());
            }
            if let Some(trial) = acquire_trial(node, &suspicion).await {
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

/// Whether a request that was admitted by [`check_parts`] must not be sent any more.
pub fn is_barred(admitted: &AdmittedRequest, node: &ForwardNode) -> bool {
    let suspicion = node.state().suspects.assess(&admitted.part_keys());
    suspicion.is_some_and(|suspicion| clock::now() < suspicion.trial_at)
}

fn refuse(progress: &RequestProgress, suspicion: &PartSuspicion, now: BootTime) -> ErrorResponse {
    if progress.verdict == RunVerdict::NotRun {
        let wait = suspicion.trial_at.since(now).max(REFUSED_DELAY_MIN);
        return ErrorResponse::not_executed(REFUSAL_REASON, wait);
    }
    unanswered_error(progress, REFUSAL_REASON, Duration::ZERO)
}

fn log_suspicion(
    admitted: &AdmittedRequest,
    trace: &RequestTrace,
    kind: &'static str,
    suspicion: &PartSuspicion,
) {
    let now = clock::now();
    let blamed = |part: &&str| PartKey::of(part) == suspicion.part;
    let fields = json!({
        "request": trace.attempt_id, "part": admitted.shared_part_ids().iter().find(|part| blamed(part)),
        "key": suspicion.part.to_string(), "crashes": suspicion.crashes,
        "last_crash_ms": now.since(suspicion.last_crash).as_millis(),
        "trial_in_ms": suspicion.trial_at.since(now).as_millis(),
    });
    trace.node.log.record(kind, fields);
}

/// Asks the keeper of the suspected part for a trial.
async fn acquire_trial(node: &Rc<ForwardNode>, suspicion: &PartSuspicion) -> Option<PartTrial> {
    let part = suspicion.part;
    let grant = |keeper| PartTrial {
        node: Rc::clone(node),
        part,
        keeper,
        granted_at: clock::now(),
        has_result: false,
    };
    let socket = node.peer_socket.borrow().clone();
    let keeper = {
        let state = node.state();
        let found = find_keeper(part, state.members.list().entries());
        found.map(|entry| (entry.node.clone(), entry.peer))
    };
    let own_name = node.settings().name.clone();
    let remote = keeper.filter(|(name, _)| *name != own_name);
    if let (Some(socket), Some((keeper, address))) = (socket, remote) {
        let decision = query_trial(node, &socket, (&keeper, address), part).await;
        if let Some(granted) = decision {
            return granted.then(|| grant(Some((keeper, address))));
        }
        // Without its keeper, a part is tried while little speaks against it.
        if !suspicion.is_thin() {
            return None;
        }
    }
    let granted = node.state().suspects.grant_trial(part, clock::now());
    granted.then(|| grant(None))
}

/// Tells other nodes of new reports and proofs.
pub async fn announce_suspects(node: Rc<ForwardNode>) {
    loop {
        node.suspect_outbox.changed.notified().await;
        let reports = node.suspect_outbox.reports.take();
        let proofs = node.suspect_outbox.proofs.take();
        let releases = node.suspect_outbox.releases.take();
        let socket = node.peer_socket.borrow().clone();
        if let Some(socket) = socket {
            for (keeper, address, part) in releases {
                let datagram = ForwardDatagram::ReleaseTrial { part };
                send(&node, &socket, &keeper, address, &datagram).await;
            }
            let peers = choose_peers(&node, PEERS_TOLD);
            for update in encode_updates(&node, &reports, &proofs) {
                for (peer, address) in &peers {
                    send_suspects(&node, &socket, (peer, *address), update.clone()).await;
                }
            }
        }
        sleep(ANNOUNCE_SPACING).await;
    }
}

/// Compares the reports of this node with those of another one, again and again, so that nodes which
/// start or return from a cut learn what the others know.
pub async fn compare_suspects(node: Rc<ForwardNode>) {
    while compare_with(&node, PEERS_AT_START).await == 0 {
        sleep(START_POLL_PERIOD).await;
    }
    loop {
        sleep(COMPARE_PERIOD).await;
        node.state().suspects.remove_settled(clock::now());
        compare_with(&node, 1).await;
    }
}

/// Sends the digest of the reports to `count` other nodes at most. Returns to how many.
async fn compare_with(node: &ForwardNode, count: usize) -> usize {
    let Some(socket) = node.peer_socket.borrow().clone() else { return 0 };
    let digest = node.state().suspects.digest();
    let peers = choose_peers(node, count);
    for (peer, address) in &peers {
        let datagram = ForwardDatagram::QuerySuspects { digest };
        send(node, &socket, peer, *address, &datagram).await;
    }
    peers.len()
}

/// Random nodes other than this one, `count` at most.
fn choose_peers(node: &ForwardNode, count: usize) -> Vec<(NodeName, SocketAddr)> {
    let own_name = node.settings().name.clone();
    let state = node.state();
    let others: Vec<_> = state
        .members
        .list()
        .entries()
        .iter()
        .filter(|entry| entry.node != own_name)
        .map(|entry| (entry.node.clone(), entry.peer))
        .collect();
    others.choose_multiple(&mut rand::rng(), count).cloned().collect()
}

/// Encodes `reports`, with the proofs of their parts, and `proofs`, in as many updates as needed.
fn encode_updates(
    node: &ForwardNode,
    reports: &[CrashReport],
    proofs: &[PartProof],
) -> Vec<SuspectUpdate> {
    let now = clock::now();
    let state = node.state();
    let mut updates = vec![SuspectUpdate::default()];
    let mut left = UPDATE_BYTES_MAX;
    let mut reserve = |updates: &mut Vec<SuspectUpdate>, bytes: usize| {
        if bytes > left {
            updates.push(SuspectUpdate::default());
            left = UPDATE_BYTES_MAX;
        }
        left = left.saturating_sub(bytes);
        updates.len() - 1
    };
    for report in reports {
        let (shared, proven) = state.suspects.share(report, now);
        let bytes = REPORT_BYTES + PART_BYTES * shared.parts.len() + PROOF_BYTES * proven.len();
        let at = reserve(&mut updates, bytes);
        updates[at].reports.push(shared);
        updates[at].proofs.extend(proven);
    }
    for proof in proofs {
        let at = reserve(&mut updates, PROOF_BYTES);
        updates[at].proofs.push(proof.share(now));
    }
    updates.retain(|update| !update.is_empty());
    updates
}

/// Sends `peer` the reports of this node, if their digest differs. Of more than fit into a datagram, it
/// gets random ones.
pub async fn answer_comparison(
    node: &ForwardNode,
    socket: &PeerSocket,
    peer: (&NodeName, SocketAddr),
    digest: u64,
) {
    if node.state().suspects.digest() == digest {
        return;
    }
    let reports = {
        let state = node.state();
        let reports = state.suspects.reports();
        reports.choose_multiple(&mut rand::rng(), reports.len()).cloned().collect::<Vec<_>>()
    };
    if let Some(update) = encode_updates(node, &reports, &[]).into_iter().next() {
        send_suspects(node, socket, peer, update).await;
    }
}

/// Applies what another node told, and tells more nodes of what is new.
pub async fn handle_update(
    node: &ForwardNode,
    socket: &PeerSocket,
    (peer, address): (&NodeName, SocketAddr),
    update: SuspectUpdate,
) {
    let applied = node.state().suspects.apply_update(update, clock::now());
    if !applied.reports.is_empty() || !applied.proofs.is_empty() {
        let reports = node.state().suspects.reports().len();
        let fields = json!({
            "from": peer.as_str(), "reports": reports, "new_reports": applied.reports.len(),
            "cleared": applied.proofs.len(),
        });
        node.log.record("suspects", fields);
        if node.state().members.list().entries().len() > PEERS_TOLD + 1 {
            let peers = choose_peers(node, PEERS_TOLD_FURTHER);
            for update in encode_updates(node, &applied.reports, &applied.proofs) {
                for (other, address) in &peers {
                    send_suspects(node, socket, (other, *address), update.clone()).await;
                }
            }
        }
    }
    for update in encode_updates(node, &[], &applied.missing) {
        send_suspects(node, socket, (peer, address), update).await;
    }
}
