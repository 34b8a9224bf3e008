//! Control replicas over real sockets.

mod cluster;
mod single;
mod support;
