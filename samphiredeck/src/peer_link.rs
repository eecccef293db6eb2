//! Outgoing traffic to other nodes: UDP for heartbeats, one TCP connection per request.
//!
//! Connections are not reused, because an idle connection may be dead without having been closed.

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

/// Timeout for connecting to a node.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for sending a request and receiving its reply.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the frame codec of requests and replies.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX).new_codec()
}

/// Binds a UDP socket on an ephemeral port for sending datagrams.
pub fn bind_sender(local: SocketAddr) -> io::Result<StdUdpSocket> {
    let socket = StdUdpSocket::bind(SocketAddr::new(local.ip(), 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Sends a request to another node. Returns `None` if it sent no valid reply in time.
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
        let frame = frames.next().await?.ok()?;
        verify_message::<PeerReply>(key, own, &frame).ok()
    };
    let (sender, reply) = timeout(REPLY_TIMEOUT, exchange).await.ok()??;
    // The reply must come from the receiver and repeat the counter of this request.
    (sender.node == receiver && sender.counter == header.counter).then_some(reply)
}
