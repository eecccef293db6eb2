//! Incoming traffic from other nodes: datagrams, and requests with one TCP connection each.

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
    peer_link::{CONNECT_TIMEOUT, REPLY_TIMEOUT, frame_codec},
};

/// Timeout for receiving the request on an accepted connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives datagrams and forwards them to the control thread until the process ends.
pub async fn receive_datagrams(socket: UdpSocket, control: ControlAddress) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) if length <= DATAGRAM_MAX => {
                // Dropped if the mailbox is full. The protocol tolerates lost datagrams.
                drop(control.try_send(ControlEvent::Datagram(buffer[..length].to_vec())));
            }
            Ok((_, from)) => warn!(target: PEER, "Datagram from {from} is too large."),
            Err(error) => {
                warn!(target: PEER, "Failed to receive datagrams: {error}.");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

/// Accepts connections of other nodes and serves their requests until the process ends.
pub async fn serve_peer_requests(
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
                    let result = timeout(
                        REQUEST_TIMEOUT + REPLY_TIMEOUT,
                        answer_peer_request(stream, &key, &own, &control),
                    );
                    match result.await {
                        Ok(Ok(())) => {}
                        Ok(Err(reason)) => {
                            warn!(target: PEER, "Peer request from {from} failed: {reason}.");
                        }
                        Err(_) => debug!(target: PEER, "Peer request from {from} timed out."),
                    }
                });
            }
            Err(error) => {
                warn!(target: PEER, "Failed to accept peer connections: {error}.");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn answer_peer_request(
    stream: TcpStream,
    key: &PeerKey,
    own: &NodeName,
    control: &ControlHandle,
) -> Result<(), String> {
    let mut frames = Framed::new(stream, frame_codec());
    let frame = timeout(REQUEST_TIMEOUT, frames.next())
        .await
        .map_err(|_elapsed| "no request received in time".to_owned())?;
    let frame = frame.ok_or("connection closed")?.map_err(|error| error.to_string())?;
    let (header, request) =
        verify_message::<PeerRequest>(key, own, &frame).map_err(|error| error.to_string())?;
    let counter = header.counter;
    let receiver = header.node.clone();
    let incarnation = header.incarnation;
    let reply = control
        .ask(|reply| ControlEvent::PeerRequest(header, request, reply))
        .await
        .ok_or("control thread is busy")?;
    // The requester accepts the reply only with the counter of its request.
    let header = MessageHeader { node: own.clone(), incarnation, counter, receiver };
    let bytes = sign_message(key, &header, &reply).map_err(|error| error.to_string())?;
    frames.send(Bytes::from(bytes)).await.map_err(|error| error.to_string())
}
