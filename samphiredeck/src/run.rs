//! One run: what it was asked for, and its answer, shared by the task that produces it and the
//! callers that read it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use samphiredeck_core::{
    declaration::PriorityClass,
    engine_api::EngineEvent,
    ids::{ConfigVersion, ModelName, NodeName, RequestId, UpstreamId, WorkspaceName},
    reclaim::ReclaimAction,
    response::{EngineEventError, ResponseAssembler, ResponseUpdate},
    verdict::RunVerdict,
};
use tokio::sync::watch;

/// What is run, as checked.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Id of the request.
    pub request: RequestId,
    /// Who pays.
    pub workspace: WorkspaceName,
    /// Version of the declaration that the request was checked against.
    pub version: ConfigVersion,
    /// Urgency.
    pub class: PriorityClass,
    /// Model to run.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Path that was called.
    pub path: String,
    /// Body as received.
    pub body: String,
    /// Time by which it must have been placed.
    pub place_by: Instant,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Whether it was accepted before, by this node or another.
    pub accepted: bool,
    /// Upstream that holds its cache already.
    pub preferred_upstream: Option<UpstreamId>,
}

/// What the control thread tells a run.
#[derive(Clone, Debug)]
pub enum RunSignal {
    /// The upstream leaves.
    Move {
        /// Upstream that leaves.
        upstream: UpstreamId,
        /// What to do with the run.
        action: ReclaimAction,
    },
    /// The node stops: hand the run to this peer, or give it up without one.
    HandOver(Option<HandoverTarget>),
    /// An operator or the caller cancels it.
    Cancel,
}

/// Node that takes a run over.
#[derive(Clone, Debug)]
pub struct HandoverTarget {
    /// Name.
    pub node: NodeName,
    /// Address for nodes, IP and port.
    pub address: std::net::SocketAddr,
}

/// How far a run has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It waits or runs.
    Open,
    /// The answer is whole.
    Complete,
    /// It was given up.
    Failed(RunFailure),
    /// Another node goes on with it.
    Moved,
}

/// Why a run was given up, and what the caller may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunFailure {
    /// Short name of the reason.
    pub reason: String,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Seconds after which a new try has a chance.
    pub retry_after_s: u64,
}

/// Guarded part of a [`RunBuffer`].
#[derive(Debug)]
struct BufferState {
    assembler: ResponseAssembler,
    state: RunState,
    cached: u64,
    /// Whether the request is accepted, so that a caller may be told so.
    accepted: bool,
    /// Callers that read now.
    readers: usize,
    /// Time at which the last caller went away.
    unread_since: Option<Instant>,
}

/// What a reader gets.
#[derive(Clone, Debug)]
pub struct BufferRead {
    /// Text beyond what the reader had.
    pub text: String,
    /// Tokens of the whole answer so far.
    pub tokens: u64,
    /// Prompt tokens found in cache.
    pub cached: u64,
    /// Why the answer ended, once it is whole.
    pub finish: Option<String>,
    /// How far the run has come.
    pub state: RunState,
}

/// Answer of one run.
#[derive(Debug)]
pub struct RunBuffer {
    inner: Mutex<BufferState>,
    /// Counts changes, so that readers can wait for the next one.
    changes: watch::Sender<u64>,
}

impl RunBuffer {
    /// Starts the answer to `request` with what an earlier run generated.
    pub fn new(request: RequestId, text: String, tokens: u64) -> Self {
        let inner = BufferState {
            assembler: ResponseAssembler::new(request, text, tokens),
            state: RunState::Open,
            cached: 0,
            accepted: false,
            readers: 0,
            unread_since: None,
        };
        Self { inner: Mutex::new(inner), changes: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // The data is valid after every single step, so a panic elsewhere can't have torn it.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Adds an event of the upstream.
    pub fn push(&self, event: &EngineEvent) -> Result<ResponseUpdate, EngineEventError> {
        let update = {
            let mut inner = self.lock();
            let update = inner.assembler.push(event)?;
            if let ResponseUpdate::Accepted { cached, .. } = update {
                inner.cached = cached;
            }
            update
        };
        if update == ResponseUpdate::TokenAdded {
            self.notify_readers();
        }
        Ok(update)
    }

    /// Notes that the request is accepted.
    pub fn accept(&self) {
        self.lock().accepted = true;
        self.notify_readers();
    }

    /// Whether the request is accepted.
    pub fn is_accepted(&self) -> bool {
        self.lock().accepted
    }

    /// Ends the run. Only the first end counts.
    pub fn finish(&self, state: RunState) {
        {
            let mut inner = self.lock();
            if inner.state == RunState::Open {
                inner.state = state;
            }
        }
        self.notify_readers();
    }

    /// Number of tokens so far.
    pub fn tokens(&self) -> u64 {
        self.lock().assembler.tokens()
    }

    /// Text so far and its number of tokens.
    pub fn snapshot(&self) -> (String, u64) {
        let inner = self.lock();
        (inner.assembler.text().to_owned(), inner.assembler.tokens())
    }

    /// How far the run has come.
    pub fn state(&self) -> RunState {
        self.lock().state.clone()
    }

    /// Bytes that the answer takes.
    pub fn size(&self) -> usize {
        self.lock().assembler.text().len()
    }

    /// Reads what is beyond the first `offset` bytes.
    pub fn read(&self, offset: usize) -> BufferRead {
        let inner = self.lock();
        let text = inner.assembler.text();
        BufferRead {
            text: text.get(offset..).unwrap_or_default().to_owned(),
            tokens: inner.assembler.tokens(),
            cached: inner.cached,
            finish: inner.assembler.finish_reason().map(str::to_owned),
            state: inner.state.clone(),
        }
    }

    /// Starts to read.
    pub fn attach(&self) -> watch::Receiver<u64> {
        let mut inner = self.lock();
        inner.readers += 1;
        inner.unread_since = None;
        self.changes.subscribe()
    }

    /// Stops to read at `now`.
    pub fn detach(&self, now: Instant) {
        let mut inner = self.lock();
        inner.readers = inner.readers.saturating_sub(1);
        if inner.readers == 0 {
            inner.unread_since = Some(now);
        }
    }

    /// Time since which nobody reads, if nobody does and somebody did.
    pub fn unread_since(&self) -> Option<Instant> {
        self.lock().unread_since
    }
}
