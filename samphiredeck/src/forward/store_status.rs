//! What nodes tell each other of the store's content, so that few of them read it.

use std::{rc::Rc, time::Duration};

use rand::seq::IndexedRandom;
use samphiredeck_core::{
    forward::{
        store_readers::{ReaderCandidate, order_readers},
        upstreams::{ListUpdate, PeerListStatus},
    },
    ids::NodeName,
};
use serde_json::json;

use crate::forward::{
    clock, node::ForwardNode, peer_messages::ask_news, upstream_log::note_changes,
};

/// Readers that are asked before a node reads for itself.
const READERS_ASKED: usize = 3;
/// Nodes that one which can't read the store asks each time.
const OTHERS_ASKED: usize = 2;
/// Age from which the upstreams' list is read though others hold the same one: with the time to the
/// next question, well below the users' bound of two seconds on new work for upstreams that leave.
const LIST_AGE_TOLD: Duration = Duration::from_secs(1);

fn candidates(node: &ForwardNode) -> Vec<ReaderCandidate> {
    node.beliefs().members.reader_candidates(clock::now())
}

/// Asks the nodes that read the store for this one, until one hears from the store itself. Returns
/// whether the list of upstreams is known to be in force, so that this node need not read it.
pub async fn ask_readers(node: &Rc<ForwardNode>) -> bool {
    let settings = node.settings();
    let order = order_readers(&settings.name, &settings.domain, candidates(node));
    for reader in order.iter().take(READERS_ASKED) {
        if *reader == settings.name {
            break;
        }
        if let Some(told) = ask_node(node, reader).await.filter(|told| told.current) {
            set_source(node, Some(reader));
            return told.list_known;
        }
    }
    set_source(node, None);
    false
}

/// Asks some other nodes for what they can prove, since the store does not answer this one.
pub async fn ask_others(node: &Rc<ForwardNode>) {
    let own = node.settings().name.clone();
    let mut others = candidates(node);
    others.retain(|candidate| candidate.node != own);
    let chosen: Vec<ReaderCandidate> =
        others.choose_multiple(&mut rand::rng(), OTHERS_ASKED).cloned().collect();
    for other in chosen {
        ask_node(node, &other.node).await;
    }
}

/// What another node's answer is worth.
struct ToldNews {
    /// Whether that node hears from the store.
    current: bool,
    /// Whether the list of upstreams is known to be in force.
    list_known: bool,
}

/// Asks `other`, and takes in what it can prove. Returns nothing if it does not answer.
async fn ask_node(node: &Rc<ForwardNode>, other: &NodeName) -> Option<ToldNews> {
    let talk = node.peers.borrow().clone()?;
    let asked_at = clock::now();
    let news = ask_news(node, &talk, other).await?;
    let now = clock::now();
    let mut beliefs = node.beliefs();
    let current = news
        .config
        .is_some_and(|config| beliefs.proof.is_peer_current(Duration::from_millis(config.age_ms)));
    // Ages reach back from before the question, whatever the answer's way took.
    let as_of = |age_ms| asked_at.checked_sub(Duration::from_millis(age_ms));
    if let Some(config) = news.config
        && let Some(as_of) = as_of(config.age_ms)
    {
        if config.row == beliefs.config_row && beliefs.catalog.is_some() {
            beliefs.proof.confirm(as_of);
        } else if config.row > beliefs.config_row {
            beliefs.config_told = true;
        }
    }
    let word = news.list.and_then(|list| {
        let as_of = as_of(list.age_ms)?;
        Some(PeerListStatus { digest: list.digest, as_of, delta: list.delta })
    });
    let step = word.map(|word| beliefs.roster.apply_peer_status(word, now));
    let known = match step {
        Some(ListUpdate::Applied(changes)) => {
            note_changes(node, &beliefs, &changes, now);
            true
        }
        Some(ListUpdate::Stale) | None => true,
        Some(ListUpdate::Refetch) => false,
    };
    let fresh = beliefs.roster.read_at().is_some_and(|at| now.since(at) < LIST_AGE_TOLD);
    Some(ToldNews { current, list_known: known && fresh })
}

/// Notes from whom this node learns what the store holds: `reader`, or the store itself.
fn set_source(node: &ForwardNode, reader: Option<&NodeName>) {
    let mut beliefs = node.beliefs();
    if beliefs.reader.as_ref() == reader {
        return;
    }
    let name = |reader: Option<&NodeName>| reader.map_or("store".to_owned(), ToString::to_string);
    let fields = json!({ "from": name(reader), "before": name(beliefs.reader.as_ref()) });
    node.journal.note("reader", fields);
    beliefs.reader = reader.cloned();
}
