//! Authenticated message transport between processes over QUIC with mutual TLS.
//!
//! Each message travels on its own QUIC stream, so that one slow message holds up no other. A
//! message without an answer uses a unidirectional stream; a call uses a bidirectional one.
//!
//! Invariants:
//! - The sender named in a frame is the VM named in the certificate of the connection.
//! - A connection that went silent is closed by the idle timeout and replaced at the next message,
//!   so silence of one connection is never taken for the loss of a peer.
//! - A message is delivered at most once; delivery is not guaranteed.

mod endpoint;
mod faults;
mod identity;
mod incoming;
pub mod keys;
mod link;
mod settings;

pub use endpoint::Endpoint;
pub use faults::Faults;
pub use identity::{Identity, Role};
pub use incoming::{Incoming, Reply};
pub use settings::Settings;
