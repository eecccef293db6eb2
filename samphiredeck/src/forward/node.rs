//! What the parts of a forwarding node share.

use std::{
    cell::{Cell, RefCell, RefMut},
    rc::Rc,
};

use samphiredeck_core::ids::Incarnation;
use tokio::sync::watch;

use crate::forward::{
    clock, connection_pool::LinkPool, decision_log::DecisionLog, metrics::ForwardGauges,
    peer_socket::PeerTalk, settings::ForwardSettings, state::ForwardBeliefs,
};

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The node serves.
    Serving,
    /// It still serves what arrives, but asks for nothing more.
    Leaving,
    /// Connections without a request are closed.
    Closing,
}

/// One forwarding node. All its parts run on one thread.
#[derive(Debug)]
pub struct ForwardNode {
    /// Settings in force. Replaced on reload.
    pub settings: RefCell<Rc<ForwardSettings>>,
    /// Tells apart the runs of the node: the newest version in the store when this run first read
    /// the shared rows, so that later runs have higher numbers whatever the clocks show.
    pub incarnation: Cell<Option<Incarnation>>,
    /// What the node believes.
    beliefs: RefCell<ForwardBeliefs>,
    /// Log.
    pub journal: DecisionLog,
    /// Metrics.
    pub gauges: ForwardGauges,
    /// Connections to upstreams.
    pub pool: LinkPool,
    /// Datagrams to other nodes, once their key is known.
    pub peers: RefCell<Option<Rc<PeerTalk>>>,
    /// How far a stop has come.
    pub phase: watch::Sender<StopPhase>,
    /// Bytes of callers' bodies that are held.
    pub held_bytes: Cell<usize>,
}

impl ForwardNode {
    /// Makes a node that knows nothing yet.
    pub fn new(settings: ForwardSettings) -> Self {
        let beliefs = ForwardBeliefs::new(&settings);
        let journal = DecisionLog::start(settings.name.to_string(), settings.log_rate);
        Self {
            settings: RefCell::new(Rc::new(settings)),
            incarnation: Cell::new(None),
            peers: RefCell::new(None),
            beliefs: RefCell::new(beliefs),
            journal,
            gauges: ForwardGauges::new(),
            pool: LinkPool::default(),
            phase: watch::Sender::new(StopPhase::Serving),
            held_bytes: Cell::new(0),
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<ForwardSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Beliefs. Must not be held over an await.
    pub fn beliefs(&self) -> RefMut<'_, ForwardBeliefs> {
        self.beliefs.borrow_mut()
    }

    /// How far a stop has come.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let beliefs = self.beliefs();
        self.phase() == StopPhase::Serving
            && beliefs.catalog.is_some()
            && beliefs.proof.is_ready(clock::now())
    }
}
