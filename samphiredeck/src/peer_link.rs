//! Links to other nodes: datagrams for heartbeats, one connection for each question.
//!
//! A question never uses a connection that stood open before, since it may have gone silent.

use std::{
    io,
    net::{SocketAddr, UdpSocket as StdUdpSocket},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use samphiredeck_core::ids::NodeName;
use samphiredeck_wire::{
    auth::{MessageHeader, PeerKey, sign_message, verify_message},
    message::{FRAME_MAX, PeerReply, PeerRequest},
};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Bound on making a connection to a node.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on a question and its answer.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Frames of questions and answers.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec()
}

/// Binds a socket on a free local port to send datagrams from.
pub fn bind_sender(local: SocketAddr) -> io::Result<StdUdpSocket> {
    let socket = StdUdpSocket::bind(SocketAddr::new(local.ip(), 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Asks another node. `None` means that it did not answer or answered garbage.
pub async fn call_peer(
    key: &PeerKey,
    own: &NodeName,
    header: MessageHeader,
    to: SocketAddr,
    request: &PeerRequest,
) -> Option<PeerReply> {
    let receiver = header.receiver.clone();
    let bytes = sign_message(key, &header, request).ok()?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
    let exchange = async {
        let mut frames = Framed::new(stream, frame_codec());
        frames.send(Bytes::from(bytes)).await.ok()?;
        let answer = frames.next().await?.ok()?;
        verify_message::<PeerReply>(key, own, &answer).ok()
    };
    let (sender, reply) = timeout(REPLY_TIMEOUT, exchange).await.ok()??;
    // The answer must come from the node that was asked, and to this very question.
    (sender.node == receiver && sender.counter == header.counter).then_some(reply)
}
