//! Links between nodes: datagrams for heartbeats, one connection for each question.
//!
//! A question never uses a connection that stood open before, since it may have gone silent.

use std::{
    io,
    net::{SocketAddr, UdpSocket as StdUdpSocket},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use log::{debug, warn};
use samphiredeck_core::ids::NodeName;
use samphiredeck_wire::{
    message::{DATAGRAM_MAX, FRAME_MAX, PeerReply, PeerRequest},
    seal::{PeerKey, SenderStamp, open, seal},
};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{actor::ControlAddress, event::ControlEvent, handle::ControlHandle, logging::PEER};

/// Bound on making a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on a question and its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on the arrival of a question on an accepted connection.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec()
}

/// Binds a socket on a free local port to send datagrams from.
pub fn bind_sender(local: SocketAddr) -> io::Result<StdUdpSocket> {
    let socket = StdUdpSocket::bind(SocketAddr::new(local.ip(), 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Asks another node. `None` means that it did not answer or answered garbage.
pub async fn ask_peer(
    key: &PeerKey,
    own: &NodeName,
    stamp: SenderStamp,
    to: SocketAddr,
    request: &PeerRequest,
) -> Option<PeerReply> {
    let receiver = stamp.receiver.clone();
    let bytes = seal(key, &stamp, request).ok()?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
    let exchange = async {
        let mut frames = Framed::new(stream, codec());
        frames.send(Bytes::from(bytes)).await.ok()?;
        let answer = frames.next().await?.ok()?;
        open::<PeerReply>(key, own, &answer).ok()
    };
    let (sender, reply) = timeout(ANSWER_TIMEOUT, exchange).await.ok()??;
    // The answer must come from the node that was asked, and to this very question.
    (sender.node == receiver && sender.counter == stamp.counter).then_some(reply)
}

/// Takes datagrams until the process ends.
pub async fn take_datagrams(socket: UdpSocket, control: ControlAddress) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) if length <= DATAGRAM_MAX => {
                // A full mailbox loses the datagram, as the network may.
                drop(control.try_send(ControlEvent::Datagram(buffer[..length].to_vec())));
            }
            Ok((_, from)) => warn!(target: PEER, "A datagram of {from} is too large."),
            Err(error) => {
                warn!(target: PEER, "Datagrams can't be received: {error}.");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

/// Takes connections of other nodes until the process ends.
pub async fn take_questions(
    listener: TcpListener,
    key: PeerKey,
    own: NodeName,
    control: ControlHandle,
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (key, own, control) = (key.clone(), own.clone(), control.clone());
                actix::spawn(async move {
                    let answered = timeout(
                        QUESTION_TIMEOUT + ANSWER_TIMEOUT,
                        answer_question(stream, &key, &own, &control),
                    );
                    match answered.await {
                        Ok(Ok(())) => {}
                        Ok(Err(reason)) => {
                            warn!(target: PEER, "A question of {from} is refused: {reason}.");
                        }
                        Err(_) => debug!(target: PEER, "A question of {from} took too long."),
                    }
                });
            }
            Err(error) => {
                warn!(target: PEER, "Connections can't be accepted: {error}.");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn answer_question(
    stream: TcpStream,
    key: &PeerKey,
    own: &NodeName,
    control: &ControlHandle,
) -> Result<(), String> {
    let mut frames = Framed::new(stream, codec());
    let frame = timeout(QUESTION_TIMEOUT, frames.next())
        .await
        .map_err(|_elapsed| "nothing came in time".to_owned())?;
    let frame = frame.ok_or("connection closed")?.map_err(|error| error.to_string())?;
    let (stamp, request) =
        open::<PeerRequest>(key, own, &frame).map_err(|error| error.to_string())?;
    let counter = stamp.counter;
    let receiver = stamp.node.clone();
    let incarnation = stamp.incarnation;
    let reply = control
        .ask(|reply| ControlEvent::PeerCall(stamp, request, reply))
        .await
        .ok_or("control thread is busy")?;
    let stamp = SenderStamp { node: own.clone(), incarnation, counter, receiver };
    let bytes = seal(key, &stamp, &reply).map_err(|error| error.to_string())?;
    frames.send(Bytes::from(bytes)).await.map_err(|error| error.to_string())
}
