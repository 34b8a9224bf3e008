//! Messages received by an endpoint.

use std::net::SocketAddr;

use primrosepin_core::message::Message;
use primrosepin_core::vm::Instance;
use primrosepin_wire::Frame;

use crate::identity::Role;

/// A message received from another process.
#[derive(Debug)]
pub struct Incoming {
    /// Sender. Its VM name has been checked against the certificate of the connection.
    pub from: Instance,
    /// Role named in the sender's certificate.
    pub role: Role,
    /// UDP address of the sender.
    pub address: SocketAddr,
    /// Payload of the frame.
    pub message: Message,
    /// Reply handle if the message is a call; none for a one-way message.
    pub reply: Option<Reply>,
}

/// Sends the reply to a call.
#[derive(Debug)]
pub struct Reply {
    pub(crate) instance: Instance,
    pub(crate) stream: quinn::SendStream,
}

impl Reply {
    /// Sends the reply. Errors are ignored: the calling process sees a closed stream and may call again.
    pub async fn send(mut self, message: Message) {
        let Ok(bytes) = Frame::new(self.instance, message).encode() else {
            return;
        };
        if self.stream.write_all(&bytes).await.is_ok() {
            // Fails only if the stream is already closed.
            let _ = self.stream.finish();
        }
    }
}
