//! Stream of a caller's connection, and the bodies of the responses on it, which tell what it waits for.
//!
//! `hyper` takes its limits when a connection is accepted. Here they are checked where bytes are read, by the
//! configuration of that moment, and the bounds of `hyper` are only those for its memory.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use samphiredeck_core::forward::{
    caller_wait::{CallerWait, WaitEnd},
    catalog::CallerLimits,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::forward::{
    clock,
    node::ForwardNode,
    response_body::{ResponseBody, StreamAborted},
};

/// Bytes that are received at once. `hyper` doubles its buffer when a read fills it.
const READ_BYTES_MAX: usize = 8_192;
/// Bytes of a response that `hyper` may hold before they are sent.
const UNSENT_BYTES_MAX: usize = 16_384;

/// State of a connection that its stream, its requests and its timer share.
#[derive(Debug)]
pub struct CallerState {
    node: Rc<ForwardNode>,
    wait: Cell<CallerWait>,
    /// Why the stream has failed.
    failure: Cell<Option<WaitEnd>>,
    /// Whether all of the responses so far was sent.
    is_flushed: Cell<bool>,
    /// Bytes of the current response that were given to `hyper` and not sent yet, apart from its head and framing.
    unsent: Cell<usize>,
    /// Body that waits until fewer bytes are unsent.
    blocked: RefCell<Option<Waker>>,
}

impl CallerState {
    /// State of a connection that was just accepted.
    pub fn new(node: Rc<ForwardNode>) -> Rc<Self> {
        Rc::new(Self {
            node,
            wait: Cell::new(CallerWait::new(clock::now())),
            failure: Cell::new(None),
            is_flushed: Cell::new(true),
            unsent: Cell::new(0),
            blocked: RefCell::default(),
        })
    }

    /// Limits of the configuration in force.
    pub fn limits(&self) -> CallerLimits {
        *self.node.caller_limits.borrow()
    }

    /// What the connection waits for.
    pub fn wait(&self) -> CallerWait {
        self.wait.get()
    }

    /// Why the stream has failed, if it was for a limit.
    pub fn failure(&self) -> Option<WaitEnd> {
        self.failure.get()
    }

    /// Whether all of the responses so far was sent.
    pub fn is_flushed(&self) -> bool {
        self.is_flushed.get()
    }

    /// Records that the head of a request is complete. Returns the exchange that it begins.
    pub fn begin_exchange(self: &Rc<Self>) -> CallerExchange {
        self.update(CallerWait::begin_exchange);
        self.unsent.set(0);
        CallerExchange(Rc::clone(self))
    }

    fn update(&self, change: impl FnOnce(&mut CallerWait)) {
        let mut wait = self.wait.get();
        change(&mut wait);
        self.wait.set(wait);
    }

    fn record_sent(&self, count: usize) {
        self.update(|wait| wait.record_sent(clock::now()));
        self.unsent.set(self.unsent.get().saturating_sub(count));
        if self.unsent.get() < UNSENT_BYTES_MAX
            && let Some(waker) = self.blocked.take()
        {
            waker.wake();
        }
    }
}

/// Request whose response is not complete. Ends when dropped.
#[derive(Debug)]
pub struct CallerExchange(Rc<CallerState>);

impl Drop for CallerExchange {
    fn drop(&mut self) {
        self.0.is_flushed.set(false);
        self.0.update(|wait| wait.end_exchange(clock::now()));
    }
}

/// Body of a response, which is given to `hyper` no faster than it is sent.
#[derive(Debug)]
pub struct CallerBody {
    body: ResponseBody,
    exchange: CallerExchange,
}

impl CallerBody {
    /// Body of the response of `exchange`.
    pub fn new(body: ResponseBody, exchange: CallerExchange) -> Self {
        Self { body, exchange }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let this = self.get_mut();
        let state = &this.exchange.0;
        if state.unsent.get() >= UNSENT_BYTES_MAX {
            state.blocked.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            state.unsent.set(state.unsent.get() + bytes);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream that counts what is received and sent into a [`CallerState`].
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    state: Rc<CallerState>,
}

impl<S> CallerStream<S> {
    /// Counts into `state`.
    pub fn new(stream: S, state: Rc<CallerState>) -> Self {
        Self { stream, state }
    }

    /// The stream without the counts.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // `hyper` reads on only if what it has is no complete head.
        if this.state.wait().is_head_too_long(this.state.limits()) {
            this.state.failure.set(Some(WaitEnd::HeadTooLong));
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "head too long")));
        }
        let most = buf.remaining().min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut part);
        if let Poll::Ready(Ok(())) = polled {
            let received = part.filled().len();
            buf.advance(received);
            this.state.update(|wait| wait.record_received(received, clock::now()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            this.state.record_sent(count);
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // `hyper` flushes the stream once it has written all that it holds.
        this.state.is_flushed.set(true);
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = polled {
            this.state.record_sent(count);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
