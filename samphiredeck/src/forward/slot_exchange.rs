//! Asks the keepers of brittle upstreams for slots, counts those of other nodes, and tells nodes which pools are
//! brittle.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use samphiredeck_core::{
    forward::{
        brittle_pools::SharedBrittle,
        upstream_slots::{SlotDecision, divide_slots, find_slot_keeper},
    },
    ids::{NodeName, UpstreamId},
};
use samphiredeck_wire::forward::{ForwardDatagram, HeldSlots, SlotMessage};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_choice::{PEERS_TOLD, choose_peers},
    peer_messages::{query, send},
    peer_socket::PeerSocket,
    state::ForwardState,
    upstream_changes::log_brittle_change,
};

/// Response timeout of a keeper, for which a request waits.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval at which free slots are looked for, and keepers told.
const REPORT_PERIOD: Duration = Duration::from_millis(20);
/// Interval at which other nodes are told of brittle pools while there are any.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two announcements.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(20);
/// Maximum number of upstreams in a report, so that it fits into a datagram.
const REPORT_UPSTREAMS: usize = 20;

/// Takes a slot for a request to `upstream`, if that needs one. The caller has to count the request as in flight
/// before it waits for anything. Returns whether the request may be sent.
pub async fn acquire_slot(node: &Rc<ForwardNode>, upstream: &UpstreamId) -> bool {
    let (held, slots) = {
        let mut state = node.state();
        let Some(row) = state.upstreams.find(upstream) else { return true };
        match row.decide_slot(clock::now()) {
            SlotDecision::Free => return true,
            SlotDecision::Full => return false,
            SlotDecision::Ask => {}
        }
        let known = (row.slots.held(), row.entry.slots);
        if let Some(slots) = state.upstreams.slots_mut(upstream) {
            slots.record_asked();
        }
        known
    };
    let reply = ask_keeper(node, upstream, held, slots).await;
    let granted = {
        let mut state = node.state();
        let share = own_share(node, &state, upstream, slots);
        state.upstreams.record_slot_reply(upstream, reply, share, clock::now())
    };
    let result = if granted { &node.metrics.slots.granted } else { &node.metrics.slots.denied };
    result.inc();
    if reply.is_none() {
        node.metrics.slots.unanswered.inc();
    }
    granted
}

/// Asks the keeper of `upstream` for a slot beside `held` ones. `None` if it does not reply.
async fn ask_keeper(
    node: &Rc<ForwardNode>,
    upstream: &UpstreamId,
    held: u32,
    slots: u32,
) -> Option<bool> {
    let own_name = node.settings().name.clone();
    let (keeper, address) = find_keeper(&node.state(), upstream)?;
    if keeper == own_name {
        let now = clock::now();
        return Some(node.state().slot_keeper.acquire(&own_name, (upstream, slots), held, now));
    }
    let socket = node.peer_socket.borrow().clone()?;
    let id = socket.next_id();
    let message = SlotMessage::Acquire { query_id: id, upstream: upstream.clone(), held };
    let datagram = ForwardDatagram::Slots(message);
    match query(node, &socket, (&keeper, address), (id, &datagram), KEEPER_TIMEOUT).await {
        Some(ForwardDatagram::Slots(SlotMessage::Decision { granted, .. })) => Some(granted),
        _ => None,
    }
}

fn find_keeper(state: &ForwardState, upstream: &UpstreamId) -> Option<(NodeName, SocketAddr)> {
    let keeper = find_slot_keeper(upstream, state.members.list().entries())?;
    Some((keeper.node.clone(), keeper.peer))
}

/// Slots of `upstream` that belong to this node if nobody counts them.
fn own_share(node: &ForwardNode, state: &ForwardState, upstream: &UpstreamId, slots: u32) -> u32 {
    let own_name = node.settings().name.clone();
    let members = state.members.list().entries();
    let position = members.binary_search_by(|entry| entry.node.cmp(&own_name));
    let position = position.ok().and_then(|position| u32::try_from(position).ok());
    position.map_or(0, |position| divide_slots(upstream, slots, position, state.members.count()))
}

/// Records that `upstream` has turned a request away, and tells its keeper.
pub fn record_refusal(node: &Rc<ForwardNode>, upstream: &UpstreamId) {
    let held = {
        let mut state = node.state();
        let slots = state.upstreams.slots_mut(upstream);
        let Some(slots) = slots.filter(|slots| slots.is_brittle()) else { return };
        slots.record_refusal(clock::now());
        slots.held()
    };
    let fields = json!({ "upstream": upstream.as_str(), "held": held });
    node.log.record("slot-refused", fields);
    let slots = HeldSlots { upstream: upstream.clone(), held, refused: true };
    let node = Rc::clone(node);
    actix_web::rt::spawn(async move { report_slots(&node, vec![slots]).await });
}

/// Tells the keepers of `slots` about them.
async fn report_slots(node: &Rc<ForwardNode>, slots: Vec<HeldSlots>) {
    let own_name = node.settings().name.clone();
    let mut by_keeper: Vec<((NodeName, SocketAddr), HeldSlots)> = {
        let state = node.state();
        let keeper_of = |slots: HeldSlots| Some((find_keeper(&state, &slots.upstream)?, slots));
        slots.into_iter().filter_map(keeper_of).collect()
    };
    by_keeper.sort_by(|left, right| left.0.cmp(&right.0));
    let socket = node.peer_socket.borrow().clone();
    for group in by_keeper.chunk_by(|left, right| left.0 == right.0) {
        let (keeper, address) = &group[0].0;
        let slots: Vec<HeldSlots> = group.iter().map(|(_, slots)| slots.clone()).collect();
        if *keeper == own_name {
            apply_report(node, &own_name, &slots);
            continue;
        }
        let Some(socket) = &socket else { continue };
        for page in slots.chunks(REPORT_UPSTREAMS) {
            let message = SlotMessage::Report { slots: page.to_vec() };
            send(node, socket, keeper, *address, &ForwardDatagram::Slots(message)).await;
        }
    }
}

fn apply_report(node: &ForwardNode, holder: &NodeName, slots: &[HeldSlots]) {
    let now = clock::now();
    let mut state = node.state();
    let state = &mut *state;
    for HeldSlots { upstream, held, refused } in slots {
        let Some(row) = state.upstreams.find(upstream) else { continue };
        let kept = (upstream, row.entry.slots);
        state.slot_keeper.record(holder, kept, (*held, *refused), now);
    }
}

/// Returns free slots, and tells keepers which ones this node holds, until the process exits.
pub async fn return_slots(node: Rc<ForwardNode>) {
    loop {
        sleep(REPORT_PERIOD).await;
        let now = clock::now();
        let due: Vec<HeldSlots> = {
            let mut state = node.state();
            if !state.upstreams.brittle.has_any() {
                continue;
            }
            state.slot_keeper.remove_idle(now);
            let due = state.upstreams.take_due_slots(now).into_iter();
            due.map(|(upstream, held)| HeldSlots { upstream, held, refused: false }).collect()
        };
        if !due.is_empty() {
            report_slots(&node, due).await;
        }
    }
}

/// Tells other nodes of brittle pools, until the process exits.
pub async fn announce_brittle(node: Rc<ForwardNode>) {
    loop {
        let has_changed = timeout(ANNOUNCE_PERIOD, node.brittle_changed.notified()).await.is_ok();
        let pools = node.state().upstreams.brittle.share(clock::now());
        let socket = node.peer_socket.borrow().clone();
        if let Some(socket) = socket.filter(|_| !pools.is_empty()) {
            let datagram = ForwardDatagram::Slots(SlotMessage::Announce { pools });
            let count = if has_changed { PEERS_TOLD } else { 1 };
            for (peer, address) in choose_peers(&node, count) {
                send(&node, &socket, &peer, address, &datagram).await;
            }
        }
        sleep(ANNOUNCE_SPACING).await;
    }
}

/// Handles a message from `peer` at `address`.
pub async fn handle_slot_message(
    node: &Rc<ForwardNode>,
    socket: &PeerSocket,
    (peer, address): (&NodeName, SocketAddr),
    message: SlotMessage,
) {
    match message {
        SlotMessage::Announce { pools } => apply_pools(node, peer, &pools),
        SlotMessage::Acquire { query_id, upstream, held } => {
            let granted = {
                let mut state = node.state();
                let state = &mut *state;
                let slots = state.upstreams.find(&upstream).map_or(0, |row| row.entry.slots);
                state.slot_keeper.acquire(peer, (&upstream, slots), held, clock::now())
            };
            let reply = SlotMessage::Decision { query_id, granted };
            send(node, socket, peer, address, &ForwardDatagram::Slots(reply)).await;
        }
        SlotMessage::Decision { query_id, .. } => {
            socket.complete(query_id, ForwardDatagram::Slots(message));
        }
        SlotMessage::Report { slots } => apply_report(node, peer, &slots),
    }
}

fn apply_pools(node: &ForwardNode, peer: &NodeName, pools: &[SharedBrittle]) {
    for shared in pools {
        let statement = shared.to_statement(clock::now());
        if node.state().upstreams.apply_brittle(&shared.pool, statement) {
            log_brittle_change(node, &shared.pool, shared.refusals, peer.as_str());
            node.brittle_changed.notify_one();
        }
    }
}
