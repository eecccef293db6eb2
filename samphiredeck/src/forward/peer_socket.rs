//! Socket for authenticated datagrams between nodes, with replies matched to queries.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    time::Duration,
};

use samphiredeck_core::ids::{Incarnation, NodeName};
use samphiredeck_wire::{
    auth::{AuthError, MessageHeader, PeerKey, ReplayGuard, sign_message, verify_message},
    forward::ForwardDatagram,
    message::DATAGRAM_MAX,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};

use crate::forward::clock;

/// Bits of the counter below the boot time at which it starts, in milliseconds: more than a node can count
/// in a millisecond. Two runs have the same incarnation if nothing was written to the store between
/// their starts, and the later one must not repeat counters.
const COUNTER_BITS: u32 = 8;

/// Failure of a query.
#[derive(Debug, Error)]
pub enum QueryError {
    /// No reply arrived in time.
    #[error("no reply in time")]
    Timeout,
    /// The query can't be signed.
    #[error(transparent)]
    Sign(#[from] AuthError),
}

/// Received datagram.
#[derive(Debug)]
pub struct ReceivedDatagram {
    /// Name of the sending node.
    pub sender: NodeName,
    /// Source address.
    pub from: SocketAddr,
    pub datagram: ForwardDatagram,
}

/// Query that awaits its reply.
#[derive(Debug)]
struct PendingQuery {
    id: u64,
    reply: oneshot::Sender<ForwardDatagram>,
}

/// Datagram socket of this node.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    key: PeerKey,
    /// Name of this node.
    pub own_name: NodeName,
    incarnation: Incarnation,
    counter: Cell<u64>,
    /// Like `counter`, for the connections of tunnels.
    tunnel_counter: Cell<u64>,
    replay_guard: RefCell<ReplayGuard>,
    /// Sorted by id, since ids increase.
    pending: RefCell<Vec<PendingQuery>>,
}

impl PeerSocket {
    /// Opens the socket of run `incarnation` of node `own_name`, with a key derived from `secret`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` can't be bound.
    pub fn open(
        address: SocketAddr,
        own_name: NodeName,
        incarnation: Incarnation,
        secret: &str,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            key: PeerKey::derive(secret),
            own_name,
            incarnation,
            counter: Cell::new(clock::now().as_millis() << COUNTER_BITS),
            tunnel_counter: Cell::new(clock::now().as_millis() << COUNTER_BITS),
            replay_guard: RefCell::default(),
            pending: RefCell::default(),
        })
    }

    /// Allocates the id of a query or the counter of a datagram.
    pub fn next_id(&self) -> u64 {
        self.counter.set(self.counter.get() + 1);
        self.counter.get()
    }

    /// Allocates the counter of a tunnel's request.
    pub fn next_tunnel_id(&self) -> u64 {
        self.tunnel_counter.set(self.tunnel_counter.get() + 1);
        self.tunnel_counter.get()
    }

    /// Signs `message` to `receiver`, which is sent over a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be encoded.
    pub fn sign<T: Serialize>(
        &self,
        receiver: &NodeName,
        counter: u64,
        message: &T,
    ) -> Result<Vec<u8>, AuthError> {
        let header = MessageHeader {
            node: self.own_name.clone(),
            incarnation: self.incarnation,
            counter,
            receiver: receiver.clone(),
        };
        sign_message(&self.key, &header, message)
    }

    /// Checks and decodes a message that came over a connection.
    ///
    /// # Errors
    ///
    /// Returns why the message is refused.
    pub fn verify<T: DeserializeOwned>(
        &self,
        bytes: &[u8],
    ) -> Result<(MessageHeader, T), AuthError> {
        verify_message(&self.key, &self.own_name, bytes)
    }

    /// Sends `datagram`, which may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram can't be signed.
    pub async fn send(
        &self,
        receiver: &NodeName,
        address: SocketAddr,
        datagram: &ForwardDatagram,
    ) -> Result<(), AuthError> {
        let bytes = self.sign(receiver, self.next_id(), datagram)?;
        // A failed send is noticed as a missing reply.
        drop(self.socket.send_to(&bytes, address).await);
        Ok(())
    }

    /// Sends the query `datagram` with the id `query_id` and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the query can't be signed or gets no reply in time.
    pub async fn query(
        &self,
        receiver: &NodeName,
        address: SocketAddr,
        query_id: u64,
        datagram: &ForwardDatagram,
        time_limit: Duration,
    ) -> Result<ForwardDatagram, QueryError> {
        let (sender, reply) = oneshot::channel();
        self.pending.borrow_mut().push(PendingQuery { id: query_id, reply: sender });
        let exchange = async {
            self.send(receiver, address, datagram).await?;
            let reply = timeout(time_limit, reply).await;
            reply.ok().and_then(Result::ok).ok_or(QueryError::Timeout)
        };
        let reply = exchange.await;
        self.pending.borrow_mut().retain(|query| query.id != query_id);
        reply
    }

    /// Passes `reply` to the task that awaits the reply to the query `query_id`.
    pub fn complete(&self, query_id: u64, reply: ForwardDatagram) {
        let mut pending = self.pending.borrow_mut();
        if let Ok(at) = pending.binary_search_by_key(&query_id, |query| query.id) {
            // The receiver is gone if the query has timed out.
            drop(pending.remove(at).reply.send(reply));
        }
    }

    /// Waits for the next datagram. Socket errors are skipped, since they concern earlier sends.
    ///
    /// # Errors
    ///
    /// Returns the source address of a rejected datagram and the reason.
    pub async fn receive(&self) -> Result<ReceivedDatagram, (SocketAddr, AuthError)> {
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let verified =
                verify_message::<ForwardDatagram>(&self.key, &self.own_name, &buffer[..length]);
            let received = verified.and_then(|(header, datagram)| {
                self.replay_guard.borrow_mut().accept(&header)?;
                Ok(ReceivedDatagram { sender: header.node, from, datagram })
            });
            return received.map_err(|error| (from, error));
        }
    }
}
