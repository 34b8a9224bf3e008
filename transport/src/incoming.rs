//! Messages that arrive at an endpoint.

use std::net::SocketAddr;

use primrosepin_core::message::Message;
use primrosepin_core::vm::Instance;
use primrosepin_wire::Frame;

use crate::identity::Role;

/// A message from another process.
#[derive(Debug)]
pub struct Incoming {
    /// Sender, checked against the certificate of the connection.
    pub from: Instance,
    /// Role that the sender's certificate grants.
    pub role: Role,
    /// UDP address of the sender.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
    /// Present if the sender waits for an answer.
    pub reply: Option<Reply>,
}

/// Sends the answer to a call.
#[derive(Debug)]
pub struct Reply {
    pub(crate) instance: Instance,
    pub(crate) stream: quinn::SendStream,
}

impl Reply {
    /// Sends the answer. Errors are dropped: the caller sees a closed stream and may call again.
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
