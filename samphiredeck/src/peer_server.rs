//! What other nodes send to this one: datagrams, and questions on connections of their own.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use log::{debug, warn};
use samphiredeck_core::ids::NodeName;
use samphiredeck_wire::{
    auth::{MessageHeader, PeerKey, sign_message, verify_message},
    message::{DATAGRAM_MAX, PeerRequest},
};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};
use tokio_util::codec::Framed;

use crate::{
    actor::ControlAddress,
    event::ControlEvent,
    handle::ControlHandle,
    logging::PEER,
    peer_link::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, codec},
};

/// Bound on the arrival of a question on an accepted connection.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

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
        verify_message::<PeerRequest>(key, own, &frame).map_err(|error| error.to_string())?;
    let counter = stamp.counter;
    let receiver = stamp.node.clone();
    let incarnation = stamp.incarnation;
    let reply = control
        .ask(|reply| ControlEvent::PeerRequest(stamp, request, reply))
        .await
        .ok_or("control thread is busy")?;
    let stamp = MessageHeader { node: own.clone(), incarnation, counter, receiver };
    let bytes = sign_message(key, &stamp, &reply).map_err(|error| error.to_string())?;
    frames.send(Bytes::from(bytes)).await.map_err(|error| error.to_string())
}
