//! Replicated log of the control replicas.

mod message;

pub use message::Message;
