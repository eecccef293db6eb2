//! Tells other nodes how fast upstreams work, and applies what they tell.

use std::{cell::Cell, rc::Rc, time::Duration};

use rand::seq::SliceRandom;
use samphiredeck_core::ids::NodeName;
use samphiredeck_wire::forward::{ForwardDatagram, SpeedMessage};
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{clock, node::ForwardNode, peer_choice::choose_peers, peer_messages::send};

/// Interval between two messages.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of speeds in a datagram, so that it fits.
const DATAGRAM_SPEEDS: usize = 24;
/// Number of speeds among which those of a datagram are chosen, the best known ones. A multiple, so that successive
/// messages tell of different upstreams.
const CANDIDATE_SPEEDS: usize = 3 * DATAGRAM_SPEEDS;
/// Minimum time between two log lines about speeds that are not applied.
const REJECTED_LOG_PERIOD: Duration = Duration::from_secs(60);

/// Tells a random other node of the best known speeds, until the process exits. Does nothing while nodes know the
/// upstreams well enough from their own responses.
pub async fn announce_speeds(node: Rc<ForwardNode>) {
    loop {
        sleep(ANNOUNCE_PERIOD).await;
        let mut speeds = {
            let state = node.state();
            if !state.upstreams.is_exchanged() {
                continue;
            }
            state.upstreams.share_speeds(clock::now())
        };
        speeds.truncate(CANDIDATE_SPEEDS);
        speeds.shuffle(&mut rand::rng());
        speeds.truncate(DATAGRAM_SPEEDS);
        let socket = node.peer_socket.borrow().clone();
        let Some(socket) = socket.filter(|_| !speeds.is_empty()) else { continue };
        let datagram = ForwardDatagram::Speeds(SpeedMessage::Announce { speeds });
        for (peer, address) in choose_peers(&node, 1) {
            send(&node, &socket, &peer, address, &datagram).await;
        }
    }
}

/// Applies a message of `sender`.
pub fn handle_speed_message(node: &ForwardNode, sender: &NodeName, message: &SpeedMessage) {
    thread_local! {
        static REJECTED_AT: Cell<Option<samphiredeck_core::boot_time::BootTime>> = const { Cell::new(None) };
    }
    let SpeedMessage::Announce { speeds } = message;
    let now = clock::now();
    let rejected = {
        let mut state = node.state();
        let known = speeds.iter().filter(|shared| state.upstreams.find(&shared.upstream).is_some());
        let known: Vec<_> = known.cloned().collect();
        known.iter().filter(|shared| !state.upstreams.apply_speed(shared, now)).count()
    };
    let is_due = REJECTED_AT.get().is_none_or(|at| now.since(at) >= REJECTED_LOG_PERIOD);
    if rejected > 0 && is_due {
        REJECTED_AT.set(Some(now));
        node.log.record("speeds-rejected", json!({ "node": sender.as_str(), "count": rejected }));
    }
}
