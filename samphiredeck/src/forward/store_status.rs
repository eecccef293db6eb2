//! Store status queries between nodes, so that only a few of them read the store.

use std::{rc::Rc, time::Duration};

use rand::seq::IndexedRandom;
use samphiredeck_core::{
    boot_time::BootTime,
    forward::{
        store_readers::{ReaderCandidate, StoreStatus, order_readers},
        upstream_list::UpstreamDelta,
        upstreams::{ListUpdate, PeerListStatus},
    },
    ids::NodeName,
};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_messages::{fetch_config, query_store_status},
    peer_socket::PeerSocket,
    store_returns::adopt_era,
    store_watch::apply_config_row,
    upstream_changes::handle_list_changes,
};

/// Number of readers queried before a node reads the store itself.
const READERS_QUERIED: usize = 3;
/// Number of other nodes queried at a time by a node that can't reach the store.
const PEERS_QUERIED: usize = 2;
/// Maximum number of further queries to a reader that has just started, by a node that has, too.
const STARTING_QUERIES: usize = 3;
/// Pause before each of them.
const STARTING_PAUSE: Duration = Duration::from_millis(60);
/// Age from which a node reads the upstream list itself, even if other nodes hold the same one.
/// Including the time to the next query, it stays well below the users' bound of two seconds on new
/// requests to leaving upstreams.
const RELAYED_LIST_AGE_MAX: Duration = Duration::from_secs(1);

fn candidates(node: &ForwardNode) -> Vec<ReaderCandidate> {
    node.state().members.reader_candidates()
}

/// Queries the readers of this node until one reaches the store. Returns whether the upstream list
/// is known to be current, so that this node need not read it.
pub async fn query_readers(node: &Rc<ForwardNode>) -> bool {
    let settings = node.settings();
    let order = order_readers(&settings.name, &settings.domain, candidates(node));
    // A starting node reads for itself sooner: callers wait for its first configuration.
    let queried = if is_starting(node) { 1 } else { READERS_QUERIED };
    for reader in order.iter().take(queried) {
        if *reader == settings.name {
            break;
        }
        let mut status = query_peer(node, reader).await;
        // After a loss of all nodes, a reader starts together with its followers.
        for _ in 0..STARTING_QUERIES {
            if !is_starting(node) || status.as_ref().is_none_or(|status| !status.is_starting) {
                break;
            }
            sleep(STARTING_PAUSE).await;
            status = query_peer(node, reader).await;
        }
        if let Some(status) = status.filter(|status| status.reaches_store) {
            set_reader(node, Some(reader));
            return status.list_is_current;
        }
    }
    set_reader(node, None);
    false
}

/// Whether this node has not learned anything of the store's content yet.
fn is_starting(node: &ForwardNode) -> bool {
    node.state().freshness.age(clock::now()).is_none()
}

/// Queries random nodes for their store status, since the store does not respond to this one.
pub async fn query_random_peers(node: &Rc<ForwardNode>) {
    let own_name = node.settings().name.clone();
    let mut others = candidates(node);
    others.retain(|candidate| candidate.node != own_name);
    let chosen: Vec<ReaderCandidate> =
        others.choose_multiple(&mut rand::rng(), PEERS_QUERIED).cloned().collect();
    for other in chosen {
        query_peer(node, &other.node).await;
    }
}

/// Result of a status query.
struct PeerStatus {
    /// Whether the other node reaches the store.
    reaches_store: bool,
    /// Whether the other node has not read the store yet.
    is_starting: bool,
    /// Whether the upstream list is known to be current.
    list_is_current: bool,
}

/// Queries `other` and applies its store status. Returns `None` if it does not respond.
async fn query_peer(node: &Rc<ForwardNode>, other: &NodeName) -> Option<PeerStatus> {
    let socket = node.peer_socket.borrow().clone()?;
    let (store_status, sent_at) = query_whole_status(node, &socket, other).await?;
    if let Some(config) = store_status.config {
        adopt_era(node, config.row.era(), other.as_str());
    }
    if let Some(config) = store_status.config
        && config.row > node.state().config_row.version()
        && let Some(value) = fetch_config(node, &socket, other, config.row).await
    {
        apply_config_row(node, config.row, Some(&value), sent_at);
    }
    let now = clock::now();
    let mut state = node.state();
    let reaches_store = store_status
        .config
        .is_some_and(|known| state.freshness.is_peer_current(Duration::from_millis(known.age_ms)));
    // Ages are counted from the send time of the query, so that network delay never makes them too
    // low.
    let as_of = |age_ms| sent_at.checked_sub(Duration::from_millis(age_ms));
    if let Some(config) = store_status.config
        && let Some(as_of) = as_of(config.age_ms)
    {
        if state.config_row.is_confirmed_by(config.row) {
            state.freshness.record_confirmation(as_of);
        } else if config.row > state.config_row.version() {
            state.newer_config_reported = true;
        }
    }
    let list_status = store_status.list.and_then(|list| {
        let as_of = as_of(list.age_ms)?;
        Some(PeerListStatus {
            digest: list.digest,
            version: list.version,
            as_of,
            delta: list.delta,
        })
    });
    let update = list_status.map(|list_status| state.upstreams.apply_peer_status(list_status, now));
    let list_is_current = match update {
        Some(ListUpdate::Applied(changes)) => {
            handle_list_changes(node, &state, &changes, now);
            true
        }
        Some(ListUpdate::Stale) | None => true,
        Some(ListUpdate::Refetch) => false,
    };
    let is_recent =
        state.upstreams.read_at().is_some_and(|at| now.since(at) < RELAYED_LIST_AGE_MAX);
    Some(PeerStatus {
        reaches_store,
        is_starting: store_status.config.is_none(),
        list_is_current: list_is_current && is_recent,
    })
}

/// Queries the store status of `other` with all pages of the changes of the upstream list. Returns
/// it with the time of the last query.
async fn query_whole_status(
    node: &ForwardNode,
    socket: &PeerSocket,
    other: &NodeName,
) -> Option<(StoreStatus, BootTime)> {
    let mut received: Option<(u64, UpstreamDelta)> = None;
    loop {
        let skip = received.as_ref().map_or(0, |(_, delta)| delta.len());
        let skip = u32::try_from(skip).unwrap_or(u32::MAX);
        let sent_at = clock::now();
        let mut status = query_store_status(node, socket, other, skip).await?;
        let Some(list) = status.list.as_mut() else { return Some((status, sent_at)) };
        let Some(page) = list.delta.take() else { return Some((status, sent_at)) };
        let delta = match received.take() {
            Some((digest, mut delta)) if digest == list.digest && delta.from == page.from => {
                delta.append(page);
                delta
            }
            // The list changed between two pages. The next round starts from the beginning.
            Some(_) => return Some((status, sent_at)),
            None => page,
        };
        if list.remaining == 0 {
            list.delta = Some(delta);
            return Some((status, sent_at));
        }
        received = Some((list.digest, delta));
    }
}

/// Sets the node that store status is obtained from. `None` stands for the store itself.
fn set_reader(node: &ForwardNode, reader: Option<&NodeName>) {
    let mut state = node.state();
    state.has_chosen_reader = true;
    if state.reader.as_ref() == reader {
        return;
    }
    let name = |reader: Option<&NodeName>| reader.map_or("store".to_owned(), ToString::to_string);
    let fields = json!({ "from": name(reader), "before": name(state.reader.as_ref()) });
    node.log.record("reader", fields);
    state.reader = reader.cloned();
}
