//! Settings of an endpoint.

use std::net::SocketAddr;

use primrosepin_core::vm::Instance;

use crate::Identity;

/// Settings of an [`Endpoint`](crate::Endpoint).
#[derive(Debug, Clone)]
pub struct Settings {
    /// UDP address to listen on; also the source address of outgoing connections.
    pub bind: SocketAddr,
    /// TLS identity of this process.
    pub identity: Identity,
    /// Name and incarnation of this process, sent in every frame.
    pub instance: Instance,
}
