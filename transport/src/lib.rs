//! Authenticated message transport between processes over QUIC with mutual TLS.
//!
//! Each message uses its own QUIC stream, which avoids head-of-line blocking between messages. A
//! one-way message uses a unidirectional stream; a call with a reply uses a bidirectional one.
//!
//! Invariants:
//! - The sender named in a received frame is the VM named in the certificate of the connection.
//! - A connection on which nothing arrives is closed by the idle timeout and replaced when the next
//!   message is sent, so a dead connection alone does not make a peer look failed.
//! - A message is delivered at most once. Delivery is not guaranteed.

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
