//! Settings of an endpoint.

use std::net::SocketAddr;

use primrosepin_core::vm::Instance;

use crate::Identity;

/// Settings of an [`Endpoint`](crate::Endpoint).
#[derive(Debug, Clone)]
pub struct Settings {
    /// UDP address to bind.
    pub bind: SocketAddr,
    /// Certificates and key of this process.
    pub identity: Identity,
    /// This process, as sender of frames.
    pub instance: Instance,
}
