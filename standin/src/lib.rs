//! Stand-in model engine and plain service for tests and experiments, with fault injection.
//!
//! [`Engine`] serves the protocol of model engines over HTTP/1.1 with the timing of an engine with
//! continuous batching: chunked prefill by priority, one token per step for each running stream,
//! limited KV memory and a prefix cache. [`Plain`] counts the runs of each call. Both keep a
//! [`record::Record`] of each run, independent of what the caller observes, so that tests can
//! compare the two.
//!
//! [`passes::Engine`] models an engine that works in passes, in virtual time. It is for experiments
//! without a network and for stand-ins of other protocols.
//!
//! Both servers run on the actix runtime that starts them; their handles can be sent to other threads.

mod announcer;
pub mod answer;
pub mod engine;
pub mod fault;
pub mod passes;
pub mod plain;
mod prefix_cache;
pub mod record;
mod respond;
mod server;
mod time;

pub use engine::Engine;
pub use fault::Fault;
pub use plain::Plain;
pub use record::Record;
