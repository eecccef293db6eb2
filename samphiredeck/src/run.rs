//! One run: its specification, and the buffer of its response, shared by the task that produces the
//! response and the callers that read it.

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

/// Specification of a run, after validation.
#[derive(Clone, Debug)]
pub struct RunSpec {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace that the run is charged to.
    pub workspace: WorkspaceName,
    /// Version of the declaration that the request was validated against.
    pub version: ConfigVersion,
    /// Priority class.
    pub class: PriorityClass,
    /// Model that the request names.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: String,
    /// Limit on the tokens of the response.
    pub max_tokens: u64,
    /// Path of the HTTP request.
    pub path: String,
    /// Body of the HTTP request, as received.
    pub body: String,
    /// Deadline for the placement.
    pub place_by: Instant,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Whether the request was already accepted, by this node or another.
    pub accepted: bool,
    /// Upstream that already holds the request's cache.
    pub preferred_upstream: Option<UpstreamId>,
}

/// Signals from the control thread to the task of a run.
#[derive(Clone, Debug)]
pub enum RunSignal {
    /// The upstream of the run leaves.
    Move {
        /// Upstream that leaves.
        upstream: UpstreamId,
        /// How the run continues.
        action: ReclaimAction,
    },
    /// The node stops. The run is handed over to this peer, or given up if there is none.
    HandOver(Option<HandoverTarget>),
    /// An operator or the caller cancelled the run.
    Cancel,
}

/// Node that a run is handed over to.
#[derive(Clone, Debug)]
pub struct HandoverTarget {
    /// Name of the node.
    pub node: NodeName,
    /// Address that the node listens on for other nodes.
    pub address: std::net::SocketAddr,
}

/// State of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The run waits or is in progress.
    Open,
    /// The response is complete.
    Complete,
    /// The run was given up.
    Failed(RunFailure),
    /// Another node continues the run.
    Moved,
}

/// Reason why a run was given up, and what the caller may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunFailure {
    /// Reason code.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Seconds after which the caller is advised to retry, if a retry can succeed.
    pub retry_after_s: Option<u64>,
}

/// State of a [`RunBuffer`], guarded by its mutex.
#[derive(Debug)]
struct BufferState {
    assembler: ResponseAssembler,
    state: RunState,
    cached_tokens: u64,
    /// Whether the request is accepted, which may then be reported to a caller.
    accepted: bool,
    /// Number of callers that are reading.
    readers: usize,
    /// Time since which no caller has been reading. `None` while one reads or before the first.
    unread_since: Option<Instant>,
}

/// Result of reading a [`RunBuffer`].
#[derive(Clone, Debug)]
pub struct BufferRead {
    /// Text from the reader's offset on.
    pub text: String,
    /// Number of tokens generated so far, from the start of the response.
    pub tokens: u64,
    /// Prompt tokens found in cache.
    pub cached_tokens: u64,
    /// Finish reason, once the response is complete.
    pub finish_reason: Option<String>,
    /// State of the run.
    pub state: RunState,
}

/// Buffer of the response of one run.
#[derive(Debug)]
pub struct RunBuffer {
    inner: Mutex<BufferState>,
    /// Incremented on each change, so that readers can wait for the next one.
    changes: watch::Sender<u64>,
}

impl RunBuffer {
    /// Creates the buffer of `request`, starting with the text of an earlier run, if any.
    pub fn new(request: RequestId, text: String, tokens: u64) -> Self {
        let inner = BufferState {
            assembler: ResponseAssembler::new(request, text, tokens),
            state: RunState::Open,
            cached_tokens: 0,
            accepted: false,
            readers: 0,
            unread_since: None,
        };
        Self { inner: Mutex::new(inner), changes: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // Every single update leaves the state valid, so a poisoned lock is safe to use.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Appends an event received from the upstream.
    pub fn push(&self, event: &EngineEvent) -> Result<ResponseUpdate, EngineEventError> {
        let update = {
            let mut inner = self.lock();
            let update = inner.assembler.push(event)?;
            if let ResponseUpdate::Accepted { cached, .. } = update {
                inner.cached_tokens = cached;
            }
            update
        };
        if update == ResponseUpdate::TokenAdded {
            self.notify_readers();
        }
        Ok(update)
    }

    /// Marks the request as accepted.
    pub fn accept(&self) {
        self.lock().accepted = true;
        self.notify_readers();
    }

    /// Returns whether the request is accepted.
    pub fn is_accepted(&self) -> bool {
        self.lock().accepted
    }

    /// Ends the run. Only the first call sets the final state.
    pub fn finish(&self, state: RunState) {
        {
            let mut inner = self.lock();
            if inner.state == RunState::Open {
                inner.state = state;
            }
        }
        self.notify_readers();
    }

    /// Returns the number of tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.lock().assembler.tokens()
    }

    /// Returns the text generated so far and its number of tokens.
    pub fn snapshot(&self) -> (String, u64) {
        let inner = self.lock();
        (inner.assembler.text().to_owned(), inner.assembler.tokens())
    }

    /// Returns the state of the run.
    pub fn state(&self) -> RunState {
        self.lock().state.clone()
    }

    /// Returns the size of the response in bytes.
    pub fn size(&self) -> usize {
        self.lock().assembler.text().len()
    }

    /// Reads the text from byte `offset` on, and the state of the run.
    pub fn read(&self, offset: usize) -> BufferRead {
        let inner = self.lock();
        let text = inner.assembler.text();
        BufferRead {
            text: text.get(offset..).unwrap_or_default().to_owned(),
            tokens: inner.assembler.tokens(),
            cached_tokens: inner.cached_tokens,
            finish_reason: inner.assembler.finish_reason().map(str::to_owned),
            state: inner.state.clone(),
        }
    }

    /// Registers a reader, which is notified of changes through the returned receiver.
    pub fn attach(&self) -> watch::Receiver<u64> {
        let mut inner = self.lock();
        inner.readers += 1;
        inner.unread_since = None;
        self.changes.subscribe()
    }

    /// Unregisters a reader at `now`.
    pub fn detach(&self, now: Instant) {
        let mut inner = self.lock();
        inner.readers = inner.readers.saturating_sub(1);
        if inner.readers == 0 {
            inner.unread_since = Some(now);
        }
    }

    /// Returns the time since which no caller has been reading, if one ever did and none does now.
    pub fn unread_since(&self) -> Option<Instant> {
        self.lock().unread_since
    }
}
