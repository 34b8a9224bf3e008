//! Tests of control replicas over real sockets.

mod cluster;
mod single;
mod support;
