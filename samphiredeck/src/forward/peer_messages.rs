//! Questions about limits and news between forwarding nodes, and signs of life.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use samphiredeck_core::{
    forward::{
        quota::{OwnerStatus, PROBE_TIMEOUT, QuotaDecision},
        store_readers::StoreStatus,
    },
    ids::{NodeName, WorkspaceName},
};
use samphiredeck_wire::talk::ForwardDatagram;
use serde_json::json;
use tokio::time::sleep;

use crate::forward::{
    clock,
    node::ForwardNode,
    peer_socket::{PeerTalk, TakenTalk, TalkError},
};

/// Time in which a node that lives answers, also one that is slow: several times the users' longest
/// way between domains, and a tenth of their tightest target.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Time in which a later home answers, which asks the earlier ones for a sign of life first.
const INSTEAD_TIMEOUT: Duration = Duration::from_millis(90);
/// Nodes that are asked for a sign of life by one that has heard of none.
const SIGNS_ASKED: usize = 3;
/// Time without a sign of any other node after which this node takes itself for the one that is
/// cut off, and grants nothing beyond its purse.
const ALONE_AFTER: Duration = Duration::from_millis(1_500);
/// Time in which a reader answers. No request waits for it, so it covers slow nodes, too.
const NEWS_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens the datagrams of `node` with the key that `secret` stands for.
pub fn open_peers(node: &Rc<ForwardNode>, secret: &str) {
    let settings = node.settings();
    let Some(incarnation) = node.incarnation.get() else { return };
    let address = settings.listen.peer;
    match PeerTalk::open(address, settings.name.clone(), incarnation, secret) {
        Ok(talk) => {
            let talk = Rc::new(talk);
            *node.peers.borrow_mut() = Some(Rc::clone(&talk));
            node.journal.note("peers-open", json!({ "address": address.to_string() }));
            actix_web::rt::spawn(take_datagrams(Rc::clone(node), talk));
        }
        Err(error) => node.journal.note("peers-closed", json!({ "reason": error.to_string() })),
    }
}

async fn send(
    node: &ForwardNode,
    talk: &PeerTalk,
    to: &NodeName,
    address: SocketAddr,
    message: &ForwardDatagram,
) {
    if let Err(error) = talk.send(to, address, message).await {
        node.journal.note("talk-unsealed", json!({ "reason": error.to_string() }));
    }
}

/// Sends the question `message` and returns its reply, if one comes within `bound`.
async fn exchange(
    node: &ForwardNode,
    talk: &PeerTalk,
    (to, address): (&NodeName, SocketAddr),
    (question, message): (u64, &ForwardDatagram),
    bound: Duration,
) -> Option<ForwardDatagram> {
    match talk.exchange(to, address, question, message, bound).await {
        Ok(reply) => Some(reply),
        Err(TalkError::Silent) => None,
        Err(error) => {
            node.journal.note("talk-unsealed", json!({ "reason": error.to_string() }));
            None
        }
    }
}

/// Asks `home` for `units` of `workspace`. Returns nothing if it does not answer.
pub async fn ask_home(
    node: &ForwardNode,
    talk: &PeerTalk,
    home: &NodeName,
    workspace: &WorkspaceName,
    units: f64,
    instead: bool,
) -> Option<QuotaDecision> {
    let address = {
        let beliefs = node.beliefs();
        if !beliefs.contacts.is_responsive(home, clock::now()) {
            return None;
        }
        beliefs.members.peer_address(home)?
    };
    let question = talk.next_number();
    let workspace = workspace.clone();
    let message =
        ForwardDatagram::AcquireUnits { query_id: question, workspace, units, failover: instead };
    let bound = if instead { INSTEAD_TIMEOUT } else { ANSWER_TIMEOUT };
    match exchange(node, talk, (home, address), (question, &message), bound).await {
        Some(ForwardDatagram::Granted { .. }) => Some(QuotaDecision::Granted),
        Some(ForwardDatagram::OverLimit { wait_ms, .. }) => {
            Some(QuotaDecision::Over(Duration::from_millis(wait_ms)))
        }
        Some(_declined) => None,
        None => {
            node.beliefs().contacts.note_no_response(home, clock::now());
            None
        }
    }
}

/// Asks `reader` what it can prove of the store's content. Returns nothing if it does not answer.
pub async fn ask_news(
    node: &ForwardNode,
    talk: &PeerTalk,
    reader: &NodeName,
) -> Option<StoreStatus> {
    let address = node.beliefs().members.peer_address(reader)?;
    let question = talk.next_number();
    let list = node.beliefs().roster.digest();
    let message = ForwardDatagram::QueryFreshness { query_id: question, list_digest: list };
    match exchange(node, talk, (reader, address), (question, &message), NEWS_TIMEOUT).await {
        Some(ForwardDatagram::Freshness { freshness: news, .. }) => Some(news),
        _ => None,
    }
}

/// Gives units back to `home`.
pub async fn give_back(
    node: &ForwardNode,
    talk: &PeerTalk,
    home: &NodeName,
    workspace: WorkspaceName,
    units: f64,
) {
    let Some(address) = node.beliefs().members.peer_address(home) else { return };
    send(node, talk, home, address, &ForwardDatagram::ReleaseUnits { workspace, units }).await;
}

/// Takes datagrams until the process ends.
async fn take_datagrams(node: Rc<ForwardNode>, talk: Rc<PeerTalk>) {
    loop {
        match talk.next().await {
            Ok(taken) => {
                note_sign(&node, &taken);
                take_talk(&node, &talk, taken).await;
            }
            Err((from, error)) => {
                let fields = json!({ "from": from.to_string(), "reason": error.to_string() });
                node.journal.note("datagram-refused", fields);
            }
        }
    }
}

/// Notes what a datagram says of whether its sender can act as a home.
fn note_sign(node: &ForwardNode, taken: &TakenTalk) {
    let now = clock::now();
    match taken.message {
        ForwardDatagram::NotEligible => node.beliefs().contacts.note_unable(&taken.sender, now),
        // Nodes that can't act as homes ask and tell news, too.
        ForwardDatagram::QueryFreshness { .. } | ForwardDatagram::Freshness { .. } => {}
        _ => node.beliefs().contacts.note_heard(&taken.sender, now),
    }
}

async fn take_talk(node: &Rc<ForwardNode>, talk: &Rc<PeerTalk>, taken: TakenTalk) {
    let TakenTalk { sender, from, message } = taken;
    match message {
        ForwardDatagram::AcquireUnits {
            query_id: question,
            workspace,
            units,
            failover: instead,
        } => {
            let (node, talk) = (Rc::clone(node), Rc::clone(talk));
            // An answer may have to wait for signs of life, which arrive here.
            actix_web::rt::spawn(async move {
                let answer = answer_ask(&node, &talk, &workspace, units, instead).await;
                let able = node.beliefs().proof.allows_admission(clock::now());
                send(&node, &talk, &sender, from, &encode_reply(question, answer)).await;
                if !able {
                    send(&node, &talk, &sender, from, &ForwardDatagram::NotEligible).await;
                }
            });
        }
        ForwardDatagram::QueryFreshness { query_id: question, list_digest: list } => {
            let news = node.beliefs().news(list, clock::now());
            send(
                node,
                talk,
                &sender,
                from,
                &ForwardDatagram::Freshness { query_id: question, freshness: news },
            )
            .await;
        }
        ForwardDatagram::Granted { query_id: question }
        | ForwardDatagram::OverLimit { query_id: question, .. }
        | ForwardDatagram::Declined { query_id: question }
        | ForwardDatagram::Freshness { query_id: question, .. } => talk.settle(question, message),
        ForwardDatagram::ReleaseUnits { workspace, units } => {
            node.beliefs().home.refund(&workspace, units);
        }
        ForwardDatagram::Ping => {
            let able = node.beliefs().proof.allows_admission(clock::now());
            let reply = if able { ForwardDatagram::Pong } else { ForwardDatagram::NotEligible };
            send(node, talk, &sender, from, &reply).await;
        }
        ForwardDatagram::Pong | ForwardDatagram::NotEligible => {}
    }
}

fn encode_reply(question: u64, answer: Option<QuotaDecision>) -> ForwardDatagram {
    match answer {
        Some(QuotaDecision::Granted) => ForwardDatagram::Granted { query_id: question },
        Some(QuotaDecision::Over(wait)) => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            ForwardDatagram::OverLimit { query_id: question, wait_ms }
        }
        None => ForwardDatagram::Declined { query_id: question },
    }
}

/// Answers a question to this node as a home of `workspace`. Returns nothing if an earlier home
/// lives, or if this node must not grant: it is cut off, or does not know the workspace.
pub async fn answer_ask(
    node: &ForwardNode,
    talk: &PeerTalk,
    workspace: &WorkspaceName,
    units: f64,
    instead: bool,
) -> Option<QuotaDecision> {
    let homes = node.beliefs().homes_of(workspace, clock::now());
    // An asker that has not read of a new home yet must not get units from two homes.
    if !instead && homes.first() != Some(&talk.own) {
        return None;
    }
    if instead && !replaces_homes(node, talk, &homes).await {
        return None;
    }
    let alone = {
        let beliefs = node.beliefs();
        let now = clock::now();
        beliefs.members.count(now) > 1 && !beliefs.contacts.has_recent_contact(ALONE_AFTER, now)
    };
    if alone {
        let others = {
            let beliefs = node.beliefs();
            let rows = beliefs.members.alive(clock::now()).map(|row| row.node.clone());
            rows.filter(|name| *name != talk.own).take(SIGNS_ASKED).collect::<Vec<_>>()
        };
        ask_signs(node, talk, &others).await;
        if !node.beliefs().contacts.has_recent_contact(ALONE_AFTER, clock::now()) {
            return None;
        }
    }
    let now = clock::now();
    let mut beliefs = node.beliefs();
    let catalog = beliefs.catalog.clone()?;
    if !beliefs.proof.allows_admission(now) {
        return None;
    }
    let row = catalog.find_workspace(workspace)?;
    Some(beliefs.home.take(row, units, now))
}

/// Whether this node may serve in the place of the `homes` before it, which it asks for a sign of
/// life if it has none.
async fn replaces_homes(node: &ForwardNode, talk: &PeerTalk, homes: &[NodeName]) -> bool {
    if !homes.contains(&talk.own) {
        return false;
    }
    let earlier: Vec<NodeName> =
        homes.iter().take_while(|home| **home != talk.own).cloned().collect();
    let judge = |home: &NodeName| node.beliefs().contacts.owner_status(home, clock::now());
    let unknown: Vec<NodeName> =
        earlier.iter().filter(|home| judge(home) == OwnerStatus::Unknown).cloned().collect();
    if !unknown.is_empty() {
        ask_signs(node, talk, &unknown).await;
    }
    earlier.iter().all(|home| judge(home) == OwnerStatus::Unresponsive)
}

/// Asks `others` for a sign of life and waits for as long as one that lives takes to give it.
async fn ask_signs(node: &ForwardNode, talk: &PeerTalk, others: &[NodeName]) {
    for other in others {
        let address = node.beliefs().members.peer_address(other);
        if let Some(address) = address {
            send(node, talk, other, address, &ForwardDatagram::Ping).await;
        }
    }
    sleep(PROBE_TIMEOUT).await;
}
