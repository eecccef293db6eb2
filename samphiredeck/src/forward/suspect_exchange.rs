//! Tells other nodes which requests and prompt parts are suspected, and applies what they tell.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use rand::seq::IndexedRandom;
use samphiredeck_core::{
    forward::suspects::{
        CrashReport, SuspectProof,
        exchange::{AppliedUpdate, PublishedSuspects, SuspectUpdate},
    },
    ids::{NodeName, SuspectKey},
};
use samphiredeck_wire::forward::ForwardDatagram;
use serde_json::json;
use tokio::{sync::Notify, time::sleep};

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_choice::{PEERS_AT_START, PEERS_TOLD, choose_peers},
    peer_messages::{query, send, send_suspects},
    peer_socket::PeerSocket,
};

/// Response timeout of a query for the trial of a suspect, for which a caller waits.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(80);
/// Minimum time between two such messages. Bounds the traffic after the loss of a failure domain.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(200);
/// Maximum number of reports and proofs that wait to be told. Further ones reach others by
/// [`compare_suspects`].
const OUTBOX_MAX: usize = 128;
/// Interval at which a node compares its reports with those of another one.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which it looks for them.
const START_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Maximum size of the reports and proofs in a datagram, in bytes.
const UPDATE_BYTES_MAX: usize = 1_000;
/// Size of a report without its keys, and of a key or a proof, in bytes at most.
const REPORT_BYTES: usize = 34;
const KEY_BYTES: usize = 10;
const PROOF_BYTES: usize = 20;

/// Reports and proofs that other nodes are to be told.
#[derive(Debug, Default)]
pub struct SuspectOutbox {
    reports: RefCell<Vec<CrashReport>>,
    proofs: RefCell<Vec<SuspectProof>>,
    /// Trials without a result, with their keepers.
    releases: RefCell<Vec<(NodeName, SocketAddr, SuspectKey)>>,
    changed: Notify,
}

impl SuspectOutbox {
    /// Adds what another node or the store has told.
    pub fn add(&self, applied: AppliedUpdate) {
        applied.reports.into_iter().for_each(|report| self.add_report(report));
        applied.proofs.into_iter().for_each(|proof| self.add_proof(proof));
    }

    /// Adds a new report.
    pub fn add_report(&self, report: CrashReport) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() < OUTBOX_MAX {
            reports.push(report);
            self.changed.notify_one();
        }
    }

    /// Adds a proof that clears a request or part.
    pub fn add_proof(&self, proof: SuspectProof) {
        let mut proofs = self.proofs.borrow_mut();
        if proofs.len() < OUTBOX_MAX {
            proofs.push(proof);
            self.changed.notify_one();
        }
    }

    /// Adds the release of a trial that `keeper` granted.
    pub fn add_release(&self, keeper: NodeName, address: SocketAddr, key: SuspectKey) {
        self.releases.borrow_mut().push((keeper, address, key));
        self.changed.notify_one();
    }
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
            for (keeper, address, key) in releases {
                let datagram = ForwardDatagram::ReleaseTrial { key };
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

/// Encodes `reports`, with the proofs of their keys, and `proofs`, in as many updates as needed.
fn encode_updates(
    node: &ForwardNode,
    reports: &[CrashReport],
    proofs: &[SuspectProof],
) -> Vec<PublishedSuspects> {
    let now = clock::now();
    let state = node.state();
    let Some(written_ms) = state.clock.store_ms(now) else { return Vec::new() };
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
        let bytes = REPORT_BYTES + KEY_BYTES * shared.keys.len() + PROOF_BYTES * proven.len();
        let at = reserve(&mut updates, bytes);
        updates[at].reports.push(shared);
        updates[at].proofs.extend(proven);
    }
    for proof in proofs {
        let at = reserve(&mut updates, PROOF_BYTES);
        updates[at].proofs.push(proof.share(now));
    }
    updates.retain(|update| !update.is_empty());
    updates.into_iter().map(|update| PublishedSuspects { written_ms, update }).collect()
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
    published: PublishedSuspects,
) {
    let applied = {
        let mut state = node.state();
        let now = clock::now();
        // Without the store's clock, the node is told again by a later comparison.
        let Some(store_ms) = state.clock.store_ms(now) else { return };
        state.suspects.apply_update(published.into_update(store_ms), now)
    };
    for update in encode_updates(node, &[], &applied.missing) {
        send_suspects(node, socket, (peer, address), update).await;
    }
    if applied.reports.is_empty() && applied.proofs.is_empty() {
        return;
    }
    let fields = json!({
        "from": peer.as_str(), "reports": node.state().suspects.reports().len(),
        "new_reports": applied.reports.len(), "cleared": applied.proofs.len(),
    });
    node.log.record("suspects", fields);
    node.suspect_outbox.add(applied);
}

/// Asks the keeper at `address` for a trial of `key` by a request with `keys`. Returns `None` if it does
/// not respond.
pub async fn query_trial(
    node: &ForwardNode,
    socket: &PeerSocket,
    (keeper, address): (&NodeName, SocketAddr),
    (key, keys): (SuspectKey, &[SuspectKey]),
) -> Option<bool> {
    let id = socket.next_id();
    let datagram = ForwardDatagram::AcquireTrial { query_id: id, key, keys: keys.to_vec() };
    match query(node, socket, (keeper, address), (id, &datagram), TRIAL_TIMEOUT).await {
        Some(ForwardDatagram::TrialDecision { granted, .. }) => Some(granted),
        _ => None,
    }
}
