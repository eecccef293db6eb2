//! Reads and writes the signed messages that open a tunnel.

use std::io;

use samphiredeck_core::ids::NodeName;
use samphiredeck_wire::{
    auth::{AuthError, MessageHeader},
    tunnel::TUNNEL_MESSAGE_MAX,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::forward::peer_socket::PeerSocket;

/// Failure to exchange messages over a connection.
#[derive(Debug, Error)]
pub enum TunnelError {
    /// Socket error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The message is refused.
    #[error("{0}")]
    Auth(#[from] AuthError),
    /// The message exceeds its maximum size.
    #[error("message of {0} bytes")]
    TooLong(usize),
    /// The reply is from another node, or to another request.
    #[error("reply to another request")]
    Mismatch,
}

/// Sends `message` to `receiver`. `counter` is the one of the request.
pub async fn write_message<T: Serialize>(
    stream: &mut TcpStream,
    socket: &PeerSocket,
    (receiver, counter): (&NodeName, u64),
    message: &T,
) -> Result<(), TunnelError> {
    let signed = socket.sign(receiver, counter, message)?;
    let too_long = || TunnelError::TooLong(signed.len());
    let length = u16::try_from(signed.len()).map_err(|_too_large| too_long())?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&signed);
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Receives a message. The counter of its header is left to the caller.
pub async fn read_message<T: DeserializeOwned>(
    stream: &mut TcpStream,
    socket: &PeerSocket,
) -> Result<(MessageHeader, T), TunnelError> {
    let length = usize::from(stream.read_u16().await?);
    if length > TUNNEL_MESSAGE_MAX {
        return Err(TunnelError::TooLong(length));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(socket.verify(&bytes)?)
}
