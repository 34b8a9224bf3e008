//! Control replicas over real sockets.

mod single;
mod support;
