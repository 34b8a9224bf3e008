//! Authenticated message transport between processes over QUIC with mutual TLS.
//!
//! Each message travels on its own QUIC stream, so that one slow message holds up no other. A
//! message without an answer uses a unidirectional stream; a call uses a bidirectional one.
