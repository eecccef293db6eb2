//! Datagrams of one node: what it sends to others, and questions that wait for their reply.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    time::Duration,
};

use samphiredeck_core::ids::{Incarnation, NodeName};
use samphiredeck_wire::{
    auth::{AuthError, MessageHeader, PeerKey, ReplayGuard, sign_message, verify_message},
    message::DATAGRAM_MAX,
    talk::ForwardDatagram,
};
use thiserror::Error;
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};

/// Why a question has no reply.
#[derive(Debug, Error)]
pub enum TalkError {
    /// None came in time.
    #[error("no reply")]
    Silent,
    /// The question can't be encoded.
    #[error(transparent)]
    Seal(#[from] AuthError),
}

/// Datagram that arrived.
#[derive(Debug)]
pub struct TakenTalk {
    /// Node that sent it.
    pub sender: NodeName,
    /// Address that it came from.
    pub from: SocketAddr,
    /// What it says.
    pub message: ForwardDatagram,
}

/// Question that waits for its reply.
#[derive(Debug)]
struct OpenQuestion {
    number: u64,
    reply: oneshot::Sender<ForwardDatagram>,
}

/// Datagrams of this node.
#[derive(Debug)]
pub struct PeerTalk {
    socket: UdpSocket,
    key: PeerKey,
    /// Name of this node.
    pub own: NodeName,
    incarnation: Incarnation,
    counter: Cell<u64>,
    guard: RefCell<ReplayGuard>,
    /// Sorted by number, as numbers only rise.
    questions: RefCell<Vec<OpenQuestion>>,
}

impl PeerTalk {
    /// Opens the datagrams of run `incarnation` of node `own`, with the key that `secret` stands for.
    ///
    /// # Errors
    ///
    /// Returns why `address` can't be bound.
    pub fn open(
        address: SocketAddr,
        own: NodeName,
        incarnation: Incarnation,
        secret: &str,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            key: PeerKey::derive(secret),
            own,
            incarnation,
            counter: Cell::new(0),
            guard: RefCell::default(),
            questions: RefCell::default(),
        })
    }

    /// Draws the number of a question or of a datagram.
    pub fn next_number(&self) -> u64 {
        self.counter.set(self.counter.get() + 1);
        self.counter.get()
    }

    /// Sends `talk`, which may be lost.
    ///
    /// # Errors
    ///
    /// Returns why it can't be encoded.
    pub async fn send(
        &self,
        to: &NodeName,
        address: SocketAddr,
        talk: &ForwardDatagram,
    ) -> Result<(), AuthError> {
        let stamp = MessageHeader {
            node: self.own.clone(),
            incarnation: self.incarnation,
            counter: self.next_number(),
            receiver: to.clone(),
        };
        let bytes = sign_message(&self.key, &stamp, talk)?;
        // Whoever waits for an answer notices that there is none.
        drop(self.socket.send_to(&bytes, address).await);
        Ok(())
    }

    /// Sends the question `talk`, which has the number `question`, and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn exchange(
        &self,
        to: &NodeName,
        address: SocketAddr,
        question: u64,
        talk: &ForwardDatagram,
        bound: Duration,
    ) -> Result<ForwardDatagram, TalkError> {
        let (sender, reply) = oneshot::channel();
        self.questions.borrow_mut().push(OpenQuestion { number: question, reply: sender });
        let exchange = async {
            self.send(to, address, talk).await?;
            let reply = timeout(bound, reply).await;
            reply.ok().and_then(Result::ok).ok_or(TalkError::Silent)
        };
        let reply = exchange.await;
        self.questions.borrow_mut().retain(|open| open.number != question);
        reply
    }

    /// Gives `reply` to whoever waits for the reply to the question `number`.
    pub fn settle(&self, number: u64, reply: ForwardDatagram) {
        let mut questions = self.questions.borrow_mut();
        if let Ok(at) = questions.binary_search_by_key(&number, |open| open.number) {
            // An asker that has given up takes no answer.
            drop(questions.remove(at).reply.send(reply));
        }
    }

    /// Waits for the next datagram. Errors of the socket concern datagrams that were sent earlier.
    ///
    /// # Errors
    ///
    /// Returns from where a datagram came that is refused, and why.
    pub async fn next(&self) -> Result<TakenTalk, (SocketAddr, AuthError)> {
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let opened = verify_message::<ForwardDatagram>(&self.key, &self.own, &buffer[..length]);
            let taken = opened.and_then(|(stamp, message)| {
                self.guard.borrow_mut().accept(&stamp)?;
                Ok(TakenTalk { sender: stamp.node, from, message })
            });
            return taken.map_err(|error| (from, error));
        }
    }
}
